//! The operators' interface as seen from a socket.

use std::net::SocketAddr;

use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use shallotrill_language::answer::Answer;
use shallotrill_model::revision::Revision;
use shallotrill_operator::Failure;
use shallotrill_operator::server;

const ID: &str = "000000000000000000000000000000ab";

/// Answers by the name of the instance in `drain NAME`, and anything else with a note.
fn decide(order: &server::Order) -> Result<Answer, Failure> {
    let text = order.statement.to_string();
    match text.strip_prefix("drain ").unwrap_or_default() {
        "conflict" => Err(Failure::Conflict {
            built_on: Revision(3),
            current: Revision(5),
            winner: None,
        }),
        "quorum" => Err(Failure::NoQuorum),
        "leader" => Err(Failure::NotLeader {
            leader: "127.0.0.1:7101".parse().ok(),
        }),
        "unknown" => Err(Failure::UnknownName {
            kind: "instance".to_owned(),
            name: "unknown".to_owned(),
        }),
        _ => Ok(Answer::note(&format!("{text} by {}", order.operator))),
    }
}

fn start() -> server::Server {
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let handlers = server::Handlers {
        statement: Box::new(|order| Box::pin(async move { decide(&order) })),
        state: Box::new(|| json!({"revision": 5})),
        metrics: Box::new(|| "up 1\n".to_owned()),
    };
    server::start(server::Config::new(listen).body_bytes_max(400), handlers).expect("port 0")
}

async fn exchange(address: SocketAddr, method: &str, path: &str, body: &str) -> (u16, String) {
    let mut stream = TcpStream::connect(address).await.expect("connect");
    let length = body.len();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-type: application/json\r\ncontent-length: {length}\r\n\r\n{body}"
    );
    stream.write_all(request.as_bytes()).await.expect("write");
    let mut response = String::new();
    stream.read_to_string(&mut response).await.expect("read");
    let status = response[9..12].parse().expect("status");
    let body = response.split_once("\r\n\r\n").expect("body").1;
    (status, body.to_owned())
}

struct Case {
    name: &'static str,
    statement: &'static str,
    command: Option<&'static str>,
    status: u16,
    /// Members that the body holds, among others.
    expected: fn() -> Value,
}

/// Guards against codes and statuses that change, since scripts of operators depend on them.
const CASES: &[Case] = &[
    Case {
        name: "read",
        statement: "SHOW nodes",
        command: None,
        status: 200,
        expected: || json!({"notes": ["show nodes by kari"]}),
    },
    Case {
        name: "change",
        statement: "drain a",
        command: Some(ID),
        status: 200,
        expected: || json!({"notes": ["drain a by kari"]}),
    },
    Case {
        name: "change without id",
        statement: "drain a",
        command: None,
        status: 400,
        expected: || json!({"code": "command-missing"}),
    },
    Case {
        name: "wrong id",
        statement: "drain a",
        command: Some("7"),
        status: 422,
        expected: || json!({"code": "invalid-value", "key": "command"}),
    },
    Case {
        name: "wrong statement",
        statement: "show service",
        command: None,
        status: 400,
        expected: || json!({"code": "statement", "column": 13, "found": null, "expected": ["the name of a service"]}),
    },
    Case {
        name: "conflict",
        statement: "drain conflict",
        command: Some(ID),
        status: 409,
        expected: || json!({"code": "conflict", "built_on": 3, "current": 5}),
    },
    Case {
        name: "no quorum",
        statement: "drain quorum",
        command: Some(ID),
        status: 503,
        expected: || json!({"code": "no-quorum"}),
    },
    Case {
        name: "not leader",
        statement: "drain leader",
        command: Some(ID),
        status: 421,
        expected: || json!({"code": "not-leader", "leader": "127.0.0.1:7101"}),
    },
    Case {
        name: "unknown name",
        statement: "drain unknown",
        command: Some(ID),
        status: 404,
        expected: || json!({"code": "unknown-name", "kind": "instance"}),
    },
];

#[tokio::test]
async fn statements_are_answered() {
    let server = start();
    for case in CASES {
        let body =
            json!({"statement": case.statement, "command": case.command, "operator": "kari"});
        let (status, body) = exchange(
            server.address(),
            "POST",
            "/v1/statements",
            &body.to_string(),
        )
        .await;
        assert_eq!(status, case.status, "{}: {body}", case.name);
        let body: Value = serde_json::from_str(&body).expect("JSON");
        for (key, value) in (case.expected)().as_object().expect("object") {
            assert_eq!(&body[key], value, "{}: {body}", case.name);
        }
    }
    server.close().await.expect("close");
}

struct Raw {
    name: &'static str,
    method: &'static str,
    path: &'static str,
    body: fn() -> String,
    status: u16,
    expected: &'static str,
}

/// Guards against endpoints that are lost and against requests that are too large or malformed without a stable code.
const RAW: &[Raw] = &[
    Raw {
        name: "state",
        method: "GET",
        path: "/v1/state",
        body: String::new,
        status: 200,
        expected: "{\"revision\":5}",
    },
    Raw {
        name: "metrics",
        method: "GET",
        path: "/metrics",
        body: String::new,
        status: 200,
        expected: "up 1\n",
    },
    Raw {
        name: "too large",
        method: "POST",
        path: "/v1/statements",
        body: || format!("{{\"statement\":\"{}\"}}", "x".repeat(400)),
        status: 400,
        expected: "exceeded maximum size of 400 bytes",
    },
    Raw {
        name: "not JSON",
        method: "POST",
        path: "/v1/statements",
        body: || "show nodes".to_owned(),
        status: 400,
        expected: "\"code\":\"request\"",
    },
    Raw {
        name: "unknown member",
        method: "POST",
        path: "/v1/statements",
        body: || "{\"statement\":\"show nodes\",\"operator\":\"a\",\"force\":true}".to_owned(),
        status: 400,
        expected: "\"code\":\"request\"",
    },
];

#[tokio::test]
async fn endpoints_answer() {
    let server = start();
    for case in RAW {
        let (status, body) =
            exchange(server.address(), case.method, case.path, &(case.body)()).await;
        assert_eq!(status, case.status, "{}: {body}", case.name);
        assert!(body.contains(case.expected), "{}: {body}", case.name);
    }
    server.close().await.expect("close");
}
