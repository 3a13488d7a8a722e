//! The attempts of one request: choice, retry, hedge and fence.

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

/// Retry tokens that a call from outside withdraws for the calls nested below it.
const NESTED_TOKENS: u32 = 2;

/// Longest wait for the first targets of a service that this node did not call before.
const TARGETS_WAIT: Duration = Duration::from_secs(2);

/// Runs a request to its answer or refusal.
///
/// # Errors
///
/// Returns a [`Refusal`] that says whether the request can have run.
pub(crate) async fn run(state: &Arc<State>, plan: &Arc<Plan>) -> Result<Response<Body>, Refusal> {
    let mut execution = Execution::new(state, plan)?;
    let result = match execution.run().await {
        Err(refusal) if plan.class == Class::NonIdempotent => {
            resolution::confirm(state, plan, refusal).await
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
    /// Attempts whose connection was lost, as happens when a request crashes its backend server.
    lost: u32,
    steps: Vec<explain::Step>,
}

impl<'request> Execution<'request> {
    fn new(state: &'request Arc<State>, plan: &'request Arc<Plan>) -> Result<Self, Refusal> {
        let call = call(state, plan)?;
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
            lost: 0,
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
                        After::Retry => running.push(self.start().await?),
                        After::Wait => {}
                        After::Settled(response) => return Ok(response),
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

    /// Chooses a target and prepares an attempt at it.
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
        let waited = self.state.now() + self.plan.left(self.state.now()).min(TARGETS_WAIT);
        loop {
            let arrived = self.state.arrived.notified();
            match self.try_choose() {
                Ok(choice) => return Ok(choice),
                Err(ChoiceRefusal::AllExcluded { .. }) if !self.tried.is_empty() => {
                    // Every target was tried once; the best of them may be tried again.
                    self.tried.clear();
                }
                Err(refusal) => {
                    let missing = matches!(
                        refusal,
                        ChoiceRefusal::UnknownService(_) | ChoiceRefusal::NoTargets
                    );
                    let left = waited.since(self.state.now());
                    if !missing || self.state.is_informed(&self.plan.service.name) || left.is_zero()
                    {
                        return Err(refuse::choice(&refusal));
                    }
                    drop(time::timeout(left, arrived).await);
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

    /// When a second attempt would help; whether it may start is decided then.
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
            .budget(&self.plan.service, |budget| budget.latency.p95(now))?;
        Some(self.started + p95)
    }

    /// Whether the hedge that is due may start. Its token was then spent.
    fn hedge(&mut self) -> bool {
        let now = self.state.now();
        let started = self.started;
        let decision = &mut self.decision;
        let decided = self.state.budget(&self.plan.service, |budget| {
            let p95 = budget.latency.p95(now);
            decision::hedge(decision, started, p95, &mut budget.retry, now)
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

    async fn failed(&mut self, mut failed: Failed, in_flight: usize) -> Result<After, Refusal> {
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
                Some(Ok(response)) => return Ok(After::Settled(response)),
                Some(Err(refusal)) => return Err(refusal),
                None => {}
            }
        }
        if failed.refusal.code == Code::ConnectionLost {
            self.lost += 1;
        }
        // Other nodes hear of a crash some milliseconds later, too late for the next attempt of this request.
        if self.lost >= self.plan.service.crash_limit.max(1) {
            return Err(failed.refusal);
        }
        self.decision.in_flight = in_flight as u32;
        let now = self.state.now();
        let failure = Failure {
            kind: failed.kind,
            attempt: failed.attempt.outgoing,
        };
        let decision = &mut self.decision;
        let decided = self.state.budget(&self.plan.service, |budget| {
            decision::decide(decision, &failure, &mut budget.retry, now)
        });
        match decided {
            Decision::Retry { after } => {
                self.state.metrics.retried();
                if self.plan.class == Class::NonIdempotent {
                    let fenced = failed.refusal.fenced.unwrap_or(self.number);
                    self.number = fenced.max(self.number).next();
                }
                time::sleep(after).await;
                Ok(After::Retry)
            }
            Decision::Stop(StopReason::InFlight(_)) => Ok(After::Wait),
            Decision::Stop(stop) => Err(Self::stopped(failed.refusal, stop)),
            Decision::Hedge { .. } => Err(internal("a failure was answered with a hedge")),
        }
    }

    /// Finds out what became of a non-idempotent attempt; returns the outcome if there is one.
    async fn resolve(&self, failed: &mut Failed) -> Option<Result<Response<Body>, Refusal>> {
        if failed.refusal.code == Code::Running {
            return Some(resolution::follow(self.state, self.plan).await);
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
            Resolution::Settled(result) => Some(result),
        }
    }

    fn stopped(mut refusal: Refusal, stop: StopReason) -> Refusal {
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
            at: self.state.clock.wall(),
            steps: std::mem::take(&mut self.steps),
            refusal: result.as_ref().err().cloned(),
        };
        self.state.explain.lock().push(entry);
    }
}

impl Drop for Execution<'_> {
    fn drop(&mut self) {
        let Ok(none) = Call::nested(0, 0) else { return };
        let call = std::mem::replace(&mut self.decision.call, none);
        let unspent = self
            .state
            .budget(&self.plan.service, |budget| call.finish(&mut budget.retry));
        if unspent > 0 {
            let mut budgets = self.state.budgets.lock();
            budgets.ledger.refund(self.plan.request, unspent);
        }
    }
}

/// What follows a failed attempt.
enum After {
    Retry,
    /// Another attempt is in flight and may still answer.
    Wait,
    /// The outcome is known without another attempt.
    Settled(Response<Body>),
}

/// The call with the tokens that it may spend. A nested call draws from what came with its parent.
fn call(state: &State, plan: &Plan) -> Result<Call, Refusal> {
    if plan.caller_context.depth == 0 {
        return Ok(state.budget(&plan.service, |budget| {
            budget.retry.earn();
            Call::entry(&mut budget.retry, NESTED_TOKENS)
        }));
    }
    let asked = plan.caller_context.tokens.unwrap_or(0);
    let tokens = state.budgets.lock().ledger.draw(plan.request, asked);
    state.budget(&plan.service, |budget| budget.retry.earn());
    Call::nested(tokens, plan.caller_context.depth)
        .map_err(|refusal| Refusal::not_run(Code::DepthExceeded, refusal.to_string()))
}

async fn sleep_until(state: &State, at: Option<Instant>) {
    match at {
        Some(at) => time::sleep(at.since(state.now())).await,
        None => std::future::pending().await,
    }
}

fn internal(message: &str) -> Refusal {
    Refusal::unknown(Code::Internal, message.to_owned())
}
