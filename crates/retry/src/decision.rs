//! Whether a failed or slow attempt is repeated.
//!
//! A non-idempotent request is repeated only when the failure proves that the
//! attempt did not run; each copy of either class is paid for before it starts.

use std::time::Duration;

use crate::budget::Budget;
use crate::call::Call;
use crate::call::Outgoing;
use crate::call::Refusal;
use shallotrill_model::class::Class;
use shallotrill_model::time::Instant;

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The gate at the target's node refused it before dispatch.
    Refused,
    /// The connection could not be opened.
    Unopened,
    /// The connection was lost before any byte of the request was sent.
    Unsent,
    /// The connection was lost after the request was sent, at least in part.
    Lost,
    /// Its attempt number is fenced at the claim group: it may never run.
    Fenced,
    /// The backend server answered 503; holds its `Retry-After`.
    Shedding(Option<Duration>),
    /// No response arrived in time.
    Timeout,
    /// The body of the response ended short.
    Short,
    /// The request is quarantined because it crashes backend servers.
    Quarantined,
}

impl Kind {
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
    /// How it failed.
    pub kind: Kind,
    /// What the attempt carried.
    pub attempt: Outgoing,
}

/// Parameters of the decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    attempts_max: u32,
    backoff: Duration,
    useful: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            attempts_max: 4,
            backoff: Duration::from_millis(2),
            useful: Duration::from_millis(1),
        }
    }
}

impl Config {
    /// Sets the most attempts of one request, the first one and hedges included.
    #[must_use]
    pub const fn attempts_max(mut self, attempts: u32) -> Self {
        self.attempts_max = attempts;
        self
    }

    /// Sets the shortest pause before a retry; the first retry at another target has none, and each further pause doubles.
    #[must_use]
    pub const fn backoff(mut self, backoff: Duration) -> Self {
        self.backoff = backoff;
        self
    }

    /// Sets the least time that must remain for an attempt to be worth its token.
    #[must_use]
    pub const fn useful(mut self, useful: Duration) -> Self {
        self.useful = useful;
        self
    }
}

/// What is known of a request when an attempt has failed or is slow.
#[derive(Debug)]
pub struct State {
    /// Class of the request.
    pub class: Class,
    /// The call, with the tokens it holds.
    pub call: Call,
    /// Attempts started so far.
    pub attempts: u32,
    /// Attempts still in flight, without the one that failed.
    pub in_flight: u32,
    /// Whether the request has been hedged.
    pub hedged: bool,
    /// Bytes of a response already given to the caller.
    pub answered_bytes: u64,
    /// Eligible targets that no attempt has used yet.
    pub untried: u32,
    /// When the caller gives up.
    pub deadline: Instant,
    /// Parameters of the decision.
    pub config: Config,
}

/// Why no further copy is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stop {
    /// The caller already has part of a response; holds its length in bytes.
    Answered(u64),
    /// The request is non-idempotent and this failure does not prove that it did not run.
    NotProven(Kind),
    /// The request is non-idempotent, so two attempts may not be in flight at once.
    NonIdempotent,
    /// The deadline leaves too little time; holds what is left.
    Deadline(Duration),
    /// The attempts are used up; holds their number.
    Attempts(u32),
    /// No token; holds which one is missing.
    Refused(Refusal),
    /// The request is quarantined.
    Quarantined,
    /// Another attempt is in flight and may still answer.
    InFlight(u32),
    /// The request has been hedged once.
    Hedged,
    /// The service's latency is not known well enough to hedge.
    LatencyUnknown,
    /// No target is left for a hedge.
    NoTarget,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Start another attempt after this pause. Its token has been spent.
    Retry {
        /// The pause.
        after: Duration,
    },
    /// Start a second attempt at `at`. When `at` is later than now, nothing has
    /// been spent and [`hedge`] is asked again then; otherwise the token has
    /// been spent. The attempt that does not answer first is to be cancelled.
    Hedge {
        /// When the copy starts.
        at: Instant,
    },
    /// Make no further copy.
    Stop(Stop),
}

/// Decides what follows a failed attempt.
///
/// On [`Decision::Retry`] the state counts the new attempt and its token is spent.
pub fn decide(state: &mut State, failure: &Failure, budget: &mut Budget, now: Instant) -> Decision {
    if failure.kind.proves_not_run() {
        state.call.restore(failure.attempt);
    }
    match retry(state, failure.kind, budget, now) {
        Ok(after) => Decision::Retry { after },
        Err(stop) => Decision::Stop(stop),
    }
}

/// Decides whether a slow attempt, started at `started`, gets a second one beside it.
///
/// On [`Decision::Hedge`] with `at` not after `now` the state counts the new attempt and its token is spent.
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
    kind: Kind,
    budget: &mut Budget,
    now: Instant,
) -> Result<Duration, Stop> {
    common(state)?;
    if kind == Kind::Quarantined {
        return Err(Stop::Quarantined);
    }
    if state.class == Class::NonIdempotent && !kind.proves_not_run() {
        return Err(Stop::NotProven(kind));
    }
    if state.in_flight > 0 {
        return Err(Stop::InFlight(state.in_flight));
    }
    let after = pause(state, kind);
    fits(state, now + after, now)?;
    pay(state, budget, now)?;
    Ok(after)
}

fn hedge_at(
    state: &mut State,
    started: Instant,
    p95: Option<Duration>,
    budget: &mut Budget,
    now: Instant,
) -> Result<Instant, Stop> {
    common(state)?;
    if state.class == Class::NonIdempotent {
        return Err(Stop::NonIdempotent);
    }
    if state.hedged {
        return Err(Stop::Hedged);
    }
    if state.untried == 0 {
        return Err(Stop::NoTarget);
    }
    let at = started + p95.ok_or(Stop::LatencyUnknown)?;
    fits(state, at.max(now), now)?;
    if at > now {
        return Ok(at);
    }
    pay(state, budget, now)?;
    state.hedged = true;
    Ok(now)
}

fn common(state: &State) -> Result<(), Stop> {
    if state.answered_bytes > 0 {
        return Err(Stop::Answered(state.answered_bytes));
    }
    if state.attempts >= state.config.attempts_max {
        return Err(Stop::Attempts(state.attempts));
    }
    Ok(())
}

/// The first retry is immediate if it goes to another target.
///
/// A target that sheds load is avoided while another one is left; else its `Retry-After` is kept.
fn pause(state: &State, kind: Kind) -> Duration {
    let doublings = state.attempts.saturating_sub(2).min(10);
    let backoff = if state.attempts <= 1 && state.untried > 0 {
        Duration::ZERO
    } else {
        state.config.backoff * (1 << doublings)
    };
    match kind {
        Kind::Shedding(Some(wait)) if state.untried == 0 => backoff.max(wait),
        _ => backoff,
    }
}

fn fits(state: &State, start: Instant, now: Instant) -> Result<(), Stop> {
    if state.deadline < start + state.config.useful {
        return Err(Stop::Deadline(state.deadline.since(now)));
    }
    Ok(())
}

fn pay(state: &mut State, budget: &mut Budget, now: Instant) -> Result<(), Stop> {
    state.call.copy(budget, now).map_err(Stop::Refused)?;
    state.attempts += 1;
    state.untried = state.untried.saturating_sub(1);
    Ok(())
}
