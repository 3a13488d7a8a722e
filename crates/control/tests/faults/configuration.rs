//! Faults before and after a configuration change, injected into running control processes.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time;

use crate::fixtures;
use crate::fixtures::RawProposer;
use crate::fixtures::WAIT_TIMEOUT;
use shallotrill_bench::cluster;
use shallotrill_bench::group::Group;
use shallotrill_operator::client::Cause;
use shallotrill_operator::client::Client;
use shallotrill_operator::client::Error;
use shallotrill_operator::wire::Request;

/// Fault injected around one change. Each case sends its `create` statement with one command id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    /// The reply to an accepted change is lost and the command is resent to another control process.
    ReplyLost,
    LeaderKilledAfterwards,
    LeaderStoppedAfterwards,
    LeaderDiskLostAfterwards,
    AllKilledAfterwards,
    /// The change is stored only by the leader, which is then killed.
    LeaderIsolatedKilled,
    /// The change is stored only by the leader, then the network partition ends.
    LeaderIsolatedHealed,
    LeaderOutboundPartitioned,
    FollowerPartitioned,
    FollowerStopped,
}

struct Case {
    fault: Fault,
    /// Allowed results of the first submission.
    first: &'static [&'static str],
}

const ACCEPTED: &[&str] = &["accepted"];
/// Without a quorum a change is not accepted, and once it was proposed it must not be reported as rejected.
const UNDECIDED: &[&str] = &["undecided", "no-quorum"];

/// Guards against an accepted change that is lost, applied twice or reverted, and against a change accepted without a
/// quorum.
const CASES: &[Case] = &[
    Case {
        fault: Fault::ReplyLost,
        first: ACCEPTED,
    },
    Case {
        fault: Fault::LeaderKilledAfterwards,
        first: ACCEPTED,
    },
    Case {
        fault: Fault::LeaderStoppedAfterwards,
        first: ACCEPTED,
    },
    Case {
        fault: Fault::AllKilledAfterwards,
        first: ACCEPTED,
    },
    Case {
        fault: Fault::FollowerStopped,
        first: ACCEPTED,
    },
    Case {
        fault: Fault::FollowerPartitioned,
        first: ACCEPTED,
    },
    Case {
        fault: Fault::LeaderIsolatedHealed,
        first: UNDECIDED,
    },
    Case {
        fault: Fault::LeaderIsolatedKilled,
        first: UNDECIDED,
    },
    Case {
        fault: Fault::LeaderOutboundPartitioned,
        first: UNDECIDED,
    },
    Case {
        fault: Fault::LeaderDiskLostAfterwards,
        first: ACCEPTED,
    },
];

async fn send(operators: &[SocketAddr], statement: &str, command: u128) -> Result<String, String> {
    let request = Request {
        statement: statement.to_owned(),
        command: Some(format!("{command:032x}")),
        operator: "test".to_owned(),
    };
    let client = Client::new(operators.to_vec(), Duration::from_secs(20));
    match client.send(&request).await {
        Ok(table) => Ok(table.notes.join("; ")),
        Err(Error::Refused { failure, .. }) => Err(failure.code().to_owned()),
        Err(Error::Unavailable { attempts }) => Err(match &attempts[0].cause {
            Cause::Retryable(failure) => failure.code().to_owned(),
            other => other.to_string(),
        }),
    }
}

/// Sends a statement until it succeeds.
async fn send_until_accepted(operators: &[SocketAddr], statement: &str, command: u128) -> String {
    let end = time::Instant::now() + WAIT_TIMEOUT;
    loop {
        match send(operators, statement, command).await {
            Ok(notes) => return notes,
            Err(code) => assert!(time::Instant::now() < end, "{statement}: {code}"),
        }
        time::sleep(Duration::from_millis(100)).await;
    }
}

async fn leader(group: &Group) -> usize {
    let end = time::Instant::now() + WAIT_TIMEOUT;
    loop {
        for (index, operator) in group.operators().iter().enumerate() {
            if fixtures::leader(*operator).await == Some(index as u64 + 1) {
                return index;
            }
        }
        assert!(time::Instant::now() < end, "no leader was elected");
        time::sleep(Duration::from_millis(100)).await;
    }
}

fn inject_fault_before(group: &mut Group, fault: Fault, leader: usize) {
    match fault {
        Fault::LeaderIsolatedKilled | Fault::LeaderIsolatedHealed => {
            group.block(leader, true, true);
        }
        Fault::LeaderOutboundPartitioned => group.block(leader, true, false),
        Fault::FollowerPartitioned => group.block((leader + 1) % 3, true, true),
        Fault::FollowerStopped => group.kill((leader + 1) % 3),
        _ => {}
    }
}

async fn inject_fault_after(group: &mut Group, fault: Fault, leader: usize) {
    match fault {
        Fault::LeaderKilledAfterwards | Fault::LeaderIsolatedKilled => group.kill(leader),
        Fault::LeaderStoppedAfterwards => assert!(group.stop(leader).await.unwrap()),
        Fault::AllKilledAfterwards => (0..3).for_each(|index| group.kill(index)),
        Fault::LeaderDiskLostAfterwards => {
            group.lose_disk(leader).unwrap();
            group.restart(leader).await.unwrap();
            let operators = other_operators(group, leader);
            let id = leader + 1;
            send_until_accepted(
                &operators,
                &format!("replace member {id} with {id}"),
                rand::random(),
            )
            .await;
        }
        _ => {}
    }
}

fn other_operators(group: &Group, index: usize) -> Vec<SocketAddr> {
    let operators = group.operators();
    vec![operators[(index + 1) % 3], operators[(index + 2) % 3]]
}

async fn run_case(group: &mut Group, number: usize, case: &Case) {
    let fault = case.fault;
    let leader = leader(group).await;
    let operators = group.operators();
    let create = format!("create service service-{number} with slots 3");
    let command = 1_000 + number as u128;
    inject_fault_before(group, fault, leader);
    let first = send(&operators[leader..=leader], &create, command).await;
    let code = first.as_ref().map_or_else(String::as_str, |_| "accepted");
    assert!(case.first.contains(&code), "{fault:?}: {first:?}");
    if fault == Fault::FollowerPartitioned {
        // A partitioned minority must report that it does not know the current configuration.
        let partitioned = (leader + 1) % 3;
        let notes = send(&operators[partitioned..=partitioned], "show services", 1).await;
        assert_eq!(notes, Err("no-quorum".to_owned()), "{fault:?}");
    }
    inject_fault_after(group, fault, leader).await;
    let remaining = other_operators(group, leader);
    if fault == Fault::AllKilledAfterwards {
        for index in 0..3 {
            group.restart(index).await.unwrap();
        }
    }
    let resent_notes = send_until_accepted(&remaining, &create, command).await;
    if let Ok(notes) = first {
        assert_eq!(notes, resent_notes, "{fault:?}");
    }
    for index in 0..3 {
        group.block(index, false, false);
        group.restart(index).await.unwrap();
    }
    // Each control process on its own returns every change so far.
    for operator in &operators {
        for earlier in 0..=number {
            send_until_accepted(&[*operator], &format!("show service service-{earlier}"), 1).await;
        }
        let again = send_until_accepted(&[*operator], &create, command).await;
        assert_eq!(again, resent_notes, "{fault:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn accepted_changes_persist_and_changes_without_a_quorum_are_not_accepted() {
    let folder = tempfile::tempdir().unwrap();
    let group = Group::start(
        cluster::reserve_ip().expect("a loopback address is free"),
        folder.path(),
        3,
        Duration::ZERO,
    )
    .await;
    let mut group = group.unwrap();
    RawProposer::new(&group, 1).await;
    for (number, case) in CASES.iter().enumerate() {
        let started_at = std::time::Instant::now();
        run_case(&mut group, number, case).await;
        println!("{:?}: {:?}", case.fault, started_at.elapsed());
    }
}

/// Guards against two concurrent changes of one base revision that are both accepted, or both refused.
#[tokio::test(flavor = "multi_thread")]
async fn one_of_two_concurrent_changes_is_accepted() {
    let folder = tempfile::tempdir().unwrap();
    let group = Group::start(
        cluster::reserve_ip().expect("a loopback address is free"),
        folder.path(),
        3,
        Duration::ZERO,
    )
    .await;
    let group = group.unwrap();
    RawProposer::new(&group, 1).await;
    let operators = group.operators();
    let notes = send_until_accepted(&operators, "create service payments with slots 3", 2).await;
    let revision = notes
        .split_whitespace()
        .find_map(|word| word.trim_end_matches(';').parse::<u64>().ok())
        .unwrap();
    let statement = |slots: u32| format!("change service payments at {revision} set slots {slots}");
    let (left, right) = (statement(4), statement(5));
    let (left, right) = tokio::join!(
        send(&operators[..1], &left, 3),
        send(&operators[1..2], &right, 4)
    );
    let refused = Err("conflict".to_owned());
    assert!(left.is_ok() != right.is_ok(), "{left:?} {right:?}");
    assert!(left == refused || right == refused, "{left:?} {right:?}");
}
