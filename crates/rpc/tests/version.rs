//! Messages of another format version.

use std::net::SocketAddr;
use std::sync::Arc;

use jsonrpsee::core::client::ClientT;
use jsonrpsee::core::client::Error as ClientError;
use jsonrpsee::ws_client::WsClientBuilder;

use shallotrill_rpc::envelope::Envelope;
use shallotrill_rpc::envelope::Error;
use shallotrill_rpc::envelope::VERSION;
use shallotrill_rpc::server::Methods;

struct Case {
    name: &'static str,
    version: u16,
    body: &'static str,
    /// Part of the error, or nothing where the message is read.
    expected: Option<&'static str>,
}

/// Guards against a message of another version or form that is read as something else.
const CASES: &[Case] = &[
    Case {
        name: "the present version",
        version: VERSION,
        body: "BQ==",
        expected: None,
    },
    Case {
        name: "a later version",
        version: VERSION + 1,
        body: "BQ==",
        expected: Some("message version 2 is not in 1..=1"),
    },
    Case {
        name: "a version from before the first",
        version: 0,
        body: "BQ==",
        expected: Some("message version 0 is not in 1..=1"),
    },
    Case {
        name: "no base64",
        version: VERSION,
        body: "!",
        expected: Some("not base64"),
    },
    Case {
        name: "another form",
        version: VERSION,
        body: "",
        expected: Some("another form"),
    },
];

async fn double(_context: Arc<()>, number: u32) -> u32 {
    number * 2
}

#[tokio::test]
async fn other_versions_are_refused_clearly() {
    let mut methods = Methods::new(Arc::new(()));
    methods.add("double", double);
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let (handle, address) = methods.serve(any, 10, 1_000).await.unwrap();
    let url = format!("ws://{address}");
    let client = WsClientBuilder::new().build(&url).await.unwrap();
    for case in CASES {
        let envelope = Envelope {
            version: case.version,
            body: case.body.to_owned(),
        };
        let asked: Result<Envelope, ClientError> = client.request("double", [&envelope]).await;
        match (asked, case.expected) {
            (Ok(answer), None) => assert_eq!(answer.open::<u32>().unwrap(), 10, "{}", case.name),
            (Err(ClientError::Call(object)), Some(expected)) => {
                let text = object.to_string();
                assert!(text.contains(expected), "{}: {text}", case.name);
            }
            (other, _) => panic!("{}: {other:?}", case.name),
        }
        let opened = envelope.open::<u32>();
        let is_version = matches!(opened, Err(Error::Version(_)));
        assert_eq!(is_version, case.version != VERSION, "{}", case.name);
    }
    drop(client);
    handle.stop().await;
}
