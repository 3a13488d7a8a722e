//! Statuses of another node that are no response, with raw HTTP/2 frames.

use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use shallotrill_model::time::Instant;
use shallotrill_peer::failure::Failure;
use shallotrill_peer::pool::Config;
use shallotrill_peer::pool::Pool;

/// Timeout of a request whose response does not arrive.
const TIMEOUT: Duration = Duration::from_millis(500);

/// Length of the connection preface of HTTP/2.
const PREFACE_BYTES: usize = 24;

/// Length of the head of a frame.
const FRAME_HEAD_BYTES: usize = 9;

const HEADERS: u8 = 1;
const SETTINGS: u8 = 4;
const END_STREAM: u8 = 1;
const END_HEADERS: u8 = 4;

/// Representation of `:status` as a literal that is not indexed, with the name from the static table.
const STATUS_FIELD: u8 = 8;

fn frame(kind: u8, flags: u8, stream: u8, payload: &[u8]) -> Vec<u8> {
    let length = u8::try_from(payload.len()).expect("a short payload");
    let mut bytes = vec![0, 0, length, kind, flags, 0, 0, 0, stream];
    bytes.extend_from_slice(payload);
    bytes
}

/// Responds to the first request with a head that has the given status.
async fn respond(mut stream: TcpStream, status: &str, end: u8) -> std::io::Result<()> {
    stream.read_exact(&mut [0; PREFACE_BYTES]).await?;
    stream.write_all(&frame(SETTINGS, 0, 0, &[])).await?;
    loop {
        let mut head = [0; FRAME_HEAD_BYTES];
        stream.read_exact(&mut head).await?;
        let length = u32::from_be_bytes([0, head[0], head[1], head[2]]) as usize;
        stream.read_exact(&mut vec![0; length]).await?;
        if head[3] == HEADERS {
            let length = u8::try_from(status.len()).expect("a short status");
            let field = [&[STATUS_FIELD, length], status.as_bytes()].concat();
            let head = frame(HEADERS, END_HEADERS | end, head[8], &field);
            stream.write_all(&head).await?;
        }
    }
}

struct Case {
    status: &'static str,
    /// Flag for the end of the stream.
    end: u8,
    expected: &'static str,
}

/// Guards against a status that is no response and is passed on as one, and against a request that is then reported
/// as not run.
const CASES: &[Case] = &[
    case("000", END_STREAM, "lost, unknown"),
    case("099", END_STREAM, "lost, unknown"),
    case("600", END_STREAM, "invalid, unknown"),
    case("999", END_STREAM, "invalid, unknown"),
    case("20", END_STREAM, "lost, unknown"),
    case("2000", END_STREAM, "lost, unknown"),
    case("", END_STREAM, "lost, unknown"),
    case("20x", END_STREAM, "lost, unknown"),
    case("100", END_STREAM, "lost, unknown"),
    case("101", END_STREAM, "lost, unknown"),
    case("103", 0, "timeout, unknown"),
    case("599", END_STREAM, "599"),
    case("200", END_STREAM, "200"),
];

const fn case(status: &'static str, end: u8, expected: &'static str) -> Case {
    Case {
        status,
        end,
        expected,
    }
}

#[tokio::test]
async fn statuses() {
    let mut failures = Vec::new();
    for case in CASES {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let serving = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                drop(respond(stream, case.status, case.end).await);
            }
        });
        let pool = Pool::new(Config::default().ping_interval(TIMEOUT * 10));
        let request = Request::builder()
            .uri("http://s/")
            .body(Full::new(Bytes::new()))
            .expect("a request");
        let outcome = match pool.send(address, request, TIMEOUT, Instant(0)).await {
            Ok(response) => response.status().as_str().to_owned(),
            Err(failure) => {
                let not_sent = failure.is_not_sent();
                let name = match failure {
                    Failure::Connect { .. } => "connect",
                    Failure::NotSent { .. } => "not sent",
                    Failure::Lost { .. } => "lost",
                    Failure::InvalidStatus { .. } => "invalid",
                    Failure::Timeout { .. } => "timeout",
                };
                format!("{name}, {}", if not_sent { "not run" } else { "unknown" })
            }
        };
        if outcome != case.expected {
            failures.push(format!("{} {}: {outcome}", case.status, case.end));
        }
        serving.abort();
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}
