//! Decides when the caller of a refused request should send it again.

use std::time::Duration;

/// Share of the objective that must remain for a request that comes back to have a chance to meet it.
const OBJECTIVE_SHARE_MIN: f64 = 0.5;

/// Earliest and latest return, as shares of what remains of the objective, while it can still be met.
const TIMELY_RETURN: (f64, f64) = (0.05, 0.25);

/// Earliest and latest return, as shares of the remaining time, once the objective cannot be met any more.
/// Callers wait for at most a third of their time.
const LATE_RETURN: (f64, f64) = (0.15, 0.33);

/// A request that was refused because no target has room for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// Time since the request arrived.
    pub elapsed: Duration,
    /// Time from arrival to response within which a response has its full value.
    pub objective: Duration,
    /// Time from arrival for which the caller waits.
    pub limit: Duration,
}

/// Share of the remaining time for which callers wait at most.
const WAIT_SHARE_MAX: f64 = 0.33;

/// Time after which the caller should send the request again. `random` is from 0 to 1.
///
/// Requests that are refused together are spread, so that they do not return together to the same
/// full queues. While the objective can be met, the return is soon; after that, it is spread over as
/// much of the remaining time as the caller waits, so that most return after the load has passed.
pub fn retry_after(refused: Refused, random: f64) -> Duration {
    retry_after_room(refused, Duration::ZERO, Duration::ZERO, random)
}

/// Time after which the caller should send the request again, when targets state that they have room for it `after`
/// this time, and for as many requests as are refused now within `spread` from then on.
///
/// The return is no sooner than [`retry_after`] states, and no later than the caller waits.
pub fn retry_after_room(
    refused: Refused,
    after: Duration,
    spread: Duration,
    random: f64,
) -> Duration {
    let objective = refused.objective.saturating_sub(refused.elapsed);
    let remaining = refused.limit.saturating_sub(refused.elapsed);
    let (base, (earliest, latest)) = if objective >= refused.objective.mul_f64(OBJECTIVE_SHARE_MIN)
    {
        (objective.min(remaining), TIMELY_RETURN)
    } else {
        (remaining, LATE_RETURN)
    };
    let earliest = base.mul_f64(earliest).max(after);
    let latest = base.mul_f64(latest).max(earliest + spread);
    let wait_max = remaining.mul_f64(WAIT_SHARE_MAX);
    // The spread is kept when the room comes later than the caller waits.
    let earliest = earliest.min(wait_max.saturating_sub(spread));
    let latest = latest.min(wait_max);
    earliest
        + latest
            .saturating_sub(earliest)
            .mul_f64(random.clamp(0.0, 1.0))
}
