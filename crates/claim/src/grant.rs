//! Grants: permission to dispatch one attempt, valid for a short time.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use shallotrill_model::attempt;
use shallotrill_model::time;

/// Time for which a grant is valid at its holder.
pub const VALIDITY: Duration = Duration::from_secs(2);

/// Identifier of a grant, chosen by its holder and never used for a second question.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Id(pub u64);

/// A grant at its holder.
///
/// A resent question with the same [`Id`] is answered with the same grant, so
/// the holder keeps the time before the first sending and dispatches once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Identifier of the grant.
    pub id: Id,
    /// Attempt that may be dispatched.
    pub attempt: attempt::Number,
    /// Time of the holder before it first sent the question.
    pub asked: time::Instant,
}

impl Grant {
    /// Whether the holder may still dispatch. `now` must count time in which the process is frozen.
    pub fn is_current(&self, now: time::Instant) -> bool {
        now >= self.asked && now.since(self.asked) < VALIDITY
    }
}
