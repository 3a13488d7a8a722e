//! Runs the replica of the log: performs its writes, sends its messages, applies committed commands and
//! completes reads.

use std::sync::Arc;
use std::time::Duration;

use log::error;
use log::info;
use log::warn;
use tokio::time;

use crate::state::State;
use crate::store::Error;
use crate::store::Store;
use shallotrill_catalog::command::Command;
use shallotrill_catalog::state::State as Catalog;
use shallotrill_consensus::Ready;
use shallotrill_consensus::entry::Content;
use shallotrill_consensus::entry::Entry;
use shallotrill_consensus::entry::Index;
use shallotrill_consensus::entry::Snapshot;
use shallotrill_consensus::message::Body;
use shallotrill_consensus::status::Role;
use shallotrill_model::time::Instant;
use shallotrill_replica::log as messages;

/// Number of applied entries after which the log is compacted into a snapshot.
const COMPACT_AFTER: u64 = 5_000;

/// Maximum sleep of the driver when the replica has no earlier timer.
const SLEEP_MAX: Duration = Duration::from_secs(1);

/// Runs the replica until the disk fails.
///
/// # Errors
///
/// Returns [`Error`] when the journal has failed: a replica that cannot write must not reply.
pub(crate) async fn run(state: Arc<State>, mut store: Store) -> Result<(), Error> {
    let mut compacted = state.catalog.lock().index();
    let mut role = None;
    loop {
        let (ready, next_tick) = step(&state);
        if let Some(ready) = ready {
            handle(&state, &mut store, ready).await?;
            compact(&state, &mut compacted);
            role = update_role(&state, role);
            continue;
        }
        let sleep = next_tick.map_or(SLEEP_MAX, |tick| tick.since(state.now()).min(SLEEP_MAX));
        tokio::select! {
            () = state.driver_wake.notified() => {}
            () = time::sleep(sleep) => {}
        }
    }
}

/// Advances the timers of the replica; returns its pending work and the time of its next timer.
fn step(state: &State) -> (Option<Ready>, Option<Instant>) {
    let now = state.now();
    let mut log = state.log.lock();
    let Some(replica) = &mut log.replica else {
        return (None, None);
    };
    replica.tick(now);
    let ready = replica.ready();
    let next_tick = replica.next_tick();
    ((!ready.is_empty()).then_some(ready), Some(next_tick))
}

async fn handle(state: &Arc<State>, store: &mut Store, ready: Ready) -> Result<(), Error> {
    if !ready.write.is_empty() {
        store.write(&ready.write).await?;
        if let Some(replica) = &mut state.log.lock().replica {
            replica.persisted(ready.persisted);
        }
    }
    for message in ready.messages {
        if let Some(peer) = state.peers.get(message.to.id.0) {
            peer.send_log(message);
        }
    }
    if let Some(snapshot) = ready.install {
        install(state, &snapshot);
    }
    apply(state, &ready.committed);
    if !ready.reads.is_empty() {
        state.record_current();
    }
    for outcome in ready.reads {
        let mut log = state.log.lock();
        let index = log
            .readers
            .iter()
            .position(|reader| reader.token == outcome.token);
        if let Some(index) = index {
            let reader = log.readers.swap_remove(index);
            // The receiver is dropped when the read timed out.
            let _dropped = reader.sender.send(outcome.result.map(|index| index.0));
        }
    }
    Ok(())
}

/// Replaces the configuration by the content of a log snapshot.
pub(crate) fn install(state: &State, snapshot: &Snapshot) {
    let index = snapshot.position.index.0;
    let restored = postcard::from_bytes::<Catalog>(&snapshot.bytes)
        .ok()
        .and_then(|catalog| Catalog::restore(catalog).ok());
    match restored {
        Some(catalog) => {
            *state.catalog.lock() = catalog;
            info!(event = "snapshot-installed", index = index; "installed a snapshot of the configuration");
            state.applied.send_replace(index);
            state.announce_change();
        }
        None => {
            error!(event = "snapshot-unreadable", index = index; "cannot install a snapshot of the configuration: unsupported format");
        }
    }
}

fn apply(state: &State, committed: &[Entry]) {
    let Some(last) = committed.last() else {
        return;
    };
    {
        let mut catalog = state.catalog.lock();
        for entry in committed {
            apply_entry(&mut catalog, entry);
        }
    }
    state.applied.send_replace(last.position.index.0);
    state.announce_change();
}

fn apply_entry(catalog: &mut Catalog, entry: &Entry) {
    let Content::Data(bytes) = &entry.content else {
        return;
    };
    let index = entry.position.index.0;
    match postcard::from_bytes::<Command>(bytes) {
        Ok(command) => {
            let reply = catalog.apply(index, &command);
            info!(event = "command-applied", index = index, command = command.id.to_string().as_str(), operator = &*command.operator; "applied a command: {reply:?}");
        }
        // All processes decode the same bytes, so all of them skip the entry and stay consistent.
        Err(error) => error!(
            event = "command-unreadable", index = index;
            "skipped a log entry that cannot be decoded: {error}"
        ),
    }
}

fn compact(state: &State, compacted: &mut u64) {
    let (index, bytes) = {
        let catalog = state.catalog.lock();
        let index = catalog.index();
        if index < *compacted + COMPACT_AFTER {
            return;
        }
        let bytes = postcard::to_allocvec(&*catalog).expect("the configuration can be encoded");
        (index, bytes)
    };
    *compacted = index;
    let mut log = state.log.lock();
    if let Some(replica) = &mut log.replica
        && let Err(refusal) = replica.compact(Index(index), Arc::from(bytes))
    {
        warn!(event = "log-not-compacted"; "cannot compact the log up to index {index}: {refusal}");
    }
}

fn update_role(state: &State, before: Option<Role>) -> Option<Role> {
    let now = state.now();
    let status = state.log.lock().replica.as_ref().map(|r| r.status(now))?;
    if status.role == Role::Leader {
        // A leader that is not acknowledged by a quorum steps down within an election timeout.
        state.record_current();
    }
    if before != Some(status.role) {
        info!(event = "role-changed", role = format!("{:?}", status.role).as_str(), term = status.term.0; "role of this replica changed");
        state.announce_change();
    }
    Some(status.role)
}

/// Handles consensus messages of another process.
pub(crate) async fn receive(state: Arc<State>, request: messages::Request) {
    let now = state.now();
    {
        let mut log = state.log.lock();
        let Some(replica) = &mut log.replica else {
            return;
        };
        for message in request.messages {
            let from = message.from.id;
            let append = matches!(message.body, Body::Append(_));
            match replica.step(now, from, message) {
                Ok(()) if append => state.record_current(),
                Ok(()) => {}
                Err(ignored) => log::debug!(
                    event = "log-message-ignored";
                    "ignored a consensus message: {ignored:?}"
                ),
            }
        }
    }
    state.driver_wake.notify_one();
}
