//! Control processes that are killed, stopped with SIGSTOP or lose their disks.

use std::fs;
use std::time::Duration;
use std::time::Instant;

use rustix::process::Signal;

use super::fixture;
use super::fixture::Case;
use super::fixture::Fixture;
use super::fixture::SERVICE;
use super::fixture::WAIT_TIMEOUT;
use super::fixture::deposit;
use super::fixture::is_answered;
use super::fixture::keys;
use super::fixture::wait;
use shallotrill_bench::http;
use shallotrill_bench::http::Request;
use shallotrill_language::result_table::Cell;
use shallotrill_operator::client::Error;

/// Maximum time without an answered deposit after one of three control processes is killed. Claims
/// need two of three and no leader, and a node switches to another control process after one lost
/// connection. The remaining time allows for a busy machine.
const ANSWER_GAP_MAX: Duration = Duration::from_secs(5);

/// Guards against accepted changes that are lost, applied twice or reverted when control processes fail.
const CASES: &[Case] = &[
    Case {
        step: "sequential deposits at each node",
        fault: "one control process is killed and restarted",
        expected: "no deposit is lost or runs twice, the longest pause stays below the limit, the restarted process catches up",
        run: one_killed,
    },
    Case {
        step: "a configuration, answered deposits and commands",
        fault: "all control processes are killed and restarted",
        expected: "configuration, answers and command results are kept; look-ups are served, deposits are refused and run once later",
        run: all_killed,
    },
    Case {
        step: "the leader has the current configuration",
        fault: "it is stopped with SIGSTOP while the configuration changes, and resumed",
        expected: "it does not respond while stopped, returns no stale configuration afterwards, and no change is reverted",
        run: stopped_leader,
    },
    Case {
        step: "answered deposits",
        fault: "the disk of one control process is lost; a second one is killed right after the repair",
        expected: "it does not vote before it is replaced, and no accepted state is lost afterwards",
        run: lost_disk,
    },
];

/// Runs the cases.
pub(crate) fn run() {
    fixture::run_all(CASES);
}

/// Sends deposits for a time and returns their keys and the longest time without an answered one.
fn send_deposits(fixture: &Fixture, time: Duration) -> (Vec<String>, Duration) {
    let (mut sent, mut gap) = (Vec::new(), Duration::ZERO);
    let (start, mut answered) = (Instant::now(), Instant::now());
    while start.elapsed() < time {
        let key = http::new_idempotency_key();
        let response = fixture.send(sent.len() % 3, &deposit(&key, "load"));
        if response.is_ok_and(|response| response.status == 200) {
            gap = gap.max(answered.elapsed());
            answered = Instant::now();
        }
        sent.push(key);
    }
    (sent, gap.max(answered.elapsed()))
}

fn one_killed(fixture: &mut Fixture) {
    let (before, _) = send_deposits(fixture, Duration::from_millis(500));
    let killed = fixture.leader(&[0, 1, 2]);
    fixture.cluster.controls[killed].kill().expect("killed");
    let (during, gap) = send_deposits(fixture, Duration::from_secs(3));
    println!(
        "one control process killed: longest pause {gap:?}, {} deposits sent",
        during.len()
    );
    assert!(gap < ANSWER_GAP_MAX, "no deposit was answered for {gap:?}");
    let others: Vec<usize> = (0..3).filter(|control| *control != killed).collect();
    let revision = fixture.revision(&others);
    fixture.run_with_retries(
        &others,
        &format!("change service {SERVICE} at {revision} set queue 41"),
    );
    fixture.cluster.controls[killed].start().expect("started");
    wait("the restarted control process catches up", || {
        let shown = fixture.run_statement(&[killed], &format!("show service {SERVICE}"));
        shown.is_ok_and(|shown| shown.to_string().contains("queue 41"))
    });
    let all: Vec<String> = before.into_iter().chain(during).collect();
    let [_, unknown] = fixture.resolve_outcomes(&all, "load");
    assert_eq!(
        unknown, 0,
        "outcomes are known, since no node and no backend server failed"
    );
    for key in &all {
        assert_eq!(fixture.executed(key), 1, "{key}");
    }
}

fn all_killed(fixture: &mut Fixture) {
    let before = keys(20);
    for key in &before {
        fixture.send_until(0, &deposit(key, "before"), is_answered);
    }
    let revision = fixture.revision(&[0, 1, 2]);
    let change = format!("change service {SERVICE} at {revision} set queue 42");
    let id = format!("{:032x}", rand::random::<u128>());
    let first = fixture
        .run_command(&[0, 1, 2], &change, &id)
        .expect("accepted");
    for control in &mut fixture.cluster.controls {
        control.kill().expect("killed");
    }
    let refused = http::new_idempotency_key();
    for node in 0..3 {
        let look_up = fixture.send(node, &Request::get(SERVICE, "/birds"));
        assert_eq!(
            look_up.expect("answered").status,
            200,
            "look-ups are served without control processes"
        );
        let response = fixture.send(node, &deposit(&refused, "later"));
        let response = response.expect("answered");
        // No record can be read, so the response must not report that an earlier attempt did not run.
        assert_eq!(
            response.header("shallotrill-error"),
            "claim-unavailable",
            "{}",
            response.text()
        );
        assert_eq!(response.header("shallotrill-run"), "unknown");
    }
    assert_eq!(fixture.executed(&refused), 0);
    for control in &mut fixture.cluster.controls {
        control.start().expect("started");
    }
    for control in [0, 1, 2] {
        let mut again = None;
        wait("the command gets a result", || {
            again = fixture.run_command(&[control], &change, &id).ok();
            again.is_some()
        });
        assert_eq!(again.as_ref(), Some(&first));
    }
    let shown = fixture.run_with_retries(&[2], &format!("show service {SERVICE}"));
    assert!(shown.to_string().contains("queue 42"));
    fixture.send_until(1, &deposit(&refused, "later"), is_answered);
    assert_eq!(fixture.executed(&refused), 1);
    check_stored_responses(fixture, &before, "before");
}

fn check_stored_responses(fixture: &Fixture, keys: &[String], body: &str) {
    for (index, key) in keys.iter().enumerate() {
        let response = fixture.send_until(index % 3, &deposit(key, body), is_answered);
        assert_eq!(response.header("shallotrill-run"), "ran");
        assert_eq!(fixture.executed(key), 1, "{key}");
    }
}

fn stopped_leader(fixture: &mut Fixture) {
    let stopped = fixture.leader(&[0, 1, 2]);
    let others: Vec<usize> = (0..3).filter(|control| *control != stopped).collect();
    let before = fixture.revision(&others);
    let process = &fixture.cluster.controls[stopped];
    process.signal(Signal::STOP).expect("SIGSTOP is sent");
    let change = format!("change service {SERVICE} at {before} set queue 43");
    fixture.run_with_retries(&others, &change);
    let after = fixture.revision(&others);
    assert!(after > before);
    // Each node switches to another control process for its feed and receives the change.
    wait("the revision is in force at all nodes", || {
        let shown = fixture.run_statement(&others, &format!("in force {after}"));
        shown.is_ok_and(|shown| shown.rows.is_empty() && shown.notes[0].contains("all 3"))
    });
    let meanwhile = fixture.run_statement(&[stopped], "show services");
    assert!(meanwhile.is_err(), "a stopped process does not respond");
    // Queries wait in its socket buffers, so that it handles them first when it resumes.
    let statement = format!("show service {SERVICE}");
    let id = "0".repeat(32);
    let spawn = |_| fixture.spawn_statement(&[stopped], &statement, &id);
    let waiting: Vec<_> = (0..5).map(spawn).collect();
    std::thread::sleep(Duration::from_millis(100));
    process.signal(Signal::CONT).expect("SIGCONT is sent");
    for task in waiting {
        if let Ok(shown) = fixture.join_statement(task) {
            assert!(
                shown.to_string().contains("queue 43"),
                "stale configuration: {shown}"
            );
        }
    }
    wait("the resumed control process catches up", || {
        let shown = fixture.run_statement(&[stopped], &format!("show service {SERVICE}"));
        shown.is_ok_and(|shown| {
            assert!(
                shown.to_string().contains("queue 43"),
                "stale configuration: {shown}"
            );
            true
        })
    });
    assert_eq!(fixture.revision(&[stopped]), after);
    let stale = fixture.run_statement(&[stopped], &change);
    assert!(matches!(stale, Err(Error::Refused { .. })), "{stale:?}");
}

fn lost_disk(fixture: &mut Fixture) {
    let before = keys(20);
    for key in &before {
        fixture.send_until(0, &deposit(key, "disk"), is_answered);
    }
    let leader = fixture.leader(&[0, 1, 2]);
    let [lost, other] = [(leader + 1) % 3, (leader + 2) % 3];
    let control = &mut fixture.cluster.controls[lost];
    control.kill().expect("killed");
    let data = control.log().with_extension("data");
    fs::remove_dir_all(&data).expect("the data folder can be removed");
    control.start().expect("started");
    // The member with the lost disk must not vote, so the leader has no majority.
    fixture.cluster.controls[other].kill().expect("killed");
    let change = format!("drain nobody-{lost}");
    let id = format!("{:032x}", rand::random::<u128>());
    let without_quorum = fixture.join_statement(fixture.spawn_statement(&[leader], &change, &id));
    // The leader has proposed the change, which may still commit, so it must not report a refusal.
    assert!(
        without_quorum.as_ref().is_err_and(Error::may_be_accepted),
        "{without_quorum:?}"
    );
    let response = fixture
        .send(0, &deposit(&http::new_idempotency_key(), "alone"))
        .expect("answered");
    assert_ne!(response.status, 200, "answered without a majority");
    fixture.cluster.controls[other].start().expect("started");
    let number = lost + 1;
    fixture.run_with_retries(
        &[leader, other],
        &format!("replace member {number} with {number}"),
    );
    wait(
        "the replaced member is a voter and has a voting seat",
        || {
            let shown = fixture.run_statement(&[leader, other], "show members");
            shown.is_ok_and(|shown| {
                let voters = shown
                    .rows
                    .iter()
                    .filter(|row| row[1] == Cell::Text("voter".to_owned()));
                let seats = shown.notes.iter().find(|note| note.contains("claim group"));
                voters.count() == 3
                    && seats.is_some_and(|seats| seats.matches("Voting").count() == 3)
            })
        },
    );
    println!(
        "{}",
        fixture.run_with_retries(&[leader, other], "show members")
    );
    let second_killed = fixture.leader(&[0, 1, 2]);
    let second_killed = if second_killed == lost {
        other
    } else {
        second_killed
    };
    fixture.cluster.controls[second_killed]
        .kill()
        .expect("killed");
    let remaining: Vec<usize> = (0..3).filter(|control| *control != second_killed).collect();
    let shown = fixture.run_with_retries(&remaining, &format!("show service {SERVICE}"));
    assert!(shown.to_string().contains("queue 43"), "{shown}");
    check_stored_responses(fixture, &before, "disk");
    let started = Instant::now();
    fixture.send_until(
        2,
        &deposit(&http::new_idempotency_key(), "after"),
        is_answered,
    );
    assert!(started.elapsed() < WAIT_TIMEOUT);
}
