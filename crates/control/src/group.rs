//! Claim group of this region: formation, change of epoch, and copying of registers to a replaced disk.

use std::sync::Arc;
use std::time::Duration;

use log::info;
use log::warn;
use tokio::time;

use crate::bootstrap;
use crate::claims;
use crate::identity;
use crate::replace;
use crate::state::State;
use crate::submit;
use shallotrill_catalog::action::Action;
use shallotrill_catalog::group as listed_group;
use shallotrill_catalog::member as listed;
use shallotrill_claim::epoch;
use shallotrill_claim::epoch::Group;
use shallotrill_claim::epoch::VotingState;
use shallotrill_claim::key::Key;
use shallotrill_claim::message::Refusal;
use shallotrill_consensus::member::Role;
use shallotrill_replica::copy;

/// Interval between checks of the configuration when no change wakes this task.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum size of one page of registers.
const PAGE_BYTES: usize = 1024 * 1024;

/// Timeout for one page.
const PAGE_TIMEOUT: Duration = Duration::from_secs(5);

/// Task that keeps this member in line with the claim group of the configuration: forms it, enters its epochs, copies.
pub(crate) async fn run(state: Arc<State>) {
    let mut changed = state.changed.subscribe();
    loop {
        ensure_listed(&state).await;
        match applied_group(&state) {
            Some(group) => apply_group(&state, &group).await,
            None => form_group(&state).await,
        }
        drop(time::timeout(POLL_INTERVAL, changed.changed()).await);
    }
}

/// The claim group of this region in the applied configuration.
fn applied_group(state: &State) -> Option<Group> {
    let catalog = state.catalog.lock();
    let entry = catalog
        .groups()
        .iter()
        .find(|entry| entry.value.region == state.identity.region)?;
    convert(&entry.value)
}

fn convert(group: &listed_group::Group) -> Option<Group> {
    let seats = group.seats.iter().map(|seat| epoch::Seat {
        member: epoch::Member(seat.member.0),
        disk: epoch::Disk(seat.disk.0),
        voting_state: match seat.voting_state {
            listed_group::VotingState::Voting => VotingState::Voting,
            listed_group::VotingState::Copying => VotingState::Copying,
        },
    });
    Group::new(epoch::Number(group.epoch), seats.collect()).ok()
}

/// Adds this process to the member list of the configuration, or updates its entry, once it belongs to the group.
async fn ensure_listed(state: &Arc<State>) {
    let own = state.identity.listed();
    let is_listed = {
        let catalog = state.catalog.lock();
        catalog.members().iter().any(|entry| entry.value == own)
    };
    let is_member = bootstrap::members(state).is_some_and(|set| set.contains(state.identity.peer));
    if is_listed || !is_member || submit::leader(state).is_none() {
        return;
    }
    let command = replace::own_command(state, Action::AddMember(own));
    if let Err(refusal) = submit::command(state, command).await {
        warn!(event = "member-not-listed"; "cannot add this process to the member list: {refusal:?}");
    }
}

/// Forms the claim group of the region from the voters, if this process is the leader.
async fn form_group(state: &Arc<State>) {
    if submit::leader(state) != Some(state.identity.peer) {
        return;
    }
    let Some(set) = bootstrap::members(state) else {
        return;
    };
    let members: Vec<(listed::Id, listed::Disk)> = set
        .all()
        .iter()
        .filter(|member| member.role == Role::Voter)
        .map(|member| {
            let id = listed::Id(identity::member_number(member.peer.id));
            (id, listed::Disk(identity::folded_disk(member.peer.disk)))
        })
        .collect();
    let action = Action::FormGroup {
        region: state.identity.region.clone(),
        members,
    };
    let command = replace::own_command(state, action);
    match submit::command(state, command).await {
        Ok(reply) => info!(
            event = "claim-group-formed";
            "reply to the command that forms the claim group: {reply:?}"
        ),
        Err(refusal) => warn!(
            event = "claim-group-not-formed";
            "cannot form the claim group: {refusal:?}"
        ),
    }
}

/// Enters the current epoch, and copies all registers when the seat of this member is copying.
async fn apply_group(state: &Arc<State>, group: &Group) {
    let own = state.identity.member();
    let seat = group.seat(own).copied();
    let Some(seat) = seat.filter(|seat| seat.disk == state.identity.claim_disk()) else {
        return;
    };
    if !enter_epoch(state, group).await {
        return;
    }
    if seat.voting_state == VotingState::Copying && copy_registers(state, group).await {
        let action = Action::AdmitSeat {
            region: state.identity.region.clone(),
            epoch: group.epoch.0,
            member: listed::Id(own.0),
        };
        let command = replace::own_command(state, action);
        match submit::command(state, command).await {
            Ok(reply) => info!(
                event = "claims-copied", epoch = group.epoch.0;
                "copied all registers; reply to the command that admits the seat: {reply:?}"
            ),
            Err(refusal) => warn!(
                event = "seat-not-admitted";
                "cannot admit the seat of this member: {refusal:?}"
            ),
        }
    }
}

async fn enter_epoch(state: &State, group: &Group) -> bool {
    let appended = {
        let mut claims = state.claims.lock();
        if claims.acceptor.group() == Some(group) {
            Ok(state.claims_journal.appended_position())
        } else {
            match claims.acceptor.decide_enter(group) {
                Ok(write) => claims::append(state, &write).inspect(|_| {
                    claims.apply_write(write, state.now());
                    info!(event = "epoch-entered", epoch = group.epoch.0; "entered an epoch of the claim group");
                }),
                Err(refusal) => {
                    warn!(event = "epoch-not-entered", epoch = group.epoch.0; "cannot enter an epoch of the claim group: {refusal:?}");
                    return false;
                }
            }
        }
    };
    match appended {
        Ok(position) => state.claims_journal.wait_durable(position).await.is_ok(),
        Err(refusal) => {
            warn!(event = "epoch-not-written"; "cannot append the epoch to the claim journal: {refusal}");
            false
        }
    }
}

/// Copies all registers from every voter; returns true when all of them are durable here.
async fn copy_registers(state: &Arc<State>, group: &Group) -> bool {
    for voter in group.voters() {
        if !copy_from(state, group, voter).await {
            return false;
        }
    }
    true
}

async fn copy_from(state: &Arc<State>, group: &Group, voter: epoch::Member) -> bool {
    let Some(peer) = state.peers.get(u64::from(voter.0)) else {
        return false;
    };
    let mut after: Option<Key> = None;
    loop {
        let request = copy::Request {
            epoch: group.epoch,
            after: after.clone(),
        };
        let reply: Result<copy::Reply, _> = peer.call(copy::METHOD, &request, PAGE_TIMEOUT).await;
        let page = match reply {
            Ok(Ok(page)) => page,
            Ok(Err(refusal)) => {
                log::debug!(event = "page-refused", voter = voter.0; "voter refused a page of registers: {refusal:?}");
                return false;
            }
            Err(failure) => {
                warn!(event = "page-not-copied", voter = voter.0; "cannot copy a page of registers: {failure}");
                return false;
            }
        };
        let appended = {
            let mut claims = state.claims.lock();
            let Ok(writes) = claims.acceptor.merge(&page) else {
                return false;
            };
            claims.track_copied(&writes, state.now());
            let positions: Result<Vec<_>, _> = writes
                .iter()
                .map(|write| claims::append(state, write))
                .collect();
            positions
        };
        let Ok(positions) = appended else {
            return false;
        };
        if let Some(last) = positions.last()
            && state.claims_journal.wait_durable(*last).await.is_err()
        {
            return false;
        }
        if page.last {
            return true;
        }
        after = page.registers.last().map(|register| register.key.clone());
    }
}

/// Handles a page request of a member that copies the registers.
pub(crate) async fn send_page(state: Arc<State>, request: copy::Request) -> copy::Reply {
    let (page, position) = {
        let claims = state.claims.lock();
        let page = claims
            .acceptor
            .page(request.epoch, request.after.as_ref(), PAGE_BYTES);
        (page, state.claims_journal.appended_position())
    };
    // The entry into the epoch must be durable first: a voter that loses it in a crash could accept
    // records of the previous epoch that are missing from the pages it sent.
    match state.claims_journal.wait_durable(position).await {
        Ok(()) => page,
        Err(_) => Err(Refusal::Stranger(state.identity.member())),
    }
}
