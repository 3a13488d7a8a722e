//! Cold backend servers and evacuated zones at the gate of their router.

use std::time::Duration;

use tokio::sync::oneshot::error::TryRecvError;

use shallotrill_items::route::WarmUp;
use shallotrill_limits::ticket;
use shallotrill_limits::ticket::Ticket;
use shallotrill_model::instance;
use shallotrill_model::partner;
use shallotrill_model::rate::Rate;
use shallotrill_model::service;
use shallotrill_model::time::Instant;
use shallotrill_router::backend::Backend;
use shallotrill_router::backend::Change;
use shallotrill_router::backend::ServerAnnouncement;
use shallotrill_router::cold::Rule;
use shallotrill_router::cold::Statements;
use shallotrill_router::forwarded::Denial;

const RULE: Rule = Rule::Stated(WarmUp {
    period: Duration::from_secs(4),
    rate: Rate::from_millihertz(5_000),
});

const fn ms(time: u64) -> Instant {
    Instant(time * 1_000)
}

/// A statement about the remaining time, in milliseconds.
enum Stated {
    Announced(Option<u64>),
    Responded(u64),
}

use Stated::Announced;
use Stated::Responded;

struct Case {
    name: &'static str,
    rule: Rule,
    /// Statements by the time at which they are received, in milliseconds.
    stated: &'static [(u64, Stated)],
    /// Whether the backend server is cold at these times.
    expected: &'static [(u64, bool)],
}

/// Guards against a cold backend server that counts as warm, after a restart of its router and while an announcement
/// and a health response overtake each other, and against one that counts as cold for too long.
const CASES: &[Case] = &[
    Case {
        name: "nothing is stated",
        rule: RULE,
        stated: &[(0, Announced(None))],
        expected: &[(0, true), (3_999, true), (4_000, false)],
    },
    Case {
        name: "nothing is stated and the service has no warm-up",
        rule: Rule::Absent,
        stated: &[],
        expected: &[(0, false)],
    },
    Case {
        name: "a statement ends the assumption",
        rule: RULE,
        stated: &[(0, Announced(Some(0)))],
        expected: &[(0, false)],
    },
    Case {
        name: "a health response ends the assumption",
        rule: RULE,
        stated: &[(10, Responded(0))],
        expected: &[(9, true), (10, false)],
    },
    Case {
        name: "cold for the stated time",
        rule: RULE,
        stated: &[(0, Announced(Some(6_000)))],
        expected: &[(5_999, true), (6_000, false)],
    },
    Case {
        name: "an announcement that is older than the health response",
        rule: RULE,
        stated: &[(0, Responded(2_000)), (100, Announced(Some(0)))],
        expected: &[(100, true), (1_999, true), (2_000, false)],
    },
    Case {
        name: "an announcement well after the health response",
        rule: RULE,
        stated: &[(0, Responded(9_000)), (1_500, Announced(Some(0)))],
        expected: &[(1_499, true), (1_500, false)],
    },
    Case {
        name: "cold again",
        rule: RULE,
        stated: &[(0, Announced(Some(0))), (500, Responded(3_000))],
        expected: &[(499, false), (500, true), (3_500, false)],
    },
    Case {
        name: "an absurd time",
        rule: RULE,
        stated: &[(0, Responded(u64::MAX))],
        expected: &[(0, true), (600_000, false)],
    },
];

#[test]
fn statements_tell_whether_a_backend_server_is_cold() {
    for case in CASES {
        for (at, expected) in case.expected {
            let mut statements = Statements::new(ms(0));
            for (received, stated) in case.stated.iter().filter(|(time, _)| time <= at) {
                match stated {
                    Announced(remaining) => {
                        let remaining = remaining.map(Duration::from_millis);
                        statements.announce(remaining, ms(*received));
                    }
                    Responded(remaining) => {
                        statements.respond(Duration::from_millis(*remaining), ms(*received));
                    }
                }
            }
            let is_cold = statements.is_cold(case.rule, ms(*at));
            assert_eq!(is_cold, *expected, "{} at {at} ms", case.name);
        }
    }
}

fn announcement(start_time_ms: u64, cold_ms: Option<u64>) -> ServerAnnouncement {
    ServerAnnouncement {
        instance: instance::Name::new("a").expect("a valid name"),
        service: service::Name::new("archive").expect("a valid name"),
        start_time_ms,
        sequence: 1,
        draining: false,
        slots: 9,
        warm_up_remaining: cold_ms.map(Duration::from_millis),
    }
}

fn ticket(id: u64, now: Instant) -> Ticket {
    let start = now + Duration::from_millis(300);
    Ticket {
        id: ticket::Id(id),
        partner: partner::Name::new("p").expect("a valid name"),
        priority: 0,
        timely_until: start,
        deadline: start,
    }
}

/// Number of requests that start at once of 20 that arrive.
fn started(backend: &mut Backend, now: Instant) -> usize {
    let current = backend.current.as_mut().expect("a backend server");
    let offers = (0..20).map(|id| current.offer(ticket(now.0 + id, now), now));
    offers.filter(|offer| matches!(offer, Ok(None))).count()
}

struct RestartCase {
    name: &'static str,
    cold_ms: Option<u64>,
    /// Requests that start before and after the items are known.
    started: (usize, usize),
}

/// Guards against a restarted router that sends a cold backend server the usual number of requests.
const RESTART_CASES: &[RestartCase] = &[
    RestartCase {
        name: "it states that it is cold",
        cold_ms: Some(3_000),
        started: (0, 1),
    },
    RestartCase {
        name: "it states that it is warm",
        cold_ms: Some(0),
        started: (7, 7),
    },
];

#[test]
fn a_router_that_starts_keeps_the_pace_of_a_cold_backend_server() {
    for case in RESTART_CASES {
        let mut backend = Backend::default();
        let change = backend.announce(announcement(100, case.cold_ms), ms(0));
        assert_eq!(change, Change::Incarnation, "{}", case.name);
        assert_eq!(
            started(&mut backend, ms(1)),
            case.started.0,
            "{}",
            case.name
        );
        let mut backend = Backend::default();
        backend.announce(announcement(100, case.cold_ms), ms(0));
        assert_eq!(backend.set_rule(RULE, ms(2)), None, "{}", case.name);
        assert_eq!(
            started(&mut backend, ms(3)),
            case.started.1,
            "{}",
            case.name
        );
    }
    let mut backend = Backend::default();
    backend.announce(announcement(100, None), ms(0));
    assert!(backend.set_rule(RULE, ms(2)).is_some());
    assert_eq!(started(&mut backend, ms(3)), 1, "it states nothing");
}

/// Guards against a request that runs in an evacuated zone because it waited already, because the backend server was
/// restarted or because it arrived from a router that does not know of the evacuation.
#[test]
fn a_gate_in_an_evacuated_zone_runs_nothing_new() {
    let mut backend = Backend::default();
    backend.announce(announcement(100, Some(0)), ms(0));
    let current = backend.current.as_mut().expect("a backend server");
    let offers = (0..8).map(|id| current.offer(ticket(id, ms(0)), ms(0)));
    let mut waiting = offers.last().expect("offers").expect("it waits");
    let receiver = waiting.as_mut().expect("it waits");
    assert_eq!(receiver.try_recv(), Err(TryRecvError::Empty));
    assert_eq!(backend.set_evacuated(true), (true, 1));
    assert_eq!(receiver.try_recv(), Ok(Err(Denial::Gone)));
    assert_eq!(backend.set_evacuated(true), (false, 0));
    assert_eq!(started(&mut backend, ms(1)), 0);
    backend.announce(announcement(200, Some(0)), ms(2));
    assert_eq!(started(&mut backend, ms(3)), 0, "another incarnation");
    let current = backend.current.as_ref().expect("a backend server");
    assert!(current.is_withheld() && !current.is_draining());
    assert_eq!(backend.set_evacuated(false), (true, 0));
    assert_eq!(started(&mut backend, ms(4)), 7);
}
