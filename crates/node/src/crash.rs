//! Evidence about requests that crash the backend server.

use std::sync::Arc;
use std::time::Duration;

use log::warn;
use tokio::net::TcpStream;
use tokio::time;

use crate::local::Lost;
use crate::local::Server;
use crate::state::State;
use shallotrill_control_client::lease::Crash;
use shallotrill_model::digest::Digest;
use shallotrill_model::incarnation::Incarnation;
use shallotrill_model::service;
use shallotrill_retry::containment::CrashRecord;

/// A backend server that refuses or ignores a connection for this long has ended.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Connections lost within this time of the first one were lost by the same event.
const LOST_BURST: Duration = Duration::from_secs(1);

/// Connections lost longer ago than this are no evidence of a crash that is noticed now.
const LOST_MAX: Duration = Duration::from_secs(10);

/// Notes the requests in flight when a life of the backend server ended.
///
/// By the time a restart is announced the lost connections have been noticed,
/// so what was in flight when the first of them was lost counts.
pub(crate) fn ended(state: &State, server: &Server) {
    let now = state.now();
    let recent = |lost: &&Lost| now.since(lost.at) < LOST_MAX;
    let lost = server.lost.as_ref().filter(recent);
    let digests = match lost {
        Some(lost) => lost.contents.clone(),
        None => server
            .running
            .iter()
            .map(|running| running.content)
            .collect(),
    };
    if !server.crashed && !digests.is_empty() {
        note(state, &server.service, server.life.incarnation, &digests);
    }
}

/// Remembers what was in flight when the first connection was lost.
pub(crate) fn connection_lost(state: &State) -> Vec<Digest> {
    let now = state.now();
    let mut local = state.local.lock();
    let Some(server) = &mut local.server else {
        return Vec::new();
    };
    let contents: Vec<Digest> = server
        .running
        .iter()
        .map(|running| running.content)
        .collect();
    let earlier = server
        .lost
        .as_ref()
        .is_some_and(|lost| now.since(lost.at) < LOST_BURST);
    if !earlier {
        let contents = contents.clone();
        server.lost = Some(Lost { at: now, contents });
    }
    contents
}

/// Looks whether the backend server ended, after a connection was lost with `content` outstanding.
///
/// A lost connection alone is no proof: the backend server may have closed it
/// for another reason. When it no longer takes connections, its life has ended,
/// and everything that was in flight at that moment is evidence.
pub(crate) async fn suspect(state: &Arc<State>, incarnation: Incarnation, in_flight: Vec<Digest>) {
    let address = {
        let local = state.local.lock();
        match &local.server {
            Some(server) if server.life.incarnation == incarnation && !server.crashed => {
                server.address
            }
            _ => return,
        }
    };
    let connecting = TcpStream::connect(address);
    if let Ok(Ok(_)) = time::timeout(CONNECT_TIMEOUT, connecting).await {
        return;
    }
    let service = {
        let mut local = state.local.lock();
        match &mut local.server {
            Some(server) if server.life.incarnation == incarnation && !server.crashed => {
                server.crashed = true;
                server.service.clone()
            }
            _ => return,
        }
    };
    note(state, &service, incarnation, &in_flight);
}

fn note(state: &State, service: &service::Name, incarnation: Incarnation, digests: &[Digest]) {
    let Some(spec) = state.service(service) else {
        return;
    };
    let now = state.now();
    let instance = &state.identity.instance;
    let in_flight = digests.len();
    warn!(event = "backend-server-crashed", service = service.as_str(), in_flight = in_flight; "the backend server ended with requests in flight");
    let facts = state.budget(&spec, |budget| {
        let before = budget.containment.difference(u64::MAX, now).version;
        budget
            .containment
            .observe_crash(instance, incarnation, digests, now);
        budget.containment.difference(before, now).records
    });
    report(state, service, facts);
}

/// Puts facts where the next heartbeat takes them to control.
fn report(state: &State, service: &service::Name, facts: Vec<CrashRecord>) {
    let crashes = facts.into_iter().map(|fact| Crash {
        service: service.clone(),
        fact,
    });
    state.sync.lock().crashes.extend(crashes);
    state.changed.notify_one();
}
