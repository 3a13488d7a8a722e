//! Proposes changes of items: reads the registers of a quorum, decides, and has a quorum accept the result.

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
use shallotrill_items::replica::Accepted;
use shallotrill_items::replica::Proposed;
use shallotrill_items::roster::Change;
use shallotrill_items::voters;
use shallotrill_items::voters::Voter;

/// Longest wait for a quorum in one step; a slow disk syncs in a few hundred milliseconds.
const STEP_TIMEOUT: Duration = Duration::from_millis(900);

/// Maximum number of proposals for one change; then it fails and the operator must send it again.
const PROPOSALS_MAX: u32 = 4;

/// Maximum number of steps for one change, including those that settle proposals of others. An operator's patience
/// ends earlier.
const STEPS_MAX: u32 = 32;

/// Longest delay after a proposal was overtaken. The delay is random, so that two competing
/// proposers do not keep overtaking each other.
const RETRY_DELAY_MAX_MS: u64 = 120;

/// Timeout of sending committed items to a replica; one that does not receive them copies them later.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a change is not known to be in force.
#[derive(Debug)]
pub enum Failure {
    /// The change is refused and never comes into force.
    Refused(Refusal),
    /// No quorum responded; the change may or may not come into force.
    Unavailable {
        /// Number of replicas that responded.
        answered: usize,
        /// Number of replicas that must respond.
        needed: usize,
    },
    /// Every proposal was overtaken by others; the change may or may not come into force.
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
/// Returns a [`Failure`], from which it follows whether the change can still come into force.
pub async fn change(state: &Arc<State>, items: &[Item]) -> Result<(), Failure> {
    let keys = check::required_keys(items);
    let decide = |reading: &QuorumRead, _: &[Ballot]| proposal::plan(items, reading);
    let plan = propose(state, keys, Electors::InForce, &decide).await;
    let outcome = match plan {
        Ok(plan) => plan.refusal.map_or(Ok(()), |r| Err(Failure::Refused(r))),
        Err(failure) => Err(failure),
    };
    state.metrics.record_change(match &outcome {
        Ok(()) => "accepted",
        Err(Failure::Refused(_)) => "refused",
        Err(_) => "unclear",
    });
    match &outcome {
        Ok(()) => info!(event = "change-accepted", items = items.len(); "change is in force"),
        Err(failure) => warn!(
            event = "change-not-accepted",
            items = items.len();
            "change is not known to be in force: {failure}"
        ),
    }
    outcome
}

/// Completes or withdraws the latest proposals of registers, which may have been interrupted.
///
/// # Errors
///
/// Returns a [`Failure`] when no quorum responds or every proposal is overtaken.
pub async fn repair(state: &Arc<State>, mut keys: Vec<Key>) -> Result<(), Failure> {
    keys.sort();
    let wanted = keys.clone();
    let unchanged = move |reading: &QuorumRead, settled: &[Ballot]| {
        let keys = wanted.iter();
        let keys = keys.filter(|key| !reading.is_settled(key, settled));
        let keys: Vec<Key> = keys.cloned().collect();
        Plan {
            items: reading.unchanged(&keys),
            refusal: None,
            missing: Vec::new(),
        }
    };
    let proposed = propose(state, keys, Electors::InForce, &unchanged);
    proposed.await.map(|_| ())
}

/// Brings the next version of the voters into force.
///
/// # Errors
///
/// Returns a [`Failure`] when no quorum of the present version responds or every proposal is overtaken.
pub(crate) async fn change_voters(state: &Arc<State>, change: &Change) -> Result<(), Failure> {
    let electors = match change.base {
        0 => Electors::First(&change.list),
        _ => Electors::InForce,
    };
    let plan =
        |reading: &QuorumRead, _: &[Ballot]| voters::plan(change.base, &change.list, reading);
    let proposed = propose(state, vec![voters::key()], electors, &plan);
    proposed.await.map(|_| ())
}

/// The processes of which a proposal needs a quorum.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Electors<'a> {
    /// The voters in force.
    InForce,
    /// All of those that are to be the first list.
    First(&'a [Voter]),
}

impl Electors<'_> {
    /// The voters to state in requests, and how many of them must reply.
    fn resolve(self, state: &State) -> Result<(Accepted, usize), Failure> {
        let consensus = state.consensus.lock();
        let quorum = consensus.roster.quorum();
        match (consensus.voters(), self) {
            (Some(in_force), _) => Ok((in_force, quorum)),
            (None, Electors::First(list)) => Ok((voters::first(list.to_vec()), list.len())),
            (None, Electors::InForce) => Err(Failure::Unavailable {
                answered: 0,
                needed: quorum,
            }),
        }
    }
}

/// Decides what to propose, given what a quorum has accepted and the ballots of the proposals that were settled.
pub(crate) type Decide<'a> = dyn Fn(&QuorumRead, &[Ballot]) -> Plan + Send + Sync + 'a;

/// Has a quorum accept what `decide` proposes for the registers of `keys`, and returns that.
pub(crate) async fn propose(
    state: &Arc<State>,
    mut keys: Vec<Key>,
    electors: Electors<'_>,
    decide: &Decide<'_>,
) -> Result<Plan, Failure> {
    let mut settled = Vec::new();
    let mut overtaken = 0;
    // Each step below settles a proposal, adds its registers, or counts as overtaken.
    for _ in 0..STEPS_MAX {
        let ballot = next_ballot(state);
        let electors = electors.resolve(state)?;
        match attempt(state, ballot, &electors, &keys, &settled, decide).await {
            Ok(Step::Proposed(plan)) => return Ok(plan),
            Ok(Step::Settled) => settled.push(ballot),
            Ok(Step::Missing(missing)) => {
                keys.extend(missing);
                keys.sort();
                keys.dedup();
            }
            Err(AttemptFailure::Failed(failure)) => return Err(failure),
            Err(AttemptFailure::Outdated) => {}
            Err(AttemptFailure::Overtaken(by)) => {
                {
                    let mut consensus = state.consensus.lock();
                    consensus.highest_ballot = consensus.highest_ballot.max(by);
                }
                overtaken += 1;
                if overtaken >= PROPOSALS_MAX {
                    break;
                }
                let delay = rand::rng().random_range(5..RETRY_DELAY_MAX_MS);
                time::sleep(Duration::from_millis(delay)).await;
            }
        }
    }
    Err(Failure::Overtaken)
}

fn next_ballot(state: &State) -> Ballot {
    let mut consensus = state.consensus.lock();
    consensus.highest_ballot = Ballot::above(consensus.highest_ballot, state.proposer);
    consensus.highest_ballot
}

/// Why one proposal failed.
enum AttemptFailure {
    Overtaken(Ballot),
    /// Another version of the voters is in force, which is known here now.
    Outdated,
    Failed(Failure),
}

/// What one attempt has achieved.
enum Step {
    /// A quorum has accepted the plan.
    Proposed(Plan),
    /// A quorum has accepted an unsettled proposal of others, or its withdrawal.
    Settled,
    /// An unsettled proposal or the change has more registers, which must be read too.
    Missing(Vec<Key>),
}

async fn attempt(
    state: &Arc<State>,
    ballot: Ballot,
    electors: &(Accepted, usize),
    keys: &[Key],
    settled: &[Ballot],
    decide: &Decide<'_>,
) -> Result<Step, AttemptFailure> {
    let mut reading = QuorumRead::new(keys.to_vec());
    let prepare = Request::Prepare {
        ballot,
        keys: keys.to_vec(),
        voters: electors.0.clone(),
    };
    for reply in call_quorum(state, prepare, electors.1).await? {
        if let Reply::Promised(promise) = reply {
            reading.add(promise);
        }
    }
    let missing = reading.missing_keys(settled);
    if !missing.is_empty() {
        return Ok(Step::Missing(missing));
    }
    if let Some(items) = reading.unsettled(settled) {
        accept(state, ballot, electors, items).await?;
        return Ok(Step::Settled);
    }
    let plan = decide(&reading, settled);
    if !plan.missing.is_empty() {
        return Ok(Step::Missing(plan.missing));
    }
    if !plan.items.is_empty() {
        accept(state, ballot, electors, plan.items.clone()).await?;
    }
    Ok(Step::Proposed(plan))
}

/// Has a quorum accept the items of a proposal, and commits them.
async fn accept(
    state: &Arc<State>,
    ballot: Ballot,
    electors: &(Accepted, usize),
    items: Vec<Proposed>,
) -> Result<(), AttemptFailure> {
    let accepted: Vec<Arc<Item>> = items.iter().map(|p| Arc::clone(&p.item)).collect();
    let request = Request::Accept {
        ballot,
        items,
        voters: electors.0.clone(),
    };
    call_quorum(state, request, electors.1).await?;
    commit(state, ballot, &accepted);
    Ok(())
}

/// Commits items locally and notifies the other replicas, without waiting for them.
fn commit(state: &Arc<State>, ballot: Ballot, items: &[Arc<Item>]) {
    let request = Arc::new(Request::Commit {
        ballot,
        items: items.to_vec(),
    });
    members::commit(state, ballot, items);
    for peer in state.peers() {
        let request = Arc::clone(&request);
        tokio::spawn(async move {
            if let Err(error) = peer.link.call(&request, COMMIT_TIMEOUT).await {
                log::debug!(event = "commit-not-sent"; "cannot send committed items to a replica: {error}");
            }
        });
    }
}

/// Sends a request to all replicas, including the local one, and waits for the replies of a quorum. Only voters of the
/// list in the request reply with a promise or an acceptance.
async fn call_quorum(
    state: &Arc<State>,
    request: Request,
    needed: usize,
) -> Result<Vec<Reply>, AttemptFailure> {
    let request = Arc::new(request);
    let mut calls = JoinSet::new();
    for peer in state.peers() {
        let request = Arc::clone(&request);
        calls.spawn(async move { peer.link.call(&request, STEP_TIMEOUT).await.ok() });
    }
    let local = Arc::clone(state);
    calls.spawn(async move { Some(members::handle(&local, &request).await) });
    let mut replies = Vec::with_capacity(needed);
    let mut overtaken = None;
    while let Some(reply) = calls.join_next().await {
        match reply {
            Ok(Some(reply @ (Reply::Promised(_) | Reply::Done))) => replies.push(reply),
            Ok(Some(Reply::Overtaken(by))) => overtaken = overtaken.max(Some(by)),
            Ok(Some(Reply::Outdated(voters))) => {
                members::commit(state, voters.ballot, &[voters.item]);
                return Err(AttemptFailure::Outdated);
            }
            _ => {}
        }
        if replies.len() >= needed {
            // The remaining calls are completed, so that all replicas have the items soon.
            calls.detach_all();
            return Ok(replies);
        }
    }
    match overtaken {
        Some(by) => Err(AttemptFailure::Overtaken(by)),
        None => Err(AttemptFailure::Failed(Failure::Unavailable {
            answered: replies.len(),
            needed,
        })),
    }
}
