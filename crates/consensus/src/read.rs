//! Linearizable reads, which a leader confirms by a quorum round.

use crate::entry::Index;
use crate::entry::Term;

/// Identifies a read until it is completed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token(pub u64);

/// Why a read failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The replica stopped leading in this term before a quorum confirmed it.
    LeadershipLost(Term),
}

/// Result of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// The read.
    pub token: Token,
    /// Index that the state machine must have applied before it answers the read.
    pub result: Result<Index, Failure>,
}

/// A read that waits for its quorum round.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pending {
    pub(crate) token: Token,
    pub(crate) round: u64,
    pub(crate) index: Index,
}
