//! Lives of the backend server beside a router.

use std::time::Duration;

use shallotrill_limits::ticket;
use shallotrill_limits::ticket::Ticket;
use shallotrill_model::instance;
use shallotrill_model::partner;
use shallotrill_model::service;
use shallotrill_model::time::Instant;
use shallotrill_router::backend::Announcement;
use shallotrill_router::backend::Backend;
use shallotrill_router::backend::Change;
use shallotrill_router::forwarded::Denial;

fn name(text: &str) -> instance::Name {
    instance::Name::new(text).expect("a name")
}

/// Identity, start, sequence number and whether it drains.
type Told = (&'static str, u64, u64, bool);

fn announcement((identity, born, sequence, draining): Told) -> Announcement {
    Announcement {
        instance: name(identity),
        service: service::Name::new("catalogue").expect("a name"),
        born,
        sequence,
        draining,
        slots: 10,
        cold: Duration::ZERO,
    }
}

struct Case {
    name: &'static str,
    told: &'static [Told],
    /// What the last announcement changes.
    change: Change,
    /// The present life: identity, start and whether it drains.
    present: (&'static str, u64, bool),
}

/// Guards against a late announcement that revives an ended life or undoes a drain.
const CASES: &[Case] = &[
    Case {
        name: "first",
        told: &[("a", 100, 1, false)],
        change: Change::Life,
        present: ("a", 100, false),
    },
    Case {
        name: "drain",
        told: &[("a", 100, 1, false), ("a", 100, 2, true)],
        change: Change::Target,
        present: ("a", 100, true),
    },
    Case {
        name: "a late announcement does not undo a drain",
        told: &[
            ("a", 100, 1, false),
            ("a", 100, 3, true),
            ("a", 100, 2, false),
        ],
        change: Change::None,
        present: ("a", 100, true),
    },
    Case {
        name: "another life at the same address",
        told: &[("a", 100, 5, false), ("b", 200, 1, false)],
        change: Change::Life,
        present: ("b", 200, false),
    },
    Case {
        name: "the same identity starts again and counts anew",
        told: &[("a", 100, 5, true), ("a", 200, 1, false)],
        change: Change::Life,
        present: ("a", 200, false),
    },
    Case {
        name: "a former life speaks late",
        told: &[
            ("a", 100, 5, false),
            ("b", 200, 1, false),
            ("a", 100, 6, false),
        ],
        change: Change::None,
        present: ("b", 200, false),
    },
    Case {
        name: "a former life without a stated start speaks late",
        told: &[("a", 0, 5, false), ("b", 0, 1, false), ("a", 0, 6, false)],
        change: Change::None,
        present: ("b", 0, false),
    },
];

#[test]
fn the_present_life_counts() {
    for case in CASES {
        let mut backend = Backend::default();
        let mut change = Change::None;
        for &told in case.told {
            change = backend.announce(announcement(told), Instant(1));
        }
        assert_eq!(change, case.change, "{}", case.name);
        let life = backend.life.as_ref().expect(case.name);
        let known = &life.announcement;
        let present = (known.instance.as_str(), known.born, known.draining);
        assert_eq!(present, case.present, "{}", case.name);
    }
}

/// Guards against work for a backend server that has left, also when it announces itself once more.
#[test]
fn a_life_that_left_stays_gone() {
    let mut backend = Backend::default();
    backend.announce(announcement(("a", 100, 1, false)), Instant(1));
    assert!(!backend.leave(&name("b")));
    assert!(backend.leave(&name("a")));
    let change = backend.announce(announcement(("a", 100, 2, false)), Instant(2));
    assert_eq!(change, Change::None);
    assert!(backend.life.is_none());
}

fn ticket(id: u64) -> Ticket {
    Ticket {
        id: ticket::Id(id),
        partner: partner::Name::new("p").expect("a name"),
        priority: 1,
        deadline: Instant(0) + Duration::from_mins(10),
    }
}

/// Guards against requests that reach a draining backend server from the queue or afterwards.
#[test]
fn a_drain_refuses_waiting_and_later_requests() {
    let mut backend = Backend::default();
    backend.announce(announcement(("a", 100, 1, false)), Instant(1));
    let life = backend.life.as_mut().expect("a life");
    let mut waiting = Vec::new();
    let mut running = 0;
    for id in 0..12 {
        match life.offer(ticket(id), Instant(1)) {
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
    let life = backend.life.as_mut().expect("a life");
    let late = life.offer(ticket(99), Instant(3));
    assert_eq!(late.err(), Some(Denial::Gone));
}

/// Guards against a request for an earlier life that runs at the one which has its address now.
#[test]
fn another_life_is_not_meant() {
    let mut backend = Backend::default();
    backend.announce(announcement(("a", 100, 1, false)), Instant(1));
    let earlier = backend.life.as_ref().expect("a life").incarnation;
    backend.announce(announcement(("a", 200, 1, false)), Instant(2));
    let present = backend.life.as_ref().expect("a life").incarnation;
    assert!(backend.is(&name("a"), earlier).is_none());
    assert!(backend.is(&name("b"), present).is_none());
    assert!(backend.is(&name("a"), present).is_some());
}

struct Pace {
    name: &'static str,
    stated: u32,
    age_ms: u64,
    slow: bool,
}

/// Guards against a target that stays passed by after its machine recovered.
const PACES: &[Pace] = &[
    Pace {
        name: "as usual",
        stated: 100,
        age_ms: 0,
        slow: false,
    },
    Pace {
        name: "four times slower",
        stated: 400,
        age_ms: 100,
        slow: true,
    },
    Pace {
        name: "said long ago",
        stated: 400,
        age_ms: 400,
        slow: false,
    },
];

#[test]
fn paces_age() {
    for case in PACES {
        let mut backend = Backend::default();
        backend.announce(announcement(("a", 100, 1, false)), Instant(1));
        let life = backend.life.as_mut().expect(case.name);
        life.note_pace(case.stated, Instant(1));
        let now = Instant(1) + Duration::from_millis(case.age_ms);
        assert_eq!(life.is_slow(now), case.slow, "{}", case.name);
    }
}
