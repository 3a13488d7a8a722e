//! Admission of requests to slots of the local backend server, and the queue for them.

use std::sync::Arc;
use std::time::Duration;

use tokio::time;

use crate::forwarded::Denial;
use crate::forwarded::Forwarded;
use crate::state::State;
use shallotrill_limits::config::Ranks;
use shallotrill_limits::ticket;
use shallotrill_limits::ticket::Release;
use shallotrill_limits::ticket::Ticket;
use shallotrill_model::incarnation::Incarnation;
use shallotrill_model::instance;
use shallotrill_model::partner;
use shallotrill_model::time::Instant;

/// A slot or a queued ticket for one. Dropping it releases or cancels it.
#[derive(Debug)]
pub struct Slot {
    state: Arc<State>,
    instance: instance::Name,
    incarnation: Incarnation,
    id: ticket::Id,
    started_at: Instant,
    outcome: ticket::Outcome,
    admitted: bool,
}

impl Slot {
    /// Sets the outcome of the request; without it the request counts as cancelled.
    pub const fn set_outcome(&mut self, outcome: ticket::Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let now = self.state.now();
        let mut backend = self.state.backend.lock();
        let Some(server) = backend.matching(&self.instance, self.incarnation) else {
            return;
        };
        let mut effect = server.gate.cancel(self.id, now);
        let release = Release {
            id: self.id,
            latency: now.since(self.started_at),
            outcome: self.outcome,
        };
        if !self.admitted {
            effect.refused.clear();
        }
        server.notify_waiting(effect);
        let effect = server.gate.release(release, now);
        server.notify_waiting(effect);
        if server.gate.next_start(now).is_some() {
            self.state.pace_changed.notify_one();
        }
    }
}

/// Share of the remaining time that a request may wait at the last gate it asks. The rest is left for
/// its work, which on a shared machine can take several times as long as usual.
const LATE_WAIT_SHARE: f64 = 0.6;

/// Longest objective of requests that count as calls of other requests. Such calls have objectives of 150 to 200 ms
/// where they were measured, and requests of callers 300 ms and more.
const DEPENDENCY_OBJECTIVE_MAX: Duration = Duration::from_millis(200);

/// Number of ranks within one priority.
const RANKS_PER_PRIORITY: u8 = 8;

/// Number of priorities of routes that are told apart within one priority of workspaces.
const PRIORITIES_MAX: u8 = 8;

/// How the ranks are divided into priorities of routes and of workspaces.
pub(crate) const RANKS: Ranks = Ranks {
    per_priority: RANKS_PER_PRIORITY,
    per_level: RANKS_PER_PRIORITY * PRIORITIES_MAX,
};

/// Number of priorities of workspaces that are told apart.
const WORKSPACE_PRIORITIES_MAX: u8 = 4;

/// The rank falls by one each time the objective doubles, starting from this length.
const RANK_OBJECTIVE: Duration = Duration::from_millis(50);

/// Rank in the queue: by priority, then by objective with the shortest first. The priority of a route is
/// inverted here: zero is served first in a route, but the highest value is served first at the gate. Short requests that
/// other requests depend on, such as calls of backend servers, have the shortest objectives.
///
/// The priority of a workspace comes first. There are as many ranks for each of its levels as for [`PRIORITIES_MAX`]
/// levels of routes.
pub(crate) fn rank(workspace_priority: Option<u8>, priority: u8, objective: Duration) -> u8 {
    let ratio = objective.as_secs_f64() / RANK_OBJECTIVE.as_secs_f64();
    let steps = ratio.max(1.0).log2().min(f64::from(RANKS_PER_PRIORITY - 1)) as u8;
    let priority = match workspace_priority {
        Some(level) => {
            let level = level.min(WORKSPACE_PRIORITIES_MAX - 1);
            level * PRIORITIES_MAX + priority.min(PRIORITIES_MAX - 1)
        }
        None => priority.min(u8::MAX / RANKS_PER_PRIORITY),
    };
    u8::MAX - priority * RANKS_PER_PRIORITY - steps
}

/// Time within which a request must start to be of full use, where `start_within` is that to meet its objective.
///
/// A request with a short objective is often a call that another request waits for in its slot. The work of that one
/// is lost with the call, so a call that is late for its own objective still counts as timely.
pub(crate) fn useful_within(
    objective: Duration,
    start_within: Duration,
    remaining: Duration,
) -> Duration {
    if objective <= DEPENDENCY_OBJECTIVE_MAX {
        start_within.max(remaining.mul_f64(LATE_WAIT_SHARE))
    } else {
        start_within
    }
}

/// The account that pays for the slot time of a request: its workspace, or the calling service without one.
fn account(forwarded: &Forwarded) -> Result<partner::Name, Denial> {
    let workspace = forwarded.workspace.as_ref().map(|w| w.name.as_str());
    let name = workspace.unwrap_or(forwarded.caller.as_str());
    partner::Name::new(name).or(Err(Denial::Gone))
}

/// Waits for a slot of the requested incarnation.
///
/// # Errors
///
/// Returns a [`Denial`]; in every case the request did not run.
pub async fn admit(state: &Arc<State>, forwarded: &Forwarded) -> Result<Slot, Denial> {
    let now = state.now();
    let id = ticket::Id(state.unique_number());
    let start_within = forwarded.start_within.min(forwarded.remaining);
    let wait_max = if forwarded.last_gate {
        start_within.max(forwarded.remaining.mul_f64(LATE_WAIT_SHARE))
    } else {
        start_within
    };
    let ticket = Ticket {
        id,
        partner: account(forwarded)?,
        priority: rank(
            forwarded.workspace.as_ref().map(|w| w.priority),
            forwarded.priority,
            forwarded.objective,
        ),
        timely_until: now + useful_within(forwarded.objective, start_within, forwarded.remaining),
        deadline: now + wait_max,
    };
    let queued = {
        let mut backend = state.backend.lock();
        let server = backend
            .matching(&forwarded.instance, forwarded.incarnation)
            .ok_or(Denial::Gone)?;
        if !forwarded.last_gate && server.is_slow(now) {
            return Err(Denial::Slow);
        }
        let queued = server.offer(ticket, now)?;
        if server.gate.next_start(now).is_some() {
            state.pace_changed.notify_one();
        }
        queued
    };
    let mut slot = Slot {
        state: Arc::clone(state),
        instance: forwarded.instance.clone(),
        incarnation: forwarded.incarnation,
        id,
        started_at: now,
        outcome: ticket::Outcome::Cancelled,
        admitted: queued.is_none(),
    };
    if let Some(receiver) = queued {
        wait(receiver, wait_max).await?;
        slot.admitted = true;
        slot.started_at = state.now();
    }
    Ok(slot)
}

async fn wait(
    receiver: tokio::sync::oneshot::Receiver<Result<(), Denial>>,
    wait_max: Duration,
) -> Result<(), Denial> {
    match time::timeout(wait_max, receiver).await {
        Ok(Ok(result)) => result,
        // The incarnation was replaced, and its queue was dropped with it.
        Ok(Err(_)) => Err(Denial::Gone),
        Err(_) => Err(Denial::Busy),
    }
}
