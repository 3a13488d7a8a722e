//! Incarnations of the local backend server: late announcements, drains and slowness reports.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use shallotrill_feed::message::Departure;
use shallotrill_limits::ticket;
use shallotrill_limits::ticket::Ticket;
use shallotrill_model::instance;
use shallotrill_model::partner;
use shallotrill_model::service;
use shallotrill_model::time::Instant;
use shallotrill_router::backend::Backend;
use shallotrill_router::backend::Change;
use shallotrill_router::backend::ServerAnnouncement;
use shallotrill_router::forwarded::Denial;

/// Address of the router.
const ROUTER: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 1);

/// Unix time of the deregistrations, in milliseconds.
const WALL_MS: u64 = 1_000;

fn name(text: &str) -> instance::Name {
    instance::Name::new(text).expect("a valid name")
}

/// Name, start time, sequence number and whether it is draining.
type ReportedState = (&'static str, u64, u64, bool);

fn announcement(
    (identity, start_time_ms, sequence, draining): ReportedState,
) -> ServerAnnouncement {
    ServerAnnouncement {
        instance: name(identity),
        service: service::Name::new("catalogue").expect("a valid name"),
        start_time_ms,
        sequence,
        draining,
        slots: 10,
        warm_up_remaining: Some(Duration::ZERO),
    }
}

struct Case {
    name: &'static str,
    announced: &'static [ReportedState],
    /// Expected change by the last announcement.
    change: Change,
    /// Expected current incarnation: name, start time and whether it is draining.
    current: (&'static str, u64, bool),
}

/// Guards against a late announcement that reactivates a retired incarnation or undoes a drain.
const CASES: &[Case] = &[
    Case {
        name: "first announcement",
        announced: &[("a", 100, 1, false)],
        change: Change::Incarnation,
        current: ("a", 100, false),
    },
    Case {
        name: "the backend server starts to drain",
        announced: &[("a", 100, 1, false), ("a", 100, 2, true)],
        change: Change::Target,
        current: ("a", 100, true),
    },
    Case {
        name: "a late announcement does not undo a drain",
        announced: &[
            ("a", 100, 1, false),
            ("a", 100, 3, true),
            ("a", 100, 2, false),
        ],
        change: Change::None,
        current: ("a", 100, true),
    },
    Case {
        name: "another backend server at the same address",
        announced: &[("a", 100, 5, false), ("b", 200, 1, false)],
        change: Change::Incarnation,
        current: ("b", 200, false),
    },
    Case {
        name: "the same backend server restarts with a lower sequence number",
        announced: &[("a", 100, 5, true), ("a", 200, 1, false)],
        change: Change::Incarnation,
        current: ("a", 200, false),
    },
    Case {
        name: "late announcement of a retired incarnation",
        announced: &[
            ("a", 100, 5, false),
            ("b", 200, 1, false),
            ("a", 100, 6, false),
        ],
        change: Change::None,
        current: ("b", 200, false),
    },
    Case {
        name: "late announcement of a retired incarnation without a start time",
        announced: &[("a", 0, 5, false), ("b", 0, 1, false), ("a", 0, 6, false)],
        change: Change::None,
        current: ("b", 0, false),
    },
];

#[test]
fn late_announcements_change_nothing() {
    for case in CASES {
        let mut backend = Backend::default();
        let mut change = Change::None;
        for &announced in case.announced {
            change = backend.announce(announcement(announced), Instant(1));
        }
        assert_eq!(change, case.change, "{}", case.name);
        let current = backend.current.as_ref().expect(case.name);
        let known = &current.announcement;
        let actual = (known.instance.as_str(), known.start_time_ms, known.draining);
        assert_eq!(actual, case.current, "{}", case.name);
    }
}

/// Guards against requests to a backend server that has deregistered, also when a late announcement follows.
#[test]
fn a_deregistered_incarnation_is_not_reactivated() {
    let mut backend = Backend::default();
    backend.announce(announcement(("a", 100, 1, false)), Instant(1));
    let other = backend.deregister(&name("b"), None, WALL_MS);
    assert_eq!(other, Change::None);
    let own = backend.deregister(&name("a"), None, WALL_MS);
    assert_eq!(own, Change::Target);
    let change = backend.announce(announcement(("a", 100, 2, false)), Instant(2));
    assert_eq!(change, Change::None);
    assert!(backend.current.is_none());
}

/// What a backend server reports.
#[derive(Clone, Copy)]
enum Report {
    /// The second at which it arrives, and its content.
    Announce(u64, ReportedState),
    /// Its name and start.
    Deregister(&'static str, u64),
}

use Report::Announce;
use Report::Deregister;

struct SetBack {
    name: &'static str,
    reports: &'static [Report],
    /// Expected change by the last report.
    change: Change,
    /// Expected current start, and whether it is draining.
    current: Option<(u64, bool)>,
}

/// Guards against a drain or departure that is acknowledged although the address stays in use, after the time of day was
/// set back between two starts, and against late announcements that end a later incarnation.
const SET_BACK: &[SetBack] = &[
    SetBack {
        name: "a drain is not acknowledged while a later start is current",
        reports: &[
            Announce(0, ("a", 100, 9, false)),
            Announce(1, ("a", 96, 1, false)),
            Announce(2, ("a", 96, 2, true)),
        ],
        change: Change::Refused,
        current: Some((100, false)),
    },
    SetBack {
        name: "the earlier start replaces one that has stopped to announce itself",
        reports: &[
            Announce(0, ("a", 100, 9, false)),
            Announce(1, ("a", 96, 1, false)),
            Announce(4, ("a", 96, 2, false)),
            Announce(6, ("a", 96, 3, false)),
        ],
        change: Change::Incarnation,
        current: Some((96, false)),
    },
    SetBack {
        name: "its drain is applied then",
        reports: &[
            Announce(0, ("a", 100, 9, false)),
            Announce(1, ("a", 96, 1, false)),
            Announce(6, ("a", 96, 2, false)),
            Announce(7, ("a", 96, 3, true)),
        ],
        change: Change::Target,
        current: Some((96, true)),
    },
    SetBack {
        name: "another name with an earlier start replaces it too",
        reports: &[
            Announce(0, ("a", 100, 9, false)),
            Announce(1, ("b", 96, 1, false)),
            Announce(6, ("b", 96, 2, false)),
        ],
        change: Change::Incarnation,
        current: Some((96, false)),
    },
    SetBack {
        name: "the later start goes on to announce itself",
        reports: &[
            Announce(0, ("a", 100, 9, false)),
            Announce(1, ("a", 96, 1, false)),
            Announce(5, ("a", 100, 10, false)),
            Announce(6, ("a", 96, 2, false)),
        ],
        change: Change::None,
        current: Some((100, false)),
    },
    SetBack {
        name: "an announcement that is repeated is late",
        reports: &[
            Announce(0, ("a", 100, 9, false)),
            Announce(1, ("a", 96, 5, false)),
            Announce(6, ("a", 96, 5, false)),
            Announce(7, ("a", 96, 4, false)),
        ],
        change: Change::None,
        current: Some((100, false)),
    },
    SetBack {
        name: "a departure is not acknowledged while a later start is current",
        reports: &[
            Announce(0, ("a", 100, 9, false)),
            Announce(1, ("a", 96, 1, false)),
            Deregister("a", 96),
        ],
        change: Change::Refused,
        current: Some((100, false)),
    },
    SetBack {
        name: "the departure of an incarnation that was replaced is late",
        reports: &[
            Announce(0, ("a", 96, 9, false)),
            Announce(1, ("a", 100, 1, false)),
            Deregister("a", 96),
        ],
        change: Change::None,
        current: Some((100, false)),
    },
    SetBack {
        name: "a drain of a name that was replaced is not acknowledged",
        reports: &[
            Announce(0, ("a", 100, 9, false)),
            Announce(1, ("b", 104, 1, false)),
            Announce(2, ("a", 96, 1, true)),
        ],
        change: Change::Refused,
        current: Some((104, false)),
    },
    SetBack {
        name: "a drain is repeated",
        reports: &[
            Announce(0, ("a", 100, 9, false)),
            Announce(1, ("a", 100, 10, true)),
            Announce(2, ("a", 100, 11, true)),
        ],
        change: Change::None,
        current: Some((100, true)),
    },
];

#[test]
fn a_start_before_the_current_one_is_not_acknowledged_in_vain() {
    for case in SET_BACK {
        let mut backend = Backend::default();
        backend.restore(&[]);
        let mut change = Change::None;
        let mut incarnation = None;
        for report in case.reports {
            change = match *report {
                Announce(at_s, state) => {
                    let now = Instant(1) + Duration::from_secs(at_s);
                    backend.receive(announcement(state), now)
                }
                Deregister(instance, start_time_ms) => {
                    backend.deregister(&name(instance), Some(start_time_ms), WALL_MS)
                }
            };
            let next = backend.current.as_ref().map(|current| current.incarnation);
            // Other routers ignore a lower one.
            assert!(next >= incarnation, "{}", case.name);
            incarnation = next;
        }
        assert_eq!(change, case.change, "{}", case.name);
        let current = backend.current.as_ref();
        let current = current.map(|c| (c.announcement.start_time_ms, c.is_draining()));
        assert_eq!(current, case.current, "{}", case.name);
    }
}

struct Deregistration {
    name: &'static str,
    /// Announcements before the deregistration of `a`.
    before: &'static [ReportedState],
    /// Start that the deregistration states.
    start_time_ms: Option<u64>,
    /// Announcement that arrives after the deregistration.
    after: ReportedState,
    /// Whether the incarnation of the last announcement is current.
    accepted: bool,
}

/// Guards against a departure that is acknowledged and not remembered, and against a late deregistration of an
/// earlier incarnation that removes a later one for good.
const DEREGISTRATIONS: &[Deregistration] = &[
    Deregistration {
        name: "the router knows the backend server",
        before: &[("a", 100, 1, false)],
        start_time_ms: None,
        after: ("a", 100, 2, false),
        accepted: false,
    },
    Deregistration {
        name: "the router has restarted and does not know it",
        before: &[],
        start_time_ms: None,
        after: ("a", 100, 2, false),
        accepted: false,
    },
    Deregistration {
        name: "the router has restarted, the start is stated",
        before: &[],
        start_time_ms: Some(100),
        after: ("a", 100, 2, false),
        accepted: false,
    },
    Deregistration {
        name: "a later incarnation of the same name",
        before: &[("a", 100, 1, false)],
        start_time_ms: None,
        after: ("a", 200, 1, false),
        accepted: true,
    },
    Deregistration {
        name: "a later incarnation, which began after a restart of the router",
        before: &[],
        start_time_ms: None,
        after: ("a", WALL_MS + 1, 1, false),
        accepted: true,
    },
    Deregistration {
        name: "a late deregistration of an earlier incarnation",
        before: &[("a", 200, 1, false)],
        start_time_ms: Some(100),
        after: ("a", 200, 2, false),
        accepted: true,
    },
    Deregistration {
        name: "another backend server",
        before: &[("b", 100, 1, false)],
        start_time_ms: None,
        after: ("b", 100, 2, false),
        accepted: true,
    },
];

#[test]
fn departures_are_remembered() {
    for case in DEREGISTRATIONS {
        let mut backend = Backend::default();
        assert!(backend.restore(&[]).is_none(), "{}", case.name);
        for &announced in case.before {
            backend.receive(announcement(announced), Instant(1));
        }
        backend.deregister(&name("a"), case.start_time_ms, WALL_MS);
        let departures = backend.unconfirmed(ROUTER);
        assert_eq!(departures.len(), 1, "{}", case.name);
        backend.receive(announcement(case.after), Instant(2));
        let current = backend.current.as_ref().map(|c| &c.announcement);
        let accepted = current.is_some_and(|c| c.start_time_ms == case.after.1);
        assert_eq!(accepted, case.accepted, "{}", case.name);
        // The router restarts, and the announcement arrives before the departures are known again.
        let mut restarted = Backend::default();
        restarted.receive(announcement(case.after), Instant(3));
        assert!(restarted.current.is_none(), "{}", case.name);
        let pending = restarted.restore(&departures).expect(case.name);
        restarted.receive(pending, Instant(4));
        assert_eq!(restarted.current.is_some(), case.accepted, "{}", case.name);
    }
}

struct History {
    name: &'static str,
    /// Departures at this address before the last one, all of them stored.
    departures: usize,
    /// Backend servers that were replaced without a departure after it.
    superseded: usize,
    /// Whether registry processes have stored the last departure.
    is_stored: bool,
}

/// Guards against a departure that is forgotten, or acknowledged without being stored, at an address with a long
/// history. Its name sorts before all others.
const HISTORIES: &[History] = &[
    History {
        name: "forty departures",
        departures: 40,
        superseded: 0,
        is_stored: true,
    },
    History {
        name: "more departures than are remembered",
        departures: 1_000,
        superseded: 0,
        is_stored: true,
    },
    History {
        name: "an unconfirmed departure, and many later backend servers",
        departures: 40,
        superseded: 300,
        is_stored: false,
    },
];

#[test]
fn the_latest_departure_is_remembered() {
    let start_time_ms = 10_000;
    let departure = |instance: &str| Departure {
        router: ROUTER,
        instance: name(instance),
        start_time_ms,
    };
    for case in HISTORIES {
        let mut backend = Backend::default();
        let earlier = (0..case.departures).map(|number| departure(&format!("i-{number}")));
        let mut departures: Vec<Departure> = earlier.collect();
        if case.is_stored {
            departures.push(departure("a"));
        }
        backend.restore(&departures);
        if !case.is_stored {
            backend.deregister(&name("a"), Some(start_time_ms), WALL_MS);
        }
        for number in 1..=case.superseded {
            let later = ServerAnnouncement {
                instance: name(&format!("j-{number}")),
                ..announcement(("j", number as u64, 1, false))
            };
            backend.receive(later, Instant(1));
        }
        let unconfirmed = usize::from(!case.is_stored);
        let seen = backend.unconfirmed(ROUTER).len();
        assert_eq!(seen, unconfirmed, "{}", case.name);
        backend.receive(announcement(("a", start_time_ms, 9, false)), Instant(2));
        let current = backend.current.map(|current| current.announcement.instance);
        assert_ne!(current, Some(name("a")), "{}", case.name);
    }
}

/// Guards against a drain that is acknowledged before the registry processes remember it, and against one that is
/// reported to them again and again.
#[test]
fn a_drain_is_confirmed_once() {
    let mut backend = Backend::default();
    backend.restore(&[]);
    backend.receive(announcement(("a", 100, 1, false)), Instant(1));
    assert!(backend.unconfirmed(ROUTER).is_empty());
    backend.receive(announcement(("a", 100, 2, true)), Instant(2));
    let departures = backend.unconfirmed(ROUTER);
    assert_eq!(departures[0].start_time_ms, 100);
    backend.confirm(&departures);
    backend.receive(announcement(("a", 100, 3, true)), Instant(3));
    assert!(backend.unconfirmed(ROUTER).is_empty());
    assert!(backend.current.is_some_and(|current| current.is_draining()));
}

fn ticket(id: u64) -> Ticket {
    Ticket {
        id: ticket::Id(id),
        partner: partner::Name::new("p").expect("a valid name"),
        priority: 1,
        timely_until: Instant(0) + Duration::from_mins(10),
        deadline: Instant(0) + Duration::from_mins(10),
    }
}

/// Guards against requests that reach a draining backend server, from the queue or as new ones.
#[test]
fn a_drain_refuses_waiting_and_later_requests() {
    let mut backend = Backend::default();
    backend.announce(announcement(("a", 100, 1, false)), Instant(1));
    let current = backend.current.as_mut().expect("a current incarnation");
    let mut waiting = Vec::new();
    let mut running = 0;
    for id in 0..12 {
        match current.offer(ticket(id), Instant(1)) {
            Ok(None) => running += 1,
            Ok(Some(receiver)) => waiting.push(receiver),
            Err(denial) => panic!("{denial:?}"),
        }
    }
    // Eight of ten slots are used, since backend servers slow down when they are nearly full.
    assert_eq!((running, waiting.len()), (8, 4));
    backend.announce(announcement(("a", 100, 2, true)), Instant(2));
    for mut receiver in waiting {
        assert_eq!(receiver.try_recv(), Ok(Err(Denial::Gone)));
    }
    let current = backend.current.as_mut().expect("a current incarnation");
    let late = current.offer(ticket(99), Instant(3));
    assert_eq!(late.err(), Some(Denial::Gone));
}

/// Guards against a request for an earlier incarnation that runs at the current one on the same address.
#[test]
fn a_request_matches_only_its_incarnation() {
    let mut backend = Backend::default();
    backend.announce(announcement(("a", 100, 1, false)), Instant(1));
    let earlier = backend
        .current
        .as_ref()
        .expect("a current incarnation")
        .incarnation;
    backend.announce(announcement(("a", 200, 1, false)), Instant(2));
    let later = backend
        .current
        .as_ref()
        .expect("a current incarnation")
        .incarnation;
    assert!(backend.matching(&name("a"), earlier).is_none());
    assert!(backend.matching(&name("b"), later).is_none());
    assert!(backend.matching(&name("a"), later).is_some());
}

struct SlownessCase {
    name: &'static str,
    percent: u32,
    age_ms: u64,
    slow: bool,
}

/// Guards against a target that is avoided after its machine has recovered.
const SLOWNESS_CASES: &[SlownessCase] = &[
    SlownessCase {
        name: "usual speed",
        percent: 100,
        age_ms: 0,
        slow: false,
    },
    SlownessCase {
        name: "four times slower",
        percent: 400,
        age_ms: 100,
        slow: true,
    },
    SlownessCase {
        name: "slow, but the report is too old",
        percent: 400,
        age_ms: 400,
        slow: false,
    },
];

#[test]
fn slowness_reports_expire() {
    for case in SLOWNESS_CASES {
        let mut backend = Backend::default();
        backend.announce(announcement(("a", 100, 1, false)), Instant(1));
        let current = backend.current.as_mut().expect(case.name);
        current.record_slowness(case.percent, Instant(1));
        let now = Instant(1) + Duration::from_millis(case.age_ms);
        assert_eq!(current.is_slow(now), case.slow, "{}", case.name);
    }
}

struct StatementCase {
    name: &'static str,
    /// Slots and whether it drains, in two announcements of one incarnation.
    announced: [(u32, bool); 2],
    /// Tickets that run after both, of twenty that are offered.
    running: usize,
    draining: bool,
}

/// Guards against a statement of a backend server that is passed on to the other routers and not followed by its gate.
const STATEMENT_CASES: &[StatementCase] = &[
    StatementCase {
        name: "nothing changes",
        announced: [(10, false), (10, false)],
        running: 8,
        draining: false,
    },
    StatementCase {
        name: "fewer slots",
        announced: [(10, false), (5, false)],
        running: 4,
        draining: false,
    },
    StatementCase {
        name: "it drains",
        announced: [(10, false), (10, true)],
        running: 0,
        draining: true,
    },
    StatementCase {
        name: "it drains and announces itself as ready again",
        announced: [(10, true), (10, false)],
        running: 0,
        draining: true,
    },
];

#[test]
fn the_gate_follows_what_its_backend_server_states() {
    for case in STATEMENT_CASES {
        let mut backend = Backend::default();
        for (sequence, (slots, draining)) in (1..).zip(case.announced) {
            let announced = ServerAnnouncement {
                slots,
                ..announcement(("a", 100, sequence, draining))
            };
            backend.announce(announced, Instant(sequence));
        }
        let current = backend.current.as_mut().expect(case.name);
        assert_eq!(current.is_draining(), case.draining, "{}", case.name);
        let offers = (0..20).map(|id| current.offer(ticket(id), Instant(3)));
        let running = offers.filter(|offer| matches!(offer, Ok(None))).count();
        assert_eq!(running, case.running, "{}", case.name);
    }
}
