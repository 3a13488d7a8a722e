//! How many connections there are, and which of them are given up.

use std::sync::Arc;
use std::time::Duration;

use http::Method;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::common;
use crate::common::LIMIT;
use crate::common::Then;
use shallotrill_backend::config::Config;
use shallotrill_backend::pool::OnSilence;
use shallotrill_backend::silence::Evidence;
use shallotrill_backend::silence::Sequence;

/// Guards against more connections than agreed, and against places that are lost when requests are cancelled.
#[tokio::test]
async fn limit() {
    const CONNECTIONS: usize = 3;
    let server = common::start(Config::default(), CONNECTIONS, "", Then::Hold).await;
    for round in 0..60_u64 {
        let mut asking = JoinSet::new();
        for _ in 0..8 {
            let pool = Arc::clone(&server.pool);
            asking.spawn(
                async move { common::ask(&pool, Method::GET, LIMIT, OnSilence::Wait).await },
            );
        }
        // Each round cancels at another point.
        for _ in 0..round {
            tokio::task::yield_now().await;
            assert!(server.pool.counts().open <= CONNECTIONS);
        }
        asking.shutdown().await;
    }
    let counts = server.settle(|counts| counts.open == counts.idle).await;
    assert!(counts.idle <= CONNECTIONS, "{counts:?}");
    assert_eq!(
        server.ask(Method::GET, LIMIT, OnSilence::Wait).await,
        "200 next"
    );
}

/// Guards against a request refused for want of a connection while one is being opened ahead of need.
#[tokio::test]
async fn last_place() {
    for _ in 0..50 {
        let server = common::start(Config::default(), 2, "", Then::Hold).await;
        let pool = Arc::clone(&server.pool);
        let held =
            tokio::spawn(
                async move { common::ask(&pool, Method::GET, LIMIT, OnSilence::Wait).await },
            );
        server.settle(|counts| counts.open == 2).await;
        // The connection that holds the first request may be either of the two.
        let answered = server
            .ask(Method::GET, Duration::from_millis(200), OnSilence::Wait)
            .await;
        assert_ne!(answered, "exhausted");
        held.abort();
    }
}

/// Guards against the time to open a connection on the path of a request.
#[tokio::test]
async fn spare() {
    let server = common::start(Config::default(), 4, "", Then::Hold).await;
    let pool = Arc::clone(&server.pool);
    let held =
        tokio::spawn(async move { common::ask(&pool, Method::GET, LIMIT, OnSilence::Wait).await });
    server.settle(|counts| counts.idle == 1).await;
    assert_eq!(
        server.ask(Method::GET, LIMIT, OnSilence::Wait).await,
        "200 next"
    );
    assert_eq!(server.pool.counts().waited, 1);
    held.abort();
}

/// Guards against the use of a connection that something on the path may have forgotten.
#[tokio::test]
async fn idle_age() {
    let config = Config::default()
        .spare(0)
        .idle_max(Duration::from_millis(20));
    let answer = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello";
    let server = common::start(config, 4, answer, Then::Hold).await;
    assert_eq!(
        server.ask(Method::GET, LIMIT, OnSilence::Wait).await,
        "200 hello"
    );
    server.settle(|counts| counts.open == 0).await;
    assert_eq!(
        server.ask(Method::GET, LIMIT, OnSilence::Wait).await,
        "200 next"
    );
}

struct Permission {
    name: &'static str,
    /// Whether each of several requests may still be sent when its connection is ready.
    may_send: &'static [bool],
    expected: &'static [&'static str],
    requests: usize,
}

/// Guards against a request that is sent although its grant expired while a connection was opened.
const PERMISSIONS: &[Permission] = &[
    Permission {
        name: "allowed",
        may_send: &[true],
        expected: &["200 hello"],
        requests: 1,
    },
    Permission {
        name: "expired before the first connection was ready",
        may_send: &[false],
        expected: &["withdrawn"],
        requests: 0,
    },
    Permission {
        name: "the connection serves the next request",
        may_send: &[false, true],
        expected: &["withdrawn", "200 hello"],
        requests: 1,
    },
];

#[tokio::test]
async fn permission() {
    for case in PERMISSIONS {
        let config = Config::default().spare(0);
        let answer = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello";
        let server = common::start(config, 1, answer, Then::Hold).await;
        let mut answers = Vec::new();
        for may_send in case.may_send {
            let (limit, on_silence) = (LIMIT, OnSilence::Wait);
            answers.push(
                common::ask_if(&server.pool, Method::POST, limit, on_silence, *may_send).await,
            );
        }
        assert_eq!(answers, case.expected, "{}", case.name);
        let requests = server.seen.lock().expect("no panic").requests;
        assert_eq!(requests, case.requests, "{}", case.name);
    }
}

struct Silent {
    name: &'static str,
    on_silence: OnSilence,
    others: bool,
    expected: &'static str,
}

/// Guards against a request that waits for a dead connection, and against one given up without evidence.
const SILENT: &[Silent] = &[
    Silent {
        name: "others are answered",
        on_silence: OnSilence::GiveUp,
        others: true,
        expected: "silent",
    },
    Silent {
        name: "nothing is answered",
        on_silence: OnSilence::GiveUp,
        others: false,
        expected: "timeout",
    },
    Silent {
        name: "it is not to be sent again",
        on_silence: OnSilence::Wait,
        others: true,
        expected: "timeout",
    },
];

#[tokio::test]
async fn silent() {
    for case in SILENT {
        let server = common::start(Config::default(), 4, "", Then::Hold).await;
        let pool = Arc::clone(&server.pool);
        let limit = Duration::from_secs(2);
        let on_silence = case.on_silence;
        let asking =
            tokio::spawn(async move { common::ask(&pool, Method::GET, limit, on_silence).await });
        let seen = Arc::clone(&server.seen);
        server
            .settle(|_| seen.lock().expect("no panic").requests == 1)
            .await;
        for _ in 0..if case.others { 5 } else { 0 } {
            assert_eq!(
                server.ask(Method::GET, LIMIT, OnSilence::Wait).await,
                "200 next"
            );
        }
        assert_eq!(
            asking.await.expect("no panic"),
            case.expected,
            "{}",
            case.name
        );
        let counts = server.settle(|counts| counts.open == counts.idle).await;
        assert_eq!(
            counts.silent,
            u64::from(case.expected == "silent"),
            "{}",
            case.name
        );
        assert_eq!(
            server.ask(Method::GET, LIMIT, OnSilence::Wait).await,
            "200 next"
        );
    }
}

struct Verdict {
    name: &'static str,
    /// Requests that were answered and their latency in ms.
    answered: &'static [(u64, u64)],
    /// The request in question and how long it was waited for in ms.
    asked: (u64, u64),
    expected: bool,
}

/// Guards against connections given up because a request is just of a slower kind.
const VERDICTS: &[Verdict] = &[
    Verdict {
        name: "nothing was answered",
        answered: &[],
        asked: (1, 10_000),
        expected: false,
    },
    Verdict {
        name: "three later ones",
        answered: &[(2, 5), (3, 5), (4, 5)],
        asked: (1, 250),
        expected: true,
    },
    Verdict {
        name: "a moment earlier",
        answered: &[(2, 5), (3, 5), (4, 5)],
        asked: (1, 249),
        expected: false,
    },
    Verdict {
        name: "two later ones",
        answered: &[(1, 5), (3, 5), (4, 5)],
        asked: (2, 10_000),
        expected: false,
    },
    Verdict {
        name: "out of order",
        answered: &[(4, 5), (2, 5), (3, 5)],
        asked: (1, 250),
        expected: true,
    },
    Verdict {
        name: "earlier ones",
        answered: &[(1, 5), (2, 5), (3, 5)],
        asked: (4, 10_000),
        expected: false,
    },
    Verdict {
        name: "a slow one among them",
        answered: &[(2, 100), (3, 5), (4, 5)],
        asked: (1, 799),
        expected: false,
    },
    Verdict {
        name: "eight times the slow one",
        answered: &[(2, 100), (3, 5), (4, 5)],
        asked: (1, 800),
        expected: true,
    },
];

#[test]
fn verdicts() {
    let now = Instant::now();
    for case in VERDICTS {
        let mut evidence = Evidence::new(now);
        for (sequence, latency) in case.answered {
            evidence.answered(Sequence(*sequence), Duration::from_millis(*latency), now);
        }
        let (sequence, waited) = case.asked;
        let waited = Duration::from_millis(waited);
        let silent = evidence.is_silent(Sequence(sequence), waited, now);
        assert_eq!(silent, case.expected, "{}", case.name);
        // A verdict makes the next wait longer, so that a slow kind of request passes in the end.
        let longer = !silent || evidence.wait(now) >= waited * 8;
        assert!(longer, "{}", case.name);
    }
}
