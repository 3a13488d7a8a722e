//! Runs a request at the backend server beside this router.

use std::sync::Arc;

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
use crate::crashes::Running;
use crate::forwarded;
use crate::forwarded::Denial;
use crate::forwarded::Forwarded;
use crate::slot;
use crate::slot::Slot;
use crate::state::State;
use shallotrill_backend::failure::Failure;
use shallotrill_backend::head::Head;
use shallotrill_backend::pool::OnSilence;
use shallotrill_backend::response::End;
use shallotrill_limits::ticket::Outcome;
use shallotrill_model::class::Class;
use shallotrill_wire::body;
use shallotrill_wire::body::Body;
use shallotrill_wire::hop;
use shallotrill_wire::load;

/// Longest body that a router takes from another one; the limit of the configuration applies at the entry.
const BODY_BYTES_MAX: usize = 64 * 1024 * 1024;

/// Statuses that promise a caller that its request has not run. A backend server that does not
/// state so may have run it.
const PROMISES: [StatusCode; 4] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

/// A request without its connection.
#[derive(Clone, Debug)]
pub struct Message {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub path: http::uri::PathAndQuery,
    /// End-to-end headers without `Host`.
    pub headers: http::HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

/// Answers a request of another router.
pub async fn answer(state: Arc<State>, request: Request<Incoming>) -> Response<Body> {
    let result = match read(request).await {
        Some((message, forwarded)) => run(&state, message, &forwarded).await,
        None => Err(Denial::Gone),
    };
    match result {
        Ok(response) => response,
        Err(denial) => denied(&state, denial),
    }
}

async fn read(request: Request<Incoming>) -> Option<(Message, Forwarded)> {
    let (mut parts, incoming) = request.into_parts();
    let value = parts.headers.remove(forwarded::FORWARDED)?;
    let forwarded = Forwarded::decode(&value)?;
    let path = parts.uri.path_and_query()?.clone();
    let body = match body::collect(incoming, BODY_BYTES_MAX, forwarded.left).await {
        Ok(body) => body,
        Err(error) => {
            log::debug!(event = "forwarded-body-lost"; "{error}");
            return None;
        }
    };
    parts.headers.remove(header::HOST);
    let message = Message {
        method: parts.method,
        path,
        headers: parts.headers,
        body,
    };
    Some((message, forwarded))
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
    if let Some(life) = &mut backend.life {
        let mut report = life.gate.report(now);
        let slowed = u64::from(report.latency_us) * u64::from(life.slowness(now)) / 100;
        report.latency_us = u32::try_from(slowed).unwrap_or(u32::MAX);
        response
            .headers_mut()
            .insert(load::LOAD, load::encode(&report));
    }
}

/// Waits for a slot and runs the request.
///
/// # Errors
///
/// Returns a [`Denial`] that says whether the request may have run.
pub async fn run(
    state: &Arc<State>,
    message: Message,
    forwarded: &Forwarded,
) -> Result<Response<Body>, Denial> {
    let arrived = state.now();
    let slot = slot::admit(state, forwarded).await?;
    let waited = state.now().since(arrived);
    state.metrics.waited(waited);
    let left = forwarded.left.saturating_sub(waited);
    let running = Running::start(state, crashes::digest(&forwarded.service, &message));
    let request = request(state, message, forwarded, left);
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
        let life = backend.is(&forwarded.instance, forwarded.incarnation);
        life.is_some_and(|life| !life.announcement.draining)
    };
    let sent = state.pool.dispatch_if(request, left, on_silence, &may_send);
    match sent.await {
        Ok(head) => finish(state, head, slot),
        Err(failure) => {
            let denial = denial(&failure);
            if denial == Denial::Lost {
                crashes::suspect(state, &forwarded.instance, forwarded.incarnation);
            }
            drop(running);
            log_failure(id.as_ref(), forwarded, denial, &failure);
            let mut slot = slot;
            slot.ended(outcome(denial));
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
        left_ms = forwarded.left.as_millis() as u64,
        denial = denial.as_str();
        "{failure}"
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
        Failure::Unframed | Failure::MismatchedResponse | Failure::ProtocolSwitched => {
            Denial::Spoiled
        }
        Failure::Timeout(_) => Denial::Timeout,
    }
}

/// The request as the backend server sees it.
fn request(
    state: &State,
    message: Message,
    forwarded: &Forwarded,
    left: std::time::Duration,
) -> Request<Full<Bytes>> {
    let names = &state.settings.names;
    let mut request = Request::new(Full::new(message.body));
    *request.method_mut() = message.method;
    *request.uri_mut() = message.path.into();
    let mut headers = message.headers;
    hop::strip_hop_by_hop(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    // Names and numbers are valid header values; the host was one when it came.
    if let Ok(host) = HeaderValue::from_str(&forwarded.host) {
        headers.insert(header::HOST, host);
    }
    if let Ok(expected) = HeaderValue::from_str(forwarded.instance.as_str()) {
        headers.insert(names.expected.clone(), expected);
    }
    if let Ok(caller) = HeaderValue::from_str(forwarded.caller.as_str()) {
        headers.insert(names.caller.clone(), caller);
    }
    let left_ms = left.as_millis().max(1) as u64;
    headers.insert(names.deadline_ms.clone(), HeaderValue::from(left_ms));
    *request.headers_mut() = headers;
    request
}

fn finish(state: &Arc<State>, head: Head, mut slot: Slot) -> Result<Response<Body>, Denial> {
    let names = &state.settings.names;
    if head.states_not_run() || head.status() == StatusCode::MISDIRECTED_REQUEST {
        slot.ended(Outcome::Shed);
        let gone = head.status() == StatusCode::MISDIRECTED_REQUEST;
        // The answer is read to its end in the background, so that its connection can be used again.
        let rest = head.into_response(Box::new(move |_| drop(slot)));
        tokio::spawn(body::collect(
            rest.into_body(),
            BODY_BYTES_MAX,
            std::time::Duration::from_secs(1),
        ));
        return Err(if gone { Denial::Gone } else { Denial::Shed });
    }
    let failed = head.status().is_server_error();
    let finish = move |end| {
        slot.ended(match end {
            End::Complete if failed => Outcome::Failure,
            End::Complete => Outcome::Success,
            End::Truncated => Outcome::Failure,
            End::Dropped => Outcome::Cancelled,
        });
        drop(slot);
    };
    let mut response = head.into_response(Box::new(finish));
    note_slowness(state, &response);
    let headers = response.headers();
    let sealed = headers.contains_key(&names.seal);
    let encoded = headers.contains_key(header::CONTENT_ENCODING);
    let promises = PROMISES.contains(&response.status());
    if encoded || promises || (response.status().is_success() && !sealed) {
        return Err(Denial::Spoiled);
    }
    add_load(state, &mut response);
    Ok(response)
}

/// Takes the slowness of the machine that the backend server states: the fourth figure of its load.
pub(crate) fn note_slowness(state: &State, response: &Response<Body>) {
    let stated = response.headers().get(&state.settings.names.load);
    let figures = stated.and_then(|value| value.to_str().ok());
    let slowness = figures.and_then(|text| text.split(',').nth(3)?.trim().parse().ok());
    let now = state.now();
    if let (Some(slowness), Some(life)) = (slowness, &mut state.backend.lock().life) {
        life.note_pace(slowness, now);
    }
}
