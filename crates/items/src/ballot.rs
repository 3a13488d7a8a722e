//! Numbers of proposals.

use serde::Deserialize;
use serde::Serialize;

/// Identity of one disk of a registry process. An emptied disk gets another one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Identity(pub u128);

/// Number of a proposal; a replica follows the highest that it has seen.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Ballot {
    /// Rises with each try.
    pub round: u64,
    /// Who proposes, so that no two proposals have the same number.
    pub proposer: Identity,
}

impl Ballot {
    /// The number of a proposer's next try after it has seen `seen`.
    #[must_use]
    pub const fn above(seen: Self, proposer: Identity) -> Self {
        Self {
            round: seen.round + 1,
            proposer,
        }
    }
}
