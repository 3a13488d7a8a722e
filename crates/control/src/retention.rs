//! Removes expired claim registers, and limits the size of the claim journal by snapshots.

use std::sync::Arc;
use std::time::Duration;

use log::warn;
use tokio::time;

use crate::claims::append;
use crate::state::State;
use shallotrill_claim::horizon_clock::HorizonClock;
use shallotrill_claim::journal::Write;

/// Interval at which the retention horizon is advanced.
const RETIRE_INTERVAL: Duration = Duration::from_mins(1);

/// Bytes written to the journal after which it is replaced by a snapshot.
const SNAPSHOT_INTERVAL_BYTES: u64 = 256 * 1024 * 1024;

/// Advances the retention horizon and replaces the journal by snapshots, periodically.
pub(crate) async fn run(state: Arc<State>) {
    let durable = state.claims.lock().acceptor.horizon();
    let horizon_clock =
        HorizonClock::new(durable, state.clock.wall(), state.retention, state.now());
    loop {
        let now = state.now();
        {
            let mut claims = state.claims.lock();
            if let Some(write) = claims
                .acceptor
                .decide_raise_horizon(horizon_clock.horizon(now))
            {
                match append(&state, &write) {
                    Ok(_) => claims.apply_write(write, now),
                    Err(refusal) => warn!(
                        event = "horizon-not-written";
                        "cannot append the retention horizon to the claim journal: {refusal}"
                    ),
                }
            }
        }
        write_snapshot(&state).await;
        time::sleep(RETIRE_INTERVAL).await;
    }
}

/// Replaces the journal by a snapshot of the registers after [`SNAPSHOT_INTERVAL_BYTES`] were written.
async fn write_snapshot(state: &Arc<State>) {
    let written = state.claims_journal.counters().bytes;
    let snapshot = {
        let mut claims = state.claims.lock();
        if written < claims.bytes_at_snapshot + SNAPSHOT_INTERVAL_BYTES {
            return;
        }
        claims.bytes_at_snapshot = written;
        let start_number = claims.start_number;
        let writes: Vec<Write> = claims.acceptor.snapshot().collect();
        let bytes =
            postcard::to_allocvec(&(start_number, writes)).expect("every write can be encoded");
        // The snapshot replaces the journal up to a position. Appending the unchanged horizon yields that position.
        let marker = Write::Retire(claims.acceptor.horizon());
        append(state, &marker).map(|position| (position, bytes))
    };
    let (covers, bytes) = match snapshot {
        Ok(snapshot) => snapshot,
        Err(refusal) => {
            warn!(event = "claims-not-shrunk"; "cannot mark the claim journal for a snapshot: {refusal}");
            return;
        }
    };
    if state.claims_journal.wait_durable(covers).await.is_err() {
        return;
    }
    let state = Arc::clone(state);
    let written =
        tokio::task::spawn_blocking(move || state.claims_journal.snapshot(covers, &bytes));
    if let Ok(Err(refusal)) = written.await {
        warn!(event = "claims-not-shrunk"; "cannot replace the claim journal by a snapshot: {refusal}");
    }
}
