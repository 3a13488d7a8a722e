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

/// Time after which the caller should send the request again. `random` is from 0 to 1.
///
/// Requests that are refused together are spread, so that they do not return together to the same
/// full queues. While the objective can be met, the return is soon; after that, it is spread over as
/// much of the remaining time as the caller waits, so that most return after the load has passed.
pub fn retry_after(refused: Refused, random: f64) -> Duration {
    let objective = refused.objective.saturating_sub(refused.elapsed);
    let remaining = refused.limit.saturating_sub(refused.elapsed);
    let (base, (earliest, latest)) = if objective >= refused.objective.mul_f64(OBJECTIVE_SHARE_MIN)
    {
        (objective.min(remaining), TIMELY_RETURN)
    } else {
        (remaining, LATE_RETURN)
    };
    base.mul_f64(earliest + (latest - earliest) * random.clamp(0.0, 1.0))
}
