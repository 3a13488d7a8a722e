//! Fault injection into installations of real processes.
//!
//! Guards against requests that run twice, accepted changes and records that are lost, and stale state after recovery.
//!
//! Each test starts one installation of nine processes and runs all cases of its table in it.

mod processes;

#[test]
fn deposits_run_at_most_once() {
    processes::deposits::run();
}

#[test]
fn control_keeps_accepted_state() {
    processes::control::run();
}

#[test]
fn operators_change_and_drain() {
    processes::operators::run();
}
