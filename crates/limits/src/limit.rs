//! The adaptive concurrency limit.
//!
//! A fixed count is right only while the machine is the backend server's own.
//! A noisy neighbour takes away part of the machine within milliseconds, and a
//! fixed number of requests then only share what is left and all become slow.
//! The gradient compares the latest average latency with the lowest average of
//! the last seconds. It needs no knowledge of the machine, reacts within a few
//! responses, and grows back when the neighbour is quiet.

use std::time::Duration;

use crate::config::Config;
use crate::ticket::Outcome;
use shallotrill_model::time::Instant;

/// Weight of one latency in the short-term average: about the last ten responses count.
const SHORT_WEIGHT: f64 = 0.1;

/// Length of each of the two windows whose lowest average is the long-term minimum.
const WINDOW: Duration = Duration::from_secs(5);

/// Responses before the first average counts as a minimum.
const WARM_UP: u32 = 10;

/// Smallest factor of one step down by the gradient, so that one slow answer does not close the gate.
const GRADIENT_MIN: f64 = 0.8;

/// How long the target is reported as shedding after it shed a request.
const SHEDDING: Duration = Duration::from_secs(1);

/// Weight of one answer in the failure rate.
const FAILURE_WEIGHT: f64 = 0.1;

/// The limit with the measurements behind it.
#[derive(Clone, Debug)]
pub(crate) struct Limit {
    value: f64,
    slots: f64,
    short_us: f64,
    samples: u32,
    minimum_us: [f64; 2],
    window: Instant,
    /// Earliest time of the next step down.
    hold: Instant,
    shed: Option<Instant>,
    failures: f64,
}

impl Limit {
    pub(crate) fn new(config: &Config) -> Self {
        Self {
            value: f64::from(config.slots),
            slots: f64::from(config.slots),
            short_us: config.service_time.as_micros() as f64,
            samples: 0,
            minimum_us: [f64::INFINITY; 2],
            window: Instant(0),
            hold: Instant(0),
            shed: None,
            failures: 0.0,
        }
    }

    /// Requests that may run at once, at least 1 and at most the announced slots.
    pub(crate) fn get(&self) -> u32 {
        self.value as u32
    }

    /// Takes a new number of slots. A raised limit is reached by the usual increase.
    pub(crate) fn resize(&mut self, slots: u32) {
        self.slots = f64::from(slots.max(1));
        self.value = self.value.min(self.slots);
    }

    /// Short-term average of the service time, in microseconds.
    pub(crate) fn service_us(&self) -> f64 {
        self.short_us
    }

    /// Short-term average of successes; zero when there was none.
    pub(crate) fn latency_us(&self) -> u32 {
        if self.samples == 0 {
            0
        } else {
            self.short_us as u32
        }
    }

    pub(crate) fn failure_permille(&self) -> u16 {
        (self.failures * 1_000.0) as u16
    }

    pub(crate) fn shedding(&self, now: Instant) -> bool {
        self.shed.is_some_and(|at| now.since(at) < SHEDDING)
    }

    /// Takes the end of a request; `busy` says whether the limit was reached.
    pub(crate) fn add(
        &mut self,
        outcome: Outcome,
        latency: Duration,
        busy: bool,
        config: &Config,
        now: Instant,
    ) {
        match outcome {
            Outcome::Success => self.success(latency.as_micros() as f64, busy, config, now),
            Outcome::Shed => {
                self.shed = Some(now);
                self.down(config.decrease, now);
            }
            Outcome::Timeout => self.down(config.decrease, now),
            Outcome::Failure | Outcome::Cancelled => {}
        }
        let failed = match outcome {
            Outcome::Success => 0.0,
            Outcome::Failure | Outcome::Timeout => 1.0,
            Outcome::Shed | Outcome::Cancelled => return,
        };
        self.failures += FAILURE_WEIGHT * (failed - self.failures);
    }

    fn success(&mut self, latency_us: f64, busy: bool, config: &Config, now: Instant) {
        let weight = if self.samples == 0 { 1.0 } else { SHORT_WEIGHT };
        self.short_us += weight * (latency_us - self.short_us);
        self.samples = self.samples.saturating_add(1);
        if self.samples < WARM_UP {
            return;
        }
        if now.since(self.window) >= WINDOW {
            self.minimum_us = [f64::INFINITY, self.minimum_us[0]];
            self.window = now;
        }
        // The minimum of averages, not of single latencies: service times vary without any congestion.
        self.minimum_us[0] = self.minimum_us[0].min(self.short_us);
        let minimum = self.minimum_us[0].min(self.minimum_us[1]);
        let jitter = config.jitter.as_micros() as f64;
        let tolerated = (config.tolerance * minimum).max(minimum + jitter);
        let gradient = tolerated / self.short_us.max(1.0);
        if !busy {
            // A limit that is not reached did not cause the latency: slow requests among fast ones
            // look the same, and a limit lowered for them would hold up the next ones.
            return;
        }
        if gradient < 1.0 {
            self.down(gradient.max(GRADIENT_MIN), now);
        } else {
            // One more after as many successes as the limit, and only while the limit is in use.
            self.value = (self.value + 1.0 / self.value).min(self.slots);
        }
    }

    /// Steps down at most once in an average service time, because the answers of one burst say the same.
    fn down(&mut self, factor: f64, now: Instant) {
        if now < self.hold {
            return;
        }
        self.value = (self.value * factor).max(1.0);
        self.hold = now + Duration::from_micros(self.short_us as u64);
    }
}
