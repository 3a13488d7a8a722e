//! Detection and quarantine of requests that crash backend servers.
//!
//! When the local backend server crashes, the requests that were in flight
//! there are suspects. Each router includes the crashes that it observed in its
//! announcement, so all routers count the same crashes.

use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use log::warn;
use tokio::net::TcpStream;
use tokio::time;

use crate::serve::BufferedRequest;
use crate::state::State;
use shallotrill_model::digest::Digest;
use shallotrill_model::incarnation::Incarnation;
use shallotrill_model::instance;
use shallotrill_model::service;
use shallotrill_model::time::Instant;
use shallotrill_retry::containment::Admission;
use shallotrill_retry::containment::Config;
use shallotrill_retry::containment::CrashRecord;
use shallotrill_retry::containment::SuspectOutcome;
use shallotrill_retry::containment::Table;

/// Delay before the backend server is checked after it dropped a connection, so that a crashing
/// process has exited.
const CHECK_DELAY: Duration = Duration::from_millis(30);

/// Longest wait for the connection of the check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after the head of its response for which a request is suspected of a crash. A reader may take a response for
/// minutes, so one that many ask for would be in flight at every crash.
const SUSPECT_PERIOD: Duration = Duration::from_secs(2);

/// Maximum number of own crash records in the announcement of a router.
const LOCAL_RECORDS_MAX: usize = 32;

/// A request from its dispatch to the end of its response.
#[derive(Clone, Copy, Debug)]
struct InFlight {
    number: u64,
    digest: Digest,
    head_at: Option<Instant>,
}

/// Crash records of all routers, and the requests in flight here.
#[derive(Debug)]
pub struct Crashes {
    table: Table,
    /// Requests in flight at the local backend server.
    in_flight: Vec<InFlight>,
    /// Number of requests that were sent to it.
    sent: u64,
    local_records: Vec<(CrashRecord, Instant)>,
}

impl Default for Crashes {
    fn default() -> Self {
        Self {
            table: Table::new(Config::default()),
            in_flight: Vec::new(),
            sent: 0,
            local_records: Vec::new(),
        }
    }
}

impl Crashes {
    /// Crash records that this router observed, with their current age.
    pub fn records(&self, now: Instant) -> Vec<CrashRecord> {
        let records = self
            .local_records
            .iter()
            .map(|(record, observed_at)| CrashRecord {
                age_ms: now.since(*observed_at).as_millis() as u64,
                ..record.clone()
            });
        records.collect()
    }

    /// Merges a crash record of another router.
    pub fn merge(&mut self, record: &CrashRecord, now: Instant) {
        self.table.merge(record.clone(), now);
    }

    /// Requests that may have caused a crash at present.
    fn suspects(&self, now: Instant) -> Vec<Digest> {
        let in_flight = self.in_flight.iter();
        let suspects = in_flight.filter(|request| {
            let head_at = request.head_at;
            head_at.is_none_or(|head_at| now.since(head_at) < SUSPECT_PERIOD)
        });
        suspects.map(|request| request.digest).collect()
    }

    fn observe(
        &mut self,
        instance: &instance::Name,
        incarnation: Incarnation,
        in_flight: &[Digest],
        now: Instant,
    ) {
        let before = self.table.difference(0, now).version;
        self.table
            .observe_crash(instance, incarnation, in_flight, now);
        let observed = self.table.difference(before, now).records;
        self.local_records
            .extend(observed.into_iter().map(|record| (record, now)));
        let excess = self.local_records.len().saturating_sub(LOCAL_RECORDS_MAX);
        self.local_records.drain(..excess);
    }
}

/// Digest of the service, method, path and body of a request.
pub fn digest(service: &service::Name, message: &BufferedRequest) -> Digest {
    let mut hasher = blake3::Hasher::new();
    let method = message.method.as_str().as_bytes();
    for part in [
        service.as_str().as_bytes(),
        method,
        message.path.as_str().as_bytes(),
    ] {
        hasher.update(&part.len().to_le_bytes());
        hasher.update(part);
    }
    hasher.update(&message.body);
    Digest(*hasher.finalize().as_bytes())
}

/// Whether a request is quarantined because it crashes backend servers, and must not run.
pub fn is_quarantined(state: &State, digest: Digest) -> bool {
    let now = state.now();
    let mut crashes = state.crashes.lock();
    match crashes.table.admit(digest, now) {
        Admission::Quarantined(_) => true,
        Admission::Isolate => {
            // Routers do not implement isolation: the suspect runs like any other request, and its
            // outcome is recorded as unknown.
            crashes
                .table
                .record_outcome(digest, SuspectOutcome::SurvivalUnconfirmed);
            false
        }
        Admission::Run | Admission::Wait => false,
    }
}

/// Guard of a request in flight at the backend server; dropping it removes the request from the list.
#[derive(Debug)]
pub struct InFlightGuard {
    state: Arc<State>,
    number: u64,
}

impl InFlightGuard {
    /// Records that a request is being sent.
    pub fn start(state: &Arc<State>, digest: Digest) -> Self {
        let mut crashes = state.crashes.lock();
        let number = crashes.sent;
        crashes.sent += 1;
        crashes.in_flight.push(InFlight {
            number,
            digest,
            head_at: None,
        });
        Self {
            state: Arc::clone(state),
            number,
        }
    }

    /// Records that the head of the response has arrived.
    pub fn record_head(&self) {
        let now = self.state.now();
        let mut crashes = self.state.crashes.lock();
        let mut in_flight = crashes.in_flight.iter_mut();
        if let Some(request) = in_flight.find(|r| r.number == self.number) {
            request.head_at = Some(now);
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut crashes = self.state.crashes.lock();
        let mut in_flight = crashes.in_flight.iter();
        if let Some(index) = in_flight.position(|r| r.number == self.number) {
            crashes.in_flight.swap_remove(index);
        }
    }
}

/// Checks whether the backend server has crashed after it dropped a connection with a request in flight, before the
/// response or during it. To be called while the request is in the list.
pub fn check_for_crash(state: &Arc<State>, instance: &instance::Name, incarnation: Incarnation) {
    if state.crash_check_running.swap(true, Ordering::Relaxed) {
        return;
    }
    let in_flight = state.crashes.lock().suspects(state.now());
    let (state, instance) = (Arc::clone(state), instance.clone());
    tokio::spawn(async move {
        time::sleep(CHECK_DELAY).await;
        let connection =
            time::timeout(CHECK_TIMEOUT, TcpStream::connect(state.settings.backend)).await;
        state.crash_check_running.store(false, Ordering::Relaxed);
        let refused = |error: &io::Error| error.kind() == io::ErrorKind::ConnectionRefused;
        if !connection.is_ok_and(|connected| connected.is_err_and(|error| refused(&error))) {
            return;
        }
        let now = state.now();
        let mut crashes = state.crashes.lock();
        crashes.observe(&instance, incarnation, &in_flight, now);
        drop(crashes);
        warn!(event = "backend-crashed", instance = instance.as_str(), in_flight = in_flight.len(); "the local backend server has crashed; requests in flight are suspects");
        state.publish();
    });
}
