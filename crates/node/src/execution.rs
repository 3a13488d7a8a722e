//! Executes the attempts of one request: target choice, retries, hedges and fences.

use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use http::Response;
use tokio::time;

use crate::attempt;
use crate::attempt::Answered;
use crate::attempt::Attempt;
use crate::attempt::Failed;
use crate::explain;
use crate::plan::Plan;
use crate::refuse;
use crate::resolution;
use crate::resolution::Resolution;
use crate::state::State;
use shallotrill_model::attempt::Number;
use shallotrill_model::class::Class;
use shallotrill_model::instance;
use shallotrill_model::time::Instant;
use shallotrill_retry::call::Call;
use shallotrill_retry::decision;
use shallotrill_retry::decision::Decision;
use shallotrill_retry::decision::Failure;
use shallotrill_retry::decision::StopReason;
use shallotrill_routing::choice::Choice;
use shallotrill_routing::choice::Query;
use shallotrill_routing::choice::Refusal as ChoiceRefusal;
use shallotrill_wire::body::Body;
use shallotrill_wire::context;
use shallotrill_wire::refusal::Code;
use shallotrill_wire::refusal::Refusal;

/// Retry tokens that a call from outside the system withdraws for its nested calls.
const NESTED_TOKENS: u32 = 2;

/// Maximum wait for the targets of a service that this node has not called before.
const TARGETS_WAIT_TIMEOUT: Duration = Duration::from_secs(2);

/// Runs a request until it has a response or a refusal.
///
/// # Errors
///
/// Returns a [`Refusal`] that says whether the request can have run.
pub(crate) async fn run(state: &Arc<State>, plan: &Arc<Plan>) -> Result<Response<Body>, Refusal> {
    let mut execution = Execution::new(state, plan)?;
    let result = match execution.run().await {
        Err(refusal) if plan.class == Class::NonIdempotent => {
            resolution::confirm_not_run(state, plan, refusal).await
        }
        result => result,
    };
    execution.explain(&result);
    result
}

struct Execution<'request> {
    state: &'request Arc<State>,
    plan: &'request Arc<Plan>,
    decision: decision::State,
    tried: Vec<instance::Name>,
    number: Number,
    /// When the attempt in flight started, for the hedge.
    started: Instant,
    hedge_refused: bool,
    /// Number of attempts whose connection was lost, as when a request crashes its backend server.
    connections_lost: u32,
    steps: Vec<explain::Step>,
}

impl<'request> Execution<'request> {
    fn new(state: &'request Arc<State>, plan: &'request Arc<Plan>) -> Result<Self, Refusal> {
        let call = new_call(state, plan)?;
        let decision = decision::State {
            class: plan.class,
            call,
            attempts: 1,
            in_flight: 0,
            hedged: false,
            response_bytes_sent: 0,
            untried_targets: 0,
            deadline: plan.deadline,
            config: decision::Config::default(),
        };
        Ok(Self {
            state,
            plan,
            decision,
            tried: Vec::new(),
            number: plan.caller_context.attempt.unwrap_or(Number::FIRST),
            started: plan.arrived,
            hedge_refused: false,
            connections_lost: 0,
            steps: Vec::new(),
        })
    }

    async fn run(&mut self) -> Result<Response<Body>, Refusal> {
        let mut running = FuturesUnordered::new();
        running.push(self.start().await?);
        loop {
            let hedge_at = self.hedge_at(running.len());
            tokio::select! {
                biased;
                ended = running.next() => match ended {
                    Some(Ok(answered)) => return Ok(self.answered(answered)),
                    Some(Err(failed)) => match self.failed(failed, running.len()).await? {
                        NextStep::Retry => running.push(self.start().await?),
                        NextStep::Wait => {}
                        NextStep::Respond(response) => return Ok(response),
                    },
                    None => return Err(internal("no attempt is in flight")),
                },
                () = sleep_until(self.state, hedge_at) => {
                    if self.hedge() {
                        running.push(self.start().await?);
                    }
                }
            }
        }
    }

    /// Chooses a target and creates the future of an attempt at it.
    async fn start(
        &mut self,
    ) -> Result<impl Future<Output = Result<Answered, Failed>> + Send + use<>, Refusal> {
        let outgoing = self
            .decision
            .call
            .outgoing()
            .map_err(|refusal| Refusal::not_run(Code::DepthExceeded, refusal.to_string()))?;
        let choice = self.choose().await?;
        self.tried.push(choice.instance.clone());
        self.started = self.state.now();
        let choice = Arc::new(choice);
        self.steps.push(explain::Step::Chosen {
            attempt: self.number,
            choice: Arc::clone(&choice),
        });
        let attempt = Attempt {
            number: self.number,
            outgoing,
            choice,
        };
        let state = Arc::clone(self.state);
        let plan = Arc::clone(self.plan);
        Ok(attempt::run(state, plan, attempt))
    }

    async fn choose(&mut self) -> Result<Choice, Refusal> {
        let wait_end = self.state.now()
            + self
                .plan
                .remaining(self.state.now())
                .min(TARGETS_WAIT_TIMEOUT);
        loop {
            let targets_changed = self.state.targets_changed.notified();
            match self.try_choose() {
                Ok(choice) => return Ok(choice),
                Err(ChoiceRefusal::AllExcluded { .. }) if !self.tried.is_empty() => {
                    // Every target was tried once, so all may be chosen again.
                    self.tried.clear();
                }
                Err(refusal) => {
                    let missing = matches!(
                        refusal,
                        ChoiceRefusal::UnknownService(_) | ChoiceRefusal::NoTargets
                    );
                    let remaining = wait_end.since(self.state.now());
                    if !missing
                        || self.state.is_synced(&self.plan.service.name)
                        || remaining.is_zero()
                    {
                        return Err(refuse::choice(&refusal));
                    }
                    drop(time::timeout(remaining, targets_changed).await);
                }
            }
        }
    }

    fn try_choose(&mut self) -> Result<Choice, ChoiceRefusal> {
        let now = self.state.now();
        let query = Query {
            service: &self.plan.service.name,
            exclude: &self.tried,
            priority: self.plan.priority,
        };
        let mut routing = self.state.routing.lock();
        let choice = routing.choose(&query, now, &mut rand::random)?;
        routing.request_started(&choice.instance, now);
        let targets = routing.target_count(&self.plan.service.name);
        self.decision.untried_targets = targets.saturating_sub(self.tried.len() + 1) as u32;
        Ok(choice)
    }

    /// Time at which a hedge is due; `None` if none may start. The retry budget is checked at that time.
    fn hedge_at(&self, in_flight: usize) -> Option<Instant> {
        if in_flight != 1 || self.hedge_refused || self.decision.hedged {
            return None;
        }
        if self.plan.class == Class::NonIdempotent {
            return None;
        }
        let now = self.state.now();
        let p95 = self
            .state
            .with_service_state(&self.plan.service, |service| service.latency.p95(now))?;
        Some(self.started + p95)
    }

    /// Whether the due hedge may start. If so, its retry token is spent.
    fn hedge(&mut self) -> bool {
        let now = self.state.now();
        let started = self.started;
        let decision = &mut self.decision;
        let decided = self
            .state
            .with_service_state(&self.plan.service, |service| {
                let p95 = service.latency.p95(now);
                decision::hedge(decision, started, p95, &mut service.retry_budget, now)
            });
        match decided {
            Decision::Hedge { at } if at <= now => {
                self.state.metrics.hedged();
                true
            }
            Decision::Hedge { .. } => false,
            Decision::Retry { .. } | Decision::Stop(_) => {
                self.hedge_refused = true;
                false
            }
        }
    }

    fn answered(&mut self, mut answered: Answered) -> Response<Body> {
        let unspent = answered.response.headers_mut().remove(context::TOKENS);
        let unspent = unspent.and_then(|tokens| tokens.to_str().ok()?.parse().ok());
        let outgoing = answered.attempt.outgoing;
        self.decision
            .call
            .refund_unspent(outgoing, unspent.unwrap_or(0));
        self.steps.push(explain::Step::Answered {
            instance: answered.attempt.choice.instance.clone(),
            status: answered.response.status().as_u16(),
            after: self.state.now().since(self.plan.arrived),
        });
        answered.response
    }

    async fn failed(&mut self, mut failed: Failed, in_flight: usize) -> Result<NextStep, Refusal> {
        self.steps.push(explain::Step::Failed {
            instance: failed.attempt.choice.instance.clone(),
            refusal: failed.refusal.clone(),
            after: self.state.now().since(self.plan.arrived),
        });
        if failed.refusal.code.is_final() {
            return Err(failed.refusal);
        }
        if self.plan.class == Class::NonIdempotent {
            match self.resolve(&mut failed).await {
                Some(Ok(response)) => return Ok(NextStep::Respond(response)),
                Some(Err(refusal)) => return Err(refusal),
                None => {}
            }
        }
        if failed.refusal.code == Code::ConnectionLost {
            self.connections_lost += 1;
        }
        // Other nodes receive a crash record some milliseconds later, too late to refuse the next attempt of this request.
        if self.connections_lost >= self.plan.service.crash_limit.max(1) {
            return Err(failed.refusal);
        }
        self.decision.in_flight = in_flight as u32;
        let now = self.state.now();
        let failure = Failure {
            kind: failed.kind,
            attempt: failed.attempt.outgoing,
        };
        let decision = &mut self.decision;
        let decided = self
            .state
            .with_service_state(&self.plan.service, |service| {
                decision::decide(decision, &failure, &mut service.retry_budget, now)
            });
        match decided {
            Decision::Retry { after } => {
                self.state.metrics.retried();
                if self.plan.class == Class::NonIdempotent {
                    let fenced = failed.refusal.fenced.unwrap_or(self.number);
                    self.number = fenced.max(self.number).next();
                }
                time::sleep(after).await;
                Ok(NextStep::Retry)
            }
            Decision::Stop(StopReason::InFlight(_)) => Ok(NextStep::Wait),
            Decision::Stop(stop) => Err(Self::stop_refusal(failed.refusal, stop)),
            Decision::Hedge { .. } => Err(internal("the retry decision was a hedge")),
        }
    }

    /// Determines the outcome of a failed non-idempotent attempt; `None` if another attempt may be decided on.
    async fn resolve(&self, failed: &mut Failed) -> Option<Result<Response<Body>, Refusal>> {
        if failed.refusal.code == Code::Running {
            return Some(resolution::wait_for_outcome(self.state, self.plan).await);
        }
        if failed.kind.proves_not_run() || failed.refusal.code == Code::OutcomeUnknown {
            return None;
        }
        match resolution::fence(self.state, self.plan, failed.attempt.number).await {
            Resolution::Fenced(attempt) => {
                failed.kind = decision::FailureKind::Fenced;
                failed.refusal =
                    Refusal::not_run(Code::Fenced, failed.refusal.message.clone()).fenced(attempt);
                None
            }
            Resolution::Decided(result) => Some(result),
        }
    }

    fn stop_refusal(mut refusal: Refusal, stop: StopReason) -> Refusal {
        if let StopReason::Deadline(_) = stop
            && refusal.code == Code::Internal
        {
            refusal.code = Code::DeadlineExceeded;
        }
        refusal.message = format!("{} (no further attempt: {stop:?})", refusal.message);
        refusal
    }

    fn explain(&mut self, result: &Result<Response<Body>, Refusal>) {
        let entry = explain::Entry {
            request: self.plan.request,
            service: self.plan.service.name.clone(),
            partner: self.plan.partner.clone(),
            class: self.plan.class,
            ended_at: self.state.clock.wall(),
            steps: std::mem::take(&mut self.steps),
            refusal: result.as_ref().err().cloned(),
        };
        self.state.explain.lock().push(entry);
    }
}

impl Drop for Execution<'_> {
    fn drop(&mut self) {
        let Ok(zero) = Call::nested(0, 0) else { return };
        let call = std::mem::replace(&mut self.decision.call, zero);
        let unspent = self
            .state
            .with_service_state(&self.plan.service, |service| {
                call.finish(&mut service.retry_budget)
            });
        if unspent > 0 {
            let mut services = self.state.services.lock();
            services.ledger.refund(self.plan.request, unspent);
        }
    }
}

/// Next step after a failed attempt.
enum NextStep {
    Retry,
    /// Another attempt is in flight and may still succeed.
    Wait,
    /// The request has its response without another attempt.
    Respond(Response<Body>),
}

/// Creates the call with its retry tokens. A nested call draws them from the account of its parent request.
fn new_call(state: &State, plan: &Plan) -> Result<Call, Refusal> {
    if plan.caller_context.depth == 0 {
        return Ok(state.with_service_state(&plan.service, |service| {
            service.retry_budget.earn();
            Call::entry(&mut service.retry_budget, NESTED_TOKENS)
        }));
    }
    let requested = plan.caller_context.tokens.unwrap_or(0);
    let tokens = state.services.lock().ledger.draw(plan.request, requested);
    state.with_service_state(&plan.service, |service| service.retry_budget.earn());
    Call::nested(tokens, plan.caller_context.depth)
        .map_err(|refusal| Refusal::not_run(Code::DepthExceeded, refusal.to_string()))
}

async fn sleep_until(state: &State, end: Option<Instant>) {
    match end {
        Some(end) => time::sleep(end.since(state.now())).await,
        None => std::future::pending().await,
    }
}

fn internal(message: &str) -> Refusal {
    Refusal::unknown(Code::Internal, message.to_owned())
}
