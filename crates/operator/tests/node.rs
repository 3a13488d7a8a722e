//! The question to a node, against a fake that answers with fixed bytes.

use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

use shallotrill_model::request::Id;
use shallotrill_operator::node;
use shallotrill_operator::node::Error;

struct Case {
    name: &'static str,
    answer: &'static str,
    expected: fn(&Result<serde_json::Value, Error>) -> bool,
}

/// Guards against an explanation that is taken from an error answer, and against a hang on a broken node.
const CASES: &[Case] = &[
    Case {
        name: "explained",
        answer: "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n[]",
        expected: |result| matches!(result, Ok(value) if value.is_array()),
    },
    Case {
        name: "not kept",
        answer: "HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n",
        expected: |result| matches!(result, Err(Error::Unknown(_))),
    },
    Case {
        name: "failed",
        answer: "HTTP/1.1 500 Internal Server Error\r\ncontent-length: 0\r\n\r\n",
        expected: |result| matches!(result, Err(Error::Form(_, 500))),
    },
    Case {
        name: "not JSON",
        answer: "HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n<",
        expected: |result| matches!(result, Err(Error::Form(_, 200))),
    },
    Case {
        name: "cut short",
        answer: "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n[",
        expected: |result| matches!(result, Err(Error::Unreachable(..))),
    },
    Case {
        name: "not HTTP",
        answer: "good evening\r\n\r\n",
        expected: |result| matches!(result, Err(Error::Unreachable(..))),
    },
];

#[tokio::test]
async fn explanations() {
    for case in CASES {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let answer = case.answer;
        tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let mut request = [0; 1024];
            let read = stream.read(&mut request).await.expect("a request");
            assert!(request[..read].starts_with(b"GET /v1/explain/"));
            stream.write_all(answer.as_bytes()).await.expect("written");
        });
        let limit = Duration::from_secs(30);
        let result = node::explain(address, Id(7), limit).await;
        assert!((case.expected)(&result), "{}: {result:?}", case.name);
    }
}
