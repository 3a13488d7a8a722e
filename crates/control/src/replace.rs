//! Replacement of a member, in steps that can be interrupted and repeated.
//!
//! A member that lost its disk keeps its number and gets another disk: it is
//! removed, added as a learner on the new disk, and promoted when it holds the
//! log. A member that is gone for good is replaced by another number: the new
//! one is added and promoted first, so that the group never has fewer voters
//! than before. Each step looks at the present members, so a repetition goes on
//! where an interrupted replacement stopped. The seat in the claim group
//! follows through the configuration.

use std::sync::Arc;
use std::time::Duration;

use log::warn;
use tokio::time;

use crate::bootstrap;
use crate::identity;
use crate::state::State;
use crate::submit;
use shallotrill_catalog::action::Action;
use shallotrill_catalog::command::Command;
use shallotrill_catalog::group;
use shallotrill_catalog::group::Group;
use shallotrill_catalog::member as listed;
use shallotrill_catalog::reply::Refusal as CatalogRefusal;
use shallotrill_catalog::reply::Reply as Outcome;
use shallotrill_consensus::change::Change;
use shallotrill_consensus::failure;
use shallotrill_consensus::member::Id;
use shallotrill_consensus::member::Peer;
use shallotrill_consensus::member::Role;
use shallotrill_consensus::member::Set;
use shallotrill_model::command::Id as CommandId;
use shallotrill_model::time::Instant;
use shallotrill_replica::forward::Refusal;

/// Longest time for the new member to catch up before the operator is told to repeat the command.
const CATCH_UP_LIMIT: Duration = Duration::from_secs(30);

/// Pause before a step that was refused for the moment is tried again.
const PAUSE: Duration = Duration::from_millis(100);

/// Replaces a member as the leader.
///
/// # Errors
///
/// Returns [`Refusal`] with the reason; the replacement goes on when it is asked for again.
pub(crate) async fn run(state: &Arc<State>, old: u64, new: Peer) -> Result<(), Refusal> {
    let old = Id(old);
    let deadline = state.now() + CATCH_UP_LIMIT;
    loop {
        let members = bootstrap::members(state).ok_or(Refusal::NotLeader(None))?;
        if is_mistaken(&members, old, new) {
            let reason = format!("members {} and {} both vote already", old.0, new.id.0);
            return Err(Refusal::Member(reason));
        }
        let Some(change) = next(&members, old, new) else {
            break;
        };
        take(state, change, deadline).await?;
    }
    replace_seats(state, old, new, deadline).await
}

/// Adds a member without a vote as the leader.
///
/// # Errors
///
/// Returns [`Refusal`] when the number belongs to a voter on another disk, which only an operator
/// replaces, or when the members cannot be changed now.
pub(crate) async fn join(state: &Arc<State>, new: Peer) -> Result<(), Refusal> {
    let deadline = state.now() + CATCH_UP_LIMIT;
    loop {
        let members = bootstrap::members(state).ok_or(Refusal::NotLeader(None))?;
        let change = match members.get(new.id) {
            None => Change::AddLearner(new),
            Some(member) if member.peer == new => return Ok(()),
            // Nothing was agreed by the lost disk of a learner.
            Some(member) if member.role == Role::Learner => Change::Remove(new.id),
            Some(_) => {
                let reason = "the disk of a voter was lost; an operator has to replace the member";
                return Err(Refusal::Member(reason.to_owned()));
            }
        };
        take(state, change, deadline).await?;
    }
}

/// Takes one step, or waits when it may succeed in a moment.
async fn take(state: &Arc<State>, change: Change, deadline: Instant) -> Result<(), Refusal> {
    match propose(state, change).await {
        Ok(()) => Ok(()),
        Err(Step::Later(reason)) if state.now() < deadline => {
            log::debug!(event = "member-change-waits"; "{reason}");
            time::sleep(PAUSE).await;
            Ok(())
        }
        Err(Step::Later(reason)) => Err(Refusal::Member(reason)),
        Err(Step::Refused(refusal)) => Err(refusal),
    }
}

/// The next change that brings the members nearer to the replacement; nothing when it is complete.
fn next(members: &Set, old: Id, new: Peer) -> Option<Change> {
    let present = members.get(new.id);
    if let Some(member) = present
        && member.peer != new
    {
        // The number is taken by the lost disk.
        return Some(Change::Remove(new.id));
    }
    match present.map(|member| member.role) {
        None => Some(Change::AddLearner(new)),
        Some(Role::Learner) => Some(Change::Promote(new.id)),
        Some(Role::Voter) if old != new.id && members.get(old).is_some() => {
            Some(Change::Remove(old))
        }
        Some(Role::Voter) => None,
    }
}

/// Whether the command would only make the group smaller.
///
/// Both may vote in the middle of a replacement, when the new one was promoted and the old one is
/// still there; the number of voters is even only then.
fn is_mistaken(members: &Set, old: Id, new: Peer) -> bool {
    let voters = members
        .all()
        .iter()
        .filter(|member| member.role == Role::Voter);
    let is_voter = |id| {
        members
            .get(id)
            .is_some_and(|member| member.role == Role::Voter)
    };
    old != new.id && is_voter(old) && is_voter(new.id) && voters.count() % 2 == 1
}

enum Step {
    /// The step may succeed in a moment.
    Later(String),
    Refused(Refusal),
}

async fn propose(state: &Arc<State>, change: Change) -> Result<(), Step> {
    let position = {
        let now = state.now();
        let mut log = state.log.lock();
        let replica = log
            .replica
            .as_mut()
            .ok_or(Step::Refused(Refusal::NotLeader(None)))?;
        replica
            .change(now, change)
            .map_err(|refusal| step(&refusal))?
    };
    state.wake.notify_one();
    let applied = state.wait_applied(position.index.0, CATCH_UP_LIMIT).await;
    if applied {
        Ok(())
    } else {
        Err(Step::Refused(Refusal::Undecided))
    }
}

fn step(refusal: &failure::Refusal) -> Step {
    match refusal {
        failure::Refusal::NotLeader(leader) => Step::Refused(Refusal::NotLeader(*leader)),
        failure::Refusal::Behind { .. }
        | failure::Refusal::ChangePending(_)
        | failure::Refusal::NotEstablished
        | failure::Refusal::Overloaded { .. } => Step::Later(refusal.to_string()),
        failure::Refusal::UnknownMember(_)
        | failure::Refusal::DuplicateMember(_)
        | failure::Refusal::LastVoter(_)
        | failure::Refusal::NotApplied { .. } => {
            Step::Refused(Refusal::Member(refusal.to_string()))
        }
    }
}

/// Gives the seats of the old member in claim groups to the new one, which then copies.
///
/// The seats are read only after a quorum confirmed what is in force: a process that has just been
/// elected may not have applied the configuration yet, and would find no seat to replace.
async fn replace_seats(
    state: &Arc<State>,
    old: Id,
    new: Peer,
    deadline: Instant,
) -> Result<(), Refusal> {
    let old = listed::Id(identity::short(old));
    let disk = listed::Disk(identity::folded(new.disk));
    loop {
        submit::read(state).await?;
        let Some(group) = outdated(state, old, disk) else {
            return Ok(());
        };
        let action = Action::ReplaceSeat {
            region: group.region,
            epoch: group.epoch,
            old,
            new: listed::Id(identity::short(new.id)),
            disk,
        };
        let command = own_command(state, action);
        match submit::command(state, command).await? {
            Outcome::Accepted(_) => {}
            // The group has changed since it was read.
            Outcome::Refused(CatalogRefusal::Group(group::Refusal::Epoch { .. }))
                if state.now() < deadline => {}
            Outcome::Refused(refusal) => {
                warn!(event = "seat-not-replaced", member = old.0; "{refusal}");
                return Err(Refusal::Member(refusal.to_string()));
            }
        }
    }
}

/// A claim group in which the member's seat is on another disk.
fn outdated(state: &State, member: listed::Id, disk: listed::Disk) -> Option<Group> {
    let catalog = state.catalog.lock();
    let mut groups = catalog.groups().iter().map(|entry| &entry.value);
    let is_outdated = |group: &&Group| {
        let seat = group.seats.iter().find(|seat| seat.member == member);
        seat.is_some_and(|seat| seat.disk != disk)
    };
    groups.find(is_outdated).cloned()
}

/// A command of the control processes themselves. Its id follows from its action, so that repetitions are one command.
pub(crate) fn own_command(state: &State, action: Action) -> Command {
    let bytes = postcard::to_allocvec(&action).expect("actions can be encoded");
    let mut id = [0; 16];
    id.copy_from_slice(&blake3::hash(&bytes).as_bytes()[..16]);
    Command {
        id: CommandId(u128::from_be_bytes(id)),
        base: None,
        operator: Arc::from("control"),
        at: state.clock.wall(),
        action,
    }
}
