//! Quorum sizes and the admission of processes with new disks as voters.

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
    /// Whether the local process is a voter.
    votes: bool,
    tolerated: usize,
    /// Other processes: number, whether it votes, whether it was copied from, seconds since the last contact.
    others: &'static [(u16, bool, bool, u64)],
    quorum: usize,
    admitted: bool,
}

/// Guards against two quorums that do not overlap, and against a voter whose emptied disk lacks accepted items.
const CASES: &[Case] = &[
    Case {
        name: "a single voter needs one replica more than may be lost",
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
        name: "a voter without recent contact no longer counts",
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
        name: "an empty disk that was filled from too few voters is not admitted",
        votes: false,
        tolerated: 2,
        others: &[(2, true, true, 0), (3, true, true, 0), (4, true, false, 0)],
        quorum: 3,
        admitted: false,
    },
    Case {
        name: "an empty disk that was filled from enough voters is admitted",
        votes: false,
        tolerated: 2,
        others: &[(2, true, true, 0), (3, true, true, 0), (4, true, true, 0)],
        quorum: 3,
        admitted: true,
    },
    Case {
        name: "copies from processes that are not voters do not count",
        votes: false,
        tolerated: 2,
        others: &[(2, true, true, 0), (3, true, true, 0), (4, false, true, 0)],
        quorum: 3,
        admitted: false,
    },
    Case {
        name: "no voter is admitted while all voters are reachable",
        votes: false,
        tolerated: 1,
        others: &[(2, true, true, 0), (3, true, true, 0), (4, true, true, 0)],
        quorum: 2,
        admitted: false,
    },
    Case {
        name: "a voter is admitted in place of an unreachable one",
        votes: false,
        tolerated: 1,
        others: &[(2, true, true, 0), (3, true, true, 0), (4, true, false, 3)],
        quorum: 2,
        admitted: true,
    },
];

#[test]
fn quorum_sizes_and_admissions() {
    let now = Instant(100_000_000);
    for case in CASES {
        let mut roster = Roster::new(member(1, case.votes), case.tolerated);
        for &(number, votes, copied, silence_s) in case.others {
            let last_contact = Instant(now.0 - Duration::from_secs(silence_s).as_micros() as u64);
            let other = member(number, votes);
            roster.record_contact(other, last_contact);
            if copied {
                roster.record_copy(other, last_contact);
            }
        }
        assert_eq!(roster.quorum(now), case.quorum, "{}", case.name);
        assert_eq!(roster.admit(now), case.admitted, "{}", case.name);
    }
}

/// Guards against a group without voters: at the first start no process has anything to copy.
#[test]
fn every_process_is_admitted_at_the_first_start() {
    let now = Instant(100_000_000);
    for others in [0, 2, 6] {
        let mut roster = Roster::at_first_start(member(1, false), 2);
        for number in 0..others {
            roster.record_contact(member(2 + number, true), now);
        }
        assert!(!roster.own().votes);
        assert!(roster.admit(now));
        assert!(roster.own().votes);
    }
}

/// Guards against a copy made from a lost disk that counts as a copy of its empty replacement at the same address.
#[test]
fn a_copy_does_not_count_for_a_replaced_disk() {
    let now = Instant(1);
    let mut roster = Roster::new(member(1, false), 0);
    roster.record_contact(member(2, true), now);
    roster.record_copy(member(2, true), now);
    let replacement = Member {
        identity: Identity(99),
        ..member(2, true)
    };
    roster.record_contact(replacement, now);
    assert!(!roster.admit(now));
}

/// Guards against a process that becomes a voter with the registers that another one had before it voted.
#[test]
fn a_copy_made_before_the_vote_does_not_count() {
    let mut roster = Roster::new(member(1, false), 0);
    roster.record_contact(member(2, false), Instant(1));
    roster.record_copy(member(2, false), Instant(1));
    roster.record_contact(member(2, true), Instant(1));
    // The other process is not reachable any longer, so its place is free.
    let now = Instant(5_000_000);
    assert!(!roster.clone().admit(now));
    roster.record_copy(member(2, true), Instant(1));
    assert!(roster.admit(now));
}

struct Copied {
    name: &'static str,
    votes: bool,
    /// Other processes: number, whether it votes, seconds since it was last copied.
    others: &'static [(u16, bool, u64)],
    complete: bool,
}

/// Guards against older items that are taken for those in force: a process with an empty disk, which has forgotten
/// what it accepted, must not count towards the quorum that knows them.
const COPIED: &[Copied] = &[
    Copied {
        name: "two of four others were copied",
        votes: true,
        others: &[(2, true, 0), (3, true, 0), (4, true, 9), (5, true, 9)],
        complete: true,
    },
    Copied {
        name: "the third process has an empty disk",
        votes: true,
        others: &[(2, true, 0), (3, false, 0), (4, true, 9), (5, true, 9)],
        complete: false,
    },
    Copied {
        name: "the local process has an empty disk",
        votes: false,
        others: &[(2, true, 0), (3, true, 0), (4, true, 9), (5, true, 9)],
        complete: false,
    },
    Copied {
        name: "the local process has an empty disk and copied a quorum",
        votes: false,
        others: &[(2, true, 0), (3, true, 0), (4, true, 0), (5, true, 9)],
        complete: true,
    },
    Copied {
        name: "too few copies are recent",
        votes: true,
        others: &[(2, true, 0), (3, true, 3), (4, true, 3), (5, true, 3)],
        complete: false,
    },
];

#[test]
fn a_quorum_of_voters_knows_all_items() {
    let now = Instant(100_000_000);
    let before = |seconds| Instant(now.0 - Duration::from_secs(seconds).as_micros() as u64);
    for case in COPIED {
        let mut roster = Roster::new(member(1, case.votes), 2);
        for &(number, votes, age_s) in case.others {
            let other = member(number, votes);
            roster.record_contact(other, now);
            roster.record_copy(other, before(age_s));
        }
        let complete = roster.has_copied_quorum(before(2), now);
        assert_eq!(complete, case.complete, "{}", case.name);
    }
}
