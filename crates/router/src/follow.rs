//! Follows the registries: receives the items in force and the announced targets by long polls.
//!
//! Every registry process tells this router when its items differ from the
//! router's, and the router reads them from one process at a time. A change of a
//! thousand routes would otherwise come once from each process, and five copies
//! fill a link of 3 Mbit/s for more than a second.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use log::info;
use log::warn;
use tokio::sync::watch;
use tokio::time;

use crate::backend;
use crate::evacuation;
use crate::reading::Progress;
use crate::reading::Stated;
use crate::state::State;
use shallotrill_feed::directory::Directory;
use shallotrill_feed::link::Link;
use shallotrill_feed::message::Announcement;
use shallotrill_feed::message::Announcements;
use shallotrill_feed::message::Cursor;
use shallotrill_feed::message::Electorate;
use shallotrill_feed::message::Interest;
use shallotrill_feed::message::Reply;
use shallotrill_feed::message::Request;
use shallotrill_feed::note;
use shallotrill_items::item::Item;
use shallotrill_items::item_set_hash::ItemSetHash;
use shallotrill_items::voters;
use shallotrill_limits::allotment::presence::Presence;
use shallotrill_model::instance;
use shallotrill_model::target::Target;
use shallotrill_model::time::Instant;
use shallotrill_wire::listen;

/// Longest wait of a long poll; it also renews the announcement.
const WATCH_WAIT: Duration = Duration::from_secs(1);

/// Longest wait of a long poll while this router lacks items, so that it requests them soon.
const FIRST_WATCH_WAIT: Duration = Duration::from_millis(100);

/// Time allowed to one registry process to send items, after which they are requested from
/// another one. Transferring a thousand routes on a link of 6 Mbit/s takes half of this time.
const ITEMS_READ_TIMEOUT: Duration = Duration::from_millis(700);

/// Time allowed for a reply beyond the wait of the poll.
const REPLY_SLACK: Duration = Duration::from_millis(1_500);

/// Delay after a failed poll.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// Longest wait for the reply to an announcement that is sent outside the long poll.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(1);

/// The view of a registry without contact for this long counts only when no view is fresher.
const VIEW_AGE_MAX: Duration = Duration::from_secs(5);

/// Announcements that one registry process reports.
#[derive(Clone, Debug)]
struct View {
    registry: SocketAddr,
    last_contact: Option<Instant>,
    /// Time of the request that was answered last.
    confirmed: Option<Instant>,
    /// Since when every poll has been answered; `None` after a failed one.
    contact_since: Option<Instant>,
    /// Sorted by the address of the router.
    announcements: Vec<Announcement>,
}

impl View {
    fn is_fresh(&self, now: Instant) -> bool {
        self.last_contact
            .is_some_and(|contact| now.since(contact) < VIEW_AGE_MAX)
    }
}

/// Contact to a registry process by long polls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Contact {
    /// Address of the registry process.
    pub registry: SocketAddr,
    /// Time of the last reply.
    pub last: Option<Instant>,
    /// Since when every poll has been answered; `None` after a failed one.
    pub since: Option<Instant>,
}

/// Announcements that all registry processes report, and the targets that follow from them.
#[derive(Clone, Debug, Default)]
pub struct RegistryViews {
    directory: Directory,
    electorate: Electorate,
    /// Sorted by address.
    views: Vec<View>,
    /// Targets at the last call of `difference`, sorted by instance.
    targets: Vec<Target>,
    /// Number of routers at the last call of `difference`.
    routers: usize,
    /// Recent numbers of routers.
    presence: Presence,
    /// Whether an announcement has changed since the last call of `difference`.
    changed: bool,
    /// The registry processes whose views counted at the last call of `difference`.
    merged: Vec<SocketAddr>,
}

/// Changes of the targets for the routing table.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Difference {
    /// New and changed targets.
    pub changed: Vec<Target>,
    /// Targets that no registry reports any longer.
    pub removed: Vec<instance::Name>,
}

impl RegistryViews {
    /// Replaces the seeds by those of the settings in force.
    pub fn set_seeds(&mut self, seeds: &[SocketAddr]) {
        self.directory.set_seeds(seeds);
    }

    /// Adds a registry process. Returns whether it is new.
    fn add(&mut self, registry: SocketAddr, now: Instant) -> bool {
        self.directory.add(registry, now);
        let Err(index) = self.views.binary_search_by(|v| v.registry.cmp(&registry)) else {
            return false;
        };
        let view = View {
            registry,
            last_contact: None,
            confirmed: None,
            contact_since: None,
            announcements: Vec::new(),
        };
        self.views.insert(index, view);
        true
    }

    /// Removes a registry process that has been replaced. Returns whether it was removed.
    fn remove_replaced(&mut self, registry: SocketAddr, now: Instant) -> bool {
        let is_removed = self.directory.remove_replaced(registry, now);
        if is_removed {
            self.changed = true;
            self.views.retain(|view| view.registry != registry);
        }
        is_removed
    }

    fn record_view(
        &mut self,
        registry: SocketAddr,
        announcements: Announcements,
        named: &[SocketAddr],
        requested_at: Instant,
        now: Instant,
    ) {
        self.directory.record_contact(registry, named, now);
        if let Ok(index) = self.views.binary_search_by(|v| v.registry.cmp(&registry)) {
            let view = &mut self.views[index];
            view.last_contact = Some(now);
            view.confirmed = Some(requested_at);
            view.contact_since.get_or_insert(now);
            self.changed |= !announcements.is_empty();
            announcements.apply(&mut view.announcements);
        }
    }

    /// Takes over a later version of the voters.
    fn record_electorate(&mut self, electorate: Electorate) {
        if electorate.version > self.electorate.version {
            self.electorate = electorate;
        }
    }

    /// The latest voters that a registry process has reported.
    pub const fn electorate(&self) -> &Electorate {
        &self.electorate
    }

    /// Latest time at or after which each registry process of a quorum of the voters has answered this router; `None`
    /// if fewer have.
    pub fn quorum_contact(&self) -> Option<Instant> {
        let is_voter = |view: &&View| self.electorate.voters.contains(&view.registry);
        let voters = self.views.iter().filter(is_voter);
        let contacts = voters.filter_map(|view| view.confirmed);
        let quorum = usize::try_from(self.electorate.quorum).ok()?;
        voters::quorum_contact(contacts, quorum)
    }

    /// Number of routers that share the limits of all routers: the highest recent number. Those behind a partition
    /// use their part too.
    fn sharing_routers(&mut self, now: Instant) -> usize {
        let routers = u32::try_from(self.routers).unwrap_or(u32::MAX);
        self.presence.observe(routers, self.quorum_contact(), now);
        usize::try_from(self.presence.highest()).unwrap_or(usize::MAX)
    }

    fn record_lost(&mut self, registry: SocketAddr) {
        self.directory.record_failure(registry);
        if let Ok(index) = self.views.binary_search_by(|v| v.registry.cmp(&registry)) {
            self.views[index].contact_since = None;
        }
    }

    /// All known registry processes, with the time of the last contact and the start of the uninterrupted contact.
    pub fn contacts(&self) -> impl Iterator<Item = Contact> {
        self.views.iter().map(|view| Contact {
            registry: view.registry,
            last: view.last_contact,
            since: view.contact_since,
        })
    }

    /// Addresses of all known registry processes.
    pub fn registries(&self) -> Vec<SocketAddr> {
        self.views.iter().map(|view| view.registry).collect()
    }

    /// Number of registry processes with recent contact.
    pub fn reachable_registries(&self, now: Instant) -> usize {
        self.views.iter().filter(|view| view.is_fresh(now)).count()
    }

    /// The registry processes with recent contact.
    ///
    /// Without any such registry the last views stay in use: a router keeps working without registries.
    fn used_registries(&self, now: Instant) -> Vec<SocketAddr> {
        let any_fresh = self.reachable_registries(now) > 0;
        let used = self.views.iter().filter(|v| !any_fresh || v.is_fresh(now));
        used.map(|view| view.registry).collect()
    }

    /// The targets of the newest announcement of each router, over the views that are in use.
    fn merge(&mut self) -> Vec<Target> {
        let used = |view: &&View| self.merged.binary_search(&view.registry).is_ok();
        let views = self.views.iter().filter(used);
        let mut newest: Vec<&Announcement> = views.flat_map(|v| &v.announcements).collect();
        newest.sort_by_key(|a| (a.router, std::cmp::Reverse((a.session, a.sequence))));
        newest.dedup_by_key(|a| a.router);
        let routers = newest.len();
        let mut targets: Vec<Target> = newest.iter().filter_map(|a| a.target.clone()).collect();
        targets.sort_by(|a, b| {
            (&a.instance, std::cmp::Reverse(a.incarnation.0))
                .cmp(&(&b.instance, std::cmp::Reverse(b.incarnation.0)))
        });
        targets.dedup_by(|later, first| later.instance == first.instance);
        self.routers = routers;
        targets
    }

    /// Determines which targets have changed since the last call.
    ///
    /// Most replies contain no announcement; the views are merged again only when one has changed or
    /// when other registry processes are in use.
    pub fn difference(&mut self, now: Instant) -> Difference {
        let used = self.used_registries(now);
        if !self.changed && used == self.merged {
            return Difference::default();
        }
        self.changed = false;
        self.merged = used;
        let targets = self.merge();
        let find = |list: &[Target], name: &instance::Name| {
            list.binary_search_by(|t| t.instance.cmp(name)).ok()
        };
        let changed = targets.iter().filter(|target| {
            let known = find(&self.targets, &target.instance).map(|index| &self.targets[index]);
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

/// Starts to follow those registry processes that are not followed yet.
pub fn follow(state: &Arc<State>, addresses: &[SocketAddr], stop: &watch::Receiver<bool>) {
    for &address in addresses {
        let now = state.now();
        if state.views.lock().add(address, now) {
            info!(event = "registry-met", address = address.to_string().as_str(); "following a new registry process");
            tokio::spawn(watch_registry(Arc::clone(state), address, stop.clone()));
            tokio::spawn(push_announcements(Arc::clone(state), address, stop.clone()));
        }
    }
}

async fn watch_registry(state: Arc<State>, address: SocketAddr, mut stop: watch::Receiver<bool>) {
    let link = Link::new(address);
    let mut progress = Progress::default();
    let mut cursor = Cursor::default();
    let mut reachable = false;
    loop {
        let interest = interest(&state, progress, reachable);
        let reads_items = matches!(interest, Interest::Items(_));
        let request = Request::Watch {
            cursor: Cursor {
                items: if reads_items {
                    progress.revision()
                } else {
                    cursor.items
                },
                ..cursor
            },
            announcement: state.announcement(),
            wait_ms: watch_wait(&state, interest, progress).as_millis() as u32,
            interest,
            needs_departures: !state.backend.lock().is_restored(),
        };
        let requested_at = state.now();
        let reply = tokio::select! {
            () = listen::stopped(&mut stop) => return,
            reply = link.call(&request, WATCH_WAIT + REPLY_SLACK) => reply,
        };
        match reply {
            Ok(Reply::View {
                cursor: next,
                items,
                items_hash,
                announcements,
                departures,
                registries,
                electorate,
            }) => {
                if !reachable {
                    info!(event = "registry-reachable", address = address.to_string().as_str(); "registry process is reachable");
                }
                reachable = true;
                if next.session != cursor.session {
                    progress = Progress::default();
                }
                cursor = next;
                if let Some(departures) = departures {
                    backend::restore(&state, &departures);
                }
                // A process that does not know what is in force sends nothing to a router without items.
                let had_none = interest == Interest::Items(ItemSetHash::default().0);
                let was_read = reads_items && !(had_none && items.is_empty());
                apply_items(&state, &items);
                let stated = Stated {
                    hash: items_hash,
                    revision: cursor.items,
                    was_read,
                };
                progress.record(stated, state.items().item_set_hash().0);
                merge_crashes(&state, &announcements.changed);
                let now = state.now();
                {
                    let mut views = state.views.lock();
                    views.record_view(address, announcements, &registries, requested_at, now);
                    views.record_electorate(electorate);
                }
                apply_targets(&state);
                follow(&state, &registries, &stop);
                if reads_items {
                    release_items_read(&state);
                }
            }
            other => {
                if reachable {
                    warn!(event = "registry-lost", address = address.to_string().as_str(); "long poll of the registry process failed: {other:?}");
                }
                reachable = false;
                state.views.lock().record_lost(address);
                if reads_items {
                    release_items_read(&state);
                }
                time::sleep(RETRY_INTERVAL).await;
            }
        }
        let now = state.now();
        if state.views.lock().remove_replaced(address, now) {
            info!(event = "registry-forgotten", address = address.to_string().as_str(); "registry process removed: it has been replaced");
            return;
        }
    }
}

/// What to request of the items from a registry process now.
fn interest(state: &State, progress: Progress, reachable: bool) -> Interest {
    let items = state.items();
    let held = items.item_set_hash().0;
    let reads = if items.is_empty() {
        reachable
    } else {
        progress.differs()
    };
    if reads && reserve_items_read(state) {
        Interest::Items(held)
    } else if items.is_empty() {
        Interest::Nothing
    } else {
        Interest::Hash(held)
    }
}

/// Longest wait of the next poll. A router reads items at once, and asks again soon while it lacks some that it must
/// read from this process unless another one sends them first.
fn watch_wait(state: &State, interest: Interest, progress: Progress) -> Duration {
    let has_items = !state.items().is_empty();
    match interest {
        Interest::Items(_) if has_items => Duration::ZERO,
        Interest::Items(_) => WATCH_WAIT,
        Interest::Hash(_) if !progress.differs() => WATCH_WAIT,
        Interest::Hash(_) | Interest::Nothing => FIRST_WATCH_WAIT,
    }
}

/// Reserves a read of the items. Returns false while another registry process is being read from.
fn reserve_items_read(state: &State) -> bool {
    let now = state.now();
    let mut items_read_since = state.items_read_since.lock();
    if items_read_since.is_some_and(|since| now.since(since) < ITEMS_READ_TIMEOUT) {
        return false;
    }
    *items_read_since = Some(now);
    true
}

/// Allows another registry process to be read from, in case this router still lacks items.
fn release_items_read(state: &State) {
    *state.items_read_since.lock() = None;
}

/// Sends changes of this router's announcement immediately, in addition to the long poll.
async fn push_announcements(
    state: Arc<State>,
    address: SocketAddr,
    mut stop: watch::Receiver<bool>,
) {
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
        if let Err(error) = link.call(&request, ANNOUNCE_TIMEOUT).await {
            log::debug!(event = "announcement-not-sent", address = address.to_string().as_str(); "cannot send the announcement to the registry process: {error}");
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
        evacuation::apply(state, &table, items);
        *held = Arc::new(table);
        drop(held);
        note::log_effective_items(items);
    }
}

fn merge_crashes(state: &State, announcements: &[Announcement]) {
    let now = state.now();
    for record in announcements.iter().flat_map(|a| &a.crashes) {
        state.crashes.lock().merge(record, now);
    }
}

/// Applies changes of the targets to the routing table.
pub fn apply_targets(state: &State) {
    let now = state.now();
    let mut views = state.views.lock();
    let difference = views.difference(now);
    let sharing = views.sharing_routers(now);
    state.router_count.store(sharing, Ordering::Relaxed);
    if difference.changed.is_empty() && difference.removed.is_empty() {
        return;
    }
    let mut routing = state.routing.lock();
    for name in &difference.removed {
        routing.remove(name);
    }
    routing.set_process_count(views.routers);
    routing.apply(&difference.changed, now);
    drop(routing);
    drop(views);
    for target in &difference.changed {
        info!(event = "target-changed", instance = target.instance.as_str(), service = target.service.as_str(), stage = format!("{:?}", target.state).as_str(); "target is new or has changed");
    }
    for name in &difference.removed {
        info!(event = "target-removed", instance = name.as_str(); "target removed");
    }
}
