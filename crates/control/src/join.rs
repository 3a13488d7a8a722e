//! Joins the group as a learner, which receives the log without a vote.
//!
//! Three to seven control processes vote; all others replicate the log as
//! learners, so that they can feed nodes. A process that is not a member
//! repeats its request to the leader until it is added.

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
use shallotrill_replica::peers::PeerConnection;

/// Timeout of a join request. The leader may have to finish other membership changes first.
const JOIN_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval between join attempts.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Requests to be added until this process is a member.
pub(crate) async fn run(state: Arc<State>) {
    let own = state.identity.peer;
    loop {
        let members = bootstrap::members(&state);
        if members.as_ref().is_some_and(|set| set.contains(own)) {
            return;
        }
        if members.is_some()
            && let Err(refusal) = join_any(&state).await
        {
            warn!(event = "not-joined"; "cannot join the group, retrying: {refusal:?}");
        }
        time::sleep(RETRY_INTERVAL).await;
    }
}

/// Sends a join request to one process after another, following hints to the leader.
async fn join_any(state: &State) -> Result<(), Refusal> {
    for peer in state.peers.all() {
        let mut reply = request_join(state, peer).await;
        if let Some(Err(Refusal::NotLeader(Some(leader)))) = &reply
            && let Some(leader) = state.peers.get(leader.id.0)
        {
            reply = request_join(state, leader).await;
        }
        match reply {
            Some(Ok(Response::Joined)) => {
                info!(event = "joined-as-learner"; "joined the group as a learner");
                return Ok(());
            }
            Some(Err(refusal @ Refusal::Member(_))) => return Err(refusal),
            Some(_) | None => {}
        }
    }
    Err(Refusal::NotLeader(None))
}

async fn request_join(state: &State, peer: &Arc<PeerConnection>) -> Option<Reply> {
    let request = Request::Join(state.identity.peer);
    peer.call(forward::METHOD, &request, JOIN_TIMEOUT)
        .await
        .ok()
}
