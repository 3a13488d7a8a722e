//! Load reports: exact at the target's node, received by other nodes with a delay.

use serde::Deserialize;
use serde::Serialize;

use crate::incarnation::Incarnation;
use crate::rate::Rate;

/// The load of a target at the time its node created the report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Report {
    /// Incarnation of the backend server that the report describes.
    pub incarnation: Incarnation,
    /// Increases with each report of one node process; a lower number means that the report arrived out of order.
    pub sequence: u64,
    /// Requests in flight at the backend server.
    pub in_flight: u32,
    /// Requests queued at its node.
    pub queued: u32,
    /// Concurrency limit that its node enforces.
    pub limit: u32,
    /// Recent latency of successful requests, in microseconds; zero when unknown.
    pub latency_us: u32,
    /// Recent failures per thousand requests.
    pub failure_permille: u16,
    /// Whether the backend server is shedding load.
    pub shedding: bool,
    /// Time between the creation and the sending of the report, in microseconds.
    pub age_us: u32,
}

/// The pace of a target whose backend server accepts a limited rate of requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Pace {
    /// Requests that it accepts from all nodes together.
    pub rate: Rate,
    /// Time from the creation of the report until a request that arrives then may start, in microseconds.
    pub wait_us: u32,
}
