//! Metrics of a router. Every label set is bounded.

use std::time::Duration;

use http::StatusCode;
use prometheus::Histogram;
use prometheus::IntCounter;
use prometheus::IntGauge;

use crate::forwarded::Denial;
use shallotrill_process::metrics::Counters;
use shallotrill_process::metrics::Error;
use shallotrill_process::metrics::LabelSet;
use shallotrill_process::metrics::Registry;

/// Bounds of latency histograms, in seconds.
const LATENCY_BOUNDS: [f64; 12] = [
    0.005, 0.01, 0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0,
];

/// The metrics of a router.
#[derive(Debug)]
pub struct Metrics {
    /// Encodes them.
    pub registry: Registry,
    requests: Counters,
    denials: Counters,
    latency: Histogram,
    added: Histogram,
    /// Copies of requests that were sent to another target.
    pub copies: IntCounter,
    /// Copies that the budget did not allow.
    pub copies_refused: IntCounter,
    /// Probes of the backend server.
    pub probes: IntCounter,
    /// Requests refused because they crash backend servers.
    pub quarantined: IntCounter,
    /// Lines of requests that were left out of the log.
    pub log_left_out: IntGauge,
    /// Registry processes that answer.
    pub registries: IntGauge,
}

impl Metrics {
    /// Registers the metrics.
    ///
    /// # Errors
    ///
    /// Returns an error when a name is not valid.
    pub fn new() -> Result<Self, Error> {
        let registry = Registry::new();
        Ok(Self {
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
            added: registry.histogram(
                "shallotrill_router_slot_wait_seconds",
                "Time that a request waited for a slot of the backend server.",
                &LATENCY_BOUNDS,
            )?,
            copies: registry.counter(
                "shallotrill_router_copies_total",
                "Copies of requests sent to another target.",
            )?,
            copies_refused: registry.counter(
                "shallotrill_router_copies_refused_total",
                "Copies that the retry budget did not allow.",
            )?,
            probes: registry.counter(
                "shallotrill_router_probes_total",
                "Probes of the backend server.",
            )?,
            quarantined: registry.counter(
                "shallotrill_router_quarantined_total",
                "Requests refused because they crash backend servers.",
            )?,
            log_left_out: registry.gauge(
                "shallotrill_router_log_left_out",
                "Lines of answered requests that were left out of the log.",
            )?,
            registries: registry.gauge(
                "shallotrill_router_registries",
                "Registry processes that answer.",
            )?,
            registry,
        })
    }

    /// Counts an answer to a caller.
    pub fn answered(&self, status: StatusCode, took: Duration) {
        self.requests.of(status.as_str()).inc();
        self.latency.observe(took.as_secs_f64());
    }

    /// Counts an attempt without an answer.
    pub fn denied(&self, denial: Denial) {
        self.denials.of(denial.as_str()).inc();
    }

    /// Counts the wait for a slot.
    pub fn waited(&self, waited: Duration) {
        self.added.observe(waited.as_secs_f64());
    }
}
