//! Shared state of a registry process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use log::info;
use log::warn;
use tokio::sync::Mutex as AsyncMutex;
use tokio::sync::Notify;
use tokio::sync::watch;

use crate::allotments;
use crate::announcements;
use crate::departures;
use crate::metrics::Metrics;
use crate::settings::Settings;
use crate::store;
use crate::store::Content;
use crate::store::Store;
use shallotrill_feed::directory::Directory;
use shallotrill_feed::link::Link;
use shallotrill_feed::message::Cursor;
use shallotrill_items::ballot::Ballot;
use shallotrill_items::ballot::Identity;
use shallotrill_items::item::Item;
use shallotrill_items::item_set_hash::ItemSetHash;
use shallotrill_items::replica::Accepted;
use shallotrill_items::replica::Entry;
use shallotrill_items::replica::Proposal;
use shallotrill_items::replica::Replica;
use shallotrill_items::roster::Roster;
use shallotrill_items::voters;
use shallotrill_locks::Mutex;
use shallotrill_model::time::Instant;
use shallotrill_process::clock::Clock;
use shallotrill_wire::budget::Budget;
use shallotrill_wire::listen::Limit;

/// State of the consensus protocol: the registers, and the registry processes that replicate them.
#[derive(Debug)]
pub struct ConsensusState {
    /// The local replica of the registers.
    pub replica: Replica,
    /// All known registry processes and their votes.
    pub roster: Roster,
    /// The highest ballot in any received message; the next proposal uses a higher one.
    pub highest_ballot: Ballot,
    /// Number of changes of the registers.
    pub changes: u64,
    /// Hash of the items for routers at a revision of the replica; computed again only after a change, since
    /// every router asks for it.
    pub hashed: Option<(u64, ItemSetHash)>,
}

/// A process without copies of a quorum within this time has probably lost its quorum, and does not try to confirm
/// what is in force for a waiting router. It covers two long polls between registry processes and the delay of a busy
/// one.
const COPY_AGE_MAX: Duration = Duration::from_secs(2);

impl ConsensusState {
    /// Hash of the committed items that routers need.
    pub fn items_hash(&mut self) -> ItemSetHash {
        let revision = self.replica.revision();
        match self.hashed {
            Some((hashed_revision, hash)) if hashed_revision == revision => hash,
            _ => {
                let hash = ItemSetHash::of(self.items_for_routers());
                self.hashed = Some((revision, hash));
                hash
            }
        }
    }

    fn items_for_routers(&self) -> impl Iterator<Item = &Item> {
        let committed = self.replica.committed().map(Arc::as_ref);
        committed.filter(|item| item.key.kind.is_for_routers())
    }

    /// Commits items that a quorum has accepted. Returns whether this changes anything.
    pub fn commit(&mut self, ballot: Ballot, items: &[Arc<Item>]) -> bool {
        let changed = self.replica.commit(ballot, items);
        self.record_change(changed);
        changed
    }

    /// Merges registers of another process. Returns whether this changes anything.
    pub fn merge(&mut self, entries: &[Entry], proposals: &[Proposal]) -> bool {
        let promised = entries.iter().map(|e| e.promised).max();
        self.highest_ballot = self.highest_ballot.max(promised.unwrap_or_default());
        let changed = self.replica.merge(entries, proposals);
        self.record_change(changed);
        changed
    }

    fn record_change(&mut self, changed: bool) {
        self.changes += u64::from(changed);
        let committed = self.replica.get(&voters::key());
        if let Some(list) = committed.and_then(|entry| entry.committed.as_ref())
            && self.roster.set_voters(list)
        {
            info!(event = "voters-changed", version = list.version, voters = voters::of(list).len(), votes = self.roster.own().votes; "a new list of voters is in force");
        }
    }

    /// Takes over the list of voters that was read from disk.
    pub fn restore_voters(&mut self) {
        self.record_change(false);
        self.roster.record_durable(self.roster.version());
    }

    /// The list of voters in force, as far as it is known here, with its ballot.
    pub fn voters(&self) -> Option<Accepted> {
        let entry = self.replica.get(&voters::key())?;
        let item = entry.committed.as_ref()?;
        let accepted = entry.accepted.as_ref();
        let accepted = accepted.filter(|accepted| accepted.item == *item);
        Some(Accepted {
            ballot: accepted.map(|accepted| accepted.ballot).unwrap_or_default(),
            item: Arc::clone(item),
        })
    }

    /// Whether the local replica has all items that were committed up to `COPY_AGE_MAX` before `now`.
    ///
    /// What is in force at present is known only after `members::confirm`.
    pub fn is_complete(&self, now: Instant) -> bool {
        let since = Instant(now.0.saturating_sub(COPY_AGE_MAX.as_micros() as u64));
        self.roster.has_copied_quorum(since)
    }
}

/// Another registry process.
#[derive(Debug)]
pub struct Peer {
    /// Connection for proposals and single copies. The long poll uses a separate one.
    pub link: Link,
    /// Position up to which its registers were copied.
    pub cursor: Mutex<Cursor>,
}

/// The other registry processes that this one follows.
#[derive(Debug, Default)]
pub struct Peers {
    /// Their addresses, and when one is removed.
    pub directory: Directory,
    /// Sorted by address; the same addresses as in `directory`.
    pub list: Vec<Arc<Peer>>,
}

/// Limits of the listeners of a registry process.
#[derive(Debug)]
pub struct Listeners {
    /// Of other processes.
    pub processes: Arc<Limit>,
    /// Of operators.
    pub operators: Arc<Limit>,
}

/// Shared state of a registry process.
///
/// Lock order: `announcements`, `allotments`, `peers`, `departures`, `consensus`, then the locks of a [`Peer`].
#[derive(Debug)]
pub struct State {
    /// Settings of this process.
    pub settings: Settings,
    /// Distinguishes this process from earlier ones at the same address: its start time.
    pub session: u64,
    /// Random number drawn at each start. A restarted process must not reuse the ballot of an earlier
    /// proposal, and its disk may not contain the last one.
    pub proposer: Identity,
    /// Clock of the process.
    pub clock: Clock,
    /// Announcements of routers with their leases.
    pub announcements: Mutex<announcements::Table>,
    /// Credit of the workspaces with an allotment.
    pub allotments: Mutex<allotments::Table>,
    /// Departures that routers have acknowledged to their backend servers.
    pub departures: Mutex<departures::Table>,
    /// Other registry processes.
    pub peers: Mutex<Peers>,
    /// Held while the registers of the other processes are copied to confirm what is in force.
    pub confirming: AsyncMutex<()>,
    /// The replicated registers.
    pub consensus: Mutex<ConsensusState>,
    /// Counter of changes; a change wakes the waiting long polls.
    pub changed: watch::Sender<u64>,
    /// Notified when a new version of the voters is in force here.
    pub voters_changed: Notify,
    /// Set when the process stops.
    pub stop: watch::Sender<bool>,
    /// Memory that is kept for others.
    pub memory: Arc<Budget>,
    /// Limits of the listeners.
    pub listeners: Listeners,
    /// Metrics of this process.
    pub metrics: Metrics,
    /// Store of the registers on disk.
    pub store: Store,
}

impl State {
    /// The current time.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Wakes the waiting long polls after a change.
    pub fn notify(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    /// Writes the current registers to disk. Returns whether they are durable.
    pub async fn persist(&self) -> bool {
        let changes = self.consensus.lock().changes;
        let written_version = AtomicU64::new(0);
        let content = || {
            let consensus = self.consensus.lock();
            let content = Content {
                founder: consensus.roster.own().founder,
                replica: consensus.replica.clone(),
            };
            written_version.store(consensus.roster.version(), Ordering::Relaxed);
            (consensus.changes, store::encode(&content))
        };
        match self.store.registers.persist(changes, &content).await {
            Ok(()) => {
                let version = written_version.load(Ordering::Relaxed);
                let mut consensus = self.consensus.lock();
                consensus.roster.record_durable(version);
                true
            }
            Err(failure) => {
                warn!(event = "disk-refused"; "cannot write the registers to disk: {failure}");
                false
            }
        }
    }

    /// Writes the current departures to disk. Returns whether they are durable.
    pub async fn persist_departures(&self) -> bool {
        let revision = self.departures.lock().revision();
        let content = || {
            let departures = self.departures.lock();
            (departures.revision(), store::encode(&departures.since(0)))
        };
        match self.store.departures.persist(revision, &content).await {
            Ok(()) => true,
            Err(failure) => {
                warn!(event = "disk-refused"; "cannot write the departures to disk: {failure}");
                false
            }
        }
    }

    /// All other known registry processes.
    pub fn peers(&self) -> Vec<Arc<Peer>> {
        self.peers.lock().list.clone()
    }

    /// Addresses of all known registry processes, including this one.
    pub fn registries(&self) -> Vec<SocketAddr> {
        let mut addresses = self.consensus.lock().roster.addresses();
        addresses.push(self.settings.address());
        addresses
    }
}
