//! Probes: when one is useful, and the slot time that they may use.

use std::error;
use std::fmt;
use std::time::Duration;

use serde::Serialize;

use shallotrill_model::time::Instant;

/// Millionths of a microsecond in a microsecond; credit is kept in these so that small refills lose nothing.
const PARTS: u128 = 1_000_000;

/// Leave to send one probe. Only [`Budget::take`] makes one, and the function that sends a probe takes it by value.
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub struct Permit {
    cost: Duration,
}

impl Permit {
    /// Slot time that was taken from the budget.
    pub fn cost(&self) -> Duration {
        self.cost
    }
}

/// The budget does not cover a probe now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Exhausted {
    /// Slot time that the probe costs.
    pub cost: Duration,
    /// Slot time that is left.
    pub left: Duration,
}

impl fmt::Display for Exhausted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "a probe of {} us exceeds the {} us left in the budget",
            self.cost.as_micros(),
            self.left.as_micros()
        )
    }
}

impl error::Error for Exhausted {}

/// Totals for the state dump.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Totals {
    /// Slot time credited so far, in microseconds.
    pub credited_us: u64,
    /// Slot time spent so far, in microseconds.
    pub spent_us: u64,
    /// Permits given.
    pub permits: u64,
    /// Permits refused.
    pub refused: u64,
}

/// Token bucket of slot time for probes of one target.
///
/// In any window the spend is at most `burst` plus the rate times the window.
/// The bucket starts empty, so the spend since the start is within the rate alone.
#[derive(Clone, Debug)]
pub struct Budget {
    /// Parts credited for each microsecond.
    rate: u128,
    burst: u128,
    left: u128,
    credited: u128,
    refilled: Instant,
    totals: Totals,
}

impl Budget {
    /// A budget of `ppm` millionths of the time of `slots` slots, from `now` on. Unused credit is kept up to `burst`.
    pub fn new(slots: u32, ppm: u32, burst: Duration, now: Instant) -> Self {
        Self {
            rate: u128::from(slots) * u128::from(ppm),
            burst: burst.as_micros() * PARTS,
            left: 0,
            credited: 0,
            refilled: now,
            totals: Totals::default(),
        }
    }

    /// Takes the slot time of one probe.
    ///
    /// # Errors
    ///
    /// Returns [`Exhausted`] when less than `cost` is left. A cost above the burst is never granted.
    pub fn take(&mut self, cost: Duration, now: Instant) -> Result<Permit, Exhausted> {
        self.refill(now);
        let parts = cost.as_micros() * PARTS;
        if parts > self.left {
            self.totals.refused += 1;
            let left = Duration::from_micros((self.left / PARTS) as u64);
            return Err(Exhausted { cost, left });
        }
        self.left -= parts;
        self.totals.permits += 1;
        self.totals.spent_us += cost.as_micros() as u64;
        Ok(Permit { cost })
    }

    /// Takes another rate from `now` on; the time before is credited at the old one.
    pub fn resize(&mut self, slots: u32, ppm: u32, now: Instant) {
        self.refill(now);
        self.rate = u128::from(slots) * u128::from(ppm);
    }

    /// Totals up to the last call of [`Budget::take`].
    pub fn totals(&self) -> Totals {
        Totals {
            credited_us: (self.credited / PARTS) as u64,
            ..self.totals
        }
    }

    /// Adds the credit of the elapsed time, at most up to the burst, however far the clock jumped.
    fn refill(&mut self, now: Instant) {
        let credit = now
            .since(self.refilled)
            .as_micros()
            .saturating_mul(self.rate);
        let left = self.left.saturating_add(credit).min(self.burst);
        self.credited += left - self.left;
        self.left = left;
        self.refilled = self.refilled.max(now);
    }
}

/// What is known of a target when a probe is considered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Facts {
    /// Last response to a request; nothing when there was none in this incarnation.
    pub traffic: Option<Instant>,
    /// When the load estimate was true.
    pub estimate: Option<Instant>,
    /// Whether the last responses were failures.
    pub failing: bool,
    /// Last probe that was sent.
    pub probe: Option<Instant>,
}

/// Why a probe is useful.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Need {
    /// The target has had no traffic since it started.
    Cold,
    /// The target failed, and traffic avoids it.
    Failed,
    /// There was no traffic, and the estimate is too old to use.
    Stale,
}

/// Rules for when a probe is useful.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Time without traffic before a probe is considered.
    pub quiet: Duration,
    /// Age from which an estimate is too old to use.
    pub old: Duration,
    /// Shortest time between two probes.
    pub interval: Duration,
}

impl Plan {
    /// Says why a probe is useful now, or nothing when passive measurement is enough.
    pub fn need(&self, facts: &Facts, now: Instant) -> Option<Need> {
        let within = |at: Option<Instant>, time| at.is_some_and(|at| now.since(at) < time);
        if within(facts.traffic, self.quiet) || within(facts.probe, self.interval) {
            return None;
        }
        if facts.failing {
            return Some(Need::Failed);
        }
        if within(facts.estimate, self.old) {
            return None;
        }
        match facts.traffic {
            None => Some(Need::Cold),
            Some(_) => Some(Need::Stale),
        }
    }
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            quiet: Duration::from_secs(1),
            old: Duration::from_secs(1),
            interval: Duration::from_secs(1),
        }
    }
}
