//! Incarnations of the local backend server that must not be used again.

use std::net::SocketAddr;

use shallotrill_feed::message::Departure;
use shallotrill_model::instance;

/// Names that are remembered, so that a late announcement does not reactivate an incarnation.
const NAMES_MAX: usize = 16;

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

/// Retired incarnations. The oldest entries are discarded above `NAMES_MAX`.
#[derive(Clone, Debug, Default)]
pub struct List {
    /// Oldest first; at most one entry for each name.
    entries: Vec<Entry>,
}

impl List {
    /// Adds the incarnations of a name that started at `start_time_ms` or before.
    pub fn add(&mut self, instance: &instance::Name, start_time_ms: u64, reason: Reason) {
        let mut known = self.entries.iter_mut();
        if let Some(known) = known.find(|entry| entry.instance == *instance) {
            if start_time_ms > known.start_time_ms {
                known.start_time_ms = start_time_ms;
                known.reason = reason;
            } else if start_time_ms == known.start_time_ms {
                known.reason = known.reason.max(reason);
            }
            return;
        }
        self.entries.push(Entry {
            instance: instance.clone(),
            start_time_ms,
            reason,
        });
        if self.entries.len() > NAMES_MAX {
            self.entries.remove(0);
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
