//! How a control process comes to belong to a group.
//!
//! A process that has written the members of its group goes on with them. A
//! process with an empty disk asks the others. When every first voter answers
//! that it has none either, they form the group. When one answers with a group
//! that lists this disk, this process was part of the forming and takes the
//! group over. When the group lists another disk for this process, its disk
//! was lost: it must not vote, and waits until an operator replaces it.

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

/// Longest wait for the answer of another process.
const HELLO_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause between two rounds of questions.
const PAUSE: Duration = Duration::from_millis(300);

/// What the answers of a round mean.
enum Round {
    /// This process belongs to the group of these first members.
    Formed(Set),
    /// This process joins a group that exists, without a vote: see [`crate::join`].
    Join(String),
    /// Not every first voter answered.
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
/// Panics when the entries on the disk do not follow each other, which the journal's checks exclude.
pub(crate) async fn run(
    state: &Arc<State>,
    store: &mut Store,
    voters: &[u64],
) -> Result<(), Error> {
    let members = match store.formed() {
        Some(members) => members.clone(),
        None => find(state, voters).await,
    };
    if store.formed().is_none() {
        store.form(members.clone()).await?;
        state.log.lock().formed = Some(members.clone());
    }
    let own = state.identity.peer;
    if let Some(snapshot) = &store.restored().snapshot {
        driver::install(state, snapshot);
    }
    info!(event = "group-joined", members = members.all().len(), votes = members.is_voter(own); "");
    let config = Config::new(own, members, rand::random());
    let replica = Replica::new(config, store.restored(), state.now());
    let replica = replica.expect("the journal yields entries in order");
    let mut log = state.log.lock();
    log.replica = Some(replica);
    log.waiting = None;
    drop(log);
    state.wake.notify_one();
    Ok(())
}

async fn find(state: &Arc<State>, voters: &[u64]) -> Set {
    loop {
        match round(state, voters).await {
            Round::Formed(members) => return members,
            Round::Join(reason) => {
                info!(event = "not-a-member"; "{reason}");
                return Set::default();
            }
            Round::Wait(reason) => {
                state.log.lock().waiting = Some(reason);
                time::sleep(PAUSE).await;
            }
        }
    }
}

async fn round(state: &Arc<State>, voters: &[u64]) -> Round {
    let own = state.identity.peer;
    let mut peers = vec![own];
    let mut missing = Vec::new();
    for id in voters.iter().copied().filter(|id| *id != own.id.0) {
        match ask(state, id).await {
            Some(hello::Reply {
                formed: Some(members),
                ..
            }) if !members.all().is_empty() => return adopt(own, members),
            // A process that has joined a group without a vote proves that there is one.
            Some(reply) if reply.own.id == Id(id) && reply.formed.is_none() => {
                peers.push(reply.own);
            }
            _ => missing.push(id),
        }
    }
    if !voters.contains(&own.id.0) {
        return Round::Join("this process is not among the first voters".to_owned());
    }
    if missing.is_empty() {
        return Round::Formed(Set::voters(&peers));
    }
    Round::Wait(format!("first voters {missing:?} have not answered"))
}

fn adopt(own: Peer, members: Set) -> Round {
    match members.get(own.id) {
        Some(member) if member.peer == own => Round::Formed(members),
        Some(_) => Round::Join(
            "the group lists another disk for this process: the disk was lost or replaced; \
             an operator has to replace the member"
                .to_owned(),
        ),
        None => Round::Join("the group does not list this process".to_owned()),
    }
}

async fn ask(state: &State, id: u64) -> Option<hello::Reply> {
    let peer = state.peers.get(id)?;
    let ask = hello::Request {
        own: state.identity.peer,
    };
    peer.call(hello::METHOD, &ask, HELLO_TIMEOUT).await.ok()
}

/// Answers another process that asks who this one is.
pub(crate) async fn hello(state: Arc<State>, _ask: hello::Request) -> hello::Reply {
    hello::Reply {
        own: state.identity.peer,
        instance: state.identity.instance.clone(),
        zone: state.identity.zone.clone(),
        region: state.identity.region.clone(),
        formed: members(&state).or_else(|| state.log.lock().formed.clone()),
    }
}

/// The members of the group as this process knows them, if it belongs to one.
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
