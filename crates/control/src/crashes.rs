//! Crash facts of all services, passed on between nodes.

use std::time::Duration;

use shallotrill_control_client::lease::Crash;
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

/// Crash facts in the order in which this process learned them.
#[derive(Debug, Default)]
pub(crate) struct Crashes {
    facts: Vec<Kept>,
    version: u64,
}

impl Crashes {
    /// Adds facts; returns whether any was new.
    pub(crate) fn add(&mut self, crashes: Vec<Crash>, now: Instant) -> bool {
        let before = self.version;
        for crash in crashes {
            if self.is_known(&crash) {
                continue;
            }
            self.version += 1;
            let age_us = crash.fact.age_ms.saturating_mul(1_000);
            let kept = Kept {
                crash,
                version: self.version,
                at: Instant(now.0.saturating_sub(age_us)),
            };
            self.facts.push(kept);
        }
        let excess = self.facts.len().saturating_sub(FACTS_MAX);
        self.facts.drain(..excess);
        self.version > before
    }

    fn is_known(&self, crash: &Crash) -> bool {
        self.facts.iter().any(|kept| {
            let known = &kept.crash.fact;
            let fact = &crash.fact;
            known.digest == fact.digest
                && known.instance == fact.instance
                && known.incarnation == fact.incarnation
                && known.released == fact.released
        })
    }

    /// Drops old facts.
    pub(crate) fn expire(&mut self, now: Instant) {
        self.facts.retain(|kept| now.since(kept.at) < FACT_MAX_AGE);
    }

    /// The facts after a version, with their ages, and the present version.
    ///
    /// A version above the present one comes from another life of this process and gets everything.
    pub(crate) fn since(&self, version: u64, now: Instant) -> (Vec<Crash>, u64) {
        let from = if version > self.version { 0 } else { version };
        let facts = self.facts.iter().filter(|kept| kept.version > from);
        let aged = facts.map(|kept| {
            let mut crash = kept.crash.clone();
            crash.fact.age_ms = now.since(kept.at).as_millis() as u64;
            crash
        });
        (aged.collect(), self.version)
    }

    /// Number of facts.
    pub(crate) fn len(&self) -> usize {
        self.facts.len()
    }
}
