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

/// Maximum number of own crash records in the announcement of a router.
const LOCAL_RECORDS_MAX: usize = 32;

/// Crash records of all routers, and the requests in flight here.
#[derive(Debug)]
pub struct Crashes {
    table: Table,
    /// Requests in flight at the local backend server.
    in_flight: Vec<Digest>,
    local_records: Vec<(CrashRecord, Instant)>,
}

impl Default for Crashes {
    fn default() -> Self {
        Self {
            table: Table::new(Config::default()),
            in_flight: Vec::new(),
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
pub struct InFlightGuard<'state> {
    state: &'state State,
    digest: Digest,
}

impl<'state> InFlightGuard<'state> {
    /// Records that a request is being sent.
    pub fn start(state: &'state State, digest: Digest) -> Self {
        state.crashes.lock().in_flight.push(digest);
        Self { state, digest }
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        let mut crashes = self.state.crashes.lock();
        if let Some(index) = crashes.in_flight.iter().position(|d| *d == self.digest) {
            crashes.in_flight.swap_remove(index);
        }
    }
}

/// Checks whether the backend server has crashed after it dropped a connection with a request in flight.
pub fn check_for_crash(state: &Arc<State>, instance: &instance::Name, incarnation: Incarnation) {
    if state.crash_check_running.swap(true, Ordering::Relaxed) {
        return;
    }
    let in_flight = state.crashes.lock().in_flight.clone();
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
