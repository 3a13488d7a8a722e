//! Adaptive concurrency limit of the gate.
//!
//! A fixed limit is correct only while the backend server has the machine to
//! itself. A noisy neighbour takes part of the capacity within milliseconds, and
//! a fixed number of requests then shares the rest and becomes slow. The limit
//! is therefore adjusted by a gradient, which compares the current average
//! latency with the lowest average of the last seconds. It needs no knowledge of
//! the machine and reacts within a few responses, and the limit recovers when
//! the neighbour is idle.

use std::time::Duration;

use crate::config::Config;
use crate::ticket::Outcome;
use shallotrill_model::time::Instant;

/// Weight of one sample in the short-term average latency, which covers about the last ten responses.
const SHORT_AVERAGE_WEIGHT: f64 = 0.1;

/// Length of each of the two windows over which the long-term minimum of the average is taken.
const MINIMUM_WINDOW: Duration = Duration::from_secs(5);

/// Number of samples before an average is used as a minimum.
const WARM_UP_SAMPLES: u32 = 10;

/// Lower bound of the factor of one decrease by the gradient, so that one slow response does not close the gate.
const GRADIENT_MIN: f64 = 0.8;

/// Time for which the target is reported as shedding after it shed a request.
const SHEDDING_REPORT_PERIOD: Duration = Duration::from_secs(1);

/// Weight of one response in the failure rate.
const FAILURE_WEIGHT: f64 = 0.1;

/// The limit and the measurements that determine it.
#[derive(Clone, Debug)]
pub(crate) struct Limit {
    value: f64,
    slots: f64,
    short_average_us: f64,
    samples: u32,
    /// Lowest short-term averages of the current and the previous window.
    minimum_us: [f64; 2],
    window_start: Instant,
    /// Earliest time of the next decrease.
    next_decrease: Instant,
    last_shed: Option<Instant>,
    failure_rate: f64,
}

impl Limit {
    pub(crate) fn new(config: &Config) -> Self {
        Self {
            value: f64::from(config.slots),
            slots: f64::from(config.slots),
            short_average_us: config.service_time.as_micros() as f64,
            samples: 0,
            minimum_us: [f64::INFINITY; 2],
            window_start: Instant(0),
            next_decrease: Instant(0),
            last_shed: None,
            failure_rate: 0.0,
        }
    }

    /// Number of requests that may run concurrently, from 1 to the announced number of slots.
    pub(crate) fn current(&self) -> u32 {
        self.value as u32
    }

    /// Sets a new number of slots. A lower number applies immediately; towards a higher one the limit grows gradually.
    pub(crate) fn resize(&mut self, slots: u32) {
        self.slots = f64::from(slots.max(1));
        self.value = self.value.min(self.slots);
    }

    /// Short-term average of the service time in microseconds; the configured service time before the first success.
    pub(crate) fn service_us(&self) -> f64 {
        self.short_average_us
    }

    /// Short-term average latency of successful requests in microseconds; zero before the first one.
    pub(crate) fn latency_us(&self) -> u32 {
        if self.samples == 0 {
            0
        } else {
            self.short_average_us as u32
        }
    }

    pub(crate) fn failure_permille(&self) -> u16 {
        (self.failure_rate * 1_000.0) as u16
    }

    pub(crate) fn shedding(&self, now: Instant) -> bool {
        self.last_shed
            .is_some_and(|shed_at| now.since(shed_at) < SHEDDING_REPORT_PERIOD)
    }

    /// Records the end of a request. `at_limit` is whether the limit was reached while it ran.
    pub(crate) fn record(
        &mut self,
        outcome: Outcome,
        latency: Duration,
        at_limit: bool,
        config: &Config,
        now: Instant,
    ) {
        match outcome {
            Outcome::Success => self.on_success(latency.as_micros() as f64, at_limit, config, now),
            Outcome::Shed => {
                self.last_shed = Some(now);
                self.decrease(config.decrease_factor, now);
            }
            Outcome::Timeout => self.decrease(config.decrease_factor, now),
            Outcome::Failure | Outcome::Cancelled => {}
        }
        let failed = match outcome {
            Outcome::Success => 0.0,
            Outcome::Failure | Outcome::Timeout => 1.0,
            Outcome::Shed | Outcome::Cancelled => return,
        };
        self.failure_rate += FAILURE_WEIGHT * (failed - self.failure_rate);
    }

    fn on_success(&mut self, latency_us: f64, at_limit: bool, config: &Config, now: Instant) {
        let weight = if self.samples == 0 {
            1.0
        } else {
            SHORT_AVERAGE_WEIGHT
        };
        self.short_average_us += weight * (latency_us - self.short_average_us);
        self.samples = self.samples.saturating_add(1);
        if self.samples < WARM_UP_SAMPLES {
            return;
        }
        if now.since(self.window_start) >= MINIMUM_WINDOW {
            self.minimum_us = [f64::INFINITY, self.minimum_us[0]];
            self.window_start = now;
        }
        // Uses the minimum of averages, not of single latencies, because service times vary without any congestion.
        self.minimum_us[0] = self.minimum_us[0].min(self.short_average_us);
        let lowest_us = self.minimum_us[0].min(self.minimum_us[1]);
        let jitter_us = config.jitter.as_micros() as f64;
        let tolerated_us = (config.tolerance * lowest_us).max(lowest_us + jitter_us);
        let gradient = tolerated_us / self.short_average_us.max(1.0);
        if !at_limit {
            // A limit that is not reached did not cause the latency. Slow requests among fast ones
            // look like congestion, and a limit that is lowered for them would delay later requests.
            return;
        }
        if gradient < 1.0 {
            self.decrease(gradient.max(GRADIENT_MIN), now);
        } else {
            // Grows by one after as many successes as the limit, and only while the limit is reached.
            self.value = (self.value + 1.0 / self.value).min(self.slots);
        }
    }

    /// Decreases the limit at most once per average service time, because the responses of one burst report
    /// the same congestion.
    fn decrease(&mut self, factor: f64, now: Instant) {
        if now < self.next_decrease {
            return;
        }
        self.value = (self.value * factor).max(1.0);
        self.next_decrease = now + Duration::from_micros(self.short_average_us as u64);
    }
}
