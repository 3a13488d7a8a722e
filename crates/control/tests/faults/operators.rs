//! Statements of operators and questions of nodes, through real control processes.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use tempfile::TempDir;
use tokio::time;

use crate::scene;
use crate::scene::PATIENCE;
use crate::scene::Rogue;
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
    start_of(3).await
}

async fn start_of(members: usize) -> (TempDir, Group) {
    let folder = tempfile::tempdir().unwrap();
    let group = Group::start(
        cluster::loopback_ip(),
        folder.path(),
        members,
        Duration::ZERO,
    )
    .await;
    let group = group.unwrap();
    Rogue::new(&group, 1).await;
    (folder, group)
}

/// The code of the failure, or the notes of the answer.
async fn say(operators: &[SocketAddr], statement: &str, command: u128) -> String {
    let request = Request {
        statement: statement.to_owned(),
        command: Some(format!("{command:032x}")),
        operator: "test".to_owned(),
    };
    let client = Client::new(operators.to_vec(), Duration::from_secs(50));
    match client.send(&request).await {
        Ok(answer) if answer.rows.is_empty() => answer.notes.join("; "),
        Ok(answer) => format!("{} rows", answer.rows.len()),
        Err(Error::Refused { failure, .. }) => failure.code().to_owned(),
        Err(Error::Unavailable { tries }) => match &tries[0].cause {
            Cause::Elsewhere(failure) => failure.code().to_owned(),
            other => format!("{other}"),
        },
    }
}

async fn unknown(group: &Group) -> Key {
    let key = scene::key();
    scene::decide(group, 0, &key, scene::open(1)).await.unwrap();
    let attempt = Attempt(1);
    scene::decide(group, 1, &key, Change::Lapse { attempt })
        .await
        .unwrap();
    key
}

struct Case {
    name: &'static str,
    /// Statement, in which `KEY` stands for the key of a request of unknown outcome, and the command id.
    steps: &'static [(&'static str, u128, &'static str)],
}

/// Guards against a statement that is answered with an untyped failure, decided twice, or answered otherwise when it is resent.
const STATEMENTS: &[Case] = &[
    Case {
        name: "settle as not run, resent, and then against the decision",
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
        name: "settle as done, and then against the decision",
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
        name: "settle what is not recorded, and what is no key",
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
        name: "command by its id, resent, and one that nobody sent",
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
        name: "release",
        steps: &[
            ("release payments DIGEST", 13, "accepted as revision"),
            ("release payments DIGEST", 13, "accepted as revision"),
            ("release absent DIGEST", 14, "unknown-name"),
        ],
    },
    Case {
        name: "replace with a process that nobody knows",
        steps: &[("replace member 1 with 9", 15, "unknown-name")],
    },
    Case {
        name: "replace a voter with another voter, which would only make the group smaller",
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
    let digest = scene::DIGEST.to_string();
    for case in STATEMENTS {
        let key = unknown(&group).await.id.to_string();
        for (statement, command, expected) in case.steps {
            let text = statement.replace("KEY", &key).replace("DIGEST", &digest);
            let said = say(&operators, &text, *command).await;
            let told =
                said.contains(expected) || *statement == "show unknown" && said.ends_with("rows");
            assert!(told, "{}: {text}: {said}", case.name);
        }
    }
}

struct Question {
    name: &'static str,
    region: &'static str,
    ahead: Duration,
    expected: fn(&claim::Reply) -> bool,
}

/// Guards against two groups that grant one key, and against records that outlive the retention.
const QUESTIONS: &[Question] = &[
    Question {
        name: "own region, key of now",
        region: "waikato",
        ahead: Duration::ZERO,
        expected: Result::is_ok,
    },
    Question {
        name: "another region",
        region: "nordland",
        ahead: Duration::ZERO,
        expected: |reply| matches!(reply, Err(claim::Refusal::Region(_))),
    },
    Question {
        name: "key a little ahead",
        region: "waikato",
        ahead: Duration::from_mins(4),
        expected: Result::is_ok,
    },
    Question {
        name: "key far ahead",
        region: "waikato",
        ahead: Duration::from_hours(1),
        expected: |reply| matches!(reply, Err(claim::Refusal::Ahead(_))),
    },
];

#[tokio::test(flavor = "multi_thread")]
async fn questions_that_a_group_must_not_decide() {
    let (_folder, group) = start().await;
    scene::decide(&group, 1, &scene::key(), scene::open(1))
        .await
        .unwrap();
    for case in QUESTIONS {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        let key = scene::key_at(now + case.ahead);
        let mut ask = scene::ask(&key, Task::Change(scene::open(1)));
        ask.region = region::Name::new(case.region).unwrap();
        let reply = group.claim(1, &ask, scene::LIMIT).await.unwrap();
        assert!((case.expected)(&reply), "{}: {reply:?}", case.name);
    }
}

/// Guards against a state dump that cannot be made, for want of a form for a value.
#[tokio::test(flavor = "multi_thread")]
async fn every_process_dumps_its_state() {
    let (_folder, group) = start().await;
    for (index, address) in group.operators().into_iter().enumerate() {
        let ask = HttpRequest::get("control", "/v1/state");
        let answer = http::send(address, &ask, scene::LIMIT).await.unwrap();
        let text = answer.text();
        assert_eq!(answer.status.as_u16(), 200, "{index}: {text}");
        assert!(text.contains("\"registers\""), "{index}: {text}");
    }
}

/// What happens to a replacement after it began.
#[derive(Clone, Copy, Debug)]
enum Interruption {
    None,
    LeaderKilled,
    NewMemberKilled,
    AskedTwiceAtOnce,
    AskedAgainAfterwards,
}

/// Guards against a replacement that cannot be gone on with, or that loses what was accepted.
const INTERRUPTIONS: &[Interruption] = &[
    Interruption::None,
    Interruption::AskedTwiceAtOnce,
    Interruption::AskedAgainAfterwards,
    Interruption::NewMemberKilled,
    Interruption::LeaderKilled,
];

/// Index of the leader, as member 2 knows it.
async fn leader(group: &Group) -> usize {
    let end = time::Instant::now() + PATIENCE;
    loop {
        if let Some(number) = scene::leader(group.operators()[1]).await {
            return number as usize - 1;
        }
        assert!(time::Instant::now() < end, "no leader");
        time::sleep(Duration::from_millis(100)).await;
    }
}

async fn interrupted(group: &mut Group, interruption: Interruption) {
    let operators = group.operators();
    let statement = "replace member 1 with 1";
    group.lose_disk(0).unwrap();
    group.restart(0).await.unwrap();
    match interruption {
        Interruption::None => {}
        Interruption::AskedTwiceAtOnce => {
            let (first, second) = tokio::join!(
                say(&operators[1..2], statement, rand::random()),
                say(&operators[2..], statement, rand::random()),
            );
            println!("{first} and {second}");
        }
        Interruption::AskedAgainAfterwards => {
            operate::run_with_retries(&operators[1..], statement, PATIENCE)
                .await
                .unwrap();
        }
        Interruption::NewMemberKilled => {
            let asked = operators[1..].to_vec();
            let asking = tokio::spawn(async move { say(&asked, statement, rand::random()).await });
            group.kill(0);
            group.restart(0).await.unwrap();
            println!("{}", asking.await.unwrap());
        }
        Interruption::LeaderKilled => {
            let leader = leader(group).await.max(1);
            let asked = operators[3 - leader..=3 - leader].to_vec();
            let asking = tokio::spawn(async move { say(&asked, statement, rand::random()).await });
            time::sleep(Duration::from_millis(20)).await;
            group.kill(leader);
            group.restart(leader).await.unwrap();
            println!("{}", asking.await.unwrap());
        }
    }
    operate::run_with_retries(&operators[1..], statement, PATIENCE)
        .await
        .unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn an_interrupted_replacement_goes_on_when_repeated() {
    let (_folder, mut group) = start().await;
    let mut keys = Vec::new();
    for (index, interruption) in INTERRUPTIONS.iter().enumerate() {
        let key = scene::key();
        scene::decide(&group, 1, &key, scene::open(1))
            .await
            .unwrap();
        keys.push(key);
        let service = format!("service-{index}");
        let create = format!("create service {service} with slots 3");
        operate::run_with_retries(&group.operators(), &create, PATIENCE)
            .await
            .unwrap();
        let epoch = Rogue::new(&group, 1).await.epoch.0;
        interrupted(&mut group, *interruption).await;
        let end = time::Instant::now() + PATIENCE;
        while Rogue::new(&group, 0).await.epoch.0 < epoch + 2 {
            assert!(time::Instant::now() < end, "{interruption:?}: not admitted");
            time::sleep(Duration::from_millis(50)).await;
        }
        // Only the new member and one other are left, and nothing is lost.
        group.kill(1);
        for key in &keys {
            assert_eq!(
                scene::fate(&group, 0, key).await,
                "held",
                "{interruption:?}"
            );
        }
        let show = format!("show service {service}");
        let operators = [group.operators()[0], group.operators()[2]];
        operate::run_with_retries(&operators, &show, PATIENCE)
            .await
            .unwrap();
        group.restart(1).await.unwrap();
        println!("{interruption:?}: done");
    }
}

/// What keeps a replacement from being complete.
#[derive(Clone, Copy, Debug)]
enum Obstacle {
    /// The leader has no quorum, so its own view of the seats may be outdated.
    NoQuorum,
    /// The seat of another member is still copying.
    AnotherCopies,
}

struct Incomplete {
    name: &'static str,
    members: usize,
    obstacle: Obstacle,
    /// What the operator is told.
    expected: &'static str,
}

/// Guards against a replacement that is reported as done while the seat in the claim group is not replaced.
const INCOMPLETE: &[Incomplete] = &[
    Incomplete {
        name: "a leader without a quorum",
        members: 3,
        obstacle: Obstacle::NoQuorum,
        expected: "no-quorum",
    },
    Incomplete {
        name: "another seat is still copying",
        members: 5,
        obstacle: Obstacle::AnotherCopies,
        expected: "request",
    },
];

#[tokio::test(flavor = "multi_thread")]
async fn a_replacement_that_is_not_complete_is_refused() {
    for case in INCOMPLETE {
        let (_folder, mut group) = start_of(case.members).await;
        let operators = group.operators();
        let told = match case.obstacle {
            Obstacle::NoQuorum => {
                let leader = leader(&group).await;
                for index in 0..case.members {
                    if index != leader {
                        group.kill(index);
                    }
                }
                let number = leader + 1;
                let statement = format!("replace member {number} with {number}");
                say(&operators[leader..=leader], &statement, rand::random()).await
            }
            Obstacle::AnotherCopies => {
                // A seat copies from every other voter, so it waits for the one that is down.
                group.kill(2);
                let asked = [operators[3], operators[4]];
                operate::run_with_retries(&asked, "replace member 1 with 4", PATIENCE)
                    .await
                    .unwrap();
                say(&asked, "replace member 2 with 5", rand::random()).await
            }
        };
        assert!(told.starts_with(case.expected), "{}: {told}", case.name);
    }
}
