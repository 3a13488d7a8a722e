//! Targets and their leases, and their exchange between control processes.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future;
use log::debug;
use log::info;
use tokio::time;

use crate::crashes::Crashes;
use crate::nodes::Nodes;
use crate::state::State;
use shallotrill_control_client::lease;
use shallotrill_control_client::lease::TargetState;
use shallotrill_membership::change::Change;
use shallotrill_membership::change::Kind;
use shallotrill_membership::change::Refusal;
use shallotrill_membership::owner::Owner;
use shallotrill_membership::reachability::Reachability;
use shallotrill_membership::table::Table;
use shallotrill_membership::version::Version;
use shallotrill_model::time::Instant;
use shallotrill_replica::exchange;
use shallotrill_replica::peers::PeerConnection;

const LEASE_PERIOD: Duration = Duration::from_secs(3);

/// Interval between checks for expired leases.
const EXPIRE_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum time since the last reply of another control process for it to count as reachable.
const CONTACT_AGE_MAX: Duration = Duration::from_secs(2);

/// Maximum time that an exchange waits for a change; it is also the heartbeat interval between control processes.
const EXCHANGE_WAIT_MAX: Duration = Duration::from_millis(500);

/// Timeout of an exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Interval at which the list of nodes is exchanged, so that the nodes of a lost control process remain known.
///
/// Between these exchanges, the revisions of nodes are requested only for queries of operators. Sending
/// all nodes with each exchange would cost each control process time proportional to nodes times exchanges.
const NODES_INTERVAL: Duration = Duration::from_secs(30);

/// Timeout of a request for the nodes of another control process.
const NODES_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval before a failed exchange is retried.
const EXCHANGE_RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Another control process and the time of its last reply to an exchange.
#[derive(Clone, Debug)]
struct PeerContact {
    id: u64,
    owner: Owner,
    last_contact: Instant,
}

/// Targets with their leases, nodes, crash records, and the last contact with other control processes.
///
/// The members of the consensus group are not part of it: see [`crate::bootstrap::members`].
#[derive(Debug)]
pub(crate) struct Members {
    pub(crate) table: Table,
    pub(crate) nodes: Nodes,
    pub(crate) crashes: Crashes,
    /// Sorted by id.
    contacts: Vec<PeerContact>,
}

impl Members {
    pub(crate) fn new(table: Table) -> Self {
        Self {
            table,
            nodes: Nodes::default(),
            crashes: Crashes::default(),
            contacts: Vec::new(),
        }
    }

    fn record_contact(&mut self, id: u64, owner: Owner, last_contact: Instant) {
        let contact = PeerContact {
            id,
            owner,
            last_contact,
        };
        match self
            .contacts
            .binary_search_by_key(&id, |contact| contact.id)
        {
            Ok(index) => self.contacts[index] = contact,
            Err(index) => self.contacts.insert(index, contact),
        }
    }

    /// Owners with live leases that this process does not reach directly, sorted.
    fn relayed(&self, now: Instant) -> Vec<Owner> {
        let is_direct = |owner: &Owner| {
            let mut direct = self
                .contacts
                .iter()
                .filter(|contact| is_recent(contact, now));
            direct.any(|contact| contact.owner.name == owner.name)
        };
        let live = self.table.live_owners(now);
        live.filter(|owner| !is_direct(owner)).cloned().collect()
    }

    /// Number of control processes that replied within [`CONTACT_AGE_MAX`].
    pub(crate) fn reachable_count(&self, now: Instant) -> usize {
        let recent = |contact: &&PeerContact| is_recent(contact, now);
        self.contacts.iter().filter(recent).count()
    }
}

fn is_recent(contact: &PeerContact, now: Instant) -> bool {
    now.since(contact.last_contact) < CONTACT_AGE_MAX
}

/// Handles the heartbeat of a node, which renews the lease of its target.
pub(crate) async fn lease(state: Arc<State>, request: lease::Request) -> lease::Reply {
    let now = state.now();
    let (result, changed) = {
        let mut members = state.members.lock();
        members
            .nodes
            .record_contact(&request.instance, request.applied.revision, now);
        let added = members.crashes.add(request.crashes, now);
        let result = apply_target_state(
            &mut members.table,
            &request.instance,
            request.target_state,
            now,
        );
        let is_changed = matches!(&result, Ok(Some(change)) if change.kind != Kind::Unchanged);
        (result, is_changed || added)
    };
    if changed {
        state.announce_change();
    }
    if let Ok(Some(change)) = &result
        && change.kind != Kind::Unchanged
    {
        log_change(change);
    }
    lease::Reply {
        control: state.identity.instance.clone(),
        lease_ms: LEASE_PERIOD.as_millis() as u64,
        result: result.map(|_| ()),
    }
}

fn apply_target_state(
    table: &mut Table,
    instance: &shallotrill_model::instance::Name,
    standing: TargetState,
    now: Instant,
) -> Result<Option<Change>, Refusal> {
    match standing {
        TargetState::Absent => Ok(None),
        TargetState::Present(announcement) => table.announce(announcement, now).map(Some),
        TargetState::Left(incarnation) => table.leave(instance, incarnation, now).map(Some),
    }
}

fn log_change(change: &Change) {
    let target = &change.row.target;
    info!(
        event = "target-changed",
        instance = target.instance.as_str(),
        service = target.service.as_str(),
        incarnation = target.incarnation.0;
        "target changed: {:?} {:?}", change.kind, target.state
    );
}

/// Expires leases, nodes and crash records periodically.
pub(crate) async fn expire(state: Arc<State>) {
    loop {
        time::sleep(EXPIRE_INTERVAL).await;
        let now = state.now();
        let changes = {
            let mut members = state.members.lock();
            let reachability = Reachability {
                others: state.peers.all().len(),
                reachable: members.reachable_count(now),
            };
            members.nodes.expire(now);
            members.crashes.expire(now);
            members.table.expire(now, &reachability)
        };
        if !changes.is_empty() {
            state.announce_change();
            changes.iter().for_each(log_change);
        }
    }
}

/// Starts a task for each other control process that exchanges changes with it.
pub(crate) fn start_exchanges(state: &Arc<State>) {
    for peer in state.peers.all() {
        tokio::spawn(exchange_with(Arc::clone(state), Arc::clone(peer)));
    }
}

async fn exchange_with(state: Arc<State>, peer: Arc<PeerConnection>) {
    let mut since: Option<Version> = None;
    let mut relayed: Vec<Owner> = Vec::new();
    let mut crashes = 0;
    let mut nodes_exchanged_at: Option<Instant> = None;
    loop {
        let now = state.now();
        let nodes = nodes_exchanged_at.is_none_or(|time| now.since(time) >= NODES_INTERVAL);
        let indirect = state.members.lock().relayed(now);
        if indirect
            .iter()
            .any(|owner| relayed.binary_search(owner).is_err())
        {
            // A difference does not contain the rows of an owner that was added to the relayed owners.
            since = None;
        }
        relayed = indirect;
        let request = exchange::Request {
            since: since.clone(),
            relayed: relayed.clone(),
            crashes,
            nodes,
            wait_ms: EXCHANGE_WAIT_MAX.as_millis() as u64,
        };
        let reply: Result<exchange::Reply, _> = peer
            .call(exchange::METHOD, &request, EXCHANGE_TIMEOUT)
            .await;
        match reply {
            Ok(reply) => {
                since = Some(reply.membership.version.clone());
                crashes = reply.crashes_version;
                if nodes {
                    nodes_exchanged_at = Some(now);
                }
                merge(&state, &peer, reply);
            }
            Err(failure) => {
                debug!(event = "exchange-failed", peer = peer.id(); "exchange with another control process failed: {failure}");
                // The other process may have restarted, which resets its versions.
                since = None;
                crashes = 0;
                time::sleep(EXCHANGE_RETRY_INTERVAL).await;
            }
        }
    }
}

fn merge(state: &State, peer: &PeerConnection, reply: exchange::Reply) {
    let now = state.now();
    let changed = {
        let mut members = state.members.lock();
        members.record_contact(peer.id(), reply.membership.version.source.clone(), now);
        members.nodes.record_reported(&reply.nodes, now);
        let added = members.crashes.add(reply.crashes, now);
        let changes = members.table.merge_difference(&reply.membership, now);
        added || !changes.is_empty()
    };
    if changed {
        state.announce_change();
    }
}

/// Returns the nodes with a recent heartbeat at this process.
pub(crate) async fn nodes(state: Arc<State>, _request: ()) -> Vec<exchange::Node> {
    let now = state.now();
    state.members.lock().nodes.direct(now)
}

/// Requests the revisions of the nodes of all other control processes.
///
/// The nodes of a control process that does not reply become unresponsive.
pub(crate) async fn fetch_nodes(state: &State) {
    let fetch = async |peer: &Arc<PeerConnection>| {
        let reply: Result<Vec<exchange::Node>, _> =
            peer.call(exchange::NODES_METHOD, &(), NODES_TIMEOUT).await;
        match reply {
            Ok(nodes) => {
                let now = state.now();
                state.members.lock().nodes.record_reported(&nodes, now);
            }
            Err(failure) => debug!(
                event = "nodes-not-told", peer = peer.id();
                "cannot get the nodes of another control process: {failure}"
            ),
        }
    };
    future::join_all(state.peers.all().iter().map(fetch)).await;
}

/// Handles an exchange request: replies on a change or at the end of the wait time.
pub(crate) async fn exchange(state: Arc<State>, request: exchange::Request) -> exchange::Reply {
    let mut changed = state.changed.subscribe();
    let end = time::Instant::now() + Duration::from_millis(request.wait_ms).min(EXCHANGE_WAIT_MAX);
    // Configuration changes also wake this task; they are not part of the exchange.
    while !has_changes(&state, &request) {
        if time::timeout_at(end, changed.changed()).await.is_err() {
            break;
        }
    }
    export(&state, &request)
}

fn has_changes(state: &State, request: &exchange::Request) -> bool {
    let members = state.members.lock();
    request.nodes
        || request.since.as_ref() != Some(&members.table.version())
        || request.crashes != members.crashes.version()
}

fn export(state: &State, request: &exchange::Request) -> exchange::Reply {
    let now = state.now();
    let members = state.members.lock();
    let (crashes, crashes_version) = members.crashes.since(request.crashes, now);
    exchange::Reply {
        membership: members
            .table
            .export_own(request.since.as_ref(), &request.relayed, now),
        nodes: if request.nodes {
            members.nodes.direct(now)
        } else {
            Vec::new()
        },
        crashes,
        crashes_version,
    }
}
