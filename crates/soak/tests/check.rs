//! Each promise, broken in a ledger that is otherwise in order.

use std::collections::BTreeMap;
use std::sync::Arc;

use shallotrill_soak::check;
use shallotrill_soak::ledger;
use shallotrill_soak::ledger::Arrival;
use shallotrill_soak::ledger::Change;
use shallotrill_soak::ledger::Disturbance;
use shallotrill_soak::ledger::End;
use shallotrill_soak::ledger::Kind;
use shallotrill_soak::ledger::Ledger;
use shallotrill_soak::ledger::Manner;
use shallotrill_soak::ledger::Sent;
use shallotrill_soak::plan::REGISTRIES;

/// Router beside a backend server of the first service.
const ROUTER: usize = REGISTRIES;

const CONTENT: &str = "POST /look-up/1 body";

fn text(text: &str) -> Arc<str> {
    Arc::from(text)
}

fn seal() -> Arc<str> {
    ledger::seal("r1", 200, b"answer")
}

fn arrival(at: u64) -> Arrival {
    Arrival {
        request: text("r1"),
        target: text("target-5-0"),
        service: text("catalogue"),
        caller: text("catalogue"),
        content: text(CONTENT),
        at,
        limit: Some(900),
        run: true,
        answer: Some((200, seal())),
    }
}

fn change(version: u64, service: Option<&str>, acknowledged: Option<u64>) -> Change {
    Change {
        route: text("look-up"),
        prefix: text("/look-up/"),
        version,
        content: service.map(|service| vec![text(service)]),
        sent: 10,
        acknowledged,
    }
}

fn routes(version: u64, service: &str) -> BTreeMap<Arc<str>, (u64, Vec<Arc<str>>)> {
    BTreeMap::from([(text("look-up"), (version, vec![text(service)]))])
}

/// One request that was served, one change that is in force.
fn whole() -> Ledger {
    let mut ledger = Ledger::default();
    ledger.sent.insert(
        text("r1"),
        Sent {
            router: ROUTER,
            kind: Kind::NonIdempotent,
            content: text(CONTENT),
            at: 10_000,
            limit: 1_000,
            end: Some((
                10_050,
                End::Answer {
                    status: 200,
                    seal: Some(seal()),
                    expected: seal(),
                },
            )),
        },
    );
    ledger.arrivals.push(arrival(10_010));
    ledger.changes.push(change(1, Some("catalogue"), Some(20)));
    ledger.read_back.push((0, routes(1, "catalogue")));
    ledger
}

fn end(ledger: &mut Ledger, end: End) {
    ledger.end("r1", 10_050, end);
}

fn answer(status: u16, seal: Option<Arc<str>>, expected: Arc<str>) -> End {
    End::Answer {
        status,
        seal,
        expected,
    }
}

fn disturb(ledger: &mut Ledger, manner: Manner, from: u64, until: u64) {
    ledger.disturbances.push(Disturbance {
        process: ROUTER,
        manner,
        from,
        until,
    });
}

struct Case {
    name: &'static str,
    spoil: fn(&mut Ledger),
    /// The broken promise; none when the case is allowed.
    expected: Option<&'static str>,
}

/// Guards against a check that finds nothing, and against one that finds what is allowed.
const CASES: &[Case] = &[
    Case {
        name: "nothing is wrong",
        spoil: |_| {},
        expected: None,
    },
    Case {
        name: "a non-idempotent request runs twice",
        spoil: |l| l.arrivals.push(arrival(10_030)),
        expected: Some("at-most-once"),
    },
    Case {
        name: "an idempotent request runs twice",
        spoil: |l| {
            l.sent.get_mut("r1").unwrap().kind = Kind::Idempotent;
            l.arrivals.push(arrival(10_030));
        },
        expected: None,
    },
    Case {
        name: "a refused request has run",
        spoil: |l| end(l, answer(503, None, seal())),
        expected: Some("true-refusals"),
    },
    Case {
        name: "a refused request was turned away by the backend server",
        spoil: |l| {
            l.arrivals[0].run = false;
            end(l, answer(503, None, seal()));
        },
        expected: None,
    },
    Case {
        name: "a failure without a promise, of a request that has run",
        spoil: |l| end(l, answer(502, None, seal())),
        expected: None,
    },
    Case {
        name: "a success without a seal",
        spoil: |l| end(l, answer(200, None, seal())),
        expected: Some("own-answers"),
    },
    Case {
        name: "the answer to another request",
        spoil: |l| {
            let other = ledger::seal("r2", 200, b"answer");
            end(l, answer(200, Some(other), seal()));
        },
        expected: Some("own-answers"),
    },
    Case {
        name: "a cut body",
        spoil: |l| {
            let cut = ledger::seal("r1", 200, b"ans");
            end(l, answer(200, Some(seal()), cut));
        },
        expected: Some("own-answers"),
    },
    Case {
        name: "a request that nobody sent",
        spoil: |l| {
            let mut other = arrival(10_030);
            other.request = text("r9");
            l.arrivals.push(other);
        },
        expected: Some("as-sent"),
    },
    Case {
        name: "a changed body",
        spoil: |l| l.arrivals[0].content = text("POST /look-up/1 bod"),
        expected: Some("as-sent"),
    },
    Case {
        name: "another caller's service",
        spoil: |l| l.arrivals[0].caller = text("payments"),
        expected: Some("as-sent"),
    },
    Case {
        name: "a service to which nothing sends the request",
        spoil: |l| l.arrivals[0].service = text("payments"),
        expected: Some("allowed-service"),
    },
    Case {
        name: "a service to which only a later change sends it",
        spoil: |l| {
            l.arrivals[0].service = text("payments");
            let mut later = change(2, Some("payments"), None);
            later.sent = 20_000;
            l.changes.push(later);
        },
        expected: Some("allowed-service"),
    },
    Case {
        name: "a run after the departure had time to bind",
        spoil: |l| l.drains.push((text("target-5-0"), 7_000, ROUTER)),
        expected: Some("drains"),
    },
    Case {
        name: "a run soon after the departure",
        spoil: |l| l.drains.push((text("target-5-0"), 9_000, ROUTER)),
        expected: None,
    },
    Case {
        name: "a run that a suspended router held back",
        spoil: |l| {
            l.drains.push((text("target-5-0"), 7_000, ROUTER));
            disturb(l, Manner::Pause, 7_100, 9_900);
        },
        expected: None,
    },
    Case {
        name: "a restart of the router does not excuse a run after the departure",
        spoil: |l| {
            l.drains.push((text("target-5-0"), 7_000, ROUTER));
            disturb(l, Manner::Other, 7_100, 9_900);
        },
        expected: Some("drains"),
    },
    Case {
        name: "a stop loses a request that runs",
        spoil: |l| {
            disturb(l, Manner::Stop, 10_020, 12_000);
            end(l, End::Lost);
        },
        expected: Some("graceful-stops"),
    },
    Case {
        name: "a stop beside another disturbance",
        spoil: |l| {
            disturb(l, Manner::Stop, 10_020, 12_000);
            disturb(l, Manner::Other, 8_000, 8_100);
            end(l, End::Lost);
        },
        expected: None,
    },
    Case {
        name: "requests of callers that left",
        spoil: |l| {
            end(l, End::Left);
            for at in [11_000, 11_100, 11_200, 11_300] {
                let mut late = arrival(at);
                late.run = false;
                l.arrivals.push(late);
            }
        },
        expected: Some("callers-that-left"),
    },
    Case {
        name: "more time than the caller has",
        spoil: |l| l.arrivals[0].limit = Some(1_001),
        expected: Some("time-left"),
    },
    Case {
        name: "no time at all",
        spoil: |l| l.arrivals[0].limit = None,
        expected: Some("time-left"),
    },
    Case {
        name: "copies beyond the budget",
        spoil: |l| {
            for number in 0..70 {
                let mut copy = arrival(10_100 + number);
                copy.run = false;
                l.arrivals.push(copy);
            }
        },
        expected: Some("copies"),
    },
    Case {
        name: "an acknowledged change is not in force",
        spoil: |l| l.changes.push(change(3, Some("bookings"), Some(30))),
        expected: Some("accepted-changes"),
    },
    Case {
        name: "an acknowledged removal is undone",
        spoil: |l| l.changes.push(change(3, None, Some(30))),
        expected: Some("accepted-changes"),
    },
    Case {
        name: "a change without a clear answer is not in force",
        spoil: |l| l.changes.push(change(3, Some("bookings"), None)),
        expected: None,
    },
    Case {
        name: "a change without a clear answer is in force",
        spoil: |l| {
            l.changes.push(change(3, Some("bookings"), None));
            l.read_back[0].1 = routes(3, "bookings");
        },
        expected: None,
    },
    Case {
        name: "an acknowledged version is in force with the content of another operator",
        spoil: |l| {
            l.changes.push(change(3, Some("bookings"), Some(30)));
            l.changes.push(change(3, Some("payments"), None));
            l.read_back[0].1 = routes(3, "payments");
        },
        expected: Some("accepted-changes"),
    },
    Case {
        name: "two contents of one version are acknowledged",
        spoil: |l| {
            l.changes.push(change(3, Some("bookings"), Some(30)));
            l.changes.push(change(3, Some("payments"), Some(30)));
            l.read_back[0].1 = routes(3, "bookings");
        },
        expected: Some("accepted-changes"),
    },
    Case {
        name: "the second content is acknowledged once a higher version is held",
        spoil: |l| {
            l.changes.push(change(3, Some("bookings"), Some(30)));
            l.changes.push(change(3, Some("payments"), Some(50)));
            l.changes.push(change(4, Some("bookings"), Some(40)));
            l.read_back[0].1 = routes(4, "bookings");
        },
        expected: None,
    },
    Case {
        name: "a failure that the run saw",
        spoil: |l| l.failures.push(("stops-in-time", String::new())),
        expected: Some("stops-in-time"),
    },
];

#[test]
fn each_promise_is_checked() {
    for case in CASES {
        let mut ledger = whole();
        (case.spoil)(&mut ledger);
        let broken = check::broken(&ledger);
        let names: Vec<&str> = broken.iter().map(|(name, _)| *name).collect();
        match case.expected {
            Some(expected) => {
                assert!(names.contains(&expected), "{}: {broken:?}", case.name);
            }
            None => assert!(names.is_empty(), "{}: {broken:?}", case.name),
        }
    }
}

/// Guards against a promise that no case above breaks.
#[test]
fn every_promise_has_a_case() {
    for promise in check::PROMISES {
        let mut cases = CASES.iter();
        let found = cases.any(|case| case.expected == Some(promise.name));
        assert!(found, "{}", promise.name);
    }
}
