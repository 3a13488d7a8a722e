//! How long registers are kept, and how long the journal of them gets.

use std::sync::Arc;
use std::time::Duration;

use log::warn;
use tokio::time;

use crate::claims::append;
use crate::state::State;
use shallotrill_claim::horizon_clock::HorizonClock;
use shallotrill_claim::journal::Write;

/// Interval of raises of the horizon.
const RETIRE_INTERVAL: Duration = Duration::from_mins(1);

/// Bytes of the journal after which it is replaced by a snapshot.
const SHRINK_BYTES: u64 = 256 * 1024 * 1024;

/// Raises the horizon as time passes, and keeps the journal short.
pub(crate) async fn retire(state: Arc<State>) {
    let durable = state.claims.lock().acceptor.horizon();
    let horizon_clock =
        HorizonClock::new(durable, state.clock.wall(), state.retention, state.now());
    loop {
        let now = state.now();
        {
            let mut claims = state.claims.lock();
            if let Some(write) = claims.acceptor.decide_retire(horizon_clock.horizon(now)) {
                match append(&state, &write) {
                    Ok(_) => claims.take(write, now),
                    Err(refusal) => warn!(event = "horizon-not-written"; "{refusal}"),
                }
            }
        }
        shrink(&state).await;
        time::sleep(RETIRE_INTERVAL).await;
    }
}

/// Replaces the journal by a snapshot of the registers when it has grown.
async fn shrink(state: &Arc<State>) {
    let written = state.claims_journal.counters().bytes;
    let snapshot = {
        let mut claims = state.claims.lock();
        if written < claims.shrunk_at + SHRINK_BYTES {
            return;
        }
        claims.shrunk_at = written;
        let start = claims.start;
        let writes: Vec<Write> = claims.acceptor.snapshot().collect();
        let bytes = postcard::to_allocvec(&(start, writes)).expect("writes can be encoded");
        // A frame of its own marks the place in the journal that the snapshot covers.
        let marker = Write::Retire(claims.acceptor.horizon());
        append(state, &marker).map(|position| (position, bytes))
    };
    let (covers, bytes) = match snapshot {
        Ok(snapshot) => snapshot,
        Err(refusal) => {
            warn!(event = "claims-not-shrunk"; "{refusal}");
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
        warn!(event = "claims-not-shrunk"; "{refusal}");
    }
}
