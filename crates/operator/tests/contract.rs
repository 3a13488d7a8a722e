//! HTTP interface for operators: status codes and bodies of raw requests.

use std::net::SocketAddr;

use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use shallotrill_language::result_table::ResultTable;
use shallotrill_model::revision::Revision;
use shallotrill_operator::Failure;
use shallotrill_operator::server;

const ID: &str = "000000000000000000000000000000ab";

/// Returns the failure that the instance in `drain NAME` names, and a note for any other statement.
fn decide(request: &server::StatementRequest) -> Result<ResultTable, Failure> {
    let text = request.statement.to_string();
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
        _ => Ok(ResultTable::note(&format!(
            "{text} by {}",
            request.operator
        ))),
    }
}

fn start() -> server::Server {
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let handlers = server::Handlers {
        statement: Box::new(|request| Box::pin(async move { decide(&request) })),
        state: Box::new(|| json!({"revision": 5})),
        metrics: Box::new(|| "up 1\n".to_owned()),
    };
    server::start(server::Config::new(listen).body_bytes_max(100), handlers).expect("port 0")
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
    status: u16,
    /// Expected part of the body.
    expected: &'static str,
}

const fn case(
    name: &'static str,
    statement: &'static str,
    status: u16,
    expected: &'static str,
) -> Case {
    Case {
        name,
        statement,
        status,
        expected,
    }
}

/// Guards against changed codes and statuses, on which scripts of operators depend.
const CASES: &[Case] = &[
    case("read", "SHOW nodes", 200, "show nodes by kari"),
    case("change", "drain a", 200, "drain a by kari"),
    case("end", "show service", 400, r#""found":null"#),
    case("column", "show service", 400, r#""column":13"#),
    case("expected", "show service", 400, "the name of a service"),
    case("wrong", "show nods", 400, r#""code":"statement""#),
    case("conflict", "drain conflict", 409, r#""code":"conflict""#),
    case("base", "drain conflict", 409, r#""built_on":3"#),
    case("current", "drain conflict", 409, r#""current":5"#),
    case("cut off", "drain quorum", 503, r#""code":"no-quorum""#),
    case("leader", "drain leader", 421, r#""code":"not-leader""#),
    case("hint", "drain leader", 421, r#""leader":"127.0.0.1:7101""#),
    case("name", "drain unknown", 404, r#""code":"unknown-name""#),
];

#[tokio::test]
async fn statements_return_stable_codes() {
    let server = start();
    for case in CASES {
        let body = json!({"statement": case.statement, "command": ID, "operator": "kari"});
        let body = body.to_string();
        let (status, body) = exchange(server.address(), "POST", "/v1/statements", &body).await;
        assert_eq!(status, case.status, "{}: {body}", case.name);
        assert!(body.contains(case.expected), "{}: {body}", case.name);
    }
    server.close().await.expect("close");
}

struct RawCase {
    name: &'static str,
    /// Method and path.
    line: &'static str,
    body: &'static str,
    status: u16,
    expected: &'static str,
}

const fn raw(
    name: &'static str,
    line: &'static str,
    body: &'static str,
    status: u16,
    expected: &'static str,
) -> RawCase {
    RawCase {
        name,
        line,
        body,
        status,
        expected,
    }
}

const POST: &str = "POST /v1/statements";
const NO_ID: &str = r#"{"statement":"drain a","operator":"a"}"#;
const WRONG_ID: &str = r#"{"statement":"drain a","command":"7","operator":"a"}"#;
const NO_OPERATOR: &str = r#"{"statement":"show nodes","operator":""}"#;
const MEMBER: &str = r#"{"statement":"show nodes","operator":"a","force":true}"#;
const REQUEST: &str = r#""code":"request""#;
const INVALID: &str = r#""code":"invalid-value""#;
/// A JSON string of 101 bytes.
const LONG: &str = "\"---------------------------------------------------------------------------------------------------\"";
const LARGE: &str = "exceeded maximum size of 100 bytes";

/// Guards against missing endpoints and against invalid requests without a stable code.
const RAW_CASES: &[RawCase] = &[
    raw("state", "GET /v1/state", "", 200, "{\"revision\":5}"),
    raw("metrics", "GET /metrics", "", 200, "up 1\n"),
    raw("no id", POST, NO_ID, 400, r#""code":"command-missing""#),
    raw("wrong id", POST, WRONG_ID, 422, INVALID),
    raw("its key", POST, WRONG_ID, 422, r#""key":"command""#),
    raw("no operator", POST, NO_OPERATOR, 422, INVALID),
    raw("unknown member", POST, MEMBER, 400, REQUEST),
    raw("not JSON", POST, "show nodes", 400, REQUEST),
    raw("too large", POST, LONG, 400, LARGE),
];

#[tokio::test]
async fn endpoints_return_stable_codes() {
    let server = start();
    for case in RAW_CASES {
        let (method, path) = case.line.split_once(' ').expect("method and path");
        let (status, body) = exchange(server.address(), method, path, case.body).await;
        assert_eq!(status, case.status, "{}: {body}", case.name);
        assert!(body.contains(case.expected), "{}: {body}", case.name);
    }
    server.close().await.expect("close");
}
