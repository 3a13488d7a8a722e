//! Starts requests that wait for the pace of a backend server that states a limit.
//!
//! The gate starts waiting requests when a slot becomes free. When a slot is
//! free and only the pace holds a request back, nothing else happens at the
//! time at which it may start, so a timer does it.

use std::sync::Arc;

use tokio::sync::watch;
use tokio::time;

use crate::state::State;
use shallotrill_model::time::Instant;
use shallotrill_wire::listen;

/// Starts waiting requests in time until `stop` becomes true.
pub async fn run(state: Arc<State>, mut stop: watch::Receiver<bool>) {
    loop {
        let now = state.now();
        let next = start_due(&state, now);
        let changed = state.pace_changed.notified();
        tokio::select! {
            () = listen::stopped(&mut stop) => return,
            () = changed => {}
            () = sleep_until(next, now) => {}
        }
    }
}

/// Starts the requests that are due and returns the time of the next one.
fn start_due(state: &State, now: Instant) -> Option<Instant> {
    let mut backend = state.backend.lock();
    let server = backend.current.as_mut()?;
    let effect = server.gate.expire(now);
    server.notify_waiting(effect);
    server.gate.next_start(now)
}

/// Waits until `next`, or forever without it.
async fn sleep_until(next: Option<Instant>, now: Instant) {
    match next {
        Some(next) => time::sleep(next.since(now)).await,
        None => std::future::pending().await,
    }
}
