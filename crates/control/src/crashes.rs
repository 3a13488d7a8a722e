//! Crash facts of all services, passed on between nodes.

use std::time::Duration;

use shallotrill_control_client::lease::Crash;
use shallotrill_model::digest::Digest;
use shallotrill_model::incarnation::Incarnation;
use shallotrill_model::instance;
use shallotrill_model::time::Instant;

/// Facts that are kept at most; the oldest are dropped first.
const FACTS_MAX: usize = 10_000;

/// A fact older than this is of no use: no quarantine lasts longer by default.
const FACT_MAX_AGE: Duration = Duration::from_hours(1);

#[derive(Clone, Debug)]
struct Kept {
    crash: Crash,
    version: u64,
    /// When the crash happened, by this process's clock.
    at: Instant,
}

/// What makes two crash facts the same.
type Key = (Digest, instance::Name, Incarnation, bool);

fn key(crash: &Crash) -> Key {
    let fact = &crash.record;
    (
        fact.digest,
        fact.instance.clone(),
        fact.incarnation,
        fact.released,
    )
}

/// Crash facts in the order in which this process learned them.
#[derive(Debug, Default)]
pub(crate) struct Crashes {
    facts: Vec<Kept>,
    /// Keys of the facts, sorted. Every fact comes once from each other control process.
    known: Vec<Key>,
    version: u64,
}

impl Crashes {
    /// Adds facts; returns whether any was new.
    pub(crate) fn add(&mut self, crashes: Vec<Crash>, now: Instant) -> bool {
        let before = self.version;
        for crash in crashes {
            let key = key(&crash);
            let Err(place) = self.known.binary_search(&key) else {
                continue;
            };
            self.known.insert(place, key);
            self.version += 1;
            let age_us = crash.record.age_ms.saturating_mul(1_000);
            let kept = Kept {
                crash,
                version: self.version,
                at: Instant(now.0.saturating_sub(age_us)),
            };
            self.facts.push(kept);
        }
        let excess = self.facts.len().saturating_sub(FACTS_MAX);
        let dropped: Vec<Kept> = self.facts.drain(..excess).collect();
        self.forget(&dropped);
        self.version > before
    }

    fn forget(&mut self, dropped: &[Kept]) {
        for kept in dropped {
            if let Ok(place) = self.known.binary_search(&key(&kept.crash)) {
                self.known.remove(place);
            }
        }
    }

    /// Drops old facts.
    pub(crate) fn expire(&mut self, now: Instant) {
        let old = |kept: &mut Kept| now.since(kept.at) >= FACT_MAX_AGE;
        let dropped: Vec<Kept> = self.facts.extract_if(.., old).collect();
        self.forget(&dropped);
    }

    /// The facts after a version, with their ages, and the present version.
    ///
    /// A version above the present one comes from another life of this process and gets everything.
    pub(crate) fn since(&self, version: u64, now: Instant) -> (Vec<Crash>, u64) {
        let from = if version > self.version { 0 } else { version };
        let start = self.facts.partition_point(|kept| kept.version <= from);
        let facts = self.facts[start..].iter();
        let aged = facts.map(|kept| {
            let mut crash = kept.crash.clone();
            crash.record.age_ms = now.since(kept.at).as_millis() as u64;
            crash
        });
        (aged.collect(), self.version)
    }

    /// Version of the latest fact.
    pub(crate) const fn version(&self) -> u64 {
        self.version
    }

    /// Number of facts.
    pub(crate) fn len(&self) -> usize {
        self.facts.len()
    }
}
