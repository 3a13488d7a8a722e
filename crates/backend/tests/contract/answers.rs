//! Answers of a backend server, valid and not, and what they leave behind.

use std::time::Duration;

use http::Method;

use crate::common;
use crate::common::LIMIT;
use crate::common::Then;
use shallotrill_backend::config::Config;
use shallotrill_backend::pool::OnSilence;

const SHORT: Duration = Duration::from_millis(300);

struct Case {
    name: &'static str,
    method: Method,
    answer: &'static str,
    then: Then,
    expected: &'static str,
    /// Whether the connection serves the next request.
    reused: bool,
}

const fn case(
    name: &'static str,
    answer: &'static str,
    then: Then,
    expected: &'static str,
    reused: bool,
) -> Case {
    Case {
        name,
        method: Method::GET,
        answer,
        then,
        expected,
        reused,
    }
}

/// Guards against a cut answer taken for a whole one, and against bytes of one answer in the next.
const ANSWERS: &[Case] = &[
    case(
        "a stated length",
        "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello",
        Then::Serve,
        "200 hello",
        true,
    ),
    case(
        "chunks",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
        Then::Serve,
        "200 hello",
        true,
    ),
    case(
        "its own id",
        "HTTP/1.1 200 OK\r\nshallotrill-request: 0000000000000000000000000000000a\r\ncontent-length: 5\r\n\r\nhello",
        Then::Serve,
        "200 hello",
        true,
    ),
    case(
        "another id",
        "HTTP/1.1 200 OK\r\nshallotrill-request: 0000000000000000000000000000000b\r\ncontent-length: 5\r\n\r\nhello",
        Then::Hold,
        "crossed",
        false,
    ),
    case(
        "a length too long, closed",
        "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhello",
        Then::Close,
        "200 cut",
        false,
    ),
    case(
        "a length too long, reset",
        "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhello",
        Then::Reset,
        "200 cut",
        false,
    ),
    case(
        "a length too long, silent",
        "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhello",
        Then::Hold,
        "200 cut",
        false,
    ),
    case(
        "chunks without end",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n",
        Then::Close,
        "200 cut",
        false,
    ),
    case(
        "a chunk size that is no number",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\nzz\r\n",
        Then::Hold,
        "200 cut",
        false,
    ),
    case(
        "neither length nor coding",
        "HTTP/1.1 200 OK\r\n\r\nhello",
        Then::Close,
        "unframed",
        false,
    ),
    case(
        "an interim answer first",
        "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello",
        Then::Serve,
        "200 hello",
        true,
    ),
    case(
        "a change of protocol",
        "HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: x\r\n\r\n",
        Then::Hold,
        "switched",
        false,
    ),
    case(
        "two lengths that differ",
        "HTTP/1.1 200 OK\r\ncontent-length: 4\r\ncontent-length: 5\r\n\r\nhello",
        Then::Hold,
        "lost",
        false,
    ),
    case("no answer, closed", "", Then::Close, "lost", false),
    case("no answer, reset", "", Then::Reset, "lost", false),
    case("no answer, silent", "", Then::Hold, "timeout", false),
    case(
        "half a head",
        "HTTP/1.1 200 OK\r\ncontent-le",
        Then::Close,
        "lost",
        false,
    ),
    case("no HTTP", "hello\r\n\r\n", Then::Hold, "lost", false),
    case(
        "it asks to close",
        "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 5\r\n\r\nhello",
        Then::Close,
        "200 hello",
        false,
    ),
    case(
        "closed while idle",
        "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello",
        Then::Close,
        "200 hello",
        false,
    ),
    case(
        "another answer at once",
        "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhelloHTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nstolen",
        Then::Hold,
        "200 hello",
        false,
    ),
    case(
        "another answer while idle",
        "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello",
        Then::Extra("HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nstolen"),
        "200 hello",
        false,
    ),
    Case {
        name: "HEAD with a length",
        method: Method::HEAD,
        answer: "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n",
        then: Then::Serve,
        expected: "200 ",
        reused: true,
    },
    case(
        "204",
        "HTTP/1.1 204 No Content\r\n\r\n",
        Then::Serve,
        "204 ",
        true,
    ),
    case(
        "304 with a length",
        "HTTP/1.1 304 Not Modified\r\ncontent-length: 5\r\n\r\n",
        Then::Serve,
        "304 ",
        true,
    ),
];

#[tokio::test]
async fn answers() {
    for case in ANSWERS {
        let config = Config::default().spare(0);
        let server = common::start(config, 4, case.answer, case.then).await;
        let answered = server
            .ask(case.method.clone(), SHORT, OnSilence::Wait)
            .await;
        assert_eq!(answered, case.expected, "{}", case.name);
        let idle = usize::from(case.reused);
        let counts = server
            .settle(|counts| counts.open == idle && counts.idle == idle)
            .await;
        let whole = case.expected.starts_with(['2', '3']) && !case.expected.ends_with("cut");
        assert_eq!(counts.closed_in_use, u64::from(!whole), "{}", case.name);
        let next = server.ask(Method::GET, LIMIT, OnSilence::Wait).await;
        assert_eq!(next, "200 next", "{}", case.name);
        let opened = if case.reused { 1 } else { 2 };
        assert_eq!(server.pool.counts().opened, opened, "{}", case.name);
    }
}

/// Guards against an answer that comes in one segment with the one before and is taken by the next request.
#[tokio::test]
async fn stolen_at_once() {
    for _ in 0..50 {
        let answer = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhelloHTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nstolen";
        let server = common::start(Config::default(), 4, answer, Then::Hold).await;
        assert_eq!(
            server.ask(Method::GET, LIMIT, OnSilence::Wait).await,
            "200 hello"
        );
        assert_eq!(
            server.ask(Method::GET, LIMIT, OnSilence::Wait).await,
            "200 next"
        );
    }
}

/// Guards against a request that goes on at the backend server after its caller went away.
#[tokio::test]
async fn cancellation() {
    let server = common::start(Config::default().spare(0), 4, "", Then::Hold).await;
    let pool = std::sync::Arc::clone(&server.pool);
    let asking =
        tokio::spawn(async move { common::ask(&pool, Method::GET, LIMIT, OnSilence::Wait).await });
    let seen = std::sync::Arc::clone(&server.seen);
    let arrived = move || seen.lock().expect("no panic").requests == 1;
    server.settle(|_| arrived()).await;
    asking.abort();
    let seen = std::sync::Arc::clone(&server.seen);
    let counts = server
        .settle(|_| seen.lock().expect("no panic").closed == 1)
        .await;
    assert_eq!((counts.open, counts.idle, counts.closed_in_use), (0, 0, 1));
}
