//! Explanations from a fake node that sends fixed bytes.

use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

use shallotrill_model::request::Id;
use shallotrill_operator::node;
use shallotrill_operator::node::Error;

struct Case {
    name: &'static str,
    response: &'static str,
    expected: fn(&Result<serde_json::Value, Error>) -> bool,
}

/// Guards against an explanation that is read from an error response, and against a client that hangs on an invalid one.
const CASES: &[Case] = &[
    Case {
        name: "explained",
        response: "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n[]",
        expected: |result| matches!(result, Ok(value) if value.is_array()),
    },
    Case {
        name: "not stored",
        response: "HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n",
        expected: |result| matches!(result, Err(Error::Unknown(_))),
    },
    Case {
        name: "internal error",
        response: "HTTP/1.1 500 Internal Server Error\r\ncontent-length: 0\r\n\r\n",
        expected: |result| matches!(result, Err(Error::Invalid(_, 500))),
    },
    Case {
        name: "not JSON",
        response: "HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n<",
        expected: |result| matches!(result, Err(Error::Invalid(_, 200))),
    },
    Case {
        name: "truncated body",
        response: "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n[",
        expected: |result| matches!(result, Err(Error::Unreachable(..))),
    },
    Case {
        name: "not HTTP",
        response: "good evening\r\n\r\n",
        expected: |result| matches!(result, Err(Error::Unreachable(..))),
    },
];

#[tokio::test]
async fn explanations_are_read_from_valid_responses_only() {
    for case in CASES {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let response = case.response;
        tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let mut request = [0; 1024];
            let read = stream.read(&mut request).await.expect("a request");
            assert!(request[..read].starts_with(b"GET /v1/explain/"));
            stream
                .write_all(response.as_bytes())
                .await
                .expect("written");
        });
        let timeout = Duration::from_secs(30);
        let result = node::explain(address, Id(7), timeout).await;
        assert!((case.expected)(&result), "{}: {result:?}", case.name);
    }
}
