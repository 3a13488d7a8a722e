//! Targets and their leases, and what control processes tell each other of them.

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
use shallotrill_replica::peers::Peer;

/// Length of a lease.
const LEASE: Duration = Duration::from_secs(3);

/// Interval of looks for expired leases.
const EXPIRE_INTERVAL: Duration = Duration::from_millis(250);

/// Time within which another control process must have answered to count as heard.
const HEARD_WINDOW: Duration = Duration::from_secs(2);

/// Longest time that an exchange waits for a change; it is also the heartbeat between control processes.
const EXCHANGE_WAIT: Duration = Duration::from_millis(500);

/// Longest wait for the answer of an exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Interval at which the list of nodes is exchanged, so that the nodes of a process that is gone are known.
///
/// What nodes hold is asked for when an operator wants to know: told with each
/// exchange, it costs each control process in proportion to all nodes and all exchanges.
const NODES_INTERVAL: Duration = Duration::from_secs(30);

/// Longest wait for the nodes of another control process.
const NODES_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause after a failed exchange.
const EXCHANGE_PAUSE: Duration = Duration::from_millis(250);

/// Another control process and when it last answered an exchange.
#[derive(Clone, Debug)]
struct Heard {
    id: u64,
    owner: Owner,
    at: Instant,
}

/// Targets, nodes and crash facts.
#[derive(Debug)]
pub(crate) struct Members {
    pub(crate) table: Table,
    pub(crate) nodes: Nodes,
    pub(crate) crashes: Crashes,
    /// Sorted by id.
    heard: Vec<Heard>,
}

impl Members {
    pub(crate) fn new(table: Table) -> Self {
        Self {
            table,
            nodes: Nodes::default(),
            crashes: Crashes::default(),
            heard: Vec::new(),
        }
    }

    fn hear(&mut self, id: u64, owner: Owner, at: Instant) {
        let heard = Heard { id, owner, at };
        match self.heard.binary_search_by_key(&id, |heard| heard.id) {
            Ok(index) => self.heard[index] = heard,
            Err(index) => self.heard.insert(index, heard),
        }
    }

    /// Owners that only others hear from, sorted.
    fn relayed(&self, now: Instant) -> Vec<Owner> {
        let is_near = |owner: &Owner| {
            let mut near = self.heard.iter().filter(|heard| is_recent(heard, now));
            near.any(|heard| heard.owner.name == owner.name)
        };
        let live = self.table.live_owners(now);
        live.filter(|owner| !is_near(owner)).cloned().collect()
    }

    /// Control processes that answered lately.
    pub(crate) fn heard(&self, now: Instant) -> usize {
        let recent = |heard: &&Heard| is_recent(heard, now);
        self.heard.iter().filter(recent).count()
    }
}

fn is_recent(heard: &Heard, now: Instant) -> bool {
    now.since(heard.at) < HEARD_WINDOW
}

/// Takes the heartbeat of a node.
pub(crate) async fn lease(state: Arc<State>, ask: lease::Request) -> lease::Reply {
    let now = state.now();
    let (result, changed) = {
        let mut members = state.members.lock();
        members.nodes.hear(&ask.instance, ask.applied.revision, now);
        let added = members.crashes.add(ask.crashes, now);
        let result = stand(&mut members.table, &ask.instance, ask.target_state, now);
        let moved = matches!(&result, Ok(Some(change)) if change.kind != Kind::Unchanged);
        (result, moved || added)
    };
    if changed {
        state.announce_change();
    }
    if let Ok(Some(change)) = &result
        && change.kind != Kind::Unchanged
    {
        note(change);
    }
    lease::Reply {
        control: state.identity.instance.clone(),
        lease_ms: LEASE.as_millis() as u64,
        result: result.map(|_| ()),
    }
}

fn stand(
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

fn note(change: &Change) {
    let target = &change.row.target;
    info!(
        event = "target-changed",
        instance = target.instance.as_str(),
        service = target.service.as_str(),
        incarnation = target.incarnation.0;
        "{:?} {:?}", change.kind, target.state
    );
}

/// Expires leases as time passes.
pub(crate) async fn expire(state: Arc<State>) {
    loop {
        time::sleep(EXPIRE_INTERVAL).await;
        let now = state.now();
        let changes = {
            let mut members = state.members.lock();
            let contact = Reachability {
                others: state.peers.all().len(),
                reachable: members.heard(now),
            };
            members.nodes.expire(now);
            members.crashes.expire(now);
            members.table.expire(now, &contact)
        };
        if !changes.is_empty() {
            state.announce_change();
            changes.iter().for_each(note);
        }
    }
}

/// Starts one exchange with each other control process.
pub(crate) fn start_exchanges(state: &Arc<State>) {
    for peer in state.peers.all() {
        tokio::spawn(exchange_with(Arc::clone(state), Arc::clone(peer)));
    }
}

async fn exchange_with(state: Arc<State>, peer: Arc<Peer>) {
    let mut since: Option<Version> = None;
    let mut relayed: Vec<Owner> = Vec::new();
    let mut crashes = 0;
    let mut listed: Option<Instant> = None;
    loop {
        let now = state.now();
        let nodes = listed.is_none_or(|at| now.since(at) >= NODES_INTERVAL);
        let missing = state.members.lock().relayed(now);
        if missing
            .iter()
            .any(|owner| relayed.binary_search(owner).is_err())
        {
            // The rows of a further owner are not in a difference.
            since = None;
        }
        relayed = missing;
        let ask = exchange::Request {
            since: since.clone(),
            relayed: relayed.clone(),
            crashes,
            nodes,
            wait_ms: EXCHANGE_WAIT.as_millis() as u64,
        };
        let asked: Result<exchange::Reply, _> =
            peer.call(exchange::METHOD, &ask, EXCHANGE_TIMEOUT).await;
        match asked {
            Ok(reply) => {
                since = Some(reply.membership.version.clone());
                crashes = reply.crashes_version;
                if nodes {
                    listed = Some(now);
                }
                merge(&state, &peer, reply);
            }
            Err(failure) => {
                debug!(event = "exchange-failed", peer = peer.id(); "{failure}");
                // The other process may have restarted; its counts start again.
                since = None;
                crashes = 0;
                time::sleep(EXCHANGE_PAUSE).await;
            }
        }
    }
}

fn merge(state: &State, peer: &Peer, reply: exchange::Reply) {
    let now = state.now();
    let changed = {
        let mut members = state.members.lock();
        members.hear(peer.id(), reply.membership.version.source.clone(), now);
        members.nodes.hear_all(&reply.nodes, now);
        let added = members.crashes.add(reply.crashes, now);
        let changes = members.table.merge_difference(&reply.membership, now);
        added || !changes.is_empty()
    };
    if changed {
        state.announce_change();
    }
}

/// Answers with the nodes that this process hears.
pub(crate) async fn nodes(state: Arc<State>, _ask: ()) -> Vec<exchange::Node> {
    let now = state.now();
    state.members.lock().nodes.direct(now)
}

/// Asks all other control processes what their nodes hold. The nodes of those that do not answer become silent.
pub(crate) async fn ask_nodes(state: &State) {
    let ask = async |peer: &Arc<Peer>| {
        let asked: Result<Vec<exchange::Node>, _> =
            peer.call(exchange::NODES_METHOD, &(), NODES_TIMEOUT).await;
        match asked {
            Ok(nodes) => {
                let now = state.now();
                state.members.lock().nodes.hear_all(&nodes, now);
            }
            Err(failure) => debug!(event = "nodes-not-told", peer = peer.id(); "{failure}"),
        }
    };
    future::join_all(state.peers.all().iter().map(ask)).await;
}

/// Answers the exchange of another control process.
pub(crate) async fn exchange(state: Arc<State>, ask: exchange::Request) -> exchange::Reply {
    let mut changed = state.changed.subscribe();
    let end = time::Instant::now() + Duration::from_millis(ask.wait_ms).min(EXCHANGE_WAIT);
    // Changes of the configuration wake this too and are no news here.
    while !is_news(&state, &ask) {
        if time::timeout_at(end, changed.changed()).await.is_err() {
            break;
        }
    }
    export(&state, &ask)
}

fn is_news(state: &State, ask: &exchange::Request) -> bool {
    let members = state.members.lock();
    ask.nodes
        || ask.since.as_ref() != Some(&members.table.version())
        || ask.crashes != members.crashes.version()
}

fn export(state: &State, ask: &exchange::Request) -> exchange::Reply {
    let now = state.now();
    let members = state.members.lock();
    let (crashes, crashes_version) = members.crashes.since(ask.crashes, now);
    exchange::Reply {
        membership: members
            .table
            .export_own(ask.since.as_ref(), &ask.relayed, now),
        nodes: if ask.nodes {
            members.nodes.direct(now)
        } else {
            Vec::new()
        },
        crashes,
        crashes_version,
    }
}
