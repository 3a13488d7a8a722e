//! Periodic maintenance of a registry process: expired leases and interrupted proposals.

use std::sync::Arc;
use std::time::Duration;

use log::info;
use log::warn;
use tokio::sync::watch;
use tokio::time;

use crate::propose;
use crate::state::State;
use shallotrill_feed::directory::RETENTION_PERIOD;
use shallotrill_items::ballot::Ballot;
use shallotrill_items::item::Content;
use shallotrill_items::item::Key;
use shallotrill_process::metrics::count;
use shallotrill_wire::listen;

/// Runs the periodic maintenance: expires leases and repairs interrupted proposals.
pub async fn maintain(state: Arc<State>, mut stop: watch::Receiver<bool>) {
    /// Interval of the maintenance; an item that stays uncommitted from one round to the next is
    /// proposed again.
    const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(300);
    let mut previous: Vec<(Key, Ballot)> = Vec::new();
    loop {
        tokio::select! {
            () = time::sleep(MAINTENANCE_INTERVAL) => {}
            () = listen::stopped(&mut stop) => return,
        }
        let now = state.now();
        let expired = state.announcements.lock().expire(now);
        for announcement in &expired {
            warn!(event = "router-expired", router = announcement.router.to_string().as_str(); "announcement removed: its lease was not renewed");
        }
        if !expired.is_empty() {
            state.notify();
        }
        let uncommitted = {
            let mut consensus = state.consensus.lock();
            consensus.roster.remove_silent(RETENTION_PERIOD, now);
            let entries = consensus.replica.uncommitted();
            let ballots =
                entries.filter_map(|e| Some((e.key.clone(), e.accepted.as_ref()?.ballot)));
            ballots.collect::<Vec<_>>()
        };
        let stalled = uncommitted.iter().filter(|u| previous.contains(u));
        let keys: Vec<_> = stalled.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            let count = keys.len();
            match propose::repair(&state, keys).await {
                Ok(()) => info!(
                    event = "items-settled",
                    items = count;
                    "items of interrupted proposals are committed"
                ),
                Err(failure) => warn!(
                    event = "items-unsettled",
                    items = count;
                    "cannot commit the items of interrupted proposals: {failure}"
                ),
            }
        }
        state.metrics.uncommitted.set(count(uncommitted.len()));
        update_gauges(&state);
        previous = uncommitted;
    }
}

/// Updates the gauges.
fn update_gauges(state: &State) {
    let routers = state.announcements.lock().len();
    let consensus = state.consensus.lock();
    state.metrics.routers.set(count(routers));
    let evacuations = consensus.replica.committed();
    let evacuations = evacuations.filter(|item| item.content == Content::Evacuation);
    state
        .metrics
        .evacuated_zones
        .set(count(evacuations.count()));
    let is_voter = consensus.roster.own().votes;
    state.metrics.votes.set(i64::from(is_voter));
    let quorum = consensus.roster.quorum();
    let voters = consensus.roster.voters().len();
    state.metrics.voters.set(count(voters));
    state.metrics.quorum.set(count(quorum));
    drop(consensus);
    let limits = &state.listeners;
    let all = [&limits.processes, &limits.operators];
    state.metrics.holders.set(&state.memory, &all);
}
