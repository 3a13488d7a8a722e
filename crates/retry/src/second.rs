//! Second attempts of requests whose response is among the slowest of their service.
//!
//! A second attempt is made at another target when the first takes longer than a quantile of the current response
//! times, and the attempt that is not needed is cancelled. The share of extra work is set by the operator. The quantile
//! follows from it, so that about as many requests are slower as may have a second attempt, and a budget enforces it
//! when more are.

use std::time::Duration;

use crate::budget;
use crate::budget::Budget;
use crate::call::Call;
use crate::decision;
use crate::decision::Decision;
use crate::latency::Window;
use shallotrill_model::class::Class;
use shallotrill_model::time::Instant;

/// Period of the response times. With one request in a second it has enough of them for a quantile.
const LATENCY_PERIOD: Duration = Duration::from_secs(20);

/// Lowest and highest quantile after which a second attempt is made, in thousandths. The response times of the period
/// are too few for one above it, and a second attempt below it would often be overtaken by the first.
const QUANTILE_PERMILLE: (u32, u32) = (900, 990);

/// Second attempts that may follow each other closely after a time without any.
const BURST: u32 = 3;

/// A request with one attempt in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// Whether it may run more than once.
    pub class: Class,
    /// Attempts that may have reached a backend server, including the one in flight.
    pub attempts: u32,
    /// Attempts that its route allows.
    pub attempts_max: u32,
    /// Targets that no attempt has used.
    pub untried_targets: u32,
    /// Time at which the caller stops waiting.
    pub deadline: Instant,
}

/// Response times and extra work of one service.
#[derive(Clone, Debug)]
pub struct Service {
    quantile_permille: u32,
    latencies: Window,
    budget: Budget,
}

impl Service {
    /// Creates a service with at most `permille` second attempts for each thousand requests.
    pub fn new(permille: u32, now: Instant) -> Self {
        let config = budget::Config::default()
            .permille(permille)
            .floor_per_second(0)
            .burst(BURST);
        let (lowest, highest) = QUANTILE_PERMILLE;
        Self {
            quantile_permille: 1_000_u32.saturating_sub(permille).clamp(lowest, highest),
            latencies: Window::new(LATENCY_PERIOD, now),
            budget: Budget::new(config, now),
        }
    }

    /// Counts a request, which earns its share of a second attempt.
    pub fn record_request(&mut self) {
        self.budget.earn();
    }

    /// Records the time to a response. For an attempt that another one overtook it is the time for which it ran: without
    /// it, the slowest responses would be missing and the quantile would fall.
    pub fn record_latency(&mut self, latency: Duration, now: Instant) {
        self.latencies.record(latency, now);
    }

    /// Decides whether and when a second attempt is made of a request whose first started at `started`. On
    /// [`Decision::Hedge`] with a time that is not after `now`, it is charged.
    pub fn decide(&mut self, request: &Request, started: Instant, now: Instant) -> Decision {
        let slowest = self.latencies.quantile(self.quantile_permille, now);
        let mut state = decision::State {
            class: request.class,
            call: Call::entry(&mut self.budget, 0),
            attempts: request.attempts,
            in_flight: 1,
            hedged: false,
            response_bytes_sent: 0,
            untried_targets: request.untried_targets,
            deadline: request.deadline,
            config: decision::Config::default().attempts_max(request.attempts_max),
        };
        decision::hedge(&mut state, started, slowest, &mut self.budget, now)
    }
}
