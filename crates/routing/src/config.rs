//! Parameters of the choice of a target.

use std::time::Duration;

use crate::policy;
use crate::policy::Policy;
use shallotrill_model::region;
use shallotrill_model::zone;

/// Parameters of a [`crate::Table`].
#[derive(Clone, Debug)]
pub struct Config {
    pub(crate) region: region::Name,
    pub(crate) zone: zone::Name,
    pub(crate) policy: Policy,
    pub(crate) half_life: Duration,
    pub(crate) latency_half_life: Duration,
    pub(crate) old: Duration,
    pub(crate) warm_up: Duration,
    pub(crate) recovery_interval: Duration,
    pub(crate) failing: f64,
    pub(crate) trickle: f64,
    pub(crate) latency_band: f64,
    pub(crate) last_resort: bool,
    pub(crate) failure_half_life: Option<Duration>,
    pub(crate) cross_zone: f64,
    pub(crate) own_zone: usize,
    pub(crate) same_zone: Duration,
    pub(crate) same_region: Duration,
    pub(crate) other_region: Duration,
    pub(crate) latency: Duration,
}

impl Config {
    /// Default parameters for a node in `zone` of `region`.
    pub fn new(region: region::Name, zone: zone::Name) -> Self {
        Self {
            region,
            zone,
            policy: policy::SCORED,
            half_life: Duration::from_millis(50),
            latency_half_life: Duration::from_secs(1),
            old: Duration::from_millis(50),
            warm_up: Duration::from_secs(10),
            recovery_interval: Duration::from_millis(100),
            failing: 0.5,
            trickle: 0.02,
            latency_band: 2.0,
            last_resort: false,
            failure_half_life: None,
            cross_zone: 0.25,
            own_zone: usize::MAX,
            same_zone: Duration::from_micros(100),
            same_region: Duration::from_millis(1),
            other_region: Duration::from_millis(60),
            latency: Duration::from_millis(5),
        }
    }

    /// Policy of the choice; the scored one by default. The others are for comparison.
    #[must_use]
    pub const fn policy(mut self, policy: Policy) -> Self {
        self.policy = policy;
        self
    }

    /// Time in which the weight of a load report against the median of its service halves.
    #[must_use]
    pub fn half_life(mut self, half_life: Duration) -> Self {
        self.half_life = half_life.max(Duration::from_micros(1));
        self
    }

    /// Time in which the weight of a reported latency against the median of its service halves.
    ///
    /// It is longer than that of the load, so that a straggler is not forgotten at once, and
    /// finite, so that a target which is avoided for its past latency is tried again.
    #[must_use]
    pub fn latency_half_life(mut self, half_life: Duration) -> Self {
        self.latency_half_life = half_life.max(Duration::from_micros(1));
        self
    }

    /// Age from which an estimate is old, so that a third candidate is drawn.
    #[must_use]
    pub fn old(mut self, age: Duration) -> Self {
        self.old = age;
        self
    }

    /// Time over which the share of a cold target grows to the full share.
    #[must_use]
    pub fn warm_up(mut self, time: Duration) -> Self {
        self.warm_up = time.max(Duration::from_micros(1));
        self
    }

    /// Shortest time between two requests that this node sends to a failing target.
    #[must_use]
    pub fn recovery_interval(mut self, interval: Duration) -> Self {
        self.recovery_interval = interval;
        self
    }

    /// Failure rate from which a target counts as failing, and the chance that a draw of one is used.
    #[must_use]
    pub fn failing(mut self, rate: f64, trickle: f64) -> Self {
        self.failing = rate.clamp(0.01, 1.0);
        self.trickle = trickle.clamp(0.0, 1.0);
        self
    }

    /// Time without a request in which the failure rate of a target halves; it stays by default.
    ///
    /// A target that is left out brings no news, so without this only the trickle shows that it is well again.
    #[must_use]
    pub fn failure_half_life(mut self, time: Duration) -> Self {
        self.failure_half_life = Some(time.max(Duration::from_micros(1)));
        self
    }

    /// Ratio to the median of the service up to which a latency counts as the median; 2 by default.
    ///
    /// Within the band a difference says more of the past than of the next request. Where
    /// targets state how slow they are at the moment, a narrow band makes use of it.
    #[must_use]
    pub const fn latency_band(mut self, ratio: f64) -> Self {
        self.latency_band = ratio.max(1.0);
        self
    }

    /// Whether a failing target is used when all of a service fail; not by default.
    ///
    /// The cause may lie below the service or be over, and a service without
    /// any target would get no answer that shows it.
    #[must_use]
    pub const fn last_resort(mut self, allowed: bool) -> Self {
        self.last_resort = allowed;
        self
    }

    /// Proportion of choices that also consider a target of another availability zone.
    #[must_use]
    pub fn cross_zone(mut self, proportion: f64) -> Self {
        self.cross_zone = proportion.clamp(0.0, 1.0);
        self
    }

    /// Targets in the own availability zone above which others are considered less; never by default.
    ///
    /// With `n` times as many, every `n`th of those choices considers another zone. A choice among
    /// many gains little from one more, while bytes between zones are billed.
    #[must_use]
    pub const fn own_zone(mut self, targets: usize) -> Self {
        self.own_zone = targets;
        self
    }

    /// Round trips assumed until they are measured.
    #[must_use]
    pub fn distances(
        mut self,
        same_zone: Duration,
        same_region: Duration,
        other_region: Duration,
    ) -> Self {
        self.same_zone = same_zone;
        self.same_region = same_region;
        self.other_region = other_region;
        self
    }

    /// Latency assumed for a service of which no success is known.
    #[must_use]
    pub fn latency(mut self, latency: Duration) -> Self {
        self.latency = latency;
        self
    }
}
