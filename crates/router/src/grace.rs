//! Decides which requests a stopping router still takes.
//!
//! Load pattern: a router stops in calm, and callers that have not noticed it yet send requests up to the end of its
//! grace period. A request that is passed on and cut at the end has no answer, and its caller cannot tell whether it
//! has run.

use std::time::Duration;

use shallotrill_model::time::Instant;

/// Time in which callers notice that a router is not ready: it is checked every second, and two misses count.
/// Requests that arrive sooner are taken as usual.
const NOTICE_PERIOD: Duration = Duration::from_secs(3);

/// Times of a graceful stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grace {
    /// End of the time in which requests are taken as usual.
    noticed_at: Instant,
    /// When requests in flight are aborted.
    aborts_at: Instant,
}

impl Grace {
    /// The stop that begins at `now`: the listeners stop after `listens`, and requests in flight are aborted after
    /// `aborts`.
    pub fn new(now: Instant, listens: Duration, aborts: Duration) -> Self {
        Self {
            noticed_at: now + listens.min(NOTICE_PERIOD),
            aborts_at: now + aborts,
        }
    }

    /// Whether a request that may last for `remaining` is passed on. One that came late is only if it ends before
    /// requests are aborted.
    pub fn admits(&self, remaining: Duration, now: Instant) -> bool {
        now <= self.noticed_at || now + remaining <= self.aborts_at
    }
}
