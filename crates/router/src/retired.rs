//! Incarnations of the local backend server that must not be used again.

use std::net::SocketAddr;

use shallotrill_feed::message::Departure;
use shallotrill_model::instance;

/// Names that are remembered, so that a late announcement does not reactivate an incarnation. Announcements arrive late
/// by seconds; an address does not get as many backend servers in that time.
const NAMES_MAX: usize = 256;

/// Why an incarnation must not be used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// A later one has announced itself.
    Superseded,
    /// It has stated its departure, which registry processes must store before it is acknowledged.
    Departed,
    /// It has departed, and registry processes have stored that.
    Stored,
}

/// The incarnations of a name that must not be used again.
#[derive(Clone, Debug)]
struct Entry {
    instance: instance::Name,
    /// Start of the latest of them.
    start_time_ms: u64,
    reason: Reason,
}

/// Retired incarnations. Above `NAMES_MAX`, the oldest entries are discarded, except for departures that registry
/// processes have not stored yet: those would otherwise be acknowledged without being stored.
#[derive(Clone, Debug, Default)]
pub struct List {
    /// Oldest first; at most one entry for each name.
    entries: Vec<Entry>,
}

impl List {
    /// Adds the incarnations of a name that started at `start_time_ms` or before.
    pub fn add(&mut self, instance: &instance::Name, start_time_ms: u64, reason: Reason) {
        let mut known = self.entries.iter();
        if let Some(index) = known.position(|entry| entry.instance == *instance) {
            let known = &mut self.entries[index];
            if start_time_ms <= known.start_time_ms {
                if start_time_ms == known.start_time_ms {
                    known.reason = known.reason.max(reason);
                }
                return;
            }
            self.entries.remove(index);
        }
        self.entries.push(Entry {
            instance: instance.clone(),
            start_time_ms,
            reason,
        });
        if self.entries.len() > NAMES_MAX {
            let mut entries = self.entries.iter();
            if let Some(oldest) = entries.position(|entry| entry.reason != Reason::Departed) {
                self.entries.remove(oldest);
            }
        }
    }

    /// Whether an incarnation must not be used again.
    pub fn contains(&self, instance: &instance::Name, start_time_ms: u64) -> bool {
        let mut entries = self.entries.iter();
        entries.any(|known| known.instance == *instance && start_time_ms <= known.start_time_ms)
    }

    /// Departures that must be stored by registry processes before they are acknowledged.
    pub fn unconfirmed(&self, router: SocketAddr) -> Vec<Departure> {
        let entries = self.entries.iter();
        let unconfirmed = entries.filter(|entry| entry.reason == Reason::Departed);
        let departure = |entry: &Entry| Departure {
            router,
            instance: entry.instance.clone(),
            start_time_ms: entry.start_time_ms,
        };
        unconfirmed.map(departure).collect()
    }

    /// Records that registry processes have stored departures.
    pub fn confirm(&mut self, departures: &[Departure]) {
        for entry in &mut self.entries {
            let stored = departures.iter().any(|departure| {
                departure.instance == entry.instance
                    && departure.start_time_ms >= entry.start_time_ms
            });
            if stored {
                entry.reason = Reason::Stored;
            }
        }
    }
}
