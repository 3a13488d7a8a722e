//! Accepts requests of the callers on this instance: key, route, allotment and body.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body::Body as _;
use hyper::body::Incoming;
use log::info;

use crate::allotment;
use crate::allotment::Credit;
use crate::crashes;
use crate::execution;
use crate::execution::Pending;
use crate::names::Names;
use crate::refusal::refuse;
use crate::refusal::response;
use crate::refusal::unauthorized;
use crate::refusal::unavailable;
use crate::refusal::with_retry_after;
use crate::serve::BufferedRequest;
use crate::state::State;
use shallotrill_caller::ahead::Arrival;
use shallotrill_items::table::ActiveRoute;
use shallotrill_items::table::ActiveWorkspace;
use shallotrill_items::table::Table;
use shallotrill_items::workspace::Digest;
use shallotrill_limits::memory::Kind;
use shallotrill_model::time::Instant;
use shallotrill_wire::body;
use shallotrill_wire::body::Body;
use shallotrill_wire::budget;
use shallotrill_wire::budget::Permit;
use shallotrill_wire::budget::Refusal;
use shallotrill_wire::hop;
use shallotrill_wire::hop::HeadError;

/// Maximum size of a request body while no limits are configured.
const BODY_BYTES_DEFAULT: usize = 64 * 1024 * 1024;

/// `Retry-After` while no items are configured or the route has no service, in seconds.
const RETRY_AFTER_NOT_CONFIGURED: &str = "0.2";

/// `Retry-After` of a quarantined request, in seconds.
const RETRY_AFTER_QUARANTINE: &str = "60";

/// `Retry-After` of a request whose body has no room in memory, in seconds.
const RETRY_AFTER_NO_ROOM: &str = "1";

/// `Retry-After` of a request that came too late for a stopping router; another one takes it at once.
const RETRY_AFTER_STOPPING: &str = "0.05";

/// Memory of a request in progress: its task and the read buffer of its connection. Requests that wait for their bodies
/// take 46 kB each (`docs/incidents/buffers-of-bodies.md`).
const REQUEST_BYTES: u64 = 48 * 1024;

/// Further read buffers while a body arrives: 42 kB beside its bytes.
const ARRIVAL_BYTES: u64 = 44 * 1024;

/// Length up to which a body needs no further read buffers.
const SMALL_BODY_BYTES_MAX: u64 = 8 * 1024;

/// Most of a response that the buffers of this router hold for a reader that does not take it: the part that is
/// buffered before the head is sent, the window of the stream between the routers, and the write buffer.
const RESPONSE_BYTES_MAX: u64 = 144 * 1024;

/// Handles one request of a caller.
pub async fn handle(state: Arc<State>, request: Request<Incoming>) -> Response<Body> {
    let received_at = arrival(&state, &request);
    let id = header_text(request.headers().get(&state.settings.names.request)).to_owned();
    let mut response = match accept(&state, request, received_at, &id).await {
        Ok((pending, mut permit)) => {
            let response = execution::run(&state, &pending).await;
            let length = body::stated_length(response.body());
            permit.extend(length.map_or(RESPONSE_BYTES_MAX, |l| l.min(RESPONSE_BYTES_MAX)));
            response.map(|body| budget::with_permit(body, permit))
        }
        Err(refused) => refused,
    };
    let elapsed = state.now().since(received_at);
    state.metrics.record_response(response.status(), elapsed);
    let name = &state.settings.names.request;
    if let (false, Ok(value)) = (
        response.headers().contains_key(name),
        HeaderValue::from_str(&id),
    ) {
        response.headers_mut().insert(name.clone(), value);
    }
    response
}

/// Time at which the request arrived. A request that was sent ahead has waited for those in front of it.
fn arrival(state: &State, request: &Request<Incoming>) -> Instant {
    let arrival = request.extensions().get::<Arrival>();
    let waited = arrival.map_or(Duration::ZERO, |arrival| arrival.0.elapsed());
    state.now() - waited
}

fn header_text(value: Option<&HeaderValue>) -> &str {
    value.and_then(|v| v.to_str().ok()).unwrap_or_default()
}

/// Validates a request, finds its route and reads its body. Returns it with the memory of its buffers; an error is the
/// response to the caller.
async fn accept(
    state: &Arc<State>,
    request: Request<Incoming>,
    received_at: Instant,
    id: &str,
) -> Result<(Pending, Permit), Response<Body>> {
    let (mut parts, incoming) = request.into_parts();
    let ambiguous = parts.extensions.get::<HeadError>().copied();
    let checked = ambiguous.map_or_else(|| hop::check(&parts.method, &parts.headers), Err);
    if let Err(problem) = checked {
        return Err(refuse(id, StatusCode::BAD_REQUEST, &problem.to_string()));
    }
    let names = &state.settings.names;
    let items = state.items();
    if items.is_empty() {
        return Err(unavailable(
            id,
            RETRY_AFTER_NOT_CONFIGURED,
            "nothing is configured yet",
        ));
    }
    let host_header = header_text(parts.headers.get(header::HOST));
    let host = parts.uri.authority().map_or(host_header, |a| a.as_str());
    let path = parts.uri.path();
    let found = items
        .find(host, path)
        .or_else(|| items.find(without_port(host), path));
    let Some(rule) = found else {
        return Err(refuse(id, StatusCode::NOT_FOUND, "no route matches"));
    };
    let route = Arc::clone(&rule.route);
    let route_version = rule.version;
    let Ok(workspace) = identify(&items, rule, &parts.headers, names) else {
        return Err(unauthorized(id));
    };
    let Some(service) = state.next_service(rule) else {
        return Err(unavailable(
            id,
            RETRY_AFTER_NOT_CONFIGURED,
            "the route has no service",
        ));
    };
    let requested_ms: Option<u64> = header_text(parts.headers.get(&names.deadline_ms))
        .parse()
        .ok();
    let deadline = requested_ms.map_or(route.timeout, Duration::from_millis);
    let timeout = deadline.min(route.timeout);
    let body_bytes_max = items.limits().map_or(BODY_BYTES_DEFAULT, |l| l.body_bytes);
    let host = host.into();
    let buffers = buffer_bytes(&parts.headers, &incoming);
    let Ok(permit) = state.memory.reserve(Kind::Request, buffers).await else {
        let reason = "there is no memory for the request";
        return Err(unavailable(id, RETRY_AFTER_NO_ROOM, reason));
    };
    let credit = take_credit(state, workspace.as_deref(), timeout, id).await?;
    let waited = state.now().since(received_at);
    let body_timeout = timeout.saturating_sub(waited);
    let body = read_body(state, incoming, body_bytes_max, body_timeout, id).await?;
    let now = state.now();
    let remaining = timeout.saturating_sub(now.since(received_at));
    if let Some(grace) = state.grace.get()
        && !grace.admits(remaining, now)
    {
        let reason = "the router stops before the request may end";
        return Err(unavailable(id, RETRY_AFTER_STOPPING, reason));
    }
    let path = parts.uri.path_and_query().cloned();
    hop::strip_hop_by_hop(&mut parts.headers);
    parts.headers.remove(header::HOST);
    parts.headers.remove(&names.caller);
    parts.headers.remove(&names.expected);
    parts.headers.remove(&names.credential);
    parts.headers.remove(&names.workspace);
    let message = BufferedRequest {
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
    state.record_first_attempt(&service);
    let pending = Pending {
        id: id.to_owned(),
        message,
        host,
        route,
        route_version,
        workspace,
        credit,
        service,
        received_at,
        timeout,
        caller_timeout: deadline,
    };
    Ok((pending, permit))
}

/// Memory that a request uses beside the bytes of its body.
fn buffer_bytes(headers: &HeaderMap, incoming: &Incoming) -> u64 {
    let fields = headers.iter().map(|(n, v)| n.as_str().len() + v.len());
    let head = 2 * fields.sum::<usize>() as u64;
    let is_small = incoming
        .size_hint()
        .exact()
        .is_some_and(|bytes| bytes <= SMALL_BODY_BYTES_MAX);
    let arrival = if is_small { 0 } else { ARRIVAL_BYTES };
    REQUEST_BYTES + head + arrival
}

/// Takes a unit of the allotment of a workspace. An error is the response to the caller.
async fn take_credit(
    state: &Arc<State>,
    workspace: Option<&ActiveWorkspace>,
    timeout: Duration,
    id: &str,
) -> Result<Option<Credit>, Response<Body>> {
    let Some(active) = workspace else {
        return Ok(None);
    };
    let (status, wait, reason) = match allotment::take(state, active, timeout / 2).await {
        Ok(credit) => return Ok(credit),
        Err(allotment::Refusal::Exhausted(wait)) => (
            StatusCode::TOO_MANY_REQUESTS,
            wait,
            "the workspace has used its allotment",
        ),
        Err(allotment::Refusal::NoOwner(wait)) => (
            StatusCode::SERVICE_UNAVAILABLE,
            wait,
            "no registry process grants credit of the workspace",
        ),
    };
    // A workspace may send many times its allotment, so the lines are limited.
    if state.routine_log_quota.allows(state.now()) {
        info!(event = "allotment-refused", request = id, workspace = active.name.as_str(), status = status.as_u16(), retry_after_ms = wait.as_millis() as u64; "request refused: {reason}");
    }
    let wait = format!("{:.3}", wait.as_secs_f64());
    Err(with_retry_after(response(status, reason), &wait))
}

/// Reads the body of a request. An error is the response to the caller.
async fn read_body(
    state: &State,
    incoming: Incoming,
    body_bytes_max: usize,
    timeout: Duration,
    id: &str,
) -> Result<Bytes, Response<Body>> {
    let holder = (&state.memory, Kind::Body);
    match body::collect_within(incoming, body_bytes_max, timeout, holder).await {
        Ok(body) => Ok(body),
        Err(body::Error::Refused(Refusal::NoRoom)) => {
            let reason = "there is no memory for the body";
            Err(unavailable(id, RETRY_AFTER_NO_ROOM, reason))
        }
        Err(body::Error::TooLarge(_)) => {
            let status = StatusCode::PAYLOAD_TOO_LARGE;
            Err(refuse(id, status, "the body is too long"))
        }
        Err(error) => Err(refuse(id, StatusCode::REQUEST_TIMEOUT, &error.to_string())),
    }
}

/// The request has no key, or one that no workspace holds.
struct UnknownKey;

/// Finds the workspace of a request. There is none on a public route and while no workspaces are configured.
fn identify(
    items: &Table,
    rule: &ActiveRoute,
    headers: &HeaderMap,
    names: &Names,
) -> Result<Option<Arc<ActiveWorkspace>>, UnknownKey> {
    if rule.route.public || !items.requires_key() {
        return Ok(None);
    }
    let key = headers.get(&names.credential).ok_or(UnknownKey)?;
    let workspace = items.workspace_of(Digest::of(key.as_bytes()));
    workspace.map(Arc::clone).map(Some).ok_or(UnknownKey)
}

fn without_port(host: &str) -> &str {
    host.rsplit_once(':').map_or(host, |(name, _)| name)
}
