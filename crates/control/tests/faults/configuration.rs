//! Faults at every step of a change of the configuration, through real control processes.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time;

use crate::scene;
use crate::scene::PATIENCE;
use crate::scene::Rogue;
use shallotrill_bench::cluster;
use shallotrill_bench::group::Group;
use shallotrill_operator::client::Cause;
use shallotrill_operator::client::Client;
use shallotrill_operator::client::Error;
use shallotrill_operator::wire::Request;

/// What happens around one change. `create` is sent with one id by each case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    /// The reply of an accepted change is lost and the command is resent elsewhere.
    ReplyLost,
    LeaderKilledAfterwards,
    LeaderStoppedAfterwards,
    LeaderDiskLostAfterwards,
    AllKilledAfterwards,
    /// The change is at the leader's disk only, then the leader is gone.
    LeaderCutThenKilled,
    /// The change is at the leader's disk only, then the cut ends.
    LeaderCutThenHealed,
    LeaderSendsNothing,
    FollowerCut,
    FollowerAbsent,
}

struct Case {
    fault: Fault,
    /// What the first sending may be answered.
    first: &'static [&'static str],
}

const ACCEPTED: &[&str] = &["accepted"];
/// Without a quorum a change is not accepted, and once it was proposed nobody may deny that it will be.
const OPEN: &[&str] = &["undecided", "no-quorum"];

/// Guards against an accepted change that is lost, applied twice or reverted, and against acceptance without a quorum.
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
        fault: Fault::FollowerAbsent,
        first: ACCEPTED,
    },
    Case {
        fault: Fault::FollowerCut,
        first: ACCEPTED,
    },
    Case {
        fault: Fault::LeaderCutThenHealed,
        first: OPEN,
    },
    Case {
        fault: Fault::LeaderCutThenKilled,
        first: OPEN,
    },
    Case {
        fault: Fault::LeaderSendsNothing,
        first: OPEN,
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
        Ok(answer) => Ok(answer.notes.join("; ")),
        Err(Error::Refused { failure, .. }) => Err(failure.code().to_owned()),
        Err(Error::Unavailable { tries }) => Err(match &tries[0].cause {
            Cause::Elsewhere(failure) => failure.code().to_owned(),
            other => other.to_string(),
        }),
    }
}

/// Sends a statement until it succeeds.
async fn insist(operators: &[SocketAddr], statement: &str, command: u128) -> String {
    let end = time::Instant::now() + PATIENCE;
    loop {
        match send(operators, statement, command).await {
            Ok(said) => return said,
            Err(code) => assert!(time::Instant::now() < end, "{statement}: {code}"),
        }
        time::sleep(Duration::from_millis(100)).await;
    }
}

async fn leader(group: &Group) -> usize {
    let end = time::Instant::now() + PATIENCE;
    loop {
        for (index, operator) in group.operators().iter().enumerate() {
            if scene::leader(*operator).await == Some(index as u64 + 1) {
                return index;
            }
        }
        assert!(time::Instant::now() < end, "no leader");
        time::sleep(Duration::from_millis(100)).await;
    }
}

fn strike_before(group: &mut Group, fault: Fault, lead: usize) {
    match fault {
        Fault::LeaderCutThenKilled | Fault::LeaderCutThenHealed => group.block(lead, true, true),
        Fault::LeaderSendsNothing => group.block(lead, true, false),
        Fault::FollowerCut => group.block((lead + 1) % 3, true, true),
        Fault::FollowerAbsent => group.kill((lead + 1) % 3),
        _ => {}
    }
}

async fn strike_after(group: &mut Group, fault: Fault, lead: usize) {
    match fault {
        Fault::LeaderKilledAfterwards | Fault::LeaderCutThenKilled => group.kill(lead),
        Fault::LeaderStoppedAfterwards => assert!(group.stop(lead).await.unwrap()),
        Fault::AllKilledAfterwards => (0..3).for_each(|index| group.kill(index)),
        Fault::LeaderDiskLostAfterwards => {
            group.lose_disk(lead).unwrap();
            group.restart(lead).await.unwrap();
            let operators = others(group, lead);
            let id = lead + 1;
            insist(
                &operators,
                &format!("replace member {id} with {id}"),
                rand::random(),
            )
            .await;
        }
        _ => {}
    }
}

fn others(group: &Group, index: usize) -> Vec<SocketAddr> {
    let operators = group.operators();
    vec![operators[(index + 1) % 3], operators[(index + 2) % 3]]
}

async fn case(group: &mut Group, number: usize, case: &Case) {
    let fault = case.fault;
    let lead = leader(group).await;
    let operators = group.operators();
    let create = format!("create service service-{number} with slots 3");
    let command = 1_000 + number as u128;
    strike_before(group, fault, lead);
    let first = send(&operators[lead..=lead], &create, command).await;
    let code = first.as_ref().map_or_else(String::as_str, |_| "accepted");
    assert!(case.first.contains(&code), "{fault:?}: {first:?}");
    if fault == Fault::FollowerCut {
        // A minority cut off says itself that it cannot tell what is in force.
        let cut = (lead + 1) % 3;
        let said = send(&operators[cut..=cut], "show services", 1).await;
        assert_eq!(said, Err("no-quorum".to_owned()), "{fault:?}");
    }
    strike_after(group, fault, lead).await;
    let alive = others(group, lead);
    if fault == Fault::AllKilledAfterwards {
        for index in 0..3 {
            group.restart(index).await.unwrap();
        }
    }
    let resent = insist(&alive, &create, command).await;
    if let Ok(said) = first {
        assert_eq!(said, resent, "{fault:?}");
    }
    for index in 0..3 {
        group.block(index, false, false);
        group.restart(index).await.unwrap();
    }
    // Each of them, asked alone, has every change so far.
    for operator in &operators {
        for earlier in 0..=number {
            insist(&[*operator], &format!("show service service-{earlier}"), 1).await;
        }
        let again = insist(&[*operator], &create, command).await;
        assert_eq!(again, resent, "{fault:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_accepted_change_stays_and_others_are_not_accepted() {
    let folder = tempfile::tempdir().unwrap();
    let group = Group::start(cluster::loopback_ip(), folder.path(), 3, Duration::ZERO).await;
    let mut group = group.unwrap();
    Rogue::new(&group, 1).await;
    for (number, one) in CASES.iter().enumerate() {
        let begun = std::time::Instant::now();
        case(&mut group, number, one).await;
        println!("{:?}: {:?}", one.fault, begun.elapsed());
    }
}

/// Guards against two racing changes of equal number that are both accepted, or both refused.
#[tokio::test(flavor = "multi_thread")]
async fn one_of_two_racing_operators_wins() {
    let folder = tempfile::tempdir().unwrap();
    let group = Group::start(cluster::loopback_ip(), folder.path(), 3, Duration::ZERO).await;
    let group = group.unwrap();
    Rogue::new(&group, 1).await;
    let operators = group.operators();
    let said = insist(&operators, "create service payments with slots 3", 2).await;
    let revision = said
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
