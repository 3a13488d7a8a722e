//! Runs forwarded requests at the local backend server.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::Full;
use hyper::body::Incoming;
use log::warn;

use crate::crashes;
use crate::crashes::InFlightGuard;
use crate::download;
use crate::download::Held;
use crate::forwarded;
use crate::forwarded::Denial;
use crate::forwarded::Forwarded;
use crate::notice;
use crate::slot;
use crate::slot::Slot;
use crate::state::State;
use shallotrill_backend::failure::Failure;
use shallotrill_backend::head::Head;
use shallotrill_backend::pool::OnSilence;
use shallotrill_backend::response::End;
use shallotrill_limits::memory::Kind;
use shallotrill_limits::ticket::Outcome;
use shallotrill_model::class::Class;
use shallotrill_wire::body;
use shallotrill_wire::body::Body;
use shallotrill_wire::hop;
use shallotrill_wire::load;

/// Maximum size of a request body from another router; the configured limit applies where the
/// caller's request is received.
const BODY_BYTES_MAX: usize = 64 * 1024 * 1024;

/// Maximum size of the body of a refusal that is read to its end. The connection of a longer one is closed, which
/// costs less than reading it.
const REFUSAL_BYTES_MAX: usize = 64 * 1024;

/// Longest time for the body of a refusal to arrive. Its slot is in use until then.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);

/// Statuses from which a caller concludes that its request has not run. A backend server that
/// returns one without the not-run header may have run the request.
const NOT_RUN_STATUSES: [StatusCode; 4] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

/// A request, independent of the connection on which it was received.
#[derive(Clone, Debug)]
pub struct BufferedRequest {
    /// Method of the request.
    pub method: Method,
    /// Path and query.
    pub path: http::uri::PathAndQuery,
    /// End-to-end headers without `Host`.
    pub headers: http::HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

/// Handles a request of another router.
pub async fn handle(state: Arc<State>, request: Request<Incoming>) -> Response<Body> {
    let result = match read(&state, request).await {
        Ok((message, forwarded)) => run(&state, message, &forwarded).await,
        Err(denial) => Err(denial),
    };
    match result {
        Ok(response) => response,
        Err(denial) => denied(&state, denial),
    }
}

async fn read(
    state: &State,
    request: Request<Incoming>,
) -> Result<(BufferedRequest, Forwarded), Denial> {
    let (mut parts, incoming) = request.into_parts();
    let value = parts
        .headers
        .remove(forwarded::FORWARDED)
        .ok_or(Denial::Gone)?;
    let forwarded = Forwarded::decode(&value).ok_or(Denial::Gone)?;
    let path = parts.uri.path_and_query().ok_or(Denial::Gone)?.clone();
    let holder = (&state.memory, Kind::Forwarded);
    let timeout = forwarded.remaining;
    let body = match body::collect_within(incoming, BODY_BYTES_MAX, timeout, holder).await {
        Ok(body) => body,
        Err(body::Error::Refused(_)) => return Err(Denial::Busy),
        Err(error) => {
            log::debug!(event = "forwarded-body-lost"; "cannot read the body of a forwarded request: {error}");
            return Err(Denial::Gone);
        }
    };
    parts.headers.remove(header::HOST);
    let message = BufferedRequest {
        method: parts.method,
        path,
        headers: parts.headers,
        body,
    };
    Ok((message, forwarded))
}

fn denied(state: &State, denial: Denial) -> Response<Body> {
    let mut response = Response::new(body::empty());
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    let reason = HeaderValue::from_static(denial.as_str());
    response.headers_mut().insert(forwarded::DENIAL, reason);
    add_load(state, &mut response);
    response
}

fn add_load(state: &State, response: &mut Response<Body>) {
    let now = state.now();
    let mut backend = state.backend.lock();
    if let Some(server) = &mut backend.current {
        let mut report = server.gate.report(now);
        let pace = server.gate.pace(now);
        if let Some(outlook) = server.gate.outlook(now) {
            response
                .headers_mut()
                .insert(load::OUTLOOK, load::encode_outlook(&outlook));
        }
        let scaled = u64::from(report.latency_us) * u64::from(server.slowness(now)) / 100;
        report.latency_us = u32::try_from(scaled).unwrap_or(u32::MAX);
        response
            .headers_mut()
            .insert(load::LOAD, load::encode(&report));
        if let Some(pace) = pace {
            response
                .headers_mut()
                .insert(load::PACE, load::encode_pace(&pace));
        }
    }
}

/// Waits for a slot and runs the request.
///
/// # Errors
///
/// Returns a [`Denial`], from which it follows whether the request may have run.
pub async fn run(
    state: &Arc<State>,
    message: BufferedRequest,
    forwarded: &Forwarded,
) -> Result<Response<Body>, Denial> {
    let received_at = state.now();
    let slot = slot::admit(state, forwarded).await?;
    let waited = state.now().since(received_at);
    state.metrics.record_slot_wait(waited);
    let remaining = forwarded.remaining.saturating_sub(waited);
    state.record_backend_request(&forwarded.instance, forwarded.incarnation);
    let in_flight = InFlightGuard::start(state, crashes::digest(&forwarded.service, &message));
    let request = request(state, message, forwarded, remaining);
    let on_silence = match forwarded.class {
        Class::Idempotent => OnSilence::GiveUp,
        Class::NonIdempotent => OnSilence::Wait,
    };
    let id = request
        .headers()
        .get(&state.settings.names.request)
        .cloned();
    let may_send = || {
        let mut backend = state.backend.lock();
        let server = backend.matching(&forwarded.instance, forwarded.incarnation);
        server.is_some_and(|server| !server.is_withheld())
    };
    let sent = state
        .pool
        .dispatch_if(request, remaining, on_silence, &may_send);
    match sent.await {
        Ok(head) => {
            if head.status() != StatusCode::MISDIRECTED_REQUEST {
                let instance = &forwarded.instance;
                notice::record(state, instance, forwarded.incarnation, head.headers());
            }
            in_flight.record_head();
            finish(state, head, slot, in_flight, forwarded)
        }
        Err(failure) => {
            let denial = denial(&failure);
            if denial == Denial::Lost {
                crashes::check_for_crash(state, &forwarded.instance, forwarded.incarnation);
            }
            drop(in_flight);
            log_failure(id.as_ref(), forwarded, denial, &failure);
            let mut slot = slot;
            slot.set_outcome(outcome(denial));
            Err(denial)
        }
    }
}

fn log_failure(id: Option<&HeaderValue>, forwarded: &Forwarded, denial: Denial, failure: &Failure) {
    let id = id.and_then(|id| id.to_str().ok()).unwrap_or_default();
    warn!(
        event = "backend-failed",
        request = id,
        instance = forwarded.instance.as_str(),
        left_ms = forwarded.remaining.as_millis() as u64,
        denial = denial.as_str();
        "no valid response of the local backend server: {failure}"
    );
}

const fn outcome(denial: Denial) -> Outcome {
    match denial {
        Denial::Shed => Outcome::Shed,
        Denial::Timeout => Outcome::Timeout,
        _ => Outcome::Failure,
    }
}

const fn denial(failure: &Failure) -> Denial {
    match failure {
        Failure::PermissionExpired => Denial::Gone,
        Failure::Absent | Failure::Exhausted { .. } | Failure::Connect(_) | Failure::NotSent => {
            Denial::Unreachable
        }
        Failure::Lost(_) | Failure::Silent(_) => Denial::Lost,
        Failure::Unframed
        | Failure::MismatchedResponse
        | Failure::ProtocolSwitched
        | Failure::InvalidStatus(_) => Denial::Spoiled,
        Failure::Timeout(_) => Denial::Timeout,
    }
}

/// Builds the request that is sent to the backend server.
fn request(
    state: &State,
    message: BufferedRequest,
    forwarded: &Forwarded,
    remaining: Duration,
) -> Request<Full<Bytes>> {
    let names = &state.settings.names;
    let mut request = Request::new(Full::new(message.body));
    *request.method_mut() = message.method;
    *request.uri_mut() = message.path.into();
    let mut headers = message.headers;
    hop::strip_hop_by_hop(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    // Names and numbers are valid header values, and the host was received as one.
    if let Ok(host) = HeaderValue::from_str(&forwarded.host) {
        headers.insert(header::HOST, host);
    }
    if let Ok(expected) = HeaderValue::from_str(forwarded.instance.as_str()) {
        headers.insert(names.expected.clone(), expected);
    }
    if let Ok(caller) = HeaderValue::from_str(forwarded.caller.as_str()) {
        headers.insert(names.caller.clone(), caller);
    }
    if let Some(workspace) = &forwarded.workspace
        && let Ok(name) = HeaderValue::from_str(workspace.name.as_str())
    {
        headers.insert(names.workspace.clone(), name);
    }
    let left_ms = remaining.as_millis().max(1) as u64;
    headers.insert(names.deadline_ms.clone(), HeaderValue::from(left_ms));
    *request.headers_mut() = headers;
    request
}

fn finish(
    state: &Arc<State>,
    head: Head,
    mut slot: Slot,
    in_flight: InFlightGuard,
    forwarded: &Forwarded,
) -> Result<Response<Body>, Denial> {
    let names = &state.settings.names;
    if head.states_not_run() || head.status() == StatusCode::MISDIRECTED_REQUEST {
        slot.set_outcome(Outcome::Shed);
        let misdirected = head.status() == StatusCode::MISDIRECTED_REQUEST;
        // The response is read to its end in the background, so that its connection can be reused.
        let rest = head.into_response(Box::new(move |_| drop((slot, in_flight))));
        tokio::spawn(async move {
            let read = body::discard(rest.into_body(), REFUSAL_BYTES_MAX, REFUSAL_TIMEOUT).await;
            if let Err(error) = read {
                log::debug!(event = "refusal-not-read"; "connection closed during the body of a refusal: {error}");
            }
        });
        return Err(if misdirected {
            Denial::Gone
        } else {
            Denial::Shed
        });
    }
    let failed = head.status().is_server_error();
    let complete = if failed {
        Outcome::Failure
    } else {
        Outcome::Success
    };
    let kept = Held::new(slot);
    let finished = Arc::clone(&kept);
    let (instance, incarnation) = (forwarded.instance.clone(), forwarded.incarnation);
    let checked = Arc::clone(state);
    let finish = move |end| {
        if end == End::Truncated {
            crashes::check_for_crash(&checked, &instance, incarnation);
        }
        drop(in_flight);
        finished.release(match end {
            End::Complete => complete,
            End::Truncated => Outcome::Failure,
            End::Dropped => Outcome::Cancelled,
        });
    };
    let mut response = head.into_response(Box::new(finish));
    let headers = response.headers();
    let sealed = headers.contains_key(&names.seal);
    let encoded = headers.contains_key(header::CONTENT_ENCODING);
    let implies_not_run = NOT_RUN_STATUSES.contains(&response.status());
    if encoded || implies_not_run || (response.status().is_success() && !sealed) {
        return Err(Denial::Spoiled);
    }
    add_load(state, &mut response);
    Ok(response.map(|body| download::watch(state, body, kept, complete)))
}
