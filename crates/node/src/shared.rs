//! Copies of one idempotent request in flight share one answer.
//!
//! A caller that retries at once and without pause sends copies while the
//! first one still runs. The first copy leads and its work runs in a task; the
//! others wait for the same answer. The work is cancelled shortly after nobody waits any longer.

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

/// Longest answer that is shared, in bytes. A longer one goes to the leader alone, and the others ask for themselves.
const SHARED_MAX_BYTES: usize = 1024 * 1024;

/// Time for which work goes on after its last caller disconnected.
///
/// Software that gives up on a slow answer and sends the request again at once joins the work then. A
/// cancellation at the disconnect would start it anew each time, and it would never end.
const GRACE: Duration = Duration::from_millis(50);

/// An answer that several callers get.
#[derive(Debug)]
struct Whole {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

/// How shared work ended.
#[derive(Clone, Debug)]
enum Ended {
    Whole(Arc<Whole>),
    Refused(Refusal),
    /// The answer is too long to be shared.
    Long,
}

type Receiver = watch::Receiver<Option<Ended>>;

/// Work in progress, by the request that leads it.
#[derive(Debug)]
struct Work {
    leader: request::Id,
    ended: Receiver,
    abort: AbortHandle,
}

/// The joined requests of a node.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) table: coalescing::Table,
    /// Sorted by leader.
    works: Vec<Work>,
}

impl Default for Shared {
    fn default() -> Self {
        Self {
            table: coalescing::Table::new(coalescing::Config::default()),
            works: Vec::new(),
        }
    }
}

impl Shared {
    fn find(&self, leader: request::Id) -> Result<usize, usize> {
        self.works.binary_search_by_key(&leader, |work| work.leader)
    }

    fn remove(&mut self, leader: request::Id) -> Option<Work> {
        let index = self.find(leader).ok()?;
        Some(self.works.remove(index))
    }
}

/// One caller that waits for shared work. Dropping it before the end withdraws the caller.
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

/// Cancels work after the grace if nobody has asked for it again.
async fn cancel(state: Arc<State>, key: Key, leader: request::Id) {
    time::sleep(GRACE).await;
    let now = state.now();
    let mut shared = state.shared.lock();
    if shared.table.cancel(&key, leader, GRACE, now)
        && let Some(work) = shared.remove(leader)
    {
        work.abort.abort();
    }
}

/// Runs a request or waits for a copy of it that runs already.
///
/// # Errors
///
/// Returns a [`Refusal`] that says whether the request can have run.
pub(crate) async fn run(state: &Arc<State>, plan: &Arc<Plan>) -> Result<Response<Body>, Refusal> {
    let key = Key {
        partner: plan.partner.clone(),
        digest: plan.identity(),
    };
    // Callers may repeat the id of their request, and copies must still be told apart.
    let id = request::Id(rand::random());
    let (long, mut receiver) = match enter(state, plan, &key, id)? {
        Entered::Alone => return execution::run(state, plan).await,
        Entered::Lead(long, receiver) => (Some(long), receiver),
        Entered::Follow(receiver) => (None, receiver),
    };
    let mut waiter = Waiter {
        state,
        key,
        id,
        waiting: true,
    };
    let ended = receiver.wait_for(Option::is_some).await;
    let ended = ended.ok().and_then(|ended| ended.clone());
    waiter.waiting = false;
    match (ended, long) {
        (Some(Ended::Whole(whole)), _) => Ok(response(&whole)),
        (Some(Ended::Refused(refusal)), _) => Err(refusal),
        (Some(Ended::Long), Some(long)) => long.await.ok().ok_or_else(gone),
        (Some(Ended::Long), None) => execution::run(state, plan).await,
        (None, _) => Err(gone()),
    }
}

/// The part of a request in shared work.
enum Entered {
    /// It runs for itself.
    Alone,
    /// It leads; an answer that is too long to be shared comes through the first receiver.
    Lead(oneshot::Receiver<Response<Body>>, Receiver),
    Follow(Receiver),
}

fn enter(
    state: &Arc<State>,
    plan: &Arc<Plan>,
    key: &Key,
    id: request::Id,
) -> Result<Entered, Refusal> {
    let now = state.now();
    let mut shared = state.shared.lock();
    match shared.table.enter(key.clone(), id, now) {
        Placement::Alone(CapacityReached::Entries) => Ok(Entered::Alone),
        Placement::Alone(CapacityReached::Followers) => {
            let message = "too many copies of this request wait for its answer".to_owned();
            Err(Refusal::not_run(Code::Overloaded, message))
        }
        Placement::Lead => {
            let (long, receiver) = lead(state, plan, &mut shared, key.clone(), id);
            Ok(Entered::Lead(long, receiver))
        }
        Placement::Follow(leader) => {
            let index = shared.find(leader).ok().ok_or_else(gone)?;
            state.metrics.joined();
            Ok(Entered::Follow(shared.works[index].ended.clone()))
        }
    }
}

/// Starts the work of a leader.
fn lead(
    state: &Arc<State>,
    plan: &Arc<Plan>,
    shared: &mut Shared,
    key: Key,
    leader: request::Id,
) -> (oneshot::Receiver<Response<Body>>, Receiver) {
    let (sender, receiver) = watch::channel(None);
    let (long_sender, long_receiver) = oneshot::channel();
    let state_of_task = Arc::clone(state);
    let plan = Arc::clone(plan);
    let task = state.tasks.spawn(async move {
        let result = execution::run(&state_of_task, &plan).await;
        let (ended, long) = collect(result).await;
        {
            let mut shared = state_of_task.shared.lock();
            let finished = shared.table.finish(&key, leader, LeaderOutcome::Settled);
            debug_assert!(matches!(
                finished,
                FollowerAction::Deliver(_) | FollowerAction::Unknown
            ));
            drop(shared.remove(leader));
        }
        if let Some(response) = long {
            // The leader's caller may have disconnected; its answer is then dropped, which cancels it.
            drop(long_sender.send(response));
        }
        sender.send_replace(Some(ended));
    });
    let work = Work {
        leader,
        ended: receiver.clone(),
        abort: task.abort_handle(),
    };
    if let Err(index) = shared.find(leader) {
        shared.works.insert(index, work);
    }
    (long_receiver, receiver)
}

async fn collect(result: Result<Response<Body>, Refusal>) -> (Ended, Option<Response<Body>>) {
    let (parts, body) = match result {
        Ok(response) => response.into_parts(),
        Err(refusal) => return (Ended::Refused(refusal), None),
    };
    match body::prefix(body, SHARED_MAX_BYTES).await {
        Ok(Prefix::Complete(body)) => {
            let whole = Whole {
                status: parts.status,
                headers: parts.headers,
                body,
            };
            (Ended::Whole(Arc::new(whole)), None)
        }
        Ok(Prefix::Longer(rest)) => (Ended::Long, Some(Response::from_parts(parts, rest))),
        Err(error) => {
            let refusal = Refusal::unknown(Code::AnswerInvalid, error.to_string());
            (Ended::Refused(refusal), None)
        }
    }
}

fn response(whole: &Whole) -> Response<Body> {
    let mut response = Response::new(body::full(whole.body.clone()));
    *response.status_mut() = whole.status;
    *response.headers_mut() = whole.headers.clone();
    response
}

fn gone() -> Refusal {
    let message = "the copy that ran was cancelled".to_owned();
    Refusal::unknown(Code::ConnectionLost, message)
}
