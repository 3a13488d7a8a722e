//! Second attempts for the slowest responses: the race between two attempts of one request.

use std::pin::pin;
use std::time::Duration;

use http::Response;
use log::info;
use tokio::time;

use crate::forwarded::Denial;
use crate::state::State;
use shallotrill_model::service;
use shallotrill_model::time::Instant;
use shallotrill_retry::decision::Decision;
use shallotrill_retry::second::Request;
use shallotrill_retry::second::Service;
use shallotrill_routing::choice::Choice;
use shallotrill_wire::body::Body;

/// Result of an attempt.
pub type Sent = Result<Response<Body>, Denial>;

/// Response times and second attempts by service, sorted by its name.
#[derive(Clone, Debug, Default)]
pub struct Table {
    services: Vec<(service::Name, Service)>,
}

impl Table {
    /// The response times and second attempts of `service`.
    pub fn of(&mut self, service: &service::Name, permille: u32, now: Instant) -> &mut Service {
        let index = self
            .services
            .binary_search_by(|(name, _)| name.cmp(service))
            .unwrap_or_else(|index| {
                let entry = (service.clone(), Service::new(permille, now));
                self.services.insert(index, entry);
                index
            });
        &mut self.services[index].1
    }
}

/// A request whose first attempt is sent.
#[derive(Clone, Copy, Debug)]
pub struct Pending<'request> {
    /// Id of the request.
    pub id: &'request str,
    /// Service that it is for.
    pub service: &'request service::Name,
    /// What the decision depends on.
    pub request: Request,
}

/// Outcome of a race.
#[derive(Debug)]
pub struct Raced {
    /// Result of the attempt that decided the race.
    pub sent: Sent,
    /// Target of that attempt.
    pub choice: Choice,
    /// The other attempt, if there was one; without a denial it was cancelled or its backend server failed.
    pub other: Option<(Choice, Option<Denial>)>,
}

/// Whether second attempts are made at all.
pub const fn is_enabled(state: &State) -> bool {
    state.settings.second_attempt_permille > 0
}

/// Waits for the first attempt, and makes a second one when it is slow. `choose` chooses the target of the second
/// attempt, and `start` sends it. The attempt that does not decide the race is dropped, which cancels it at its target.
pub async fn race<F: Future<Output = Sent>>(
    state: &State,
    pending: &Pending<'_>,
    (choice, first): (Choice, F),
    choose: impl FnOnce() -> Option<Choice>,
    start: impl FnOnce(Choice) -> F,
) -> Raced {
    let started = state.now();
    let mut first = pin!(first);
    let alone = |sent, choice| Raced {
        sent,
        choice,
        other: None,
    };
    let decided = with(state, pending, |service, now| {
        service.record_request();
        service.decide(&pending.request, started, now)
    });
    let Decision::Hedge { at } = decided else {
        let sent = first.await;
        record(state, pending, started, &sent);
        return alone(sent, choice);
    };
    let delay = at.since(state.now());
    if let Ok(sent) = time::timeout(delay, &mut first).await {
        record(state, pending, started, &sent);
        return alone(sent, choice);
    }
    let Some(other) = allowed(state, pending, started, choose) else {
        let sent = first.await;
        record(state, pending, started, &sent);
        return alone(sent, choice);
    };
    state.metrics.second_attempts.inc();
    log_second(state, pending, &other, delay);
    let mut second = pin!(start(other.clone()));
    let (sent, is_first) = tokio::select! {
        biased;
        sent = &mut first => (sent, true),
        sent = &mut second => (sent, false),
    };
    if is_usable(&sent) {
        record(state, pending, started, &sent);
        return won(state, sent, (choice, other), is_first, None);
    }
    // The one that ended first has failed, so the other one decides.
    let failed = sent.err();
    let sent = if is_first { second.await } else { first.await };
    record(state, pending, started, &sent);
    won(state, sent, (choice, other), !is_first, failed)
}

/// `failed` is the denial of the other attempt, if it ended before with one.
fn won(
    state: &State,
    sent: Sent,
    (first, second): (Choice, Choice),
    is_first: bool,
    failed: Option<Denial>,
) -> Raced {
    let (choice, other) = if is_first {
        (first, second)
    } else {
        if is_usable(&sent) {
            state.metrics.second_attempts_faster.inc();
        }
        (second, first)
    };
    Raced {
        sent,
        choice,
        other: Some((other, failed)),
    }
}

/// Chooses the target of a second attempt and charges it; `None` if none may be made.
fn allowed(
    state: &State,
    pending: &Pending<'_>,
    started: Instant,
    choose: impl FnOnce() -> Option<Choice>,
) -> Option<Choice> {
    let now = state.now();
    if state.outlooks.lock().of(pending.service).is_overloaded(now) {
        return None;
    }
    let choice = choose()?;
    let charged = state.routing.lock().is_unrestricted(&choice.instance)
        && with(state, pending, |service, now| {
            let decision = service.decide(&pending.request, started, now);
            matches!(decision, Decision::Hedge { at } if at <= now)
        })
        && state.try_spend_retry_token(pending.service);
    if !charged {
        crate::execution::cancel(state, &choice);
        return None;
    }
    Some(choice)
}

fn with<T>(
    state: &State,
    pending: &Pending<'_>,
    operation: impl FnOnce(&mut Service, Instant) -> T,
) -> T {
    let now = state.now();
    let permille = state.settings.second_attempt_permille;
    let mut seconds = state.seconds.lock();
    operation(seconds.of(pending.service, permille, now), now)
}

/// Records the time since the first attempt, also when the second one was faster: the first took at least as long.
fn record(state: &State, pending: &Pending<'_>, started: Instant, sent: &Sent) {
    if is_usable(sent) {
        with(state, pending, |service, now| {
            service.record_latency(now.since(started), now);
        });
    }
}

fn is_usable(sent: &Sent) -> bool {
    sent.as_ref()
        .is_ok_and(|response| !response.status().is_server_error())
}

fn log_second(state: &State, pending: &Pending<'_>, choice: &Choice, after: Duration) {
    if state.routine_log_quota.allows(state.now()) {
        info!(
            event = "second-attempt",
            request = pending.id,
            service = pending.service.as_str(),
            instance = choice.instance.as_str(),
            after_ms = after.as_millis() as u64;
            "the first attempt is slower than nearly all of its service"
        );
    }
}
