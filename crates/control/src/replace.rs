//! Replaces a member of the group, in steps that can be interrupted and repeated.
//!
//! A member that lost its disk keeps its number and gets another disk: it is
//! removed, added as a learner on the new disk, and promoted when it has caught
//! up with the log. A member that is permanently lost is replaced by another
//! number: the new member is added and promoted first, so that the group never
//! has fewer voters than before. Each step depends only on the current members,
//! so a repeated command continues an interrupted replacement. The seat in the
//! claim group is then replaced by a change of the configuration.

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

/// Timeout for the new member to catch up; after it the operator has to repeat the command.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval before a step that was temporarily refused is retried.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Replaces a member; this process must be the leader.
///
/// # Errors
///
/// Returns [`Refusal`] with the reason; a repeated request continues the replacement.
pub(crate) async fn run(state: &Arc<State>, old: u64, new: Peer) -> Result<(), Refusal> {
    let old = Id(old);
    let deadline = state.now() + CATCH_UP_TIMEOUT;
    loop {
        let members = bootstrap::members(state).ok_or(Refusal::NotLeader(None))?;
        if would_reduce_voters(&members, old, new) {
            let reason = format!(
                "cannot replace member {} with {}: both are voters already",
                old.0, new.id.0
            );
            return Err(Refusal::Member(reason));
        }
        let Some(change) = next_change(&members, old, new) else {
            break;
        };
        apply_change(state, change, deadline).await?;
    }
    replace_seats(state, old, new, deadline).await
}

/// Adds a member without a vote; this process must be the leader.
///
/// # Errors
///
/// Returns [`Refusal`] when the number belongs to a voter on another disk, which only an operator
/// may replace, or when the membership cannot be changed at this time.
pub(crate) async fn join(state: &Arc<State>, new: Peer) -> Result<(), Refusal> {
    let deadline = state.now() + CATCH_UP_TIMEOUT;
    loop {
        let members = bootstrap::members(state).ok_or(Refusal::NotLeader(None))?;
        let change = match members.get(new.id) {
            None => Change::AddLearner(new),
            Some(member) if member.peer == new => return Ok(()),
            // Removing a learner is safe: its lost disk did not take part in any quorum.
            Some(member) if member.role == Role::Learner => Change::Remove(new.id),
            Some(_) => {
                let reason = "cannot add the member: its number belongs to a voter on another disk; an operator has to replace the member";
                return Err(Refusal::Member(reason.to_owned()));
            }
        };
        apply_change(state, change, deadline).await?;
    }
}

/// Applies one membership change, or waits for [`RETRY_INTERVAL`] when it is refused temporarily.
async fn apply_change(
    state: &Arc<State>,
    change: Change,
    deadline: Instant,
) -> Result<(), Refusal> {
    match propose(state, change).await {
        Ok(()) => Ok(()),
        Err(ChangeError::Retry(reason)) if state.now() < deadline => {
            log::debug!(event = "member-change-waits"; "membership change refused, retrying: {reason}");
            time::sleep(RETRY_INTERVAL).await;
            Ok(())
        }
        Err(ChangeError::Retry(reason)) => Err(Refusal::Member(reason)),
        Err(ChangeError::Refused(refusal)) => Err(refusal),
    }
}

/// Returns the next membership change of the replacement, or `None` when it is complete.
fn next_change(members: &Set, old: Id, new: Peer) -> Option<Change> {
    let existing = members.get(new.id);
    if let Some(member) = existing
        && member.peer != new
    {
        // The entry of the lost disk still occupies the number.
        return Some(Change::Remove(new.id));
    }
    match existing.map(|member| member.role) {
        None => Some(Change::AddLearner(new)),
        Some(Role::Learner) => Some(Change::Promote(new.id)),
        Some(Role::Voter) if old != new.id && members.get(old).is_some() => {
            Some(Change::Remove(old))
        }
        Some(Role::Voter) => None,
    }
}

/// Returns true when both members are voters and no replacement is in progress, so that the command would only remove a voter.
///
/// The group normally has an odd number of voters. It is even only during a replacement, between
/// the promotion of the new member and the removal of the old one.
fn would_reduce_voters(members: &Set, old: Id, new: Peer) -> bool {
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

enum ChangeError {
    /// The refusal is temporary.
    Retry(String),
    Refused(Refusal),
}

async fn propose(state: &Arc<State>, change: Change) -> Result<(), ChangeError> {
    let position = {
        let now = state.now();
        let mut log = state.log.lock();
        let replica = log
            .replica
            .as_mut()
            .ok_or(ChangeError::Refused(Refusal::NotLeader(None)))?;
        replica
            .change(now, change)
            .map_err(|refusal| classify(&refusal))?
    };
    state.driver_wake.notify_one();
    let applied = state.wait_applied(position.index.0, CATCH_UP_TIMEOUT).await;
    if applied {
        Ok(())
    } else {
        Err(ChangeError::Refused(Refusal::Undecided))
    }
}

fn classify(refusal: &failure::Refusal) -> ChangeError {
    match refusal {
        failure::Refusal::NotLeader(leader) => ChangeError::Refused(Refusal::NotLeader(*leader)),
        failure::Refusal::Behind { .. }
        | failure::Refusal::ChangePending(_)
        | failure::Refusal::NotEstablished
        | failure::Refusal::Overloaded { .. } => ChangeError::Retry(refusal.to_string()),
        failure::Refusal::UnknownMember(_)
        | failure::Refusal::DuplicateMember(_)
        | failure::Refusal::LastVoter(_)
        | failure::Refusal::NotApplied { .. } => {
            ChangeError::Refused(Refusal::Member(refusal.to_string()))
        }
    }
}

/// Assigns the seats of the old member in claim groups to the new one, which then copies the registers.
///
/// The seats are read only after a quorum confirmed the current configuration: a leader that has
/// just been elected may not have applied it yet, and would find no seat to replace.
async fn replace_seats(
    state: &Arc<State>,
    old: Id,
    new: Peer,
    deadline: Instant,
) -> Result<(), Refusal> {
    let old = listed::Id(identity::member_number(old));
    let disk = listed::Disk(identity::folded_disk(new.disk));
    loop {
        submit::read(state).await?;
        let Some(group) = group_with_old_disk(state, old, disk) else {
            return Ok(());
        };
        let action = Action::ReplaceSeat {
            region: group.region,
            epoch: group.epoch,
            old,
            new: listed::Id(identity::member_number(new.id)),
            disk,
        };
        let command = own_command(state, action);
        match submit::command(state, command).await? {
            Outcome::Accepted(_) => {}
            // The claim group has changed since it was read; read it again.
            Outcome::Refused(CatalogRefusal::Group(group::Refusal::Epoch { .. }))
                if state.now() < deadline => {}
            Outcome::Refused(refusal) => {
                warn!(event = "seat-not-replaced", member = old.0; "cannot replace the seat in the claim group: {refusal}");
                return Err(Refusal::Member(refusal.to_string()));
            }
        }
    }
}

/// Returns a claim group in which the seat of the member is on another disk.
fn group_with_old_disk(state: &State, member: listed::Id, disk: listed::Disk) -> Option<Group> {
    let catalog = state.catalog.lock();
    let mut groups = catalog.groups().iter().map(|entry| &entry.value);
    let has_old_disk = |group: &&Group| {
        let seat = group.seats.iter().find(|seat| seat.member == member);
        seat.is_some_and(|seat| seat.disk != disk)
    };
    groups.find(has_old_disk).cloned()
}

/// Creates a command of the control processes. Its id is a hash of the action, so that repeated commands are deduplicated.
pub(crate) fn own_command(state: &State, action: Action) -> Command {
    let bytes = postcard::to_allocvec(&action).expect("every action can be encoded");
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
