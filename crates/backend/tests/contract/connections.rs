//! Number of connections of a pool, and conditions under which they are closed.

use std::sync::Arc;
use std::time::Duration;

use http::Method;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::common;
use crate::common::FollowUp;
use crate::common::TEST_TIMEOUT;
use shallotrill_backend::config::Config;
use shallotrill_backend::pool::OnSilence;
use shallotrill_backend::silence::Sequence;
use shallotrill_backend::silence::SilenceDetector;

/// Guards against more connections than the limit, and against slots that leak when requests are cancelled.
#[tokio::test]
async fn connection_limit() {
    const CONNECTIONS: usize = 3;
    let server = common::start(Config::default(), CONNECTIONS, "", FollowUp::Hold).await;
    for round in 0..60_u64 {
        let mut sending = JoinSet::new();
        for _ in 0..8 {
            let pool = Arc::clone(&server.pool);
            sending.spawn(async move {
                common::send(&pool, Method::GET, TEST_TIMEOUT, OnSilence::Wait).await
            });
        }
        // Each round cancels at a different point.
        for _ in 0..round {
            tokio::task::yield_now().await;
            assert!(server.pool.counts().open <= CONNECTIONS);
        }
        sending.shutdown().await;
    }
    let counts = server
        .wait_for_counts(|counts| counts.open == counts.idle)
        .await;
    assert!(counts.idle <= CONNECTIONS, "{counts:?}");
    assert_eq!(
        server
            .send(Method::GET, TEST_TIMEOUT, OnSilence::Wait)
            .await,
        "200 next"
    );
}

/// Guards against a request that is refused for lack of a connection while a spare one is being opened.
#[tokio::test]
async fn last_slot() {
    for _ in 0..50 {
        let server = common::start(Config::default(), 2, "", FollowUp::Hold).await;
        let pool = Arc::clone(&server.pool);
        let held = tokio::spawn(async move {
            common::send(&pool, Method::GET, TEST_TIMEOUT, OnSilence::Wait).await
        });
        server.wait_for_counts(|counts| counts.open == 2).await;
        // The first request may be on either of the two connections.
        let outcome = server
            .send(Method::GET, Duration::from_millis(200), OnSilence::Wait)
            .await;
        assert_ne!(outcome, "exhausted");
        held.abort();
    }
}

/// Guards against a request that waits for a connection to be opened although a spare one exists.
#[tokio::test]
async fn spare() {
    let server = common::start(Config::default(), 4, "", FollowUp::Hold).await;
    let pool = Arc::clone(&server.pool);
    let held = tokio::spawn(async move {
        common::send(&pool, Method::GET, TEST_TIMEOUT, OnSilence::Wait).await
    });
    server.wait_for_counts(|counts| counts.idle == 1).await;
    assert_eq!(
        server
            .send(Method::GET, TEST_TIMEOUT, OnSilence::Wait)
            .await,
        "200 next"
    );
    assert_eq!(server.pool.counts().waited, 1);
    held.abort();
}

/// Guards against the reuse of an idle connection whose state a device on the path may have dropped.
#[tokio::test]
async fn idle_connections_expire() {
    let config = Config::default()
        .spare_connections(0)
        .idle_timeout(Duration::from_millis(20));
    let response = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello";
    let server = common::start(config, 4, response, FollowUp::Hold).await;
    assert_eq!(
        server
            .send(Method::GET, TEST_TIMEOUT, OnSilence::Wait)
            .await,
        "200 hello"
    );
    server.wait_for_counts(|counts| counts.open == 0).await;
    assert_eq!(
        server
            .send(Method::GET, TEST_TIMEOUT, OnSilence::Wait)
            .await,
        "200 next"
    );
}

struct Permission {
    name: &'static str,
    /// One entry per request: whether it may still be sent when its connection is ready.
    may_send: &'static [bool],
    expected: &'static [&'static str],
    requests: usize,
}

/// Guards against a request that is sent although its grant expired while the connection was opened.
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
        let config = Config::default().spare_connections(0);
        let response = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello";
        let server = common::start(config, 1, response, FollowUp::Hold).await;
        let mut outcomes = Vec::new();
        for may_send in case.may_send {
            let (timeout, on_silence) = (TEST_TIMEOUT, OnSilence::Wait);
            outcomes.push(
                common::send_if(&server.pool, Method::POST, timeout, on_silence, *may_send).await,
            );
        }
        assert_eq!(outcomes, case.expected, "{}", case.name);
        let requests = server.observed.lock().expect("no panic").requests;
        assert_eq!(requests, case.requests, "{}", case.name);
    }
}

struct SilenceCase {
    name: &'static str,
    on_silence: OnSilence,
    others_answered: bool,
    expected: &'static str,
}

/// Guards against a request that waits for an unresponsive connection, and against one that is aborted without evidence.
const SILENCE_CASES: &[SilenceCase] = &[
    SilenceCase {
        name: "other requests are answered",
        on_silence: OnSilence::GiveUp,
        others_answered: true,
        expected: "silent",
    },
    SilenceCase {
        name: "no other request is answered",
        on_silence: OnSilence::GiveUp,
        others_answered: false,
        expected: "timeout",
    },
    SilenceCase {
        name: "the request must not be sent again",
        on_silence: OnSilence::Wait,
        others_answered: true,
        expected: "timeout",
    },
];

#[tokio::test]
async fn unresponsive_connections() {
    for case in SILENCE_CASES {
        let server = common::start(Config::default(), 4, "", FollowUp::Hold).await;
        let pool = Arc::clone(&server.pool);
        let timeout = Duration::from_secs(2);
        let on_silence = case.on_silence;
        let sending =
            tokio::spawn(
                async move { common::send(&pool, Method::GET, timeout, on_silence).await },
            );
        let observed = Arc::clone(&server.observed);
        server
            .wait_for_counts(|_| observed.lock().expect("no panic").requests == 1)
            .await;
        for _ in 0..if case.others_answered { 5 } else { 0 } {
            assert_eq!(
                server
                    .send(Method::GET, TEST_TIMEOUT, OnSilence::Wait)
                    .await,
                "200 next"
            );
        }
        assert_eq!(
            sending.await.expect("no panic"),
            case.expected,
            "{}",
            case.name
        );
        let counts = server
            .wait_for_counts(|counts| counts.open == counts.idle)
            .await;
        assert_eq!(
            counts.silent,
            u64::from(case.expected == "silent"),
            "{}",
            case.name
        );
        assert_eq!(
            server
                .send(Method::GET, TEST_TIMEOUT, OnSilence::Wait)
                .await,
            "200 next"
        );
    }
}

struct DetectionCase {
    name: &'static str,
    /// Sequence numbers and latencies in ms of answered requests, in order of their responses.
    answered: &'static [(u64, u64)],
    /// Sequence number of the pending request and how long it has waited in ms.
    pending: (u64, u64),
    expected: bool,
}

/// Guards against connections that are closed because a request is merely slow.
const DETECTION_CASES: &[DetectionCase] = &[
    DetectionCase {
        name: "no request was answered",
        answered: &[],
        pending: (1, 10_000),
        expected: false,
    },
    DetectionCase {
        name: "three later requests were answered",
        answered: &[(2, 5), (3, 5), (4, 5)],
        pending: (1, 250),
        expected: true,
    },
    DetectionCase {
        name: "1 ms before the timeout",
        answered: &[(2, 5), (3, 5), (4, 5)],
        pending: (1, 249),
        expected: false,
    },
    DetectionCase {
        name: "only two later requests were answered",
        answered: &[(1, 5), (3, 5), (4, 5)],
        pending: (2, 10_000),
        expected: false,
    },
    DetectionCase {
        name: "responses out of order",
        answered: &[(4, 5), (2, 5), (3, 5)],
        pending: (1, 250),
        expected: true,
    },
    DetectionCase {
        name: "only earlier requests were answered",
        answered: &[(1, 5), (2, 5), (3, 5)],
        pending: (4, 10_000),
        expected: false,
    },
    DetectionCase {
        name: "1 ms before eight times the slowest latency",
        answered: &[(2, 100), (3, 5), (4, 5)],
        pending: (1, 799),
        expected: false,
    },
    DetectionCase {
        name: "eight times the slowest latency",
        answered: &[(2, 100), (3, 5), (4, 5)],
        pending: (1, 800),
        expected: true,
    },
];

#[test]
fn detection() {
    let now = Instant::now();
    for case in DETECTION_CASES {
        let mut detector = SilenceDetector::new(now);
        for (sequence, latency) in case.answered {
            detector.record_response(Sequence(*sequence), Duration::from_millis(*latency), now);
        }
        let (sequence, waited) = case.pending;
        let waited = Duration::from_millis(waited);
        let silent = detector.is_silent(Sequence(sequence), waited, now);
        assert_eq!(silent, case.expected, "{}", case.name);
        // A positive result increases the next timeout, so that slow requests eventually complete.
        let is_longer = !silent || detector.suspicion_timeout(now) >= waited * 8;
        assert!(is_longer, "{}", case.name);
    }
}
