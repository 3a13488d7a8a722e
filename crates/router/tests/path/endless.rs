//! Backend servers that send bytes without end.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time;

use crate::WAIT_TIMEOUT;
use crate::fixture;
use shallotrill_model::class::Class;

/// Bytes that a backend server can send before its connection is closed: what the router reads and the buffers of
/// the two sockets.
const SENT_BYTES_MAX: usize = 16 * 1024 * 1024;

/// Bytes of each chunk of the body.
const CHUNK_BYTES: usize = 16 * 1024;

struct Case {
    name: &'static str,
    /// Status and headers of the response; `{id}` is replaced by the id of the request.
    head: &'static str,
}

/// Guards against a router that keeps the body of a refusal without end in memory until it is killed for its size.
const CASES: &[Case] = &[
    Case {
        name: "503 with the statement that the request has not run",
        head: "HTTP/1.1 503 x\r\nshallotrill-request: {id}\r\nshallotrill-backend-not-run: full\r\n",
    },
    Case {
        name: "421",
        head: "HTTP/1.1 421 x\r\nshallotrill-request: {id}\r\n",
    },
];

/// Bytes of the response bodies, and the number of closed connections.
#[derive(Debug, Default)]
struct Sent {
    bytes: AtomicUsize,
    closed: AtomicUsize,
}

async fn flood(mut stream: TcpStream, head: &str, sent: &Sent) {
    let mut request = Vec::new();
    while !request.ends_with(b"\r\n\r\n") {
        let mut buffer = [0; 1024];
        let Ok(read @ 1..) = stream.read(&mut buffer).await else {
            return;
        };
        request.extend_from_slice(&buffer[..read]);
    }
    let request = String::from_utf8_lossy(&request).into_owned();
    let id = super::header(&request, "shallotrill-request").unwrap_or_default();
    let head = format!("{head}transfer-encoding: chunked\r\n\r\n").replace("{id}", id);
    let chunk = format!("{CHUNK_BYTES:x}\r\n{}\r\n", "x".repeat(CHUNK_BYTES));
    let mut written = stream.write_all(head.as_bytes()).await;
    while written.is_ok() {
        written = stream.write_all(chunk.as_bytes()).await;
        sent.bytes.fetch_add(CHUNK_BYTES, Ordering::SeqCst);
    }
    sent.closed.fetch_add(1, Ordering::SeqCst);
}

#[tokio::test]
async fn the_body_of_a_refusal_has_no_end() {
    for case in CASES {
        let sent = Arc::new(Sent::default());
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let observed = Arc::clone(&sent);
        let server = tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.expect("a connection");
                let observed = Arc::clone(&observed);
                tokio::spawn(async move { flood(stream, case.head, &observed).await });
            }
        });
        let fixture = fixture(Class::NonIdempotent, &[address]).await;
        let (status, _) = fixture.get("/a/b").await;
        assert_eq!(status, 503, "{}", case.name);
        let closed = async {
            while sent.closed.load(Ordering::SeqCst) == 0 {
                time::sleep(super::POLL_INTERVAL).await;
            }
        };
        let closed = time::timeout(WAIT_TIMEOUT, closed).await;
        assert!(closed.is_ok(), "{}: the connection stays open", case.name);
        let connections = sent.closed.load(Ordering::SeqCst);
        let bytes = sent.bytes.load(Ordering::SeqCst) / connections;
        assert!(bytes < SENT_BYTES_MAX, "{}: {bytes} bytes", case.name);
        server.abort();
    }
}
