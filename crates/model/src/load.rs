//! Load reports: what a target's node knows exactly and others learn late.

use serde::Deserialize;
use serde::Serialize;

use crate::incarnation::Incarnation;

/// The load of a target at the moment its node answered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Report {
    /// Life of the backend server that the report is about.
    pub incarnation: Incarnation,
    /// Rises with each report of one node process; a lower one came late.
    pub sequence: u64,
    /// Requests running at the backend server.
    pub in_flight: u32,
    /// Requests waiting at its node.
    pub queued: u32,
    /// Requests that its node lets run at once.
    pub limit: u32,
    /// Recent latency of successful requests, in microseconds; zero when none is known.
    pub latency_us: u32,
    /// Recent failures for each thousand requests.
    pub failure_permille: u16,
    /// Whether the backend server sheds load.
    pub shedding: bool,
    /// Age of the report when it was sent, in microseconds.
    pub age_us: u32,
}
