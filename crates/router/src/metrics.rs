//! Metrics of a router. The number of label values of each metric is bounded.

use std::time::Duration;

use http::StatusCode;
use prometheus::Histogram;
use prometheus::IntCounter;
use prometheus::IntGauge;

use crate::backend::RateLimit;
use crate::forwarded::Denial;
use shallotrill_model::rate::Rate;
use shallotrill_process::holders::Holders;
use shallotrill_process::metrics::Counters;
use shallotrill_process::metrics::Error;
use shallotrill_process::metrics::LabelSet;
use shallotrill_process::metrics::Registry;

/// Upper bounds of the buckets of latency histograms, in seconds.
const LATENCY_BOUNDS: [f64; 12] = [
    0.005, 0.01, 0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0,
];

/// Value of the limit of the backend server while it states none.
const NO_LIMIT: i64 = -1;

/// The metrics of a router.
#[derive(Debug)]
pub struct Metrics {
    /// Registry that encodes the metrics.
    pub registry: Registry,
    requests: Counters,
    denials: Counters,
    latency: Histogram,
    slot_wait: Histogram,
    /// Retries that were sent to another target.
    pub retries: IntCounter,
    /// Retries that the retry budget did not allow.
    pub retries_refused: IntCounter,
    /// Second attempts for slow responses.
    pub second_attempts: IntCounter,
    /// Second attempts that were faster than the first.
    pub second_attempts_faster: IntCounter,
    /// Requests refused because no target states that they can start in time.
    pub refused_without_room: IntCounter,
    /// Probes of the backend server.
    pub probes: IntCounter,
    backend_requests: Counters,
    backend_limit: IntGauge,
    /// Whether the backend server is cold, as 0 or 1.
    pub backend_cold: IntGauge,
    /// Requests refused because all targets of their service are cold and too busy.
    pub cold_refusals: IntCounter,
    /// Evacuations of zones.
    pub evacuation: Evacuation,
    /// Requests refused because they crash backend servers.
    pub quarantined: IntCounter,
    allotments: Counters,
    /// Messages in which credit was requested.
    pub credit_requests: IntCounter,
    /// Responses whose slot was released before their end because their reader is slow.
    pub slow_readers: IntCounter,
    /// Log lines of answered requests that the rate limit suppressed.
    pub log_suppressed: IntGauge,
    /// Reachable registry processes.
    pub registries: IntGauge,
    /// What the process keeps for others.
    pub holders: Holders,
}

/// Metrics of evacuations.
#[derive(Debug)]
pub struct Evacuation {
    /// Whether the zone of this router is evacuated, as 0 or 1.
    pub here: IntGauge,
    /// Number of evacuated zones.
    pub zones: IntGauge,
    /// Requests refused because all targets of their service are in evacuated zones.
    pub refusals: IntCounter,
}

impl Evacuation {
    fn new(registry: &Registry) -> Result<Self, Error> {
        Ok(Self {
            here: registry.gauge(
                "shallotrill_router_evacuated",
                "Whether the zone of this router is evacuated.",
            )?,
            zones: registry.gauge(
                "shallotrill_router_evacuated_zones",
                "Availability zones whose targets take no requests.",
            )?,
            refusals: registry.counter(
                "shallotrill_router_evacuated_refusals_total",
                "Requests refused because all targets of their service are in evacuated zones.",
            )?,
        })
    }
}

impl Metrics {
    /// Registers the metrics.
    ///
    /// # Errors
    ///
    /// Returns an error when a name is not valid.
    pub fn new() -> Result<Self, Error> {
        let registry = Registry::new();
        let metrics = Self {
            requests: registry.counters(
                "shallotrill_router_requests_total",
                "Requests of callers by status of the answer.",
                LabelSet::new("status", 24),
            )?,
            denials: registry.counters(
                "shallotrill_router_denials_total",
                "Attempts that got no answer of a backend server, by reason.",
                LabelSet::new("reason", 8),
            )?,
            latency: registry.histogram(
                "shallotrill_router_request_seconds",
                "Time from the head of a request to the head of its answer.",
                &LATENCY_BOUNDS,
            )?,
            slot_wait: registry.histogram(
                "shallotrill_router_slot_wait_seconds",
                "Time that a request waited for a slot of the backend server.",
                &LATENCY_BOUNDS,
            )?,
            retries: registry.counter(
                "shallotrill_router_copies_total",
                "Copies of requests sent to another target.",
            )?,
            retries_refused: registry.counter(
                "shallotrill_router_copies_refused_total",
                "Copies that the retry budget did not allow.",
            )?,
            second_attempts: registry.counter(
                "shallotrill_router_second_attempts_total",
                "Second attempts for slow responses.",
            )?,
            second_attempts_faster: registry.counter(
                "shallotrill_router_second_attempts_faster_total",
                "Second attempts for slow responses that were faster than the first.",
            )?,
            refused_without_room: registry.counter(
                "shallotrill_router_refused_without_room_total",
                "Requests refused because no target states that they can start in time.",
            )?,
            probes: registry.counter(
                "shallotrill_router_probes_total",
                "Probes of the backend server.",
            )?,
            backend_requests: registry.counters(
                "shallotrill_router_backend_requests_total",
                "Requests sent to the backend server, by what limits their rate.",
                LabelSet::new("limit", 3),
            )?,
            backend_limit: registry.gauge(
                "shallotrill_router_backend_limit_millihertz",
                "Requests per thousand seconds that the backend server accepts; -1 without a limit.",
            )?,
            backend_cold: registry.gauge(
                "shallotrill_router_backend_cold",
                "Whether the backend server is cold.",
            )?,
            cold_refusals: registry.counter(
                "shallotrill_router_cold_refusals_total",
                "Requests refused because all targets of their service are cold and too busy.",
            )?,
            evacuation: Evacuation::new(&registry)?,
            quarantined: registry.counter(
                "shallotrill_router_quarantined_total",
                "Requests refused because they crash backend servers.",
            )?,
            allotments: registry.counters(
                "shallotrill_router_allotment_total",
                "Requests of workspaces with an allotment, by what was decided.",
                LabelSet::new("decision", 6),
            )?,
            credit_requests: registry.counter(
                "shallotrill_router_credit_requests_total",
                "Messages that request credit from registry processes.",
            )?,
            slow_readers: registry.counter(
                "shallotrill_router_slow_readers_total",
                "Responses whose slot was released before their end because their reader is slow.",
            )?,
            log_suppressed: registry.gauge(
                "shallotrill_router_log_left_out",
                "Lines of answered requests that were left out of the log.",
            )?,
            registries: registry.gauge(
                "shallotrill_router_registries",
                "Registry processes that answer.",
            )?,
            holders: Holders::new(&registry, "router")?,
            registry,
        };
        metrics.set_backend_limit(None);
        Ok(metrics)
    }

    /// Sets the limit that the backend server states.
    pub fn set_backend_limit(&self, rate: Option<Rate>) {
        let millihertz = rate.map_or(NO_LIMIT, |rate| i64::from(rate.millihertz()));
        self.backend_limit.set(millihertz);
    }

    /// Counts a response to a caller and records how long the request took.
    pub fn record_response(&self, status: StatusCode, elapsed: Duration) {
        self.requests.of(status.as_str()).inc();
        self.latency.observe(elapsed.as_secs_f64());
    }

    /// Counts a decision about a request of a workspace with an allotment.
    pub fn record_allotment(&self, decision: &str) {
        self.allotments.of(decision).inc();
    }

    /// Counts an attempt that was denied.
    pub fn record_denial(&self, denial: Denial) {
        self.denials.of(denial.as_str()).inc();
    }

    /// Counts a request that is sent to the backend server.
    pub fn record_backend_request(&self, limit: RateLimit) {
        self.backend_requests.of(limit.as_str()).inc();
    }

    /// Records the time that a request waited for a slot.
    pub fn record_slot_wait(&self, wait: Duration) {
        self.slot_wait.observe(wait.as_secs_f64());
    }
}
