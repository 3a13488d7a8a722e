//! Answers other processes, and keeps up with other registry processes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use log::info;
use log::warn;
use tokio::sync::watch;
use tokio::time;

use crate::state::Agreement;
use crate::state::Peer;
use crate::state::State;
use shallotrill_feed::link::Link;
use shallotrill_feed::message::Announcement;
use shallotrill_feed::message::Cursor;
use shallotrill_feed::message::RegistryStatus;
use shallotrill_feed::message::Reply;
use shallotrill_feed::message::Request;
use shallotrill_feed::note;
use shallotrill_items::ballot::Ballot;
use shallotrill_items::digest::Digest;
use shallotrill_items::item::Item;
use shallotrill_items::replica::Entry;
use shallotrill_locks::Mutex;
use shallotrill_locks::Rank;
use shallotrill_process::metrics::count;
use shallotrill_wire::listen;

/// Longest wait of a long poll between registry processes; it is also their heartbeat.
const COPY_WAIT: Duration = Duration::from_millis(500);

/// A reply is waited for this much longer than the poll, for a slow link and a busy process.
const REPLY_SLACK: Duration = Duration::from_secs(1);

/// Pause after a failed poll.
const RETRY: Duration = Duration::from_millis(250);

/// A process that was not heard for this long is forgotten, unless it is a seed.
const FORGET: Duration = Duration::from_secs(30);

/// Answers one request of another process.
pub async fn answer(state: &Arc<State>, request: &Request) -> Reply {
    match request {
        Request::Watch {
            cursor,
            announcement,
            wait_ms,
            held,
        } => {
            announce(state, announcement.clone());
            let wait = Duration::from_millis(u64::from(*wait_ms));
            let wants_items = held.is_some();
            wait_for_change(state, wait, &|| view_is_new(state, *cursor, wants_items)).await;
            view(state, *cursor, held.map(Digest))
        }
        Request::Announce(announcement) => {
            announce(state, announcement.clone());
            Reply::Done
        }
        Request::Copy {
            cursor,
            member,
            wait_ms,
        } => {
            let now = state.now();
            state.agreement.lock().roster.record_contact(*member, now);
            meet(state, &[member.address]);
            let wait = Duration::from_millis(u64::from(*wait_ms));
            wait_for_change(state, wait, &|| registers_are_new(state, *cursor)).await;
            registers(state, *cursor)
        }
        Request::Show => Reply::Shown(show(state)),
        Request::Prepare { ballot, keys } => {
            let promised = vote(state, *ballot, |agreement| {
                agreement
                    .replica
                    .prepare(*ballot, keys)
                    .map(Reply::Promised)
            });
            durable(state, promised).await
        }
        Request::Accept { ballot, items } => {
            let accepted = vote(state, *ballot, |agreement| {
                agreement
                    .replica
                    .accept(*ballot, items)
                    .map(|()| Reply::Done)
            });
            durable(state, accepted).await
        }
        Request::Commit { ballot, items } => {
            commit(state, *ballot, items);
            Reply::Done
        }
    }
}

fn vote(
    state: &State,
    ballot: Ballot,
    step: impl FnOnce(&mut Agreement) -> Result<Reply, Ballot>,
) -> Reply {
    let mut agreement = state.agreement.lock();
    agreement.seen = agreement.seen.max(ballot);
    if !agreement.roster.own().votes {
        return Reply::Unable;
    }
    match step(&mut agreement) {
        Ok(reply) => {
            agreement.changes += 1;
            reply
        }
        Err(by) => Reply::Overtaken(by),
    }
}

/// A promise or an acceptance counts only once it is durable.
async fn durable(state: &State, reply: Reply) -> Reply {
    let counts = matches!(reply, Reply::Promised(_) | Reply::Done);
    if counts && !state.persist().await {
        return Reply::Unable;
    }
    reply
}

/// Takes items that a majority has accepted.
pub(crate) fn commit(state: &State, ballot: Ballot, items: &[Arc<Item>]) {
    let changed = {
        let mut agreement = state.agreement.lock();
        let changed = agreement.replica.commit(ballot, items);
        agreement.changes += u64::from(changed);
        changed
    };
    if changed {
        note::log_in_force(items);
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
    let changed = state.announcements.lock().take(announcement, now);
    if changed {
        info!(
            event = "announcement-changed",
            router = router.to_string().as_str(),
            session = session,
            sequence = sequence;
            "{target:?}"
        );
        state.notify();
    }
}

async fn wait_for_change(state: &State, wait: Duration, is_new: &(dyn Fn() -> bool + Send + Sync)) {
    let mut changed = state.changed.subscribe();
    let waiting = async {
        while !is_new() {
            // The sender lives as long as the state.
            if changed.changed().await.is_err() {
                return;
            }
        }
    };
    // The end of the wait is an answer without a change.
    drop(time::timeout(wait, waiting).await);
}

fn view_is_new(state: &State, cursor: Cursor, wants_items: bool) -> bool {
    let announcements = state.announcements.lock().revision();
    let items = state.agreement.lock().replica.revision();
    cursor.session != state.session
        || cursor.announcements != announcements
        || (wants_items && cursor.items != items)
}

fn view(state: &State, cursor: Cursor, held: Option<Digest>) -> Reply {
    let same = cursor.session == state.session;
    let (announcements, at) = {
        let table = state.announcements.lock();
        let from = if same { cursor.announcements } else { 0 };
        (table.since(from), table.revision())
    };
    let registries = state.registries();
    let (items, items_at) = {
        let agreement = state.agreement.lock();
        let from = if same { cursor.items } else { 0 };
        match held {
            None => (Vec::new(), from),
            Some(held) => (unread(&agreement, from, held), agreement.replica.revision()),
        }
    };
    Reply::View {
        cursor: Cursor {
            session: state.session,
            items: items_at,
            announcements: at,
        },
        items,
        announcements,
        registries,
    }
}

fn show(state: &State) -> RegistryStatus {
    let now = state.now();
    let millis = |time: Duration| time.as_millis() as u64;
    let announcements = {
        let table = state.announcements.lock();
        let renewals = table.renewals(now);
        renewals
            .map(|(a, silent)| (a.clone(), millis(silent)))
            .collect()
    };
    let agreement = state.agreement.lock();
    let others = agreement.roster.others(now);
    RegistryStatus {
        member: agreement.roster.own(),
        quorum: agreement.roster.quorum(now) as u32,
        others: others.map(|(m, silent)| (m, millis(silent))).collect(),
        entries: agreement.replica.entries().to_vec(),
        announcements,
    }
}

/// Items that a watcher lacks. One that has read nothing here may hold all from another process.
fn unread(agreement: &Agreement, from: u64, held: Digest) -> Vec<Arc<Item>> {
    let replica = &agreement.replica;
    if from == 0 && Digest::of(replica.committed().map(Arc::as_ref)) == held {
        return Vec::new();
    }
    let changed = replica.since(from).into_iter();
    let changed = changed.filter_map(|entry| entry.committed);
    changed
        .map(|item| Arc::new(without_document(&item)))
        .collect()
}

/// Only the answer to an operator needs the document, which is most of an item's size.
fn without_document(item: &Item) -> Item {
    Item {
        document: Arc::from(""),
        ..item.clone()
    }
}

fn registers_are_new(state: &State, cursor: Cursor) -> bool {
    cursor.session != state.session || cursor.items != state.agreement.lock().replica.revision()
}

fn registers(state: &State, cursor: Cursor) -> Reply {
    let registries = state.registries();
    let agreement = state.agreement.lock();
    let from = if cursor.session == state.session {
        cursor.items
    } else {
        0
    };
    Reply::Registers {
        cursor: Cursor {
            session: state.session,
            items: agreement.replica.revision(),
            announcements: 0,
        },
        entries: agreement.replica.since(from),
        member: agreement.roster.own(),
        registries,
    }
}

/// Starts to follow registry processes that are not known yet.
pub fn meet(state: &Arc<State>, addresses: &[SocketAddr]) {
    for &address in addresses {
        if address == state.settings.address() {
            continue;
        }
        let peer = {
            let mut peers = state.peers.lock();
            let Err(at) = peers.binary_search_by(|p| p.link.address().cmp(&address)) else {
                continue;
            };
            let peer = Arc::new(Peer {
                link: Link::new(address),
                copied: Mutex::new(Rank::Claims, None),
            });
            peers.insert(at, Arc::clone(&peer));
            peer
        };
        info!(event = "registry-met", address = address.to_string().as_str(); "");
        tokio::spawn(follow(Arc::clone(state), peer));
    }
}

/// Copies the registers of another process as they change, until it is gone for long.
async fn follow(state: Arc<State>, peer: Arc<Peer>) {
    let address = peer.link.address();
    let link = Link::new(address);
    let mut stop = state.stop.subscribe();
    let mut cursor = Cursor::default();
    let mut heard = state.now();
    let mut reachable = false;
    loop {
        let request = Request::Copy {
            cursor,
            member: state.agreement.lock().roster.own(),
            wait_ms: COPY_WAIT.as_millis() as u32,
        };
        let reply = tokio::select! {
            () = listen::stopped(&mut stop) => return,
            reply = link.call(&request, COPY_WAIT + REPLY_SLACK) => reply,
        };
        match reply {
            Ok(Reply::Registers {
                cursor: read,
                entries,
                member,
                registries,
            }) => {
                if !reachable {
                    info!(event = "registry-reachable", address = address.to_string().as_str(); "");
                }
                reachable = true;
                heard = state.now();
                cursor = read;
                copy(&state, &entries);
                {
                    let mut agreement = state.agreement.lock();
                    agreement.roster.record_contact(member, heard);
                    agreement.roster.mark_synced(address);
                }
                *peer.copied.lock() = Some(heard);
                meet(&state, &registries);
            }
            other => {
                if reachable {
                    warn!(event = "registry-lost", address = address.to_string().as_str(); "{other:?}");
                }
                reachable = false;
                time::sleep(RETRY).await;
            }
        }
        let silent = state.now().since(heard) > FORGET;
        if silent && !state.settings.seeds.contains(&address) {
            let mut peers = state.peers.lock();
            peers.retain(|p| p.link.address() != address);
            info!(event = "registry-forgotten", address = address.to_string().as_str(); "");
            return;
        }
    }
}

fn copy(state: &State, entries: &[Entry]) {
    let changed = {
        let mut agreement = state.agreement.lock();
        let seen = entries.iter().map(|e| e.promised).max();
        agreement.seen = agreement.seen.max(seen.unwrap_or_default());
        let changed = agreement.replica.merge(entries);
        agreement.changes += u64::from(changed);
        changed
    };
    if changed {
        state.notify();
    }
}

/// Does the work that no message triggers: leases, the own vote, and proposals that were cut short.
pub async fn upkeep(state: Arc<State>, mut stop: watch::Receiver<bool>) {
    /// Interval of the upkeep; an item that is unsettled for longer is proposed again.
    const INTERVAL: Duration = Duration::from_millis(300);
    let mut before: Vec<(shallotrill_items::item::Key, Ballot)> = Vec::new();
    loop {
        tokio::select! {
            () = time::sleep(INTERVAL) => {}
            () = listen::stopped(&mut stop) => return,
        }
        let now = state.now();
        let expired = state.announcements.lock().expire(now);
        for announcement in &expired {
            warn!(event = "router-expired", router = announcement.router.to_string().as_str(); "no renewal");
        }
        if !expired.is_empty() {
            state.notify();
        }
        admit(&state).await;
        let unsettled = {
            let mut agreement = state.agreement.lock();
            agreement.roster.remove_silent(FORGET, now);
            let entries = agreement.replica.uncommitted();
            let ballots =
                entries.filter_map(|e| Some((e.key.clone(), e.accepted.as_ref()?.ballot)));
            ballots.collect::<Vec<_>>()
        };
        let old = unsettled.iter().filter(|u| before.contains(u));
        let keys: Vec<_> = old.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            let count = keys.len();
            match crate::propose::repair(&state, keys).await {
                Ok(()) => info!(event = "items-settled", items = count; "a proposal was cut short"),
                Err(failure) => warn!(event = "items-unsettled", items = count; "{failure}"),
            }
        }
        state.metrics.unsettled.set(count(unsettled.len()));
        observe(&state);
        before = unsettled;
    }
}

/// Updates the gauges.
fn observe(state: &State) {
    let routers = state.announcements.lock().len();
    let now = state.now();
    let agreement = state.agreement.lock();
    state.metrics.routers.set(count(routers));
    let votes = agreement.roster.own().votes;
    state.metrics.votes.set(i64::from(votes));
    let quorum = agreement.roster.quorum(now);
    state.metrics.quorum.set(count(quorum));
}

async fn admit(state: &State) {
    let now = state.now();
    let admitted = {
        let mut agreement = state.agreement.lock();
        if agreement.roster.own().votes {
            return;
        }
        // Durable before the first vote: what was copied must not be forgotten again.
        let mut trial = agreement.roster.clone();
        let admitted = trial.admit(now);
        agreement.changes += u64::from(admitted);
        admitted
    };
    if admitted && state.persist().await {
        state.agreement.lock().roster.admit(now);
        info!(event = "vote-admitted"; "the registers were copied from enough voters");
        state.persist().await;
    }
}
