//! Coalesces identical idempotent requests in flight, so that they share one response.
//!
//! A caller that retries without delay sends duplicates while the first
//! request still runs. The first request is the leader, which runs in a task;
//! the followers wait for the same response. The task is cancelled
//! [`CANCEL_GRACE_PERIOD`] after the last caller disconnected.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Response;
use http::StatusCode;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio::time;

use crate::execution;
use crate::plan::Plan;
use crate::state::State;
use shallotrill_model::request;
use shallotrill_retry::coalescing;
use shallotrill_retry::coalescing::CapacityReached;
use shallotrill_retry::coalescing::Disconnected;
use shallotrill_retry::coalescing::FollowerAction;
use shallotrill_retry::coalescing::Key;
use shallotrill_retry::coalescing::LeaderOutcome;
use shallotrill_retry::coalescing::Placement;
use shallotrill_wire::body;
use shallotrill_wire::body::Body;
use shallotrill_wire::body::Prefix;
use shallotrill_wire::refusal::Code;
use shallotrill_wire::refusal::Refusal;

/// Maximum size of a response that is shared. Only the leader gets a larger one, and the followers run on their own.
const SHARED_MAX_BYTES: usize = 1024 * 1024;

/// Time for which shared work continues after its last caller disconnected.
///
/// A caller that times out and immediately repeats the request rejoins the work within this time. With a
/// cancellation at the disconnect, each repetition would restart the work, and it would never finish.
const CANCEL_GRACE_PERIOD: Duration = Duration::from_millis(50);

/// A complete response that several callers receive.
#[derive(Debug)]
struct SharedResponse {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

/// Result of shared work.
#[derive(Clone, Debug)]
enum WorkResult {
    Complete(Arc<SharedResponse>),
    Refused(Refusal),
    /// The response is larger than [`SHARED_MAX_BYTES`].
    TooLarge,
}

type Receiver = watch::Receiver<Option<WorkResult>>;

/// Shared work in progress.
#[derive(Debug)]
struct Work {
    leader: request::Id,
    result: Receiver,
    abort: AbortHandle,
}

/// Coalesced requests of a node.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) table: coalescing::Table,
    /// Sorted by leader.
    active: Vec<Work>,
}

impl Default for Shared {
    fn default() -> Self {
        Self {
            table: coalescing::Table::new(coalescing::Config::default()),
            active: Vec::new(),
        }
    }
}

impl Shared {
    fn find(&self, leader: request::Id) -> Result<usize, usize> {
        self.active
            .binary_search_by_key(&leader, |work| work.leader)
    }

    fn remove(&mut self, leader: request::Id) -> Option<Work> {
        let index = self.find(leader).ok()?;
        Some(self.active.remove(index))
    }
}

/// One caller that waits for shared work. Dropping it before the result removes the caller from the work.
struct Waiter<'state> {
    state: &'state Arc<State>,
    key: Key,
    id: request::Id,
    waiting: bool,
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        if !self.waiting {
            return;
        }
        let now = self.state.now();
        let left = {
            let mut shared = self.state.shared.lock();
            shared.table.disconnect(&self.key, self.id, now)
        };
        if let Disconnected::Orphaned(leader) = left {
            let state = Arc::clone(self.state);
            tokio::spawn(cancel(state, self.key.clone(), leader));
        }
    }
}

/// Cancels work after the grace period if no caller has rejoined it.
async fn cancel(state: Arc<State>, key: Key, leader: request::Id) {
    time::sleep(CANCEL_GRACE_PERIOD).await;
    let now = state.now();
    let mut shared = state.shared.lock();
    if shared.table.cancel(&key, leader, CANCEL_GRACE_PERIOD, now)
        && let Some(work) = shared.remove(leader)
    {
        work.abort.abort();
    }
}

/// Runs a request, or waits for an identical one that already runs.
///
/// # Errors
///
/// Returns a [`Refusal`] that says whether the request can have run.
pub(crate) async fn run(state: &Arc<State>, plan: &Arc<Plan>) -> Result<Response<Body>, Refusal> {
    let key = Key {
        partner: plan.partner.clone(),
        digest: plan.identity(),
    };
    // Callers may reuse the id of their request, and duplicates must still be distinguished.
    let id = request::Id(rand::random());
    let (oversized, mut receiver) = match enter(state, plan, &key, id)? {
        Role::Alone => return execution::run(state, plan).await,
        Role::Lead(oversized, receiver) => (Some(oversized), receiver),
        Role::Follow(receiver) => (None, receiver),
    };
    let mut waiter = Waiter {
        state,
        key,
        id,
        waiting: true,
    };
    let result = receiver.wait_for(Option::is_some).await;
    let result = result.ok().and_then(|result| result.clone());
    waiter.waiting = false;
    match (result, oversized) {
        (Some(WorkResult::Complete(complete)), _) => Ok(response(&complete)),
        (Some(WorkResult::Refused(refusal)), _) => Err(refusal),
        (Some(WorkResult::TooLarge), Some(oversized)) => {
            oversized.await.ok().ok_or_else(work_cancelled)
        }
        (Some(WorkResult::TooLarge), None) => execution::run(state, plan).await,
        (None, _) => Err(work_cancelled()),
    }
}

/// Role of a request in shared work.
enum Role {
    /// The request runs on its own, because the table is full.
    Alone,
    /// The request leads; a response that is too large to be shared arrives through the first receiver.
    Lead(oneshot::Receiver<Response<Body>>, Receiver),
    Follow(Receiver),
}

fn enter(
    state: &Arc<State>,
    plan: &Arc<Plan>,
    key: &Key,
    id: request::Id,
) -> Result<Role, Refusal> {
    let now = state.now();
    let mut shared = state.shared.lock();
    match shared.table.enter(key.clone(), id, now) {
        Placement::Alone(CapacityReached::Entries) => Ok(Role::Alone),
        Placement::Alone(CapacityReached::Followers) => {
            let message = "too many duplicates of this request wait for its response".to_owned();
            Err(Refusal::not_run(Code::Overloaded, message))
        }
        Placement::Lead => {
            let (oversized, receiver) = start_leader(state, plan, &mut shared, key.clone(), id);
            Ok(Role::Lead(oversized, receiver))
        }
        Placement::Follow(leader) => {
            let index = shared.find(leader).ok().ok_or_else(work_cancelled)?;
            state.metrics.coalesced();
            Ok(Role::Follow(shared.active[index].result.clone()))
        }
    }
}

/// Starts the task of a leader.
fn start_leader(
    state: &Arc<State>,
    plan: &Arc<Plan>,
    shared: &mut Shared,
    key: Key,
    leader: request::Id,
) -> (oneshot::Receiver<Response<Body>>, Receiver) {
    let (sender, receiver) = watch::channel(None);
    let (oversized_sender, oversized_receiver) = oneshot::channel();
    let task_state = Arc::clone(state);
    let plan = Arc::clone(plan);
    let task = state.tasks.spawn(async move {
        let result = execution::run(&task_state, &plan).await;
        let (result, oversized) = collect(result).await;
        {
            let mut shared = task_state.shared.lock();
            let finished = shared.table.finish(&key, leader, LeaderOutcome::Completed);
            debug_assert!(matches!(
                finished,
                FollowerAction::Deliver(_) | FollowerAction::Unknown
            ));
            drop(shared.remove(leader));
        }
        if let Some(response) = oversized {
            // If the leader's caller disconnected, the response is dropped, which cancels it.
            drop(oversized_sender.send(response));
        }
        sender.send_replace(Some(result));
    });
    let work = Work {
        leader,
        result: receiver.clone(),
        abort: task.abort_handle(),
    };
    if let Err(index) = shared.find(leader) {
        shared.active.insert(index, work);
    }
    (oversized_receiver, receiver)
}

async fn collect(result: Result<Response<Body>, Refusal>) -> (WorkResult, Option<Response<Body>>) {
    let (parts, body) = match result {
        Ok(response) => response.into_parts(),
        Err(refusal) => return (WorkResult::Refused(refusal), None),
    };
    match body::prefix(body, SHARED_MAX_BYTES).await {
        Ok(Prefix::Complete(body)) => {
            let complete = SharedResponse {
                status: parts.status,
                headers: parts.headers,
                body,
            };
            (WorkResult::Complete(Arc::new(complete)), None)
        }
        Ok(Prefix::Longer(rest)) => (
            WorkResult::TooLarge,
            Some(Response::from_parts(parts, rest)),
        ),
        Err(error) => {
            let refusal = Refusal::unknown(Code::AnswerInvalid, error.to_string());
            (WorkResult::Refused(refusal), None)
        }
    }
}

fn response(complete: &SharedResponse) -> Response<Body> {
    let mut response = Response::new(body::full(complete.body.clone()));
    *response.status_mut() = complete.status;
    *response.headers_mut() = complete.headers.clone();
    response
}

fn work_cancelled() -> Refusal {
    let message = "the shared execution of this request was cancelled".to_owned();
    Refusal::unknown(Code::ConnectionLost, message)
}
