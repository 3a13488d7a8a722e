//! Rules of the log, each in a situation made for it.

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
use shallotrill_consensus::entry::Hard;
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

struct Scene {
    name: &'static str,
    replicas: usize,
    play: fn(&mut Group),
    /// Whether a leader exists at the end.
    leads: bool,
}

fn elected(group: &mut Group) -> usize {
    group.settle(60);
    group.leader().expect("a leader")
}

/// Guards against a minority that leads, against a fresh disk that counts as the lost one, and against needless elections.
const SCENES: &[Scene] = &[
    Scene {
        name: "a leader without a quorum steps down",
        replicas: 3,
        play: |group| {
            let leader = elected(group);
            let others = (0..3).filter(|at| *at != leader);
            others.for_each(|at| group.hosts[at].cut = true);
            group.settle(21);
        },
        leads: false,
    },
    Scene {
        name: "a fresh disk and a lagging replica are no majority",
        replicas: 3,
        play: |group| {
            let leader = elected(group);
            let (lagging, up) = ((leader + 1) % 3, (leader + 2) % 3);
            group.hosts[lagging].cut = true;
            group.propose(leader, vec![1]);
            group.settle(4);
            group.hosts[leader].cut = true;
            group.restart(up, Some(peer(up, 2)));
            group.hosts[lagging].cut = false;
            group.settle(100);
            group.hosts[leader].replica.tick(Instant(u64::MAX / 2));
        },
        leads: false,
    },
    Scene {
        name: "a frozen leader does not answer a read after another is elected",
        replicas: 3,
        play: |group| {
            let leader = elected(group);
            group.hosts[leader].cut = true;
            group.hosts[leader].slow = true;
            group.settle(100);
            let other = (0..3)
                .find(|at| {
                    *at != leader && group.hosts[*at].replica.status(group.now).role == Role::Leader
                })
                .expect("another leader");
            group.propose(other, vec![1]);
            group.settle(4);
            group.read(leader);
            group.settle(4);
            assert_eq!(group.confirmed, 0, "reads confirmed");
            group.read(other);
            group.settle(4);
            assert_eq!(group.confirmed, 1, "reads confirmed");
        },
        leads: true,
    },
    Scene {
        name: "a returning replica does not unseat the leader",
        replicas: 3,
        play: |group| {
            let leader = elected(group);
            let term = group.hosts[leader].replica.status(group.now).term;
            group.hosts[(leader + 1) % 3].cut = true;
            group.settle(100);
            group.heal();
            group.settle(100);
            let status = group.hosts[leader].replica.status(group.now);
            assert_eq!((status.role, status.term), (Role::Leader, term));
        },
        leads: true,
    },
    Scene {
        name: "a lost disk is replaced by remove, add and promote",
        replicas: 3,
        play: |group| {
            let leader = elected(group);
            let lost = (leader + 1) % 3;
            group.propose(leader, vec![1; 300]);
            group.settle(4);
            group.compact(leader);
            let fresh = peer(lost, 2);
            group.restart(lost, Some(fresh));
            for change in [
                Change::Remove(fresh.id),
                Change::AddLearner(fresh),
                Change::Promote(fresh.id),
            ] {
                change_now(group, leader, change).expect("a change");
                group.settle(20);
            }
            group.hosts[(leader + 2) % 3].cut = true;
            let before = group.committed.len();
            group.propose(leader, vec![2]);
            group.settle(10);
            assert!(
                group.committed.len() > before,
                "the new member does not count"
            );
            assert_eq!(group.installed, 1, "snapshots installed");
        },
        leads: true,
    },
    Scene {
        name: "member changes that do not fit are refused",
        replicas: 3,
        play: |group| {
            let leader = elected(group);
            let learner = peer(7, 1);
            let refused = |group: &mut Group, change, expected| {
                assert_eq!(change_now(group, leader, change), Err(expected));
            };
            refused(group, Change::Remove(Id(9)), Refusal::UnknownMember(Id(9)));
            let duplicate = Change::AddLearner(peer(1, 2));
            refused(group, duplicate, Refusal::DuplicateMember(Id(1)));
            let added = group.hosts[leader]
                .replica
                .change(group.now, Change::AddLearner(learner));
            let index = added.expect("a change").index;
            refused(group, Change::Remove(Id(1)), Refusal::ChangePending(index));
            group.settle(4);
            let (matched, commit) = (Index(0), index);
            refused(
                group,
                Change::Promote(learner.id),
                Refusal::Behind { matched, commit },
            );
        },
        leads: true,
    },
    Scene {
        name: "a leader that removes itself makes place",
        replicas: 3,
        play: |group| {
            let leader = elected(group);
            let id = group.hosts[leader].peer.id;
            change_now(group, leader, Change::Remove(id)).expect("a change");
            group.settle(100);
            assert!(group.leader().is_some_and(|at| at != leader));
        },
        leads: true,
    },
];

fn change_now(group: &mut Group, at: usize, change: Change) -> Result<Position, Refusal> {
    let now = group.now;
    let result = group.hosts[at].replica.change(now, change);
    group.drive(at);
    result
}

#[test]
fn scenes_end_as_stated() {
    for scene in SCENES {
        let mut group = Group::new(scene.replicas);
        (scene.play)(&mut group);
        assert_eq!(group.leader().is_some(), scene.leads, "{}", scene.name);
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
        hard: Hard {
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

struct Log {
    name: &'static str,
    /// Index and term of each entry.
    entries: &'static [(u64, u64)],
    expected: Option<Corrupt>,
}

/// Guards against starting with a log that no replica can have written.
const RESTORED: &[Log] = &[
    Log {
        name: "whole",
        entries: &[(1, 1), (2, 1), (3, 4)],
        expected: None,
    },
    Log {
        name: "gap",
        entries: &[(1, 1), (3, 1)],
        expected: Some(Corrupt::Gap {
            expected: Index(2),
            found: Index(3),
        }),
    },
    Log {
        name: "term falls",
        entries: &[(1, 3), (2, 2)],
        expected: Some(Corrupt::Term(Index(2))),
    },
    Log {
        name: "term not in the hard state",
        entries: &[(1, 5)],
        expected: Some(Corrupt::Term(Index(1))),
    },
];

#[test]
fn restored_logs_are_checked() {
    for case in RESTORED {
        let config = Config::new(peer(0, 1), Set::voters(&[peer(0, 1)]), 1);
        let result = Replica::new(config, restored(case.entries, 4), Instant(0));
        assert_eq!(result.err(), case.expected, "{}", case.name);
    }
}

/// A leader of term 3 in a group of three, with entries of term 1 at 1 and 2 and its own empty entry at 3.
fn leader_of_term_three() -> Replica {
    let peers = [peer(0, 1), peer(1, 1), peer(2, 1)];
    let config = Config::new(peers[0], Set::voters(&peers), 1);
    let state = restored(&[(1, 1), (2, 1)], 2);
    let mut replica = Replica::new(config, state, Instant(0)).expect("a log");
    let now = Instant(0) + Duration::from_secs(3);
    replica.tick(now);
    for body in [Body::PreVoted(true), Body::Voted(true)] {
        replica
            .step(now, Id(1), answer(1, 1, body))
            .expect("an answer");
    }
    assert_eq!(replica.status(now).role, Role::Leader);
    let ready = replica.ready();
    replica.persisted(ready.persisted);
    replica
}

fn answer(from: usize, disk: u128, body: Body) -> Message {
    Message {
        from: peer(from, disk),
        to: peer(0, 1),
        term: Term(3),
        body,
    }
}

struct Answer {
    name: &'static str,
    disk: u128,
    matched: u64,
    commit: u64,
    result: Result<(), Ignored>,
}

/// Guards against commits of earlier terms by count alone, which a later leader may undo, and by a fresh disk.
const ANSWERS: &[Answer] = &[
    Answer {
        name: "an entry of an earlier term",
        disk: 1,
        matched: 2,
        commit: 0,
        result: Ok(()),
    },
    Answer {
        name: "the entry of the own term",
        disk: 1,
        matched: 3,
        commit: 3,
        result: Ok(()),
    },
    Answer {
        name: "another disk",
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
fn commits_need_the_own_term_and_disk() {
    for case in ANSWERS {
        let mut replica = leader_of_term_three();
        let now = Instant(0) + Duration::from_secs(3);
        let matched = Index(case.matched);
        let body = Body::Appended { matched, round: 0 };
        let result = replica.step(now, Id(1), answer(1, case.disk, body));
        assert_eq!(result, case.result, "{}", case.name);
        assert_eq!(
            replica.status(now).commit,
            Index(case.commit),
            "{}",
            case.name
        );
    }
}
