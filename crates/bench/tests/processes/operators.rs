//! Concurrent operator statements, drains and node stops under load.

use std::time::Duration;
use std::time::Instant;

use rustix::process::Signal;

use super::fixture;
use super::fixture::Case;
use super::fixture::Fixture;
use super::fixture::SERVICE;
use super::fixture::WAIT_TIMEOUT;
use super::fixture::deposit;
use super::fixture::wait;
use super::load::Load;
use shallotrill_bench::http;
use shallotrill_language::result_table::Cell;
use shallotrill_language::result_table::ResultTable;
use shallotrill_operator::client::Error;
use shallotrill_operator::failure::Failure;

/// Time for which a draining target may still get new requests.
const DRAIN_TIME: Duration = Duration::from_secs(3);

/// Time after the drain during which no request may run.
const OBSERVATION_TIME: Duration = Duration::from_secs(2);

/// Guards against changes that are lost, applied twice or misreported, and against requests that a planned stop aborts.
const CASES: &[Case] = &[
    Case {
        step: "two operators change a service at one revision",
        fault: "both at the same moment at different control processes; responses are lost",
        expected: "one is accepted, the other gets the winning command, repeats give the same results at every control process, also after a restart",
        run: concurrent_changes,
    },
    Case {
        step: "in force REVISION",
        fault: "a node is stopped with SIGSTOP",
        expected: "the node is listed until it has applied the revision",
        run: stopped_node_listed,
    },
    Case {
        step: "deposits and look-ups in progress",
        fault: "an operator drains an instance",
        expected: "no request is aborted, no new work after 3 s",
        run: operator_drain,
    },
    Case {
        step: "deposits and look-ups in progress",
        fault: "a backend server announces that it drains",
        expected: "no request is aborted, no new work after 3 s",
        run: server_drain,
    },
    Case {
        step: "deposits in progress at all nodes",
        fault: "a node gets SIGTERM",
        expected: "it exits with success, no request in flight is aborted, no new work after 3 s",
        run: node_shutdown,
    },
];

/// Runs the cases.
pub(crate) fn run() {
    fixture::run_all(CASES);
}

fn concurrent_changes(fixture: &mut Fixture) {
    let revision = fixture.revision(&[0, 1, 2]);
    let ids = [0, 1].map(|_| format!("{:032x}", rand::random::<u128>()));
    let changes =
        [51, 52].map(|queue| format!("change service {SERVICE} at {revision} set queue {queue}"));
    let sent: Vec<_> = (0..2)
        .map(|index| fixture.spawn_statement(&[index], &changes[index], &ids[index]))
        .collect();
    let results: Vec<Result<ResultTable, Error>> = sent
        .into_iter()
        .map(|task| fixture.join_statement(task))
        .collect();
    let winner = results
        .iter()
        .position(Result::is_ok)
        .expect("one of the changes is accepted");
    let loser = 1 - winner;
    check_conflict(&results[loser], &ids[winner]);
    let shown = fixture.run_with_retries(&[2], &format!("show service {SERVICE}"));
    assert!(
        shown
            .to_string()
            .contains(&format!("queue {}", 51 + winner)),
        "{shown}"
    );
    for restarted in [false, true] {
        if restarted {
            for control in &mut fixture.cluster.controls {
                control.kill().expect("killed");
                control.start().expect("started");
            }
        }
        for control in 0..3 {
            wait("the control process responds", || {
                fixture.run_statement(&[control], "show services").is_ok()
            });
            let again = fixture.run_command(&[control], &changes[winner], &ids[winner]);
            assert_eq!(
                again.as_ref().ok(),
                results[winner].as_ref().ok(),
                "{again:?}"
            );
            let again = fixture.run_command(&[control], &changes[loser], &ids[loser]);
            check_conflict(&again, &ids[winner]);
            let reused = fixture.run_command(&[control], &changes[loser], &ids[winner]);
            assert!(
                matches!(
                    &reused,
                    Err(Error::Refused {
                        failure: Failure::CommandReused { .. },
                        ..
                    })
                ),
                "{reused:?}"
            );
        }
    }
    assert_eq!(
        fixture.revision(&[1]),
        revision + 1,
        "exactly one change was applied"
    );
}

/// Checks that the refusal contains the id of the winning command.
fn check_conflict(result: &Result<ResultTable, Error>, winner: &str) {
    let Err(Error::Refused {
        failure: Failure::Conflict {
            winner: reported, ..
        },
        ..
    }) = result
    else {
        panic!("expected a conflict, got {result:?}");
    };
    let reported = reported.map(|reported| reported.to_string());
    assert_eq!(reported.as_deref(), Some(winner));
}

fn stopped_node_listed(fixture: &mut Fixture) {
    let stopped = &fixture.cluster.instances[1];
    stopped.node.signal(Signal::STOP).expect("SIGSTOP is sent");
    let revision = fixture.revision(&[0, 1, 2]);
    fixture.run_with_retries(
        &[0, 1, 2],
        &format!("change service {SERVICE} at {revision} set queue 61"),
    );
    let revision = fixture.revision(&[0, 1, 2]);
    let statement = format!("in force {revision}");
    for control in 0..3 {
        wait("only the stopped node is listed", || {
            let shown = fixture.run_statement(&[control], &statement);
            shown.is_ok_and(|shown| {
                assert!(
                    !shown.rows.is_empty(),
                    "reported in force at all nodes: {shown}"
                );
                shown.rows.len() == 1
                    && shown.rows[0][0] == Cell::Text(stopped.instance_name.clone())
            })
        });
    }
    stopped.node.signal(Signal::CONT).expect("SIGCONT is sent");
    for control in 0..3 {
        wait("the revision is in force at all nodes", || {
            let shown = fixture.run_statement(&[control], &statement);
            shown.is_ok_and(|shown| shown.rows.is_empty())
        });
    }
}

fn operator_drain(fixture: &mut Fixture) {
    let instance = fixture.cluster.instances[2].instance_name.clone();
    check_drain(fixture, |fixture| {
        fixture.run_with_retries(&[0, 1, 2], &format!("drain {instance}"));
    });
    fixture.run_with_retries(&[0, 1, 2], &format!("undrain {instance}"));
}

fn server_drain(fixture: &mut Fixture) {
    check_drain(fixture, |fixture| {
        assert!(fixture.set_behavior(2, "mode=drain"));
    });
}

/// Drains the last instance under load and checks that it gets no new requests after `DRAIN_TIME`.
fn check_drain(fixture: &Fixture, drain: impl FnOnce(&Fixture)) {
    assert!(fixture.set_behavior(2, "service-us=100000"));
    let load = Load::start(fixture, &[0, 1, 2]);
    wait("the instance gets requests", || {
        fixture.executions_at(2) > 3
    });
    let before = fixture.executions_at(2);
    wait("the instance gets more requests", || {
        fixture.executions_at(2) > before
    });
    drain(fixture);
    std::thread::sleep(DRAIN_TIME);
    let executed = fixture.executions_at(2);
    std::thread::sleep(OBSERVATION_TIME);
    assert_eq!(
        fixture.executions_at(2),
        executed,
        "executions that started later than 3 s after the drain"
    );
    let (sent, failures) = load.finish(fixture);
    println!("drain: {sent} answered, {} failed", failures.len());
    assert!(failures.is_empty(), "{failures:?}");
}

fn node_shutdown(fixture: &mut Fixture) {
    // Longer service times would fill the queues, and requests would be refused for that reason.
    for instance in 0..3 {
        assert!(fixture.set_behavior(instance, "service-us=200000"));
    }
    let load = Load::start(fixture, &[0, 1]);
    // These requests enter at the node that stops and run at this or another instance.
    let keys = fixture::keys(6);
    let sent: Vec<_> = keys
        .iter()
        .map(|key| fixture.spawn_request(2, deposit(key, "stop")))
        .collect();
    wait("all deposits run", || {
        keys.iter().all(|key| fixture.executed(key) == 1)
    });
    let started = Instant::now();
    fixture.cluster.instances[2]
        .node
        .signal(Signal::TERM)
        .expect("SIGTERM is sent");
    std::thread::sleep(Duration::from_millis(300));
    let new = fixture.send(2, &deposit(&http::new_idempotency_key(), "new"));
    if let Ok(response) = &new {
        assert_eq!(
            response.header("shallotrill-run"),
            "not-run",
            "{}",
            response.text()
        );
    }
    for task in sent {
        let response = fixture
            .join_request(task)
            .expect("the request in flight is answered");
        assert_eq!(response.status, 200, "{}", response.text());
    }
    let status = fixture.cluster.instances[2]
        .node
        .wait(WAIT_TIMEOUT)
        .expect("the node process can be waited for");
    println!("node stopped after {:?} with {status:?}", started.elapsed());
    assert!(status.is_some_and(|status| status.success()), "{status:?}");
    std::thread::sleep(DRAIN_TIME);
    let (sent, failures) = load.finish(fixture);
    println!("stop: {sent} answered, {} failed", failures.len());
    assert!(failures.is_empty(), "{failures:?}");
}
