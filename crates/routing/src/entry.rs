//! What is known of one target.

use std::time::Duration;

use crate::config::Config;
use crate::sample::Outcome;
use crate::sample::Sample;
use shallotrill_model::load::Report;
use shallotrill_model::target::State;
use shallotrill_model::target::Target;
use shallotrill_model::time::Instant;

/// Weight of one own sample in the failure rate; three failures in a row pass the default threshold.
const FAILURE_WEIGHT: f64 = 0.3;

/// Weight of one own success in the latency.
const LATENCY_WEIGHT: f64 = 0.2;

/// Smallest share of a cold target, so that it warms up at all.
const COLD_SHARE_MIN: f64 = 0.02;

/// One target with its load report and own observations.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) target: Target,
    pub(crate) report: Option<Report>,
    /// When the report was true, in this node's time.
    pub(crate) reported: Instant,
    /// Send times of own requests in flight, in order.
    pub(crate) flight: Vec<Instant>,
    /// Own requests sent later than this cannot be in the report.
    seen: Instant,
    pub(crate) failures: f64,
    /// When the failure rate was last updated.
    pub(crate) judged: Instant,
    pub(crate) latency_us: f64,
    /// Since when the target is ready; nothing while it starts.
    pub(crate) ready: Option<Instant>,
    pub(crate) recovery: Option<Instant>,
    /// When its gate last refused an own request.
    pub(crate) refused: Option<Instant>,
}

impl Entry {
    pub(crate) fn new(target: Target, now: Instant) -> Self {
        let ready = (target.state != State::Starting).then_some(now);
        Self {
            target,
            report: None,
            reported: now,
            flight: Vec::new(),
            seen: Instant(0),
            failures: 0.0,
            judged: now,
            latency_us: 0.0,
            ready,
            recovery: None,
            refused: None,
        }
    }

    /// Takes a newer description of the target. A new incarnation starts from nothing.
    pub(crate) fn update(&mut self, target: &Target, now: Instant) {
        if target.incarnation < self.target.incarnation {
            return;
        }
        if target.incarnation > self.target.incarnation {
            *self = Self::new(target.clone(), now);
            return;
        }
        if target.state == State::Starting {
            self.ready = None;
        } else if self.ready.is_none() {
            self.ready = Some(now);
        }
        self.target = target.clone();
    }

    /// Takes a report unless a newer one is known; says whether it was taken.
    pub(crate) fn observe(&mut self, report: Report, now: Instant, round_trip: Duration) -> bool {
        if report.incarnation < self.target.incarnation {
            return false;
        }
        if report.incarnation > self.target.incarnation {
            // The target's own node knows of a restart before the membership does.
            let mut target = self.target.clone();
            target.incarnation = report.incarnation;
            *self = Self::new(target, now);
        }
        if self.report.is_some_and(|r| r.sequence >= report.sequence) {
            return false;
        }
        let age = Duration::from_micros(u64::from(report.age_us)) + round_trip / 2;
        self.reported = Instant(now.0.saturating_sub(age.as_micros() as u64));
        // A request sent within half a round trip before the report had not arrived when it was made.
        self.seen = Instant(
            self.reported
                .0
                .saturating_sub((round_trip / 2).as_micros() as u64),
        );
        self.report = Some(report);
        true
    }

    pub(crate) fn started(&mut self, now: Instant) {
        self.flight.push(now);
    }

    /// Own requests in flight that the report cannot include.
    pub(crate) fn unreported(&self) -> usize {
        self.flight.len() - self.flight.partition_point(|at| *at <= self.seen)
    }

    /// Age of the oldest own request in flight: a lower bound of the target's latency.
    pub(crate) fn oldest(&self, now: Instant) -> Duration {
        self.flight
            .first()
            .map_or(Duration::ZERO, |at| now.since(*at))
    }

    pub(crate) fn finished(&mut self, sample: &Sample, now: Instant) {
        if sample.incarnation != self.target.incarnation {
            return;
        }
        let start = Instant(now.0.saturating_sub(sample.latency.as_micros() as u64));
        // The last one that was sent by then; the first when rounding puts the start before all.
        let at = self
            .flight
            .partition_point(|at| *at <= start)
            .saturating_sub(1);
        if at < self.flight.len() {
            self.flight.remove(at);
        }
        let failed = match sample.outcome {
            Outcome::Success => 0.0,
            Outcome::Failure => 1.0,
            Outcome::Refused => {
                self.refused = Some(now);
                return;
            }
            Outcome::Cancelled => return,
        };
        self.failures += FAILURE_WEIGHT * (failed - self.failures);
        self.judged = now;
        if sample.outcome == Outcome::Success {
            let latency = sample.latency.as_micros() as f64;
            let weight = if self.latency_us == 0.0 {
                1.0
            } else {
                LATENCY_WEIGHT
            };
            self.latency_us += weight * (latency - self.latency_us);
        }
    }

    /// Failure rate, the worse of the own one and the reported one.
    pub(crate) fn failure_rate(&self, config: &Config, now: Instant) -> f64 {
        let rate = self.latest_failure_rate();
        let Some(half_life) = config.failure_half_life else {
            return rate;
        };
        let age = now.since(self.judged).as_secs_f64();
        rate * (-age / half_life.as_secs_f64()).exp2()
    }

    fn latest_failure_rate(&self) -> f64 {
        let reported = self
            .report
            .map_or(0.0, |r| f64::from(r.failure_permille) / 1_000.0);
        self.failures.max(reported).min(1.0)
    }

    /// Share of the warmest target's load that this one may get, when that is ready since `warmest`.
    ///
    /// It is relative, because a node that just started sees all targets as new.
    pub(crate) fn warmth(&self, config: &Config, warmest: Option<Instant>, now: Instant) -> f64 {
        let share = |since: Option<Instant>| {
            let age = since.map_or(Duration::ZERO, |since| now.since(since));
            (age.as_secs_f64() / config.warm_up.as_secs_f64()).clamp(COLD_SHARE_MIN, 1.0)
        };
        share(self.ready) / share(warmest).max(share(self.ready))
    }
}
