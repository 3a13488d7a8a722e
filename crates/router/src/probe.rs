//! Probes the health path of the local backend server for the slowness of its machine.
//!
//! A backend server reports in its responses how slow its machine is. When the
//! machine becomes slow, responses are delayed and the report with them, just
//! when it is needed. The health path responds immediately with the same report.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Request;
use http::header;
use http_body_util::Full;
use tokio::sync::watch;
use tokio::time;

use crate::notice;
use crate::state::State;
use shallotrill_backend::pool::OnSilence;
use shallotrill_model::incarnation::Incarnation;
use shallotrill_model::instance;
use shallotrill_wire::body;
use shallotrill_wire::listen;

/// Interval of the probes: a third of the duration of interference on shared machines.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);

/// No probe is sent while the last slowness report is younger than this.
const REPORT_AGE_MIN: Duration = Duration::from_millis(60);

/// Longest wait for the response head of a probe, and again for its body.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// Maximum size of the response body of a probe.
const BODY_BYTES_MAX: usize = 64 * 1024;

/// A probe and the incarnation that it is for.
struct Probe {
    instance: instance::Name,
    incarnation: Incarnation,
    request: Request<Full<Bytes>>,
}

/// Probes the backend server until `stop` becomes true.
pub async fn run(state: Arc<State>, mut stop: watch::Receiver<bool>) {
    loop {
        tokio::select! {
            () = time::sleep(PROBE_INTERVAL) => {}
            () = listen::stopped(&mut stop) => return,
        }
        if let Some(probe) = due_probe(&state) {
            send(&state, probe).await;
        }
    }
}

/// The probe to send now; `None` when it is not needed: no backend server accepts requests, or its
/// last slowness report is recent.
fn due_probe(state: &State) -> Option<Probe> {
    let items = state.items();
    let path = &items.service(&state.settings.service)?.health_path;
    let uri = path.parse().ok()?;
    let now = state.now();
    let (instance, incarnation) = {
        let backend = state.backend.lock();
        let server = backend.current.as_ref()?;
        if server.is_draining() || server.slowness_age(now) < REPORT_AGE_MIN {
            return None;
        }
        (server.announcement.instance.clone(), server.incarnation)
    };
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = uri;
    let host = HeaderValue::try_from(state.settings.backend.to_string()).ok()?;
    request.headers_mut().insert(header::HOST, host);
    Some(Probe {
        instance,
        incarnation,
        request,
    })
}

async fn send(state: &Arc<State>, probe: Probe) {
    state.metrics.probes.inc();
    let result = state
        .probes
        .dispatch(probe.request, PROBE_TIMEOUT, OnSilence::Wait)
        .await;
    match result {
        Ok(head) => {
            notice::record(state, &probe.instance, probe.incarnation, head.headers());
            let response = head.into_response(Box::new(|_| {}));
            let body = body::collect(response.into_body(), BODY_BYTES_MAX, PROBE_TIMEOUT).await;
            if let Err(error) = body {
                log::debug!(event = "probe-failed"; "cannot read the body of the probe response: {error}");
            }
        }
        Err(failure) => log::debug!(event = "probe-failed"; "cannot send the probe: {failure}"),
    }
}
