//! Parameters of the admission gate.

use std::time::Duration;

use shallotrill_model::incarnation::Incarnation;
use shallotrill_model::partner;

/// Parameters of a [`crate::gate::Gate`].
#[derive(Clone, Debug)]
pub struct Config {
    pub(crate) incarnation: Incarnation,
    pub(crate) slots: u32,
    pub(crate) queue: u32,
    pub(crate) weights: Vec<(partner::Name, u32)>,
    pub(crate) service_time: Duration,
    pub(crate) tolerance: f64,
    pub(crate) jitter: Duration,
    pub(crate) decrease_factor: f64,
    pub(crate) low_priority_interval: u32,
    pub(crate) idle_period: Duration,
    pub(crate) ranks: Option<Ranks>,
}

/// How the values of [`crate::ticket::Ticket::priority`] are divided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ranks {
    /// Consecutive values that are one priority.
    pub per_priority: u8,
    /// Consecutive values that are one level. All tickets of a partner are of one level.
    pub per_level: u8,
}

impl Config {
    /// Creates the default parameters for a backend server with `slots` slots and a queue of at most `queue` tickets.
    pub fn new(incarnation: Incarnation, slots: u32, queue: u32) -> Self {
        Self {
            incarnation,
            slots: slots.max(1),
            queue,
            weights: Vec::new(),
            service_time: Duration::from_millis(5),
            tolerance: 2.0,
            jitter: Duration::from_millis(5),
            decrease_factor: 0.7,
            low_priority_interval: 8,
            idle_period: Duration::from_secs(10),
            ranks: None,
        }
    }

    /// Sets the weight of a partner, at least 1; other partners have weight 1.
    #[must_use]
    pub fn weight(mut self, partner: partner::Name, weight: u32) -> Self {
        match self
            .weights
            .binary_search_by(|(name, _)| name.cmp(&partner))
        {
            Ok(index) => self.weights[index].1 = weight.max(1),
            Err(index) => self.weights.insert(index, (partner, weight.max(1))),
        }
        self
    }

    /// Sets the service time that is assumed until one is measured.
    #[must_use]
    pub fn service_time(mut self, duration: Duration) -> Self {
        self.service_time = duration.max(Duration::from_micros(1));
        self
    }

    /// Sets the highest ratio of the short-term average latency to its long-term minimum at which the limit still grows.
    #[must_use]
    pub fn tolerance(mut self, ratio: f64) -> Self {
        self.tolerance = ratio.max(1.0);
        self
    }

    /// Sets the increase of the short-term average latency above its long-term minimum that never lowers the limit,
    /// even if the ratio exceeds [`Config::tolerance`].
    ///
    /// The scheduler of a shared machine delays a response by a few milliseconds without any congestion
    /// at the backend server. For a fast backend server this is many times its service time.
    #[must_use]
    pub fn jitter(mut self, increase: Duration) -> Self {
        self.jitter = increase;
        self
    }

    /// Sets the factor that the limit is multiplied by after a shed request or a timeout.
    #[must_use]
    pub fn decrease_factor(mut self, factor: f64) -> Self {
        self.decrease_factor = factor.clamp(0.1, 1.0);
        self
    }

    /// Sets the interval, in dispatches from the queue, at which the lowest priority is selected, so that it is not starved.
    #[must_use]
    pub fn low_priority_interval(mut self, dispatches: u32) -> Self {
        self.low_priority_interval = dispatches.max(2);
        self
    }

    /// Starts timely tickets of every priority before late ones. [`Config::low_priority_interval`] then applies within
    /// a priority only, so a lower one takes no slot that a timely ticket of a higher one waits for. A partner that is
    /// served much less often than all is raised to the highest level.
    #[must_use]
    pub fn timely_first(mut self, ranks: Ranks) -> Self {
        self.ranks = Some(Ranks {
            per_priority: ranks.per_priority.max(1),
            per_level: ranks.per_level.max(1),
        });
        self
    }

    /// Sets the time after which the account of an idle partner, with its slot time, may be removed.
    #[must_use]
    pub fn idle_period(mut self, duration: Duration) -> Self {
        self.idle_period = duration;
        self
    }
}
