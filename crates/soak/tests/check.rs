//! Tests of the checks: each invariant is violated in a history that is otherwise valid.

use std::collections::BTreeMap;
use std::sync::Arc;

use shallotrill_soak::check;
use shallotrill_soak::history;
use shallotrill_soak::history::Arrival;
use shallotrill_soak::history::Change;
use shallotrill_soak::history::Disturbance;
use shallotrill_soak::history::DisturbanceKind;
use shallotrill_soak::history::History;
use shallotrill_soak::history::Idempotency;
use shallotrill_soak::history::KeyChange;
use shallotrill_soak::history::Limit;
use shallotrill_soak::history::Outcome;
use shallotrill_soak::history::SentRequest;
use shallotrill_soak::history::Statement;
use shallotrill_soak::plan::REGISTRIES;
use shallotrill_soak::workspaces;

/// Router whose backend server belongs to the first service.
const ROUTER: usize = REGISTRIES;

const CONTENT: &str = "POST /look-up/1 body";

fn text(text: &str) -> Arc<str> {
    Arc::from(text)
}

fn seal() -> Arc<str> {
    history::seal("r1", 200, b"answer")
}

fn arrival(at_ms: u64) -> Arrival {
    Arrival {
        request: text("r1"),
        instance: text("target-5-0"),
        service: text("catalogue"),
        caller: text("catalogue"),
        workspace: text("north"),
        has_key: false,
        content: text(CONTENT),
        at_ms,
        remaining_ms: Some(900),
        executed: true,
        response: Some((200, seal())),
        statement: Statement::default(),
    }
}

fn change(version: u64, service: Option<&str>, acknowledged_at_ms: Option<u64>) -> Change {
    Change {
        route: text("look-up"),
        prefix: text("/look-up/"),
        version,
        content: service.map(|service| vec![text(service)]),
        sent_at_ms: 10,
        acknowledged_at_ms,
    }
}

fn routes(version: u64, service: &str) -> BTreeMap<Arc<str>, (u64, Vec<Arc<str>>)> {
    BTreeMap::from([(text("look-up"), (version, vec![text(service)]))])
}

/// Creates a history without violations: one served request and one change in force.
fn valid_history() -> History {
    let mut history = History::default();
    history.requests.insert(
        text("r1"),
        SentRequest {
            router: ROUTER,
            idempotency: Idempotency::NonIdempotent,
            content: text(CONTENT),
            key: workspaces::CONSTANT_KEY,
            public: false,
            at_ms: 10_000,
            timeout_ms: 1_000,
            outcome: Some((
                10_050,
                Outcome::Response {
                    status: 200,
                    seal: Some(seal()),
                    expected: seal(),
                },
            )),
        },
    );
    history.arrivals.push(arrival(10_010));
    history.changes.push(change(1, Some("catalogue"), Some(20)));
    history.final_routes.push((0, routes(1, "catalogue")));
    history
}

fn set_outcome(history: &mut History, outcome: Outcome) {
    history.record_outcome("r1", 10_050, outcome);
}

fn response(status: u16, seal: Option<Arc<str>>, expected: Arc<str>) -> Outcome {
    Outcome::Response {
        status,
        seal,
        expected,
    }
}

fn disturb(history: &mut History, kind: DisturbanceKind, from_ms: u64, until_ms: u64) {
    history.disturbances.push(Disturbance {
        process: ROUTER,
        kind,
        from_ms,
        until_ms,
    });
}

/// Lets the first request state something in its response, which its router passes on, and adds requests that the
/// router sends afterwards.
fn state_and_send(history: &mut History, statement: Statement, count: usize, from_ms: u64) {
    history.arrivals[0].statement = statement;
    for number in 0..count {
        let request = text(&format!("later-{number}"));
        let sent = SentRequest {
            at_ms: from_ms,
            outcome: None,
            ..history.requests["r1"].clone()
        };
        history.requests.insert(Arc::clone(&request), sent);
        history.arrivals.push(Arrival {
            request,
            response: None,
            ..arrival(from_ms + 10)
        });
    }
}

fn set_key(history: &mut History, key: &'static str) {
    let sent = history.requests.get_mut("r1").expect("the request");
    sent.key = key;
}

/// The request carries the changing key, which was taken away at a time.
fn revoke(history: &mut History, at_ms: u64) {
    set_key(history, workspaces::CHANGING_KEY);
    history.arrivals[0].workspace = text("south");
    history.key_changes.push(KeyChange {
        valid: false,
        sent_at_ms: at_ms - 10,
        acknowledged_at_ms: Some(at_ms),
    });
}

/// Idempotent requests of the limited workspace within four seconds.
fn send_limited(history: &mut History, count: u64) {
    for number in 0..count {
        let request = text(&format!("limited-{number}"));
        let at_ms = 20_000 + number * 4_000 / count;
        let sent = SentRequest {
            at_ms,
            key: "key-of-limited",
            idempotency: Idempotency::Idempotent,
            outcome: None,
            ..history.requests["r1"].clone()
        };
        history.requests.insert(Arc::clone(&request), sent);
        history.arrivals.push(Arrival {
            request,
            workspace: text("limited"),
            response: None,
            ..arrival(at_ms + 10)
        });
    }
}

fn state_limit(history: &mut History, count: usize) {
    let statement = Statement {
        limit_millihertz: Some(1_000),
        leaving: false,
    };
    history.limits.push(Limit {
        instance: text("target-5-0"),
        millihertz: 1_000,
        from_ms: 5_000,
        until_ms: 30_000,
    });
    state_and_send(history, statement, count, 11_000);
}

const LEAVING: Statement = Statement {
    limit_millihertz: None,
    leaving: true,
};

struct Case {
    name: &'static str,
    change_history: fn(&mut History),
    /// The violated invariant; `None` when the case is allowed.
    expected: Option<&'static str>,
}

/// Guards against checks that miss a violation or report what is allowed.
const CASES: &[Case] = &[
    Case {
        name: "no violation",
        change_history: |_| {},
        expected: None,
    },
    Case {
        name: "a non-idempotent request is executed twice",
        change_history: |l| l.arrivals.push(arrival(10_030)),
        expected: Some("at-most-once"),
    },
    Case {
        name: "an idempotent request is executed twice",
        change_history: |l| {
            l.requests.get_mut("r1").unwrap().idempotency = Idempotency::Idempotent;
            l.arrivals.push(arrival(10_030));
        },
        expected: None,
    },
    Case {
        name: "a refused request was executed",
        change_history: |l| set_outcome(l, response(503, None, seal())),
        expected: Some("true-refusals"),
    },
    Case {
        name: "a refused request was refused by the backend server",
        change_history: |l| {
            l.arrivals[0].executed = false;
            set_outcome(l, response(503, None, seal()));
        },
        expected: None,
    },
    Case {
        name: "status 502 for a request that was executed",
        change_history: |l| set_outcome(l, response(502, None, seal())),
        expected: None,
    },
    Case {
        name: "a success without a seal",
        change_history: |l| set_outcome(l, response(200, None, seal())),
        expected: Some("own-answers"),
    },
    Case {
        name: "the response to another request",
        change_history: |l| {
            let other = history::seal("r2", 200, b"answer");
            set_outcome(l, response(200, Some(other), seal()));
        },
        expected: Some("own-answers"),
    },
    Case {
        name: "a truncated body",
        change_history: |l| {
            let cut = history::seal("r1", 200, b"ans");
            set_outcome(l, response(200, Some(seal()), cut));
        },
        expected: Some("own-answers"),
    },
    Case {
        name: "a request that no caller sent",
        change_history: |l| {
            let mut other = arrival(10_030);
            other.request = text("r9");
            l.arrivals.push(other);
        },
        expected: Some("as-sent"),
    },
    Case {
        name: "a changed body",
        change_history: |l| l.arrivals[0].content = text("POST /look-up/1 bod"),
        expected: Some("as-sent"),
    },
    Case {
        name: "the service of another caller",
        change_history: |l| l.arrivals[0].caller = text("payments"),
        expected: Some("as-sent"),
    },
    Case {
        name: "another workspace",
        change_history: |l| l.arrivals[0].workspace = text("south"),
        expected: Some("own-workspace"),
    },
    Case {
        name: "a key that reaches a backend server",
        change_history: |l| l.arrivals[0].has_key = true,
        expected: Some("own-workspace"),
    },
    Case {
        name: "a key that nobody holds",
        change_history: |l| {
            set_key(l, workspaces::UNKNOWN_KEY);
            l.arrivals[0].workspace = text("");
        },
        expected: Some("own-workspace"),
    },
    Case {
        name: "a key that was taken away long before",
        change_history: |l| revoke(l, 6_000),
        expected: Some("revoked-keys"),
    },
    Case {
        name: "a key that was taken away just before",
        change_history: |l| revoke(l, 8_000),
        expected: None,
    },
    Case {
        name: "a key that was taken away during a disturbance",
        change_history: |l| {
            revoke(l, 6_000);
            disturb(l, DisturbanceKind::Other, 6_500, 7_000);
        },
        expected: None,
    },
    Case {
        name: "requests beyond an allotment",
        change_history: |l| send_limited(l, 90),
        expected: Some("allotments"),
    },
    Case {
        name: "requests within an allotment",
        change_history: |l| send_limited(l, 70),
        expected: None,
    },
    Case {
        name: "a service to which no configuration routes the request",
        change_history: |l| l.arrivals[0].service = text("payments"),
        expected: Some("allowed-service"),
    },
    Case {
        name: "a service to which only a later change routes the request",
        change_history: |l| {
            l.arrivals[0].service = text("payments");
            let mut later = change(2, Some("payments"), None);
            later.sent_at_ms = 20_000;
            l.changes.push(later);
        },
        expected: Some("allowed-service"),
    },
    Case {
        name: "an execution after the departure had time to take effect",
        change_history: |l| l.departures.push((text("target-5-0"), 7_000, ROUTER)),
        expected: Some("drains"),
    },
    Case {
        name: "an execution soon after the departure",
        change_history: |l| l.departures.push((text("target-5-0"), 9_000, ROUTER)),
        expected: None,
    },
    Case {
        name: "an execution delayed by a suspended router",
        change_history: |l| {
            l.departures.push((text("target-5-0"), 7_000, ROUTER));
            disturb(l, DisturbanceKind::Pause, 7_100, 9_900);
        },
        expected: None,
    },
    Case {
        name: "a restart of the router does not excuse an execution after the departure",
        change_history: |l| {
            l.departures.push((text("target-5-0"), 7_000, ROUTER));
            disturb(l, DisturbanceKind::Other, 7_100, 9_900);
        },
        expected: Some("drains"),
    },
    Case {
        name: "a graceful stop loses a request in execution",
        change_history: |l| {
            disturb(l, DisturbanceKind::Stop, 10_020, 12_000);
            set_outcome(l, Outcome::Lost);
        },
        expected: Some("graceful-stops"),
    },
    Case {
        name: "a graceful stop and another disturbance",
        change_history: |l| {
            disturb(l, DisturbanceKind::Stop, 10_020, 12_000);
            disturb(l, DisturbanceKind::Other, 8_000, 8_100);
            set_outcome(l, Outcome::Lost);
        },
        expected: None,
    },
    Case {
        name: "requests of callers that disconnected",
        change_history: |l| {
            set_outcome(l, Outcome::Left);
            for at_ms in [11_000, 11_100, 11_200, 11_300] {
                let mut late = arrival(at_ms);
                late.executed = false;
                l.arrivals.push(late);
            }
        },
        expected: Some("callers-that-left"),
    },
    Case {
        name: "more remaining time than the caller allowed",
        change_history: |l| l.arrivals[0].remaining_ms = Some(1_001),
        expected: Some("time-left"),
    },
    Case {
        name: "no remaining time stated",
        change_history: |l| l.arrivals[0].remaining_ms = None,
        expected: Some("time-left"),
    },
    Case {
        name: "further attempts beyond the retry budget",
        change_history: |l| {
            for number in 0..70 {
                let mut copy = arrival(10_100 + number);
                copy.executed = false;
                l.arrivals.push(copy);
            }
        },
        expected: Some("copies"),
    },
    Case {
        name: "an acknowledged change is not in force",
        change_history: |l| l.changes.push(change(3, Some("bookings"), Some(30))),
        expected: Some("accepted-changes"),
    },
    Case {
        name: "an acknowledged removal is undone",
        change_history: |l| l.changes.push(change(3, None, Some(30))),
        expected: Some("accepted-changes"),
    },
    Case {
        name: "a change with unknown outcome is not in force",
        change_history: |l| l.changes.push(change(3, Some("bookings"), None)),
        expected: None,
    },
    Case {
        name: "a change with unknown outcome is in force",
        change_history: |l| {
            l.changes.push(change(3, Some("bookings"), None));
            l.final_routes[0].1 = routes(3, "bookings");
        },
        expected: None,
    },
    Case {
        name: "an acknowledged version is in force with the content of another operator",
        change_history: |l| {
            l.changes.push(change(3, Some("bookings"), Some(30)));
            l.changes.push(change(3, Some("payments"), None));
            l.final_routes[0].1 = routes(3, "payments");
        },
        expected: Some("accepted-changes"),
    },
    Case {
        name: "two contents of one version are acknowledged",
        change_history: |l| {
            l.changes.push(change(3, Some("bookings"), Some(30)));
            l.changes.push(change(3, Some("payments"), Some(30)));
            l.final_routes[0].1 = routes(3, "bookings");
        },
        expected: Some("accepted-changes"),
    },
    Case {
        name: "the second content is acknowledged once a higher version is stored",
        change_history: |l| {
            l.changes.push(change(3, Some("bookings"), Some(30)));
            l.changes.push(change(3, Some("payments"), Some(50)));
            l.changes.push(change(4, Some("bookings"), Some(40)));
            l.final_routes[0].1 = routes(4, "bookings");
        },
        expected: None,
    },
    Case {
        name: "more requests than a stated limit allows",
        change_history: |l| state_limit(l, 12),
        expected: Some("stated-limits"),
    },
    Case {
        name: "as many requests as a stated limit allows",
        change_history: |l| state_limit(l, 11),
        expected: None,
    },
    Case {
        name: "more requests than a limit that has just been stated allows",
        change_history: |l| {
            state_limit(l, 12);
            l.limits[0].from_ms = 9_000;
        },
        expected: None,
    },
    Case {
        name: "more requests than a stated limit allows after a restart of the router",
        change_history: |l| {
            state_limit(l, 12);
            disturb(l, DisturbanceKind::Other, 10_100, 10_200);
        },
        expected: None,
    },
    Case {
        name: "a request to a backend server that has stated that it is leaving",
        change_history: |l| state_and_send(l, LEAVING, 1, 14_000),
        expected: Some("stated-departures"),
    },
    Case {
        name: "a request soon after the statement of a departure",
        change_history: |l| state_and_send(l, LEAVING, 1, 11_000),
        expected: None,
    },
    Case {
        name: "a failure detected during the run",
        change_history: |l| l.failures.push(("stops-in-time", String::new())),
        expected: Some("stops-in-time"),
    },
];

#[test]
fn each_invariant_is_checked() {
    for case in CASES {
        let mut history = valid_history();
        (case.change_history)(&mut history);
        let violated_invariants = check::violated_invariants(&history);
        let names: Vec<&str> = violated_invariants.iter().map(|(name, _)| *name).collect();
        match case.expected {
            Some(expected) => {
                assert!(
                    names.contains(&expected),
                    "{}: {violated_invariants:?}",
                    case.name
                );
            }
            None => assert!(names.is_empty(), "{}: {violated_invariants:?}", case.name),
        }
    }
}

/// Guards against an invariant without a case that violates it.
#[test]
fn every_invariant_has_a_case() {
    for invariant in check::INVARIANTS {
        let mut cases = CASES.iter();
        let found = cases.any(|case| case.expected == Some(invariant.name));
        assert!(found, "{}", invariant.name);
    }
}
