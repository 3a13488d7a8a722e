//! One attempt: a request is sent to a chosen target.

use std::sync::Arc;
use std::time::Duration;

use http::HeaderValue;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use log::warn;

use crate::forwarded;
use crate::forwarded::Denial;
use crate::forwarded::Forwarded;
use crate::serve;
use crate::serve::Message;
use crate::state::State;
use shallotrill_model::time::Instant;
use shallotrill_peer::failure::Failure;
use shallotrill_routing::choice::Choice;
use shallotrill_routing::sample::Outcome;
use shallotrill_routing::sample::Sample;
use shallotrill_wire::body;
use shallotrill_wire::body::Body;
use shallotrill_wire::load;

/// An answer of up to this size is held until it is whole, so that a cut one of an idempotent request can be repeated.
const HELD_BYTES_MAX: usize = 64 * 1024;

/// Authority of requests between routers; the callers' host travels in [`Forwarded`].
const AUTHORITY: &str = "http://router";

/// Notes the end of an attempt with the choice of targets, also when the caller leaves.
struct Flight<'state> {
    state: &'state State,
    choice: &'state Choice,
    started: Instant,
    outcome: Outcome,
}

impl Drop for Flight<'_> {
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

/// Sends a request to a target. The caller has noted the start with the choice of targets.
///
/// # Errors
///
/// Returns a [`Denial`] that says whether the request may have run.
pub async fn send(
    state: &Arc<State>,
    message: Message,
    forwarded: &Forwarded,
    choice: &Choice,
) -> Result<Response<Body>, Denial> {
    let mut flight = Flight {
        state,
        choice,
        started: state.now(),
        outcome: Outcome::Cancelled,
    };
    let result = if choice.address == state.settings.address() {
        serve::run(state, message, forwarded).await
    } else {
        remote(state, message, forwarded, choice).await
    };
    let result = match result {
        Ok(response) => hold(state, response, choice).await,
        Err(denial) => Err(denial),
    };
    flight.outcome = match &result {
        Ok(response) if response.status().is_server_error() => Outcome::Failure,
        Ok(_) => Outcome::Success,
        Err(Denial::Busy | Denial::Slow | Denial::Gone) => Outcome::Refused,
        Err(_) => Outcome::Failure,
    };
    result
}

async fn remote(
    state: &Arc<State>,
    message: Message,
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
    let sent = state
        .routers
        .send(choice.address, request, forwarded.left, now)
        .await;
    match sent {
        Ok(response) => Ok(response.map(|incoming| {
            let cut = |error| body::Error::Truncated(Box::new(error));
            incoming.map_err(cut).boxed_unsync()
        })),
        Err(failure) => {
            let denial = match &failure {
                _ if failure.is_not_sent() => Denial::Unreachable,
                Failure::Timeout { .. } => Denial::Timeout,
                _ => Denial::Lost,
            };
            log_failure(id.as_ref(), choice, forwarded.left, denial, &failure);
            Err(denial)
        }
    }
}

fn log_failure(
    id: Option<&HeaderValue>,
    choice: &Choice,
    left: Duration,
    denial: Denial,
    failure: &Failure,
) {
    let id = id.and_then(|id| id.to_str().ok()).unwrap_or_default();
    warn!(
        event = "forward-failed",
        request = id,
        instance = choice.instance.as_str(),
        left_ms = left.as_millis() as u64,
        denial = denial.as_str();
        "{failure}"
    );
}

/// Takes the load of the target from an answer, and holds the body until it is whole if it is short.
async fn hold(
    state: &State,
    mut response: Response<Body>,
    choice: &Choice,
) -> Result<Response<Body>, Denial> {
    let headers = response.headers_mut();
    if let Some(value) = headers.remove(load::LOAD) {
        match load::decode(&value) {
            Ok(report) => {
                let now = state.now();
                let mut routing = state.routing.lock();
                routing.apply_report(&choice.instance, report, now);
            }
            Err(error) => warn!(event = "load-unreadable"; "{error}"),
        }
    }
    if let Some(denial) = Denial::read(headers) {
        return Err(denial);
    }
    let (parts, whole) = response.into_parts();
    let body = match body::prefix(whole, HELD_BYTES_MAX).await {
        Ok(body::Prefix::Complete(bytes)) => body::full(bytes),
        Ok(body::Prefix::Longer(rest)) => rest,
        Err(error) => {
            log::debug!(event = "answer-cut"; "{error}");
            return Err(Denial::Lost);
        }
    };
    Ok(Response::from_parts(parts, body))
}
