//! Requests that a caller sends ahead on one connection, through the routers.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time;

use crate::COMPLETE;
use crate::RequestLog;
use crate::SLOW_REQUEST_DURATION;
use crate::TIMEOUT;
use crate::WAIT_TIMEOUT;
use crate::backend_server;
use crate::fixture;
use crate::header;
use shallotrill_model::class::Class;

struct Case {
    name: &'static str,
    /// Requests for `/a/slow` in front of the last one.
    slow: usize,
    /// Deadline of the last request, in milliseconds.
    deadline_ms: u64,
    /// Whether the last request must not reach the backend server, because its time is over.
    late: bool,
}

/// Guards against a deadline that begins only when the requests in front have ended: a target then works on a request
/// whose caller has given up.
const CASES: &[Case] = &[
    Case {
        name: "the route's timeout",
        slow: 1,
        deadline_ms: 60_000,
        late: false,
    },
    Case {
        name: "a deadline that ends while the request waits",
        slow: 1,
        deadline_ms: 1_000,
        late: true,
    },
    Case {
        name: "two requests in front",
        slow: 2,
        deadline_ms: 60_000,
        late: true,
    },
];

#[tokio::test]
async fn the_deadline_of_a_request_begins_with_its_arrival() {
    for case in CASES {
        let log = Arc::new(RequestLog::default());
        let one = backend_server(COMPLETE, Arc::clone(&log)).await;
        let fixture = fixture(Class::Idempotent, &[one]).await;
        let address = fixture.routers[0].state().settings.caller_listen;
        let mut stream = TcpStream::connect(address).await.expect("connected");
        let slow = "GET /a/slow HTTP/1.1\r\nHost: host\r\n\r\n".repeat(case.slow);
        let last = format!(
            "GET /a/last HTTP/1.1\r\nHost: host\r\nshallotrill-deadline-ms: {}\r\nConnection: close\r\n\r\n",
            case.deadline_ms
        );
        let sent = format!("{slow}{last}");
        stream.write_all(sent.as_bytes()).await.expect("sent");
        let mut read = String::new();
        let reading = stream.read_to_string(&mut read);
        let ended = time::timeout(WAIT_TIMEOUT, reading).await;
        assert!(ended.is_ok_and(|read| read.is_ok()), "{}", case.name);
        let responses = read.matches("HTTP/1.1 ").count();
        assert_eq!(responses, case.slow + 1, "{}: {read}", case.name);
        let head = log.head.lock().expect("no panic in another thread").clone();
        if case.late {
            assert!(read.contains("HTTP/1.1 503 "), "{}: {read}", case.name);
            assert!(!head.starts_with("GET /a/last"), "{}", case.name);
            assert!(log.received.load(Ordering::SeqCst) <= case.slow);
        } else if head.starts_with("GET /a/last") {
            let stated = header(&head, "shallotrill-deadline-ms").and_then(|ms| ms.parse().ok());
            let stated = Duration::from_millis(stated.expect("a deadline"));
            let left = TIMEOUT.saturating_sub(SLOW_REQUEST_DURATION);
            assert!(stated <= left, "{}: {stated:?} of {left:?}", case.name);
        }
    }
}

/// Guards against a request with both lengths that is forwarded: another parser of the same bytes finds other requests.
#[tokio::test]
async fn a_request_with_both_lengths_is_refused() {
    let log = Arc::new(RequestLog::default());
    let one = backend_server(COMPLETE, Arc::clone(&log)).await;
    let fixture = fixture(Class::NonIdempotent, &[one]).await;
    let address = fixture.routers[0].state().settings.caller_listen;
    let mut stream = TcpStream::connect(address).await.expect("connected");
    let sent = "POST /a/b HTTP/1.1\r\nHost: host\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    stream.write_all(sent.as_bytes()).await.expect("sent");
    let mut read = String::new();
    let reading = stream.read_to_string(&mut read);
    let ended = time::timeout(WAIT_TIMEOUT, reading).await;
    assert!(ended.is_ok_and(|read| read.is_ok()), "{read}");
    assert!(read.starts_with("HTTP/1.1 400 "), "{read}");
    assert_eq!(log.received.load(Ordering::SeqCst), 0);
}
