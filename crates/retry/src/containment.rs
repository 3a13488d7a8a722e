//! Requests that crash backend servers are found and quarantined.
//!
//! A caller resends a request that crashed a backend server, and each copy
//! would crash another one. A fact states that a digest was in flight when one
//! life of a backend server ended. Facts are merged by identity, so the count
//! covers the whole service and a fact that arrives twice counts once.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use shallotrill_model::digest::Digest;
use shallotrill_model::incarnation::Incarnation;
use shallotrill_model::instance;
use shallotrill_model::time::Instant;

/// A digest was in flight when a life of a backend server ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fact {
    /// Digest of service, method, path and content.
    pub digest: Digest,
    /// Instance of the backend server.
    pub instance: instance::Name,
    /// The life that ended.
    pub incarnation: Incarnation,
    /// Requests in flight there at that moment, this one included.
    pub in_flight: u32,
    /// Whether an operator released the digest after this fact.
    pub released: bool,
    /// Age of the fact when it was sent, in milliseconds. It keeps tables that
    /// exchange a fact from renewing it for each other.
    pub age_ms: u64,
}

/// Whether a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is not suspected.
    Run,
    /// It is suspected and may run, at a target with nothing else in flight if
    /// possible. [`Table::finished`] is called when it ends.
    Isolate,
    /// It is suspected and another copy is in flight, whose end shows more.
    Wait,
    /// It is quarantined until then.
    Quarantined(Instant),
}

/// How a suspect ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The backend server answered.
    Survived,
    /// The backend server died, or nothing is known.
    Unknown,
}

/// Facts that a reader does not have yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Difference {
    /// Version that the reader holds after applying the facts.
    pub version: u64,
    /// The facts, oldest change first.
    pub facts: Vec<Fact>,
}

/// A suspected digest, as in the state dump.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suspect {
    /// The digest.
    pub digest: Digest,
    /// Facts that are not released, which are the reasons.
    pub facts: Vec<Fact>,
    /// Counted crashes.
    pub crashes: u32,
    /// Sum of 1000 / in-flight requests over the facts.
    pub weight_permille: u32,
    /// End of the quarantine, when there is one.
    pub quarantined: Option<Instant>,
}

/// Parameters of a [`Table`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    crash_limit: u32,
    quarantine: Duration,
    facts_max: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            crash_limit: 2,
            quarantine: Duration::from_mins(10),
            facts_max: 4_096,
        }
    }
}

impl Config {
    /// Sets the counted crashes that lead to a quarantine.
    #[must_use]
    pub const fn crash_limit(mut self, crashes: u32) -> Self {
        self.crash_limit = crashes;
        self
    }

    /// Sets the length of a quarantine, for which a fact is also kept.
    #[must_use]
    pub const fn quarantine(mut self, length: Duration) -> Self {
        self.quarantine = length;
        self
    }

    /// Sets the most facts that are kept; the oldest is evicted first.
    #[must_use]
    pub const fn facts_max(mut self, facts: usize) -> Self {
        self.facts_max = facts;
        self
    }
}

#[derive(Clone, Debug)]
struct Row {
    fact: Fact,
    version: u64,
    expires: Instant,
}

/// Crash facts of one service, sorted by digest, instance and incarnation.
#[derive(Debug)]
pub struct Table {
    config: Config,
    version: u64,
    rows: Vec<Row>,
    running: Vec<Digest>,
}

impl Table {
    /// Makes an empty table.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            version: 0,
            rows: Vec::new(),
            running: Vec::new(),
        }
    }

    /// Notes the digests in flight when a backend server died.
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
        // Copies of one digest count once: evidence is shared between distinct requests.
        let count = u32::try_from(digests.len()).unwrap_or(u32::MAX);
        for digest in digests {
            let fact = Fact {
                digest,
                instance: instance.clone(),
                incarnation,
                in_flight: count,
                released: false,
                age_ms: 0,
            };
            self.merge(fact, now);
        }
    }

    /// Merges a fact from another node. The order and number of deliveries do not matter.
    pub fn merge(&mut self, fact: Fact, now: Instant) {
        let age = Duration::from_millis(fact.age_ms);
        let Some(remaining) = self
            .config
            .quarantine
            .checked_sub(age)
            .filter(|left| !left.is_zero())
        else {
            return;
        };
        let expires = now + remaining;
        match self.position(&fact) {
            Ok(index) => self.update(index, &fact, expires),
            Err(index) => {
                self.version += 1;
                let row = Row {
                    fact,
                    version: self.version,
                    expires,
                };
                self.rows.insert(index, row);
                self.evict();
            }
        }
    }

    /// Decides whether a request may run; a suspect that may is noted as in flight.
    pub fn admit(&mut self, digest: Digest, now: Instant) -> Admission {
        self.expire(now);
        if let Some(until) = self.quarantined(digest) {
            return Admission::Quarantined(until);
        }
        if self.live(digest).next().is_none() {
            return Admission::Run;
        }
        match self.running.binary_search(&digest) {
            Ok(_) => Admission::Wait,
            Err(index) => {
                self.running.insert(index, digest);
                Admission::Isolate
            }
        }
    }

    /// Notes the end of a suspect that [`Admission::Isolate`] let run.
    ///
    /// A suspect that was never alone at a crash and now ended without one was
    /// a bystander, and its facts are released.
    pub fn finished(&mut self, digest: Digest, ending: Ending) {
        if let Ok(index) = self.running.binary_search(&digest) {
            self.running.remove(index);
        }
        let bystander = self.live(digest).all(|row| row.fact.in_flight > 1);
        if ending == Ending::Survived && bystander {
            self.release(digest);
        }
    }

    /// Releases a digest by order of an operator. Returns whether it was suspected.
    ///
    /// The facts stay, marked as released, so that a late duplicate does not suspect the digest again.
    pub fn release(&mut self, digest: Digest) -> bool {
        let mut found = false;
        for row in self.rows.iter_mut().filter(|row| row.fact.digest == digest) {
            if !row.fact.released {
                self.version += 1;
                row.fact.released = true;
                row.version = self.version;
                found = true;
            }
        }
        found
    }

    /// Drops facts that are older than the quarantine.
    pub fn expire(&mut self, now: Instant) {
        self.rows.retain(|row| now < row.expires);
        let rows = &self.rows;
        let suspected = |digest: &Digest| rows.binary_search_by(|row| row.fact.digest.cmp(digest));
        self.running.retain(|digest| suspected(digest).is_ok());
    }

    /// The facts that changed after `since`.
    ///
    /// Versions of different tables are not comparable: a reader passes zero after a switch of source.
    pub fn difference(&self, since: u64, now: Instant) -> Difference {
        let mut changed: Vec<&Row> = self.rows.iter().filter(|row| row.version > since).collect();
        changed.sort_unstable_by_key(|row| row.version);
        Difference {
            version: self.version,
            facts: changed
                .into_iter()
                .map(|row| self.export(row, now))
                .collect(),
        }
    }

    /// The suspected digests with their reasons, for the state dump.
    pub fn suspects(&self) -> Vec<Suspect> {
        let mut digests: Vec<Digest> = self.rows.iter().map(|row| row.fact.digest).collect();
        digests.dedup();
        let suspects = digests.into_iter().map(|digest| self.suspect(digest));
        suspects
            .filter(|suspect| !suspect.facts.is_empty())
            .collect()
    }

    fn suspect(&self, digest: Digest) -> Suspect {
        let facts: Vec<Fact> = self.live(digest).map(|row| row.fact.clone()).collect();
        let weight = |fact: &Fact| 1_000 / fact.in_flight.max(1);
        Suspect {
            digest,
            crashes: self.crashes(digest),
            weight_permille: facts.iter().map(weight).sum(),
            quarantined: self.quarantined(digest),
            facts,
        }
    }

    /// A crash counts when the digest was alone, or when it was in flight at two or more crashes.
    fn crashes(&self, digest: Digest) -> u32 {
        let all = self.live(digest).count();
        let alone = self.live(digest).filter(|row| row.fact.in_flight <= 1);
        let counted = if all >= 2 { all } else { alone.count() };
        u32::try_from(counted).unwrap_or(u32::MAX)
    }

    fn quarantined(&self, digest: Digest) -> Option<Instant> {
        let last = self.live(digest).map(|row| row.expires).max()?;
        (self.crashes(digest) >= self.config.crash_limit).then_some(last)
    }

    fn live(&self, digest: Digest) -> impl Iterator<Item = &Row> {
        let start = self.rows.partition_point(|row| row.fact.digest < digest);
        let same = self.rows[start..]
            .iter()
            .take_while(move |row| row.fact.digest == digest);
        same.filter(|row| !row.fact.released)
    }

    fn export(&self, row: &Row, now: Instant) -> Fact {
        let remaining = row.expires.since(now);
        let age = self.config.quarantine.saturating_sub(remaining);
        let mut fact = row.fact.clone();
        fact.age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        fact
    }

    fn update(&mut self, index: usize, fact: &Fact, expires: Instant) {
        let row = &mut self.rows[index];
        row.expires = row.expires.min(expires);
        let known = &mut row.fact;
        let in_flight = known.in_flight.min(fact.in_flight);
        let released = known.released || fact.released;
        if (in_flight, released) != (known.in_flight, known.released) {
            known.in_flight = in_flight;
            known.released = released;
            self.version += 1;
            self.rows[index].version = self.version;
        }
    }

    fn evict(&mut self) {
        if self.rows.len() > self.config.facts_max {
            let oldest = (0..self.rows.len()).min_by_key(|index| self.rows[*index].version);
            self.rows
                .remove(oldest.expect("the table is over its bound, so not empty"));
        }
    }

    fn position(&self, fact: &Fact) -> Result<usize, usize> {
        let key = (&fact.digest, &fact.instance, fact.incarnation);
        self.rows.binary_search_by(|row| {
            (&row.fact.digest, &row.fact.instance, row.fact.incarnation).cmp(&key)
        })
    }
}
