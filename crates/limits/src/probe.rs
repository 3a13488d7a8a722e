//! Decides when a probe of a target is useful, and limits the slot time that probes use.

use std::error;
use std::fmt;
use std::time::Duration;

use serde::Serialize;

use shallotrill_model::time::Instant;

/// Number of credit units in a microsecond. Credit is counted in millionths of a microsecond, so that small refills are not
/// rounded to zero.
const UNITS_PER_US: u128 = 1_000_000;

/// Permission to send one probe. Only [`Budget::take`] creates it, and the function that sends a probe consumes it.
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub struct Permit {
    cost: Duration,
}

impl Permit {
    /// Slot time that was charged to the budget.
    pub fn cost(&self) -> Duration {
        self.cost
    }
}

/// Error of [`Budget::take`]: the remaining slot time does not cover the probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Exhausted {
    /// Slot time that the probe costs.
    pub cost: Duration,
    /// Slot time remaining in the budget.
    pub remaining: Duration,
}

impl fmt::Display for Exhausted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "the probe needs {} us of slot time, but only {} us remain in the probe budget",
            self.cost.as_micros(),
            self.remaining.as_micros()
        )
    }
}

impl error::Error for Exhausted {}

/// Totals of a probe budget, for the state dump.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Totals {
    /// Slot time credited so far, in microseconds.
    pub credited_us: u64,
    /// Slot time spent so far, in microseconds.
    pub spent_us: u64,
    /// Number of permits granted.
    pub permits: u64,
    /// Number of permits refused.
    pub refused: u64,
}

/// Token bucket of slot time for probes of one target.
///
/// In any time window, the slot time spent is at most `burst` plus the rate times the length of the window.
/// The bucket starts empty, so the slot time spent since the start is limited by the rate alone.
#[derive(Clone, Debug)]
pub struct Budget {
    /// Units credited per microsecond.
    rate: u128,
    burst: u128,
    remaining: u128,
    credited: u128,
    refilled: Instant,
    totals: Totals,
}

impl Budget {
    /// Creates a budget of `ppm` millionths of the time of `slots` slots, starting at `now`. Unused credit is kept up to `burst`.
    pub fn new(slots: u32, ppm: u32, burst: Duration, now: Instant) -> Self {
        Self {
            rate: u128::from(slots) * u128::from(ppm),
            burst: burst.as_micros() * UNITS_PER_US,
            remaining: 0,
            credited: 0,
            refilled: now,
            totals: Totals::default(),
        }
    }

    /// Charges the slot time of one probe.
    ///
    /// # Errors
    ///
    /// Returns [`Exhausted`] when less than `cost` remains. A cost above the burst is never granted.
    pub fn take(&mut self, cost: Duration, now: Instant) -> Result<Permit, Exhausted> {
        self.refill(now);
        let units = cost.as_micros() * UNITS_PER_US;
        if units > self.remaining {
            self.totals.refused += 1;
            let remaining = Duration::from_micros((self.remaining / UNITS_PER_US) as u64);
            return Err(Exhausted { cost, remaining });
        }
        self.remaining -= units;
        self.totals.permits += 1;
        self.totals.spent_us += cost.as_micros() as u64;
        Ok(Permit { cost })
    }

    /// Changes the rate from `now` on; the time before is credited at the old rate.
    pub fn resize(&mut self, slots: u32, ppm: u32, now: Instant) {
        self.refill(now);
        self.rate = u128::from(slots) * u128::from(ppm);
    }

    /// Returns the totals as of the last refill, which [`Budget::take`] and [`Budget::resize`] do.
    pub fn totals(&self) -> Totals {
        Totals {
            credited_us: (self.credited / UNITS_PER_US) as u64,
            ..self.totals
        }
    }

    /// Adds the credit of the elapsed time. The credit never exceeds the burst, even after a forward jump of the clock.
    fn refill(&mut self, now: Instant) {
        let credit = now
            .since(self.refilled)
            .as_micros()
            .saturating_mul(self.rate);
        let remaining = self.remaining.saturating_add(credit).min(self.burst);
        self.credited += remaining - self.remaining;
        self.remaining = remaining;
        self.refilled = self.refilled.max(now);
    }
}

/// Observations of a target from which the need for a probe is decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Observations {
    /// Time of the last response to a request; `None` when there was none in this incarnation.
    pub last_response_at: Option<Instant>,
    /// Time at which the load estimate was valid; `None` without an estimate.
    pub estimated_at: Option<Instant>,
    /// Whether the most recent responses were failures.
    pub failing: bool,
    /// Time at which the last probe was sent; `None` when none was sent.
    pub last_probe_at: Option<Instant>,
}

/// Why a probe is useful.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The target has had no traffic since it started.
    Cold,
    /// The target failed, so it gets no traffic that would measure it.
    Failed,
    /// There was no recent traffic, and the load estimate is stale.
    Stale,
}

/// Time limits that determine when a probe is useful.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProbePolicy {
    /// Minimum time without traffic before a probe is considered.
    pub idle_after: Duration,
    /// Age from which a load estimate is stale.
    pub stale_after: Duration,
    /// Minimum time between two probes.
    pub interval: Duration,
}

impl ProbePolicy {
    /// Returns why a probe is useful now, or `None` when passive measurement is sufficient.
    pub fn reason(&self, observations: &Observations, now: Instant) -> Option<Reason> {
        let recent = |at: Option<Instant>, duration| at.is_some_and(|at| now.since(at) < duration);
        if recent(observations.last_response_at, self.idle_after)
            || recent(observations.last_probe_at, self.interval)
        {
            return None;
        }
        if observations.failing {
            return Some(Reason::Failed);
        }
        if recent(observations.estimated_at, self.stale_after) {
            return None;
        }
        match observations.last_response_at {
            None => Some(Reason::Cold),
            Some(_) => Some(Reason::Stale),
        }
    }
}

impl Default for ProbePolicy {
    fn default() -> Self {
        Self {
            idle_after: Duration::from_secs(1),
            stale_after: Duration::from_secs(1),
            interval: Duration::from_secs(1),
        }
    }
}
