//! Probes the local backend server while it has no traffic, within the probe budget of its service.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Uri;
use http::header;
use http_body_util::Full;
use log::debug;

use crate::state::State;
use shallotrill_backend::pool::OnSilence;
use shallotrill_limits::probe::Observations;
use shallotrill_limits::probe::Permit;
use shallotrill_limits::probe::ProbePolicy;
use shallotrill_wire::body;

/// Maximum size of the response body of a probe.
const BODY_BYTES_MAX: usize = 64 * 1024;

/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Failure rate from which a target counts as failing.
const FAILING_PERMILLE: u16 = 500;

/// When to probe: only without recent traffic, since traffic measures the target at no cost.
const POLICY: ProbePolicy = ProbePolicy {
    idle_after: Duration::from_secs(5),
    stale_after: Duration::from_secs(10),
    interval: Duration::from_secs(5),
};

/// Sends a probe if one is due and the budget covers its cost.
pub(crate) async fn probe_if_due(state: &Arc<State>) {
    let Some((permit, path)) = take_permit(state) else {
        return;
    };
    let answered = send(state, permit, &path).await;
    state.metrics.probed(answered);
    let now = state.now();
    let mut local = state.local.lock();
    if let Some(server) = &mut local.server
        && answered
    {
        server.last_answer = Some(now);
    }
}

fn take_permit(state: &State) -> Option<(Permit, Arc<str>)> {
    let now = state.now();
    let service = state.local.lock().server.as_ref()?.service.clone();
    let spec = state.service(&service)?;
    let mut local = state.local.lock();
    let draining = local.is_draining(now);
    let server = local.server.as_mut().filter(|_| !draining)?;
    let path = server.probe_path.clone()?;
    let report = server.report(now);
    let observations = Observations {
        last_response_at: server.last_answer,
        estimated_at: server.last_answer,
        failing: report.failure_permille >= FAILING_PERMILLE,
        last_probe_at: server.last_probe,
    };
    POLICY.reason(&observations, now)?;
    let cost = Duration::from_micros(u64::from(spec.probe_cost_us));
    let permit = server.probe_budget.take(cost, now).ok()?;
    server.last_probe = Some(now);
    Some((permit, path))
}

/// Sends one probe, which consumes the permit; returns whether it succeeded.
async fn send(state: &State, permit: Permit, path: &str) -> bool {
    let cost = permit.cost();
    let mut request = Request::new(Full::new(Bytes::new()));
    let Ok(uri) = path.parse::<Uri>() else {
        return false;
    };
    *request.uri_mut() = uri;
    let host = header::HeaderValue::from_static("probe");
    request.headers_mut().insert(header::HOST, host);
    let head = match state
        .backend
        .dispatch(request, PROBE_TIMEOUT, OnSilence::Wait)
        .await
    {
        Ok(head) => head,
        Err(failure) => {
            debug!(event = "probe-failed", cost_us = cost.as_micros() as u64; "the probe of the backend server failed: {failure}");
            return false;
        }
    };
    let success = head.status().is_success();
    let response = head.into_response(Box::new(|_| {}));
    let read = body::discard(response.into_body(), BODY_BYTES_MAX, PROBE_TIMEOUT).await;
    if let Err(error) = &read {
        debug!(event = "probe-failed", cost_us = cost.as_micros() as u64; "the body of the probe response was not read: {error}");
    }
    success && read.is_ok()
}
