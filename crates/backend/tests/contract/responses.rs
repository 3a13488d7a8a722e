//! Valid and invalid responses of a backend server, and the state of the connection after them.

use std::time::Duration;

use http::Method;

use crate::common;
use crate::common::FollowUp;
use crate::common::TEST_TIMEOUT;
use shallotrill_backend::config::Config;
use shallotrill_backend::pool::OnSilence;

const SHORT_TIMEOUT: Duration = Duration::from_millis(300);

struct Case {
    name: &'static str,
    method: Method,
    response: &'static str,
    follow_up: FollowUp,
    expected: &'static str,
    /// Whether the connection serves the next request.
    reused: bool,
}

const fn case(
    name: &'static str,
    response: &'static str,
    follow_up: FollowUp,
    expected: &'static str,
    reused: bool,
) -> Case {
    Case {
        name,
        method: Method::GET,
        response,
        follow_up,
        expected,
        reused,
    }
}

/// A response with the body `hello` and this status.
macro_rules! status {
    ($status:literal) => {
        concat!("HTTP/1.1 ", $status, "\r\ncontent-length: 5\r\n\r\nhello")
    };
}

/// Guards against a truncated response that is accepted as complete, and against bytes of one response in the next.
const RESPONSES: &[Case] = &[
    case(
        "content length",
        "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello",
        FollowUp::Serve,
        "200 hello",
        true,
    ),
    case(
        "chunked",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
        FollowUp::Serve,
        "200 hello",
        true,
    ),
    case(
        "own request id",
        "HTTP/1.1 200 OK\r\nshallotrill-request: 0000000000000000000000000000000a\r\ncontent-length: 5\r\n\r\nhello",
        FollowUp::Serve,
        "200 hello",
        true,
    ),
    case(
        "id of another request",
        "HTTP/1.1 200 OK\r\nshallotrill-request: 0000000000000000000000000000000b\r\ncontent-length: 5\r\n\r\nhello",
        FollowUp::Hold,
        "crossed",
        false,
    ),
    case(
        "shorter than the content length, closed",
        "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhello",
        FollowUp::Close,
        "200 truncated",
        false,
    ),
    case(
        "shorter than the content length, reset",
        "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhello",
        FollowUp::Reset,
        "200 truncated",
        false,
    ),
    case(
        "shorter than the content length, connection held open",
        "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhello",
        FollowUp::Hold,
        "200 truncated",
        false,
    ),
    case(
        "chunked without the last chunk",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n",
        FollowUp::Close,
        "200 truncated",
        false,
    ),
    case(
        "chunk size is not a number",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\nzz\r\n",
        FollowUp::Hold,
        "200 truncated",
        false,
    ),
    case(
        "neither length nor transfer coding",
        "HTTP/1.1 200 OK\r\n\r\nhello",
        FollowUp::Close,
        "unframed",
        false,
    ),
    case(
        "interim responses first",
        "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello",
        FollowUp::Serve,
        "200 hello",
        true,
    ),
    case(
        "protocol switch",
        "HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: x\r\n\r\n",
        FollowUp::Hold,
        "switched",
        false,
    ),
    case(
        "two different lengths",
        "HTTP/1.1 200 OK\r\ncontent-length: 4\r\ncontent-length: 5\r\n\r\nhello",
        FollowUp::Hold,
        "lost",
        false,
    ),
    case("no response, closed", "", FollowUp::Close, "lost", false),
    case("no response, reset", "", FollowUp::Reset, "lost", false),
    case(
        "no response, connection held open",
        "",
        FollowUp::Hold,
        "timeout",
        false,
    ),
    case(
        "incomplete head",
        "HTTP/1.1 200 OK\r\ncontent-le",
        FollowUp::Close,
        "lost",
        false,
    ),
    case("not HTTP", "hello\r\n\r\n", FollowUp::Hold, "lost", false),
    case(
        "connection: close",
        "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 5\r\n\r\nhello",
        FollowUp::Close,
        "200 hello",
        false,
    ),
    case(
        "closed while idle",
        "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello",
        FollowUp::Close,
        "200 hello",
        false,
    ),
    case(
        "a second response immediately",
        "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhelloHTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nstolen",
        FollowUp::Hold,
        "200 hello",
        false,
    ),
    case(
        "a second response while idle",
        "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello",
        FollowUp::SendUnsolicited("HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nstolen"),
        "200 hello",
        false,
    ),
    Case {
        name: "HEAD with a length",
        method: Method::HEAD,
        response: "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n",
        follow_up: FollowUp::Serve,
        expected: "200 ",
        reused: true,
    },
    case(
        "204",
        "HTTP/1.1 204 No Content\r\n\r\n",
        FollowUp::Serve,
        "204 ",
        true,
    ),
    case(
        "304 with a length",
        "HTTP/1.1 304 Not Modified\r\ncontent-length: 5\r\n\r\n",
        FollowUp::Serve,
        "304 ",
        true,
    ),
];

/// Guards against bytes that are not a response and are passed on as one, with a status that no client understands.
const STATUSES: &[Case] = &[
    case("000", status!("000 x"), FollowUp::Hold, "lost", false),
    case("099", status!("099 x"), FollowUp::Hold, "lost", false),
    case("600", status!("600 x"), FollowUp::Hold, "invalid", false),
    case("999", status!("999 x"), FollowUp::Hold, "invalid", false),
    case(
        "700 that states that the request has not run",
        "HTTP/1.1 700 x\r\nshallotrill-run: not-run\r\ncontent-length: 0\r\n\r\n",
        FollowUp::Hold,
        "invalid",
        false,
    ),
    case("two digits", status!("20 x"), FollowUp::Hold, "lost", false),
    case(
        "four digits",
        status!("2000 x"),
        FollowUp::Hold,
        "lost",
        false,
    ),
    case("no digits", status!("OK"), FollowUp::Hold, "lost", false),
    case("a letter", status!("20O x"), FollowUp::Hold, "lost", false),
    case("a sign", status!("+20 x"), FollowUp::Hold, "lost", false),
    case("final 100", status!("100 x"), FollowUp::Hold, "lost", false),
    case("final 199", status!("199 x"), FollowUp::Hold, "lost", false),
    case(
        "final 100 without a body, closed",
        "HTTP/1.1 100 x\r\n\r\n",
        FollowUp::Close,
        "lost",
        false,
    ),
    case(
        "final 100 without a body, connection held open",
        "HTTP/1.1 100 x\r\n\r\n",
        FollowUp::Hold,
        "timeout",
        false,
    ),
    case(
        "an invalid status after an interim response",
        "HTTP/1.1 100 x\r\n\r\nHTTP/1.1 000 x\r\ncontent-length: 5\r\n\r\nhello",
        FollowUp::Hold,
        "lost",
        false,
    ),
    case("599", status!("599 x"), FollowUp::Serve, "599 hello", true),
];

#[tokio::test]
async fn responses() {
    for case in RESPONSES.iter().chain(STATUSES) {
        let config = Config::default().spare_connections(0);
        let server = common::start(config, 4, case.response, case.follow_up).await;
        let outcome = server
            .send(case.method.clone(), SHORT_TIMEOUT, OnSilence::Wait)
            .await;
        assert_eq!(outcome, case.expected, "{}", case.name);
        let idle = usize::from(case.reused);
        let counts = server
            .wait_for_counts(|counts| counts.open == idle && counts.idle == idle)
            .await;
        let complete =
            case.expected.starts_with(char::is_numeric) && !case.expected.ends_with("truncated");
        assert_eq!(counts.closed_in_use, u64::from(!complete), "{}", case.name);
        let next = server
            .send(Method::GET, TEST_TIMEOUT, OnSilence::Wait)
            .await;
        assert_eq!(next, "200 next", "{}", case.name);
        let opened = if case.reused { 1 } else { 2 };
        assert_eq!(server.pool.counts().opened, opened, "{}", case.name);
    }
}

/// Guards against a second response in the same TCP segment that is accepted as the response to the next request.
#[tokio::test]
async fn immediate_unsolicited_response() {
    for _ in 0..50 {
        let response = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhelloHTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nstolen";
        let server = common::start(Config::default(), 4, response, FollowUp::Hold).await;
        assert_eq!(
            server
                .send(Method::GET, TEST_TIMEOUT, OnSilence::Wait)
                .await,
            "200 hello"
        );
        assert_eq!(
            server
                .send(Method::GET, TEST_TIMEOUT, OnSilence::Wait)
                .await,
            "200 next"
        );
    }
}

/// Guards against a request that continues to run at the backend server after its caller has disconnected.
#[tokio::test]
async fn cancellation() {
    let server = common::start(
        Config::default().spare_connections(0),
        4,
        "",
        FollowUp::Hold,
    )
    .await;
    let pool = std::sync::Arc::clone(&server.pool);
    let sending = tokio::spawn(async move {
        common::send(&pool, Method::GET, TEST_TIMEOUT, OnSilence::Wait).await
    });
    let observed = std::sync::Arc::clone(&server.observed);
    let arrived = move || observed.lock().expect("no panic").requests == 1;
    server.wait_for_counts(|_| arrived()).await;
    sending.abort();
    let observed = std::sync::Arc::clone(&server.observed);
    let counts = server
        .wait_for_counts(|_| observed.lock().expect("no panic").closed == 1)
        .await;
    assert_eq!((counts.open, counts.idle, counts.closed_in_use), (0, 0, 1));
}

struct RefusalCase {
    name: &'static str,
    response: &'static str,
    /// Whether the connection serves the next request.
    reused: bool,
}

/// Guards against a refusal that the backend server repeats on a kept connection and that is taken for the refusal
/// of the next request, which runs. Only the id tells them apart.
const REFUSALS: &[RefusalCase] = &[
    RefusalCase {
        name: "a refusal without a request id",
        response: "HTTP/1.1 503 x\r\nshallotrill-run: not-run\r\ncontent-length: 0\r\n\r\n",
        reused: false,
    },
    RefusalCase {
        name: "a refusal with the request id",
        response: "HTTP/1.1 503 x\r\nshallotrill-run: not-run\r\nshallotrill-request: 0000000000000000000000000000000a\r\ncontent-length: 0\r\n\r\n",
        reused: true,
    },
    RefusalCase {
        name: "an error that is no refusal",
        response: "HTTP/1.1 500 x\r\ncontent-length: 0\r\n\r\n",
        reused: true,
    },
];

#[tokio::test]
async fn a_repeated_refusal_is_taken_for_the_response_to_another_request() {
    for case in REFUSALS {
        let config = Config::default().spare_connections(0);
        let server = common::start(config, 4, case.response, FollowUp::Serve).await;
        for _ in 0..2 {
            server
                .send(Method::GET, TEST_TIMEOUT, OnSilence::Wait)
                .await;
        }
        let opened = if case.reused { 1 } else { 2 };
        assert_eq!(server.pool.counts().opened, opened, "{}", case.name);
    }
}
