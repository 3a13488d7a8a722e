//! One attempt: a request sent to one chosen target, either the local backend server or another node.

use std::sync::Arc;
use std::time::Duration;

use http::HeaderName;
use http::HeaderValue;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;

use crate::gate;
use crate::plan::Plan;
use crate::refuse;
use crate::state::State;
use shallotrill_model::attempt;
use shallotrill_model::class::Class;
use shallotrill_model::instance;
use shallotrill_model::outcome::ExecutionStatus;
use shallotrill_model::time::Instant;
use shallotrill_peer::failure::Failure as PeerFailure;
use shallotrill_retry::call::AttemptHeaders;
use shallotrill_retry::decision::FailureKind;
use shallotrill_routing::choice::Choice;
use shallotrill_routing::sample::Outcome;
use shallotrill_routing::sample::Sample;
use shallotrill_wire::body;
use shallotrill_wire::body::Body;
use shallotrill_wire::context::Context;
use shallotrill_wire::load;
use shallotrill_wire::refusal::Code;
use shallotrill_wire::refusal::Refusal;

/// Header with the incarnation of the backend server that a forwarded request is addressed to.
pub(crate) const INCARNATION: HeaderName = HeaderName::from_static("shallotrill-incarnation");

/// Number, retry tokens and chosen target of one attempt.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) number: attempt::Number,
    pub(crate) outgoing: AttemptHeaders,
    pub(crate) choice: Arc<Choice>,
}

/// An attempt that produced no response for the caller.
#[derive(Debug)]
pub(crate) struct Failed {
    pub(crate) kind: FailureKind,
    pub(crate) attempt: Attempt,
    pub(crate) refusal: Refusal,
}

/// An attempt that the backend server answered.
#[derive(Debug)]
pub(crate) struct Answered {
    pub(crate) attempt: Attempt,
    pub(crate) response: Response<Body>,
}

/// Counts a request of this node as in flight at its target; on drop, ends the count and records the sample in routing.
struct InFlightGuard {
    state: Arc<State>,
    instance: instance::Name,
    sample: Sample,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let now = self.state.now();
        let mut routing = self.state.routing.lock();
        routing.request_finished(&self.instance, self.sample, now);
    }
}

/// Sends a request to the chosen target and waits for the head of the response.
pub(crate) async fn run(
    state: Arc<State>,
    plan: Arc<Plan>,
    attempt: Attempt,
) -> Result<Answered, Failed> {
    let started = state.now();
    let mut guard = InFlightGuard {
        state: Arc::clone(&state),
        instance: attempt.choice.instance.clone(),
        sample: Sample {
            incarnation: attempt.choice.incarnation,
            outcome: Outcome::Cancelled,
            latency: Duration::ZERO,
        },
    };
    let result = if attempt.choice.instance == state.identity.instance {
        send_local(&state, &plan, &attempt).await
    } else {
        send_forwarded(&state, &plan, &attempt, started).await
    };
    let latency = state.now().since(started);
    guard.sample.latency = latency;
    match result {
        Ok(response) => {
            let status = response.status();
            guard.sample.outcome = if status.is_server_error() {
                Outcome::Failure
            } else {
                Outcome::Success
            };
            if gate::is_shedding(status) && plan.class == Class::Idempotent {
                return Err(shed_failure(&response, attempt));
            }
            if guard.sample.outcome == Outcome::Success {
                let now = state.now();
                state.with_service_state(&plan.service, |service| {
                    service.latency.record(latency, now);
                });
            }
            let response = response.map(|body| body::with_guard(body, guard));
            Ok(Answered { attempt, response })
        }
        Err((kind, refusal)) => {
            guard.sample.outcome = match kind {
                FailureKind::Refused | FailureKind::Fenced | FailureKind::Quarantined => {
                    Outcome::Refused
                }
                // A recorded outcome of an earlier attempt is no evidence about this target.
                _ if refusal.code.is_recorded() => Outcome::Refused,
                _ => Outcome::Failure,
            };
            Err(Failed {
                kind,
                attempt,
                refusal,
            })
        }
    }
}

fn shed_failure(response: &Response<Body>, attempt: Attempt) -> Failed {
    let after = response
        .headers()
        .get(http::header::RETRY_AFTER)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.parse().ok())
        .map(Duration::from_secs);
    let message = format!(
        "the backend server shed the request with status {}",
        response.status()
    );
    let refusal = Refusal::unknown(Code::Overloaded, message);
    Failed {
        kind: FailureKind::Shedding(after),
        attempt,
        refusal: match after {
            Some(after) => refusal.retry_after(after),
            None => refusal,
        },
    }
}

async fn send_local(
    state: &Arc<State>,
    plan: &Arc<Plan>,
    attempt: &Attempt,
) -> Result<Response<Body>, (FailureKind, Refusal)> {
    let served = gate::serve(state, plan, gate_attempt(attempt)).await;
    if let Some(report) = gate::load_report(state) {
        let now = state.now();
        let mut routing = state.routing.lock();
        routing.apply_report(&attempt.choice.instance, report, now);
    }
    served.map_err(|refusal| (failure_kind(&refusal), refusal))
}

fn gate_attempt(attempt: &Attempt) -> gate::Attempt {
    gate::Attempt {
        incarnation: attempt.choice.incarnation,
        number: attempt.number,
        outgoing: attempt.outgoing,
    }
}

async fn send_forwarded(
    state: &Arc<State>,
    plan: &Arc<Plan>,
    attempt: &Attempt,
    started: Instant,
) -> Result<Response<Body>, (FailureKind, Refusal)> {
    let request = forward_request(plan, attempt, started);
    let timeout = plan.remaining(started);
    let address = attempt.choice.address;
    let sent = state.peers.send(address, request, timeout, started).await;
    let response = sent.map_err(|failure| {
        let kind = match &failure {
            PeerFailure::Connect { .. } => FailureKind::Unopened,
            PeerFailure::NotSent { .. } => FailureKind::Unsent,
            PeerFailure::Lost { .. } | PeerFailure::InvalidStatus { .. } => FailureKind::Lost,
            PeerFailure::Timeout { .. } => FailureKind::Timeout,
        };
        (kind, refuse::peer(&failure))
    })?;
    apply_load_report(state, attempt, &response);
    match Refusal::read(response.headers()) {
        // A stored response without its body still answers the request.
        Some(refusal) if refusal.code != Code::AnswerNotStored => {
            Err((failure_kind(&refusal), refusal))
        }
        _ => Ok(response.map(response_body)),
    }
}

fn response_body(incoming: Incoming) -> Body {
    incoming
        .map_err(|error| body::Error::Truncated(Box::new(error)))
        .boxed_unsync()
}

fn apply_load_report(state: &State, attempt: &Attempt, response: &Response<Incoming>) {
    let report = response.headers().get(load::LOAD).map(load::decode);
    if let Some(Ok(report)) = report {
        let now = state.now();
        let mut routing = state.routing.lock();
        routing.apply_report(&attempt.choice.instance, report, now);
    }
}

/// Failure kind that a refusal by the target's node proves.
fn failure_kind(refusal: &Refusal) -> FailureKind {
    match (refusal.code, refusal.run) {
        (Code::Quarantined, _) => FailureKind::Quarantined,
        (Code::Fenced, ExecutionStatus::NotRun) => FailureKind::Fenced,
        (Code::ConnectFailed, ExecutionStatus::NotRun) => FailureKind::Unopened,
        (_, ExecutionStatus::NotRun) => FailureKind::Refused,
        (Code::DeadlineExceeded, _) => FailureKind::Timeout,
        (Code::AnswerInvalid, _) => FailureKind::Short,
        _ => FailureKind::Lost,
    }
}

fn forward_request(plan: &Plan, attempt: &Attempt, now: Instant) -> Request<Full<bytes::Bytes>> {
    let mut request = Request::new(Full::new(plan.body.clone()));
    *request.method_mut() = plan.method.clone();
    *request.headers_mut() = plan.headers.clone();
    let mut uri = http::uri::Parts::default();
    uri.scheme = Some(http::uri::Scheme::HTTP);
    uri.authority = plan.service.name.as_str().parse().ok();
    uri.path_and_query = Some(plan.path.clone());
    if let Ok(uri) = http::Uri::from_parts(uri) {
        *request.uri_mut() = uri;
    }
    let headers = request.headers_mut();
    headers.remove(http::header::HOST);
    let context = Context {
        request: plan.request,
        deadline: plan.remaining(now),
        attempt: attempt.number,
        depth: attempt.outgoing.depth,
        tokens: attempt.outgoing.tokens,
        partner: plan.partner.clone(),
        service: plan.service.name.clone(),
        key: plan.caller_context.key.clone(),
    };
    context.write(headers);
    let incarnation = HeaderValue::from(attempt.choice.incarnation.0);
    headers.insert(INCARNATION, incarnation);
    request
}
