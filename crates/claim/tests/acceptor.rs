//! Tests for the refusals of an acceptor, for copying and for its state after a restart.

use shallotrill_claim::acceptor::Acceptor;
use shallotrill_claim::acceptor::Config;
use shallotrill_claim::ballot::Ballot;
use shallotrill_claim::epoch::Disk;
use shallotrill_claim::epoch::Group;
use shallotrill_claim::epoch::Invalid;
use shallotrill_claim::epoch::Member;
use shallotrill_claim::epoch::Number;
use shallotrill_claim::epoch::Seat;
use shallotrill_claim::epoch::VotingState;
use shallotrill_claim::key;
use shallotrill_claim::key::Key;
use shallotrill_claim::message::Message;
use shallotrill_claim::message::Refusal;
use shallotrill_claim::message::Reply;
use shallotrill_claim::record::Record;
use shallotrill_claim::record::State;
use shallotrill_claim::table::BUCKET_MS;
use shallotrill_model::attempt;
use shallotrill_model::digest::Digest;
use shallotrill_model::outcome::Answer;
use shallotrill_model::outcome::Reason;
use shallotrill_model::time;

const HOUR: u64 = 400_000;

fn key(hour: u64, low: u128) -> Key {
    let time = u128::from(hour * BUCKET_MS);
    Key {
        id: key::IdempotencyKey::new(time << 80 | 7 << 76 | 2 << 62 | low).unwrap(),
        partner: "p".try_into().unwrap(),
        service: "s".try_into().unwrap(),
    }
}

fn ballot(epoch: u64, counter: u64) -> Ballot {
    Ballot {
        epoch: Number(epoch),
        counter,
        member: Member(1),
        start: 1,
    }
}

fn record() -> Record {
    Record {
        digest: Digest([1; 32]),
        attempt: attempt::Number(1),
        state: State::NotRun {
            reason: Reason::Fenced,
        },
    }
}

fn group(epoch: u64, seats: &[(u32, u64, VotingState)]) -> Result<Group, Invalid> {
    let seat = |&(member, disk, voting_state): &(u32, u64, VotingState)| Seat {
        member: Member(member),
        disk: Disk(disk),
        voting_state,
    };
    Group::new(Number(epoch), seats.iter().map(seat).collect())
}

const VOTING: VotingState = VotingState::Voting;
const COPYING: VotingState = VotingState::Copying;

fn acceptor(member: u32, disk: u64, limit_bytes: usize) -> Acceptor {
    Acceptor::new(Config {
        member: Member(member),
        disk: Disk(disk),
        limit_bytes,
        reserve_bytes: 2_000,
    })
}

/// A member in epoch 2 with one accepted register, a horizon and space for a few more registers.
fn member() -> Acceptor {
    let mut acceptor = acceptor(1, 1, 1_000);
    let first = group(1, &[(1, 1, VOTING), (2, 2, VOTING), (3, 3, VOTING)]).unwrap();
    let second = group(2, &[(1, 1, VOTING), (2, 2, VOTING), (3, 9, COPYING)]).unwrap();
    acceptor.enter(&first).unwrap();
    acceptor
        .accept(&key(HOUR, 1), ballot(1, 5), &record())
        .unwrap();
    acceptor.enter(&second).unwrap();
    acceptor
        .raise_horizon(time::Wall(HOUR * BUCKET_MS + 5))
        .unwrap();
    acceptor
}

struct Case {
    name: &'static str,
    request: fn(&mut Acceptor) -> Option<Refusal>,
    expected: Option<Refusal>,
}

/// Guards against promises and acceptances that the epoch, horizon, promises or memory limits do not allow.
const CASES: &[Case] = &[
    Case {
        name: "message of an earlier epoch",
        request: |a| a.accept(&key(HOUR, 1), ballot(1, 9), &record()).err(),
        expected: Some(Refusal::Epoch(Number(2))),
    },
    Case {
        name: "page of an epoch that this member has not entered",
        request: |a| a.page(Number(3), None, 100).err(),
        expected: Some(Refusal::Epoch(Number(2))),
    },
    Case {
        name: "lower ballot than promised",
        request: |a| {
            a.prepare(&key(HOUR, 1), ballot(2, 7)).unwrap();
            a.accept(&key(HOUR, 1), ballot(2, 6), &record()).err()
        },
        expected: Some(Refusal::Promised(Ballot {
            epoch: Number(2),
            counter: 7,
            member: Member(1),
            start: 1,
        })),
    },
    Case {
        name: "promise and acceptance of one ballot",
        request: |a| {
            a.prepare(&key(HOUR, 1), ballot(2, 7)).unwrap();
            a.accept(&key(HOUR, 1), ballot(2, 7), &record()).err()
        },
        expected: None,
    },
    Case {
        name: "key below the horizon",
        request: |a| a.prepare(&key(HOUR - 1, 1), ballot(2, 1)).err(),
        expected: Some(Refusal::Expired(time::Wall(HOUR * BUCKET_MS))),
    },
    Case {
        name: "horizon does not fall",
        request: |a| {
            assert_eq!(a.raise_horizon(time::Wall(5)), None);
            a.prepare(&key(HOUR - 1, 1), ballot(2, 1)).err()
        },
        expected: Some(Refusal::Expired(time::Wall(HOUR * BUCKET_MS))),
    },
    Case {
        name: "expired bucket is dropped with its bytes",
        request: |a| {
            a.raise_horizon(time::Wall((HOUR + 1) * BUCKET_MS)).unwrap();
            assert_eq!((a.table().bytes(), a.table().len()), (0, 0));
            a.prepare(&key(HOUR, 1), ballot(2, 1)).err()
        },
        expected: Some(Refusal::Expired(time::Wall((HOUR + 1) * BUCKET_MS))),
    },
    Case {
        name: "response for a known key when new keys are refused",
        request: |a| {
            while a
                .prepare(&key(HOUR, a.table().len() as u128 + 2), ballot(2, 1))
                .is_ok()
            {}
            let mut done = record();
            done.state = State::Done {
                answer: Answer {
                    status: 200,
                    content_type: String::new(),
                    body: Some(vec![0; 1_000]),
                    digest: done.digest,
                },
            };
            a.accept(&key(HOUR, 1), ballot(2, 1), &done).err()
        },
        expected: None,
    },
    Case {
        name: "a decision that is not applied changes neither promises nor records",
        request: |a| {
            let accept = Message::Accept {
                key: key(HOUR, 1),
                ballot: ballot(2, 9),
                record: record(),
            };
            let before: Vec<_> = a.snapshot().collect();
            assert_eq!(a.decide(&accept).0, Reply::Accepted);
            assert!(a.snapshot().eq(before));
            a.prepare(&key(HOUR, 1), ballot(2, 1)).err()
        },
        expected: None,
    },
    Case {
        name: "the disk differs from the disk of the seat",
        request: |a| {
            a.enter(&group(3, &[(1, 8, VOTING), (2, 2, VOTING), (3, 9, VOTING)]).unwrap())
                .err()
        },
        expected: Some(Refusal::Stranger(Member(1))),
    },
    Case {
        name: "lower epoch",
        request: |a| {
            a.enter(&group(1, &[(1, 1, VOTING), (2, 2, VOTING), (3, 3, VOTING)]).unwrap())
                .err()
        },
        expected: Some(Refusal::Epoch(Number(2))),
    },
];

#[test]
fn acceptor_refuses_what_its_state_does_not_allow() {
    for case in CASES {
        assert_eq!(
            (case.request)(&mut member()),
            case.expected,
            "{}",
            case.name
        );
    }
}

/// Guards against votes of a member that has not copied from every voting member, or lacks their horizon.
#[test]
fn copying_member_votes_after_all_pages_of_all_voters() {
    let mut source = member();
    source.prepare(&key(HOUR, 2), ballot(2, 1)).unwrap();
    let mut copy = acceptor(3, 9, 1_000);
    copy.enter(source.group().unwrap()).unwrap();
    let refused = copy.prepare(&key(HOUR, 1), ballot(2, 1)).err();
    assert_eq!(refused, Some(Refusal::Copying));
    let next = group(3, &[(1, 1, VOTING), (2, 2, VOTING), (3, 9, VOTING)]).unwrap();
    let first = source.page(Number(2), None, 1).unwrap();
    let second = source
        .page(Number(2), Some(&first.registers[0].key), 1)
        .unwrap();
    assert_eq!((first.last, second.last), (false, true));
    copy.merge(&first).unwrap();
    copy.merge(&second).unwrap();
    assert_eq!(copy.enter(&next), Err(Refusal::NotCopied));
    assert!(!copy.can_vote_in_next_epoch());
    let mut other = second.clone();
    other.from = Member(2);
    copy.merge(&other).unwrap();
    assert_eq!(copy.horizon(), source.horizon());
    assert!(copy.table().after(None).eq(source.table().after(None)));
    assert!(copy.can_vote_in_next_epoch() && copy.enter(&next).is_ok());
}

/// Guards against state that is missing from a snapshot and is lost after a restart.
#[test]
fn snapshot_restores_the_same_acceptor() {
    let mut live = member();
    live.prepare(&key(HOUR + 1, 4), ballot(2, 3)).unwrap();
    let mut restored = acceptor(1, 1, 1_000);
    for write in live.snapshot() {
        let text = serde_json::to_string(&write).unwrap();
        restored.apply(serde_json::from_str(&text).unwrap());
    }
    assert!(live.snapshot().eq(restored.snapshot()));
    assert_eq!(live.table().bytes(), restored.table().bytes());
}

/// Guards against a quorum that misses a record held by only one remaining voter after a disk was lost.
#[test]
fn quorum_includes_all_voters_while_a_member_copies() {
    let cases = [
        (vec![(1, 1, VOTING)], Ok(1)),
        (vec![(1, 1, VOTING), (2, 2, VOTING), (3, 3, VOTING)], Ok(2)),
        (vec![(1, 1, VOTING), (2, 2, COPYING), (3, 3, VOTING)], Ok(2)),
        (
            vec![
                (1, 1, VOTING),
                (2, 2, VOTING),
                (3, 3, VOTING),
                (4, 4, VOTING),
                (5, 5, COPYING),
            ],
            Ok(4),
        ),
        (
            vec![(1, 1, VOTING), (2, 2, COPYING), (3, 3, COPYING)],
            Err(Invalid::Voters {
                voting: 1,
                members: 3,
            }),
        ),
        (
            vec![(1, 1, VOTING), (1, 2, VOTING)],
            Err(Invalid::Repeated(Member(1))),
        ),
        (vec![], Err(Invalid::Empty)),
    ];
    for (seats, expected) in cases {
        let quorum = group(1, &seats).map(|group| group.quorum());
        assert_eq!(quorum, expected, "{seats:?}");
    }
}
