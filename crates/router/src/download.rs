//! Slots of large responses: a reader that is slower than the backend server gives its slot back.
//!
//! A slot stands for work at the backend server. When a part of a response waits
//! for its reader, the backend server waits too and works on nothing, so the slot
//! is released and the response continues without it, up to its deadline. The
//! number of such responses is limited by the descriptors of the process.

use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http_body::Frame;
use http_body::SizeHint;
use http_body_util::BodyExt;
use log::info;
use tokio::sync::watch;
use tokio::time;
use tokio::time::Instant;

use crate::slot::Slot;
use crate::state::State;
use shallotrill_limits::ticket::Outcome;
use shallotrill_locks::Mutex;
use shallotrill_locks::Rank;
use shallotrill_wire::body;
use shallotrill_wire::body::Body;

/// Length up to which a response fits in the buffers of the routers, so that its backend server never waits for the reader.
const SMALL_BYTES_MAX: u64 = 64 * 1024;

/// Time for which a part of a response may wait for its reader with the slot in use. A window of 64 KiB is
/// refilled within it at 2 Mbit/s, also when three responses share a link of 9.8 Mbit/s.
const READER_TIMEOUT: Duration = Duration::from_millis(250);

/// The slot of a response, until it is released.
#[derive(Debug)]
pub(crate) struct Held(Mutex<Option<Slot>>);

impl Held {
    pub(crate) fn new(slot: Slot) -> Arc<Self> {
        Arc::new(Self(Mutex::new(Rank::Pool, Some(slot))))
    }

    /// Releases the slot with this outcome; false if it was released before.
    pub(crate) fn release(&self, outcome: Outcome) -> bool {
        let slot = self.0.lock().take();
        // Dropping a slot locks the gate, so the lock of this value must be free.
        slot.map(|mut slot| slot.set_outcome(outcome)).is_some()
    }
}

/// Releases the slot of a large response with this outcome while its reader is slow.
pub(crate) fn watch(state: &Arc<State>, body: Body, held: Arc<Held>, outcome: Outcome) -> Body {
    if body::stated_length(&body).is_some_and(|length| length <= SMALL_BYTES_MAX) {
        return body;
    }
    let (ready_since, receiver) = watch::channel(None);
    tokio::spawn(release_when_slow(
        Arc::clone(state),
        receiver,
        held,
        outcome,
    ));
    WatchedBody { body, ready_since }.boxed_unsync()
}

async fn release_when_slow(
    state: Arc<State>,
    mut ready_since: watch::Receiver<Option<Instant>>,
    held: Arc<Held>,
    outcome: Outcome,
) {
    loop {
        let since = *ready_since.borrow_and_update();
        let changed = match since {
            Some(since) => time::timeout_at(since + READER_TIMEOUT, ready_since.changed()).await,
            None => Ok(ready_since.changed().await),
        };
        match changed {
            Ok(Ok(())) => {}
            // The response has ended.
            Ok(Err(_)) => return,
            Err(_) => break,
        }
    }
    // Without a permit the slot stays in use: each response without a slot keeps a connection to the backend server.
    let Ok(_permit) = state.slow_responses.try_acquire() else {
        return;
    };
    if held.release(outcome) {
        state.metrics.slow_readers.inc();
        if state.routine_log_quota.allows(state.now()) {
            info!(event = "slow-reader"; "the reader of a response takes less than its backend server sends; its slot is released");
        }
    }
    // The permit is kept until the response has ended.
    while ready_since.changed().await.is_ok() {}
}

/// A body that states since when its reader has had a part and has not asked for the next one.
struct WatchedBody {
    body: Body,
    ready_since: watch::Sender<Option<Instant>>,
}

impl http_body::Body for WatchedBody {
    type Data = Bytes;
    type Error = body::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, body::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        let since = polled.is_ready().then(Instant::now);
        self.ready_since.send_replace(since);
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
