//! Table of the departures that routers have acknowledged to their backend servers.
//!
//! A backend server that has departed must not receive requests again, also when its router has restarted and an
//! announcement that was sent before the departure arrives late.

use std::net::SocketAddr;

use shallotrill_feed::message::Departure;
use shallotrill_model::instance;

/// Departures that are kept. Announcements arrive late by seconds; the replacement of every target of a large
/// deployment in one release takes longer than that to fill the table.
const DEPARTURES_MAX: usize = 8_192;

#[derive(Clone, Debug)]
struct Entry {
    departure: Departure,
    /// Revision of the table at the last change of this entry.
    changed: u64,
}

/// Departures of the backend servers of all routers. The oldest are discarded above `DEPARTURES_MAX`.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// Sorted by router and instance.
    entries: Vec<Entry>,
    revision: u64,
}

impl Table {
    /// Revision of the table; increases with each change.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Adds departures. Returns whether the table changed.
    pub fn merge(&mut self, departures: &[Departure]) -> bool {
        let before = self.revision;
        for departure in departures {
            self.add(departure);
        }
        while self.entries.len() > DEPARTURES_MAX {
            let oldest = self.entries.iter().enumerate();
            let Some((oldest, _)) = oldest.min_by_key(|(_, entry)| entry.changed) else {
                break;
            };
            self.entries.remove(oldest);
        }
        self.revision > before
    }

    fn add(&mut self, departure: &Departure) {
        let found = self
            .entries
            .binary_search_by(|entry| key(&entry.departure).cmp(&key(departure)));
        let changed = self.revision + 1;
        match found {
            Ok(index) => {
                let entry = &mut self.entries[index];
                if entry.departure.start_time_ms >= departure.start_time_ms {
                    return;
                }
                entry.departure.start_time_ms = departure.start_time_ms;
                entry.changed = changed;
            }
            Err(index) => {
                let entry = Entry {
                    departure: departure.clone(),
                    changed,
                };
                self.entries.insert(index, entry);
            }
        }
        self.revision = changed;
    }

    /// Departures that changed after a revision, oldest first.
    pub fn since(&self, revision: u64) -> Vec<Departure> {
        let changed = self.entries.iter().filter(|entry| entry.changed > revision);
        let mut changed: Vec<&Entry> = changed.collect();
        changed.sort_by_key(|entry| entry.changed);
        changed.iter().map(|e| e.departure.clone()).collect()
    }

    /// Departures that a router has reported, oldest first: it discards the oldest of too many.
    pub fn of(&self, router: SocketAddr) -> Vec<Departure> {
        let start = self
            .entries
            .partition_point(|e| e.departure.router < router);
        let entries = self.entries[start..].iter();
        let entries = entries.take_while(|entry| entry.departure.router == router);
        let mut entries: Vec<&Entry> = entries.collect();
        entries.sort_by_key(|entry| entry.changed);
        entries.iter().map(|e| e.departure.clone()).collect()
    }
}

const fn key(departure: &Departure) -> (SocketAddr, &instance::Name) {
    (departure.router, &departure.instance)
}
