//! Commands and reads of operators, at the leader or forwarded to it.

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

/// Longest wait for a quorum. An election takes up to twice its timeout of 1 s.
const QUORUM_LIMIT: Duration = Duration::from_secs(4);

/// Longest wait for a replacement: its own limit and the steps around it.
const REPLACE_LIMIT: Duration = Duration::from_secs(40);

/// Pause before a leader is looked for again.
const LEADER_PAUSE: Duration = Duration::from_millis(100);

/// Proposes a command and waits until it is applied here, wherever the leader is.
///
/// # Errors
///
/// Returns [`Refusal`] when no quorum applied it in time. It may still be applied later.
pub(crate) async fn command(state: &Arc<State>, command: Command) -> Result<Outcome, Refusal> {
    let answer = ask(state, &Request::Command(command)).await?;
    match answer {
        Response::Applied { index, outcome } => {
            state.wait_applied(index, QUORUM_LIMIT).await;
            Ok(outcome)
        }
        Response::ReadAt(_) | Response::Replaced | Response::Joined => Err(Refusal::NoQuorum),
    }
}

/// Waits until this process has applied everything that was accepted before the question.
///
/// # Errors
///
/// Returns [`Refusal`] when no quorum confirms it, so that nobody here can say what is in force.
pub(crate) async fn read(state: &Arc<State>) -> Result<(), Refusal> {
    match ask(state, &Request::Read).await? {
        Response::ReadAt(index) if state.wait_applied(index, QUORUM_LIMIT).await => Ok(()),
        _ => Err(Refusal::NoQuorum),
    }
}

/// Replaces a member of the group.
///
/// # Errors
///
/// Returns [`Refusal`] with the reason; the command can be repeated.
pub(crate) async fn replace(state: &Arc<State>, old: u64, new: Peer) -> Result<(), Refusal> {
    ask(state, &Request::Replace { old, new }).await.map(|_| ())
}

/// Asks the leader, which may be this process, until one answers or the time is up.
async fn ask(state: &Arc<State>, ask: &Request) -> Reply {
    let deadline = state.now() + limit(ask);
    loop {
        let reply = match leader(state) {
            Some(leader) if leader == state.identity.peer => serve(state, ask.clone()).await,
            Some(leader) => forward(state, leader, ask).await,
            None => Err(Refusal::NotLeader(None)),
        };
        match reply {
            Err(Refusal::NotLeader(_)) if state.now() < deadline => {
                time::sleep(LEADER_PAUSE).await;
            }
            Err(Refusal::NotLeader(_)) => return Err(Refusal::NoQuorum),
            reply => return reply,
        }
    }
}

/// Longest wait for the leader's answer.
const fn limit(ask: &Request) -> Duration {
    match ask {
        Request::Command(_) | Request::Read => QUORUM_LIMIT,
        // The new member first has to hold the log.
        Request::Replace { .. } | Request::Join(_) => REPLACE_LIMIT,
    }
}

pub(crate) fn leader(state: &State) -> Option<Peer> {
    let now = state.now();
    let log = state.log.lock();
    log.replica.as_ref()?.status(now).leader
}

async fn forward(state: &State, leader: Peer, ask: &Request) -> Reply {
    let Some(peer) = state.peers.get(leader.id.0) else {
        return Err(Refusal::NotLeader(None));
    };
    let asked = peer.call(forward::METHOD, ask, limit(ask)).await;
    match asked {
        Ok(reply) => reply,
        // A question that was not sent may be asked again; what was sent may have been accepted.
        Err(failure) if failure.is_not_sent() => Err(Refusal::NotLeader(None)),
        Err(_) => Err(open(ask)),
    }
}

/// What may have become of a question whose answer is lost.
const fn open(ask: &Request) -> Refusal {
    match ask {
        Request::Command(_) | Request::Replace { .. } | Request::Join(_) => Refusal::Undecided,
        Request::Read => Refusal::NoQuorum,
    }
}

/// Answers a question as the leader.
pub(crate) async fn answer(state: Arc<State>, ask: Request) -> Reply {
    serve(&state, ask).await
}

async fn serve(state: &Arc<State>, ask: Request) -> Reply {
    match ask {
        Request::Command(command) => propose(state, command).await,
        Request::Read => confirm(state).await,
        Request::Join(peer) => replace::join(state, peer).await.map(|()| Response::Joined),
        Request::Replace { old, new } => {
            // Boxed, because a replacement itself submits commands.
            let replacing = Box::pin(replace::run(state, old, new));
            replacing.await.map(|()| Response::Replaced)
        }
    }
}

async fn propose(state: &Arc<State>, command: Command) -> Reply {
    let id = command.id;
    let bytes = postcard::to_allocvec(&command).expect("commands can be encoded");
    let position = {
        let now = state.now();
        let mut log = state.log.lock();
        let replica = log.replica.as_mut().ok_or(Refusal::NotLeader(None))?;
        replica.propose(now, bytes).map_err(refusal)?
    };
    state.wake.notify_one();
    let index = position.index.0;
    if !state.wait_applied(index, QUORUM_LIMIT).await {
        return Err(Refusal::Undecided);
    }
    // Another leader's entry may have taken the place; then there is no reply to this command.
    let outcome = state.catalog.lock().reply(id).cloned();
    match outcome {
        Some(outcome) => Ok(Response::Applied { index, outcome }),
        None => Err(Refusal::NoQuorum),
    }
}

async fn confirm(state: &Arc<State>) -> Reply {
    let (sender, receiver) = oneshot::channel();
    {
        let now = state.now();
        let mut log = state.log.lock();
        let replica = log.replica.as_mut().ok_or(Refusal::NotLeader(None))?;
        let token = replica.read(now).map_err(refusal)?;
        log.readers.push(Reader { token, sender });
    }
    state.wake.notify_one();
    match time::timeout(QUORUM_LIMIT, receiver).await {
        Ok(Ok(Ok(index))) => Ok(Response::ReadAt(index)),
        Ok(Ok(Err(_))) => Err(Refusal::NotLeader(None)),
        Ok(Err(_)) | Err(_) => Err(Refusal::NoQuorum),
    }
}

fn refusal(refusal: failure::Refusal) -> Refusal {
    match refusal {
        failure::Refusal::NotLeader(leader) => Refusal::NotLeader(leader),
        failure::Refusal::Overloaded { .. } => Refusal::Overloaded,
        other => Refusal::Member(other.to_string()),
    }
}
