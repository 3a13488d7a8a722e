//! Parameters of the gate.

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
    pub(crate) decrease: f64,
    pub(crate) low_every: u32,
    pub(crate) idle: Duration,
}

impl Config {
    /// Default parameters for a backend server of `slots` slots and a queue of `queue` tickets.
    pub fn new(incarnation: Incarnation, slots: u32, queue: u32) -> Self {
        Self {
            incarnation,
            slots: slots.max(1),
            queue,
            weights: Vec::new(),
            service_time: Duration::from_millis(5),
            tolerance: 2.0,
            jitter: Duration::from_millis(5),
            decrease: 0.7,
            low_every: 8,
            idle: Duration::from_secs(10),
        }
    }

    /// Weight of a partner; partners without one have weight 1.
    #[must_use]
    pub fn weight(mut self, partner: partner::Name, weight: u32) -> Self {
        match self.weights.binary_search_by(|(n, _)| n.cmp(&partner)) {
            Ok(at) => self.weights[at].1 = weight.max(1),
            Err(at) => self.weights.insert(at, (partner, weight.max(1))),
        }
        self
    }

    /// Service time assumed until one is measured.
    #[must_use]
    pub fn service_time(mut self, time: Duration) -> Self {
        self.service_time = time.max(Duration::from_micros(1));
        self
    }

    /// Ratio of the short-term average latency to its long-term minimum up to which the limit grows.
    #[must_use]
    pub fn tolerance(mut self, ratio: f64) -> Self {
        self.tolerance = ratio.max(1.0);
        self
    }

    /// Rise of the short-term average latency above its long-term minimum that never lowers the limit.
    ///
    /// The scheduler of a shared machine delays an answer by a few milliseconds without any congestion
    /// at the backend server, which is many times the service time of a fast one.
    #[must_use]
    pub fn jitter(mut self, rise: Duration) -> Self {
        self.jitter = rise;
        self
    }

    /// Factor on the limit after a shedding answer or a timeout.
    #[must_use]
    pub fn decrease(mut self, factor: f64) -> Self {
        self.decrease = factor.clamp(0.1, 1.0);
        self
    }

    /// One of this many dispatches from the queue takes the lowest priority, so that its starvation is bounded.
    #[must_use]
    pub fn low_every(mut self, dispatches: u32) -> Self {
        self.low_every = dispatches.max(2);
        self
    }

    /// Time after which the service that an idle partner received is forgotten.
    #[must_use]
    pub fn idle(mut self, time: Duration) -> Self {
        self.idle = time;
        self
    }
}
