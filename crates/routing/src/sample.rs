//! What a finished request teaches about its target.

use std::time::Duration;

use shallotrill_model::incarnation::Incarnation;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The backend server answered without an error of its own.
    Success,
    /// The backend server answered with an error, or the connection failed.
    Failure,
    /// The target's gate refused it; the load report says why, and it counts as no failure.
    Refused,
    /// The caller went away; nothing is learned.
    Cancelled,
}

/// A finished request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sample {
    /// Life of the backend server that the request was sent to.
    pub incarnation: Incarnation,
    /// How it ended.
    pub outcome: Outcome,
    /// Time from [`crate::Table::started`] to the end. Only that of a success is learned as latency.
    pub latency: Duration,
}
