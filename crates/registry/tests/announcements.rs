//! Table of announcements: order, leases and differences.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use shallotrill_feed::message::Announcement;
use shallotrill_model::time::Instant;
use shallotrill_registry::announcements::Table;

fn announcement(session: u64, sequence: u64) -> Announcement {
    announcement_of(1, session, sequence)
}

fn announcement_of(port: u16, session: u64, sequence: u64) -> Announcement {
    Announcement {
        router: SocketAddr::new(Ipv4Addr::LOCALHOST.into(), port),
        session,
        sequence,
        target: None,
        crashes: Vec::new(),
    }
}

struct Case {
    name: &'static str,
    /// Session and sequence number of each announcement, in the order in which they are received.
    announcements: &'static [(u64, u64)],
    /// Whether the last one changes the table.
    changes: bool,
    /// Session and sequence number in the table at the end.
    listed: (u64, u64),
}

/// Guards against a late announcement that undoes a newer one, such as a drain.
const CASES: &[Case] = &[
    Case {
        name: "first announcement",
        announcements: &[(1, 0)],
        changes: true,
        listed: (1, 0),
    },
    Case {
        name: "a repeated announcement only renews the lease",
        announcements: &[(1, 4), (1, 4)],
        changes: false,
        listed: (1, 4),
    },
    Case {
        name: "late announcement",
        announcements: &[(1, 4), (1, 3)],
        changes: false,
        listed: (1, 4),
    },
    Case {
        name: "a later process starts with a lower sequence number",
        announcements: &[(1, 4), (2, 0)],
        changes: true,
        listed: (2, 0),
    },
    Case {
        name: "late announcement of an earlier process",
        announcements: &[(2, 0), (1, 9)],
        changes: false,
        listed: (2, 0),
    },
];

#[test]
fn the_newest_announcement_is_kept() {
    for case in CASES {
        let mut table = Table::default();
        let mut changed = false;
        for &(session, sequence) in case.announcements {
            changed = table.apply(announcement(session, sequence), Instant(1));
        }
        assert_eq!(changed, case.changes, "{}", case.name);
        let listed = table.since(0).changed;
        let listed: Vec<_> = listed.iter().map(|a| (a.session, a.sequence)).collect();
        assert_eq!(listed, [case.listed], "{}", case.name);
    }
}

struct Expiry {
    name: &'static str,
    /// Times of the expiry checks in milliseconds; the router sends its only announcement at 0.
    checks: &'static [u64],
    listed: bool,
}

/// Guards against a crashed router that stays in the table, and against a registry process that
/// removes all routers after it was suspended.
const EXPIRIES: &[Expiry] = &[
    Expiry {
        name: "within the lease",
        checks: &[500, 1_000, 1_500, 2_000, 2_500, 3_000],
        listed: true,
    },
    Expiry {
        name: "after the lease",
        checks: &[500, 1_000, 1_500, 2_000, 2_500, 3_000, 3_600],
        listed: false,
    },
    Expiry {
        name: "the registry process was suspended",
        checks: &[500, 9_000],
        listed: true,
    },
    Expiry {
        name: "the registry process was suspended, and the router does not renew afterwards",
        checks: &[
            500, 9_000, 9_500, 10_000, 10_500, 11_000, 11_500, 12_000, 12_600,
        ],
        listed: false,
    },
];

#[test]
fn leases_expire() {
    for case in EXPIRIES {
        let mut table = Table::default();
        table.apply(announcement(1, 0), Instant(0));
        for &check_ms in case.checks {
            table.expire(Instant(0) + Duration::from_millis(check_ms));
        }
        assert_eq!(!table.is_empty(), case.listed, "{}", case.name);
    }
}

/// Step of a router, given by its port.
#[derive(Clone, Copy, Debug)]
enum Step {
    Announce(u16),
    Expire(u16),
}

struct ReadCase {
    name: &'static str,
    steps: &'static [Step],
    /// Numbers of steps after which the watcher reads; it also reads at the end.
    reads: &'static [usize],
    /// Numbers of changed and removed announcements in the last read.
    last: (usize, usize),
}

/// Guards against a difference that lacks a change, and against the complete table being sent for one change.
const READ_CASES: &[ReadCase] = &[
    ReadCase {
        name: "the first read returns everything",
        steps: &[Step::Announce(1), Step::Announce(2)],
        reads: &[],
        last: (2, 0),
    },
    ReadCase {
        name: "no change",
        steps: &[Step::Announce(1), Step::Announce(2)],
        reads: &[2],
        last: (0, 0),
    },
    ReadCase {
        name: "one change",
        steps: &[Step::Announce(1), Step::Announce(2), Step::Announce(1)],
        reads: &[2],
        last: (1, 0),
    },
    ReadCase {
        name: "one removal",
        steps: &[Step::Announce(1), Step::Announce(2), Step::Expire(1)],
        reads: &[2],
        last: (0, 1),
    },
    ReadCase {
        name: "removed and announced again",
        steps: &[
            Step::Announce(1),
            Step::Announce(2),
            Step::Expire(1),
            Step::Announce(1),
        ],
        reads: &[2],
        last: (1, 1),
    },
    ReadCase {
        name: "read after each step",
        steps: &[
            Step::Announce(1),
            Step::Announce(2),
            Step::Expire(2),
            Step::Announce(3),
            Step::Announce(2),
            Step::Expire(1),
        ],
        reads: &[1, 2, 3, 4, 5],
        last: (0, 1),
    },
];

/// Lets the lease of one router expire, while the others renew theirs.
fn expire(table: &mut Table, expiring: u16, now: &mut Instant, sequences: &[u64; 4]) {
    for _ in 0..8 {
        *now = *now + Duration::from_millis(500);
        for port in (1..4).filter(|&port| port != expiring) {
            let listed = table.since(0).changed;
            if listed.iter().any(|a| a.router.port() == port) {
                table.apply(announcement_of(port, 1, sequences[usize::from(port)]), *now);
            }
        }
        table.expire(*now);
    }
}

#[test]
fn a_watcher_receives_the_changes() {
    for case in READ_CASES {
        let mut table = Table::default();
        let mut now = Instant(0);
        let mut sequences = [0; 4];
        let mut received = Vec::new();
        let mut revision = 0;
        let mut read = |table: &Table| {
            let new = table.since(revision);
            revision = table.revision();
            let counts = (new.changed.len(), new.removed.len());
            new.apply(&mut received);
            assert_eq!(received, table.since(0).changed, "{}", case.name);
            counts
        };
        for (number, step) in case.steps.iter().enumerate() {
            match *step {
                Step::Announce(port) => {
                    sequences[usize::from(port)] += 1;
                    table.apply(announcement_of(port, 1, sequences[usize::from(port)]), now);
                }
                Step::Expire(port) => expire(&mut table, port, &mut now, &sequences),
            }
            if case.reads.contains(&(number + 1)) {
                read(&table);
            }
        }
        assert_eq!(read(&table), case.last, "{}", case.name);
    }
}

/// Guards against a watcher that keeps a router whose removal was discarded.
#[test]
fn a_lagging_watcher_receives_the_complete_table() {
    let mut table = Table::default();
    let mut now = Instant(0);
    table.apply(announcement_of(1, 1, 1), now);
    let mut received = Vec::new();
    table.since(0).apply(&mut received);
    let revision = table.revision();
    for round in 0..2_000 {
        table.apply(announcement_of(2, round + 1, 0), now);
        if round == 0 {
            table.expire(now);
        }
        for _ in 0..8 {
            now = now + Duration::from_millis(500);
            table.expire(now);
        }
    }
    let new = table.since(revision);
    assert!(new.complete);
    new.apply(&mut received);
    assert_eq!(received, Vec::new());
}
