//! Executes an accepted request: its attempts at targets and the final response.

use std::sync::Arc;
use std::time::Duration;

use http::Response;
use http::StatusCode;
use log::info;
use rand::Rng;

use crate::allotment::Credit;
use crate::attempt;
use crate::evacuation;
use crate::forwarded::Denial;
use crate::forwarded::Forwarded;
use crate::forwarded::Workspace;
use crate::outlook;
use crate::refusal::refuse;
use crate::refusal::unavailable;
use crate::second;
use crate::second::Raced;
use crate::serve::BufferedRequest;
use crate::state::State;
use shallotrill_items::route::Route;
use shallotrill_items::table::ActiveWorkspace;
use shallotrill_limits::outlook::Room;
use shallotrill_model::class::Class;
use shallotrill_model::instance;
use shallotrill_model::service;
use shallotrill_model::time::Instant;
use shallotrill_retry::after;
use shallotrill_retry::second as second_attempt;
use shallotrill_routing::choice::Choice;
use shallotrill_routing::choice::Query;
use shallotrill_wire::body::Body;

/// Maximum number of refusals by gates before a request is refused.
const GATE_REFUSALS_MAX: u32 = 3;

/// Maximum number of unreachable targets that a request tries. Higher than [`GATE_REFUSALS_MAX`]: an
/// unreachable target fails at once and does not indicate the load of the other targets. When half of
/// the routers are killed at once, three unreachable targets in a row are common.
const UNREACHABLE_TARGETS_MAX: u32 = 8;

/// Share of the remaining time that a request may wait for a slot.
const SLOT_WAIT_SHARE: f64 = 0.6;

/// A request with less remaining time than this is not sent.
const REMAINING_MIN: Duration = Duration::from_millis(5);

/// A request of a caller while its attempts are made.
pub(crate) struct Pending {
    pub(crate) id: String,
    pub(crate) message: BufferedRequest,
    pub(crate) host: Box<str>,
    pub(crate) route: Arc<Route>,
    pub(crate) route_version: u64,
    pub(crate) workspace: Option<Arc<ActiveWorkspace>>,
    /// Unit of the allotment of the workspace; `None` without an allotment.
    pub(crate) credit: Option<Credit>,
    pub(crate) service: service::Name,
    pub(crate) received_at: Instant,
    pub(crate) timeout: Duration,
    /// Time for which the caller waits; longer than the timeout when the route's timeout is shorter.
    pub(crate) caller_timeout: Duration,
}

/// State of a request across its attempts.
#[derive(Default)]
struct Progress {
    tried: Vec<instance::Name>,
    /// Those of them that received the request. None receives it again: a response that a backend
    /// server repeats late would be taken for the response to the second sending.
    reached: Vec<instance::Name>,
    gate_refusals: u32,
    unreachable: u32,
    /// Set when no untried target is left and at least one gate refused the request: the targets are
    /// tried again, and the next one has to accept it also when it is slow.
    second_round: bool,
    arrivals: u32,
    /// The last denial. `may_have_run` is set once a denial leaves open whether the request ran.
    last_denial: Option<Denial>,
    may_have_run: bool,
    /// When targets will have room, if the request is refused because they state that they have none.
    room: Option<Room>,
    /// The last server error that a backend server has returned.
    error_response: Option<Response<Body>>,
}

pub(crate) async fn run(state: &Arc<State>, pending: &Pending) -> Response<Body> {
    let mut progress = Progress::default();
    loop {
        let remaining = pending
            .timeout
            .saturating_sub(state.now().since(pending.received_at));
        if remaining < REMAINING_MIN {
            return give_up(state, pending, progress, remaining);
        }
        if progress.arrivals == 0
            && let Err(room) = outlook::check(
                state,
                &pending.id,
                &room_request(state, pending, &progress, remaining),
            )
        {
            progress.room = Some(room);
            return give_up(state, pending, progress, remaining);
        }
        let Some(choice) = choose(state, pending, &progress.tried, remaining) else {
            if progress.gate_refusals > 0 && !progress.second_round {
                progress.second_round = true;
                progress.tried.clone_from(&progress.reached);
                continue;
            }
            return give_up(state, pending, progress, remaining);
        };
        if progress.arrivals > 0 && !state.try_spend_retry_token(&pending.service) {
            cancel(state, &choice);
            return give_up(state, pending, progress, remaining);
        }
        if let Some(credit) = &pending.credit {
            credit.record_use();
        }
        let raced = send(state, pending, Earlier::of(&progress), choice, remaining).await;
        let (sent, choice) = (raced.sent, raced.choice);
        if let Some((other, denial)) = raced.other {
            progress.record_other(other, denial);
        }
        match sent {
            Ok(response) if !may_retry(pending, &progress, &response) => {
                log_response(state, pending, &choice, &progress, response.status());
                return response;
            }
            Ok(response) => {
                log_retry(pending, &choice, response.status());
                progress.arrivals += 1;
                progress.reached.push(choice.instance.clone());
                progress.may_have_run = true;
                progress.error_response = Some(response);
            }
            Err(denial) => {
                state.metrics.record_denial(denial);
                log_denial(state, pending, &choice, denial, remaining);
                match denial {
                    Denial::Unreachable => progress.unreachable += 1,
                    _ if denial.has_arrived() => {
                        progress.arrivals += 1;
                        progress.reached.push(choice.instance.clone());
                    }
                    _ => progress.gate_refusals += 1,
                }
                progress.may_have_run |= !denial.is_not_run();
                progress.last_denial = Some(denial);
                if !may_try_another(pending, &progress) {
                    let remaining = pending
                        .timeout
                        .saturating_sub(state.now().since(pending.received_at));
                    return give_up(state, pending, progress, remaining);
                }
            }
        }
        progress.tried.push(choice.instance);
    }
}

/// The request as the statements of targets are compared with it.
fn room_request<'request>(
    state: &State,
    pending: &'request Pending,
    progress: &Progress,
    remaining: Duration,
) -> outlook::Pending<'request> {
    outlook::Pending {
        service: &pending.service,
        workspace_priority: pending.workspace.as_ref().map(|w| w.workspace.priority),
        priority: pending.route.priority,
        objective: pending.route.objective,
        start_within: start_within(state, pending, remaining),
        remaining,
        is_first: progress.tried.is_empty() && !progress.second_round,
    }
}

/// Time within which a request must start to meet its objective, and with it most of its value.
fn start_within(state: &State, pending: &Pending, remaining: Duration) -> Duration {
    let elapsed = state.now().since(pending.received_at);
    let objective_remaining = pending.route.objective.saturating_sub(elapsed);
    objective_remaining.min(remaining).mul_f64(SLOT_WAIT_SHARE)
}

/// What the next attempt depends on. Unlike [`Progress`], it has no response, which cannot be shared across threads.
struct Earlier {
    tried: Vec<instance::Name>,
    arrivals: u32,
    last_gate: bool,
}

impl Earlier {
    fn of(progress: &Progress) -> Self {
        Self {
            tried: progress.tried.clone(),
            arrivals: progress.arrivals,
            last_gate: progress.second_round || progress.gate_refusals + 1 >= GATE_REFUSALS_MAX,
        }
    }
}

impl Progress {
    /// Records the attempt that did not decide a race.
    fn record_other(&mut self, choice: Choice, denial: Option<Denial>) {
        if denial.is_none_or(Denial::has_arrived) {
            self.arrivals += 1;
            self.reached.push(choice.instance.clone());
        }
        self.may_have_run |= !denial.is_some_and(Denial::is_not_run);
        self.tried.push(choice.instance);
    }
}

/// Sends an attempt, and a second one if it is slow and a second one is allowed.
async fn send(
    state: &Arc<State>,
    pending: &Pending,
    earlier: Earlier,
    choice: Choice,
    remaining: Duration,
) -> Raced {
    let last_gate = earlier.last_gate;
    let started = state.now();
    let attempt = |choice: Choice| async move {
        let remaining = remaining.saturating_sub(state.now().since(started));
        let forwarded = forwarded(state, pending, &choice, last_gate, remaining);
        attempt::send(state, pending.message.clone(), &forwarded, &choice).await
    };
    // An attempt counts towards the allotment of its workspace, from which a second one takes no credit.
    let allotted = pending.workspace.as_ref();
    let allotted = allotted.is_some_and(|active| active.workspace.allotment.is_some());
    if !second::is_enabled(state) || pending.route.class != Class::Idempotent || allotted {
        return Raced {
            sent: attempt(choice.clone()).await,
            choice,
            other: None,
        };
    }
    let mut tried = earlier.tried;
    tried.push(choice.instance.clone());
    let targets = state.routing.lock().target_count(&pending.service);
    let raced = second::Pending {
        id: &pending.id,
        service: &pending.service,
        request: second_attempt::Request {
            class: pending.route.class,
            attempts: earlier.arrivals + 1,
            attempts_max: pending.route.attempts,
            untried_targets: targets.saturating_sub(tried.len()) as u32,
            deadline: started + remaining,
        },
    };
    let choose = || {
        let remaining = remaining.saturating_sub(state.now().since(started));
        choose(state, pending, &tried, remaining)
    };
    let first = (choice.clone(), attempt(choice));
    second::race(state, &raced, first, choose, attempt).await
}

fn choose(
    state: &State,
    pending: &Pending,
    exclude: &[instance::Name],
    remaining: Duration,
) -> Option<Choice> {
    let now = state.now();
    let query = Query {
        service: &pending.service,
        exclude,
        // Only a request that can be retried is sent to a failing target.
        priority: u8::from(pending.route.class == Class::NonIdempotent),
    };
    let mut random = || rand::rng().next_u64();
    let wait_max = remaining.mul_f64(SLOT_WAIT_SHARE);
    let mut routing = state.routing.lock();
    let wait = routing.excessive_cold_wait(&pending.service, exclude, wait_max, now, &mut random);
    if let Some(wait) = wait {
        drop(routing);
        state.metrics.cold_refusals.inc();
        if state.routine_log_quota.allows(now) {
            info!(event = "service-cold", request = pending.id.as_str(), service = pending.service.as_str(), wait_ms = wait.as_millis() as u64; "all targets of the service are cold and too busy");
        }
        return None;
    }
    match routing.choose(&query, now, &mut random) {
        Ok(choice) => {
            routing.request_started(&choice.instance, now);
            Some(choice)
        }
        Err(refusal) => {
            drop(routing);
            evacuation::report(state, &pending.service, &refusal);
            info!(event = "no-target", request = pending.id.as_str(), service = pending.service.as_str(); "no target can be chosen: {refusal}");
            None
        }
    }
}

/// Records in the routing table that an attempt whose start is recorded is not made.
pub(crate) fn cancel(state: &State, choice: &Choice) {
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
    pending: &Pending,
    choice: &Choice,
    last_gate: bool,
    remaining: Duration,
) -> Forwarded {
    Forwarded {
        instance: choice.instance.clone(),
        incarnation: choice.incarnation,
        service: pending.service.clone(),
        caller: state.settings.service.clone(),
        workspace: pending.workspace.as_ref().map(|active| Workspace {
            name: active.name.clone(),
            priority: active.workspace.priority,
        }),
        remaining,
        start_within: start_within(state, pending, remaining),
        objective: pending.route.objective,
        priority: pending.route.priority,
        class: pending.route.class,
        last_gate,
        host: pending.host.clone(),
    }
}

/// Whether a request may be retried after a server error of the backend server.
fn may_retry(pending: &Pending, progress: &Progress, response: &Response<Body>) -> bool {
    response.status().is_server_error()
        && pending.route.class == Class::Idempotent
        && progress.arrivals + 1 < pending.route.attempts
}

/// Whether a denied request may be sent to another target.
fn may_try_another(pending: &Pending, progress: &Progress) -> bool {
    let allowed = pending.route.class == Class::Idempotent || !progress.may_have_run;
    allowed
        && progress.arrivals < pending.route.attempts
        && progress.gate_refusals < GATE_REFUSALS_MAX
        && progress.unreachable < UNREACHABLE_TARGETS_MAX
}

/// Formats the estimate that decided a choice, for the log.
fn describe(choice: &Choice) -> String {
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
        "score {:.0}, {:.1} requests ahead with a limit of {}, latency {:.0} us, wait {:.0} us, failure rate {:.2}, load report {age} ms old, {} candidates",
        chosen.score,
        estimate.requests_ahead,
        estimate.limit,
        estimate.latency_us,
        estimate.wait_us,
        estimate.failure_rate,
        choice.candidates.len()
    )
}

fn log_denial(
    state: &State,
    pending: &Pending,
    choice: &Choice,
    denial: Denial,
    remaining: Duration,
) {
    // Refusals by full and slow targets are frequent under load, so their lines are limited; the
    // final response of a request that follows them is always logged.
    let frequent = matches!(denial, Denial::Busy | Denial::Slow);
    if frequent && !state.routine_log_quota.allows(state.now()) {
        return;
    }
    info!(
        event = "attempt-denied",
        request = pending.id.as_str(),
        service = pending.service.as_str(),
        instance = choice.instance.as_str(),
        denial = denial.as_str(),
        priority = pending.route.priority,
        objective_ms = pending.route.objective.as_millis() as u64,
        left_ms = remaining.as_millis() as u64;
        "target chosen by: {}", describe(choice)
    );
}

fn log_retry(pending: &Pending, choice: &Choice, status: StatusCode) {
    info!(
        event = "attempt-repeated",
        request = pending.id.as_str(),
        service = pending.service.as_str(),
        instance = choice.instance.as_str(),
        status = status.as_u16();
        "target chosen by: {}", describe(choice)
    );
}

fn log_response(
    state: &State,
    pending: &Pending,
    choice: &Choice,
    progress: &Progress,
    status: StatusCode,
) {
    let now = state.now();
    let is_routine =
        status.is_success() && progress.last_denial.is_none() && progress.error_response.is_none();
    if is_routine && !state.routine_log_quota.allows(now) {
        return;
    }
    info!(
        event = "request-answered",
        request = pending.id.as_str(),
        service = pending.service.as_str(),
        route_version = pending.route_version,
        instance = choice.instance.as_str(),
        status = status.as_u16(),
        tries = progress.tried.len() + 1,
        took_ms = now.since(pending.received_at).as_millis() as u64;
        "target chosen by: {}", describe(choice)
    );
}

/// Returns the final response of a request that is not retried.
fn give_up(
    state: &State,
    pending: &Pending,
    progress: Progress,
    remaining: Duration,
) -> Response<Body> {
    if let Some(response) = progress.error_response {
        return response;
    }
    let otherwise = progress.room.map_or("no target", |_| "no room");
    let reason = progress.last_denial.map_or(otherwise, Denial::as_str);
    info!(
        event = "request-given-up",
        request = pending.id.as_str(),
        service = pending.service.as_str(),
        route_version = pending.route_version,
        last = reason,
        refused_by_gates = progress.gate_refusals,
        unreachable = progress.unreachable,
        arrivals = progress.arrivals,
        may_have_run = progress.may_have_run,
        targets = state.routing.lock().target_count(&pending.service),
        left_ms = remaining.as_millis() as u64,
        took_ms = state.now().since(pending.received_at).as_millis() as u64;
        "request failed after its last attempt: {reason}"
    );
    if !progress.may_have_run {
        if let Some(credit) = &pending.credit {
            credit.release();
        }
        let refused = after::Refused {
            elapsed: state.now().since(pending.received_at),
            objective: pending.route.objective,
            limit: pending.caller_timeout,
        };
        let room = progress.room.unwrap_or_else(|| {
            if progress.gate_refusals == 0 {
                return Room::default();
            }
            outlook::refused_by_gates(state, &room_request(state, pending, &progress, remaining))
        });
        let (random, Room { after, spread }) = (rand::random(), room);
        let wait = after::retry_after_room(refused, after, spread, random);
        return unavailable(&pending.id, &format!("{:.3}", wait.as_secs_f64()), reason);
    }
    let status = if remaining < REMAINING_MIN || progress.last_denial == Some(Denial::Timeout) {
        StatusCode::GATEWAY_TIMEOUT
    } else {
        StatusCode::BAD_GATEWAY
    };
    refuse(&pending.id, status, reason)
}
