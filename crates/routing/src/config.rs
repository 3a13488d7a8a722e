//! Configuration of the choice of a target.

use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::time::Duration;

use crate::policy;
use crate::policy::Policy;
use shallotrill_model::instance;
use shallotrill_model::region;
use shallotrill_model::zone;

/// Targets that a process prefers where a service has many.
///
/// A process that spreads its requests over hundreds of targets hears from each of them too rarely
/// to know its load. The ranks are drawn by rendezvous hashing, so that a target that comes or goes
/// changes only the subsets that contain it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Subset {
    /// Differs between processes, so that each of them ranks the targets in another order.
    pub key: u64,
    /// Number of preferred targets of a service in the local availability zone.
    pub local: usize,
    /// Number of preferred targets of a service in each other availability zone.
    pub other: usize,
}

impl Subset {
    pub(crate) fn rank(self, instance: &instance::Name) -> u64 {
        let mut hasher = DefaultHasher::new();
        (self.key, instance.as_str()).hash(&mut hasher);
        hasher.finish()
    }
}

/// Configuration of a [`crate::Table`].
#[derive(Clone, Debug)]
pub struct Config {
    pub(crate) region: region::Name,
    pub(crate) zone: zone::Name,
    pub(crate) policy: Policy,
    pub(crate) load_half_life: Duration,
    pub(crate) load_latency_share: f64,
    pub(crate) latency_half_life: Duration,
    pub(crate) stale_after: Duration,
    pub(crate) warm_up_period: Duration,
    pub(crate) recovery_interval: Duration,
    pub(crate) failing_rate_min: f64,
    pub(crate) recovery_probability: f64,
    pub(crate) latency_band: f64,
    pub(crate) last_resort: bool,
    pub(crate) failure_half_life: Option<Duration>,
    pub(crate) cross_zone_share: f64,
    pub(crate) local_zone_targets: usize,
    pub(crate) subset: Option<Subset>,
    pub(crate) same_zone_round_trip: Duration,
    pub(crate) same_region_round_trip: Duration,
    pub(crate) other_region_round_trip: Duration,
    pub(crate) default_latency: Duration,
}

impl Config {
    /// Creates the default configuration of a node in `zone` of `region`.
    pub fn new(region: region::Name, zone: zone::Name) -> Self {
        Self {
            region,
            zone,
            policy: policy::SCORED,
            load_half_life: Duration::from_millis(50),
            load_latency_share: 0.0,
            latency_half_life: Duration::from_secs(1),
            stale_after: Duration::from_millis(50),
            warm_up_period: Duration::from_secs(10),
            recovery_interval: Duration::from_millis(100),
            failing_rate_min: 0.5,
            recovery_probability: 0.02,
            latency_band: 2.0,
            last_resort: false,
            failure_half_life: None,
            cross_zone_share: 0.25,
            local_zone_targets: usize::MAX,
            subset: None,
            same_zone_round_trip: Duration::from_micros(100),
            same_region_round_trip: Duration::from_millis(1),
            other_region_round_trip: Duration::from_millis(60),
            default_latency: Duration::from_millis(5),
        }
    }

    /// Sets the policy of the choice; [`policy::SCORED`] by default. The others are baselines for comparison.
    #[must_use]
    pub const fn policy(mut self, policy: Policy) -> Self {
        self.policy = policy;
        self
    }

    /// Sets the half-life of a load report. As a report ages, the estimate moves from the report to the median of its service.
    #[must_use]
    pub fn load_half_life(mut self, half_life: Duration) -> Self {
        self.load_half_life = half_life.max(Duration::from_micros(1));
        self
    }

    /// Sets the share of the median latency of a service that the half-life of its load reports, and the age at
    /// which they count as stale, are at least; 0 by default.
    ///
    /// The load of a target changes as its requests end. Where requests take hundreds of milliseconds, a report
    /// that is 100 ms old still describes the load better than the median of the service does.
    #[must_use]
    pub const fn load_latency_share(mut self, share: f64) -> Self {
        self.load_latency_share = share.max(0.0);
        self
    }

    /// Sets the half-life of a target's latency. As the latency ages, the estimate moves from it to the median of its service.
    ///
    /// It is longer than the half-life of the load, so that a straggler keeps its high estimate for
    /// a while, and finite, so that a target which is avoided for its past latency is tried again.
    #[must_use]
    pub fn latency_half_life(mut self, half_life: Duration) -> Self {
        self.latency_half_life = half_life.max(Duration::from_micros(1));
        self
    }

    /// Sets the report age above which a candidate counts as stale, so that a third candidate is drawn.
    #[must_use]
    pub fn stale_after(mut self, age: Duration) -> Self {
        self.stale_after = age;
        self
    }

    /// Sets the time over which the share of a newly ready target grows to the full share.
    #[must_use]
    pub fn warm_up_period(mut self, time: Duration) -> Self {
        self.warm_up_period = time.max(Duration::from_micros(1));
        self
    }

    /// Sets the minimum time between two requests that this node sends to a failing target.
    #[must_use]
    pub fn recovery_interval(mut self, interval: Duration) -> Self {
        self.recovery_interval = interval;
        self
    }

    /// Sets the failure rate from which a target counts as failing, and the probability that a draw
    /// of a failing target is used to detect its recovery.
    #[must_use]
    pub fn failing_targets(mut self, rate: f64, recovery_probability: f64) -> Self {
        self.failing_rate_min = rate.clamp(0.01, 1.0);
        self.recovery_probability = recovery_probability.clamp(0.0, 1.0);
        self
    }

    /// Sets the time without a request in which the failure rate of a target halves; by default it does not decay.
    ///
    /// A target that receives no requests gives no new samples, so without decay only the requests
    /// that detect recovery show that it no longer fails.
    #[must_use]
    pub fn failure_half_life(mut self, time: Duration) -> Self {
        self.failure_half_life = Some(time.max(Duration::from_micros(1)));
        self
    }

    /// Sets the ratio to the median of the service up to which a latency counts as the median; 2 by default.
    ///
    /// A latency above `ratio` times the median is divided by `ratio`; with a ratio of 1, latencies
    /// are used unchanged. Smaller differences do not predict the latency of the next request.
    /// Where targets report their current latency, a narrow band makes use of the report.
    #[must_use]
    pub const fn latency_band(mut self, ratio: f64) -> Self {
        self.latency_band = ratio.max(1.0);
        self
    }

    /// Sets whether a failing target is used when all targets of a service fail; false by default.
    ///
    /// The cause may lie in a dependency of the service or may have ended, and a service without
    /// any eligible target would get no response that shows the recovery.
    #[must_use]
    pub const fn last_resort(mut self, allowed: bool) -> Self {
        self.last_resort = allowed;
        self
    }

    /// Sets the proportion of choices that also consider a target of another availability zone.
    #[must_use]
    pub fn cross_zone_share(mut self, proportion: f64) -> Self {
        self.cross_zone_share = proportion.clamp(0.0, 1.0);
        self
    }

    /// Sets the number of targets in the local availability zone above which fewer choices consider
    /// another zone; there is no such number by default.
    ///
    /// With `n` times as many targets, every `n`th of the choices of [`Config::cross_zone_share`] considers
    /// another zone. A choice among many targets gains little from one more, while traffic between
    /// zones is billed.
    #[must_use]
    pub const fn local_zone_targets(mut self, targets: usize) -> Self {
        self.local_zone_targets = targets;
        self
    }

    /// Sets the targets that are preferred where a service has many; all by default. The others are used
    /// when the preferred ones are busy, failing or excluded.
    #[must_use]
    pub const fn subset(mut self, subset: Subset) -> Self {
        self.subset = Some(subset);
        self
    }

    /// Sets the round trips that are assumed until they are measured.
    #[must_use]
    pub fn round_trips(
        mut self,
        same_zone_round_trip: Duration,
        same_region_round_trip: Duration,
        other_region_round_trip: Duration,
    ) -> Self {
        self.same_zone_round_trip = same_zone_round_trip;
        self.same_region_round_trip = same_region_round_trip;
        self.other_region_round_trip = other_region_round_trip;
        self
    }

    /// Sets the latency that is assumed for a service until the first successful request.
    #[must_use]
    pub fn default_latency(mut self, latency: Duration) -> Self {
        self.default_latency = latency;
        self
    }
}
