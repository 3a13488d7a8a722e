//! Replies to routers that wait for changes of the items in force and of the announcements.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time;

use crate::members;
use crate::state::ConsensusState;
use crate::state::State;
use shallotrill_feed::message::Cursor;
use shallotrill_feed::message::Electorate;
use shallotrill_feed::message::Interest;
use shallotrill_feed::message::Reply;
use shallotrill_items::item::Item;
use shallotrill_items::item_set_hash::ItemSetHash;
use shallotrill_items::roster::Roster;

/// What a router that waits for changes has, and what it requests.
#[derive(Clone, Copy, Debug)]
pub struct Watcher {
    /// Address of the router.
    pub router: SocketAddr,
    /// Position up to which it has read.
    pub cursor: Cursor,
    /// What it requests of the items.
    pub interest: Interest,
    /// Whether it has not received the departures of its earlier sessions yet.
    pub needs_departures: bool,
}

impl Watcher {
    /// Whether it takes what it is sent as complete: all items in force, or all departures. It is sent nothing while
    /// this process may lack some. A watcher that has items keeps the highest version of each.
    fn needs_confirmation(&self) -> bool {
        self.needs_departures || self.has_no_items()
    }

    fn has_no_items(&self) -> bool {
        self.interest == Interest::Items(ItemSetHash::default().0)
    }
}

/// Waits for a change and replies to a watcher.
pub async fn reply(state: &Arc<State>, watcher: &Watcher, wait: Duration) -> Reply {
    let has_changed = || view_has_changed(state, watcher);
    let changed = members::wait_for_change(state, wait, &has_changed).await;
    // A watcher that has received nothing yet is answered at once.
    if changed && watcher.cursor.session == state.session {
        let gather_time = state.announcements.lock().gather_time();
        time::sleep(gather_time).await;
    }
    let confirmed = !watcher.needs_confirmation() || members::confirm(state).await;
    if !confirmed {
        // A router without an answer asks again at once.
        time::sleep(members::RETRY_INTERVAL.min(wait)).await;
    }
    build(state, watcher, confirmed)
}

fn view_has_changed(state: &State, watcher: &Watcher) -> bool {
    let cursor = watcher.cursor;
    let announcements = state.announcements.lock().revision();
    if cursor.session != state.session || cursor.announcements != announcements {
        return true;
    }
    let now = state.now();
    let mut consensus = state.consensus.lock();
    let items_changed = cursor.items != consensus.replica.revision()
        && match watcher.interest {
            Interest::Nothing => false,
            Interest::Hash(held) => consensus.items_hash().0 != held,
            Interest::Items(_) => true,
        };
    if watcher.needs_confirmation() {
        (items_changed || watcher.needs_departures) && consensus.is_complete(now)
    } else {
        items_changed
    }
}

/// Builds the reply to a watcher. `confirmed` is whether this process has just confirmed what is in force; without it,
/// a watcher that needs that is sent neither items nor departures.
fn build(state: &State, watcher: &Watcher, confirmed: bool) -> Reply {
    let cursor = watcher.cursor;
    let same_session = cursor.session == state.session;
    let (announcements, announcements_revision) = {
        let table = state.announcements.lock();
        let from = if same_session {
            cursor.announcements
        } else {
            0
        };
        (table.since(from), table.revision())
    };
    let registries = state.registries();
    let sends_departures = watcher.needs_departures && confirmed;
    let departures = sends_departures.then(|| state.departures.lock().of(watcher.router));
    let mut consensus = state.consensus.lock();
    let items_hash = consensus.items_hash().0;
    let from = if same_session { cursor.items } else { 0 };
    let revision = consensus.replica.revision();
    let (items, items_revision) = match watcher.interest {
        Interest::Items(held) if confirmed || !watcher.has_no_items() => (
            missing_items(&consensus, from, held == items_hash),
            revision,
        ),
        Interest::Hash(_) => (Vec::new(), revision),
        _ => (Vec::new(), from),
    };
    Reply::View {
        cursor: Cursor {
            session: state.session,
            items: items_revision,
            announcements: announcements_revision,
            departures: 0,
            voters: 0,
        },
        items,
        items_hash,
        announcements,
        departures,
        registries,
        electorate: electorate(&consensus.roster),
    }
}

fn electorate(roster: &Roster) -> Electorate {
    Electorate {
        version: roster.version(),
        quorum: u32::try_from(roster.quorum()).unwrap_or(u32::MAX),
        voters: roster.voters().iter().map(|v| v.address).collect(),
    }
}

/// Items that a watcher does not have yet. A watcher that has received nothing from this process
/// may have received all items from another one.
fn missing_items(consensus: &ConsensusState, from: u64, has_all: bool) -> Vec<Arc<Item>> {
    let replica = &consensus.replica;
    if has_all {
        return Vec::new();
    }
    let changed = replica.since(from).into_iter();
    let changed = changed.filter_map(|entry| entry.committed);
    changed
        .filter(|item| item.key.kind.is_for_routers())
        .map(|item| Arc::new(without_document(&item)))
        .collect()
}

/// Copies an item without its document, which is most of its size and needed only by operators.
fn without_document(item: &Item) -> Item {
    Item {
        document: Arc::from(""),
        ..item.clone()
    }
}
