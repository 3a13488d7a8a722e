//! The claim group of this region: forming, epochs, and copying after a lost disk.

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

/// Interval of looks at the configuration when no change wakes this task.
const INTERVAL: Duration = Duration::from_secs(1);

/// Bytes of one page of registers.
const PAGE_BYTES: usize = 1024 * 1024;

/// Longest wait for one page.
const PAGE_TIMEOUT: Duration = Duration::from_secs(5);

/// Follows the configuration as long as the process runs.
pub(crate) async fn run(state: Arc<State>) {
    let mut changed = state.changed.subscribe();
    loop {
        list(&state).await;
        match present(&state) {
            Some(group) => follow(&state, &group).await,
            None => form(&state).await,
        }
        drop(time::timeout(INTERVAL, changed.changed()).await);
    }
}

/// The claim group of this region in the applied configuration.
fn present(state: &State) -> Option<Group> {
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
        voting_state: match seat.standing {
            listed_group::Standing::Voting => VotingState::Voting,
            listed_group::Standing::Copying => VotingState::Copying,
        },
    });
    Group::new(epoch::Number(group.epoch), seats.collect()).ok()
}

/// Lists this process in the configuration, once it belongs to the group and is not listed as it is.
async fn list(state: &Arc<State>) {
    let own = state.identity.listed();
    let known = {
        let catalog = state.catalog.lock();
        catalog.members().iter().any(|entry| entry.value == own)
    };
    let belongs = bootstrap::members(state).is_some_and(|set| set.contains(state.identity.peer));
    if known || !belongs || submit::leader(state).is_none() {
        return;
    }
    let command = replace::own_command(state, Action::AddMember(own));
    if let Err(refusal) = submit::command(state, command).await {
        warn!(event = "member-not-listed"; "{refusal:?}");
    }
}

/// Forms the claim group of the region from the voters, as the leader.
async fn form(state: &Arc<State>) {
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
            let id = listed::Id(identity::short(member.peer.id));
            (id, listed::Disk(identity::folded(member.peer.disk)))
        })
        .collect();
    let action = Action::FormGroup {
        region: state.identity.region.clone(),
        members,
    };
    let command = replace::own_command(state, action);
    match submit::command(state, command).await {
        Ok(reply) => info!(event = "claim-group-formed"; "{reply:?}"),
        Err(refusal) => warn!(event = "claim-group-not-formed"; "{refusal:?}"),
    }
}

/// Enters the epoch in force, and copies when this member has to.
async fn follow(state: &Arc<State>, group: &Group) {
    let own = state.identity.member();
    let seat = group.seat(own).copied();
    let Some(seat) = seat.filter(|seat| seat.disk == state.identity.claim_disk()) else {
        return;
    };
    if !enter(state, group).await {
        return;
    }
    if seat.voting_state == VotingState::Copying && copy_all(state, group).await {
        let action = Action::AdmitSeat {
            region: state.identity.region.clone(),
            epoch: group.epoch.0,
            member: listed::Id(own.0),
        };
        let command = replace::own_command(state, action);
        match submit::command(state, command).await {
            Ok(reply) => info!(event = "claims-copied", epoch = group.epoch.0; "{reply:?}"),
            Err(refusal) => warn!(event = "seat-not-admitted"; "{refusal:?}"),
        }
    }
}

async fn enter(state: &State, group: &Group) -> bool {
    let appended = {
        let mut claims = state.claims.lock();
        if claims.acceptor.group() == Some(group) {
            Ok(state.claims_journal.appended_position())
        } else {
            match claims.acceptor.decide_enter(group) {
                Ok(write) => claims::append(state, &write).inspect(|_| {
                    claims.take(write, state.now());
                    info!(event = "epoch-entered", epoch = group.epoch.0; "");
                }),
                Err(refusal) => {
                    warn!(event = "epoch-not-entered", epoch = group.epoch.0; "{refusal:?}");
                    return false;
                }
            }
        }
    };
    match appended {
        Ok(position) => state.claims_journal.wait_durable(position).await.is_ok(),
        Err(refusal) => {
            warn!(event = "epoch-not-written"; "{refusal}");
            false
        }
    }
}

/// Copies all registers from every voter; true when everything is durable here.
async fn copy_all(state: &Arc<State>, group: &Group) -> bool {
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
        let ask = copy::Ask {
            epoch: group.epoch,
            after: after.clone(),
        };
        let reply: Result<copy::Reply, _> = peer.ask(copy::METHOD, &ask, PAGE_TIMEOUT).await;
        let page = match reply {
            Ok(Ok(page)) => page,
            Ok(Err(refusal)) => {
                log::debug!(event = "page-refused", voter = voter.0; "{refusal:?}");
                return false;
            }
            Err(failure) => {
                warn!(event = "page-not-copied", voter = voter.0; "{failure}");
                return false;
            }
        };
        let appended = {
            let mut claims = state.claims.lock();
            let Ok(writes) = claims.acceptor.merge(&page) else {
                return false;
            };
            claims.observe(&writes, state.now());
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

/// Answers a member that copies.
pub(crate) async fn page(state: Arc<State>, ask: copy::Ask) -> copy::Reply {
    let (page, position) = {
        let claims = state.claims.lock();
        let page = claims
            .acceptor
            .page(ask.epoch, ask.after.as_ref(), PAGE_BYTES);
        (page, state.claims_journal.appended_position())
    };
    // A survivor that forgot in a crash that it entered the epoch could accept
    // records of the earlier one that are not in its pages.
    match state.claims_journal.wait_durable(position).await {
        Ok(()) => page,
        Err(_) => Err(Refusal::Stranger(state.identity.member())),
    }
}
