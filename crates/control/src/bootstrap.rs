//! Forms or finds the group of control processes at start.
//!
//! A process that has stored the members of its group uses them. A process
//! with an empty disk sends a hello request to the configured initial voters.
//! When every initial voter replies that it has no group either, they form
//! one. When a reply contains a group that lists this disk, this process was
//! part of the formation and adopts the group. When the group lists another
//! disk for this process, its disk was lost: it must not vote, and waits until
//! an operator replaces the member.

use std::sync::Arc;
use std::time::Duration;

use log::info;
use tokio::time;

use crate::driver;
use crate::state::State;
use crate::store::Error;
use crate::store::Store;
use shallotrill_consensus::Config;
use shallotrill_consensus::Replica;
use shallotrill_consensus::member::Id;
use shallotrill_consensus::member::Peer;
use shallotrill_consensus::member::Set;
use shallotrill_replica::hello;

const HELLO_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval between two rounds of hello requests.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// Result of one round of hello requests.
enum HelloResult {
    /// This process is a member of the group with these initial members, which was formed now or exists already.
    Member(Set),
    /// This process joins an existing group without a vote, for this reason: see [`crate::join`].
    Join(String),
    /// Not every initial voter replied; contains the reason for the state dump.
    Wait(String),
}

/// Waits until this process belongs to a group, and starts its replica.
///
/// # Errors
///
/// Returns [`Error`] when the disk failed.
///
/// # Panics
///
/// Panics when the stored entries are not contiguous, which the checks of the journal exclude.
pub(crate) async fn run(
    state: &Arc<State>,
    store: &mut Store,
    voters: &[u64],
) -> Result<(), Error> {
    let members = match store.formed() {
        Some(members) => members.clone(),
        None => find_group(state, voters).await,
    };
    if store.formed().is_none() {
        store.form(members.clone()).await?;
        state.log.lock().formed = Some(members.clone());
    }
    let own = state.identity.peer;
    if let Some(snapshot) = &store.restored().snapshot {
        driver::install(state, snapshot);
    }
    info!(event = "group-joined", members = members.all().len(), votes = members.is_voter(own); "this process belongs to a group");
    let config = Config::new(own, members, rand::random());
    let replica = Replica::new(config, store.restored(), state.now());
    let replica = replica.expect("the journal contains contiguous entries");
    let mut log = state.log.lock();
    log.replica = Some(replica);
    log.waiting = None;
    drop(log);
    state.driver_wake.notify_one();
    Ok(())
}

async fn find_group(state: &Arc<State>, voters: &[u64]) -> Set {
    loop {
        match hello_round(state, voters).await {
            HelloResult::Member(members) => return members,
            HelloResult::Join(reason) => {
                info!(event = "not-a-member"; "joining without a vote: {reason}");
                return Set::default();
            }
            HelloResult::Wait(reason) => {
                state.log.lock().waiting = Some(reason);
                time::sleep(RETRY_INTERVAL).await;
            }
        }
    }
}

async fn hello_round(state: &Arc<State>, voters: &[u64]) -> HelloResult {
    let own = state.identity.peer;
    let mut peers = vec![own];
    let mut missing = Vec::new();
    for id in voters.iter().copied().filter(|id| *id != own.id.0) {
        match request_hello(state, id).await {
            Some(hello::Reply {
                formed: Some(members),
                ..
            }) if !members.all().is_empty() => return adopt(own, members),
            // A reply with `formed` set but without members comes from a process that joined an existing
            // group without a vote, so no new group may be formed.
            Some(reply) if reply.own.id == Id(id) && reply.formed.is_none() => {
                peers.push(reply.own);
            }
            _ => missing.push(id),
        }
    }
    if !voters.contains(&own.id.0) {
        return HelloResult::Join("this process is not among the initial voters".to_owned());
    }
    if missing.is_empty() {
        return HelloResult::Member(Set::voters(&peers));
    }
    HelloResult::Wait(format!("initial voters {missing:?} have not replied"))
}

fn adopt(own: Peer, members: Set) -> HelloResult {
    match members.get(own.id) {
        Some(member) if member.peer == own => HelloResult::Member(members),
        Some(_) => HelloResult::Join(
            "the group lists another disk for this process: the disk was lost or replaced; \
             an operator has to replace the member"
                .to_owned(),
        ),
        None => HelloResult::Join("the group does not list this process".to_owned()),
    }
}

async fn request_hello(state: &State, id: u64) -> Option<hello::Reply> {
    let peer = state.peers.get(id)?;
    let request = hello::Request {
        own: state.identity.peer,
    };
    peer.call(hello::METHOD, &request, HELLO_TIMEOUT).await.ok()
}

/// Handles a hello request: reports the identity of this process and its group.
pub(crate) async fn hello(state: Arc<State>, _request: hello::Request) -> hello::Reply {
    hello::Reply {
        own: state.identity.peer,
        instance: state.identity.instance.clone(),
        zone: state.identity.zone.clone(),
        region: state.identity.region.clone(),
        formed: members(&state).or_else(|| state.log.lock().formed.clone()),
    }
}

/// Current members of the group as known to this process; `None` before its replica is started.
pub(crate) fn members(state: &State) -> Option<Set> {
    let now = state.now();
    let log = state.log.lock();
    let replica = log.replica.as_ref()?;
    let mut set = Set::default();
    for progress in replica.status(now).members {
        set.insert(progress.member);
    }
    Some(set)
}
