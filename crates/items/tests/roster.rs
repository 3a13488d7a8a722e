//! Majorities and the admission of new disks.

use std::net::SocketAddr;
use std::time::Duration;

use shallotrill_items::ballot::Identity;
use shallotrill_items::roster::Member;
use shallotrill_items::roster::Roster;
use shallotrill_model::time::Instant;

fn member(number: u16, votes: bool) -> Member {
    Member {
        identity: Identity(u128::from(number)),
        address: SocketAddr::from(([127, 0, 0, 1], number)),
        votes,
    }
}

struct Case {
    name: &'static str,
    /// Whether the process itself has a vote.
    votes: bool,
    tolerated: usize,
    /// Other processes: number, vote, copied from, seconds since they were heard.
    others: &'static [(u16, bool, bool, u64)],
    quorum: usize,
    admitted: bool,
}

/// Guards against a majority that another one misses, and against the vote of a disk that has forgotten.
const CASES: &[Case] = &[
    Case {
        name: "alone: one more than may be lost",
        votes: true,
        tolerated: 2,
        others: &[],
        quorum: 3,
        admitted: true,
    },
    Case {
        name: "five voters",
        votes: true,
        tolerated: 2,
        others: &[
            (2, true, false, 0),
            (3, true, false, 0),
            (4, true, false, 0),
            (5, true, false, 0),
        ],
        quorum: 3,
        admitted: true,
    },
    Case {
        name: "seven voters need four although two may be lost",
        votes: true,
        tolerated: 2,
        others: &[
            (2, true, false, 0),
            (3, true, false, 0),
            (4, true, false, 0),
            (5, true, false, 0),
            (6, true, false, 0),
            (7, true, false, 0),
        ],
        quorum: 4,
        admitted: true,
    },
    Case {
        name: "a voter that is silent for long no longer counts",
        votes: true,
        tolerated: 1,
        others: &[
            (2, true, false, 0),
            (3, true, false, 0),
            (4, true, false, 11),
        ],
        quorum: 2,
        admitted: true,
    },
    Case {
        name: "an empty disk that has copied from too few",
        votes: false,
        tolerated: 2,
        others: &[(2, true, true, 0), (3, true, true, 0), (4, true, false, 0)],
        quorum: 3,
        admitted: false,
    },
    Case {
        name: "an empty disk that has copied from as many as remain",
        votes: false,
        tolerated: 2,
        others: &[(2, true, true, 0), (3, true, true, 0), (4, true, true, 0)],
        quorum: 3,
        admitted: true,
    },
    Case {
        name: "copies from others without a vote do not count",
        votes: false,
        tolerated: 2,
        others: &[(2, true, true, 0), (3, true, true, 0), (4, false, true, 0)],
        quorum: 3,
        admitted: false,
    },
    Case {
        name: "the voters are complete",
        votes: false,
        tolerated: 1,
        others: &[(2, true, true, 0), (3, true, true, 0), (4, true, true, 0)],
        quorum: 2,
        admitted: false,
    },
    Case {
        name: "a voter is gone and makes room",
        votes: false,
        tolerated: 1,
        others: &[(2, true, true, 0), (3, true, true, 0), (4, true, false, 3)],
        quorum: 2,
        admitted: true,
    },
];

#[test]
fn majorities_and_admissions() {
    let now = Instant(100_000_000);
    for case in CASES {
        let mut roster = Roster::new(member(1, case.votes), case.tolerated);
        for &(number, votes, copied, ago) in case.others {
            let heard = Instant(now.0 - Duration::from_secs(ago).as_micros() as u64);
            let other = member(number, votes);
            roster.heard(other, heard);
            if copied {
                roster.copied(other.address);
            }
        }
        assert_eq!(roster.quorum(now), case.quorum, "{}", case.name);
        assert_eq!(roster.admit(now), case.admitted, "{}", case.name);
    }
}

/// Guards against a copy that counts for the emptied disk that took the place of the one it was made from.
#[test]
fn a_new_disk_at_an_address_was_not_copied() {
    let now = Instant(1);
    let mut roster = Roster::new(member(1, false), 0);
    roster.heard(member(2, true), now);
    roster.copied(member(2, true).address);
    let emptied = Member {
        identity: Identity(99),
        ..member(2, true)
    };
    roster.heard(emptied, now);
    assert!(!roster.admit(now));
}
