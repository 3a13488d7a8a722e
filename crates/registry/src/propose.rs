//! Brings a change into force: reads a majority, decides, and has a majority accept.

use std::error;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use log::info;
use log::warn;
use rand::RngExt;
use tokio::task::JoinSet;
use tokio::time;

use crate::members;
use crate::state::State;
use shallotrill_feed::message::Reply;
use shallotrill_feed::message::Request;
use shallotrill_items::ballot::Ballot;
use shallotrill_items::change::Refusal;
use shallotrill_items::check;
use shallotrill_items::item::Item;
use shallotrill_items::item::Key;
use shallotrill_items::proposal;
use shallotrill_items::proposal::Plan;
use shallotrill_items::proposal::QuorumRead;

/// Longest wait for a majority in one step; a slow disk syncs in a few hundred milliseconds.
const STEP_LIMIT: Duration = Duration::from_millis(900);

/// Proposals that are tried before the operator is told to ask again.
const TRIES: u32 = 4;

/// Longest pause after a proposal was overtaken; the actual one is random, so that two proposers part.
const PAUSE_MAX_MS: u64 = 120;

/// A replica that did not take part is sent the committed items within this time, else it copies them later.
const COMMIT_LIMIT: Duration = Duration::from_secs(1);

/// Why a change is not in force.
#[derive(Debug)]
pub enum Failure {
    /// It is refused and will never be in force.
    Refused(Refusal),
    /// No majority answered; the change may or may not come into force.
    Unavailable {
        /// Replicas that answered.
        answered: usize,
        /// Replicas that are needed.
        needed: usize,
    },
    /// Other proposals kept coming first; the change may or may not come into force.
    Overtaken,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused(refusal) => refusal.fmt(f),
            Self::Unavailable { answered, needed } => {
                write!(f, "{answered} replicas answered and {needed} are needed")
            }
            Self::Overtaken => f.write_str("other changes of the same items came first"),
        }
    }
}

impl error::Error for Failure {}

/// Brings a change into force.
///
/// # Errors
///
/// Returns a [`Failure`] that says whether the change can still come into force.
pub async fn change(state: &Arc<State>, items: &[Item]) -> Result<(), Failure> {
    let keys = check::required_keys(items);
    let plan = settle(state, keys, &|reading| proposal::plan(items, reading)).await;
    let outcome = match plan {
        Ok(plan) => plan.refusal.map_or(Ok(()), |r| Err(Failure::Refused(r))),
        Err(failure) => Err(failure),
    };
    state.metrics.changed(match &outcome {
        Ok(()) => "accepted",
        Err(Failure::Refused(_)) => "refused",
        Err(_) => "unclear",
    });
    match &outcome {
        Ok(()) => info!(event = "change-accepted", items = items.len(); ""),
        Err(failure) => warn!(event = "change-not-accepted", items = items.len(); "{failure}"),
    }
    outcome
}

/// Settles registers whose last proposal may have been cut short.
///
/// # Errors
///
/// Returns a [`Failure`] when no majority answers.
pub async fn repair(state: &Arc<State>, keys: Vec<Key>) -> Result<(), Failure> {
    let wanted = keys.clone();
    let latest = move |reading: &QuorumRead| Plan {
        items: wanted
            .iter()
            .filter_map(|k| reading.get(k))
            .cloned()
            .collect(),
        refusal: None,
    };
    settle(state, keys, &latest).await.map(|_| ())
}

type Decide<'a> = dyn Fn(&QuorumRead) -> Plan + Send + Sync + 'a;

async fn settle(state: &Arc<State>, keys: Vec<Key>, decide: &Decide<'_>) -> Result<Plan, Failure> {
    for _ in 0..TRIES {
        let ballot = next_ballot(state);
        match attempt(state, ballot, &keys, decide).await {
            Ok(plan) => return Ok(plan),
            Err(Step::Failed(failure)) => return Err(failure),
            Err(Step::Overtaken(by)) => {
                let mut agreement = state.agreement.lock();
                agreement.seen = agreement.seen.max(by);
            }
        }
        let pause = rand::rng().random_range(5..PAUSE_MAX_MS);
        time::sleep(Duration::from_millis(pause)).await;
    }
    Err(Failure::Overtaken)
}

fn next_ballot(state: &State) -> Ballot {
    let mut agreement = state.agreement.lock();
    agreement.seen = Ballot::above(agreement.seen, state.proposer);
    agreement.seen
}

/// Why one try ended.
enum Step {
    Overtaken(Ballot),
    Failed(Failure),
}

async fn attempt(
    state: &Arc<State>,
    ballot: Ballot,
    keys: &[Key],
    decide: &Decide<'_>,
) -> Result<Plan, Step> {
    let mut reading = QuorumRead::new(keys.to_vec());
    let prepare = Request::Prepare {
        ballot,
        keys: keys.to_vec(),
    };
    for reply in gather(state, prepare).await? {
        if let Reply::Promised(shown) = reply {
            reading.add(shown);
        }
    }
    let plan = decide(&reading);
    if plan.items.is_empty() {
        return Ok(plan);
    }
    let items = plan.items.clone();
    gather(state, Request::Accept { ballot, items }).await?;
    commit(state, ballot, &plan.items);
    Ok(plan)
}

/// Marks items as committed here and tells the others, without waiting for them.
fn commit(state: &Arc<State>, ballot: Ballot, items: &[Arc<Item>]) {
    let request = Arc::new(Request::Commit {
        ballot,
        items: items.to_vec(),
    });
    members::commit(state, ballot, items);
    for peer in state.peers() {
        let request = Arc::clone(&request);
        tokio::spawn(async move {
            if let Err(error) = peer.link.call(&request, COMMIT_LIMIT).await {
                log::debug!(event = "commit-not-sent"; "{error}");
            }
        });
    }
}

/// Asks all voters and waits for a majority.
async fn gather(state: &Arc<State>, request: Request) -> Result<Vec<Reply>, Step> {
    let needed = state.agreement.lock().roster.quorum(state.now());
    let request = Arc::new(request);
    let mut asked = JoinSet::new();
    for peer in state.peers() {
        let request = Arc::clone(&request);
        asked.spawn(async move { peer.link.call(&request, STEP_LIMIT).await.ok() });
    }
    let own = Arc::clone(state);
    asked.spawn(async move { Some(members::answer(&own, &request).await) });
    let mut replies = Vec::with_capacity(needed);
    let mut overtaken = None;
    while let Some(reply) = asked.join_next().await {
        match reply {
            Ok(Some(reply @ (Reply::Promised(_) | Reply::Done))) => replies.push(reply),
            Ok(Some(Reply::Overtaken(by))) => overtaken = overtaken.max(Some(by)),
            _ => {}
        }
        if replies.len() >= needed {
            // The rest still goes out, so that all replicas hold the items soon.
            asked.detach_all();
            return Ok(replies);
        }
    }
    match overtaken {
        Some(by) => Err(Step::Overtaken(by)),
        None => Err(Step::Failed(Failure::Unavailable {
            answered: replies.len(),
            needed,
        })),
    }
}
