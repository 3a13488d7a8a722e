//! Result of a finished request, which updates the estimates of its target.

use std::time::Duration;

use shallotrill_model::incarnation::Incarnation;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The backend server responded without an error of its own.
    Success,
    /// The backend server responded with an error, or the connection failed.
    Failure,
    /// The target's gate refused the request. It does not count as a failure, because the load report already shows
    /// the overload.
    Refused,
    /// The caller cancelled the request; the estimates stay unchanged.
    Cancelled,
}

/// A finished request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sample {
    /// Incarnation of the backend server that the request was sent to.
    pub incarnation: Incarnation,
    /// How the request ended.
    pub outcome: Outcome,
    /// Time from [`crate::Table::request_started`] to the end of the request. Only successes update the latency estimate.
    pub latency: Duration,
}
