//! Admission and dispatch at the target: the last gate before the backend server.

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
use shallotrill_retry::call::Outgoing;
use shallotrill_retry::containment::Admission;
use shallotrill_retry::containment::SuspectOutcome;
use shallotrill_wire::body;
use shallotrill_wire::body::Body;
use shallotrill_wire::context;
use shallotrill_wire::context::Context;
use shallotrill_wire::load;
use shallotrill_wire::refusal::Code;
use shallotrill_wire::refusal::Refusal;

/// When a copy of a suspected request may be tried again.
const SUSPECT_RETRY: Duration = Duration::from_secs(1);

/// One attempt as it arrives at the target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    /// Life of the backend server that was chosen.
    pub(crate) incarnation: Incarnation,
    pub(crate) number: attempt::Number,
    pub(crate) outgoing: Outgoing,
}

/// Runs an attempt at the backend server beside this node.
///
/// # Errors
///
/// Returns a [`Refusal`] that says whether the request can have run.
pub(crate) async fn serve(
    state: &Arc<State>,
    plan: &Arc<Plan>,
    attempt: Attempt,
) -> Result<Response<Body>, Refusal> {
    check(state, plan, attempt.incarnation)?;
    let mut suspect = admit_suspect(state, plan)?;
    let slot = slot::admit(state, plan, attempt.incarnation).await?;
    let account = Account::open(state, plan, attempt.outgoing.tokens);
    let response = match plan.class {
        Class::Idempotent => repeatable(state, plan, slot, attempt).await?,
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
        "the backend server here answered"
    );
    let unspent = account.map_or(0, Account::close);
    let mut response = response.map(|body| body::with_guard(body, suspect));
    let unspent = HeaderValue::from(unspent);
    response.headers_mut().insert(context::TOKENS, unspent);
    Ok(response)
}

/// The present load of the backend server, for the answer to whoever chose it.
pub(crate) fn report(state: &State) -> Option<Report> {
    let now = state.now();
    let mut local = state.local.lock();
    local.server.as_mut().map(|server| server.report(now))
}

/// Puts the load report on an answer.
pub(crate) fn attach_report(state: &State, response: &mut Response<Body>) {
    if let Some(report) = report(state) {
        let headers = response.headers_mut();
        headers.insert(load::LOAD, load::encode(&report));
    }
}

fn check(state: &State, plan: &Plan, incarnation: Incarnation) -> Result<(), Refusal> {
    let now = state.now();
    let local = state.local.lock();
    let wrong = |message: &str| Refusal::not_run(Code::WrongTarget, message.to_owned());
    let Some(server) = &local.server else {
        return Err(wrong("no backend server has announced itself here"));
    };
    if server.service != plan.service.name {
        return Err(wrong("the backend server here serves another service"));
    }
    if server.life.incarnation != incarnation {
        return Err(wrong("the backend server was restarted"));
    }
    if local.is_draining(now) {
        return Err(refuse::gate(ticket::Refusal::Draining));
    }
    Ok(())
}

/// The retry tokens of a request at the backend server, for its nested calls; closed on drop.
#[derive(Debug)]
struct Account {
    state: Arc<State>,
    request: request::Id,
    open: bool,
}

impl Account {
    fn open(state: &Arc<State>, plan: &Plan, tokens: u32) -> Option<Self> {
        let mut budgets = state.budgets.lock();
        let opened = budgets.ledger.open(plan.request, tokens, plan.deadline);
        opened.then(|| Self {
            state: Arc::clone(state),
            request: plan.request,
            open: true,
        })
    }

    /// Closes the account when the answer starts and returns what it left unspent.
    /// Calls that the backend server makes while it streams the answer have no tokens.
    fn close(mut self) -> u32 {
        self.open = false;
        self.state.budgets.lock().ledger.close(self.request)
    }
}

impl Drop for Account {
    fn drop(&mut self) {
        if self.open {
            self.state.budgets.lock().ledger.close(self.request);
        }
    }
}

/// A suspected request in flight; its end is noted on drop.
#[derive(Debug)]
struct Suspect {
    state: Arc<State>,
    plan: Arc<Plan>,
    ending: SuspectOutcome,
}

impl Drop for Suspect {
    fn drop(&mut self) {
        self.state.budget(&self.plan.service, |budget| {
            budget
                .containment
                .record_outcome(self.plan.content, self.ending);
        });
    }
}

fn admit_suspect(state: &Arc<State>, plan: &Arc<Plan>) -> Result<Option<Suspect>, Refusal> {
    let now = state.now();
    let admission = state.budget(&plan.service, |budget| {
        budget.containment.admit(plan.content, now)
    });
    match admission {
        Admission::Run => Ok(None),
        Admission::Isolate => Ok(Some(Suspect {
            state: Arc::clone(state),
            plan: Arc::clone(plan),
            ending: SuspectOutcome::Unknown,
        })),
        Admission::Wait => {
            let message = "a copy of this request is in flight and may crash its backend server";
            let refusal = Refusal::not_run(Code::Overloaded, message.to_owned());
            Err(refusal.retry_after(SUSPECT_RETRY))
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

async fn repeatable(
    state: &Arc<State>,
    plan: &Arc<Plan>,
    slot: Slot,
    attempt: Attempt,
) -> Result<Response<Body>, Refusal> {
    let limit = plan.left(state.now());
    let mut sent = Sent::new(slot, attempt.incarnation);
    let result = dispatch(state, plan, &mut sent, attempt, limit, &|| true).await;
    match result {
        Ok(head) => Ok(sent.answer(state, head)),
        Err(failure) => Err(refuse::backend(&failure)),
    }
}

/// A request that holds a slot and was or will be sent.
#[derive(Debug)]
pub(crate) struct Sent {
    slot: Option<Slot>,
    incarnation: Incarnation,
}

impl Sent {
    pub(crate) const fn new(slot: Slot, incarnation: Incarnation) -> Self {
        Self {
            slot: Some(slot),
            incarnation,
        }
    }

    /// The answer, which gives the slot back when its body ends.
    pub(crate) fn answer(mut self, state: &Arc<State>, head: Head) -> Response<Body> {
        let status = head.status();
        let slot = self.slot.take();
        let state = Arc::clone(state);
        let finish = move |end| {
            if let Some(slot) = slot {
                slot.finish(outcome(status, end));
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

fn outcome(status: StatusCode, end: End) -> ticket::Outcome {
    match end {
        End::Dropped => ticket::Outcome::Cancelled,
        End::Truncated => ticket::Outcome::Failure,
        End::Complete if is_shedding(status) => ticket::Outcome::Shed,
        End::Complete if status.is_server_error() => ticket::Outcome::Failure,
        End::Complete => ticket::Outcome::Success,
    }
}

/// Whether the backend server says that it has too much work.
pub(crate) fn is_shedding(status: StatusCode) -> bool {
    status == StatusCode::SERVICE_UNAVAILABLE || status == StatusCode::TOO_MANY_REQUESTS
}

/// Sends a request to the backend server and waits for the head of its answer.
///
/// # Errors
///
/// Returns a [`Failure`]; the slot was then given back with what it means for the limit.
pub(crate) async fn dispatch(
    state: &Arc<State>,
    plan: &Arc<Plan>,
    sent: &mut Sent,
    attempt: Attempt,
    limit: Duration,
    may_send: &(dyn Fn() -> bool + Send + Sync),
) -> Result<Head, Failure> {
    if let Some(slot) = &mut sent.slot {
        slot.dispatching();
    }
    let request = request(plan, attempt, limit);
    let on_silence = match plan.class {
        Class::Idempotent => OnSilence::GiveUp,
        Class::NonIdempotent => OnSilence::Wait,
    };
    let sending = state
        .backend
        .dispatch_if(request, limit, on_silence, may_send);
    match sending.await {
        Ok(head) => Ok(head),
        Err(failure) => {
            let lost = matches!(failure, Failure::Lost(_) | Failure::Connect(_));
            let in_flight = if lost {
                crash::connection_lost(state)
            } else {
                Vec::new()
            };
            sent.fail(match failure {
                Failure::Timeout(_) => ticket::Outcome::Timeout,
                Failure::PermissionExpired => ticket::Outcome::Cancelled,
                _ => ticket::Outcome::Failure,
            });
            if lost {
                let state = Arc::clone(state);
                let incarnation = sent.incarnation;
                let suspecting =
                    async move { crash::suspect(&state, incarnation, in_flight).await };
                tokio::spawn(suspecting);
            }
            Err(failure)
        }
    }
}

fn request(plan: &Plan, attempt: Attempt, limit: Duration) -> Request<Full<bytes::Bytes>> {
    let mut request = Request::new(Full::new(plan.body.clone()));
    *request.method_mut() = plan.method.clone();
    *request.uri_mut() = http::Uri::from(plan.path.clone());
    *request.headers_mut() = plan.headers.clone();
    let context = Context {
        request: plan.request,
        deadline: limit,
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
