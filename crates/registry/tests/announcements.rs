//! Leases of routers.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use shallotrill_feed::message::Announcement;
use shallotrill_model::time::Instant;
use shallotrill_registry::announcements::Table;

fn announcement(session: u64, sequence: u64) -> Announcement {
    of(1, session, sequence)
}

fn of(port: u16, session: u64, sequence: u64) -> Announcement {
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
    /// Session and sequence number of each announcement.
    taken: &'static [(u64, u64)],
    /// Whether the last one changes the list.
    changes: bool,
    /// What is listed in the end.
    listed: (u64, u64),
}

/// Guards against a late announcement that undoes a newer one, such as a drain.
const CASES: &[Case] = &[
    Case {
        name: "first",
        taken: &[(1, 0)],
        changes: true,
        listed: (1, 0),
    },
    Case {
        name: "the same again only renews",
        taken: &[(1, 4), (1, 4)],
        changes: false,
        listed: (1, 4),
    },
    Case {
        name: "late",
        taken: &[(1, 4), (1, 3)],
        changes: false,
        listed: (1, 4),
    },
    Case {
        name: "a later process starts its numbers anew",
        taken: &[(1, 4), (2, 0)],
        changes: true,
        listed: (2, 0),
    },
    Case {
        name: "an earlier process speaks late",
        taken: &[(2, 0), (1, 9)],
        changes: false,
        listed: (2, 0),
    },
];

#[test]
fn the_newest_announcement_counts() {
    for case in CASES {
        let mut table = Table::default();
        let mut changed = false;
        for &(session, sequence) in case.taken {
            changed = table.take(announcement(session, sequence), Instant(1));
        }
        assert_eq!(changed, case.changes, "{}", case.name);
        let listed = table.since(0).changed;
        let listed: Vec<_> = listed.iter().map(|a| (a.session, a.sequence)).collect();
        assert_eq!(listed, [case.listed], "{}", case.name);
    }
}

struct Expiry {
    name: &'static str,
    /// Moments of the checks, in milliseconds; the router announces itself at 0.
    checks: &'static [u64],
    listed: bool,
}

/// Guards against a dead router that stays listed, and against a registry process that was
/// suspended and takes all routers for dead.
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
        name: "suspended, and the router does not come back",
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
        table.take(announcement(1, 0), Instant(0));
        for &at in case.checks {
            table.expire(Instant(0) + Duration::from_millis(at));
        }
        assert_eq!(!table.is_empty(), case.listed, "{}", case.name);
    }
}

/// A step of the routers; the number is the port of one.
#[derive(Clone, Copy, Debug)]
enum Step {
    Announces(u16),
    Expires(u16),
}

struct Reading {
    name: &'static str,
    steps: &'static [Step],
    /// After how many steps the watcher reads, besides the end.
    reads: &'static [usize],
    /// Announcements in the last reading, changed and removed.
    last: (usize, usize),
}

/// Guards against a difference that leaves out a change, and against a list that is sent whole for one change.
const READINGS: &[Reading] = &[
    Reading {
        name: "everything at first",
        steps: &[Step::Announces(1), Step::Announces(2)],
        reads: &[],
        last: (2, 0),
    },
    Reading {
        name: "nothing new",
        steps: &[Step::Announces(1), Step::Announces(2)],
        reads: &[2],
        last: (0, 0),
    },
    Reading {
        name: "one change",
        steps: &[Step::Announces(1), Step::Announces(2), Step::Announces(1)],
        reads: &[2],
        last: (1, 0),
    },
    Reading {
        name: "one removal",
        steps: &[Step::Announces(1), Step::Announces(2), Step::Expires(1)],
        reads: &[2],
        last: (0, 1),
    },
    Reading {
        name: "removed and back",
        steps: &[
            Step::Announces(1),
            Step::Announces(2),
            Step::Expires(1),
            Step::Announces(1),
        ],
        reads: &[2],
        last: (1, 1),
    },
    Reading {
        name: "read at each step",
        steps: &[
            Step::Announces(1),
            Step::Announces(2),
            Step::Expires(2),
            Step::Announces(3),
            Step::Announces(2),
            Step::Expires(1),
        ],
        reads: &[1, 2, 3, 4, 5],
        last: (0, 1),
    },
];

/// Lets the lease of one router end, while the others renew theirs.
fn expire(table: &mut Table, gone: u16, now: &mut Instant, sequences: &[u64; 4]) {
    for _ in 0..8 {
        *now = *now + Duration::from_millis(500);
        for port in (1..4).filter(|&port| port != gone) {
            let listed = table.since(0).changed;
            if listed.iter().any(|a| a.router.port() == port) {
                table.take(of(port, 1, sequences[usize::from(port)]), *now);
            }
        }
        table.expire(*now);
    }
}

#[test]
fn a_watcher_reads_what_has_changed() {
    for case in READINGS {
        let mut table = Table::default();
        let mut now = Instant(0);
        let mut sequences = [0; 4];
        let mut held = Vec::new();
        let mut revision = 0;
        let mut read = |table: &Table| {
            let new = table.since(revision);
            revision = table.revision();
            let counts = (new.changed.len(), new.removed.len());
            new.apply(&mut held);
            assert_eq!(held, table.since(0).changed, "{}", case.name);
            counts
        };
        for (number, step) in case.steps.iter().enumerate() {
            match *step {
                Step::Announces(port) => {
                    sequences[usize::from(port)] += 1;
                    table.take(of(port, 1, sequences[usize::from(port)]), now);
                }
                Step::Expires(port) => expire(&mut table, port, &mut now, &sequences),
            }
            if case.reads.contains(&(number + 1)) {
                read(&table);
            }
        }
        assert_eq!(read(&table), case.last, "{}", case.name);
    }
}

/// Guards against a watcher that keeps a router whose removal is no longer remembered.
#[test]
fn a_watcher_that_lags_gets_the_whole_list() {
    let mut table = Table::default();
    let mut now = Instant(0);
    table.take(of(1, 1, 1), now);
    let mut held = Vec::new();
    table.since(0).apply(&mut held);
    let revision = table.revision();
    for round in 0..2_000 {
        table.take(of(2, round + 1, 0), now);
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
    new.apply(&mut held);
    assert_eq!(held, Vec::new());
}
