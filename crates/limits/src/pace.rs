//! Pace of a backend server that accepts a limited rate of requests.
//!
//! The generic cell rate algorithm: each start moves the time of the next one
//! by the interval of the rate, and time that was not used is kept for a short
//! burst. It needs no timer to refill, and its bound holds for any time window.

use std::collections::VecDeque;
use std::time::Duration;

use shallotrill_model::rate::Rate;
use shallotrill_model::time::Instant;

/// Unused time that is kept. A window of one second then has at most one and a half times the rate.
const BURST_PERIOD: Duration = Duration::from_millis(500);

/// Period over which the requests to a cold target are bounded.
const COLD_WINDOW: Duration = Duration::from_secs(1);

/// Starts of a cold target allowed in [`COLD_WINDOW`], as a ratio to its rate and beyond it. The users allow eight
/// requests beyond the ratio; half of them are left for requests that arrive closer together than they started.
const COLD_RATIO: f64 = 1.5;
const COLD_SLACK: f64 = 4.0;

/// Rate at which requests start at a cold target, as a ratio to the rate that it states. Less than [`COLD_RATIO`], so
/// that the window rarely holds requests back. After a loss of all power the capacity of cold targets is all there is.
const COLD_PACE_RATIO: f64 = 1.4;

/// Rate at which requests start at a cold target that states `rate`.
pub fn cold_rate(rate: Rate) -> Rate {
    Rate::from_millihertz((f64::from(rate.millihertz()) * COLD_PACE_RATIO) as u32)
}

/// Times at which requests may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pace {
    rate: Rate,
    /// Time at which the next request would start if all started evenly.
    even_start: Instant,
}

impl Pace {
    /// Creates a pace at which one request may start now.
    ///
    /// The backend server states its rate because it is overloaded, so no burst is allowed at first.
    pub fn new(rate: Rate, now: Instant) -> Self {
        let mut pace = Self {
            rate,
            even_start: now,
        };
        pace.even_start = now + pace.burst_tolerance();
        pace
    }

    /// The rate that is kept.
    pub const fn rate(&self) -> Rate {
        self.rate
    }

    /// Sets another rate. An unused burst is kept as time and the wait for the next start as a share
    /// of the interval, so that a rate that changes with each response neither allows additional
    /// requests nor delays the next one by more than an interval.
    pub fn set_rate(&mut self, rate: Rate, now: Instant) {
        let known = *self;
        self.rate = rate;
        let (Some(before), Some(after)) = (known.rate.interval(), rate.interval()) else {
            *self = Self::new(rate, now);
            return;
        };
        let earliest_even_start = now + known.burst_tolerance();
        let wait = known.even_start.since(earliest_even_start);
        let wait = after.mul_f64(wait.as_secs_f64() / before.as_secs_f64());
        let burst = earliest_even_start.since(known.even_start.max(now));
        let used_burst = self.burst_tolerance().saturating_sub(burst);
        self.even_start = now + used_burst + wait;
    }

    /// Time until the request after `ahead` others may start; `None` when none ever may.
    pub fn wait(&self, ahead: usize, now: Instant) -> Option<Duration> {
        let interval = self.rate.interval()?;
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        let start = self.even_start.max(now) + interval.saturating_mul(ahead);
        Some(start.since(now).saturating_sub(self.burst_tolerance()))
    }

    /// Whether a request may start now.
    pub fn allows(&self, now: Instant) -> bool {
        self.wait(0, now).is_some_and(|wait| wait.is_zero())
    }

    /// Records that a request starts.
    pub fn record_start(&mut self, now: Instant) {
        if let Some(interval) = self.rate.interval() {
            self.even_start = self.even_start.max(now) + interval;
        }
    }

    /// How much earlier than evenly a request may start.
    fn burst_tolerance(&self) -> Duration {
        let interval = self.rate.interval().unwrap_or(BURST_PERIOD);
        BURST_PERIOD.saturating_sub(interval)
    }
}

/// Starts within the last second, with a bound on them while the target is cold.
///
/// A pace begins when a target becomes cold and knows nothing of the requests that started just before. They count
/// towards the bound of the users, so they are kept while the target is warm too.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecentStarts {
    /// In ascending order.
    starts: VecDeque<Instant>,
}

impl RecentStarts {
    /// Records that a request starts.
    pub fn record(&mut self, now: Instant) {
        self.prune(now);
        self.starts.push_back(now);
    }

    /// Removes the starts that no window contains any longer.
    fn prune(&mut self, now: Instant) {
        let is_past = |start: &Instant| now.since(*start) >= COLD_WINDOW;
        while self.starts.front().is_some_and(is_past) {
            self.starts.pop_front();
        }
    }

    /// Time until the request after `ahead` others may start at a cold target of this rate; `None` when none ever
    /// may.
    pub fn wait(&self, rate: Rate, ahead: usize, now: Instant) -> Option<Duration> {
        if rate.millihertz() == 0 {
            return None;
        }
        let allowed = (COLD_RATIO * rate.per_second() + COLD_SLACK) as usize;
        let past = self
            .starts
            .partition_point(|start| now.since(*start) >= COLD_WINDOW);
        let count = self.starts.len() - past + ahead;
        if count < allowed {
            return Some(Duration::ZERO);
        }
        // The start that must leave the window first; later ones are bounded by the pace.
        let index = (past + count - allowed).min(self.starts.len().saturating_sub(1));
        let blocking = self.starts.get(index);
        Some(blocking.map_or(Duration::ZERO, |start| (*start + COLD_WINDOW).since(now)))
    }
}
