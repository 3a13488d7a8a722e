//! Shared state of a registry process.

use std::net::SocketAddr;
use std::sync::Arc;

use log::warn;
use tokio::sync::watch;

use crate::announcements;
use crate::metrics::Metrics;
use crate::settings::Settings;
use crate::store::Content;
use crate::store::Store;
use shallotrill_feed::link::Link;
use shallotrill_items::ballot::Ballot;
use shallotrill_items::ballot::Identity;
use shallotrill_items::replica::Replica;
use shallotrill_items::roster::Roster;
use shallotrill_locks::Mutex;
use shallotrill_model::time::Instant;
use shallotrill_process::clock::Clock;

/// The registers and who else holds them.
#[derive(Debug)]
pub struct Agreement {
    /// The registers.
    pub replica: Replica,
    /// The registry processes.
    pub roster: Roster,
    /// The highest ballot that was seen.
    pub seen: Ballot,
    /// Changes of the registers and of the own vote.
    pub changes: u64,
}

/// Another registry process.
#[derive(Debug)]
pub struct Peer {
    /// For proposals. The long poll has a link of its own.
    pub link: Link,
    /// When it was last copied whole.
    pub copied: Mutex<Option<Instant>>,
}

/// Shared state.
///
/// Lock order: `announcements`, `peers`, `agreement`, then those of a peer.
#[derive(Debug)]
pub struct State {
    /// The settings.
    pub settings: Settings,
    /// Tells this process from an earlier one at the same address.
    pub session: u64,
    /// Drawn at each start: a process that restarts must not use the number of an earlier proposal
    /// again, and its disk may not know the last one.
    pub proposer: Identity,
    /// The clock.
    pub clock: Clock,
    /// The announcements of routers.
    pub announcements: Mutex<announcements::Table>,
    /// Other registry processes, sorted by address.
    pub peers: Mutex<Vec<Arc<Peer>>>,
    /// The registers.
    pub agreement: Mutex<Agreement>,
    /// Wakes long polls.
    pub changed: watch::Sender<u64>,
    /// Becomes true when the process stops.
    pub stop: watch::Sender<bool>,
    /// Counters and gauges.
    pub metrics: Metrics,
    /// The disk.
    pub store: Store,
}

impl State {
    /// The present time.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Wakes long polls.
    pub fn notify(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    /// Makes the registers durable as they are now. Returns whether the disk took them.
    pub async fn persist(&self) -> bool {
        let changes = self.agreement.lock().changes;
        let content = || {
            let agreement = self.agreement.lock();
            let content = Content {
                votes: agreement.roster.own().votes,
                replica: agreement.replica.clone(),
            };
            (agreement.changes, content)
        };
        match self.store.persist(changes, &content).await {
            Ok(()) => true,
            Err(failure) => {
                warn!(event = "disk-refused"; "{failure}");
                false
            }
        }
    }

    /// The links to all other registry processes.
    pub fn peers(&self) -> Vec<Arc<Peer>> {
        self.peers.lock().clone()
    }

    /// Addresses of all known registry processes, the own one included.
    pub fn registries(&self) -> Vec<SocketAddr> {
        let mut addresses = self.agreement.lock().roster.addresses();
        addresses.push(self.settings.address());
        addresses
    }
}
