//! Admission to the local backend server: waits for one of its slots and releases it.

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

/// Result that is sent to a queued ticket: admitted, or refused by the gate.
pub(crate) type AdmissionResult = Result<(), ticket::Refusal>;

/// A slot held by one request. Dropping it releases the slot as cancelled.
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

    /// Restarts the latency measurement, so that it excludes the time for which the slot was held before dispatch.
    pub(crate) fn restart_timer(&mut self) {
        self.started = self.state.now();
    }

    /// Releases the slot with the outcome of the request.
    pub(crate) fn finish(mut self, outcome: ticket::Outcome) {
        self.release(outcome);
    }

    fn release(&mut self, outcome: ticket::Outcome) {
        if std::mem::replace(&mut self.finished, true) {
            return;
        }
        let now = self.state.now();
        let latency = now.since(self.started);
        release_slot(&self.state, self.id, outcome, latency, now);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.release(ticket::Outcome::Cancelled);
    }
}

fn release_slot(
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

/// A ticket in the queue. Dropping it cancels the ticket, or releases a slot that was granted but not yet received.
struct Queued<'state> {
    state: &'state State,
    id: ticket::Id,
    resolved: bool,
}

impl Drop for Queued<'_> {
    fn drop(&mut self) {
        if self.resolved {
            return;
        }
        let now = self.state.now();
        let mut local = self.state.local.lock();
        if let Some(server) = &mut local.server {
            server.cancel(self.id, now);
        }
    }
}

/// Waits for a slot of the backend server in this `incarnation`.
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
        timely_until: plan.deadline,
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
        resolved: false,
    };
    let remaining = plan.remaining(state.now());
    let refusal = match time::timeout(remaining, receiver).await {
        Ok(Ok(Ok(()))) => {
            queued.resolved = true;
            return Ok(Slot::new(state, id));
        }
        Ok(Ok(Err(refusal))) => {
            queued.resolved = true;
            refusal
        }
        // The backend server was replaced together with its queue.
        Ok(Err(_)) => return Err(server_replaced()),
        Err(_) => ticket::Refusal::TooLate { wait: remaining },
    };
    state.metrics.gate_refused(refusal);
    Err(refuse::gate(refusal))
}

fn offer(
    state: &State,
    ticket: Ticket,
    content: Digest,
    incarnation: Incarnation,
    sender: oneshot::Sender<AdmissionResult>,
) -> Result<Verdict, Refusal> {
    let now = state.now();
    let mut local = state.local.lock();
    let server = local.server.as_mut().ok_or_else(server_replaced)?;
    if server.incarnation.incarnation != incarnation {
        return Err(server_replaced());
    }
    Ok(server.offer(ticket, content, sender, now))
}

fn server_replaced() -> Refusal {
    let message = "the chosen incarnation of the backend server was replaced".to_owned();
    Refusal::not_run(Code::WrongTarget, message)
}
