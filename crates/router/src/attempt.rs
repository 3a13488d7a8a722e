//! Sends one attempt of a request to a chosen target, local or remote.

use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use http::HeaderValue;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use log::warn;

use crate::forwarded;
use crate::forwarded::Denial;
use crate::forwarded::Forwarded;
use crate::notice;
use crate::outlook;
use crate::serve;
use crate::serve::BufferedRequest;
use crate::state::State;
use shallotrill_model::time::Instant;
use shallotrill_peer::failure::Failure;
use shallotrill_routing::choice::Choice;
use shallotrill_routing::sample::Outcome;
use shallotrill_routing::sample::Sample;
use shallotrill_wire::body;
use shallotrill_wire::body::Body;
use shallotrill_wire::load;

/// A response body up to this size is buffered until it is complete, so that an idempotent request
/// can be retried when its response is truncated.
const BUFFERED_BYTES_MAX: usize = 64 * 1024;

/// Authority of requests between routers; the caller's host is a field of [`Forwarded`].
const AUTHORITY: &str = "http://router";

/// Records the outcome of an attempt in the routing table when dropped, also when the caller disconnects.
struct AttemptGuard<'state> {
    state: &'state State,
    choice: &'state Choice,
    started: Instant,
    outcome: Outcome,
}

impl Drop for AttemptGuard<'_> {
    fn drop(&mut self) {
        let now = self.state.now();
        let sample = Sample {
            incarnation: self.choice.incarnation,
            outcome: self.outcome,
            latency: now.since(self.started),
        };
        let mut routing = self.state.routing.lock();
        routing.request_finished(&self.choice.instance, sample, now);
    }
}

/// Sends a request to a target. The start of the attempt is already recorded in the routing table.
///
/// # Errors
///
/// Returns a [`Denial`], from which it follows whether the request may have run.
pub async fn send(
    state: &Arc<State>,
    message: BufferedRequest,
    forwarded: &Forwarded,
    choice: &Choice,
) -> Result<Response<Body>, Denial> {
    let mut guard = AttemptGuard {
        state,
        choice,
        started: state.now(),
        outcome: Outcome::Cancelled,
    };
    let is_local = choice.address == state.settings.address();
    let result = if is_local {
        serve::run(state, message, forwarded).await
    } else {
        send_to_router(state, message, forwarded, choice).await
    };
    let result = match result {
        Ok(mut response) => {
            outlook::apply(state, &forwarded.service, choice, response.headers_mut());
            buffer_short_body(state, response, choice).await
        }
        Err(denial) => {
            if is_local {
                outlook::record_local(state, &forwarded.service, choice);
            }
            Err(denial)
        }
    };
    guard.outcome = match &result {
        Ok(response) if response.status().is_server_error() => Outcome::Failure,
        Ok(_) => Outcome::Success,
        Err(Denial::Busy | Denial::Slow | Denial::Gone) => Outcome::Refused,
        Err(_) => Outcome::Failure,
    };
    result
}

async fn send_to_router(
    state: &Arc<State>,
    message: BufferedRequest,
    forwarded: &Forwarded,
    choice: &Choice,
) -> Result<Response<Body>, Denial> {
    let uri = format!("{AUTHORITY}{}", message.path);
    let mut request = Request::new(Full::new(message.body));
    *request.method_mut() = message.method;
    *request.uri_mut() = uri.try_into().or(Err(Denial::Gone))?;
    *request.headers_mut() = message.headers;
    let value = forwarded.encode().ok_or(Denial::Gone)?;
    request.headers_mut().insert(forwarded::FORWARDED, value);
    let id = request
        .headers()
        .get(&state.settings.names.request)
        .cloned();
    let now = state.now();
    let result = state
        .routers
        .send(choice.address, request, forwarded.remaining, now)
        .await;
    match result {
        Ok(response) => Ok(response.map(|incoming| {
            let truncated = |error| body::Error::Truncated(Box::new(error));
            incoming.map_err(truncated).boxed_unsync()
        })),
        Err(failure) => {
            let denial = match &failure {
                _ if failure.is_not_sent() => Denial::Unreachable,
                Failure::Timeout { .. } => Denial::Timeout,
                Failure::InvalidStatus { .. } => Denial::Spoiled,
                _ => Denial::Lost,
            };
            log_failure(id.as_ref(), choice, forwarded.remaining, denial, &failure);
            Err(denial)
        }
    }
}

fn log_failure(
    id: Option<&HeaderValue>,
    choice: &Choice,
    remaining: Duration,
    denial: Denial,
    failure: &Failure,
) {
    let id = id.and_then(|id| id.to_str().ok()).unwrap_or_default();
    warn!(
        event = "forward-failed",
        request = id,
        instance = choice.instance.as_str(),
        left_ms = remaining.as_millis() as u64,
        denial = denial.as_str();
        "cannot forward the request to the router of the target: {failure}"
    );
}

/// Records the load that the target reported in its response, and buffers a short body until it is
/// complete.
async fn buffer_short_body(
    state: &State,
    mut response: Response<Body>,
    choice: &Choice,
) -> Result<Response<Body>, Denial> {
    let headers = response.headers_mut();
    apply_load(state, headers, choice);
    if let Some(denial) = Denial::read(headers) {
        return Err(denial);
    }
    if notice::is_leaving(&state.settings.names, headers) {
        let now = state.now();
        let mut routing = state.routing.lock();
        routing.mark_leaving(&choice.instance, choice.incarnation, now);
    }
    let (parts, incoming) = response.into_parts();
    let body = match body::prefix(incoming, BUFFERED_BYTES_MAX).await {
        Ok(body::Prefix::Complete(bytes)) => body::full(bytes),
        Ok(body::Prefix::Longer(rest)) => rest,
        Err(error) => {
            log::debug!(event = "answer-cut"; "response body truncated: {error}");
            return Err(Denial::Lost);
        }
    };
    Ok(Response::from_parts(parts, body))
}

/// Removes the load headers of a response and applies them to the routing table.
fn apply_load(state: &State, headers: &mut HeaderMap, choice: &Choice) {
    let pace = headers.remove(load::PACE);
    let Some(value) = headers.remove(load::LOAD) else {
        return;
    };
    let pace = pace.map(|value| load::decode_pace(&value)).transpose();
    match (load::decode(&value), pace) {
        (Ok(report), Ok(pace)) => {
            let now = state.now();
            let mut routing = state.routing.lock();
            if routing.apply_report(&choice.instance, report, now) {
                routing.apply_pace(&choice.instance, pace, now);
            }
        }
        (Err(error), _) | (_, Err(error)) => warn!(
            event = "load-unreadable";
            "cannot decode the load headers of a response: {error}"
        ),
    }
}
