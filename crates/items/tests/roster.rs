//! Which change of the voters a registry process proposes, and what it knows by its copies.

use std::net::SocketAddr;
use std::time::Duration;

use shallotrill_items::ballot::Identity;
use shallotrill_items::roster::Admission;
use shallotrill_items::roster::Change;
use shallotrill_items::roster::Member;
use shallotrill_items::roster::Roster;
use shallotrill_items::voters;
use shallotrill_items::voters::Voter;
use shallotrill_model::time::Instant;

/// Version of the list in the cases.
const VERSION: u64 = 4;

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], number))
}

fn identity(number: u16) -> Identity {
    Identity(u128::from(number))
}

fn voter(number: u16) -> Voter {
    Voter {
        identity: identity(number),
        address: address(number),
    }
}

fn list(numbers: &[u16]) -> Vec<Voter> {
    numbers.iter().copied().map(voter).collect()
}

/// Another process that has this version of the list on disk.
fn member(number: u16, voters: u64) -> Member {
    Member {
        identity: identity(number),
        address: address(number),
        votes: true,
        founder: voters == 0,
        voters,
    }
}

fn before(now: Instant, time: Duration) -> Instant {
    Instant(now.0 - time.as_micros() as u64)
}

/// A roster of process `own` at `now`, which has decided at its usual interval before.
fn roster(own: u16, numbers: &[u16], tolerated: usize, now: Instant) -> Roster {
    let mut roster = Roster::new(identity(own), address(own), false, tolerated, Instant(0));
    if !numbers.is_empty() {
        roster.set_voters(&voters::item(VERSION, list(numbers)));
        roster.record_durable(VERSION);
    }
    let interval = Duration::from_millis(200);
    let mut at = Instant(0);
    while at < now {
        roster.next_change(&[], at);
        at = at + interval;
    }
    roster
}

/// Another process of a case.
struct Other {
    number: u16,
    /// Version of the voters that it had on disk when it was copied from; `None` if it was not.
    copied: Option<u64>,
    silence_ms: u64,
}

const fn copied(number: u16) -> Other {
    Other {
        number,
        copied: Some(VERSION),
        silence_ms: 0,
    }
}

const fn silent(number: u16, silence_ms: u64) -> Other {
    Other {
        number,
        copied: Some(VERSION),
        silence_ms,
    }
}

struct Case {
    name: &'static str,
    voters: &'static [u16],
    tolerated: usize,
    others: &'static [Other],
    /// The next list, if the local process proposes one.
    next: Option<&'static [u16]>,
}

/// Guards against two quorums without a common member, and against a voter whose disk lacks accepted items. The local
/// process has number 6.
const CASES: &[Case] = &[
    Case {
        name: "a voter proposes nothing, however many are silent",
        voters: &[1, 2, 3, 4, 6],
        tolerated: 2,
        others: &[silent(1, 60_000), silent(2, 60_000), copied(3), copied(4)],
        next: None,
    },
    Case {
        name: "no place is free while all voters are reachable",
        voters: &[1, 2, 3, 4, 5],
        tolerated: 2,
        others: &[copied(1), copied(2), copied(3), copied(4), copied(5)],
        next: None,
    },
    Case {
        name: "a silent voter is replaced",
        voters: &[1, 2, 3, 4, 5],
        tolerated: 2,
        others: &[copied(1), copied(2), copied(3), copied(4), silent(5, 2_500)],
        next: Some(&[1, 2, 3, 4]),
    },
    Case {
        name: "the longest silent voter is replaced",
        voters: &[1, 2, 3, 4, 5],
        tolerated: 2,
        others: &[
            copied(1),
            copied(2),
            copied(3),
            silent(4, 9_000),
            silent(5, 2_500),
        ],
        next: Some(&[1, 2, 3, 5]),
    },
    Case {
        name: "a voter that was never met is replaced",
        voters: &[1, 2, 3, 4, 5],
        tolerated: 2,
        others: &[copied(1), copied(2), copied(3), copied(4)],
        next: Some(&[1, 2, 3, 4]),
    },
    Case {
        name: "a voter that is silent for a short time stays",
        voters: &[1, 2, 3, 4, 5],
        tolerated: 2,
        others: &[copied(1), copied(2), copied(3), copied(4), silent(5, 1_500)],
        next: None,
    },
    Case {
        name: "the smaller side of a cut replaces nobody",
        voters: &[1, 2, 3, 4, 5],
        tolerated: 2,
        others: &[
            silent(1, 60_000),
            silent(2, 60_000),
            silent(3, 60_000),
            copied(4),
            copied(5),
        ],
        next: None,
    },
    Case {
        name: "a process with the registers of a quorum takes a free place",
        voters: &[1, 2, 3, 4],
        tolerated: 2,
        others: &[copied(1), copied(2), copied(3)],
        next: Some(&[1, 2, 3, 4, 6]),
    },
    Case {
        name: "an empty disk that was filled from too few voters does not join",
        voters: &[1, 2, 3, 4],
        tolerated: 2,
        others: &[copied(1), copied(2)],
        next: None,
    },
    Case {
        name: "copies from processes that are no voters do not count",
        voters: &[1, 2, 3, 4],
        tolerated: 2,
        others: &[copied(1), copied(2), copied(7)],
        next: None,
    },
    Case {
        name: "a copy from a voter that may still take part in the version before does not count",
        voters: &[1, 2, 3, 4],
        tolerated: 2,
        others: &[
            copied(1),
            copied(2),
            Other {
                number: 3,
                copied: Some(VERSION - 1),
                silence_ms: 0,
            },
        ],
        next: None,
    },
    Case {
        name: "old copies do not count",
        voters: &[1, 2, 3, 4],
        tolerated: 2,
        others: &[copied(1), copied(2), silent(3, 2_500)],
        next: None,
    },
    Case {
        name: "no list is smaller than a quorum",
        voters: &[1],
        tolerated: 0,
        others: &[silent(1, 60_000)],
        next: None,
    },
];

#[test]
fn voters_are_replaced_one_at_a_time() {
    let now = Instant(100_000_000);
    for case in CASES {
        let mut roster = roster(6, case.voters, case.tolerated, now);
        for other in case.others {
            let at = before(now, Duration::from_millis(other.silence_ms));
            let other_member = member(other.number, other.copied.unwrap_or(VERSION));
            roster.record_contact(other_member, at);
            if other.copied.is_some() {
                roster.record_copy(other_member, at);
            }
        }
        let change = roster.next_change(&[], now);
        let expected = case.next.map(|numbers| Change {
            base: VERSION,
            list: list(numbers),
            joins: numbers.contains(&6),
        });
        assert_eq!(change, expected, "{}", case.name);
    }
}

/// Guards against a voter that is removed because the process that wants its place was suspended.
#[test]
fn a_suspended_process_replaces_nobody_at_once() {
    let now = Instant(100_000_000);
    let mut roster = roster(6, &[1, 2, 3, 4, 5], 2, now);
    for number in 1..=5 {
        roster.record_contact(member(number, VERSION), now);
    }
    let resumed = now + Duration::from_secs(7);
    for number in 1..=4 {
        roster.record_contact(member(number, VERSION), resumed);
        roster.record_copy(member(number, VERSION), resumed);
    }
    assert_eq!(roster.next_change(&[], resumed), None);
}

/// Guards against an entry of a lost disk that counts for ever: the same address has a new disk.
#[test]
fn the_entry_of_the_own_earlier_disk_is_removed() {
    let now = Instant(100_000_000);
    let mut roster = Roster::new(identity(9), address(5), false, 2, now);
    roster.set_voters(&voters::item(VERSION, list(&[1, 2, 3, 4, 5])));
    let change = roster.next_change(&[], now).expect("a change");
    assert_eq!(change.list, list(&[1, 2, 3, 4]));
}

/// Guards against a copy made from a lost disk that counts as a copy of its empty replacement at the same address.
#[test]
fn a_copy_does_not_count_for_a_replaced_disk() {
    let now = Instant(100_000_000);
    let mut roster = roster(6, &[1, 2], 1, now);
    for number in 1..=2 {
        roster.record_contact(member(number, VERSION), now);
        roster.record_copy(member(number, VERSION), now);
    }
    assert!(roster.clone().next_change(&[], now).is_some());
    let replacement = Member {
        identity: Identity(99),
        ..member(2, VERSION)
    };
    roster.record_contact(replacement, now);
    assert_eq!(roster.next_change(&[], now), None);
}

struct First {
    name: &'static str,
    tolerated: usize,
    seeds: &'static [u16],
    /// Other processes that are reachable, and whether they were there at the first start.
    others: &'static [(u16, bool)],
    /// Time since the start.
    after_ms: u64,
    list: Option<&'static [u16]>,
}

/// Guards against a group without voters after the first start, and against two first lists without a common process.
/// The local process has number 1.
const FIRST: &[First] = &[
    First {
        name: "a single process that tolerates no loss",
        tolerated: 0,
        seeds: &[],
        others: &[],
        after_ms: 0,
        list: Some(&[1]),
    },
    First {
        name: "five processes",
        tolerated: 2,
        seeds: &[1, 2, 3],
        others: &[(2, true), (3, true), (4, true), (5, true)],
        after_ms: 0,
        list: Some(&[1, 2, 3, 4, 5]),
    },
    First {
        name: "a process that came later is not in the first list",
        tolerated: 2,
        seeds: &[1, 2, 3],
        others: &[(2, true), (3, true), (4, false), (5, true)],
        after_ms: 2_000,
        list: Some(&[1, 2, 3, 5]),
    },
    First {
        name: "a full list is waited for",
        tolerated: 2,
        seeds: &[1, 2, 3],
        others: &[(2, true), (3, true), (4, true)],
        after_ms: 1_000,
        list: None,
    },
    First {
        name: "too few processes",
        tolerated: 2,
        seeds: &[1, 2, 3],
        others: &[(2, true)],
        after_ms: 60_000,
        list: None,
    },
    First {
        name: "more processes than places, seeds first",
        tolerated: 1,
        seeds: &[1, 5, 6],
        others: &[(2, true), (3, true), (4, true), (5, true), (6, true)],
        after_ms: 0,
        list: Some(&[1, 5, 6]),
    },
    First {
        name: "most seeds are not reachable",
        tolerated: 1,
        seeds: &[1, 5, 6],
        others: &[(2, true), (3, true), (4, true)],
        after_ms: 60_000,
        list: None,
    },
];

#[test]
fn the_first_list_has_the_processes_of_the_first_start() {
    for case in FIRST {
        let started = Instant(50_000_000);
        let now = started + Duration::from_millis(case.after_ms);
        let seeds: Vec<SocketAddr> = case.seeds.iter().copied().map(address).collect();
        let mut roster = Roster::new(identity(1), address(1), true, case.tolerated, started);
        let mut at = started;
        while at < now {
            roster.next_change(&seeds, at);
            at = at + Duration::from_millis(200);
        }
        for &(number, founder) in case.others {
            let other = Member {
                founder,
                ..member(number, 0)
            };
            roster.record_contact(other, now);
        }
        let proposed = roster.next_change(&seeds, now).map(|change| change.list);
        assert_eq!(proposed, case.list.map(list), "{}", case.name);
    }
    // A process with a new disk after the first start forms no list.
    let mut late = Roster::new(identity(1), address(1), false, 0, Instant(0));
    assert_eq!(late.next_change(&[], Instant(0)), None);
}

struct Step {
    name: &'static str,
    /// The voters that the step wants a quorum of, with their version.
    requested: (u64, &'static [u16]),
    admission: Admission,
}

/// Guards against a voter that takes part in two versions of the list, and against one that is in neither. The local
/// process has number 1 and knows voters 1, 2 and 3.
const STEPS: &[Step] = &[
    Step {
        name: "the list in force",
        requested: (VERSION, &[1, 2, 3]),
        admission: Admission::Voter,
    },
    Step {
        name: "an earlier list",
        requested: (VERSION - 1, &[1, 2, 3, 4]),
        admission: Admission::Outdated,
    },
    Step {
        name: "the first list after a later one",
        requested: (0, &[1, 2, 3]),
        admission: Admission::Outdated,
    },
    Step {
        name: "a later list",
        requested: (VERSION + 1, &[1, 2]),
        admission: Admission::Newer,
    },
    Step {
        name: "the list in force without this process",
        requested: (VERSION, &[2, 3]),
        admission: Admission::NoVoter,
    },
];

#[test]
fn a_step_is_executed_for_one_version_of_the_voters() {
    for step in STEPS {
        let roster = roster(1, &[1, 2, 3], 1, Instant(0));
        let (version, numbers) = step.requested;
        let requested = voters::item(version, list(numbers));
        assert_eq!(
            roster.admission(&requested),
            step.admission,
            "{}",
            step.name
        );
    }
}

struct Copied {
    name: &'static str,
    /// Number of the local process; 6 is no voter.
    own: u16,
    /// Other processes: number and seconds since they were last copied.
    others: &'static [(u16, u64)],
    complete: bool,
}

/// Guards against older items that are taken for those in force: a process that is no voter, such as one with an empty
/// disk, must not count towards the quorum that knows them. Voters are 1 to 5.
const COPIED: &[Copied] = &[
    Copied {
        name: "two of four others were copied",
        own: 1,
        others: &[(2, 0), (3, 0), (4, 9), (5, 9)],
        complete: true,
    },
    Copied {
        name: "the third process is no voter",
        own: 1,
        others: &[(2, 0), (7, 0), (4, 9), (5, 9)],
        complete: false,
    },
    Copied {
        name: "the local process is no voter",
        own: 6,
        others: &[(2, 0), (3, 0), (4, 9), (5, 9)],
        complete: false,
    },
    Copied {
        name: "the local process is no voter and copied a quorum",
        own: 6,
        others: &[(2, 0), (3, 0), (4, 0), (5, 9)],
        complete: true,
    },
    Copied {
        name: "too few copies are recent",
        own: 1,
        others: &[(2, 0), (3, 3), (4, 3), (5, 3)],
        complete: false,
    },
];

#[test]
fn a_quorum_of_voters_knows_all_items() {
    let now = Instant(100_000_000);
    for case in COPIED {
        let mut roster = roster(case.own, &[1, 2, 3, 4, 5], 2, now);
        for &(number, age_s) in case.others {
            let other = member(number, VERSION);
            roster.record_contact(other, now);
            roster.record_copy(other, before(now, Duration::from_secs(age_s)));
        }
        let complete = roster.has_copied_quorum(before(now, Duration::from_secs(2)));
        assert_eq!(complete, case.complete, "{}", case.name);
    }
}

struct Contact {
    name: &'static str,
    /// Seconds of the contact with each voter.
    contacts_s: &'static [u64],
    quorum: usize,
    seen_s: Option<u64>,
}

/// Guards against authority that lasts on the smaller side of a partition.
const CONTACTS: &[Contact] = &[
    Contact {
        name: "the latest contact with a quorum is that of its least recent member",
        contacts_s: &[7, 2, 9, 3, 1],
        quorum: 3,
        seen_s: Some(3),
    },
    Contact {
        name: "two recent contacts are no quorum of three",
        contacts_s: &[90, 90],
        quorum: 3,
        seen_s: None,
    },
    Contact {
        name: "a single voter is a quorum of one",
        contacts_s: &[5],
        quorum: 1,
        seen_s: Some(5),
    },
    Contact {
        name: "no voters are known",
        contacts_s: &[5],
        quorum: 0,
        seen_s: None,
    },
];

#[test]
fn contact_with_a_quorum() {
    for case in CONTACTS {
        let contacts = case.contacts_s.iter();
        let contacts = contacts.map(|s| Instant(0) + Duration::from_secs(*s));
        let seen = voters::quorum_contact(contacts, case.quorum);
        let expected = case.seen_s.map(|s| Instant(0) + Duration::from_secs(s));
        assert_eq!(seen, expected, "{}", case.name);
    }
}

/// Guards against a planned stop that leaves the group with one voter less although another process is ready.
#[test]
fn a_process_that_stops_leaves_its_place_to_one_that_is_ready() {
    let now = Instant(100_000_000);
    let mut roster = roster(1, &[1, 2, 3, 4, 5], 2, now);
    for number in 2..=5 {
        roster.record_contact(member(number, VERSION), now);
    }
    assert_eq!(roster.handover(now), None);
    roster.record_contact(member(6, VERSION - 1), now);
    assert_eq!(roster.handover(now), None);
    roster.record_contact(member(6, VERSION), now);
    let change = roster.handover(now).expect("a change");
    assert_eq!(change.list, list(&[2, 3, 4, 5]));
}
