//! Faults in installations of real processes: nothing runs twice, nothing accepted is lost, nothing reverts.
//!
//! Each test starts one installation of nine processes and uses it for all cases of its table.

mod processes;

#[test]
fn deposits_run_at_most_once() {
    processes::deposits::run();
}

#[test]
fn control_loses_nothing() {
    processes::control::run();
}

#[test]
fn operators_change_and_drain() {
    processes::operators::run();
}
