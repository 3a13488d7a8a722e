//! State of one target in the routing table: its load report and the local observations.

use std::time::Duration;

use crate::config::Config;
use crate::sample::Outcome;
use crate::sample::Sample;
use shallotrill_model::load::Pace;
use shallotrill_model::load::Report;
use shallotrill_model::target::State;
use shallotrill_model::target::Target;
use shallotrill_model::time::Instant;

/// Weight of one local sample in the failure rate. Two failures in a row raise the rate from 0 to 0.51, above the
/// default threshold of 0.5.
const FAILURE_WEIGHT: f64 = 0.3;

/// Weight of one local success in the latency.
const LATENCY_WEIGHT: f64 = 0.2;

/// Longest time for which a reported pace keeps requests away. Only a response shows that the limit is
/// withdrawn, so a target must get a request now and then.
const PACE_WAIT_MAX: Duration = Duration::from_secs(5);

/// Minimum share of a target that warms up, so that it receives any requests at all.
const WARM_UP_SHARE_MIN: f64 = 0.02;

/// One target with its load report and the observations of this process.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) target: Target,
    pub(crate) report: Option<Report>,
    /// When the target created the report, in this node's time.
    pub(crate) reported_at: Instant,
    /// Send times of local requests in flight, in ascending order.
    pub(crate) in_flight: Vec<Instant>,
    /// Local requests sent after this time cannot be included in the report.
    covered_until: Instant,
    pub(crate) local_failure_rate: f64,
    /// When the failure rate was last updated.
    pub(crate) failure_rate_updated: Instant,
    pub(crate) local_latency_us: f64,
    /// Since when the target is ready; `None` while it starts.
    pub(crate) ready_since: Option<Instant>,
    pub(crate) last_recovery: Option<Instant>,
    /// When the target's gate last refused a local request.
    pub(crate) last_refused: Option<Instant>,
    /// Set while the backend server states a limit.
    next_start: Option<NextStart>,
}

/// When a target whose backend server states a limit is expected to start one more request.
#[derive(Clone, Copy, Debug)]
struct NextStart {
    at: Instant,
    /// How much later it is with each request that is sent.
    interval: Duration,
}

impl Entry {
    pub(crate) fn new(target: Target, now: Instant) -> Self {
        let ready_since = (target.state != State::Starting).then_some(now);
        Self {
            target,
            report: None,
            reported_at: now,
            in_flight: Vec::new(),
            covered_until: Instant(0),
            local_failure_rate: 0.0,
            failure_rate_updated: now,
            local_latency_us: 0.0,
            ready_since,
            last_recovery: None,
            last_refused: None,
            next_start: None,
        }
    }

    /// Applies the pace that came with the last report.
    pub(crate) fn apply_pace(&mut self, pace: Option<Pace>, now: Instant) {
        self.next_start = pace.map(|pace| {
            let reported_ago = now.since(self.reported_at);
            let wait = Duration::from_micros(u64::from(pace.wait_us));
            let interval = pace.rate.interval().unwrap_or(PACE_WAIT_MAX);
            NextStart {
                at: now + wait.min(PACE_WAIT_MAX).saturating_sub(reported_ago),
                interval: interval.min(PACE_WAIT_MAX),
            }
        });
    }

    /// Whether the target has stated in its last report that it accepts a limited rate.
    pub(crate) const fn is_paced(&self) -> bool {
        self.next_start.is_some()
    }

    /// Time that a request waits for the pace of the target.
    pub(crate) fn pace_wait(&self, now: Instant) -> Duration {
        self.next_start
            .map_or(Duration::ZERO, |next| next.at.since(now))
    }

    /// Applies a newer description of the target. A new incarnation resets all observations.
    pub(crate) fn update(&mut self, target: &Target, now: Instant) {
        if target.incarnation < self.target.incarnation {
            return;
        }
        if target.incarnation > self.target.incarnation {
            *self = Self::new(target.clone(), now);
            return;
        }
        if target.state == State::Starting {
            self.ready_since = None;
        } else if self.ready_since.is_none() {
            self.ready_since = Some(now);
        }
        self.target = target.clone();
    }

    /// Applies a report unless a newer one is known; returns whether it was applied.
    pub(crate) fn apply_report(
        &mut self,
        report: Report,
        now: Instant,
        round_trip: Duration,
    ) -> bool {
        if report.incarnation < self.target.incarnation {
            return false;
        }
        if report.incarnation > self.target.incarnation {
            // The node on the target's instance knows of a restart before the membership does.
            let mut target = self.target.clone();
            target.incarnation = report.incarnation;
            *self = Self::new(target, now);
        }
        if self
            .report
            .is_some_and(|known| known.sequence >= report.sequence)
        {
            return false;
        }
        let age = Duration::from_micros(u64::from(report.age_us)) + round_trip / 2;
        self.reported_at = Instant(now.0.saturating_sub(age.as_micros() as u64));
        // A request sent within half a round trip before the report was created had not arrived by then.
        self.covered_until = Instant(
            self.reported_at
                .0
                .saturating_sub((round_trip / 2).as_micros() as u64),
        );
        self.report = Some(report);
        true
    }

    pub(crate) fn request_started(&mut self, now: Instant) {
        self.in_flight.push(now);
        if let Some(next) = &mut self.next_start {
            next.at = next.at.max(now) + next.interval;
        }
    }

    /// Number of local requests in flight that the report cannot include.
    pub(crate) fn unreported_requests(&self) -> usize {
        self.in_flight.len()
            - self
                .in_flight
                .partition_point(|sent| *sent <= self.covered_until)
    }

    /// Age of the oldest local request in flight: a lower bound of the target's latency.
    pub(crate) fn oldest_request_age(&self, now: Instant) -> Duration {
        self.in_flight
            .first()
            .map_or(Duration::ZERO, |sent| now.since(*sent))
    }

    pub(crate) fn request_finished(&mut self, sample: &Sample, now: Instant) {
        if sample.incarnation != self.target.incarnation {
            return;
        }
        let start = Instant(now.0.saturating_sub(sample.latency.as_micros() as u64));
        // The last request that was sent by then, or the first when rounding puts the start before all of them.
        let position = self
            .in_flight
            .partition_point(|sent| *sent <= start)
            .saturating_sub(1);
        if position < self.in_flight.len() {
            self.in_flight.remove(position);
        }
        let failure = match sample.outcome {
            Outcome::Success => 0.0,
            Outcome::Failure => 1.0,
            Outcome::Refused => {
                self.last_refused = Some(now);
                return;
            }
            Outcome::Cancelled => return,
        };
        self.local_failure_rate += FAILURE_WEIGHT * (failure - self.local_failure_rate);
        self.failure_rate_updated = now;
        if sample.outcome == Outcome::Success {
            let latency_us = sample.latency.as_micros() as f64;
            let weight = if self.local_latency_us == 0.0 {
                1.0
            } else {
                LATENCY_WEIGHT
            };
            self.local_latency_us += weight * (latency_us - self.local_latency_us);
        }
    }

    /// Failure rate, from 0 to 1: the higher of the local and the reported rate, decayed when configured.
    pub(crate) fn failure_rate(&self, config: &Config, now: Instant) -> f64 {
        let rate = self.undecayed_failure_rate();
        let Some(half_life) = config.failure_half_life else {
            return rate;
        };
        let age = now.since(self.failure_rate_updated).as_secs_f64();
        rate * (-age / half_life.as_secs_f64()).exp2()
    }

    fn undecayed_failure_rate(&self) -> f64 {
        let reported = self
            .report
            .map_or(0.0, |report| f64::from(report.failure_permille) / 1_000.0);
        self.local_failure_rate.max(reported).min(1.0)
    }

    /// Ramp-up factor of this target, relative to that of the target that has been ready longest, since `earliest_ready`.
    ///
    /// It is relative, because a node that has just started sees all targets as new.
    pub(crate) fn warm_up_share(
        &self,
        config: &Config,
        earliest_ready: Option<Instant>,
        now: Instant,
    ) -> f64 {
        let share = |since: Option<Instant>| {
            let age = since.map_or(Duration::ZERO, |since| now.since(since));
            (age.as_secs_f64() / config.warm_up_period.as_secs_f64()).clamp(WARM_UP_SHARE_MIN, 1.0)
        };
        share(self.ready_since) / share(earliest_ready).max(share(self.ready_since))
    }
}
