//! Pace of a backend server that accepts a limited rate of requests.
//!
//! The generic cell rate algorithm: each start moves the time of the next one
//! by the interval of the rate, and time that was not used is kept for a short
//! burst. It needs no timer to refill, and its bound holds for any time window.

use std::time::Duration;

use shallotrill_model::rate::Rate;
use shallotrill_model::time::Instant;

/// Unused time that is kept. A window of one second then has at most one and a half times the rate.
const BURST_PERIOD: Duration = Duration::from_millis(500);

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
