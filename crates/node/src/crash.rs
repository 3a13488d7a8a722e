//! Detects crashes of the local backend server and records the requests in flight as evidence.

use std::sync::Arc;
use std::time::Duration;

use log::warn;
use tokio::net::TcpStream;
use tokio::time;

use crate::local::ConnectionLoss;
use crate::local::Server;
use crate::state::State;
use shallotrill_control_client::lease::Crash;
use shallotrill_model::digest::Digest;
use shallotrill_model::incarnation::Incarnation;
use shallotrill_model::service;
use shallotrill_retry::containment::CrashRecord;

/// Timeout of the connection attempt that tests whether the backend server still runs.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Connections lost within this time of the first one count as lost by the same crash.
const CONNECTION_LOSS_BURST_PERIOD: Duration = Duration::from_secs(1);

/// Maximum age of a connection loss that is evidence of a crash detected now.
const CONNECTION_LOSS_AGE_MAX: Duration = Duration::from_secs(10);

/// Records a crash if requests were in flight when an incarnation of the backend server ended.
///
/// The node detects lost connections before the restarted server announces
/// itself, so the requests in flight at the first connection loss are recorded.
pub(crate) fn record_restart(state: &State, server: &Server) {
    let now = state.now();
    let recent = |loss: &&ConnectionLoss| now.since(loss.at) < CONNECTION_LOSS_AGE_MAX;
    let loss = server.connection_loss.as_ref().filter(recent);
    let digests = match loss {
        Some(loss) => loss.contents.clone(),
        None => server
            .running
            .iter()
            .map(|running| running.content)
            .collect(),
    };
    if !server.crashed && !digests.is_empty() {
        record_crash(
            state,
            &server.service,
            server.incarnation.incarnation,
            &digests,
        );
    }
}

/// Returns the requests in flight. Also stores them, unless another connection was lost within
/// [`CONNECTION_LOSS_BURST_PERIOD`].
pub(crate) fn record_connection_loss(state: &State) -> Vec<Digest> {
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
        .connection_loss
        .as_ref()
        .is_some_and(|loss| now.since(loss.at) < CONNECTION_LOSS_BURST_PERIOD);
    if !earlier {
        let contents = contents.clone();
        server.connection_loss = Some(ConnectionLoss { at: now, contents });
    }
    contents
}

/// Tests whether the backend server crashed, after a connection was lost with the requests `in_flight`.
///
/// A lost connection alone proves nothing: the backend server may have closed
/// it for another reason. A server that no longer accepts connections has
/// crashed, and all requests in flight at the loss are recorded.
pub(crate) async fn check_for_crash(
    state: &Arc<State>,
    incarnation: Incarnation,
    in_flight: Vec<Digest>,
) {
    let address = {
        let local = state.local.lock();
        match &local.server {
            Some(server) if server.incarnation.incarnation == incarnation && !server.crashed => {
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
            Some(server) if server.incarnation.incarnation == incarnation && !server.crashed => {
                server.crashed = true;
                server.service.clone()
            }
            _ => return,
        }
    };
    record_crash(state, &service, incarnation, &in_flight);
}

fn record_crash(
    state: &State,
    service: &service::Name,
    incarnation: Incarnation,
    digests: &[Digest],
) {
    let Some(spec) = state.service(service) else {
        return;
    };
    let now = state.now();
    let instance = &state.identity.instance;
    let in_flight = digests.len();
    warn!(event = "backend-server-crashed", service = service.as_str(), in_flight = in_flight; "the backend server crashed with requests in flight");
    let records = state.with_service_state(&spec, |service| {
        let before = service.containment.difference(u64::MAX, now).version;
        service
            .containment
            .observe_crash(instance, incarnation, digests, now);
        service.containment.difference(before, now).records
    });
    queue_report(state, service, records);
}

/// Queues crash records for the next heartbeat to control.
fn queue_report(state: &State, service: &service::Name, records: Vec<CrashRecord>) {
    let crashes = records.into_iter().map(|record| Crash {
        service: service.clone(),
        record,
    });
    state.sync.lock().crashes.extend(crashes);
    state.report_due.notify_one();
}
