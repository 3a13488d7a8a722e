//! Submits commands, reads and membership changes to the leader, locally or by forwarding.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time;

use crate::replace;
use crate::state::Reader;
use crate::state::State;
use shallotrill_catalog::command::Command;
use shallotrill_catalog::reply::Reply as Outcome;
use shallotrill_consensus::failure;
use shallotrill_consensus::member::Peer;
use shallotrill_replica::forward;
use shallotrill_replica::forward::Refusal;
use shallotrill_replica::forward::Reply;
use shallotrill_replica::forward::Request;
use shallotrill_replica::forward::Response;

/// Timeout for a quorum. An election takes up to twice its timeout of 1 s.
const QUORUM_TIMEOUT: Duration = Duration::from_secs(4);

/// Timeout of a replacement: the catch-up timeout plus the steps before and after it.
const REPLACE_TIMEOUT: Duration = Duration::from_secs(40);

/// Interval before the request is retried when no leader is known.
const LEADER_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Submits a command to the leader and then waits up to [`QUORUM_TIMEOUT`] until this process has applied it.
///
/// # Errors
///
/// Returns [`Refusal`] when the leader reported no outcome. After [`Refusal::Undecided`] the command
/// may still be applied; after any other refusal it was not accepted.
pub(crate) async fn command(state: &Arc<State>, command: Command) -> Result<Outcome, Refusal> {
    let reply = send_to_leader(state, &Request::Command(command)).await?;
    match reply {
        Response::Applied { index, outcome } => {
            state.wait_applied(index, QUORUM_TIMEOUT).await;
            Ok(outcome)
        }
        Response::ReadAt(_) | Response::Replaced | Response::Joined => Err(Refusal::NoQuorum),
    }
}

/// Linearizable read: waits until this process has applied everything that was accepted before the call.
///
/// # Errors
///
/// Returns [`Refusal`] when no quorum confirms the read, so that the current configuration is not known here.
pub(crate) async fn read(state: &Arc<State>) -> Result<(), Refusal> {
    match send_to_leader(state, &Request::Read).await? {
        Response::ReadAt(index) if state.wait_applied(index, QUORUM_TIMEOUT).await => Ok(()),
        _ => Err(Refusal::NoQuorum),
    }
}

/// Replaces a member of the group.
///
/// # Errors
///
/// Returns [`Refusal`] with the reason; the command can be repeated.
pub(crate) async fn replace(state: &Arc<State>, old: u64, new: Peer) -> Result<(), Refusal> {
    send_to_leader(state, &Request::Replace { old, new })
        .await
        .map(|_| ())
}

/// Sends a request to the leader, which may be this process, and retries until it replies or the timeout expires.
async fn send_to_leader(state: &Arc<State>, request: &Request) -> Reply {
    let deadline = state.now() + reply_timeout(request);
    loop {
        let reply = match leader(state) {
            Some(leader) if leader == state.identity.peer => execute(state, request.clone()).await,
            Some(leader) => forward(state, leader, request).await,
            None => Err(Refusal::NotLeader(None)),
        };
        match reply {
            Err(Refusal::NotLeader(_)) if state.now() < deadline => {
                time::sleep(LEADER_RETRY_INTERVAL).await;
            }
            Err(Refusal::NotLeader(_)) => return Err(Refusal::NoQuorum),
            reply => return reply,
        }
    }
}

/// Timeout for the reply of the leader.
const fn reply_timeout(request: &Request) -> Duration {
    match request {
        Request::Command(_) | Request::Read => QUORUM_TIMEOUT,
        // The new member first has to catch up with the log.
        Request::Replace { .. } | Request::Join(_) => REPLACE_TIMEOUT,
    }
}

pub(crate) fn leader(state: &State) -> Option<Peer> {
    let now = state.now();
    let log = state.log.lock();
    log.replica.as_ref()?.status(now).leader
}

async fn forward(state: &State, leader: Peer, request: &Request) -> Reply {
    let Some(peer) = state.peers.get(leader.id.0) else {
        return Err(Refusal::NotLeader(None));
    };
    let reply = peer
        .call(forward::METHOD, request, reply_timeout(request))
        .await;
    match reply {
        Ok(reply) => reply,
        // A request that was not sent may be retried; a request that was sent may have been accepted.
        Err(failure) if failure.is_not_sent() => Err(Refusal::NotLeader(None)),
        Err(_) => Err(lost_reply_refusal(request)),
    }
}

/// Refusal for a request whose reply was lost.
const fn lost_reply_refusal(request: &Request) -> Refusal {
    match request {
        Request::Command(_) | Request::Replace { .. } | Request::Join(_) => Refusal::Undecided,
        Request::Read => Refusal::NoQuorum,
    }
}

/// Handles a forwarded request.
pub(crate) async fn handle(state: Arc<State>, request: Request) -> Reply {
    execute(&state, request).await
}

async fn execute(state: &Arc<State>, request: Request) -> Reply {
    match request {
        Request::Command(command) => propose(state, command).await,
        Request::Read => confirm_read(state).await,
        Request::Join(peer) => replace::join(state, peer).await.map(|()| Response::Joined),
        Request::Replace { old, new } => {
            // Boxed, because a replacement submits commands, which makes the future recursive.
            let replacement = Box::pin(replace::run(state, old, new));
            replacement.await.map(|()| Response::Replaced)
        }
    }
}

async fn propose(state: &Arc<State>, command: Command) -> Reply {
    let id = command.id;
    let bytes = postcard::to_allocvec(&command).expect("every command can be encoded");
    let position = {
        let now = state.now();
        let mut log = state.log.lock();
        let replica = log.replica.as_mut().ok_or(Refusal::NotLeader(None))?;
        replica.propose(now, bytes).map_err(convert_refusal)?
    };
    state.driver_wake.notify_one();
    let index = position.index.0;
    if !state.wait_applied(index, QUORUM_TIMEOUT).await {
        return Err(Refusal::Undecided);
    }
    // The entry may have been replaced by an entry of another leader; then the catalog has no reply to this command.
    let outcome = state.catalog.lock().reply(id).cloned();
    match outcome {
        Some(outcome) => Ok(Response::Applied { index, outcome }),
        None => Err(Refusal::NoQuorum),
    }
}

async fn confirm_read(state: &Arc<State>) -> Reply {
    let (sender, receiver) = oneshot::channel();
    {
        let now = state.now();
        let mut log = state.log.lock();
        let replica = log.replica.as_mut().ok_or(Refusal::NotLeader(None))?;
        let token = replica.read(now).map_err(convert_refusal)?;
        log.readers.push(Reader { token, sender });
    }
    state.driver_wake.notify_one();
    match time::timeout(QUORUM_TIMEOUT, receiver).await {
        Ok(Ok(Ok(index))) => Ok(Response::ReadAt(index)),
        Ok(Ok(Err(_))) => Err(Refusal::NotLeader(None)),
        Ok(Err(_)) | Err(_) => Err(Refusal::NoQuorum),
    }
}

fn convert_refusal(refusal: failure::Refusal) -> Refusal {
    match refusal {
        failure::Refusal::NotLeader(leader) => Refusal::NotLeader(leader),
        failure::Refusal::Overloaded { .. } => Refusal::Overloaded,
        other => Refusal::Member(other.to_string()),
    }
}
