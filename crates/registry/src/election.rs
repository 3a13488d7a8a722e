//! Membership of a registry process in the list of voters: forms the first list, joins it, and leaves it.

use std::sync::Arc;
use std::time::Duration;

use log::info;
use log::warn;
use tokio::sync::watch;
use tokio::time;

use crate::members;
use crate::propose;
use crate::state::State;
use shallotrill_items::roster::Change;
use shallotrill_wire::listen;

/// Interval at which this process decides whether to propose a change of the voters.
const DECISION_INTERVAL: Duration = Duration::from_millis(200);

/// Longest wait of a process that stops for the agreement to its departure.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(1);

/// Decides about the voters at an interval and after each change of them.
///
/// A task of its own: a proposal without a quorum takes seconds.
pub(crate) async fn maintain(state: Arc<State>, mut stop: watch::Receiver<bool>) {
    loop {
        tokio::select! {
            () = time::sleep(DECISION_INTERVAL) => {}
            () = state.voters_changed.notified() => {}
            () = listen::stopped(&mut stop) => return,
        }
        decide(&state).await;
    }
}

/// Stores the voters in force, and proposes a change of them if one is due.
pub(crate) async fn decide(state: &Arc<State>) {
    store(state).await;
    let now = state.now();
    let seeds = state.peers.lock().directory.seeds().to_vec();
    let change = state.consensus.lock().roster.next_change(&seeds, now);
    if let Some(change) = change {
        apply(state, &change).await;
    }
}

/// Stores the version of the voters in force if it is not on disk, and follows its voters.
async fn store(state: &Arc<State>) {
    let (is_durable, addresses) = {
        let consensus = state.consensus.lock();
        let roster = &consensus.roster;
        (roster.own().voters >= roster.version(), roster.addresses())
    };
    if is_durable {
        return;
    }
    members::follow(state, &addresses);
    if state.persist().await {
        // Processes that want to join wait until a quorum has this version on disk.
        state.notify();
    }
}

async fn apply(state: &Arc<State>, change: &Change) {
    // A vote counts from the moment at which the others agree to it.
    if change.joins && !(state.persist_departures().await && state.persist().await) {
        return;
    }
    match propose::change_voters(state, change).await {
        Ok(()) => {
            info!(event = "voters-proposed", base = change.base, voters = change.list.len(), joins = change.joins; "a quorum has decided on the next list of voters");
        }
        Err(failure) => {
            warn!(event = "voters-unchanged", base = change.base, joins = change.joins; "cannot change the list of voters: {failure}");
        }
    }
}

/// Leaves the list before a planned stop if another process is ready to join, so that it need not wait until this one
/// is silent.
pub(crate) async fn hand_over(state: &Arc<State>) {
    let change = state.consensus.lock().roster.handover(state.now());
    let Some(change) = change else {
        return;
    };
    let proposed = time::timeout(HANDOVER_TIMEOUT, propose::change_voters(state, &change));
    match proposed.await {
        Ok(Ok(())) => {
            info!(event = "voters-handover", base = change.base; "this process has left the voters before its stop");
        }
        Ok(Err(failure)) => {
            warn!(event = "voters-unchanged", base = change.base, joins = false; "cannot leave the list of voters: {failure}");
        }
        Err(_) => {
            warn!(event = "voters-unchanged", base = change.base, joins = false; "cannot leave the list of voters within {HANDOVER_TIMEOUT:?}");
        }
    }
}
