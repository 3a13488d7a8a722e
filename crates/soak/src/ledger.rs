//! What callers, backend servers and operators saw in a run.
//!
//! All times are milliseconds since the start of the run.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::plan::Process;

/// What may happen to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// It may run more than once.
    Idempotent,
    /// It may run once.
    NonIdempotent,
}

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// A whole answer.
    Answer {
        /// Its status.
        status: u16,
        /// Seal of the backend server, if it bears one.
        seal: Option<Arc<str>>,
        /// Seal that a backend server gives this request with the body that came.
        expected: Arc<str>,
    },
    /// The connection ended or broke before the answer was whole.
    Lost,
    /// No connection could be opened, so nothing was sent.
    NotSent,
    /// The caller closed the connection early.
    Left,
    /// No answer came within the caller's time and some more.
    Silent,
}

/// A request as its caller sent it.
#[derive(Clone, Debug)]
pub struct Sent {
    /// Router that it was sent to.
    pub router: Process,
    /// What may happen to it.
    pub kind: Kind,
    /// Method, path and body.
    pub content: Arc<str>,
    /// Time of the last byte.
    pub at: u64,
    /// Time that the caller waits.
    pub limit: u64,
    /// How and when it ended; nothing while it waits.
    pub end: Option<(u64, End)>,
}

/// A request as a backend server got it.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Identity that the caller gave the request.
    pub request: Arc<str>,
    /// Life of the backend server.
    pub target: Arc<str>,
    /// Its service.
    pub service: Arc<str>,
    /// Service that the router named as the caller.
    pub caller: Arc<str>,
    /// Method, path and body.
    pub content: Arc<str>,
    /// When it arrived.
    pub at: u64,
    /// Time that was left for it, as the router said.
    pub limit: Option<u64>,
    /// Whether it was run, or turned away with a statement that it was not.
    pub run: bool,
    /// Status and seal of the answer, once it was made.
    pub answer: Option<(u16, Arc<str>)>,
}

/// Where an item sends requests: the services, or nothing when it is removed.
pub type Content = Option<Vec<Arc<str>>>;

/// Routes in force by name, with their versions and services.
pub type Routes = BTreeMap<Arc<str>, (u64, Vec<Arc<str>>)>;

/// A change of a route.
#[derive(Clone, Debug)]
pub struct Change {
    /// Name of the route.
    pub route: Arc<str>,
    /// Path of its requests.
    pub prefix: Arc<str>,
    /// Version of the route.
    pub version: u64,
    /// Its content.
    pub content: Content,
    /// When it was first sent.
    pub sent: u64,
    /// When it was acknowledged, if it was.
    pub acknowledged: Option<u64>,
}

/// How a process was disturbed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Manner {
    /// It was asked to stop, which must lose nothing.
    Stop,
    /// It was suspended, so it held back what it had.
    Pause,
    /// Anything else.
    Other,
}

/// Something done to a process or to the backend server beside it.
#[derive(Clone, Debug)]
pub struct Disturbance {
    /// The process.
    pub process: Process,
    /// How.
    pub manner: Manner,
    /// Begin.
    pub from: u64,
    /// End.
    pub until: u64,
}

/// Everything that was seen.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    /// Requests by identity.
    pub sent: BTreeMap<Arc<str>, Sent>,
    /// Arrivals in their order.
    pub arrivals: Vec<Arrival>,
    /// Changes in their order.
    pub changes: Vec<Change>,
    /// Lives of backend servers whose drain or departure was acknowledged, with the time and their router.
    pub drains: Vec<(Arc<str>, u64, Process)>,
    /// What was done to processes.
    pub disturbances: Vec<Disturbance>,
    /// Routes in force at the end, as each registry process told them.
    pub read_back: Vec<(Process, Routes)>,
    /// Failures that the run itself saw: the promise and what happened.
    pub failures: Vec<(&'static str, String)>,
}

impl Ledger {
    /// Notes the end of a request.
    pub fn end(&mut self, request: &str, at: u64, end: End) {
        if let Some(sent) = self.sent.get_mut(request) {
            sent.end = Some((at, end));
        }
    }

    /// Whether a process was disturbed in this manner in a span.
    pub fn is_disturbed(&self, process: Process, manner: Manner, from: u64, until: u64) -> bool {
        let mut disturbances = self.disturbances.iter().filter(|d| d.process == process);
        disturbances.any(|d| d.manner == manner && d.from <= until && d.until >= from)
    }

    /// Whether no process was disturbed in a span other than by requests to stop.
    pub fn is_calm(&self, from: u64, until: u64) -> bool {
        let mut disturbances = self.disturbances.iter();
        !disturbances.any(|d| d.manner != Manner::Stop && d.from <= until && d.until >= from)
    }
}

/// The seal that a backend server puts on its answer.
pub fn seal(request: &str, status: u16, body: &[u8]) -> Arc<str> {
    let sum = crc32c::crc32c_append(crc32c::crc32c(request.as_bytes()), body);
    Arc::from(format!("{status}.{}.{sum:08x}", body.len()))
}
