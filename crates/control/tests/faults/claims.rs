//! Faults after each step of a claim, injected into running control processes with data on disk.

use std::time::Duration;

use crate::fixtures;
use crate::fixtures::RawProposer;
use shallotrill_bench::cluster;
use shallotrill_bench::group::Group;
use shallotrill_bench::operate;
use shallotrill_claim::change::Change;
use shallotrill_claim::key::Key;
use shallotrill_claim::message::Message;
use shallotrill_claim::record::Record;
use shallotrill_claim::record::Report;
use shallotrill_model::attempt::Number as Attempt;
use shallotrill_model::outcome::Answer;

/// Last completed step of a claim when the fault occurs.
///
/// Dispatch and response change nothing at the members, so the expected results after them equal
/// those of [`Step::OpenAtMajority`]; their effect on the node is covered by the tests with running nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    OpenSent,
    OpenAtOne,
    OpenAtMajority,
    FinishAtOne,
    FinishAtMajority,
}

const STEPS: [Step; 5] = [
    Step::OpenSent,
    Step::OpenAtOne,
    Step::OpenAtMajority,
    Step::FinishAtOne,
    Step::FinishAtMajority,
];

/// Injected fault. The messages of the steps are sent to the first member, then to the second.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    Kill,
    DiskLost,
    DiskLostThenSecondMember,
    PartitionedBothWays,
    OutboundPartitioned,
    InboundPartitioned,
    ThirdMissedWrites,
    AllRestarted,
    PlannedStop,
    DuplicatedMessages,
    DelayedDuplicates,
    SlowNetwork,
}

struct Case {
    fault: Fault,
    /// Outcome that a fence reports after each step. An attempt that is reported as running or unknown (`held`)
    /// may later be reported as run; one that was reported as run must stay so.
    expected: [&'static str; 5],
}

const FIRST_LOST: [&str; 5] = ["not run", "not run", "held", "held", "ran"];
/// All members reply, so whether a record at only one of them is observed depends on the order of replies.
const ALL_REPLY: [&str; 5] = ["not run", "any", "held", "held", "ran"];

/// Guards against a fault between two steps that loses a grant or a response, or lets two attempts run concurrently.
const CASES: &[Case] = &[
    Case {
        fault: Fault::DuplicatedMessages,
        expected: ALL_REPLY,
    },
    Case {
        fault: Fault::DelayedDuplicates,
        expected: ALL_REPLY,
    },
    Case {
        fault: Fault::SlowNetwork,
        expected: ALL_REPLY,
    },
    Case {
        fault: Fault::Kill,
        expected: FIRST_LOST,
    },
    Case {
        fault: Fault::PlannedStop,
        expected: FIRST_LOST,
    },
    Case {
        fault: Fault::ThirdMissedWrites,
        expected: FIRST_LOST,
    },
    Case {
        fault: Fault::AllRestarted,
        expected: ALL_REPLY,
    },
    Case {
        fault: Fault::PartitionedBothWays,
        expected: FIRST_LOST,
    },
    Case {
        fault: Fault::OutboundPartitioned,
        expected: FIRST_LOST,
    },
    Case {
        fault: Fault::InboundPartitioned,
        expected: FIRST_LOST,
    },
    Case {
        fault: Fault::DiskLost,
        expected: FIRST_LOST,
    },
    Case {
        fault: Fault::DiskLostThenSecondMember,
        expected: FIRST_LOST,
    },
];

fn response() -> Answer {
    Answer {
        status: 200,
        content_type: String::new(),
        body: Some(b"paid".to_vec()),
        digest: fixtures::DIGEST,
    }
}

/// Record of attempt 1, open or done.
fn record(done: bool) -> Record {
    let opened = Record::apply(None, &fixtures::open(1)).record;
    let finish = Change::Finish {
        attempt: Attempt(1),
        holder: fixtures::holder(),
        answer: response(),
    };
    let record = if done {
        Record::apply(opened.as_ref(), &finish).record
    } else {
        opened
    };
    record.unwrap()
}

fn accept(proposer: &RawProposer<'_>, key: &Key, counter: u64, done: bool) -> Message {
    Message::Accept {
        key: key.clone(),
        ballot: proposer.ballot(counter),
        record: record(done),
    }
}

/// Returns whether a second attempt is granted.
async fn is_granted(group: &Group, index: usize, key: &Key) -> bool {
    matches!(
        fixtures::decide(group, index, key, fixtures::open(2)).await,
        Ok(Report::Granted { .. })
    )
}

/// Executes a claim of a new key up to a step, at the first member and then at the second.
async fn run_steps(group: &Group, step: Step, fault: Fault) -> Key {
    // The second member is running in every case while the steps are executed.
    let proposer = RawProposer::new(group, 1).await;
    let key = fixtures::key();
    let times = if fault == Fault::DuplicatedMessages {
        2
    } else {
        1
    };
    let mut messages = vec![
        (0, proposer.prepare(&key, 1)),
        (1, proposer.prepare(&key, 1)),
    ];
    match step {
        Step::OpenSent => {}
        Step::OpenAtOne => messages.push((0, accept(&proposer, &key, 1, false))),
        _ => messages.extend([0, 1].map(|index| (index, accept(&proposer, &key, 1, false)))),
    }
    match step {
        Step::FinishAtOne => messages.push((0, accept(&proposer, &key, 2, true))),
        Step::FinishAtMajority => {
            messages.extend([0, 1].map(|index| (index, accept(&proposer, &key, 2, true))));
        }
        _ => {}
    }
    for (index, message) in messages {
        for _ in 0..times {
            let reply = proposer.send(index, message.clone()).await;
            assert!(
                reply.is_some(),
                "{step:?} {fault:?}: member {index} did not reply"
            );
        }
    }
    key
}

fn inject_fault_before(group: &mut Group, fault: Fault) {
    if fault == Fault::ThirdMissedWrites {
        group.kill(2);
    }
}

/// Injects the fault; returns the member to which the fences are sent.
async fn inject_fault(group: &mut Group, fault: Fault) -> usize {
    match fault {
        Fault::Kill => group.kill(0),
        Fault::PlannedStop => assert!(group.stop(0).await.unwrap()),
        Fault::ThirdMissedWrites => {
            group.restart(2).await.unwrap();
            group.kill(0);
        }
        Fault::AllRestarted => {
            (0..3).for_each(|index| group.kill(index));
            for index in 0..3 {
                group.restart(index).await.unwrap();
            }
        }
        Fault::PartitionedBothWays => group.block(0, true, true),
        Fault::OutboundPartitioned => group.block(0, true, false),
        Fault::InboundPartitioned => group.block(0, false, true),
        Fault::DiskLost => replace_disk(group).await,
        Fault::DiskLostThenSecondMember => {
            replace_disk(group).await;
            group.kill(1);
            return 2;
        }
        Fault::DuplicatedMessages | Fault::DelayedDuplicates | Fault::SlowNetwork => {}
    }
    1
}

/// Replaces the disk of the first member by an empty one and waits until it votes again.
async fn replace_disk(group: &mut Group) {
    let epoch = RawProposer::new(group, 1).await.epoch.0;
    group.lose_disk(0).unwrap();
    group.restart(0).await.unwrap();
    let operators = group.operators();
    operate::run_with_retries(
        &operators[1..],
        "replace member 1 with 1",
        fixtures::WAIT_TIMEOUT,
    )
    .await
    .unwrap();
    let end = tokio::time::Instant::now() + fixtures::WAIT_TIMEOUT;
    for index in [1, 2, 0] {
        while RawProposer::new(group, index).await.epoch.0 < epoch + 2 {
            assert!(
                tokio::time::Instant::now() < end,
                "seat was not admitted at member {index}"
            );
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}

async fn recover(group: &mut Group) {
    for index in 0..3 {
        group.block(index, false, false);
        group.restart(index).await.unwrap();
    }
}

async fn send_delayed(group: &Group, keys: &[Key]) {
    let proposer = RawProposer::new(group, 1).await;
    for key in keys {
        for index in 0..3 {
            // A single member may accept or refuse the message; only the result of a quorum counts.
            drop(proposer.send(index, accept(&proposer, key, 1, false)).await);
        }
    }
}

async fn run_case(group: &mut Group, case: &Case) {
    inject_fault_before(group, case.fault);
    let mut keys = Vec::new();
    for step in STEPS {
        keys.push(run_steps(group, step, case.fault).await);
    }
    let member = inject_fault(group, case.fault).await;
    let mut outcomes = Vec::new();
    for (index, key) in keys.iter().enumerate() {
        let outcome = fixtures::fence_outcome(group, member, key).await;
        let expected = case.expected[index];
        // The response may be read from the only member that has it.
        let allowed =
            expected == "any" || outcome == expected || expected == "held" && outcome == "ran";
        assert!(
            allowed,
            "{:?} {:?}: unexpected outcome {outcome}",
            case.fault, STEPS[index]
        );
        outcomes.push(outcome);
    }
    if case.fault == Fault::DelayedDuplicates {
        send_delayed(group, &keys).await;
    }
    recover(group).await;
    for (index, key) in keys.iter().enumerate() {
        for member in [0, 2, 1] {
            let outcome = fixtures::fence_outcome(group, member, key).await;
            let is_consistent =
                outcome == outcomes[index] || outcomes[index] == "held" && outcome == "ran";
            assert!(
                is_consistent,
                "{:?} {:?}: outcome {} changed to {outcome}",
                case.fault, STEPS[index], outcomes[index]
            );
        }
        let granted = is_granted(group, 0, key).await;
        assert_eq!(
            granted,
            outcomes[index] == "not run",
            "{:?} {:?}",
            case.fault,
            STEPS[index]
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn faults_at_any_step_lose_no_claim_and_grant_none_twice() {
    let folder = tempfile::tempdir().unwrap();
    let started = Group::start(
        cluster::reserve_ip().expect("a loopback address is free"),
        folder.path(),
        3,
        Duration::ZERO,
    )
    .await;
    let mut group = started.unwrap();
    for case in CASES.iter().filter(|case| case.fault != Fault::SlowNetwork) {
        let started_at = std::time::Instant::now();
        run_case(&mut group, case).await;
        println!("{:?}: {:?}", case.fault, started_at.elapsed());
    }
    drop(group);
    let folder = tempfile::tempdir().unwrap();
    let delay = Duration::from_millis(40);
    let mut slow = Group::start(
        cluster::reserve_ip().expect("a loopback address is free"),
        folder.path(),
        3,
        delay,
    )
    .await
    .unwrap();
    for case in CASES.iter().filter(|case| case.fault == Fault::SlowNetwork) {
        run_case(&mut slow, case).await;
    }
}
