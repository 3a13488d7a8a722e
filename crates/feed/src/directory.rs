//! Addresses of the registry processes that a process follows, and when one of them is removed.
//!
//! A process that is cut off from all registry processes must find them again by itself, however long the cut lasts.
//! Silence alone therefore removes no address: it takes the statements of processes that are in contact.

use std::net::SocketAddr;
use std::time::Duration;

use shallotrill_model::time::Instant;

/// A registry process without contact for this long may be removed.
pub const RETENTION_PERIOD: Duration = Duration::from_secs(30);

#[derive(Clone, Debug)]
struct Entry {
    address: SocketAddr,
    last_contact: Instant,
    /// Whether the last call got a reply.
    in_contact: bool,
    /// Registry processes that the last reply named.
    named: Vec<SocketAddr>,
}

/// The known registry processes.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    /// Addresses of the settings in force. They are never removed.
    seeds: Vec<SocketAddr>,
    /// Sorted by address.
    entries: Vec<Entry>,
}

impl Directory {
    /// Replaces the seeds by those of the settings in force. Earlier seeds stay known until they are removed like any
    /// other address.
    pub fn set_seeds(&mut self, seeds: &[SocketAddr]) {
        self.seeds = seeds.to_vec();
    }

    /// The seeds of the settings in force.
    pub fn seeds(&self) -> &[SocketAddr] {
        &self.seeds
    }

    /// Adds a registry process. Returns whether it is new.
    pub fn add(&mut self, address: SocketAddr, now: Instant) -> bool {
        let Err(index) = self.find(address) else {
            return false;
        };
        let entry = Entry {
            address,
            last_contact: now,
            in_contact: false,
            named: Vec::new(),
        };
        self.entries.insert(index, entry);
        true
    }

    /// Whether a registry process is known.
    pub fn contains(&self, address: SocketAddr) -> bool {
        self.find(address).is_ok()
    }

    /// Records a reply, with the registry processes that it named.
    pub fn record_contact(&mut self, address: SocketAddr, named: &[SocketAddr], now: Instant) {
        if let Ok(index) = self.find(address) {
            let entry = &mut self.entries[index];
            entry.last_contact = now;
            entry.in_contact = true;
            if entry.named != named {
                entry.named = named.to_vec();
            }
        }
    }

    /// Records a call without a reply.
    pub fn record_failure(&mut self, address: SocketAddr) {
        if let Ok(index) = self.find(address) {
            self.entries[index].in_contact = false;
        }
    }

    /// Removes a registry process that has been replaced. Returns whether it was removed.
    ///
    /// It has been without contact for [`RETENTION_PERIOD`], is not a seed, and more than half of the known processes
    /// are in contact and do not name it. The smaller side of a cut therefore removes nothing.
    pub fn remove_replaced(&mut self, address: SocketAddr, now: Instant) -> bool {
        let Ok(index) = self.find(address) else {
            return false;
        };
        if now.since(self.entries[index].last_contact) <= RETENTION_PERIOD
            || self.seeds.contains(&address)
        {
            return false;
        }
        let reachable = self.entries.iter().filter(|entry| entry.in_contact);
        let is_named = reachable
            .clone()
            .any(|entry| entry.named.contains(&address));
        if is_named || reachable.count() * 2 <= self.entries.len() {
            return false;
        }
        self.entries.remove(index);
        true
    }

    fn find(&self, address: SocketAddr) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|entry| entry.address.cmp(&address))
    }
}
