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

use crate::cold;
use crate::notice;
use crate::state::State;
use shallotrill_backend::pool::OnSilence;
use shallotrill_model::incarnation::Incarnation;
use shallotrill_model::instance;
use shallotrill_model::rate::Rate;
use shallotrill_model::time::Instant;
use shallotrill_wire::body;
use shallotrill_wire::listen;

/// Interval of the probes: a third of the duration of interference on shared machines.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);

/// No probe is sent while the last slowness report is younger than this.
const REPORT_AGE_MIN: Duration = Duration::from_millis(60);

/// Requests for each probe of a backend server that accepts a limited rate of them: probes are load too.
const REQUESTS_PER_PROBE: u32 = 10;

/// Longest interval between probes, so that a withdrawn limit is noticed without any request.
const LIMITED_INTERVAL_MAX: Duration = Duration::from_secs(5);

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
    let mut last_sent = None;
    loop {
        tokio::select! {
            () = time::sleep(PROBE_INTERVAL) => {}
            () = listen::stopped(&mut stop) => return,
        }
        cold::refresh(&state);
        let now = state.now();
        if let Some(probe) = due_probe(&state, last_sent, now) {
            last_sent = Some(now);
            send(&state, probe).await;
        }
    }
}

/// Least time between two probes of a backend server that states this limit, or none.
pub fn interval(limit: Option<Rate>) -> Duration {
    let Some(rate) = limit else {
        return PROBE_INTERVAL;
    };
    let interval = rate.interval().unwrap_or(LIMITED_INTERVAL_MAX);
    let interval = interval.saturating_mul(REQUESTS_PER_PROBE);
    interval.clamp(PROBE_INTERVAL, LIMITED_INTERVAL_MAX)
}

/// The probe to send now; `None` when it is not needed: no backend server accepts requests, its last
/// slowness report is recent and it was asked recently whether it is cold, or it states a limit and was probed recently.
fn due_probe(state: &State, last_sent: Option<Instant>, now: Instant) -> Option<Probe> {
    let items = state.items();
    let path = &items.service(&state.settings.service)?.health_path;
    let uri = path.parse().ok()?;
    let (instance, incarnation) = {
        let backend = state.backend.lock();
        let server = backend.current.as_ref()?;
        let is_reported = server.slowness_age(now) < REPORT_AGE_MIN;
        if server.is_draining()
            || (is_reported && !server.cold.is_check_due(server.cold_rule, last_sent, now))
        {
            return None;
        }
        let limit = server.stated_limit();
        if limit.is_some() && last_sent.is_some_and(|sent| now.since(sent) < interval(limit)) {
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
            let body = body::discard(response.into_body(), BODY_BYTES_MAX, PROBE_TIMEOUT).await;
            if let Err(error) = body {
                log::debug!(event = "probe-failed"; "cannot read the body of the probe response: {error}");
            }
        }
        Err(failure) => log::debug!(event = "probe-failed"; "cannot send the probe: {failure}"),
    }
}
