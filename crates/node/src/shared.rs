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

/// Time for which a coalesced request continues after its last caller disconnected.
///
/// A caller that times out and immediately repeats the request rejoins it within this time. With a
/// cancellation at the disconnect, each repetition would restart the request, and it would never finish.
const CANCEL_GRACE_PERIOD: Duration = Duration::from_millis(50);

/// A complete response that several callers receive.
#[derive(Debug)]
struct SharedResponse {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

/// Result of a coalesced request.
#[derive(Clone, Debug)]
enum SharedResult {
    Complete(Arc<SharedResponse>),
    Refused(Refusal),
    /// The response is larger than [`SHARED_MAX_BYTES`].
    TooLarge,
}

type Receiver = watch::Receiver<Option<SharedResult>>;

/// A request in flight whose response several callers may receive.
#[derive(Debug)]
struct CoalescedRequest {
    leader: request::Id,
    result: Receiver,
    abort: AbortHandle,
}

/// Coalesced requests of a node.
#[derive(Debug)]
pub(crate) struct CoalescedRequests {
    pub(crate) table: coalescing::Table,
    /// Sorted by leader.
    active: Vec<CoalescedRequest>,
}

impl Default for CoalescedRequests {
    fn default() -> Self {
        Self {
            table: coalescing::Table::new(coalescing::Config::default()),
            active: Vec::new(),
        }
    }
}

impl CoalescedRequests {
    fn find(&self, leader: request::Id) -> Result<usize, usize> {
        self.active
            .binary_search_by_key(&leader, |request| request.leader)
    }

    fn remove(&mut self, leader: request::Id) -> Option<CoalescedRequest> {
        let index = self.find(leader).ok()?;
        Some(self.active.remove(index))
    }
}

/// One caller that waits for a coalesced request. Dropping it before the result removes the caller from the request.
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
            let mut coalesced = self.state.coalesced.lock();
            coalesced.table.disconnect(&self.key, self.id, now)
        };
        if let Disconnected::Orphaned(leader) = left {
            let state = Arc::clone(self.state);
            tokio::spawn(cancel(state, self.key.clone(), leader));
        }
    }
}

/// Cancels a coalesced request after the grace period if no caller has rejoined it.
async fn cancel(state: Arc<State>, key: Key, leader: request::Id) {
    time::sleep(CANCEL_GRACE_PERIOD).await;
    let now = state.now();
    let mut coalesced = state.coalesced.lock();
    if coalesced
        .table
        .cancel(&key, leader, CANCEL_GRACE_PERIOD, now)
        && let Some(request) = coalesced.remove(leader)
    {
        request.abort.abort();
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
        (Some(SharedResult::Complete(complete)), _) => Ok(response(&complete)),
        (Some(SharedResult::Refused(refusal)), _) => Err(refusal),
        (Some(SharedResult::TooLarge), Some(oversized)) => {
            oversized.await.ok().ok_or_else(cancelled)
        }
        (Some(SharedResult::TooLarge), None) => execution::run(state, plan).await,
        (None, _) => Err(cancelled()),
    }
}

/// Role of a request among identical requests.
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
    let mut coalesced = state.coalesced.lock();
    match coalesced.table.enter(key.clone(), id, now) {
        Placement::Alone(CapacityReached::Entries) => Ok(Role::Alone),
        Placement::Alone(CapacityReached::Followers) => {
            let message = "too many duplicates of this request wait for its response".to_owned();
            Err(Refusal::not_run(Code::Overloaded, message))
        }
        Placement::Lead => {
            let (oversized, receiver) = start_leader(state, plan, &mut coalesced, key.clone(), id);
            Ok(Role::Lead(oversized, receiver))
        }
        Placement::Follow(leader) => {
            let index = coalesced.find(leader).ok().ok_or_else(cancelled)?;
            state.metrics.coalesced();
            Ok(Role::Follow(coalesced.active[index].result.clone()))
        }
    }
}

/// Starts the task of a leader.
fn start_leader(
    state: &Arc<State>,
    plan: &Arc<Plan>,
    coalesced: &mut CoalescedRequests,
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
            let mut coalesced = task_state.coalesced.lock();
            let finished = coalesced
                .table
                .finish(&key, leader, LeaderOutcome::Completed);
            debug_assert!(matches!(
                finished,
                FollowerAction::Deliver(_) | FollowerAction::Unknown
            ));
            drop(coalesced.remove(leader));
        }
        if let Some(response) = oversized {
            // If the leader's caller disconnected, the response is dropped, which cancels it.
            drop(oversized_sender.send(response));
        }
        sender.send_replace(Some(result));
    });
    let request = CoalescedRequest {
        leader,
        result: receiver.clone(),
        abort: task.abort_handle(),
    };
    if let Err(index) = coalesced.find(leader) {
        coalesced.active.insert(index, request);
    }
    (oversized_receiver, receiver)
}

async fn collect(
    result: Result<Response<Body>, Refusal>,
) -> (SharedResult, Option<Response<Body>>) {
    let (parts, body) = match result {
        Ok(response) => response.into_parts(),
        Err(refusal) => return (SharedResult::Refused(refusal), None),
    };
    match body::prefix(body, SHARED_MAX_BYTES).await {
        Ok(Prefix::Complete(body)) => {
            let complete = SharedResponse {
                status: parts.status,
                headers: parts.headers,
                body,
            };
            (SharedResult::Complete(Arc::new(complete)), None)
        }
        Ok(Prefix::Longer(rest)) => (
            SharedResult::TooLarge,
            Some(Response::from_parts(parts, rest)),
        ),
        Err(error) => {
            let refusal = Refusal::unknown(Code::AnswerInvalid, error.to_string());
            (SharedResult::Refused(refusal), None)
        }
    }
}

fn response(complete: &SharedResponse) -> Response<Body> {
    let mut response = Response::new(body::full(complete.body.clone()));
    *response.status_mut() = complete.status;
    *response.headers_mut() = complete.headers.clone();
    response
}

fn cancelled() -> Refusal {
    let message = "the shared execution of this request was cancelled".to_owned();
    Refusal::unknown(Code::ConnectionLost, message)
}
