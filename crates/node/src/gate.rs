//! Admission and dispatch at the target, immediately before the local backend server.

use std::sync::Arc;
use std::time::Duration;

use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::Full;
use log::debug;

use crate::claims;
use crate::crash;
use crate::plan::Plan;
use crate::refuse;
use crate::slot;
use crate::slot::Slot;
use crate::state::State;
use shallotrill_backend::failure::Failure;
use shallotrill_backend::head::Head;
use shallotrill_backend::pool::OnSilence;
use shallotrill_backend::response::End;
use shallotrill_limits::ticket;
use shallotrill_model::attempt;
use shallotrill_model::class::Class;
use shallotrill_model::incarnation::Incarnation;
use shallotrill_model::load::Report;
use shallotrill_model::request;
use shallotrill_retry::call::AttemptHeaders;
use shallotrill_retry::containment::Admission;
use shallotrill_retry::containment::SuspectOutcome;
use shallotrill_wire::body;
use shallotrill_wire::body::Body;
use shallotrill_wire::context;
use shallotrill_wire::context::Context;
use shallotrill_wire::load;
use shallotrill_wire::refusal::Code;
use shallotrill_wire::refusal::Refusal;

/// Time after which a duplicate of a suspected request may be retried.
const SUSPECT_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// One attempt as it arrives at the target's node.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    /// Incarnation of the chosen backend server.
    pub(crate) incarnation: Incarnation,
    pub(crate) number: attempt::Number,
    pub(crate) outgoing: AttemptHeaders,
}

/// Runs an attempt at the local backend server.
///
/// # Errors
///
/// Returns a [`Refusal`] that says whether the request can have run.
pub(crate) async fn serve(
    state: &Arc<State>,
    plan: &Arc<Plan>,
    attempt: Attempt,
) -> Result<Response<Body>, Refusal> {
    check_target(state, plan, attempt.incarnation)?;
    let mut suspect = admit_suspect(state, plan)?;
    let slot = slot::admit(state, plan, attempt.incarnation).await?;
    let account = TokenAccount::open(state, plan, attempt.outgoing.tokens);
    let response = match plan.class {
        Class::Idempotent => serve_idempotent(state, plan, slot, attempt).await?,
        Class::NonIdempotent => claims::run(state, plan, slot, attempt).await?,
    };
    if let Some(suspect) = &mut suspect {
        suspect.ending = SuspectOutcome::Survived;
    }
    debug!(
        event = "request-served",
        request = plan.request.to_string().as_str(),
        attempt = attempt.number.0,
        status = response.status().as_u16();
        "the local backend server answered the request"
    );
    let unspent = account.map_or(0, TokenAccount::close);
    let mut response = response.map(|body| body::with_guard(body, suspect));
    let unspent = HeaderValue::from(unspent);
    response.headers_mut().insert(context::TOKENS, unspent);
    Ok(response)
}

/// Current load of the local backend server; `None` without one.
pub(crate) fn load_report(state: &State) -> Option<Report> {
    let now = state.now();
    let mut local = state.local.lock();
    local.server.as_mut().map(|server| server.report(now))
}

/// Adds the load report to a response, for the node that chose this target.
pub(crate) fn attach_load_report(state: &State, response: &mut Response<Body>) {
    if let Some(report) = load_report(state) {
        let headers = response.headers_mut();
        headers.insert(load::LOAD, load::encode(&report));
    }
}

fn check_target(state: &State, plan: &Plan, incarnation: Incarnation) -> Result<(), Refusal> {
    let now = state.now();
    let local = state.local.lock();
    let wrong = |message: &str| Refusal::not_run(Code::WrongTarget, message.to_owned());
    let Some(server) = &local.server else {
        return Err(wrong("no backend server has announced itself to this node"));
    };
    if server.service != plan.service.name {
        return Err(wrong(
            "the backend server of this node serves another service",
        ));
    }
    if server.incarnation.incarnation != incarnation {
        return Err(wrong(
            "the request was sent to another incarnation of the backend server",
        ));
    }
    if local.is_draining(now) {
        return Err(refuse::gate(ticket::Refusal::Draining));
    }
    Ok(())
}

/// Retry tokens of a request at the backend server, for its nested calls; closed on drop.
#[derive(Debug)]
struct TokenAccount {
    state: Arc<State>,
    request: request::Id,
    open: bool,
}

impl TokenAccount {
    fn open(state: &Arc<State>, plan: &Plan, tokens: u32) -> Option<Self> {
        let mut services = state.services.lock();
        let opened = services.ledger.open(plan.request, tokens, plan.deadline);
        opened.then(|| Self {
            state: Arc::clone(state),
            request: plan.request,
            open: true,
        })
    }

    /// Closes the account when the response starts and returns the unspent tokens.
    /// Calls that the backend server makes while it streams the response have no tokens.
    fn close(mut self) -> u32 {
        self.open = false;
        self.state.services.lock().ledger.close(self.request)
    }
}

impl Drop for TokenAccount {
    fn drop(&mut self) {
        if self.open {
            self.state.services.lock().ledger.close(self.request);
        }
    }
}

/// A suspected request in flight; its outcome is recorded on drop.
#[derive(Debug)]
struct Suspect {
    state: Arc<State>,
    plan: Arc<Plan>,
    ending: SuspectOutcome,
}

impl Drop for Suspect {
    fn drop(&mut self) {
        self.state
            .with_service_state(&self.plan.service, |service| {
                service
                    .containment
                    .record_outcome(self.plan.content, self.ending);
            });
    }
}

fn admit_suspect(state: &Arc<State>, plan: &Arc<Plan>) -> Result<Option<Suspect>, Refusal> {
    let now = state.now();
    let admission = state.with_service_state(&plan.service, |service| {
        service.containment.admit(plan.content, now)
    });
    match admission {
        Admission::Run => Ok(None),
        Admission::Isolate => Ok(Some(Suspect {
            state: Arc::clone(state),
            plan: Arc::clone(plan),
            ending: SuspectOutcome::SurvivalUnconfirmed,
        })),
        Admission::Wait => {
            let message =
                "a duplicate of this request is in flight and may crash its backend server";
            let refusal = Refusal::not_run(Code::Overloaded, message.to_owned());
            Err(refusal.retry_after(SUSPECT_RETRY_INTERVAL))
        }
        Admission::Quarantined(until) => {
            let message = format!(
                "this request crashed backend servers and is quarantined; digest {}",
                plan.content
            );
            let refusal = Refusal::not_run(Code::Quarantined, message);
            Err(refusal.retry_after(until.since(now)))
        }
    }
}

async fn serve_idempotent(
    state: &Arc<State>,
    plan: &Arc<Plan>,
    slot: Slot,
    attempt: Attempt,
) -> Result<Response<Body>, Refusal> {
    let timeout = plan.remaining(state.now());
    let mut local_request = BackendRequest::new(slot, attempt.incarnation);
    let result = dispatch(state, plan, &mut local_request, attempt, timeout, &|| true).await;
    match result {
        Ok(head) => Ok(local_request.into_response(state, head)),
        Err(failure) => Err(refuse::backend(&failure)),
    }
}

/// A request to the backend server, which holds a slot until the response ends or the request fails.
#[derive(Debug)]
pub(crate) struct BackendRequest {
    slot: Option<Slot>,
    incarnation: Incarnation,
}

impl BackendRequest {
    pub(crate) const fn new(slot: Slot, incarnation: Incarnation) -> Self {
        Self {
            slot: Some(slot),
            incarnation,
        }
    }

    /// The response, which releases the slot when its body ends.
    pub(crate) fn into_response(mut self, state: &Arc<State>, head: Head) -> Response<Body> {
        let status = head.status();
        let slot = self.slot.take();
        let state = Arc::clone(state);
        let finish = move |end| {
            if let Some(slot) = slot {
                slot.finish(slot_outcome(status, end));
            }
            state.metrics.backend_ended(end);
        };
        head.into_response(Box::new(finish))
    }

    fn fail(&mut self, outcome: ticket::Outcome) {
        if let Some(slot) = self.slot.take() {
            slot.finish(outcome);
        }
    }
}

fn slot_outcome(status: StatusCode, end: End) -> ticket::Outcome {
    match end {
        End::Dropped => ticket::Outcome::Cancelled,
        End::Truncated => ticket::Outcome::Failure,
        End::Complete if is_shedding(status) => ticket::Outcome::Shed,
        End::Complete if status.is_server_error() => ticket::Outcome::Failure,
        End::Complete => ticket::Outcome::Success,
    }
}

/// Whether the status means that the backend server is overloaded.
pub(crate) fn is_shedding(status: StatusCode) -> bool {
    status == StatusCode::SERVICE_UNAVAILABLE || status == StatusCode::TOO_MANY_REQUESTS
}

/// Sends a request to the backend server and waits for the head of its response.
///
/// # Errors
///
/// Returns a [`Failure`]; the slot is then already released with the matching outcome.
pub(crate) async fn dispatch(
    state: &Arc<State>,
    plan: &Arc<Plan>,
    local_request: &mut BackendRequest,
    attempt: Attempt,
    timeout: Duration,
    may_send: &(dyn Fn() -> bool + Send + Sync),
) -> Result<Head, Failure> {
    if let Some(slot) = &mut local_request.slot {
        slot.restart_timer();
    }
    let request = backend_request(plan, attempt, timeout);
    let on_silence = match plan.class {
        Class::Idempotent => OnSilence::GiveUp,
        Class::NonIdempotent => OnSilence::Wait,
    };
    let sending = state
        .backend
        .dispatch_if(request, timeout, on_silence, may_send);
    match sending.await {
        Ok(head) => Ok(head),
        Err(failure) => {
            let lost = matches!(failure, Failure::Lost(_) | Failure::Connect(_));
            let in_flight = if lost {
                crash::record_connection_loss(state)
            } else {
                Vec::new()
            };
            local_request.fail(match failure {
                Failure::Timeout(_) => ticket::Outcome::Timeout,
                Failure::PermissionExpired => ticket::Outcome::Cancelled,
                _ => ticket::Outcome::Failure,
            });
            if lost {
                let state = Arc::clone(state);
                let incarnation = local_request.incarnation;
                let suspecting =
                    async move { crash::check_for_crash(&state, incarnation, in_flight).await };
                tokio::spawn(suspecting);
            }
            Err(failure)
        }
    }
}

fn backend_request(
    plan: &Plan,
    attempt: Attempt,
    timeout: Duration,
) -> Request<Full<bytes::Bytes>> {
    let mut request = Request::new(Full::new(plan.body.clone()));
    *request.method_mut() = plan.method.clone();
    *request.uri_mut() = http::Uri::from(plan.path.clone());
    *request.headers_mut() = plan.headers.clone();
    let context = Context {
        request: plan.request,
        deadline: timeout,
        attempt: attempt.number,
        depth: attempt.outgoing.depth,
        tokens: attempt.outgoing.tokens,
        partner: plan.partner.clone(),
        service: plan.service.name.clone(),
        key: plan.caller_context.key.clone(),
    };
    context.write(request.headers_mut());
    if let Ok(host) = HeaderValue::from_str(plan.service.name.as_str()) {
        request.headers_mut().insert(header::HOST, host);
    }
    request
}
