//! Tests for the rules of elections, commits, reads and member changes, each in a prepared situation.

mod common;

use std::time::Duration;

use crate::common::Group;
use crate::common::peer;
use shallotrill_consensus::Config;
use shallotrill_consensus::Message;
use shallotrill_consensus::Replica;
use shallotrill_consensus::Restored;
use shallotrill_consensus::change::Change;
use shallotrill_consensus::disk;
use shallotrill_consensus::entry::Content;
use shallotrill_consensus::entry::Entry;
use shallotrill_consensus::entry::HardState;
use shallotrill_consensus::entry::Index;
use shallotrill_consensus::entry::Position;
use shallotrill_consensus::entry::Term;
use shallotrill_consensus::failure::Corrupt;
use shallotrill_consensus::failure::Ignored;
use shallotrill_consensus::failure::Refusal;
use shallotrill_consensus::member::Id;
use shallotrill_consensus::member::Peer;
use shallotrill_consensus::member::Set;
use shallotrill_consensus::message::Body;
use shallotrill_consensus::status::Role;
use shallotrill_model::time::Instant;

struct Case {
    name: &'static str,
    replicas: usize,
    run: fn(&mut Group),
    /// Whether there is a leader at the end.
    has_leader: bool,
}

fn elect_leader(group: &mut Group) -> usize {
    group.run_rounds(60);
    group.leader().expect("an elected leader")
}

/// Guards against leaders without a majority, against an empty disk that counts as the lost one, and
/// against unnecessary elections.
const CASES: &[Case] = &[
    Case {
        name: "a leader without a quorum steps down",
        replicas: 3,
        run: |group| {
            let leader = elect_leader(group);
            let others = (0..3).filter(|index| *index != leader);
            others.for_each(|index| group.hosts[index].partitioned = true);
            group.run_rounds(21);
        },
        has_leader: false,
    },
    Case {
        name: "a replica with a replaced disk and a lagging replica are not a majority",
        replicas: 3,
        run: |group| {
            let leader = elect_leader(group);
            let (lagging, restarted) = ((leader + 1) % 3, (leader + 2) % 3);
            group.hosts[lagging].partitioned = true;
            group.propose(leader, vec![1]);
            group.run_rounds(4);
            group.hosts[leader].partitioned = true;
            group.restart(restarted, Some(peer(restarted, 2)));
            group.hosts[lagging].partitioned = false;
            group.run_rounds(100);
            group.hosts[leader].replica.tick(Instant(u64::MAX / 2));
        },
        has_leader: false,
    },
    Case {
        name: "a suspended leader does not confirm a read after another leader is elected",
        replicas: 3,
        run: |group| {
            let leader = elect_leader(group);
            group.hosts[leader].partitioned = true;
            group.hosts[leader].frozen = true;
            group.run_rounds(100);
            let other = (0..3)
                .find(|index| {
                    *index != leader
                        && group.hosts[*index].replica.status(group.now).role == Role::Leader
                })
                .expect("another elected leader");
            group.propose(other, vec![1]);
            group.run_rounds(4);
            group.read(leader);
            group.run_rounds(4);
            assert_eq!(group.confirmed, 0, "number of confirmed reads");
            group.read(other);
            group.run_rounds(4);
            assert_eq!(group.confirmed, 1, "number of confirmed reads");
        },
        has_leader: true,
    },
    Case {
        name: "a replica that returns from a partition does not depose the leader",
        replicas: 3,
        run: |group| {
            let leader = elect_leader(group);
            let term = group.hosts[leader].replica.status(group.now).term;
            group.hosts[(leader + 1) % 3].partitioned = true;
            group.run_rounds(100);
            group.heal();
            group.run_rounds(100);
            let status = group.hosts[leader].replica.status(group.now);
            assert_eq!((status.role, status.term), (Role::Leader, term));
        },
        has_leader: true,
    },
    Case {
        name: "a member with a lost disk returns by remove, add and promote",
        replicas: 3,
        run: |group| {
            let leader = elect_leader(group);
            let replaced = (leader + 1) % 3;
            group.propose(leader, vec![1; 300]);
            group.run_rounds(4);
            group.compact(leader);
            let replacement = peer(replaced, 2);
            group.restart(replaced, Some(replacement));
            for change in [
                Change::Remove(replacement.id),
                Change::AddLearner(replacement),
                Change::Promote(replacement.id),
            ] {
                change_members(group, leader, change).expect("an accepted member change");
                group.run_rounds(20);
            }
            group.hosts[(leader + 2) % 3].partitioned = true;
            let before = group.committed.len();
            group.propose(leader, vec![2]);
            group.run_rounds(10);
            assert!(
                group.committed.len() > before,
                "the promoted member does not count towards the majority"
            );
            assert_eq!(group.installed, 1, "number of installed snapshots");
        },
        has_leader: true,
    },
    Case {
        name: "invalid member changes are refused",
        replicas: 3,
        run: |group| {
            let leader = elect_leader(group);
            let learner = peer(7, 1);
            let refused = |group: &mut Group, change, expected| {
                assert_eq!(change_members(group, leader, change), Err(expected));
            };
            refused(group, Change::Remove(Id(9)), Refusal::UnknownMember(Id(9)));
            let duplicate = Change::AddLearner(peer(1, 2));
            refused(group, duplicate, Refusal::DuplicateMember(Id(1)));
            let added = group.hosts[leader]
                .replica
                .change(group.now, Change::AddLearner(learner));
            let index = added.expect("an accepted member change").index;
            refused(group, Change::Remove(Id(1)), Refusal::ChangePending(index));
            group.run_rounds(4);
            let (matched, commit) = (Index(0), index);
            refused(
                group,
                Change::Promote(learner.id),
                Refusal::Behind { matched, commit },
            );
        },
        has_leader: true,
    },
    Case {
        name: "a leader that removes itself is replaced",
        replicas: 3,
        run: |group| {
            let leader = elect_leader(group);
            let id = group.hosts[leader].peer.id;
            change_members(group, leader, Change::Remove(id)).expect("an accepted member change");
            group.run_rounds(100);
            assert!(group.leader().is_some_and(|index| index != leader));
        },
        has_leader: true,
    },
];

fn change_members(group: &mut Group, index: usize, change: Change) -> Result<Position, Refusal> {
    let now = group.now;
    let result = group.hosts[index].replica.change(now, change);
    group.process_ready(index);
    result
}

#[test]
fn situations_end_with_the_expected_leadership() {
    for case in CASES {
        let mut group = Group::new(case.replicas);
        (case.run)(&mut group);
        assert_eq!(group.leader().is_some(), case.has_leader, "{}", case.name);
        group.check_logs();
    }
}

fn entry(index: u64, term: u64) -> Entry {
    Entry {
        position: Position {
            index: Index(index),
            term: Term(term),
        },
        content: Content::Empty,
    }
}

fn restored(entries: &[(u64, u64)], term: u64) -> Restored {
    Restored {
        hard_state: HardState {
            term: Term(term),
            vote: None,
        },
        snapshot: None,
        entries: entries
            .iter()
            .map(|(index, term)| entry(*index, *term))
            .collect(),
    }
}

struct RestoredLog {
    name: &'static str,
    /// Index and term of each entry.
    entries: &'static [(u64, u64)],
    expected: Option<Corrupt>,
}

/// Guards against a start with a restored log that no replica can have written.
const RESTORED_LOGS: &[RestoredLog] = &[
    RestoredLog {
        name: "complete log",
        entries: &[(1, 1), (2, 1), (3, 4)],
        expected: None,
    },
    RestoredLog {
        name: "gap between entries",
        entries: &[(1, 1), (3, 1)],
        expected: Some(Corrupt::Gap {
            expected: Index(2),
            found: Index(3),
        }),
    },
    RestoredLog {
        name: "term decreases",
        entries: &[(1, 3), (2, 2)],
        expected: Some(Corrupt::Term(Index(2))),
    },
    RestoredLog {
        name: "term above that of the hard state",
        entries: &[(1, 5)],
        expected: Some(Corrupt::Term(Index(1))),
    },
];

#[test]
fn restored_logs_are_checked() {
    for case in RESTORED_LOGS {
        let config = Config::new(peer(0, 1), Set::voters(&[peer(0, 1)]), 1);
        let result = Replica::new(config, restored(case.entries, 4), Instant(0));
        assert_eq!(result.err(), case.expected, "{}", case.name);
    }
}

/// A leader of term 3 in a group of three. Entries 1 and 2 are of term 1; entry 3 is its own empty entry.
fn leader_of_term_three() -> Replica {
    let peers = [peer(0, 1), peer(1, 1), peer(2, 1)];
    let config = Config::new(peers[0], Set::voters(&peers), 1);
    let state = restored(&[(1, 1), (2, 1)], 2);
    let mut replica = Replica::new(config, state, Instant(0)).expect("a valid restored log");
    let now = Instant(0) + Duration::from_secs(3);
    replica.tick(now);
    for body in [Body::PreVoted(true), Body::Voted(true)] {
        replica
            .step(now, Id(1), response(1, 1, body))
            .expect("an accepted response");
    }
    assert_eq!(replica.status(now).role, Role::Leader);
    let ready = replica.ready();
    replica.persisted(ready.persisted);
    replica
}

fn response(from: usize, disk: u128, body: Body) -> Message {
    Message {
        from: peer(from, disk),
        to: peer(0, 1),
        term: Term(3),
        body,
    }
}

struct Response {
    name: &'static str,
    disk: u128,
    matched: u64,
    commit: u64,
    result: Result<(), Ignored>,
}

/// Guards against commits of entries of an earlier term by count alone, which a later leader may
/// overwrite, and against commits by the response of a replaced disk.
const RESPONSES: &[Response] = &[
    Response {
        name: "acknowledged entry of an earlier term",
        disk: 1,
        matched: 2,
        commit: 0,
        result: Ok(()),
    },
    Response {
        name: "acknowledged entry of the current term",
        disk: 1,
        matched: 3,
        commit: 3,
        result: Ok(()),
    },
    Response {
        name: "acknowledgement from another disk",
        disk: 2,
        matched: 3,
        commit: 0,
        result: Err(Ignored::NotMember(Peer {
            id: Id(1),
            disk: disk::Identity(2),
        })),
    },
];

#[test]
fn commits_need_the_current_term_and_a_listed_disk() {
    for case in RESPONSES {
        let mut replica = leader_of_term_three();
        let now = Instant(0) + Duration::from_secs(3);
        let matched = Index(case.matched);
        let body = Body::Appended { matched, round: 0 };
        let result = replica.step(now, Id(1), response(1, case.disk, body));
        assert_eq!(result, case.result, "{}", case.name);
        assert_eq!(
            replica.status(now).commit,
            Index(case.commit),
            "{}",
            case.name
        );
    }
}
