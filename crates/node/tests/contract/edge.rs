//! The gate, the settings that reach it, tokens and probes.

use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time;

use crate::common;
use crate::common::LIMIT;

const DRAIN: Duration = Duration::from_secs(1);

/// Guards against a node that serves nothing while no control process can be reached.
#[tokio::test]
async fn without_control() {
    let site = common::start(common::spec(), DRAIN).await;
    let answer = site.get("/").await;
    assert!(
        answer.starts_with("HTTP/1.1 200") && answer.ends_with("done"),
        "{answer}"
    );
    let dump = site.dump().await;
    assert_eq!(dump["configuration"]["revision"], 7);
    assert!(dump["configuration"]["cache_age_ms"].is_u64(), "{dump}");
    assert!(dump["control"]["last_answer_age_ms"].is_null(), "{dump}");
}

/// Guards against requests that are forgotten by the gate when their backend server announces other slots.
#[tokio::test]
async fn slots_change() {
    let site = common::start(common::spec(), DRAIN).await;
    let caller = site.caller();
    let mut asking = JoinSet::new();
    for _ in 0..4 {
        asking.spawn(common::ask(caller, "/hold", ""));
    }
    site.settle(4, |dump| dump["target"]["load"]["in_flight"] == 4)
        .await;
    let dump = site.settle(2, |dump| dump["target"]["slots"] == 2).await;
    assert_eq!(dump["target"]["load"]["in_flight"], 4);
    asking.spawn(common::ask(caller, "/hold", ""));
    site.settle(2, |dump| dump["target"]["load"]["queued"] == 1)
        .await;
    site.settle(6, |dump| dump["target"]["slots"] == 6).await;
    site.backend.hold.add_permits(5);
    while let Some(answer) = asking.join_next().await {
        assert!(answer.expect("no panic").ends_with("done"));
    }
    let dump = site
        .settle(6, |dump| dump["target"]["load"]["in_flight"] == 0)
        .await;
    assert_eq!(dump["target"]["load"]["queued"], 0);
}

/// Guards against work sent to a backend server that has fallen silent.
#[tokio::test]
async fn silent_backend_server() {
    let site = common::start(common::spec(), DRAIN).await;
    assert!(site.get("/").await.ends_with("done"));
    let refused = async {
        loop {
            let answer = site.get("/").await;
            if !answer.starts_with("HTTP/1.1 200") {
                return answer;
            }
            time::sleep(Duration::from_millis(100)).await;
        }
    };
    let answer = time::timeout(LIMIT, refused).await.expect("a refusal");
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("shallotrill-run: not-run"), "{answer}");
    site.announce(4).await;
    assert!(site.get("/").await.ends_with("done"));
}

/// Guards against retry tokens that are lost, or made, by a chain of nested calls.
#[tokio::test]
async fn tokens_of_a_chain() {
    const CHAINS: usize = 60;
    let mut spec = common::spec();
    spec.retry_budget_permille = 1_000;
    // The calls of a chain hold slots of one target at the same time, and its limit adapts.
    spec.slots = 1_000;
    let site = common::start(spec, DRAIN).await;
    let _announcing = site.keep_announcing(1_000);
    // Tokens for nested calls come from what exceeds half of the budget's burst of 100; each call earns one.
    // They are earned by chains too, so that the limit of the target sees one kind of latency.
    for _ in 0..34 {
        site.get("/chain/3").await;
    }
    site.backend.tokens.lock().expect("no panic").clear();
    let spent = |dump: &serde_json::Value| dump["services"][0]["retries_spent"].clone();
    for _ in 0..CHAINS {
        let answer = site.get("/chain/3").await;
        assert!(answer.ends_with("done"), "{answer}");
    }
    assert_eq!(spent(&site.dump().await), 0);
    let tokens = site.backend.tokens.lock().expect("no panic").clone();
    assert_eq!(tokens.len(), 3 * CHAINS);
    for (level, tokens) in tokens {
        // Two are withdrawn, of which one goes to the attempt; the nested call keeps that one.
        assert_eq!(tokens, u32::from(level == 3), "level {level}");
    }
}

struct Forged {
    name: &'static str,
    sent: &'static str,
    /// A header that the backend server gets, and its value.
    header: &'static str,
    expected: &'static str,
}

/// Guards against a caller that gains copies, attempts or a shallower depth by headers of its own.
const FORGED: &[Forged] = &[
    Forged {
        name: "tokens of a first call",
        sent: "shallotrill-retry-tokens: 16\r\n",
        header: "retry-tokens",
        expected: "0",
    },
    Forged {
        name: "tokens of a nested call that nobody made",
        sent: "shallotrill-depth: 1\r\nshallotrill-retry-tokens: 16\r\n",
        header: "retry-tokens",
        expected: "0",
    },
    Forged {
        name: "an attempt",
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
    let site = common::start(common::spec(), DRAIN).await;
    for case in FORGED {
        let path = format!("/header/{}", case.header);
        let answer = common::ask(site.caller(), &path, case.sent).await;
        let (_, value) = answer.split_once("\r\n\r\n").expect("a body");
        assert_eq!(value, case.expected, "{}", case.name);
    }
}

/// Guards against probes beyond the agreed budget while the backend server fails them.
#[tokio::test]
async fn probes() {
    let site = common::start(common::spec(), DRAIN).await;
    site.backend.failing.store(true, Ordering::Relaxed);
    let dump = site
        .settle(4, |dump| dump["target"]["probe_budget"]["permits"] == 2)
        .await;
    let budget = &dump["target"]["probe_budget"];
    let spent = budget["spent_us"].as_u64().expect("a number");
    assert_eq!(spent, 2 * 6_000);
    assert!(
        spent <= budget["credited_us"].as_u64().expect("a number"),
        "{budget}"
    );
    let seen = async {
        while site.backend.probes.load(Ordering::Relaxed) < 2 {
            time::sleep(Duration::from_millis(5)).await;
        }
    };
    time::timeout(LIMIT, seen).await.expect("two probes");
    assert_eq!(site.backend.probes.load(Ordering::Relaxed), 2);
}
