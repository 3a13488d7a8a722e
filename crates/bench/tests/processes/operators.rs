//! Operators that race, ask and drain: one change wins, answers stay the same, no request is cut.

use std::time::Duration;
use std::time::Instant;

use rustix::process::Signal;

use super::load::Load;
use super::scene;
use super::scene::Case;
use super::scene::LIMIT;
use super::scene::SERVICE;
use super::scene::Scene;
use super::scene::deposit;
use super::scene::wait;
use shallotrill_bench::http;
use shallotrill_language::result_table::Cell;
use shallotrill_language::result_table::ResultTable;
use shallotrill_operator::client::Error;
use shallotrill_operator::failure::Failure;

/// Time in which a leaving target still may get new work.
const DRAIN_TIME: Duration = Duration::from_secs(3);

/// Time after the drain during which nothing may arrive.
const WATCH_TIME: Duration = Duration::from_secs(2);

/// Guards against lost, doubled or misreported changes, and against requests that a planned stop cuts.
const CASES: &[Case] = &[
    Case {
        step: "two operators change a service at one revision",
        fault: "both at the same moment at different control processes; answers are lost",
        expected: "one accepted, the other told what won, the same answers again from anyone and after a restart",
        run: race,
    },
    Case {
        step: "in force REVISION",
        fault: "a node is frozen",
        expected: "the node is named until it holds the revision",
        run: frozen_node_named,
    },
    Case {
        step: "deposits and look-ups under way",
        fault: "an operator drains an instance",
        expected: "no request is cut, no new work after 3 s",
        run: drained_by_operator,
    },
    Case {
        step: "deposits and look-ups under way",
        fault: "a backend server announces that it drains",
        expected: "no request is cut, no new work after 3 s",
        run: drained_by_server,
    },
    Case {
        step: "deposits under way at all nodes",
        fault: "a node gets SIGTERM",
        expected: "it exits with success, no request in flight is cut, no new work after 3 s",
        run: stopped_node,
    },
];

/// Runs the cases.
pub(crate) fn run() {
    scene::run_all(CASES);
}

fn race(scene: &mut Scene) {
    let revision = scene.revision(&[0, 1, 2]);
    let ids = [0, 1].map(|_| format!("{:032x}", rand::random::<u128>()));
    let changes =
        [51, 52].map(|queue| format!("change service {SERVICE} at {revision} set queue {queue}"));
    let sent: Vec<_> = (0..2)
        .map(|index| scene.spawn_command(&[index], &changes[index], &ids[index]))
        .collect();
    let results: Vec<Result<ResultTable, Error>> = sent
        .into_iter()
        .map(|one| scene.join_statement(one))
        .collect();
    let winner = results
        .iter()
        .position(Result::is_ok)
        .expect("one is accepted");
    let loser = 1 - winner;
    check_loser(&results[loser], &ids[winner]);
    let shown = scene.insist(&[2], &format!("show service {SERVICE}"));
    assert!(
        shown
            .to_string()
            .contains(&format!("queue {}", 51 + winner)),
        "{shown}"
    );
    for restarted in [false, true] {
        if restarted {
            for control in &mut scene.cluster.controls {
                control.kill().expect("killed");
                control.start().expect("started");
            }
        }
        for control in 0..3 {
            wait("the control process answers", || {
                scene.operate(&[control], "show services").is_ok()
            });
            let again = scene.command(&[control], &changes[winner], &ids[winner]);
            assert_eq!(
                again.as_ref().ok(),
                results[winner].as_ref().ok(),
                "{again:?}"
            );
            let again = scene.command(&[control], &changes[loser], &ids[loser]);
            check_loser(&again, &ids[winner]);
            let reused = scene.command(&[control], &changes[loser], &ids[winner]);
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
    assert_eq!(scene.revision(&[1]), revision + 1, "one change was made");
}

/// The refused operator is told which command won.
fn check_loser(result: &Result<ResultTable, Error>, winner: &str) {
    let Err(Error::Refused {
        failure: Failure::Conflict { winner: told, .. },
        ..
    }) = result
    else {
        panic!("expected a conflict: {result:?}");
    };
    let told = told.map(|told| told.to_string());
    assert_eq!(told.as_deref(), Some(winner));
}

fn frozen_node_named(scene: &mut Scene) {
    let frozen = &scene.cluster.places[1];
    frozen.node.signal(Signal::STOP).expect("frozen");
    let revision = scene.revision(&[0, 1, 2]);
    scene.insist(
        &[0, 1, 2],
        &format!("change service {SERVICE} at {revision} set queue 61"),
    );
    let revision = scene.revision(&[0, 1, 2]);
    let statement = format!("in force {revision}");
    for control in 0..3 {
        wait("the frozen node alone is named", || {
            let shown = scene.operate(&[control], &statement);
            shown.is_ok_and(|shown| {
                assert!(!shown.rows.is_empty(), "claimed in force: {shown}");
                shown.rows.len() == 1 && shown.rows[0][0] == Cell::Text(frozen.instance.clone())
            })
        });
    }
    frozen.node.signal(Signal::CONT).expect("woken");
    for control in 0..3 {
        wait("in force at all nodes", || {
            let shown = scene.operate(&[control], &statement);
            shown.is_ok_and(|shown| shown.rows.is_empty())
        });
    }
}

fn drained_by_operator(scene: &mut Scene) {
    let instance = scene.cluster.places[2].instance.clone();
    drained(scene, |scene| {
        scene.insist(&[0, 1, 2], &format!("drain {instance}"));
    });
    scene.insist(&[0, 1, 2], &format!("undrain {instance}"));
}

fn drained_by_server(scene: &mut Scene) {
    drained(scene, |scene| assert!(scene.steer(2, "mode=drain")));
}

/// Drains the last place under load and watches what it still gets.
fn drained(scene: &Scene, drain: impl FnOnce(&Scene)) {
    assert!(scene.steer(2, "service-us=100000"));
    let load = Load::start(scene, &[0, 1, 2]);
    wait("the place has work", || scene.executions_at(2) > 3);
    let before = scene.executions_at(2);
    wait("the place has more work", || {
        scene.executions_at(2) > before
    });
    drain(scene);
    std::thread::sleep(DRAIN_TIME);
    let late = scene.executions_at(2);
    std::thread::sleep(WATCH_TIME);
    assert_eq!(scene.executions_at(2), late, "new work after 3 s");
    let (sent, failures) = load.finish(scene);
    println!("drain: {sent} answered, {} failed", failures.len());
    assert!(failures.is_empty(), "{failures:?}");
}

fn stopped_node(scene: &mut Scene) {
    // Longer times fill the queues, and then requests are refused for another reason.
    for place in 0..3 {
        assert!(scene.steer(place, "service-us=200000"));
    }
    let load = Load::start(scene, &[0, 1]);
    // These enter at the node that stops and are in flight, here or at another node.
    let keys = scene::keys(6);
    let sent: Vec<_> = keys
        .iter()
        .map(|key| scene.spawn(2, deposit(key, "stop")))
        .collect();
    wait("all of them run", || {
        keys.iter().all(|key| scene.executed(key) == 1)
    });
    let started = Instant::now();
    scene.cluster.places[2]
        .node
        .signal(Signal::TERM)
        .expect("signalled");
    std::thread::sleep(Duration::from_millis(300));
    let new = scene.send(2, &deposit(&http::key(), "new"));
    if let Ok(answer) = &new {
        assert_eq!(
            answer.header("shallotrill-run"),
            "not-run",
            "{}",
            answer.text()
        );
    }
    for one in sent {
        let answer = scene.join(one).expect("in flight, not cut");
        assert_eq!(answer.status, 200, "{}", answer.text());
    }
    let status = scene.cluster.places[2]
        .node
        .wait(LIMIT)
        .expect("waited for");
    println!("stopped after {:?} with {status:?}", started.elapsed());
    assert!(status.is_some_and(|status| status.success()), "{status:?}");
    std::thread::sleep(DRAIN_TIME);
    let (sent, failures) = load.finish(scene);
    println!("stop: {sent} answered, {} failed", failures.len());
    assert!(failures.is_empty(), "{failures:?}");
}
