//! Requests that crash the backend servers that run them.
//!
//! When the backend server beside a router dies, the requests that were in
//! flight there are suspects. Each router states its own observations in its
//! announcement, so all routers count the same crashes.

use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use log::warn;
use tokio::net::TcpStream;
use tokio::time;

use crate::serve::Message;
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

/// Pause before a backend server that dropped its connections is called, so that a crash is over.
const CHECK_DELAY: Duration = Duration::from_millis(30);

/// Longest wait for the call.
const CHECK_LIMIT: Duration = Duration::from_millis(500);

/// Observations of one router that its announcement carries.
const OWN_MAX: usize = 32;

/// What is known of requests that crash backend servers.
#[derive(Debug)]
pub struct Crashes {
    table: Table,
    /// Requests at the backend server beside this router.
    running: Vec<Digest>,
    own: Vec<(CrashRecord, Instant)>,
}

impl Default for Crashes {
    fn default() -> Self {
        Self {
            table: Table::new(Config::default()),
            running: Vec::new(),
            own: Vec::new(),
        }
    }
}

impl Crashes {
    /// The own observations, with their present age.
    pub fn facts(&self, now: Instant) -> Vec<CrashRecord> {
        let facts = self.own.iter().map(|(fact, at)| CrashRecord {
            age_ms: now.since(*at).as_millis() as u64,
            ..fact.clone()
        });
        facts.collect()
    }

    /// Takes an observation of another router.
    pub fn merge(&mut self, fact: &CrashRecord, now: Instant) {
        self.table.merge(fact.clone(), now);
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
        let seen = self.table.difference(before, now).records;
        self.own.extend(seen.into_iter().map(|fact| (fact, now)));
        let excess = self.own.len().saturating_sub(OWN_MAX);
        self.own.drain(..excess);
    }
}

/// The digest of a request.
pub fn digest(service: &service::Name, message: &Message) -> Digest {
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

/// Whether a request crashes backend servers and must not run.
pub fn is_quarantined(state: &State, digest: Digest) -> bool {
    let now = state.now();
    let mut crashes = state.crashes.lock();
    match crashes.table.admit(digest, now) {
        Admission::Quarantined(_) => true,
        Admission::Isolate => {
            // Isolation is not offered here: the digest is only counted.
            crashes
                .table
                .record_outcome(digest, SuspectOutcome::Unknown);
            false
        }
        Admission::Run | Admission::Wait => false,
    }
}

/// A request at the backend server; dropping it ends that.
#[derive(Debug)]
pub struct Running<'state> {
    state: &'state State,
    digest: Digest,
}

impl<'state> Running<'state> {
    /// Notes that a request is sent.
    pub fn start(state: &'state State, digest: Digest) -> Self {
        state.crashes.lock().running.push(digest);
        Self { state, digest }
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        let mut crashes = self.state.crashes.lock();
        if let Some(at) = crashes.running.iter().position(|d| *d == self.digest) {
            crashes.running.swap_remove(at);
        }
    }
}

/// Finds out whether the backend server died when it dropped a connection under a request.
pub fn suspect(state: &Arc<State>, instance: &instance::Name, incarnation: Incarnation) {
    if state.checking.swap(true, Ordering::Relaxed) {
        return;
    }
    let in_flight = state.crashes.lock().running.clone();
    let (state, instance) = (Arc::clone(state), instance.clone());
    tokio::spawn(async move {
        time::sleep(CHECK_DELAY).await;
        let called = time::timeout(CHECK_LIMIT, TcpStream::connect(state.settings.backend)).await;
        state.checking.store(false, Ordering::Relaxed);
        let refused = |error: &io::Error| error.kind() == io::ErrorKind::ConnectionRefused;
        if !called.is_ok_and(|connected| connected.is_err_and(|error| refused(&error))) {
            return;
        }
        let now = state.now();
        let mut crashes = state.crashes.lock();
        crashes.observe(&instance, incarnation, &in_flight, now);
        drop(crashes);
        warn!(event = "backend-crashed", instance = instance.as_str(), in_flight = in_flight.len(); "");
        state.publish();
    });
}
