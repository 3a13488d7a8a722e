//! Reads that are answered only after a quorum round.

use crate::entry::Index;
use crate::entry::Term;

/// Names a read until it is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token(pub u64);

/// Why a read failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The replica stopped leading in this term before a quorum confirmed it.
    LeadershipLost(Term),
}

/// Answer to a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// The read.
    pub token: Token,
    /// The state machine with this index applied may answer.
    pub result: Result<Index, Failure>,
}

/// A read that waits for its round.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pending {
    pub(crate) token: Token,
    pub(crate) round: u64,
    pub(crate) index: Index,
}
