//! Tests for the result of a round, given the replies of the members.

use shallotrill_claim::ballot::Ballot;
use shallotrill_claim::ballot::Sequence;
use shallotrill_claim::epoch;
use shallotrill_claim::key::Key;
use shallotrill_claim::message::Refusal;
use shallotrill_claim::message::Reply;
use shallotrill_claim::proposer::Failure;
use shallotrill_claim::proposer::Proposer;
use shallotrill_claim::proposer::Step;
use shallotrill_claim::proposer::Task;
use shallotrill_claim::record::Report;
use shallotrill_model::time;

const PROMISE: Reply = Reply::Promised(None);
const EXPIRED: Reply = Reply::Refused(Refusal::Expired(time::Wall(7)));
const FULL: Reply = Reply::Refused(Refusal::Full {
    bytes: 2,
    limit_bytes: 1,
});
const LATER: Reply = Reply::Refused(Refusal::Epoch(epoch::Number(2)));
const HIGHER: Ballot = Ballot {
    epoch: epoch::Number(1),
    counter: 9,
    member: epoch::Member(2),
    start: 1,
};
const LOWER: Reply = Reply::Refused(Refusal::Promised(HIGHER));

struct Case {
    name: &'static str,
    /// Replies with the members that send them; a round that they do not finish is expired.
    replies: &'static [(u32, Reply)],
    expected: Result<Report, Failure>,
}

/// Guards against wrong quorum counts, and against a key that is reported as expired because of a minority.
const CASES: &[Case] = &[
    Case {
        name: "a majority promises",
        replies: &[(1, PROMISE), (2, FULL), (3, PROMISE)],
        expected: Ok(Report::Absent),
    },
    Case {
        name: "one member replies twice, and one sender is not a member",
        replies: &[(1, PROMISE), (1, PROMISE), (4, PROMISE)],
        expected: Err(Failure::NoQuorum {
            agreed: 1,
            quorum: 2,
        }),
    },
    Case {
        name: "expired at a minority",
        replies: &[(1, EXPIRED), (2, PROMISE)],
        expected: Err(Failure::NoQuorum {
            agreed: 1,
            quorum: 2,
        }),
    },
    Case {
        name: "expired at a majority",
        replies: &[(1, EXPIRED), (2, EXPIRED)],
        expected: Err(Failure::Expired(time::Wall(7))),
    },
    Case {
        name: "expired at one and full at another",
        replies: &[(1, EXPIRED), (2, FULL)],
        expected: Err(Failure::NoQuorum {
            agreed: 0,
            quorum: 2,
        }),
    },
    Case {
        name: "full at one, no reply from the others",
        replies: &[(1, FULL)],
        expected: Err(Failure::NoQuorum {
            agreed: 0,
            quorum: 2,
        }),
    },
    Case {
        name: "full at a quorum",
        replies: &[(1, FULL), (3, FULL)],
        expected: Err(Failure::Full),
    },
    Case {
        name: "higher ballot",
        replies: &[(1, LOWER), (2, LOWER)],
        expected: Err(Failure::Conflict { higher: HIGHER }),
    },
    Case {
        name: "later epoch at one of three",
        replies: &[(1, LATER), (2, PROMISE), (3, PROMISE)],
        expected: Ok(Report::Absent),
    },
    Case {
        name: "later epoch at a majority",
        replies: &[(1, LATER), (3, LOWER)],
        expected: Err(Failure::Epoch(epoch::Number(2))),
    },
];

#[test]
fn rounds_end_with_the_expected_result() {
    let seat = |id| epoch::Seat {
        member: epoch::Member(id),
        disk: epoch::Disk(1),
        voting_state: epoch::VotingState::Voting,
    };
    let group = epoch::Group::new(epoch::Number(1), vec![seat(1), seat(2), seat(3)]).unwrap();
    let text = "017f22e2-79b0-7cc3-98c4-dc0c0c07398f";
    let partner = "growers".try_into().unwrap();
    let key = Key::parse(partner, "payments".try_into().unwrap(), text).unwrap();
    for case in CASES {
        let mut sequence = Sequence::new(epoch::Member(1), 1);
        let mut proposer = Proposer::new(group.clone(), key.clone(), Task::Read);
        proposer.start(&mut sequence);
        let mut outcome = None;
        for (from, reply) in case.replies {
            let step = proposer.step(epoch::Member(*from), proposer.ballot(), reply);
            if let Step::Finished(result) = step {
                outcome = Some(result);
            }
        }
        let outcome = outcome.unwrap_or_else(|| Err(proposer.expire()));
        assert_eq!(outcome, case.expected, "{}", case.name);
        let lower = case.replies.iter().any(|(_, reply)| *reply == LOWER);
        proposer.start(&mut sequence);
        assert_eq!(
            proposer.ballot() > HIGHER,
            lower,
            "{}: ballot of the next round",
            case.name
        );
    }
}
