//! Tests of admission, slot changes, retry tokens, forged headers and probes.

use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time;

use crate::common;
use crate::common::WAIT_TIMEOUT;

const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);

/// Guards against a node that refuses all requests while no control process is reachable.
#[tokio::test]
async fn without_control() {
    let fixture = common::start(common::spec(), DRAIN_TIMEOUT).await;
    let answer = fixture.get("/").await;
    assert!(
        answer.starts_with("HTTP/1.1 200") && answer.ends_with("done"),
        "{answer}"
    );
    let dump = fixture.dump().await;
    assert_eq!(dump["configuration"]["revision"], 7);
    assert!(dump["configuration"]["cache_age_ms"].is_u64(), "{dump}");
    assert!(dump["control"]["last_answer_age_ms"].is_null(), "{dump}");
}

/// Guards against a gate that loses running or queued requests when the backend server announces other slots.
#[tokio::test]
async fn slots_change() {
    let fixture = common::start(common::spec(), DRAIN_TIMEOUT).await;
    let caller = fixture.caller();
    let mut requests = JoinSet::new();
    for _ in 0..4 {
        requests.spawn(common::get(caller, "/hold", ""));
    }
    fixture
        .wait_until(4, |dump| dump["target"]["load"]["in_flight"] == 4)
        .await;
    let dump = fixture
        .wait_until(2, |dump| dump["target"]["slots"] == 2)
        .await;
    assert_eq!(dump["target"]["load"]["in_flight"], 4);
    requests.spawn(common::get(caller, "/hold", ""));
    fixture
        .wait_until(2, |dump| dump["target"]["load"]["queued"] == 1)
        .await;
    fixture
        .wait_until(6, |dump| dump["target"]["slots"] == 6)
        .await;
    fixture.backend.hold.add_permits(5);
    while let Some(answer) = requests.join_next().await {
        assert!(answer.expect("the task does not panic").ends_with("done"));
    }
    let dump = fixture
        .wait_until(6, |dump| dump["target"]["load"]["in_flight"] == 0)
        .await;
    assert_eq!(dump["target"]["load"]["queued"], 0);
}

/// Guards against requests sent to a backend server that no longer announces itself.
#[tokio::test]
async fn silent_backend_server() {
    let fixture = common::start(common::spec(), DRAIN_TIMEOUT).await;
    assert!(fixture.get("/").await.ends_with("done"));
    let refused = async {
        loop {
            let answer = fixture.get("/").await;
            if !answer.starts_with("HTTP/1.1 200") {
                return answer;
            }
            time::sleep(Duration::from_millis(100)).await;
        }
    };
    let answer = time::timeout(WAIT_TIMEOUT, refused)
        .await
        .expect("the node refuses a request");
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("shallotrill-run: not-run"), "{answer}");
    fixture.announce(4).await;
    assert!(fixture.get("/").await.ends_with("done"));
}

/// Guards against retry tokens that a chain of nested calls loses or creates.
#[tokio::test]
async fn tokens_of_a_chain() {
    const CHAINS: usize = 60;
    let mut spec = common::spec();
    spec.retry_budget_permille = 1_000;
    // Each call of a chain holds a slot of the same target, whose limit adapts, so the target needs many slots.
    spec.slots = 1_000;
    let fixture = common::start(spec, DRAIN_TIMEOUT).await;
    let _announcing = fixture.keep_announcing(1_000);
    // Fills the retry budget: nested calls get tokens only from the upper half of its burst of 100, and each
    // call earns one. The chains have the same length as those below, because mixed latencies would lower the
    // adaptive limit.
    for _ in 0..34 {
        fixture.get("/chain/3").await;
    }
    fixture
        .backend
        .tokens
        .lock()
        .expect("the lock is not poisoned")
        .clear();
    let spent = |dump: &serde_json::Value| dump["services"][0]["retries_spent"].clone();
    for _ in 0..CHAINS {
        let answer = fixture.get("/chain/3").await;
        assert!(answer.ends_with("done"), "{answer}");
    }
    assert_eq!(spent(&fixture.dump().await), 0);
    let tokens = fixture
        .backend
        .tokens
        .lock()
        .expect("the lock is not poisoned")
        .clone();
    assert_eq!(tokens.len(), 3 * CHAINS);
    for (level, tokens) in tokens {
        // Two tokens are withdrawn, one of which goes to the attempt; the nested call keeps that one.
        assert_eq!(tokens, u32::from(level == 3), "level {level}");
    }
}

struct Forged {
    name: &'static str,
    sent: &'static str,
    /// Suffix of the `shallotrill-` header that the backend server receives; `expected` is its value.
    header: &'static str,
    expected: &'static str,
}

/// Guards against a caller that gains retries, attempts or a smaller depth by headers that it sends itself.
const FORGED: &[Forged] = &[
    Forged {
        name: "tokens of an entry call",
        sent: "shallotrill-retry-tokens: 16\r\n",
        header: "retry-tokens",
        expected: "0",
    },
    Forged {
        name: "tokens of a nested call without a parent request",
        sent: "shallotrill-depth: 1\r\nshallotrill-retry-tokens: 16\r\n",
        header: "retry-tokens",
        expected: "0",
    },
    Forged {
        name: "an attempt number",
        sent: "shallotrill-attempt: 4294967295\r\n",
        header: "attempt",
        expected: "1",
    },
    Forged {
        name: "a depth",
        sent: "shallotrill-depth: 5\r\n",
        header: "depth",
        expected: "6",
    },
];

#[tokio::test]
async fn forged_headers() {
    let fixture = common::start(common::spec(), DRAIN_TIMEOUT).await;
    for case in FORGED {
        let path = format!("/header/{}", case.header);
        let answer = common::get(fixture.caller(), &path, case.sent).await;
        let (_, value) = answer
            .split_once("\r\n\r\n")
            .expect("the response has a body");
        assert_eq!(value, case.expected, "{}", case.name);
    }
}

/// Guards against probes beyond the configured budget while the backend server fails them.
#[tokio::test]
async fn probes() {
    let fixture = common::start(common::spec(), DRAIN_TIMEOUT).await;
    fixture.backend.failing.store(true, Ordering::Relaxed);
    let dump = fixture
        .wait_until(4, |dump| dump["target"]["probe_budget"]["permits"] == 2)
        .await;
    let budget = &dump["target"]["probe_budget"];
    let spent = budget["spent_us"].as_u64().expect("the text is a number");
    assert_eq!(spent, 2 * 6_000);
    assert!(
        spent
            <= budget["credited_us"]
                .as_u64()
                .expect("the text is a number"),
        "{budget}"
    );
    let seen = async {
        while fixture.backend.probes.load(Ordering::Relaxed) < 2 {
            time::sleep(Duration::from_millis(5)).await;
        }
    };
    time::timeout(WAIT_TIMEOUT, seen)
        .await
        .expect("two probes arrive");
    assert_eq!(fixture.backend.probes.load(Ordering::Relaxed), 2);
}

/// Guards against a node that keeps the body of a probe response without end in memory.
#[tokio::test]
async fn the_body_of_a_probe_response_has_no_end() {
    /// What the node reads, and the buffers of the two sockets.
    const SENT_BYTES_MAX: u64 = 16 * 1024 * 1024;
    let fixture = common::start(common::spec(), DRAIN_TIMEOUT).await;
    fixture.backend.endless.store(true, Ordering::Relaxed);
    let closed = || fixture.backend.endless_closed.load(Ordering::Relaxed);
    let closing = async {
        while closed() == 0 {
            time::sleep(Duration::from_millis(5)).await;
        }
    };
    time::timeout(WAIT_TIMEOUT, closing)
        .await
        .expect("the node closes the response");
    let sent = fixture.backend.endless_bytes.load(Ordering::Relaxed) / closed();
    assert!(sent < SENT_BYTES_MAX, "{sent} bytes");
}
