//! Follows the registries: what is in force, and which targets there are.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use log::info;
use log::warn;
use tokio::sync::watch;
use tokio::time;

use crate::state::State;
use shallotrill_feed::link::Link;
use shallotrill_feed::message::Announcement;
use shallotrill_feed::message::Announcements;
use shallotrill_feed::message::Cursor;
use shallotrill_feed::message::Reply;
use shallotrill_feed::message::Request;
use shallotrill_feed::note;
use shallotrill_items::item::Item;
use shallotrill_model::instance;
use shallotrill_model::target::Target;
use shallotrill_model::time::Instant;
use shallotrill_wire::listen;

/// Longest wait of a long poll; it also renews the announcement.
const WATCH_WAIT: Duration = Duration::from_secs(1);

/// Longest wait of a long poll before this router holds items, so that it asks for them soon.
const FIRST_WAIT: Duration = Duration::from_millis(100);

/// Another registry process is read from when one has not sent the items within this time. A
/// thousand routes take half of it on a link of 6 Mbit/s.
const READING_LIMIT: Duration = Duration::from_millis(700);

/// A reply is waited for this much longer than the poll.
const REPLY_SLACK: Duration = Duration::from_millis(1_500);

/// Pause after a failed poll.
const RETRY: Duration = Duration::from_millis(300);

/// Longest wait until a registry takes an announcement that was sent at once.
const ANNOUNCE_LIMIT: Duration = Duration::from_secs(1);

/// A registry that was not heard for this long is forgotten, unless it is a seed.
const FORGET: Duration = Duration::from_secs(30);

/// The view of a registry that was not heard for this long counts only when no other is fresher.
const FRESH: Duration = Duration::from_secs(5);

/// What one registry process says.
#[derive(Clone, Debug)]
struct View {
    registry: SocketAddr,
    heard: Option<Instant>,
    /// Sorted by the address of the router.
    announcements: Vec<Announcement>,
}

impl View {
    fn is_fresh(&self, now: Instant) -> bool {
        self.heard.is_some_and(|at| now.since(at) < FRESH)
    }
}

/// What all registry processes say of the targets.
#[derive(Clone, Debug, Default)]
pub struct Views {
    /// Sorted by address.
    views: Vec<View>,
    /// Targets that were passed on, sorted by instance.
    targets: Vec<Target>,
}

/// What changes for the choice of targets.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Difference {
    /// New and changed targets.
    pub changed: Vec<Target>,
    /// Targets that are gone.
    pub removed: Vec<instance::Name>,
}

impl Views {
    /// Adds a registry process. Returns whether it is new.
    fn add(&mut self, registry: SocketAddr) -> bool {
        let Err(at) = self.views.binary_search_by(|v| v.registry.cmp(&registry)) else {
            return false;
        };
        let view = View {
            registry,
            heard: None,
            announcements: Vec::new(),
        };
        self.views.insert(at, view);
        true
    }

    fn remove(&mut self, registry: SocketAddr) {
        self.views.retain(|view| view.registry != registry);
    }

    fn heard(&mut self, registry: SocketAddr, announcements: Announcements, now: Instant) {
        if let Ok(at) = self.views.binary_search_by(|v| v.registry.cmp(&registry)) {
            let view = &mut self.views[at];
            view.heard = Some(now);
            announcements.apply(&mut view.announcements);
        }
    }

    /// Registry processes that were heard lately.
    pub fn heard_lately(&self, now: Instant) -> usize {
        self.views.iter().filter(|view| view.is_fresh(now)).count()
    }

    /// The newest announcement of each router, over the registries that were heard lately.
    ///
    /// While none was, the last views stand: a router goes on without registries.
    fn merge(&self, now: Instant) -> Vec<Target> {
        let any_fresh = self.heard_lately(now) > 0;
        let views = self.views.iter().filter(|v| !any_fresh || v.is_fresh(now));
        let mut newest: Vec<&Announcement> = views.flat_map(|v| &v.announcements).collect();
        newest.sort_by_key(|a| (a.router, std::cmp::Reverse((a.session, a.sequence))));
        newest.dedup_by_key(|a| a.router);
        let mut targets: Vec<Target> = newest.iter().filter_map(|a| a.target.clone()).collect();
        targets.sort_by(|a, b| {
            (&a.instance, std::cmp::Reverse(a.incarnation.0))
                .cmp(&(&b.instance, std::cmp::Reverse(b.incarnation.0)))
        });
        targets.dedup_by(|later, first| later.instance == first.instance);
        targets
    }

    /// Works out what has changed since the last call.
    pub fn difference(&mut self, now: Instant) -> Difference {
        let targets = self.merge(now);
        let find = |list: &[Target], name: &instance::Name| {
            list.binary_search_by(|t| t.instance.cmp(name)).ok()
        };
        let changed = targets.iter().filter(|target| {
            let known = find(&self.targets, &target.instance).map(|at| &self.targets[at]);
            known != Some(*target)
        });
        let changed = changed.cloned().collect();
        let removed = self.targets.iter().map(|t| &t.instance);
        let removed = removed.filter(|name| find(&targets, name).is_none());
        let removed = removed.cloned().collect();
        self.targets = targets;
        Difference { changed, removed }
    }
}

/// Follows registry processes that are not followed yet.
pub fn meet(state: &Arc<State>, addresses: &[SocketAddr], stop: &watch::Receiver<bool>) {
    for &address in addresses {
        if state.views.lock().add(address) {
            info!(event = "registry-met", address = address.to_string().as_str(); "");
            tokio::spawn(watch_registry(Arc::clone(state), address, stop.clone()));
            tokio::spawn(tell_registry(Arc::clone(state), address, stop.clone()));
        }
    }
}

async fn watch_registry(state: Arc<State>, address: SocketAddr, mut stop: watch::Receiver<bool>) {
    let link = Link::new(address);
    let mut cursor = Cursor::default();
    let mut heard = state.now();
    let mut reachable = false;
    loop {
        let held = wanted(&state, reachable);
        let wait = held.map_or(FIRST_WAIT, |_| WATCH_WAIT);
        let request = Request::Watch {
            cursor,
            announcement: state.announcement(),
            wait_ms: wait.as_millis() as u32,
            held,
        };
        let reply = tokio::select! {
            () = listen::stopped(&mut stop) => return,
            reply = link.call(&request, WATCH_WAIT + REPLY_SLACK) => reply,
        };
        match reply {
            Ok(Reply::View {
                cursor: read,
                items,
                announcements,
                registries,
            }) => {
                if !reachable {
                    info!(event = "registry-reachable", address = address.to_string().as_str(); "");
                }
                reachable = true;
                heard = state.now();
                cursor = read;
                apply_items(&state, &items);
                merge_crashes(&state, &announcements.changed);
                state.views.lock().heard(address, announcements, heard);
                apply_targets(&state);
                meet(&state, &registries, &stop);
                if held.is_some() {
                    end_reading(&state);
                }
            }
            other => {
                if reachable {
                    warn!(event = "registry-lost", address = address.to_string().as_str(); "{other:?}");
                }
                reachable = false;
                if held.is_some() {
                    end_reading(&state);
                }
                time::sleep(RETRY).await;
            }
        }
        let silent = state.now().since(heard) > FORGET;
        if silent && !state.settings.registries.contains(&address) {
            state.views.lock().remove(address);
            info!(event = "registry-forgotten", address = address.to_string().as_str(); "");
            return;
        }
    }
}

/// Digest of the items that this router holds, if it wants items from a registry process now.
///
/// A router without items reads them from one registry process at a time: all of them at once
/// would fill its link with the same bytes. The other processes are asked once it holds items.
fn wanted(state: &State, reachable: bool) -> Option<u64> {
    let items = state.items();
    if items.is_empty() && !(reachable && claim_reading(state)) {
        return None;
    }
    Some(items.digest().0)
}

/// Whether no other registry process is being read from.
fn claim_reading(state: &State) -> bool {
    let now = state.now();
    let mut reading = state.reading.lock();
    if reading.is_some_and(|since| now.since(since) < READING_LIMIT) {
        return false;
    }
    *reading = Some(now);
    true
}

/// Lets another registry process be read from, should this router still hold no items.
fn end_reading(state: &State) {
    *state.reading.lock() = None;
}

/// Sends changes of the own announcement at once, beside the long poll.
async fn tell_registry(state: Arc<State>, address: SocketAddr, mut stop: watch::Receiver<bool>) {
    let link = Link::new(address);
    let mut published = state.published.subscribe();
    loop {
        tokio::select! {
            () = listen::stopped(&mut stop) => return,
            changed = published.changed() => if changed.is_err() { return },
        }
        let known = state
            .views
            .lock()
            .views
            .iter()
            .any(|v| v.registry == address);
        if !known {
            return;
        }
        let request = Request::Announce(state.announcement());
        if let Err(error) = link.call(&request, ANNOUNCE_LIMIT).await {
            log::debug!(event = "announcement-not-sent", address = address.to_string().as_str(); "{error}");
        }
    }
}

fn apply_items(state: &State, items: &[Arc<Item>]) {
    if items.is_empty() {
        return;
    }
    let mut held = state.items.lock();
    let mut table = (**held).clone();
    if table.apply(items) {
        *held = Arc::new(table);
        drop(held);
        note::log_in_force(items);
    }
}

fn merge_crashes(state: &State, announcements: &[Announcement]) {
    let now = state.now();
    for fact in announcements.iter().flat_map(|a| &a.crashes) {
        state.crashes.lock().merge(fact, now);
    }
}

/// Passes what has changed on to the choice of targets.
pub fn apply_targets(state: &State) {
    let now = state.now();
    let mut views = state.views.lock();
    let difference = views.difference(now);
    if difference.changed.is_empty() && difference.removed.is_empty() {
        return;
    }
    let mut routing = state.routing.lock();
    for name in &difference.removed {
        routing.remove(name);
    }
    routing.apply(&difference.changed, now);
    drop(routing);
    drop(views);
    for target in &difference.changed {
        info!(event = "target-changed", instance = target.instance.as_str(), service = target.service.as_str(), stage = format!("{:?}", target.state).as_str(); "");
    }
    for name in &difference.removed {
        info!(event = "target-removed", instance = name.as_str(); "");
    }
}
