//! Grants: permission to dispatch one attempt, valid for a short time.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use shallotrill_model::attempt;
use shallotrill_model::time;

/// How long a grant is valid at its holder, counted from before the first request for it.
pub const VALIDITY_PERIOD: Duration = Duration::from_secs(2);

/// Identifier of a grant, chosen by its holder and never used for a second request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Id(pub u64);

/// A grant, as its holder keeps it.
///
/// A request that is resent with the same [`Id`] receives the same grant, so
/// the holder keeps the time before it first sent the request and dispatches
/// only once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Identifier of the grant.
    pub id: Id,
    /// Attempt that may be dispatched.
    pub attempt: attempt::Number,
    /// Time at the holder before it first sent the request for the grant.
    pub requested_at: time::Instant,
}

impl Grant {
    /// Whether the holder may still dispatch. The clock of `now` must also advance while the process is
    /// suspended.
    pub fn is_current(&self, now: time::Instant) -> bool {
        now >= self.requested_at && now.since(self.requested_at) < VALIDITY_PERIOD
    }
}
