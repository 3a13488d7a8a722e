//! Proposal numbers of the agreement protocol.

use serde::Deserialize;
use serde::Serialize;

/// Identity of the disk of a registry process. An erased or replaced disk gets a new identity.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Identity(pub u128);

/// Number of a proposal. A replica rejects proposals below the highest ballot that it has promised.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Ballot {
    /// Round of the proposer; each attempt uses a higher one.
    pub round: u64,
    /// Proposer; makes ballots of the same round unique.
    pub proposer: Identity,
}

impl Ballot {
    /// The ballot of a proposer's next attempt when `highest` is the highest ballot that it has observed.
    #[must_use]
    pub const fn above(highest: Self, proposer: Identity) -> Self {
        Self {
            round: highest.round + 1,
            proposer,
        }
    }
}
