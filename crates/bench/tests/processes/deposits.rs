//! Deposits and look-ups while nodes and backend servers are killed, stopped or crashed.

use std::time::Duration;
use std::time::Instant;

use rustix::process::Signal;

use super::fixture;
use super::fixture::Case;
use super::fixture::Fixture;
use super::fixture::SERVICE;
use super::fixture::deposit;
use super::fixture::is_answered;
use super::fixture::is_unknown;
use super::fixture::keys;
use super::fixture::wait;
use shallotrill_bench::http;
use shallotrill_bench::http::Request;

/// Service time long enough to inject a fault while a deposit runs; the deadline is 2 s.
const SLOW_SERVICE: &str = "service-us=1500000";

/// Maximum time until a request of a killed node is reported as unknown: a grant expires after
/// 2.1 s, the lease of a node after 3 s, and control checks both every 0.5 s. The remaining time
/// allows for a busy machine.
const UNKNOWN_TIMEOUT: Duration = Duration::from_secs(15);

/// Guards against a deposit that runs twice, is lost, or whose outcome is misreported.
const CASES: &[Case] = &[
    Case {
        step: "look-up and deposit through the complete path",
        fault: "the deposit is repeated, altered and sent without a key",
        expected: "one execution, the stored response, 422, and a response that proves the request did not run",
        run: complete_path,
    },
    Case {
        step: "50 deposits, each sent to three nodes at the same moment",
        fault: "duplicate requests race",
        expected: "one execution for each key and equal responses",
        run: concurrent_duplicates,
    },
    Case {
        step: "deposits in flight",
        fault: "a node is stopped with SIGSTOP and resumed",
        expected: "no key runs twice and all answered deposits ran",
        run: stopped_node,
    },
    Case {
        step: "deposits that wait for a grant",
        fault: "a node is stopped with SIGSTOP before it reads its grants, which an operator settles as not run",
        expected: "the resumed node does not dispatch them",
        run: stopped_before_dispatch,
    },
    Case {
        step: "a deposit in flight at a slow backend server",
        fault: "its node is killed",
        expected: "reported as running, then unknown, then listed; run at most once until an operator settles it",
        run: killed_node,
    },
    Case {
        step: "deposits and look-ups in flight",
        fault: "the backend server is killed",
        expected: "deposits are unknown and never run again, look-ups are answered by other instances",
        run: killed_server,
    },
    Case {
        step: "a request that crashes its backend server",
        fault: "it is repeated at each node",
        expected: "quarantined at the crash limit, other requests are served, released by an operator",
        run: crashing_request,
    },
];

/// Runs the cases.
pub(crate) fn run() {
    fixture::run_all(CASES);
}

fn complete_path(fixture: &mut Fixture) {
    let key = http::new_idempotency_key();
    let look_up = fixture
        .send(0, &Request::get(SERVICE, "/birds"))
        .expect("answered");
    assert_eq!(look_up.status, 200);
    let first = fixture.send(0, &deposit(&key, "50")).expect("answered");
    assert_eq!(first.status, 200, "{}", first.text());
    let again = fixture.send(2, &deposit(&key, "50")).expect("answered");
    assert_eq!((again.status, &again.body), (first.status, &first.body));
    assert_eq!(again.header("shallotrill-run"), "ran");
    let altered = fixture.send(1, &deposit(&key, "51")).expect("answered");
    assert_eq!(altered.status, 422, "{}", altered.text());
    let mut without_key = deposit(&key, "50");
    without_key.headers.clear();
    let missing = fixture.send(1, &without_key).expect("answered");
    assert_eq!(missing.header("shallotrill-error"), "key-missing");
    assert_eq!(missing.header("shallotrill-run"), "not-run");
    assert_eq!(fixture.executed(&key), 1);
}

fn concurrent_duplicates(fixture: &mut Fixture) {
    let keys = keys(50);
    let duplicates: Vec<_> = keys
        .iter()
        .flat_map(|key| (0..3).map(|node| fixture.spawn_request(node, deposit(key, "same"))))
        .collect();
    let duplicates: Vec<_> = duplicates
        .into_iter()
        .map(|duplicate| fixture.join_request(duplicate))
        .collect();
    for (key, duplicates) in keys.iter().zip(duplicates.chunks(3)) {
        let stored = fixture.send_until(0, &deposit(key, "same"), is_answered);
        for duplicate in duplicates {
            let duplicate = duplicate.as_ref().expect("each caller gets a response");
            if duplicate.status == 200 {
                assert_eq!(
                    duplicate.body, stored.body,
                    "responses to duplicate requests with key {key}"
                );
            } else {
                assert_ne!(duplicate.header("shallotrill-error"), "outcome-unknown");
            }
        }
        assert_eq!(fixture.executed(key), 1, "{key}");
    }
}

fn stopped_node(fixture: &mut Fixture) {
    let mut all = Vec::new();
    // Stops the node at several points: before the grant, between grant and dispatch, and in flight.
    for pause_ms in [0, 2, 5, 10, 20] {
        let keys = keys(30);
        let sent = fixture.spawn_deposits(&keys);
        std::thread::sleep(Duration::from_millis(pause_ms));
        let node = &fixture.cluster.instances[1].node;
        node.signal(Signal::STOP).expect("SIGSTOP is sent");
        // Longer than the grant lifetime, so that requests granted before must not be dispatched after.
        std::thread::sleep(Duration::from_millis(2_500));
        node.signal(Signal::CONT).expect("SIGCONT is sent");
        for task in sent {
            drop(fixture.join_request(task));
        }
        all.extend(keys);
    }
    let [answered, unknown] = fixture.resolve_outcomes(&all, "many");
    println!("stopped node: {answered} answered, {unknown} unknown");
}

fn stopped_before_dispatch(fixture: &mut Fixture) {
    let stopped = 1;
    // With the other targets drained, the node to be stopped requests the grants of all deposits.
    let others: Vec<String> = [0, 2]
        .iter()
        .map(|instance| fixture.cluster.instances[*instance].instance_name.clone())
        .collect();
    for instance in &others {
        fixture.run_with_retries(&[0, 1, 2], &format!("drain {instance}"));
    }
    wait("the drain is in force", || {
        let shown = fixture.run_statement(&[0], "show lag");
        shown.is_ok_and(|shown| shown.to_string().contains("is in force at all"))
    });
    // While the control processes are stopped, the deposits wait for grants. The stop is shorter than
    // the heartbeat time-out.
    for control in &fixture.cluster.controls {
        control.signal(Signal::STOP).expect("SIGSTOP is sent");
    }
    let keys = keys(18);
    let sent = fixture.spawn_deposits(&keys);
    std::thread::sleep(Duration::from_millis(200));
    let node = &fixture.cluster.instances[stopped].node;
    node.signal(Signal::STOP).expect("SIGSTOP is sent");
    for control in &fixture.cluster.controls {
        control.signal(Signal::CONT).expect("SIGCONT is sent");
    }
    let mut unknown: Vec<&String> = Vec::new();
    wait("grants of the stopped node expire", || {
        let shown = fixture.run_statement(&[0], "show unknown");
        let text = shown.map(|shown| shown.to_string()).unwrap_or_default();
        unknown = keys.iter().filter(|key| text.contains(*key)).collect();
        !unknown.is_empty()
    });
    for instance in &others {
        fixture.run_with_retries(&[0, 1, 2], &format!("undrain {instance}"));
    }
    for key in &unknown {
        assert_eq!(
            fixture.executed(key),
            0,
            "executions before the stopped node resumes"
        );
        fixture.run_with_retries(
            &[0, 1, 2],
            &format!("settle anonymous {SERVICE} {key} as not-run"),
        );
        fixture.send_until(0, &deposit(key, "many"), is_answered);
    }
    node.signal(Signal::CONT).expect("SIGCONT is sent");
    for task in sent {
        drop(fixture.join_request(task));
    }
    // The resumed node handles the waiting requests before a new deposit.
    fixture.send_until(
        stopped,
        &deposit(&http::new_idempotency_key(), "woken"),
        is_answered,
    );
    println!(
        "stopped before dispatch: {} settled as not run",
        unknown.len()
    );
    for key in unknown {
        assert_eq!(
            fixture.executed(key),
            1,
            "{key} must run at another instance only"
        );
    }
    fixture.resolve_outcomes(&keys, "many");
}

fn killed_node(fixture: &mut Fixture) {
    for instance in 0..3 {
        assert!(fixture.set_behavior(instance, SLOW_SERVICE));
    }
    let pairs = [
        (http::new_idempotency_key(), "not-run"),
        (http::new_idempotency_key(), "done"),
    ];
    for (key, settlement) in pairs {
        let (instance, sent) = fixture.start_deposit(&key);
        fixture.cluster.instances[instance]
            .node
            .kill()
            .expect("killed");
        let killed = Instant::now();
        drop(fixture.join_request(sent));
        let other = (instance + 1) % 3;
        let retry = fixture.send(other, &deposit(&key, "in flight"));
        let retry = retry.expect("answered");
        assert_ne!(
            retry.header("shallotrill-run"),
            "not-run",
            "{}",
            retry.text()
        );
        fixture.send_until(other, &deposit(&key, "in flight"), is_unknown);
        println!("outcome reported as unknown after {:?}", killed.elapsed());
        assert!(killed.elapsed() < UNKNOWN_TIMEOUT);
        for node in [other, (instance + 2) % 3, other] {
            fixture.send_until(node, &deposit(&key, "in flight"), is_unknown);
        }
        assert_eq!(
            fixture.executed(&key),
            1,
            "an unknown outcome must not run again"
        );
        for control in 0..3 {
            wait("the request is listed as unknown", || {
                let shown = fixture.run_statement(&[control], "show unknown");
                shown.is_ok_and(|shown| shown.to_string().contains(&key))
            });
        }
        let settle = format!("settle anonymous {SERVICE} {key} as {settlement}");
        fixture.run_with_retries(&[0, 1, 2], &settle);
        let after = fixture.send_until(other, &deposit(&key, "in flight"), is_answered);
        let runs = if settlement == "done" { 1 } else { 2 };
        assert_eq!(
            fixture.executed(&key),
            runs,
            "executions after the request was settled as {settlement}"
        );
        assert_eq!(after.body.is_empty(), settlement == "done");
        let again = fixture.send(other, &deposit(&key, "in flight"));
        assert_eq!(again.expect("answered").body, after.body);
        assert_eq!(
            fixture.executed(&key),
            runs,
            "executions after the request was settled as {settlement}"
        );
        fixture.cluster.instances[instance]
            .node
            .start()
            .expect("started");
        fixture.wait_until_ready();
    }
}

fn killed_server(fixture: &mut Fixture) {
    // The retry budget is 10% of first attempts, so these requests fill it. The slow look-ups below
    // are hedged as well, so a node with a third of them needs up to 8 tokens; hedges of the requests
    // here may spend half of the 30 tokens that a node earns.
    for number in 0..900 {
        let request = Request::get(SERVICE, &format!("/earlier/{number}"));
        fixture.send(number % 3, &request).expect("answered");
    }
    for instance in 0..3 {
        assert!(fixture.set_behavior(instance, "service-us=700000"));
    }
    let (key, sent) = (http::new_idempotency_key(), 12);
    let (instance, deposit_sent) = fixture.start_deposit(&key);
    let look_ups: Vec<_> = (0..sent)
        .map(|number| {
            fixture.spawn_request(
                number % 3,
                Request::get(SERVICE, &format!("/birds/{number}")),
            )
        })
        .collect();
    fixture.cluster.instances[instance]
        .backend
        .kill()
        .expect("killed");
    drop(fixture.join_request(deposit_sent));
    let retried = fixture.send_until((instance + 1) % 3, &deposit(&key, "in flight"), is_unknown);
    assert_eq!(retried.header("shallotrill-run"), "unknown");
    assert_eq!(fixture.executed(&key), 1);
    let mut answered = 0;
    for look_up in look_ups {
        let response = fixture.join_request(look_up).expect("answered");
        answered += usize::from(response.status == 200);
        if response.status != 200 {
            println!("look-up failed: {}", response.text());
        }
    }
    assert_eq!(
        answered, sent,
        "look-ups must be answered by other instances"
    );
    fixture.send_until(instance, &Request::get(SERVICE, "/birds"), is_answered);
}

fn crashing_request(fixture: &mut Fixture) {
    let crash = Request::get(SERVICE, "/crash");
    let mut crashes = 0;
    let mut crashed_at = Instant::now();
    while crashes < 2 {
        drop(fixture.send(0, &crash));
        crashed_at = Instant::now();
        // The exit of a server can become visible some milliseconds after its connections are closed.
        wait("the state dumps of the nodes show the crashes", || {
            crashes += restart_servers(fixture);
            (0..3).all(|node| {
                let dump = Request::get(SERVICE, "/v1/state");
                let dump = fixture.send_to(fixture.cluster.instances[node].announce, &dump);
                dump.is_ok_and(|dump| shows_crashes(&dump.text(), crashes))
            })
        });
    }
    println!(
        "all nodes received the crash record after {:?}",
        crashed_at.elapsed()
    );
    for node in [0, 1, 2, 0, 1, 2] {
        let response = fixture.send(node, &crash).expect("answered");
        assert_eq!(response.header("shallotrill-error"), "quarantined");
    }
    crashes += restart_servers(fixture);
    assert_eq!(
        crashes, 2,
        "a quarantined request must not crash more backend servers"
    );
    let other = fixture.send_until(0, &Request::get(SERVICE, "/birds"), is_answered);
    assert_eq!(other.status, 200);
    let dump = Request::get(SERVICE, "/v1/state");
    let dump = fixture.send_to(fixture.cluster.instances[0].announce, &dump);
    let dump = dump.expect("answered").text();
    let (_, digest) = dump
        .split_once("\"digest\":")
        .expect("the state dump contains the digest of the suspect");
    let digest: String = digest
        .chars()
        .skip_while(|c| !c.is_ascii_hexdigit())
        .take_while(char::is_ascii_hexdigit)
        .collect();
    fixture.run_with_retries(&[0, 1, 2], &format!("release {SERVICE} {digest}"));
    wait("the released request runs again", || {
        drop(fixture.send(0, &crash));
        let instances = &mut fixture.cluster.instances;
        instances
            .iter_mut()
            .any(|instance| !instance.backend.is_running())
    });
}

/// Restarts the backend servers that exited and returns their number.
fn restart_servers(fixture: &mut Fixture) -> usize {
    let mut exited = 0;
    for instance in &mut fixture.cluster.instances {
        if !instance.backend.is_running() {
            exited += 1;
            instance.backend.start().expect("started");
        }
    }
    exited
}

/// Returns whether a state dump shows a request that crashed this many backend servers.
fn shows_crashes(dump: &str, crashes: usize) -> bool {
    let (_, after) = dump.split_once("\"crashes\":").unwrap_or_default();
    let digits: String = after.chars().take_while(char::is_ascii_digit).collect();
    digits.parse() == Ok(crashes)
}
