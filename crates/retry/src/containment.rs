//! Detects and quarantines requests that crash backend servers.
//!
//! A caller resends a request that crashed a backend server, and each further
//! attempt would crash another one. A crash record states that the request with
//! a digest was in flight when one incarnation of a backend server crashed.
//! Records are merged by digest, instance and incarnation, so crashes are
//! counted across the service and a duplicate record counts once.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use shallotrill_model::digest::Digest;
use shallotrill_model::incarnation::Incarnation;
use shallotrill_model::instance;
use shallotrill_model::time::Instant;

/// Crash record: a request was in flight when an incarnation of a backend server crashed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CrashRecord {
    /// Digest of service, method, path and content.
    pub digest: Digest,
    /// Instance of the backend server.
    pub instance: instance::Name,
    /// Incarnation that crashed.
    pub incarnation: Incarnation,
    /// Number of distinct requests in flight there at the time of the crash, including this one.
    pub in_flight: u32,
    /// Whether the record no longer counts against the request: an operator released the digest, or other requests
    /// were in flight at each of its crashes and a later attempt did not crash its backend server.
    pub released: bool,
    /// Age of the record when it was sent, in milliseconds. Without the age, tables
    /// that exchange a record would keep renewing it for each other.
    pub age_ms: u64,
}

/// Whether a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request is not suspected and may run.
    Run,
    /// The request is suspected and may run, at a target with no other request in
    /// flight if possible. [`Table::record_outcome`] must be called when it ends.
    Isolate,
    /// The request is suspected and must wait until an identical request in flight ends, whose outcome shows whether
    /// the request crashes backend servers.
    Wait,
    /// The request is quarantined until this time.
    Quarantined(Instant),
}

/// How the attempt of a suspected request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspectOutcome {
    /// The backend server answered and did not crash.
    Survived,
    /// The backend server crashed, or the outcome is not known.
    SurvivalUnconfirmed,
}

/// Crash records that a reader does not have yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Difference {
    /// Table version that the reader has after applying the records.
    pub version: u64,
    /// The records in the order of their last change, oldest first.
    pub records: Vec<CrashRecord>,
}

/// A suspected request, as in the state dump.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suspect {
    /// Digest of the request.
    pub digest: Digest,
    /// Crash records that are not released, which are the reason for the suspicion.
    pub records: Vec<CrashRecord>,
    /// Number of crashes that count towards the crash limit.
    pub crashes: u32,
    /// Evidence against the request, for display only: each crash contributes 1000 divided by the number of requests in flight.
    pub weight_permille: u32,
    /// End of the quarantine; `None` when the request is not quarantined.
    pub quarantined: Option<Instant>,
}

/// Parameters of a [`Table`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    crash_limit: u32,
    quarantine: Duration,
    records_max: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            crash_limit: 2,
            quarantine: Duration::from_mins(10),
            records_max: 4_096,
        }
    }
}

impl Config {
    /// Sets the number of counted crashes that starts a quarantine.
    #[must_use]
    pub const fn crash_limit(mut self, crashes: u32) -> Self {
        self.crash_limit = crashes;
        self
    }

    /// Sets the length of a quarantine, which is also the retention period of a crash record.
    #[must_use]
    pub const fn quarantine(mut self, length: Duration) -> Self {
        self.quarantine = length;
        self
    }

    /// Sets the maximum number of crash records; the record with the oldest change is evicted first.
    #[must_use]
    pub const fn records_max(mut self, records: usize) -> Self {
        self.records_max = records;
        self
    }
}

#[derive(Clone, Debug)]
struct VersionedRecord {
    record: CrashRecord,
    version: u64,
    expires_at: Instant,
}

/// Crash records of one service, sorted by digest, instance and incarnation.
#[derive(Debug)]
pub struct Table {
    config: Config,
    version: u64,
    entries: Vec<VersionedRecord>,
    running_suspects: Vec<Digest>,
}

impl Table {
    /// Creates an empty table.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            version: 0,
            entries: Vec::new(),
            running_suspects: Vec::new(),
        }
    }

    /// Records the digests of the requests that were in flight when a backend server crashed.
    pub fn observe_crash(
        &mut self,
        instance: &instance::Name,
        incarnation: Incarnation,
        in_flight: &[Digest],
        now: Instant,
    ) {
        let mut digests = in_flight.to_vec();
        digests.sort_unstable();
        digests.dedup();
        // Identical requests count once: the evidence is divided among distinct requests.
        let distinct = u32::try_from(digests.len()).unwrap_or(u32::MAX);
        for digest in digests {
            let record = CrashRecord {
                digest,
                instance: instance.clone(),
                incarnation,
                in_flight: distinct,
                released: false,
                age_ms: 0,
            };
            self.merge(record, now);
        }
    }

    /// Merges a crash record from another node. The order of deliveries and duplicates have no effect on the result.
    pub fn merge(&mut self, record: CrashRecord, now: Instant) {
        let age = Duration::from_millis(record.age_ms);
        let Some(remaining) = self
            .config
            .quarantine
            .checked_sub(age)
            .filter(|remaining| !remaining.is_zero())
        else {
            return;
        };
        let expires_at = now + remaining;
        match self.position(&record) {
            Ok(index) => self.update(index, &record, expires_at),
            Err(index) => {
                self.version += 1;
                let entry = VersionedRecord {
                    record,
                    version: self.version,
                    expires_at,
                };
                self.entries.insert(index, entry);
                self.evict();
            }
        }
    }

    /// Decides whether a request may run. A suspected request that may run is recorded as in flight.
    pub fn admit(&mut self, digest: Digest, now: Instant) -> Admission {
        self.expire(now);
        if let Some(until) = self.quarantined(digest) {
            return Admission::Quarantined(until);
        }
        if self.unreleased(digest).next().is_none() {
            return Admission::Run;
        }
        match self.running_suspects.binary_search(&digest) {
            Ok(_) => Admission::Wait,
            Err(index) => {
                self.running_suspects.insert(index, digest);
                Admission::Isolate
            }
        }
    }

    /// Records the end of a suspected request that was admitted with [`Admission::Isolate`].
    ///
    /// Releases its crash records if other requests were in flight at each of its
    /// crashes and this attempt did not crash the backend server.
    pub fn record_outcome(&mut self, digest: Digest, ending: SuspectOutcome) {
        if let Ok(index) = self.running_suspects.binary_search(&digest) {
            self.running_suspects.remove(index);
        }
        let never_alone = self
            .unreleased(digest)
            .all(|entry| entry.record.in_flight > 1);
        if ending == SuspectOutcome::Survived && never_alone {
            self.release(digest);
        }
    }

    /// Releases a digest, for example on request of an operator. Returns whether it was suspected.
    ///
    /// The records stay, marked as released, so that a late duplicate does not make the digest suspected again.
    pub fn release(&mut self, digest: Digest) -> bool {
        let mut found = false;
        for entry in self
            .entries
            .iter_mut()
            .filter(|entry| entry.record.digest == digest)
        {
            if !entry.record.released {
                self.version += 1;
                entry.record.released = true;
                entry.version = self.version;
                found = true;
            }
        }
        found
    }

    /// Removes crash records that are older than the length of the quarantine.
    pub fn expire(&mut self, now: Instant) {
        self.entries.retain(|entry| now < entry.expires_at);
        let entries = &self.entries;
        let suspected =
            |digest: &Digest| entries.binary_search_by(|entry| entry.record.digest.cmp(digest));
        self.running_suspects
            .retain(|digest| suspected(digest).is_ok());
    }

    /// Returns the crash records that changed after version `since`.
    ///
    /// Versions of different tables are not comparable: a reader passes zero after it switches to another table.
    pub fn difference(&self, since: u64, now: Instant) -> Difference {
        let mut changed: Vec<&VersionedRecord> = self
            .entries
            .iter()
            .filter(|entry| entry.version > since)
            .collect();
        changed.sort_unstable_by_key(|entry| entry.version);
        Difference {
            version: self.version,
            records: changed
                .into_iter()
                .map(|entry| self.export(entry, now))
                .collect(),
        }
    }

    /// Returns the suspected requests with their crash records, for the state dump.
    pub fn suspects(&self) -> Vec<Suspect> {
        let mut digests: Vec<Digest> = self
            .entries
            .iter()
            .map(|entry| entry.record.digest)
            .collect();
        digests.dedup();
        let suspects = digests.into_iter().map(|digest| self.suspect(digest));
        suspects
            .filter(|suspect| !suspect.records.is_empty())
            .collect()
    }

    fn suspect(&self, digest: Digest) -> Suspect {
        let records: Vec<CrashRecord> = self
            .unreleased(digest)
            .map(|entry| entry.record.clone())
            .collect();
        let weight = |record: &CrashRecord| 1_000 / record.in_flight.max(1);
        Suspect {
            digest,
            crashes: self.crashes(digest),
            weight_permille: records.iter().map(weight).sum(),
            quarantined: self.quarantined(digest),
            records,
        }
    }

    /// Counts the crashes of a digest. A single crash counts only if no other request was in flight; two or more always count.
    fn crashes(&self, digest: Digest) -> u32 {
        let total = self.unreleased(digest).count();
        let alone = self
            .unreleased(digest)
            .filter(|entry| entry.record.in_flight <= 1);
        let counted = if total >= 2 { total } else { alone.count() };
        u32::try_from(counted).unwrap_or(u32::MAX)
    }

    fn quarantined(&self, digest: Digest) -> Option<Instant> {
        let latest = self
            .unreleased(digest)
            .map(|entry| entry.expires_at)
            .max()?;
        (self.crashes(digest) >= self.config.crash_limit).then_some(latest)
    }

    fn unreleased(&self, digest: Digest) -> impl Iterator<Item = &VersionedRecord> {
        let start = self
            .entries
            .partition_point(|entry| entry.record.digest < digest);
        let same = self.entries[start..]
            .iter()
            .take_while(move |entry| entry.record.digest == digest);
        same.filter(|entry| !entry.record.released)
    }

    fn export(&self, entry: &VersionedRecord, now: Instant) -> CrashRecord {
        let remaining = entry.expires_at.since(now);
        let age = self.config.quarantine.saturating_sub(remaining);
        let mut record = entry.record.clone();
        record.age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        record
    }

    fn update(&mut self, index: usize, record: &CrashRecord, expires_at: Instant) {
        let entry = &mut self.entries[index];
        entry.expires_at = entry.expires_at.min(expires_at);
        let stored = &mut entry.record;
        let in_flight = stored.in_flight.min(record.in_flight);
        let released = stored.released || record.released;
        if (in_flight, released) != (stored.in_flight, stored.released) {
            stored.in_flight = in_flight;
            stored.released = released;
            self.version += 1;
            self.entries[index].version = self.version;
        }
    }

    fn evict(&mut self) {
        if self.entries.len() > self.config.records_max {
            let oldest = (0..self.entries.len()).min_by_key(|index| self.entries[*index].version);
            self.entries
                .remove(oldest.expect("the table is over its limit, so it is not empty"));
        }
    }

    fn position(&self, record: &CrashRecord) -> Result<usize, usize> {
        let key = (&record.digest, &record.instance, record.incarnation);
        self.entries.binary_search_by(|entry| {
            (
                &entry.record.digest,
                &entry.record.instance,
                entry.record.incarnation,
            )
                .cmp(&key)
        })
    }
}
