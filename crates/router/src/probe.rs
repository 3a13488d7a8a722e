//! Probes of the backend server beside this router.
//!
//! A backend server states on its answers how slow its machine is. When a
//! machine turns slow its answers stay away, so the statement comes latest when
//! it matters most. The health path answers at once and carries it too.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Request;
use http::header;
use http_body_util::Full;
use tokio::sync::watch;
use tokio::time;

use crate::serve;
use crate::state::State;
use shallotrill_backend::pool::OnSilence;
use shallotrill_wire::body;
use shallotrill_wire::listen;

/// Interval of the probes: a third of the time for which noise on shared machines lasts.
const INTERVAL: Duration = Duration::from_millis(100);

/// No probe is sent while an answer has told the pace within this time.
const FRESH: Duration = Duration::from_millis(60);

/// Longest wait for the answer of a probe.
const LIMIT: Duration = Duration::from_millis(250);

/// Longest body of the answer of a probe.
const BODY_BYTES_MAX: usize = 64 * 1024;

/// Probes the backend server until `stop` becomes true.
pub async fn run(state: Arc<State>, mut stop: watch::Receiver<bool>) {
    loop {
        tokio::select! {
            () = time::sleep(INTERVAL) => {}
            () = listen::stopped(&mut stop) => return,
        }
        if let Some(request) = due(&state) {
            send(&state, request).await;
        }
    }
}

/// The probe that is to be sent now, if the pace is not known and anybody needs it.
fn due(state: &State) -> Option<Request<Full<Bytes>>> {
    let items = state.items();
    let path = &items.service(&state.settings.service)?.health_path;
    let uri = path.parse().ok()?;
    let now = state.now();
    {
        let backend = state.backend.lock();
        let life = backend.life.as_ref()?;
        if life.announcement.draining || life.pace_age(now) < FRESH {
            return None;
        }
    }
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = uri;
    let host = HeaderValue::try_from(state.settings.backend.to_string()).ok()?;
    request.headers_mut().insert(header::HOST, host);
    Some(request)
}

async fn send(state: &Arc<State>, request: Request<Full<Bytes>>) {
    state.metrics.probes.inc();
    let sent = state.probes.dispatch(request, LIMIT, OnSilence::Wait).await;
    match sent {
        Ok(head) => {
            let response = head.into_response(Box::new(|_| {}));
            serve::note_slowness(state, &response);
            let read = body::collect(response.into_body(), BODY_BYTES_MAX, LIMIT).await;
            if let Err(error) = read {
                log::debug!(event = "probe-failed"; "{error}");
            }
        }
        Err(failure) => log::debug!(event = "probe-failed"; "{failure}"),
    }
}
