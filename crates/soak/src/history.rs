//! Records of what callers, backend servers and operators observed in a run.
//!
//! All times are milliseconds since the start of the run.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::plan::ProcessIndex;

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// It may be executed more than once.
    Idempotent,
    /// It must be executed at most once.
    NonIdempotent,
}

/// Outcome of a request for its caller. All variants but the first are printed in the report in lower case.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A complete response.
    Response {
        /// HTTP status.
        status: u16,
        /// Seal in the response; `None` when it has none.
        seal: Option<Arc<str>>,
        /// Seal computed by the caller from its request, the status and the received body.
        expected: Arc<str>,
    },
    /// The connection was closed or failed before the response was complete.
    Lost,
    /// No connection could be opened, so nothing was sent.
    NotSent,
    /// The caller closed the connection early.
    Left,
    /// No response came within the time limit of the caller and an additional period.
    Silent,
}

/// A request as sent by its caller.
#[derive(Clone, Debug)]
pub struct SentRequest {
    /// Router that it was sent to.
    pub router: ProcessIndex,
    /// Whether it may be executed more than once.
    pub idempotency: Idempotency,
    /// Method, path and body.
    pub content: Arc<str>,
    /// Key of a workspace that it carries.
    pub key: &'static str,
    /// Whether its route needs no key.
    pub public: bool,
    /// When it was sent.
    pub at_ms: u64,
    /// Time limit of the caller.
    pub timeout_ms: u64,
    /// When it ended, and its outcome; `None` while it is in flight.
    pub outcome: Option<(u64, Outcome)>,
}

/// A request as received by a backend server.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Id that the caller assigned to the request.
    pub request: Arc<str>,
    /// Instance id of the incarnation of the backend server.
    pub instance: Arc<str>,
    /// Service of the backend server.
    pub service: Arc<str>,
    /// Service of the caller, as stated by the router.
    pub caller: Arc<str>,
    /// Workspace, as stated by the router; empty without one.
    pub workspace: Arc<str>,
    /// Whether the key of the caller arrived too.
    pub has_key: bool,
    /// Method, path and body.
    pub content: Arc<str>,
    /// When it arrived.
    pub at_ms: u64,
    /// Remaining time that the router stated; `None` when it stated none.
    pub remaining_ms: Option<u64>,
    /// Whether it was executed; otherwise it was refused as not executed.
    pub executed: bool,
    /// Status and seal of the response; `None` until it is created.
    pub response: Option<(u16, Arc<str>)>,
    /// What the response states about its backend server.
    pub statement: Statement,
}

/// Statement of a backend server in a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Statement {
    /// Requests that it accepts in a thousand seconds; `None` without a limit.
    pub limit_millihertz: Option<u32>,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// A limit that a backend server stated.
#[derive(Clone, Debug)]
pub struct Limit {
    /// Instance id of the incarnation.
    pub instance: Arc<str>,
    /// Requests that it accepts in a thousand seconds.
    pub millihertz: u32,
    /// When it began to state the limit.
    pub from_ms: u64,
    /// When it ceased to; `u64::MAX` while it states it.
    pub until_ms: u64,
}

/// Services of a route; `None` when the route is removed.
pub type Content = Option<Vec<Arc<str>>>;

/// Routes in force by name, with their versions and services.
pub type Routes = BTreeMap<Arc<str>, (u64, Vec<Arc<str>>)>;

/// A change of a route.
#[derive(Clone, Debug)]
pub struct Change {
    /// Name of the route.
    pub route: Arc<str>,
    /// Path prefix of matching requests.
    pub prefix: Arc<str>,
    /// Version of the route.
    pub version: u64,
    /// Its services; `None` for a removal.
    pub content: Content,
    /// When it was first sent.
    pub sent_at_ms: u64,
    /// When it was acknowledged; `None` if it was not.
    pub acknowledged_at_ms: Option<u64>,
}

/// A change that takes away or gives back the changing key.
#[derive(Clone, Debug)]
pub struct KeyChange {
    /// Whether the key is valid after the change.
    pub valid: bool,
    /// When it was first sent.
    pub sent_at_ms: u64,
    /// When it was acknowledged; `None` if it was not.
    pub acknowledged_at_ms: Option<u64>,
}

/// Kind of a disturbance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DisturbanceKind {
    /// The process was requested to stop gracefully, which must not lose any request.
    Stop,
    /// The process was suspended, so requests that it had accepted may be delayed.
    Pause,
    /// Any other disturbance.
    Other,
}

/// A fault or action that affected a process or its backend server.
#[derive(Clone, Debug)]
pub struct Disturbance {
    /// The process.
    pub process: ProcessIndex,
    /// Kind of the disturbance.
    pub kind: DisturbanceKind,
    /// When it began.
    pub from_ms: u64,
    /// When it ended; `u64::MAX` while it lasts.
    pub until_ms: u64,
}

/// All records of a run.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Requests by id.
    pub requests: BTreeMap<Arc<str>, SentRequest>,
    /// Arrivals in chronological order.
    pub arrivals: Vec<Arrival>,
    /// Changes in the order in which they were sent.
    pub changes: Vec<Change>,
    /// Changes of keys in the order in which they were sent.
    pub key_changes: Vec<KeyChange>,
    /// Instance ids of backend servers whose drain or deregistration was acknowledged, with the time and the router.
    pub departures: Vec<(Arc<str>, u64, ProcessIndex)>,
    /// Limits that backend servers stated.
    pub limits: Vec<Limit>,
    /// Disturbances of processes and backend servers.
    pub disturbances: Vec<Disturbance>,
    /// Routes in force at the end, as reported by each registry process.
    pub final_routes: Vec<(ProcessIndex, Routes)>,
    /// Failures detected during the run: name of the invariant and description.
    pub failures: Vec<(&'static str, String)>,
}

impl History {
    /// Records the outcome of a request.
    pub fn record_outcome(&mut self, request: &str, at_ms: u64, outcome: Outcome) {
        if let Some(sent) = self.requests.get_mut(request) {
            sent.outcome = Some((at_ms, outcome));
        }
    }

    /// Whether a process had a disturbance of this kind that overlaps the period.
    pub fn is_disturbed(
        &self,
        process: ProcessIndex,
        kind: DisturbanceKind,
        from_ms: u64,
        until_ms: u64,
    ) -> bool {
        let mut disturbances = self.disturbances.iter().filter(|d| d.process == process);
        disturbances.any(|d| d.kind == kind && d.from_ms <= until_ms && d.until_ms >= from_ms)
    }

    /// Whether no process had a disturbance in the period, apart from graceful stops.
    pub fn is_undisturbed(&self, from_ms: u64, until_ms: u64) -> bool {
        let mut disturbances = self.disturbances.iter();
        !disturbances.any(|d| {
            d.kind != DisturbanceKind::Stop && d.from_ms <= until_ms && d.until_ms >= from_ms
        })
    }
}

/// Seal of a response: status, body length and a CRC-32C of request id and body. It shows that a response belongs to its request and is complete.
pub fn seal(request: &str, status: u16, body: &[u8]) -> Arc<str> {
    let sum = crc32c::crc32c_append(crc32c::crc32c(request.as_bytes()), body);
    Arc::from(format!("{status}.{}.{sum:08x}", body.len()))
}
