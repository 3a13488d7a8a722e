//! Expiry of grants at the members of a claim group, by elapsed time.
//!
//! The holder counts the age of a grant from before it sent the request; a
//! member counts from when it accepted or first read the open record. A member
//! therefore treats a grant as expired only after its holder does. The start of
//! the count is not durable: each process incarnation counts from zero, because
//! it cannot know for how long the process was down.

use std::time::Duration;

use crate::grant::VALIDITY_PERIOD;
use crate::key::Key;
use crate::record::Record;
use crate::record::State;
use shallotrill_model::attempt;
use shallotrill_model::time;

/// Age at which a member treats a grant as expired: its validity and 5% for clocks that run at
/// different rates.
pub const EXPIRY_TIMEOUT: Duration =
    Duration::from_millis(VALIDITY_PERIOD.as_millis() as u64 * 105 / 100);

#[derive(Clone, Debug)]
struct Entry {
    key: Key,
    attempt: attempt::Number,
    seen: time::Instant,
}

/// Records with an open grant that this process has seen, and when it first saw them.
#[derive(Clone, Debug, Default)]
pub struct GrantExpiry {
    entries: Vec<Entry>,
}

impl GrantExpiry {
    /// Creates an instance without records.
    pub const fn new() -> Self {
        Self {
            entries: Vec::new(),
        }
    }

    /// Observes the record of a key that this member accepted, read or restored.
    ///
    /// The first open record of an attempt starts its count; a record that is no longer open ends it.
    pub fn observe(&mut self, key: &Key, record: &Record, now: time::Instant) {
        let open = matches!(record.state, State::Open { .. });
        let attempt = record.attempt;
        match self.find(key) {
            Ok(index) if !open && attempt >= self.entries[index].attempt => {
                self.entries.remove(index);
            }
            Ok(index) if open && attempt > self.entries[index].attempt => {
                self.entries[index].attempt = attempt;
                self.entries[index].seen = now;
            }
            Err(index) if open => {
                let key = key.clone();
                let seen = now;
                self.entries.insert(index, Entry { key, attempt, seen });
            }
            _ => {}
        }
    }

    /// Whether the grant of an attempt may be treated as expired; false for an attempt that was never seen.
    pub fn is_expired(&self, key: &Key, attempt: attempt::Number, now: time::Instant) -> bool {
        let Ok(index) = self.find(key) else {
            return false;
        };
        let entry = &self.entries[index];
        entry.attempt == attempt && now.since(entry.seen) >= EXPIRY_TIMEOUT
    }

    /// The keys and attempts whose grants may be treated as expired.
    pub fn expired(&self, now: time::Instant) -> Vec<(Key, attempt::Number)> {
        let due = |entry: &&Entry| now.since(entry.seen) >= EXPIRY_TIMEOUT;
        self.entries
            .iter()
            .filter(due)
            .map(|entry| (entry.key.clone(), entry.attempt))
            .collect()
    }

    /// Drops the entries of keys issued before the horizon.
    pub fn expire_keys_before(&mut self, horizon: time::Wall) {
        let expired_count = self.entries.partition_point(|e| e.key.time() < horizon);
        self.entries.drain(..expired_count);
    }

    fn find(&self, key: &Key) -> Result<usize, usize> {
        self.entries.binary_search_by(|entry| entry.key.cmp(key))
    }
}
