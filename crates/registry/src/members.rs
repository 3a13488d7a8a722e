//! Handles requests of routers and registry processes, and replicates from the other registry processes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use log::info;
use log::warn;
use tokio::task::JoinSet;
use tokio::time;

use crate::allotments;
use crate::state::ConsensusState;
use crate::state::Peer;
use crate::state::State;
use crate::view;
use crate::view::Watcher;
use shallotrill_feed::link::Link;
use shallotrill_feed::message::Announcement;
use shallotrill_feed::message::Cursor;
use shallotrill_feed::message::Departure;
use shallotrill_feed::message::Registers;
use shallotrill_feed::message::RegistryStatus;
use shallotrill_feed::message::Reply;
use shallotrill_feed::message::Request;
use shallotrill_feed::note;
use shallotrill_items::ballot::Ballot;
use shallotrill_items::item::Item;
use shallotrill_items::item::Kind;
use shallotrill_items::replica::Accepted;
use shallotrill_items::replica::Entry;
use shallotrill_items::replica::Proposal;
use shallotrill_items::roster::Admission;
use shallotrill_locks::Mutex;
use shallotrill_locks::Rank;
use shallotrill_model::time::Instant;
use shallotrill_wire::listen;

/// Longest wait of a long poll between registry processes; each poll also serves as a heartbeat.
const COPY_WAIT: Duration = Duration::from_millis(500);

/// Longest wait for the copy of one process that confirms what is in force; callers wait a second for the answer.
const COPY_TIMEOUT: Duration = Duration::from_millis(700);

/// Time allowed for a reply beyond the wait of the poll, for a slow link and a busy process.
const REPLY_SLACK: Duration = Duration::from_secs(1);

/// Delay after a failed poll.
pub(crate) const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Handles one request of another process.
pub async fn handle(state: &Arc<State>, request: &Request) -> Reply {
    match request {
        Request::Watch {
            cursor,
            announcement,
            wait_ms,
            interest,
            needs_departures,
        } => {
            announce(state, announcement.clone());
            let watcher = Watcher {
                router: announcement.router,
                cursor: *cursor,
                interest: *interest,
                needs_departures: *needs_departures,
            };
            view::reply(state, &watcher, Duration::from_millis(u64::from(*wait_ms))).await
        }
        Request::Announce(announcement) => {
            announce(state, announcement.clone());
            Reply::Done
        }
        Request::Depart { voters, departures } => {
            merge_departures(state, departures);
            // A process that knows a later version of the voters may have been copied from for it.
            let counts = {
                let consensus = state.consensus.lock();
                consensus.roster.own().votes && consensus.roster.version() <= *voters
            };
            if state.persist_departures().await && counts {
                Reply::Done
            } else {
                Reply::Unable
            }
        }
        Request::Copy {
            cursor,
            member,
            wait_ms,
        } => {
            let now = state.now();
            state.consensus.lock().roster.record_contact(*member, now);
            follow(state, &[member.address]);
            let wait = Duration::from_millis(u64::from(*wait_ms));
            wait_for_change(state, wait, &|| registers_have_changed(state, *cursor)).await;
            registers(state, *cursor)
        }
        Request::Show => Reply::Shown(show(state)),
        Request::Prepare {
            ballot,
            keys,
            voters,
        } => {
            let promised = vote(state, *ballot, voters, |consensus| {
                consensus
                    .replica
                    .prepare(*ballot, keys)
                    .map(Reply::Promised)
            });
            send_when_durable(state, promised).await
        }
        Request::Accept {
            ballot,
            items,
            voters,
        } => {
            let accepted = vote(state, *ballot, voters, |consensus| {
                consensus
                    .replica
                    .accept(*ballot, items)
                    .map(|()| Reply::Done)
            });
            send_when_durable(state, accepted).await
        }
        Request::Commit { ballot, items } => {
            commit(state, *ballot, items);
            Reply::Done
        }
        Request::Credit {
            router,
            session,
            asks,
        } => allotments::reply(state, *router, *session, asks),
    }
}

/// Executes a step of a proposal if this process is one of the voters of the request, and those are in force.
///
/// The reply makes a newer version of the voters durable here too. After that, this process refuses steps that want a
/// quorum of an earlier one.
fn vote(
    state: &State,
    ballot: Ballot,
    requested: &Accepted,
    step: impl FnOnce(&mut ConsensusState) -> Result<Reply, Ballot>,
) -> Reply {
    let mut consensus = state.consensus.lock();
    consensus.highest_ballot = consensus.highest_ballot.max(ballot);
    if consensus.roster.admission(&requested.item) == Admission::Newer {
        consensus.commit(requested.ballot, std::slice::from_ref(&requested.item));
        state.voters_changed.notify_one();
    }
    match consensus.roster.admission(&requested.item) {
        Admission::Voter => {}
        Admission::Outdated => return consensus.voters().map_or(Reply::Unable, Reply::Outdated),
        Admission::NoVoter | Admission::Newer => return Reply::Unable,
    }
    match step(&mut consensus) {
        Ok(reply) => {
            consensus.changes += 1;
            reply
        }
        Err(by) => Reply::Overtaken(by),
    }
}

/// Waits until a promise or an acceptance is durable; only then it may be sent.
async fn send_when_durable(state: &State, reply: Reply) -> Reply {
    let counts = matches!(reply, Reply::Promised(_) | Reply::Done);
    if counts && !state.persist().await {
        return Reply::Unable;
    }
    reply
}

/// Commits items that a quorum has accepted, and wakes the watchers if this changes anything.
pub(crate) fn commit(state: &State, ballot: Ballot, items: &[Arc<Item>]) {
    let changed = {
        let mut consensus = state.consensus.lock();
        consensus.commit(ballot, items)
    };
    if changed {
        if items.iter().any(|item| item.key.kind == Kind::Voters) {
            state.voters_changed.notify_one();
        }
        note::log_effective_items(items);
        state.notify();
    }
}

fn announce(state: &State, announcement: Announcement) {
    let now = state.now();
    let (router, session, sequence) = (
        announcement.router,
        announcement.session,
        announcement.sequence,
    );
    let target = announcement.target.as_ref();
    let target = target.map(|t| (t.instance.clone(), t.state));
    let changed = state.announcements.lock().apply(announcement, now);
    if changed {
        info!(
            event = "announcement-changed",
            router = router.to_string().as_str(),
            session = session,
            sequence = sequence;
            "announcement is new or has changed, target: {target:?}"
        );
        state.notify();
    }
}

/// Waits for a change. Returns whether there is one.
pub(crate) async fn wait_for_change(
    state: &State,
    wait: Duration,
    has_changed: &(dyn Fn() -> bool + Send + Sync),
) -> bool {
    let mut changed = state.changed.subscribe();
    let waiting = async {
        while !has_changed() {
            // The sender is a field of the state, so it is not dropped before this future.
            if changed.changed().await.is_err() {
                return;
            }
        }
    };
    time::timeout(wait, waiting).await.is_ok()
}

fn show(state: &State) -> RegistryStatus {
    let now = state.now();
    let millis = |time: Duration| time.as_millis() as u64;
    let announcements = {
        let table = state.announcements.lock();
        let renewals = table.renewals(now);
        renewals
            .map(|(a, elapsed)| (a.clone(), millis(elapsed)))
            .collect()
    };
    let consensus = state.consensus.lock();
    let others = consensus.roster.others(now);
    RegistryStatus {
        member: consensus.roster.own(),
        quorum: consensus.roster.quorum() as u32,
        others: others.map(|(m, elapsed)| (m, millis(elapsed))).collect(),
        entries: consensus.replica.entries().to_vec(),
        announcements,
    }
}

fn registers_have_changed(state: &State, cursor: Cursor) -> bool {
    cursor.session != state.session || cursor.departures != state.departures.lock().revision() || {
        let consensus = state.consensus.lock();
        cursor.items != consensus.replica.revision()
            || cursor.voters != consensus.roster.own().voters
    }
}

fn registers(state: &State, cursor: Cursor) -> Reply {
    let registries = state.registries();
    let routers = state.allotments.lock().routers();
    let from = if cursor.session == state.session {
        cursor
    } else {
        Cursor::default()
    };
    // Read before the registers: a copy of these means that the departures were copied too.
    let (departures, departures_revision) = {
        let departures = state.departures.lock();
        (departures.since(from.departures), departures.revision())
    };
    let consensus = state.consensus.lock();
    Reply::Registers(Registers {
        cursor: Cursor {
            session: state.session,
            items: consensus.replica.revision(),
            announcements: 0,
            departures: departures_revision,
            voters: consensus.roster.own().voters,
        },
        entries: consensus.replica.since(from.items),
        proposals: consensus.replica.proposals_since(from.items),
        departures,
        member: consensus.roster.own(),
        registries,
        routers,
    })
}

/// Starts to follow those registry processes that are not followed yet.
pub fn follow(state: &Arc<State>, addresses: &[SocketAddr]) {
    for &address in addresses {
        if address == state.settings.address() {
            continue;
        }
        let peer = {
            let now = state.now();
            let mut peers = state.peers.lock();
            if !peers.directory.add(address, now) {
                continue;
            }
            let peer = Arc::new(Peer {
                link: Link::new(address),
                cursor: Mutex::new(Rank::Claims, Cursor::default()),
            });
            let index = peers.list.partition_point(|p| p.link.address() < address);
            peers.list.insert(index, Arc::clone(&peer));
            peer
        };
        info!(event = "registry-met", address = address.to_string().as_str(); "following a new registry process");
        tokio::spawn(copy_from_peer(Arc::clone(state), peer));
    }
}

/// Copies the registers of another process by long polls, until the directory removes it.
async fn copy_from_peer(state: Arc<State>, peer: Arc<Peer>) {
    let address = peer.link.address();
    let link = Link::new(address);
    let mut stop = state.stop.subscribe();
    let mut reachable = false;
    loop {
        let request = copy_request(&state, &peer, COPY_WAIT);
        let requested_at = state.now();
        let reply = tokio::select! {
            () = listen::stopped(&mut stop) => return,
            reply = link.call(&request, COPY_WAIT + REPLY_SLACK) => reply,
        };
        match reply {
            Ok(Reply::Registers(registers)) => {
                if !reachable {
                    info!(event = "registry-reachable", address = address.to_string().as_str(); "registry process is reachable");
                }
                reachable = true;
                let now = state.now();
                state
                    .peers
                    .lock()
                    .directory
                    .record_contact(address, &registers.registries, now);
                apply_copy(&state, &peer, &registers, requested_at);
                follow(&state, &registers.registries);
            }
            other => {
                if reachable {
                    warn!(event = "registry-lost", address = address.to_string().as_str(); "long poll of the registry process failed: {other:?}");
                }
                reachable = false;
                state.peers.lock().directory.record_failure(address);
                time::sleep(RETRY_INTERVAL).await;
            }
        }
        let now = state.now();
        let is_removed = {
            let mut peers = state.peers.lock();
            let is_removed = peers.directory.remove_replaced(address, now);
            if is_removed {
                peers.list.retain(|p| p.link.address() != address);
            }
            is_removed
        };
        if is_removed {
            info!(event = "registry-forgotten", address = address.to_string().as_str(); "registry process removed: it has been replaced");
            return;
        }
    }
}

fn copy_request(state: &State, peer: &Peer, wait: Duration) -> Request {
    Request::Copy {
        member: state.consensus.lock().roster.own(),
        cursor: *peer.cursor.lock(),
        wait_ms: wait.as_millis() as u32,
    }
}

/// Applies a copy of the registers of another process, and wakes the watchers that wait until this process knows all
/// committed items.
///
/// The copy counts from the time of its request: a process that was suspended reads the reply long after it was sent.
fn apply_copy(state: &State, peer: &Peer, registers: &Registers, requested_at: Instant) {
    merge_entries(state, &registers.entries, &registers.proposals);
    merge_departures(state, &registers.departures);
    allotments::record_report(state, registers, requested_at);
    let now = state.now();
    let completed = {
        let mut consensus = state.consensus.lock();
        let was_complete = consensus.is_complete(now);
        consensus.roster.record_contact(registers.member, now);
        consensus.roster.record_copy(registers.member, requested_at);
        !was_complete && consensus.is_complete(now)
    };
    *peer.cursor.lock() = registers.cursor;
    if completed {
        state.notify();
    }
}

/// Copies the registers of a quorum. Returns whether this process then has every item that was committed, and every
/// departure that was acknowledged, before the call.
///
/// Without it, a process that was cut off or suspended would answer with what was in force before.
pub(crate) async fn confirm(state: &Arc<State>) -> bool {
    let called_at = state.now();
    // Calls that wait here share the next copy.
    let _confirming = state.confirming.lock().await;
    let is_confirmed = || state.consensus.lock().roster.has_copied_quorum(called_at);
    let mut copies = JoinSet::new();
    if !is_confirmed() {
        for peer in state.peers() {
            let state = Arc::clone(state);
            copies.spawn(async move {
                let requested_at = state.now();
                let request = copy_request(&state, &peer, Duration::ZERO);
                if let Ok(Reply::Registers(registers)) =
                    peer.link.call(&request, COPY_TIMEOUT).await
                {
                    apply_copy(&state, &peer, &registers, requested_at);
                }
            });
        }
    }
    while !is_confirmed() {
        if copies.join_next().await.is_none() {
            return false;
        }
    }
    copies.detach_all();
    true
}

fn merge_entries(state: &State, entries: &[Entry], proposals: &[Proposal]) {
    let changed = {
        let mut consensus = state.consensus.lock();
        let version = consensus.roster.version();
        let changed = consensus.merge(entries, proposals);
        if consensus.roster.version() != version {
            state.voters_changed.notify_one();
        }
        changed
    };
    if changed {
        state.notify();
    }
}

/// Adds departures to the table. Returns whether it changed.
fn merge_departures(state: &State, departures: &[Departure]) -> bool {
    let changed = state.departures.lock().merge(departures);
    if changed {
        state.notify();
    }
    changed
}
