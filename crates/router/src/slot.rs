//! Slots of the backend server, and the wait for one.

use std::sync::Arc;
use std::time::Duration;

use tokio::time;

use crate::forwarded::Denial;
use crate::forwarded::Forwarded;
use crate::state::State;
use shallotrill_limits::ticket;
use shallotrill_limits::ticket::Release;
use shallotrill_limits::ticket::Ticket;
use shallotrill_model::incarnation::Incarnation;
use shallotrill_model::instance;
use shallotrill_model::partner;
use shallotrill_model::time::Instant;

/// A place in the queue or a slot. Dropping it gives it back.
#[derive(Debug)]
pub struct Slot {
    state: Arc<State>,
    instance: instance::Name,
    incarnation: Incarnation,
    id: ticket::Id,
    started: Instant,
    outcome: ticket::Outcome,
    runs: bool,
}

impl Slot {
    /// Notes how the request ended; a slot that is dropped without it counts as cancelled.
    pub const fn ended(&mut self, outcome: ticket::Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let now = self.state.now();
        let mut backend = self.state.backend.lock();
        let Some(life) = backend.is(&self.instance, self.incarnation) else {
            return;
        };
        let mut effect = life.gate.cancel(self.id, now);
        let release = Release {
            id: self.id,
            latency: now.since(self.started),
            outcome: self.outcome,
        };
        if !self.runs {
            effect.refused.clear();
        }
        life.settle(effect);
        let effect = life.gate.release(release, now);
        life.settle(effect);
    }
}

/// Steps of the rank between two priorities.
const STEPS: u8 = 8;

/// An objective of this length loses one step; twice as long, two, and so on.
const STEP_OBJECTIVE: Duration = Duration::from_millis(50);

/// Place in the queue: by priority, then the tighter objective first. Short work that other
/// work waits for, such as calls of backend servers, has the tightest ones.
fn rank(forwarded: &Forwarded) -> u8 {
    let ratio = forwarded.objective.as_secs_f64() / STEP_OBJECTIVE.as_secs_f64();
    let steps = ratio.max(1.0).log2().min(f64::from(STEPS - 1)) as u8;
    let priority = forwarded.priority.min(u8::MAX / STEPS);
    u8::MAX - priority * STEPS - steps
}

/// Waits for a slot.
///
/// # Errors
///
/// Returns a [`Denial`] that states that the request did not run.
pub async fn admit(state: &Arc<State>, forwarded: &Forwarded) -> Result<Slot, Denial> {
    let now = state.now();
    let id = ticket::Id(state.unique());
    let within = forwarded.start_within.min(forwarded.left);
    let ticket = Ticket {
        id,
        partner: partner::Name::new(forwarded.caller.as_str()).or(Err(Denial::Gone))?,
        priority: rank(forwarded),
        deadline: now + within,
    };
    let queued = {
        let mut backend = state.backend.lock();
        let life = backend
            .is(&forwarded.instance, forwarded.incarnation)
            .ok_or(Denial::Gone)?;
        if !forwarded.insist && life.is_slow(now) {
            return Err(Denial::Slow);
        }
        life.offer(ticket, now)?
    };
    let mut slot = Slot {
        state: Arc::clone(state),
        instance: forwarded.instance.clone(),
        incarnation: forwarded.incarnation,
        id,
        started: now,
        outcome: ticket::Outcome::Cancelled,
        runs: queued.is_none(),
    };
    if let Some(receiver) = queued {
        wait(receiver, within).await?;
        slot.runs = true;
        slot.started = state.now();
    }
    Ok(slot)
}

async fn wait(
    receiver: tokio::sync::oneshot::Receiver<Result<(), Denial>>,
    within: Duration,
) -> Result<(), Denial> {
    match time::timeout(within, receiver).await {
        Ok(Ok(answer)) => answer,
        // The backend server was replaced, and its queue with it.
        Ok(Err(_)) => Err(Denial::Gone),
        Err(_) => Err(Denial::Busy),
    }
}
