//! Control processes that are killed, frozen or lose their disks: nothing accepted is lost or reverts.

use std::fs;
use std::time::Duration;
use std::time::Instant;

use rustix::process::Signal;

use super::scene;
use super::scene::Case;
use super::scene::LIMIT;
use super::scene::SERVICE;
use super::scene::Scene;
use super::scene::deposit;
use super::scene::is_answered;
use super::scene::keys;
use super::scene::wait;
use shallotrill_bench::http;
use shallotrill_bench::http::Ask;
use shallotrill_language::result_table::Cell;
use shallotrill_operator::client::Error;

/// Longest time in which deposits fail while one of three control processes dies. Claims need two
/// of three and no leader; a node moves on after one lost connection. The rest is for a busy machine.
const PAUSE_MAX: Duration = Duration::from_secs(5);

/// Guards against loss, repetition and return to an earlier state when control processes fail.
const CASES: &[Case] = &[
    Case {
        step: "deposits one after another at each node",
        fault: "one control process is killed and restarted",
        expected: "none lost, none twice, no long pause, the restarted one catches up",
        run: one_killed,
    },
    Case {
        step: "a configuration, answered deposits and commands",
        fault: "all control processes are killed and restarted",
        expected: "all of it survives; look-ups go on, deposits are refused as not run and run once later",
        run: all_killed,
    },
    Case {
        step: "the leader holds the configuration",
        fault: "it is frozen while the configuration changes, and woken",
        expected: "it says nothing of what is in force meanwhile, nothing stale afterwards, nothing reverts",
        run: frozen_leader,
    },
    Case {
        step: "answered deposits",
        fault: "the disk of one control process is lost; a second one is killed right after the repair",
        expected: "no vote before the replacement, nothing lost after it",
        run: lost_disk,
    },
];

/// Runs the cases.
pub(crate) fn run() {
    scene::run_all(CASES);
}

/// Sends deposits for a time and returns their keys and the longest time without an answer.
fn load(scene: &Scene, time: Duration) -> (Vec<String>, Duration) {
    let (mut sent, mut gap) = (Vec::new(), Duration::ZERO);
    let (start, mut answered) = (Instant::now(), Instant::now());
    while start.elapsed() < time {
        let key = http::key();
        let answer = scene.send(sent.len() % 3, &deposit(&key, "load"));
        if answer.is_ok_and(|answer| answer.status == 200) {
            gap = gap.max(answered.elapsed());
            answered = Instant::now();
        }
        sent.push(key);
    }
    (sent, gap.max(answered.elapsed()))
}

fn one_killed(scene: &mut Scene) {
    let (before, _) = load(scene, Duration::from_millis(500));
    let killed = scene.leader(&[0, 1, 2]);
    scene.cluster.controls[killed].kill().expect("killed");
    let (during, gap) = load(scene, Duration::from_secs(3));
    println!(
        "one control process killed: longest pause {gap:?}, {} sent",
        during.len()
    );
    assert!(gap < PAUSE_MAX, "deposits paused for {gap:?}");
    let others: Vec<usize> = (0..3).filter(|control| *control != killed).collect();
    let revision = scene.revision(&others);
    scene.insist(
        &others,
        &format!("change service {SERVICE} at {revision} set queue 41"),
    );
    scene.cluster.controls[killed].start().expect("started");
    wait("the restarted one catches up", || {
        let shown = scene.operate(&[killed], &format!("show service {SERVICE}"));
        shown.is_ok_and(|shown| shown.to_string().contains("queue 41"))
    });
    let all: Vec<String> = before.into_iter().chain(during).collect();
    let [_, unknown] = scene.outcomes(&all, "load");
    assert_eq!(unknown, 0, "no node and no backend server failed");
    for key in &all {
        assert_eq!(scene.executed(key), 1, "{key}");
    }
}

fn all_killed(scene: &mut Scene) {
    let before = keys(20);
    for key in &before {
        scene.until(0, &deposit(key, "before"), is_answered);
    }
    let revision = scene.revision(&[0, 1, 2]);
    let change = format!("change service {SERVICE} at {revision} set queue 42");
    let id = format!("{:032x}", rand::random::<u128>());
    let first = scene.command(&[0, 1, 2], &change, &id).expect("accepted");
    for control in &mut scene.cluster.controls {
        control.kill().expect("killed");
    }
    let refused = http::key();
    for node in 0..3 {
        let look_up = scene.send(node, &Ask::get(SERVICE, "/birds"));
        assert_eq!(look_up.expect("answered").status, 200, "look-ups go on");
        let answer = scene.send(node, &deposit(&refused, "later"));
        let answer = answer.expect("answered");
        // No record can be read, so nobody may say that an earlier sending did not run.
        assert_eq!(
            answer.header("shallotrill-error"),
            "claim-unavailable",
            "{}",
            answer.text()
        );
        assert_eq!(answer.header("shallotrill-run"), "unknown");
    }
    assert_eq!(scene.executed(&refused), 0);
    for control in &mut scene.cluster.controls {
        control.start().expect("started");
    }
    for control in [0, 1, 2] {
        let mut again = None;
        wait("the command has its first answer", || {
            again = scene.command(&[control], &change, &id).ok();
            again.is_some()
        });
        assert_eq!(again.as_ref(), Some(&first));
    }
    let shown = scene.insist(&[2], &format!("show service {SERVICE}"));
    assert!(shown.to_string().contains("queue 42"));
    scene.until(1, &deposit(&refused, "later"), is_answered);
    assert_eq!(scene.executed(&refused), 1);
    answered_from_store(scene, &before, "before");
}

fn answered_from_store(scene: &Scene, keys: &[String], body: &str) {
    for (index, key) in keys.iter().enumerate() {
        let answer = scene.until(index % 3, &deposit(key, body), is_answered);
        assert_eq!(answer.header("shallotrill-run"), "ran");
        assert_eq!(scene.executed(key), 1, "{key}");
    }
}

fn frozen_leader(scene: &mut Scene) {
    let frozen = scene.leader(&[0, 1, 2]);
    let others: Vec<usize> = (0..3).filter(|control| *control != frozen).collect();
    let before = scene.revision(&others);
    let process = &scene.cluster.controls[frozen];
    process.signal(Signal::STOP).expect("frozen");
    let change = format!("change service {SERVICE} at {before} set queue 43");
    scene.insist(&others, &change);
    let after = scene.revision(&others);
    assert!(after > before);
    // Each node is fed by another control process and gets the change.
    wait("in force at all nodes", || {
        let shown = scene.operate(&others, &format!("in force {after}"));
        shown.is_ok_and(|shown| shown.rows.is_empty() && shown.notes[0].contains("all 3"))
    });
    let meanwhile = scene.operate(&[frozen], "show services");
    assert!(meanwhile.is_err(), "a frozen process says nothing");
    // Read questions wait in its sockets, so that it answers the first thing after it wakes.
    let statement = format!("show service {SERVICE}");
    let id = "0".repeat(32);
    let asking = |_| scene.spawn_command(&[frozen], &statement, &id);
    let waiting: Vec<_> = (0..5).map(asking).collect();
    std::thread::sleep(Duration::from_millis(100));
    process.signal(Signal::CONT).expect("woken");
    for one in waiting {
        if let Ok(shown) = scene.join_statement(one) {
            assert!(shown.to_string().contains("queue 43"), "stale: {shown}");
        }
    }
    wait("it catches up", || {
        let shown = scene.operate(&[frozen], &format!("show service {SERVICE}"));
        shown.is_ok_and(|shown| {
            assert!(shown.to_string().contains("queue 43"), "stale: {shown}");
            true
        })
    });
    assert_eq!(scene.revision(&[frozen]), after);
    let stale = scene.operate(&[frozen], &change);
    assert!(matches!(stale, Err(Error::Refused { .. })), "{stale:?}");
}

fn lost_disk(scene: &mut Scene) {
    let before = keys(20);
    for key in &before {
        scene.until(0, &deposit(key, "disk"), is_answered);
    }
    let leader = scene.leader(&[0, 1, 2]);
    let [lost, other] = [(leader + 1) % 3, (leader + 2) % 3];
    let control = &mut scene.cluster.controls[lost];
    control.kill().expect("killed");
    let data = control.log().with_extension("data");
    fs::remove_dir_all(&data).expect("the data folder is there");
    control.start().expect("started");
    // Without the vote of the lost disk the leader is alone.
    scene.cluster.controls[other].kill().expect("killed");
    let change = format!("drain nobody-{lost}");
    let id = format!("{:032x}", rand::random::<u128>());
    let alone = scene.join_statement(scene.spawn_command(&[leader], &change, &id));
    // The leader proposed it, so it must not say that the change is refused.
    assert!(
        alone.as_ref().is_err_and(Error::may_be_accepted),
        "{alone:?}"
    );
    let answer = scene
        .send(0, &deposit(&http::key(), "alone"))
        .expect("answered");
    assert_ne!(answer.status, 200, "one member is no majority");
    scene.cluster.controls[other].start().expect("started");
    let number = lost + 1;
    scene.insist(
        &[leader, other],
        &format!("replace member {number} with {number}"),
    );
    wait("it is a voter and holds its seat", || {
        let shown = scene.operate(&[leader, other], "show members");
        shown.is_ok_and(|shown| {
            let voters = shown
                .rows
                .iter()
                .filter(|row| row[1] == Cell::Text("voter".to_owned()));
            let seats = shown.notes.iter().find(|note| note.contains("claim group"));
            voters.count() == 3 && seats.is_some_and(|seats| seats.matches("Voting").count() == 3)
        })
    });
    println!("{}", scene.insist(&[leader, other], "show members"));
    let second = scene.leader(&[0, 1, 2]);
    let second = if second == lost { other } else { second };
    scene.cluster.controls[second].kill().expect("killed");
    let left: Vec<usize> = (0..3).filter(|control| *control != second).collect();
    let shown = scene.insist(&left, &format!("show service {SERVICE}"));
    assert!(shown.to_string().contains("queue 43"), "{shown}");
    answered_from_store(scene, &before, "disk");
    let started = Instant::now();
    scene.until(2, &deposit(&http::key(), "after"), is_answered);
    assert!(started.elapsed() < LIMIT);
}
