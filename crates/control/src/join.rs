//! How a control process without a vote comes to hold the log.
//!
//! Three to seven control processes vote; all others hold the log as learners,
//! so that they can feed nodes. A process that is in no group asks the leader
//! to add it, until it is added.

use std::sync::Arc;
use std::time::Duration;

use log::info;
use log::warn;
use tokio::time;

use crate::bootstrap;
use crate::state::State;
use shallotrill_replica::forward;
use shallotrill_replica::forward::Refusal;
use shallotrill_replica::forward::Reply;
use shallotrill_replica::forward::Request;
use shallotrill_replica::forward::Response;
use shallotrill_replica::peers::Peer;

/// Longest wait for the answer of a leader, which may have to finish other changes of members first.
const JOIN_TIMEOUT: Duration = Duration::from_secs(10);

/// Pause between two attempts.
const PAUSE: Duration = Duration::from_secs(1);

/// Asks to be added until this process is a member.
pub(crate) async fn run(state: Arc<State>) {
    let own = state.identity.peer;
    loop {
        let members = bootstrap::members(&state);
        if members.as_ref().is_some_and(|set| set.contains(own)) {
            return;
        }
        if members.is_some()
            && let Err(refusal) = ask_any(&state).await
        {
            warn!(event = "not-joined"; "{refusal:?}");
        }
        time::sleep(PAUSE).await;
    }
}

/// Asks one process after another until one leads or names the leader.
async fn ask_any(state: &State) -> Result<(), Refusal> {
    for peer in state.peers.all() {
        let mut reply = ask(state, peer).await;
        if let Some(Err(Refusal::NotLeader(Some(leader)))) = &reply
            && let Some(leader) = state.peers.get(leader.id.0)
        {
            reply = ask(state, leader).await;
        }
        match reply {
            Some(Ok(Response::Joined)) => {
                info!(event = "joined-as-learner"; "");
                return Ok(());
            }
            Some(Err(refusal @ Refusal::Member(_))) => return Err(refusal),
            Some(_) | None => {}
        }
    }
    Err(Refusal::NotLeader(None))
}

async fn ask(state: &State, peer: &Arc<Peer>) -> Option<Reply> {
    let question = Request::Join(state.identity.peer);
    peer.call(forward::METHOD, &question, JOIN_TIMEOUT)
        .await
        .ok()
}
