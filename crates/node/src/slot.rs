//! Slots of the backend server beside this node, and the wait for one.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time;

use crate::plan::Plan;
use crate::refuse;
use crate::state::State;
use shallotrill_limits::ticket;
use shallotrill_limits::ticket::Release;
use shallotrill_limits::ticket::Ticket;
use shallotrill_limits::ticket::Verdict;
use shallotrill_model::digest::Digest;
use shallotrill_model::incarnation::Incarnation;
use shallotrill_model::time::Instant;
use shallotrill_wire::refusal::Code;
use shallotrill_wire::refusal::Refusal;

/// The answer to a waiting ticket.
pub(crate) type Answer = Result<(), ticket::Refusal>;

/// A slot held by one request. Dropping it gives it back as cancelled.
#[derive(Debug)]
pub(crate) struct Slot {
    state: Arc<State>,
    id: ticket::Id,
    started: Instant,
    finished: bool,
}

impl Slot {
    fn new(state: &Arc<State>, id: ticket::Id) -> Self {
        Self {
            state: Arc::clone(state),
            id,
            started: state.now(),
            finished: false,
        }
    }

    /// Starts the measurement of the latency anew, when the slot was held for something else first.
    pub(crate) fn dispatching(&mut self) {
        self.started = self.state.now();
    }

    /// Gives the slot back and says how the request ended.
    pub(crate) fn finish(mut self, outcome: ticket::Outcome) {
        self.release(outcome);
    }

    fn release(&mut self, outcome: ticket::Outcome) {
        if std::mem::replace(&mut self.finished, true) {
            return;
        }
        let now = self.state.now();
        let latency = now.since(self.started);
        give_back(&self.state, self.id, outcome, latency, now);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.release(ticket::Outcome::Cancelled);
    }
}

fn give_back(
    state: &State,
    id: ticket::Id,
    outcome: ticket::Outcome,
    latency: Duration,
    now: Instant,
) {
    let release = Release {
        id,
        latency,
        outcome,
    };
    let mut local = state.local.lock();
    if let Some(server) = &mut local.server {
        server.release(release, now);
    }
}

/// A ticket in the queue. Dropping it leaves the queue, or gives back a slot that came too late to be noticed.
struct Queued<'state> {
    state: &'state State,
    id: ticket::Id,
    settled: bool,
}

impl Drop for Queued<'_> {
    fn drop(&mut self) {
        if self.settled {
            return;
        }
        let now = self.state.now();
        let mut local = self.state.local.lock();
        if let Some(server) = &mut local.server {
            server.cancel(self.id, now);
        }
    }
}

/// Waits for a slot of the backend server in its life `incarnation`.
///
/// # Errors
///
/// Returns a [`Refusal`] with `run` at not-run.
pub(crate) async fn admit(
    state: &Arc<State>,
    plan: &Plan,
    incarnation: Incarnation,
) -> Result<Slot, Refusal> {
    let id = ticket::Id(state.unique());
    let ticket = Ticket {
        id,
        partner: plan.partner.clone(),
        priority: plan.priority,
        deadline: plan.deadline,
    };
    let (sender, receiver) = oneshot::channel();
    let verdict = offer(state, ticket, plan.content, incarnation, sender)?;
    match verdict {
        Verdict::Run => return Ok(Slot::new(state, id)),
        Verdict::Refuse(refusal) => {
            state.metrics.gate_refused(refusal);
            return Err(refuse::gate(refusal));
        }
        Verdict::Queue { .. } => {}
    }
    let mut queued = Queued {
        state,
        id,
        settled: false,
    };
    let left = plan.left(state.now());
    let refusal = match time::timeout(left, receiver).await {
        Ok(Ok(Ok(()))) => {
            queued.settled = true;
            return Ok(Slot::new(state, id));
        }
        Ok(Ok(Err(refusal))) => {
            queued.settled = true;
            refusal
        }
        // The backend server was replaced, and the queue with it.
        Ok(Err(_)) => return Err(replaced()),
        Err(_) => ticket::Refusal::TooLate { wait: left },
    };
    state.metrics.gate_refused(refusal);
    Err(refuse::gate(refusal))
}

fn offer(
    state: &State,
    ticket: Ticket,
    content: Digest,
    incarnation: Incarnation,
    sender: oneshot::Sender<Answer>,
) -> Result<Verdict, Refusal> {
    let now = state.now();
    let mut local = state.local.lock();
    let server = local.server.as_mut().ok_or_else(replaced)?;
    if server.life.incarnation != incarnation {
        return Err(replaced());
    }
    Ok(server.offer(ticket, content, sender, now))
}

fn replaced() -> Refusal {
    let message = "the backend server was replaced".to_owned();
    Refusal::not_run(Code::WrongTarget, message)
}
