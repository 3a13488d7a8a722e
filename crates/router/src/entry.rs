//! Requests of the callers on this instance.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use hyper::body::Incoming;
use log::info;
use rand::Rng;

use crate::attempt;
use crate::crashes;
use crate::forwarded::Denial;
use crate::forwarded::Forwarded;
use crate::serve::Message;
use crate::state::State;
use shallotrill_items::route::Route;
use shallotrill_model::class::Class;
use shallotrill_model::instance;
use shallotrill_model::service;
use shallotrill_model::time::Instant;
use shallotrill_routing::choice::Choice;
use shallotrill_routing::choice::Query;
use shallotrill_wire::body;
use shallotrill_wire::body::Body;
use shallotrill_wire::hop;

/// Longest body before limits are configured.
const BODY_BYTES_DEFAULT: usize = 64 * 1024 * 1024;

/// Refusals by gates that a request goes through before it is refused itself.
const GATE_TRIES: u32 = 3;

/// Targets without a connection that a request goes through. They cost no time, and tell nothing
/// of the load of others: when half of the routers are killed at once, three in a row are common.
const UNREACHABLE_TRIES: u32 = 8;

/// When a refused caller is asked to come again: about the service time, after which slots are free.
const RETRY_AFTER: &str = "0.05";

/// When a caller is asked to come again while nothing is configured or no target is known.
const RETRY_AFTER_START: &str = "0.2";

/// When the caller of a request that crashes backend servers is asked to come again.
const RETRY_AFTER_QUARANTINE: &str = "60";

/// Part of the time left that a request may wait for a slot.
const WAIT_SHARE: f64 = 0.6;

/// A request with less time left than this is not sent again.
const LEFT_MIN: Duration = Duration::from_millis(5);

/// A request on its way.
struct Work {
    id: String,
    message: Message,
    host: Box<str>,
    route: Arc<Route>,
    route_version: u64,
    service: service::Name,
    arrived: Instant,
    limit: Duration,
}

/// Answers one request of a caller.
pub async fn answer(state: Arc<State>, request: Request<Incoming>) -> Response<Body> {
    let arrived = state.now();
    let id = text(request.headers().get(&state.settings.names.request)).to_owned();
    let mut response = match accept(&state, request, arrived, &id).await {
        Ok(work) => run(&state, &work).await,
        Err(refused) => refused,
    };
    let took = state.now().since(arrived);
    state.metrics.answered(response.status(), took);
    let name = &state.settings.names.request;
    if let (false, Ok(value)) = (
        response.headers().contains_key(name),
        HeaderValue::from_str(&id),
    ) {
        response.headers_mut().insert(name.clone(), value);
    }
    response
}

fn text(value: Option<&HeaderValue>) -> &str {
    value.and_then(|v| v.to_str().ok()).unwrap_or_default()
}

/// Checks a request, finds its route and reads its body.
async fn accept(
    state: &State,
    request: Request<Incoming>,
    arrived: Instant,
    id: &str,
) -> Result<Work, Response<Body>> {
    let (mut parts, incoming) = request.into_parts();
    if let Err(problem) = hop::check(&parts.method, &parts.headers) {
        return Err(refuse(id, StatusCode::BAD_REQUEST, &problem.to_string()));
    }
    let items = state.items();
    if items.is_empty() {
        return Err(unavailable(
            id,
            RETRY_AFTER_START,
            "nothing is configured yet",
        ));
    }
    let stated = text(parts.headers.get(header::HOST));
    let host = parts.uri.authority().map_or(stated, |a| a.as_str());
    let path = parts.uri.path();
    let found = items
        .find(host, path)
        .or_else(|| items.find(without_port(host), path));
    let Some(rule) = found else {
        return Err(refuse(id, StatusCode::NOT_FOUND, "no route matches"));
    };
    let route = Arc::clone(&rule.route);
    let route_version = rule.version;
    let Some(service) = state.draw(rule) else {
        return Err(unavailable(
            id,
            RETRY_AFTER_START,
            "the route has no service",
        ));
    };
    let names = &state.settings.names;
    let stated_ms: Option<u64> = text(parts.headers.get(&names.deadline_ms)).parse().ok();
    let deadline = stated_ms.map_or(route.timeout, Duration::from_millis);
    let limit = deadline.min(route.timeout);
    let most = items.limits().map_or(BODY_BYTES_DEFAULT, |l| l.body_bytes);
    let host = host.into();
    let body = match body::collect(incoming, most, limit).await {
        Ok(body) => body,
        Err(body::Error::TooLarge(_)) => {
            let status = StatusCode::PAYLOAD_TOO_LARGE;
            return Err(refuse(id, status, "the body is too long"));
        }
        Err(error) => return Err(refuse(id, StatusCode::REQUEST_TIMEOUT, &error.to_string())),
    };
    let path = parts.uri.path_and_query().cloned();
    hop::strip_hop_by_hop(&mut parts.headers);
    parts.headers.remove(header::HOST);
    parts.headers.remove(&names.caller);
    parts.headers.remove(&names.expected);
    let message = Message {
        method: parts.method,
        path: path.unwrap_or_else(|| http::uri::PathAndQuery::from_static("/")),
        headers: parts.headers,
        body,
    };
    if crashes::is_quarantined(state, crashes::digest(&service, &message)) {
        state.metrics.quarantined.inc();
        let reason = "the request crashes the backend servers that run it";
        return Err(unavailable(id, RETRY_AFTER_QUARANTINE, reason));
    }
    state.earn(&service);
    Ok(Work {
        id: id.to_owned(),
        message,
        host,
        route,
        route_version,
        service,
        arrived,
        limit,
    })
}

fn without_port(host: &str) -> &str {
    host.rsplit_once(':').map_or(host, |(name, _)| name)
}

/// What is known of a request so far.
#[derive(Default)]
struct Progress {
    tried: Vec<instance::Name>,
    gates: u32,
    unreachable: u32,
    /// Every target that was asked is slow or full, so the best of them is to take the request.
    insist: bool,
    arrivals: u32,
    /// The last denial, and whether one of them leaves open that the request ran.
    last: Option<Denial>,
    may_have_run: bool,
    /// A failure that a backend server has answered.
    failed: Option<Response<Body>>,
}

async fn run(state: &Arc<State>, work: &Work) -> Response<Body> {
    let mut progress = Progress::default();
    loop {
        let left = work.limit.saturating_sub(state.now().since(work.arrived));
        if left < LEFT_MIN {
            return give_up(state, work, progress, left);
        }
        let Some(choice) = choose(state, work, &progress) else {
            if progress.gates > 0 && !progress.insist {
                progress.insist = true;
                progress.tried.clear();
                continue;
            }
            return give_up(state, work, progress, left);
        };
        if progress.arrivals > 0 && !state.spend(&work.service) {
            cancel(state, &choice);
            return give_up(state, work, progress, left);
        }
        let forwarded = forwarded(state, work, &choice, &progress, left);
        let sent = attempt::send(state, work.message.clone(), &forwarded, &choice).await;
        match sent {
            Ok(response) if !may_repeat(work, &progress, &response) => {
                note_answer(state, work, &choice, &progress, response.status());
                return response;
            }
            Ok(response) => {
                note_repeat(work, &choice, response.status());
                progress.arrivals += 1;
                progress.may_have_run = true;
                progress.failed = Some(response);
            }
            Err(denial) => {
                state.metrics.denied(denial);
                note_denial(state, work, &choice, denial, left);
                match denial {
                    Denial::Unreachable => progress.unreachable += 1,
                    _ if denial.has_arrived() => progress.arrivals += 1,
                    _ => progress.gates += 1,
                }
                progress.may_have_run |= !denial.is_not_run();
                progress.last = Some(denial);
                if !goes_on(work, &progress) {
                    let left = work.limit.saturating_sub(state.now().since(work.arrived));
                    return give_up(state, work, progress, left);
                }
            }
        }
        progress.tried.push(choice.instance);
    }
}

fn choose(state: &State, work: &Work, progress: &Progress) -> Option<Choice> {
    let now = state.now();
    let query = Query {
        service: &work.service,
        exclude: &progress.tried,
        // Only a request that can be sent again tries a failing target.
        priority: u8::from(work.route.class == Class::NonIdempotent),
    };
    let mut routing = state.routing.lock();
    match routing.choose(&query, now, &mut || rand::rng().next_u64()) {
        Ok(choice) => {
            routing.request_started(&choice.instance, now);
            Some(choice)
        }
        Err(refusal) => {
            drop(routing);
            info!(event = "no-target", request = work.id.as_str(), service = work.service.as_str(); "{refusal}");
            None
        }
    }
}

/// Takes back the start of a request that is not sent.
fn cancel(state: &State, choice: &Choice) {
    let sample = shallotrill_routing::sample::Sample {
        incarnation: choice.incarnation,
        outcome: shallotrill_routing::sample::Outcome::Cancelled,
        latency: Duration::ZERO,
    };
    let now = state.now();
    state
        .routing
        .lock()
        .request_finished(&choice.instance, sample, now);
}

fn forwarded(
    state: &State,
    work: &Work,
    choice: &Choice,
    progress: &Progress,
    left: Duration,
) -> Forwarded {
    // Work that starts later than this would miss its objective, and most of its value.
    let since = state.now().since(work.arrived);
    let valuable = work.route.objective.saturating_sub(since);
    Forwarded {
        instance: choice.instance.clone(),
        incarnation: choice.incarnation,
        service: work.service.clone(),
        caller: state.settings.service.clone(),
        left,
        start_within: valuable.min(left).mul_f64(WAIT_SHARE),
        objective: work.route.objective,
        priority: work.route.priority,
        class: work.route.class,
        insist: progress.insist || progress.gates + 1 >= GATE_TRIES,
        host: work.host.clone(),
    }
}

/// Whether a failure of the backend server is worth another attempt.
fn may_repeat(work: &Work, progress: &Progress, response: &Response<Body>) -> bool {
    response.status().is_server_error()
        && work.route.class == Class::Idempotent
        && progress.arrivals + 1 < work.route.attempts
}

/// Whether a denied request may be sent to another target.
fn goes_on(work: &Work, progress: &Progress) -> bool {
    let allowed = work.route.class == Class::Idempotent || !progress.may_have_run;
    allowed
        && progress.arrivals < work.route.attempts
        && progress.gates < GATE_TRIES
        && progress.unreachable < UNREACHABLE_TRIES
}

/// The estimate that decided a choice, for the log.
fn reason(choice: &Choice) -> String {
    let chosen = choice
        .candidates
        .iter()
        .find(|c| c.instance == choice.instance);
    let Some(chosen) = chosen else {
        return String::new();
    };
    let age = chosen.age.map_or(-1, |age| age.as_millis() as i64);
    let estimate = &chosen.estimate;
    format!(
        "score {:.0}, ahead {:.1} of {}, latency {:.0} us, failures {:.2}, report {age} ms old, {} candidates",
        chosen.score,
        estimate.requests_ahead,
        estimate.limit,
        estimate.latency_us,
        estimate.failure_rate,
        choice.candidates.len()
    )
}

fn note_denial(state: &State, work: &Work, choice: &Choice, denial: Denial, left: Duration) {
    // A full or slow target is part of the routine under load; what it leads to is always written.
    let routine = matches!(denial, Denial::Busy | Denial::Slow);
    if routine && !state.routine.allows(state.now()) {
        return;
    }
    info!(
        event = "attempt-denied",
        request = work.id.as_str(),
        service = work.service.as_str(),
        instance = choice.instance.as_str(),
        denial = denial.as_str(),
        priority = work.route.priority,
        objective_ms = work.route.objective.as_millis() as u64,
        left_ms = left.as_millis() as u64;
        "{}", reason(choice)
    );
}

fn note_repeat(work: &Work, choice: &Choice, status: StatusCode) {
    info!(
        event = "attempt-repeated",
        request = work.id.as_str(),
        service = work.service.as_str(),
        instance = choice.instance.as_str(),
        status = status.as_u16();
        "{}", reason(choice)
    );
}

fn note_answer(
    state: &State,
    work: &Work,
    choice: &Choice,
    progress: &Progress,
    status: StatusCode,
) {
    let now = state.now();
    let plain = status.is_success() && progress.last.is_none() && progress.failed.is_none();
    if plain && !state.routine.allows(now) {
        return;
    }
    info!(
        event = "request-answered",
        request = work.id.as_str(),
        service = work.service.as_str(),
        route_version = work.route_version,
        instance = choice.instance.as_str(),
        status = status.as_u16(),
        tries = progress.tried.len() + 1,
        took_ms = now.since(work.arrived).as_millis() as u64;
        "{}", reason(choice)
    );
}

/// The final answer of a request that is not sent again.
fn give_up(state: &State, work: &Work, progress: Progress, left: Duration) -> Response<Body> {
    if let Some(response) = progress.failed {
        return response;
    }
    let reason = progress.last.map_or("no target", Denial::as_str);
    info!(
        event = "request-given-up",
        request = work.id.as_str(),
        service = work.service.as_str(),
        route_version = work.route_version,
        last = reason,
        refused_by_gates = progress.gates,
        unreachable = progress.unreachable,
        arrivals = progress.arrivals,
        may_have_run = progress.may_have_run,
        targets = state.routing.lock().target_count(&work.service),
        left_ms = left.as_millis() as u64,
        took_ms = state.now().since(work.arrived).as_millis() as u64;
        ""
    );
    if !progress.may_have_run {
        return unavailable(&work.id, RETRY_AFTER, reason);
    }
    let status = if left < LEFT_MIN || progress.last == Some(Denial::Timeout) {
        StatusCode::GATEWAY_TIMEOUT
    } else {
        StatusCode::BAD_GATEWAY
    };
    refuse(&work.id, status, reason)
}

fn unavailable(id: &str, retry_after: &'static str, reason: &str) -> Response<Body> {
    let mut response = refuse(id, StatusCode::SERVICE_UNAVAILABLE, reason);
    let value = HeaderValue::from_static(retry_after);
    response.headers_mut().insert(header::RETRY_AFTER, value);
    response
}

fn refuse(id: &str, status: StatusCode, reason: &str) -> Response<Body> {
    info!(event = "request-ended", request = id, status = status.as_u16(); "{reason}");
    let text = format!("{reason}\n");
    let mut response = Response::new(body::full(Bytes::from(text)));
    *response.status_mut() = status;
    let plain = HeaderValue::from_static("text/plain; charset=utf-8");
    let headers: &mut HeaderMap = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, plain);
    response
}
