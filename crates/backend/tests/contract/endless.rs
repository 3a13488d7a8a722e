//! Bytes that a backend server sends without end, in a head or a body.

use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use tokio::sync::oneshot;
use tokio::time;

use crate::common;
use crate::common::FollowUp;
use crate::common::TEST_TIMEOUT;
use shallotrill_backend::config::Config;
use shallotrill_backend::pool::OnSilence;
use shallotrill_backend::response::End;

const SHORT_TIMEOUT: Duration = Duration::from_millis(300);

struct Case {
    name: &'static str,
    first: &'static str,
    follow_up: FollowUp,
    expected: &'static str,
}

/// Guards against a request that never ends, and against memory that grows, while a backend server sends bytes
/// without end: each case ends at its own bound or at the timeout of the request, and its connection is closed.
const CASES: &[Case] = &[
    Case {
        name: "a status line",
        first: "HTTP/1.1 200 ",
        follow_up: FollowUp::Flood("OK"),
        expected: "lost",
    },
    Case {
        name: "the value of a header",
        first: "HTTP/1.1 200 OK\r\nname: ",
        follow_up: FollowUp::Flood("value"),
        expected: "lost",
    },
    Case {
        name: "headers",
        first: "HTTP/1.1 200 OK\r\n",
        follow_up: FollowUp::Flood("name: value\r\n"),
        expected: "lost",
    },
    Case {
        name: "informational responses",
        first: "",
        follow_up: FollowUp::Flood("HTTP/1.1 103 Early Hints\r\n\r\n"),
        expected: "timeout",
    },
    Case {
        name: "a head, a byte at a time",
        first: "HTTP/1.1 200 ",
        follow_up: FollowUp::Trickle(Duration::from_millis(20)),
        expected: "timeout",
    },
    Case {
        name: "bytes that are no response",
        first: "",
        follow_up: FollowUp::Flood("no response "),
        expected: "lost",
    },
    Case {
        name: "a chunk extension",
        first: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5;",
        follow_up: FollowUp::Flood("name"),
        expected: "200 truncated",
    },
    Case {
        name: "chunks",
        first: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
        follow_up: FollowUp::Flood("4\r\nbody\r\n"),
        expected: "200 truncated",
    },
    Case {
        name: "trailers",
        first: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
        follow_up: FollowUp::Flood("name: value\r\n"),
        expected: "200 truncated",
    },
    Case {
        name: "a body, a byte at a time",
        first: "HTTP/1.1 200 OK\r\ncontent-length: 1000000\r\n\r\n",
        follow_up: FollowUp::Trickle(Duration::from_millis(20)),
        expected: "200 truncated",
    },
    Case {
        name: "a body without a stated length",
        first: "HTTP/1.1 200 OK\r\n\r\n",
        follow_up: FollowUp::Flood("body"),
        expected: "unframed",
    },
    Case {
        name: "one response after the other",
        first: "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nfirst",
        follow_up: FollowUp::Flood("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nother"),
        expected: "200 first",
    },
];

#[tokio::test]
async fn endless_bytes_end_at_a_bound() {
    for case in CASES {
        let config = Config::default().spare_connections(0);
        let server = common::start(config, 4, case.first, case.follow_up).await;
        let sending = server.send(Method::GET, SHORT_TIMEOUT, OnSilence::Wait);
        let outcome = time::timeout(TEST_TIMEOUT, sending).await;
        assert_eq!(outcome.as_deref(), Ok(case.expected), "{}", case.name);
        let closed = async {
            while server.observed.lock().expect("no panic").closed == 0 {
                time::sleep(Duration::from_millis(1)).await;
            }
        };
        let closed = time::timeout(TEST_TIMEOUT, closed).await;
        assert!(closed.is_ok(), "{}: the connection stays open", case.name);
        let next = server
            .send(Method::GET, TEST_TIMEOUT, OnSilence::Wait)
            .await;
        assert_eq!(next, "200 next", "{}", case.name);
    }
}

/// Guards against an endless body whose reader is slower than its sender: bytes are then always ready, and a
/// deadline that is only checked while none are would never end it.
#[tokio::test]
async fn an_endless_body_ends_at_the_deadline_for_a_slow_reader() {
    let first = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    let follow_up = FollowUp::Flood("4\r\nbody\r\n");
    let config = Config::default().spare_connections(0);
    let server = common::start(config, 4, first, follow_up).await;
    let request = Request::builder()
        .uri("/")
        .header("host", "s")
        .body(Full::new(Bytes::new()))
        .expect("a request");
    let head = server
        .pool
        .dispatch(request, SHORT_TIMEOUT, OnSilence::Wait)
        .await
        .expect("a response");
    let mut body = head.into_response(Box::new(|_| {})).into_body();
    let reading = async {
        while let Some(frame) = body.frame().await {
            frame?;
            time::sleep(Duration::from_millis(5)).await;
        }
        Ok::<_, shallotrill_wire::body::Error>(())
    };
    let read = time::timeout(TEST_TIMEOUT, reading).await;
    assert!(read.is_ok_and(|body| body.is_err()));
}

/// Guards against a slot and a connection that stay in use for a reader that has stopped reading.
#[tokio::test]
async fn a_response_that_is_not_read_ends_at_the_deadline() {
    let first = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    let follow_up = FollowUp::Flood("4\r\nbody\r\n");
    let config = Config::default().spare_connections(0);
    let server = common::start(config, 4, first, follow_up).await;
    let request = Request::builder()
        .uri("/")
        .header("host", "s")
        .body(Full::new(Bytes::new()))
        .expect("a request");
    let head = server
        .pool
        .dispatch(request, SHORT_TIMEOUT, OnSilence::Wait)
        .await
        .expect("a response");
    let (ended, end) = oneshot::channel();
    let finish = Box::new(move |end| {
        let _ = ended.send(end);
    });
    let mut body = head.into_response(finish).into_body();
    let read = body.frame().await.expect("a frame");
    assert!(read.is_ok());
    let end = time::timeout(TEST_TIMEOUT, end).await;
    assert_eq!(end.expect("it ends"), Ok(End::Truncated));
    server.wait_for_counts(|counts| counts.open == 0).await;
    let rest = async {
        while let Some(frame) = body.frame().await {
            frame?;
        }
        Ok::<_, shallotrill_wire::body::Error>(())
    };
    assert!(rest.await.is_err(), "a cut response must not look complete");
}
