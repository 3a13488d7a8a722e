//! Crash records of all services, which control processes distribute to nodes.

use std::time::Duration;

use shallotrill_control_client::lease::Crash;
use shallotrill_model::digest::Digest;
use shallotrill_model::incarnation::Incarnation;
use shallotrill_model::instance;
use shallotrill_model::time::Instant;

/// Maximum number of stored crash records; the oldest are dropped first.
const CRASHES_MAX: usize = 10_000;

/// Age after which a crash record is dropped: no quarantine lasts longer by default.
const CRASH_MAX_AGE: Duration = Duration::from_hours(1);

#[derive(Clone, Debug)]
struct StoredCrash {
    crash: Crash,
    version: u64,
    /// Time of the crash by the clock of this process.
    crashed_at: Instant,
}

/// Identity of a crash record, used to drop duplicates.
type Key = (Digest, instance::Name, Incarnation, bool);

fn key(crash: &Crash) -> Key {
    let record = &crash.record;
    (
        record.digest,
        record.instance.clone(),
        record.incarnation,
        record.released,
    )
}

/// Crash records in the order in which this process received them.
#[derive(Debug, Default)]
pub(crate) struct Crashes {
    records: Vec<StoredCrash>,
    /// Sorted keys of the records, to drop duplicates: each other control process sends every record once.
    keys: Vec<Key>,
    version: u64,
}

impl Crashes {
    /// Adds crash records; returns whether any was new.
    pub(crate) fn add(&mut self, crashes: Vec<Crash>, now: Instant) -> bool {
        let before = self.version;
        for crash in crashes {
            let key = key(&crash);
            let Err(index) = self.keys.binary_search(&key) else {
                continue;
            };
            self.keys.insert(index, key);
            self.version += 1;
            let age_us = crash.record.age_ms.saturating_mul(1_000);
            let stored = StoredCrash {
                crash,
                version: self.version,
                crashed_at: Instant(now.0.saturating_sub(age_us)),
            };
            self.records.push(stored);
        }
        let excess = self.records.len().saturating_sub(CRASHES_MAX);
        let dropped: Vec<StoredCrash> = self.records.drain(..excess).collect();
        self.remove_keys(&dropped);
        self.version > before
    }

    fn remove_keys(&mut self, dropped: &[StoredCrash]) {
        for stored in dropped {
            if let Ok(index) = self.keys.binary_search(&key(&stored.crash)) {
                self.keys.remove(index);
            }
        }
    }

    /// Drops records that have reached [`CRASH_MAX_AGE`].
    pub(crate) fn expire(&mut self, now: Instant) {
        let is_expired = |stored: &mut StoredCrash| now.since(stored.crashed_at) >= CRASH_MAX_AGE;
        let dropped: Vec<StoredCrash> = self.records.extract_if(.., is_expired).collect();
        self.remove_keys(&dropped);
    }

    /// Returns the records added after a version, with their current ages, and the current version.
    ///
    /// A version above the current one is from an earlier incarnation of this process, so all records are returned.
    pub(crate) fn since(&self, version: u64, now: Instant) -> (Vec<Crash>, u64) {
        let from = if version > self.version { 0 } else { version };
        let start = self
            .records
            .partition_point(|stored| stored.version <= from);
        let records = self.records[start..].iter();
        let aged = records.map(|stored| {
            let mut crash = stored.crash.clone();
            crash.record.age_ms = now.since(stored.crashed_at).as_millis() as u64;
            crash
        });
        (aged.collect(), self.version)
    }

    /// Version of the latest record.
    pub(crate) const fn version(&self) -> u64 {
        self.version
    }

    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }
}
