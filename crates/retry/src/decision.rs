//! Decides whether a failed attempt is retried and whether a slow one is hedged.
//!
//! A non-idempotent request is retried only when the failure proves that the
//! attempt did not run. An extra attempt of either class is charged to the retry
//! budget before it starts.

use std::time::Duration;

use crate::budget::Budget;
use crate::call::AttemptHeaders;
use crate::call::Call;
use crate::call::Refusal;
use shallotrill_model::class::Class;
use shallotrill_model::time::Instant;

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureKind {
    /// The admission gate at the target's node refused the attempt before dispatch.
    Refused,
    /// The connection could not be opened.
    Unopened,
    /// The connection was lost before any byte of the request was sent.
    Unsent,
    /// The connection was lost after the request was sent, at least in part.
    Lost,
    /// The claim group has fenced the attempt number, so the attempt can never run.
    Fenced,
    /// The backend server answered 503; contains its `Retry-After`, if present.
    Shedding(Option<Duration>),
    /// No response arrived before the time limit of the attempt.
    Timeout,
    /// The body of the response was truncated.
    Short,
    /// The request is quarantined because it crashes backend servers.
    Quarantined,
}

impl FailureKind {
    /// Whether this failure proves that the attempt did not run and will not run.
    pub const fn proves_not_run(self) -> bool {
        matches!(
            self,
            Self::Refused | Self::Unopened | Self::Unsent | Self::Fenced | Self::Quarantined
        )
    }
}

/// A failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Type of the failure.
    pub kind: FailureKind,
    /// Header values that the attempt was sent with; its tokens may be restored.
    pub attempt: AttemptHeaders,
}

/// Parameters of the retry and hedging decisions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    attempts_max: u32,
    backoff: Duration,
    min_remaining: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            attempts_max: 4,
            backoff: Duration::from_millis(2),
            min_remaining: Duration::from_millis(1),
        }
    }
}

impl Config {
    /// Sets the maximum number of attempts of one request, including the first attempt and hedges.
    #[must_use]
    pub const fn attempts_max(mut self, attempts: u32) -> Self {
        self.attempts_max = attempts;
        self
    }

    /// Sets the initial backoff. The first retry has none when another target is available, and each further retry doubles it.
    #[must_use]
    pub const fn backoff(mut self, backoff: Duration) -> Self {
        self.backoff = backoff;
        self
    }

    /// Sets the minimum time that must remain before the deadline when an attempt starts.
    #[must_use]
    pub const fn min_remaining(mut self, min_remaining: Duration) -> Self {
        self.min_remaining = min_remaining;
        self
    }
}

/// State of a request when one of its attempts has failed or is slow.
#[derive(Debug)]
pub struct State {
    /// Class of the request: idempotent or not.
    pub class: Class,
    /// The call with its remaining tokens.
    pub call: Call,
    /// Number of attempts started so far.
    pub attempts: u32,
    /// Number of attempts in flight, excluding the one that failed.
    pub in_flight: u32,
    /// Whether the request has already been hedged.
    pub hedged: bool,
    /// Number of response bytes already sent to the caller.
    pub response_bytes_sent: u64,
    /// Number of eligible targets that no attempt has used yet.
    pub untried_targets: u32,
    /// Time at which the caller stops waiting for a response.
    pub deadline: Instant,
    /// Parameters of the retry and hedging decisions.
    pub config: Config,
}

/// Why no further attempt is made. Clients receive the `Debug` text of the variants in a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// Part of a response was already sent to the caller; contains its length in bytes.
    Answered(u64),
    /// The request is non-idempotent, and this failure does not prove that it did not run.
    NotProven(FailureKind),
    /// The request is non-idempotent, so it may not have two attempts in flight.
    NonIdempotent,
    /// Too little time remains before the deadline; contains the remaining time.
    Deadline(Duration),
    /// The maximum number of attempts is reached; contains the number of attempts made.
    Attempts(u32),
    /// The extra attempt cannot be charged; contains the reason.
    Refused(Refusal),
    /// The request is quarantined.
    Quarantined,
    /// Other attempts are in flight and may still succeed; contains their number.
    InFlight(u32),
    /// The request has already been hedged.
    Hedged,
    /// There are too few latency samples of the service to decide when to hedge.
    LatencyUnknown,
    /// No eligible target without an attempt of this request is available for a hedge.
    NoTarget,
}

/// The next step for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Start another attempt after the backoff. It has already been charged.
    Retry {
        /// Backoff before the attempt; zero for an immediate retry.
        after: Duration,
    },
    /// Start a second attempt at `at`. When `at` is in the future, nothing has been
    /// charged yet and [`hedge`] must be called again at that time; otherwise the
    /// attempt has been charged. When one attempt answers, the code that uses
    /// this package cancels the other.
    Hedge {
        /// Start time of the second attempt.
        at: Instant,
    },
    /// Make no further attempt.
    Stop(StopReason),
}

/// Decides whether a failed attempt is retried.
///
/// On [`Decision::Retry`] the new attempt is counted in `state` and charged.
pub fn decide(state: &mut State, failure: &Failure, budget: &mut Budget, now: Instant) -> Decision {
    if failure.kind.proves_not_run() {
        state.call.restore(failure.attempt);
    }
    match retry(state, failure.kind, budget, now) {
        Ok(after) => Decision::Retry { after },
        Err(stop) => Decision::Stop(stop),
    }
}

/// Decides whether and when a slow attempt that started at `started` is hedged with a second attempt.
///
/// On [`Decision::Hedge`] with `at` not after `now`, the new attempt is counted in `state` and charged.
pub fn hedge(
    state: &mut State,
    started: Instant,
    p95: Option<Duration>,
    budget: &mut Budget,
    now: Instant,
) -> Decision {
    match hedge_at(state, started, p95, budget, now) {
        Ok(at) => Decision::Hedge { at },
        Err(stop) => Decision::Stop(stop),
    }
}

fn retry(
    state: &mut State,
    kind: FailureKind,
    budget: &mut Budget,
    now: Instant,
) -> Result<Duration, StopReason> {
    check_attempt_limits(state)?;
    if kind == FailureKind::Quarantined {
        return Err(StopReason::Quarantined);
    }
    if state.class == Class::NonIdempotent && !kind.proves_not_run() {
        return Err(StopReason::NotProven(kind));
    }
    if state.in_flight > 0 {
        return Err(StopReason::InFlight(state.in_flight));
    }
    let after = retry_delay(state, kind);
    check_deadline(state, now + after, now)?;
    charge(state, budget, now)?;
    Ok(after)
}

fn hedge_at(
    state: &mut State,
    started: Instant,
    p95: Option<Duration>,
    budget: &mut Budget,
    now: Instant,
) -> Result<Instant, StopReason> {
    check_attempt_limits(state)?;
    if state.class == Class::NonIdempotent {
        return Err(StopReason::NonIdempotent);
    }
    if state.hedged {
        return Err(StopReason::Hedged);
    }
    if state.untried_targets == 0 {
        return Err(StopReason::NoTarget);
    }
    let at = started + p95.ok_or(StopReason::LatencyUnknown)?;
    check_deadline(state, at.max(now), now)?;
    if at > now {
        return Ok(at);
    }
    charge(state, budget, now)?;
    state.hedged = true;
    Ok(now)
}

fn check_attempt_limits(state: &State) -> Result<(), StopReason> {
    if state.response_bytes_sent > 0 {
        return Err(StopReason::Answered(state.response_bytes_sent));
    }
    if state.attempts >= state.config.attempts_max {
        return Err(StopReason::Attempts(state.attempts));
    }
    Ok(())
}

/// Returns the backoff before a retry. The first retry is immediate when it can use an untried target.
///
/// The `Retry-After` of a target that sheds load is respected only when no untried target is available.
fn retry_delay(state: &State, kind: FailureKind) -> Duration {
    let doublings = state.attempts.saturating_sub(2).min(10);
    let backoff = if state.attempts <= 1 && state.untried_targets > 0 {
        Duration::ZERO
    } else {
        state.config.backoff * (1 << doublings)
    };
    match kind {
        FailureKind::Shedding(Some(retry_after)) if state.untried_targets == 0 => {
            backoff.max(retry_after)
        }
        _ => backoff,
    }
}

fn check_deadline(state: &State, start: Instant, now: Instant) -> Result<(), StopReason> {
    if state.deadline < start + state.config.min_remaining {
        return Err(StopReason::Deadline(state.deadline.since(now)));
    }
    Ok(())
}

fn charge(state: &mut State, budget: &mut Budget, now: Instant) -> Result<(), StopReason> {
    state
        .call
        .charge_attempt(budget, now)
        .map_err(StopReason::Refused)?;
    state.attempts += 1;
    state.untried_targets = state.untried_targets.saturating_sub(1);
    Ok(())
}
