//! Leases of routers.

use std::time::Duration;

use shallotrill_feed::message::Announcement;
use shallotrill_model::time::Instant;
use shallotrill_registry::announcements::Table;

fn announcement(session: u64, sequence: u64) -> Announcement {
    Announcement {
        router: "127.0.0.1:1".parse().expect("an address"),
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
        let listed = table.all();
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
        assert_eq!(!table.all().is_empty(), case.listed, "{}", case.name);
    }
}
