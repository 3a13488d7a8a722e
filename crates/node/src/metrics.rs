//! Metrics of a node. The number of label values is bounded, independent of the number of services and targets.

use std::time::Duration;

use prometheus::Histogram;
use prometheus::IntCounter;

use shallotrill_backend::response::End;
use shallotrill_limits::ticket;
use shallotrill_process::metrics::Counters;
use shallotrill_process::metrics::Error;
use shallotrill_process::metrics::LabelSet;
use shallotrill_process::metrics::Registry;
use shallotrill_wire::refusal::Code;

/// Bounds of latency histograms, in seconds.
const LATENCY_BOUNDS: [f64; 14] = [
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0,
];

/// The metrics of a node.
#[derive(Debug)]
pub(crate) struct Metrics {
    pub(crate) registry: Registry,
    requests: Counters,
    refusals: Counters,
    gate: Counters,
    latency: Histogram,
    retries: IntCounter,
    hedges: IntCounter,
    coalesced: IntCounter,
    claims: Counters,
    answers: Counters,
    probes: Counters,
}

impl Metrics {
    pub(crate) fn new() -> Result<Self, Error> {
        let registry = Registry::new();
        Ok(Self {
            requests: registry.counters(
                "shallotrill_requests_total",
                "Requests of callers by class of status.",
                LabelSet::new("status", 6),
            )?,
            refusals: registry.counters(
                "shallotrill_refusals_total",
                "Requests of callers that were refused, by code.",
                LabelSet::new("code", 40),
            )?,
            gate: registry.counters(
                "shallotrill_gate_refusals_total",
                "Requests that the gate refused, by reason.",
                LabelSet::new("reason", 8),
            )?,
            latency: registry.histogram(
                "shallotrill_request_seconds",
                "Time from the head of a request to the head of its answer.",
                &LATENCY_BOUNDS,
            )?,
            retries: registry
                .counter("shallotrill_retries_total", "Attempts that were repeated.")?,
            hedges: registry.counter(
                "shallotrill_hedges_total",
                "Second attempts of slow requests.",
            )?,
            coalesced: registry.counter(
                "shallotrill_joined_total",
                "Copies of requests that shared the answer of one that was running.",
            )?,
            claims: registry.counters(
                "shallotrill_claims_total",
                "Grants that were asked for, by result.",
                LabelSet::new("result", 2),
            )?,
            answers: registry.counters(
                "shallotrill_backend_answers_total",
                "Answers of the backend server, by how they ended.",
                LabelSet::new("end", 3),
            )?,
            probes: registry.counters(
                "shallotrill_probes_total",
                "Probes of the backend server, by result.",
                LabelSet::new("result", 2),
            )?,
            registry,
        })
    }

    pub(crate) fn answered(&self, status: u16, latency: Duration) {
        let class = match status / 100 {
            1 => "1xx",
            2 => "2xx",
            3 => "3xx",
            4 => "4xx",
            _ => "5xx",
        };
        self.requests.of(class).inc();
        self.latency.observe(latency.as_secs_f64());
    }

    pub(crate) fn refused(&self, code: Code) {
        self.refusals.of(code.as_str()).inc();
    }

    pub(crate) fn gate_refused(&self, refusal: ticket::Refusal) {
        let reason = match refusal {
            ticket::Refusal::Full { .. } => "full",
            ticket::Refusal::TooLate { .. } => "too-late",
            ticket::Refusal::Displaced => "displaced",
            ticket::Refusal::Draining => "draining",
            ticket::Refusal::Cancelled => "cancelled",
            ticket::Refusal::Duplicate => "duplicate",
        };
        self.gate.of(reason).inc();
    }

    pub(crate) fn retried(&self) {
        self.retries.inc();
    }

    pub(crate) fn hedged(&self) {
        self.hedges.inc();
    }

    pub(crate) fn coalesced(&self) {
        self.coalesced.inc();
    }

    pub(crate) fn claimed(&self, granted: bool) {
        self.claims
            .of(if granted { "granted" } else { "refused" })
            .inc();
    }

    pub(crate) fn backend_ended(&self, end: End) {
        let end = match end {
            End::Complete => "whole",
            End::Truncated => "cut",
            End::Dropped => "dropped",
        };
        self.answers.of(end).inc();
    }

    pub(crate) fn probed(&self, answered: bool) {
        self.probes
            .of(if answered { "answered" } else { "failed" })
            .inc();
    }
}
