//! Decoding of messages with other format versions and invalid bodies.

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
    /// Part of the error text, or `None` when the message is decoded.
    expected: Option<&'static str>,
}

/// Guards against a message of another version or type that is decoded as a valid message.
const CASES: &[Case] = &[
    Case {
        name: "current version",
        version: VERSION,
        body: "BQ==",
        expected: None,
    },
    Case {
        name: "later version",
        version: VERSION + 1,
        body: "BQ==",
        expected: Some("message version 2 is not in 1..=1"),
    },
    Case {
        name: "version older than the oldest supported one",
        version: 0,
        body: "BQ==",
        expected: Some("message version 0 is not in 1..=1"),
    },
    Case {
        name: "body is not base64",
        version: VERSION,
        body: "!",
        expected: Some("not base64"),
    },
    Case {
        name: "body of another type",
        version: VERSION,
        body: "",
        expected: Some("not of the expected type"),
    },
];

async fn double(_context: Arc<()>, number: u32) -> u32 {
    number * 2
}

#[tokio::test]
async fn unsupported_versions_and_bodies_are_refused() {
    let mut methods = Methods::new(Arc::new(()));
    methods.add("double", double);
    let address_any = SocketAddr::from(([127, 0, 0, 1], 0));
    let (handle, address) = methods.serve(address_any, 10, 1_000).await.unwrap();
    let url = format!("ws://{address}");
    let client = WsClientBuilder::new().build(&url).await.unwrap();
    for case in CASES {
        let envelope = Envelope {
            version: case.version,
            body: case.body.to_owned(),
        };
        let result: Result<Envelope, ClientError> = client.request("double", [&envelope]).await;
        match (result, case.expected) {
            (Ok(reply), None) => assert_eq!(reply.decode::<u32>().unwrap(), 10, "{}", case.name),
            (Err(ClientError::Call(object)), Some(expected)) => {
                let text = object.to_string();
                assert!(text.contains(expected), "{}: {text}", case.name);
            }
            (other, _) => panic!("{}: {other:?}", case.name),
        }
        let decoded = envelope.decode::<u32>();
        let is_version_error = matches!(decoded, Err(Error::Version(_)));
        assert_eq!(is_version_error, case.version != VERSION, "{}", case.name);
    }
    drop(client);
    handle.stop().await;
}
