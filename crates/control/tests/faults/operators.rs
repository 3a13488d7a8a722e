//! Statements of operators and claim requests of nodes, sent to running control processes.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use tempfile::TempDir;
use tokio::time;

use crate::fixtures;
use crate::fixtures::RawProposer;
use crate::fixtures::WAIT_TIMEOUT;
use shallotrill_bench::cluster;
use shallotrill_bench::group::Group;
use shallotrill_bench::http;
use shallotrill_bench::http::Request as HttpRequest;
use shallotrill_bench::operate;
use shallotrill_claim::change::Change;
use shallotrill_claim::key::Key;
use shallotrill_claim::proposer::Task;
use shallotrill_control_client::claim;
use shallotrill_model::attempt::Number as Attempt;
use shallotrill_model::region;
use shallotrill_operator::client::Cause;
use shallotrill_operator::client::Client;
use shallotrill_operator::client::Error;
use shallotrill_operator::wire::Request;

async fn start() -> (TempDir, Group) {
    start_with(3).await
}

async fn start_with(members: usize) -> (TempDir, Group) {
    let folder = tempfile::tempdir().unwrap();
    let group = Group::start(
        cluster::reserve_ip().expect("a loopback address is free"),
        folder.path(),
        members,
        Duration::ZERO,
    )
    .await;
    let group = group.unwrap();
    RawProposer::new(&group, 1).await;
    (folder, group)
}

/// Returns the code of the failure, the number of rows, or the notes of a result without rows.
async fn execute(operators: &[SocketAddr], statement: &str, command: u128) -> String {
    let request = Request {
        statement: statement.to_owned(),
        command: Some(format!("{command:032x}")),
        operator: "test".to_owned(),
    };
    let client = Client::new(operators.to_vec(), Duration::from_secs(50));
    match client.send(&request).await {
        Ok(table) if table.rows.is_empty() => table.notes.join("; "),
        Ok(table) => format!("{} rows", table.rows.len()),
        Err(Error::Refused { failure, .. }) => failure.code().to_owned(),
        Err(Error::Unavailable { attempts }) => match &attempts[0].cause {
            Cause::Retryable(failure) => failure.code().to_owned(),
            other => format!("{other}"),
        },
    }
}

async fn record_unknown_outcome(group: &Group) -> Key {
    let key = fixtures::key();
    fixtures::decide(group, 0, &key, fixtures::open(1))
        .await
        .unwrap();
    let attempt = Attempt(1);
    fixtures::decide(group, 1, &key, Change::Lapse { attempt })
        .await
        .unwrap();
    key
}

struct Case {
    name: &'static str,
    /// Statement, command id and expected part of the result. `KEY` in a statement is replaced by the key of a
    /// request of unknown outcome, `DIGEST` by a digest.
    steps: &'static [(&'static str, u128, &'static str)],
}

/// Guards against a statement that fails without a code, is decided twice, or gets another result when it is resent.
const STATEMENTS: &[Case] = &[
    Case {
        name: "settle as not run, resend, then settle otherwise",
        steps: &[
            ("show unknown", 1, "1 rows"),
            (
                "settle partner payments KEY as not-run",
                2,
                "settled as not-run: not-run",
            ),
            (
                "settle partner payments KEY as not-run",
                2,
                "settled as not-run: not-run",
            ),
            ("settle partner payments KEY as done", 3, "request"),
            ("show unknown", 4, "requests that may have run"),
        ],
    },
    Case {
        name: "settle as done, then settle otherwise",
        steps: &[
            (
                "settle partner payments KEY as done",
                5,
                "settled as done: ran",
            ),
            ("settle partner payments KEY as not-run", 6, "request"),
        ],
    },
    Case {
        name: "settle an unknown key and an invalid key",
        steps: &[
            ("settle partner other KEY as done", 7, "unknown-name"),
            (
                "settle partner payments 00000000-0000-4000-8000-000000000000 as done",
                8,
                "invalid-value",
            ),
        ],
    },
    Case {
        name: "resend a command, show it by id, and show an unknown id",
        steps: &[
            (
                "create service payments with slots 3",
                9,
                "accepted as revision",
            ),
            (
                "create service payments with slots 3",
                9,
                "accepted as revision",
            ),
            ("create service payments with slots 3", 10, "exists"),
            (
                "show command 00000000000000000000000000000009",
                11,
                "Accepted",
            ),
            (
                "show command 00000000000000000000000000000aaa",
                12,
                "unknown-name",
            ),
        ],
    },
    Case {
        name: "release, resend, and release for an unknown service",
        steps: &[
            ("release payments DIGEST", 13, "accepted as revision"),
            ("release payments DIGEST", 13, "accepted as revision"),
            ("release absent DIGEST", 14, "unknown-name"),
        ],
    },
    Case {
        name: "replace a member with an unknown process",
        steps: &[("replace member 1 with 9", 15, "unknown-name")],
    },
    Case {
        name: "replace a voter with another voter, which would only reduce the number of voters",
        steps: &[
            ("replace member 1 with 2", 16, "request"),
            ("show members", 17, "3 rows"),
        ],
    },
];

#[tokio::test(flavor = "multi_thread")]
async fn statements_have_typed_outcomes() {
    let (_folder, group) = start().await;
    let operators = group.operators();
    let digest = fixtures::DIGEST.to_string();
    for case in STATEMENTS {
        let key = record_unknown_outcome(&group).await.id.to_string();
        for (statement, command, expected) in case.steps {
            let text = statement.replace("KEY", &key).replace("DIGEST", &digest);
            let result = execute(&operators, &text, *command).await;
            let is_expected = result.contains(expected)
                || *statement == "show unknown" && result.ends_with("rows");
            assert!(is_expected, "{}: {text}: {result}", case.name);
        }
    }
}

struct ClaimCase {
    name: &'static str,
    region: &'static str,
    ahead: Duration,
    expected: fn(&claim::Reply) -> bool,
}

/// Guards against two groups that grant one key, and against records that are kept longer than the retention period.
const CLAIM_CASES: &[ClaimCase] = &[
    ClaimCase {
        name: "local region, key issued now",
        region: "waikato",
        ahead: Duration::ZERO,
        expected: Result::is_ok,
    },
    ClaimCase {
        name: "another region",
        region: "nordland",
        ahead: Duration::ZERO,
        expected: |reply| matches!(reply, Err(claim::Refusal::Region(_))),
    },
    ClaimCase {
        name: "key issued slightly ahead",
        region: "waikato",
        ahead: Duration::from_mins(4),
        expected: Result::is_ok,
    },
    ClaimCase {
        name: "key issued too far ahead",
        region: "waikato",
        ahead: Duration::from_hours(1),
        expected: |reply| matches!(reply, Err(claim::Refusal::Ahead(_))),
    },
];

#[tokio::test(flavor = "multi_thread")]
async fn claims_outside_the_region_or_time_limit_are_refused() {
    let (_folder, group) = start().await;
    fixtures::decide(&group, 1, &fixtures::key(), fixtures::open(1))
        .await
        .unwrap();
    for case in CLAIM_CASES {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        let key = fixtures::key_at(now + case.ahead);
        let mut request = fixtures::claim_request(&key, Task::Change(fixtures::open(1)));
        request.region = region::Name::new(case.region).unwrap();
        let reply = group
            .claim(1, &request, fixtures::REQUEST_TIMEOUT)
            .await
            .unwrap();
        assert!((case.expected)(&reply), "{}: {reply:?}", case.name);
    }
}

/// Guards against a state dump that fails because a value cannot be represented as JSON.
#[tokio::test(flavor = "multi_thread")]
async fn every_process_dumps_its_state() {
    let (_folder, group) = start().await;
    for (index, address) in group.operators().into_iter().enumerate() {
        let request = HttpRequest::get("control", "/v1/state");
        let response = http::send(address, &request, fixtures::REQUEST_TIMEOUT)
            .await
            .unwrap();
        let text = response.text();
        assert_eq!(response.status.as_u16(), 200, "{index}: {text}");
        assert!(text.contains("\"registers\""), "{index}: {text}");
    }
}

/// Event that occurs after a replacement has started.
#[derive(Clone, Copy, Debug)]
enum Interruption {
    None,
    LeaderKilled,
    NewMemberKilled,
    RequestedTwiceConcurrently,
    RequestedAgainAfterwards,
}

/// Guards against an interrupted replacement that cannot be continued, or that loses accepted claims or changes.
const INTERRUPTIONS: &[Interruption] = &[
    Interruption::None,
    Interruption::RequestedTwiceConcurrently,
    Interruption::RequestedAgainAfterwards,
    Interruption::NewMemberKilled,
    Interruption::LeaderKilled,
];

/// Index of the leader, as member 2 knows it.
async fn leader(group: &Group) -> usize {
    let end = time::Instant::now() + WAIT_TIMEOUT;
    loop {
        if let Some(number) = fixtures::leader(group.operators()[1]).await {
            return number as usize - 1;
        }
        assert!(time::Instant::now() < end, "no leader was elected");
        time::sleep(Duration::from_millis(100)).await;
    }
}

async fn replace_interrupted(group: &mut Group, interruption: Interruption) {
    let operators = group.operators();
    let statement = "replace member 1 with 1";
    group.lose_disk(0).unwrap();
    group.restart(0).await.unwrap();
    match interruption {
        Interruption::None => {}
        Interruption::RequestedTwiceConcurrently => {
            let (first, second) = tokio::join!(
                execute(&operators[1..2], statement, rand::random()),
                execute(&operators[2..], statement, rand::random()),
            );
            println!("{first} and {second}");
        }
        Interruption::RequestedAgainAfterwards => {
            operate::run_with_retries(&operators[1..], statement, WAIT_TIMEOUT)
                .await
                .unwrap();
        }
        Interruption::NewMemberKilled => {
            let addresses = operators[1..].to_vec();
            let request_task =
                tokio::spawn(async move { execute(&addresses, statement, rand::random()).await });
            group.kill(0);
            group.restart(0).await.unwrap();
            println!("{}", request_task.await.unwrap());
        }
        Interruption::LeaderKilled => {
            let leader = leader(group).await.max(1);
            let addresses = operators[3 - leader..=3 - leader].to_vec();
            let request_task =
                tokio::spawn(async move { execute(&addresses, statement, rand::random()).await });
            time::sleep(Duration::from_millis(20)).await;
            group.kill(leader);
            group.restart(leader).await.unwrap();
            println!("{}", request_task.await.unwrap());
        }
    }
    operate::run_with_retries(&operators[1..], statement, WAIT_TIMEOUT)
        .await
        .unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn an_interrupted_replacement_continues_when_repeated() {
    let (_folder, mut group) = start().await;
    let mut keys = Vec::new();
    for (index, interruption) in INTERRUPTIONS.iter().enumerate() {
        let key = fixtures::key();
        fixtures::decide(&group, 1, &key, fixtures::open(1))
            .await
            .unwrap();
        keys.push(key);
        let service = format!("service-{index}");
        let create = format!("create service {service} with slots 3");
        operate::run_with_retries(&group.operators(), &create, WAIT_TIMEOUT)
            .await
            .unwrap();
        let epoch = RawProposer::new(&group, 1).await.epoch.0;
        replace_interrupted(&mut group, *interruption).await;
        let end = time::Instant::now() + WAIT_TIMEOUT;
        while RawProposer::new(&group, 0).await.epoch.0 < epoch + 2 {
            assert!(
                time::Instant::now() < end,
                "{interruption:?}: seat was not admitted"
            );
            time::sleep(Duration::from_millis(50)).await;
        }
        // Only the new member and one other are running, and no claim or change may be lost.
        group.kill(1);
        for key in &keys {
            assert_eq!(
                fixtures::fence_outcome(&group, 0, key).await,
                "held",
                "{interruption:?}"
            );
        }
        let show = format!("show service {service}");
        let operators = [group.operators()[0], group.operators()[2]];
        operate::run_with_retries(&operators, &show, WAIT_TIMEOUT)
            .await
            .unwrap();
        group.restart(1).await.unwrap();
        println!("{interruption:?}: done");
    }
}

/// Condition that prevents a replacement from completing.
#[derive(Clone, Copy, Debug)]
enum Obstacle {
    /// The leader has no quorum, so its view of the seats may be outdated.
    NoQuorum,
    /// The seat of another member is still copying.
    OtherSeatCopying,
}

struct IncompleteCase {
    name: &'static str,
    members: usize,
    obstacle: Obstacle,
    /// Expected start of the result that the operator receives.
    expected: &'static str,
}

/// Guards against a replacement that is reported as done while the seat in the claim group is not replaced.
const INCOMPLETE: &[IncompleteCase] = &[
    IncompleteCase {
        name: "a leader without a quorum",
        members: 3,
        obstacle: Obstacle::NoQuorum,
        expected: "no-quorum",
    },
    IncompleteCase {
        name: "another seat is still copying",
        members: 5,
        obstacle: Obstacle::OtherSeatCopying,
        expected: "request",
    },
];

#[tokio::test(flavor = "multi_thread")]
async fn an_incomplete_replacement_is_refused() {
    for case in INCOMPLETE {
        let (_folder, mut group) = start_with(case.members).await;
        let operators = group.operators();
        let result = match case.obstacle {
            Obstacle::NoQuorum => {
                let leader = leader(&group).await;
                for index in 0..case.members {
                    if index != leader {
                        group.kill(index);
                    }
                }
                let number = leader + 1;
                let statement = format!("replace member {number} with {number}");
                execute(&operators[leader..=leader], &statement, rand::random()).await
            }
            Obstacle::OtherSeatCopying => {
                // A seat copies from every other voter, so it waits for the one that is stopped.
                group.kill(2);
                let addresses = [operators[3], operators[4]];
                operate::run_with_retries(&addresses, "replace member 1 with 4", WAIT_TIMEOUT)
                    .await
                    .unwrap();
                execute(&addresses, "replace member 2 with 5", rand::random()).await
            }
        };
        assert!(result.starts_with(case.expected), "{}: {result}", case.name);
    }
}
