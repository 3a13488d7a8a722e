//! Ballots, which order all rounds that read or change a register.
//!
//! The epoch of the group is compared first, so a round of a later epoch
//! supersedes all rounds of earlier ones. A member that lost its disk also lost
//! its start number, but it returns in a new epoch, so its ballots differ from
//! all its earlier ones.

use serde::Deserialize;
use serde::Serialize;

use crate::epoch;

/// Number of one round of prepare and accept.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(deny_unknown_fields)]
pub struct Ballot {
    /// Epoch of the group in which the whole round takes place.
    pub epoch: epoch::Number,
    /// Rises with each round of the member and exceeds the counter of a conflicting ballot.
    pub counter: u64,
    /// Member that runs the round.
    pub member: epoch::Member,
    /// How often the member has started; synced at each start before the first ballot.
    pub start: u64,
}

/// Generates the ballots of one process incarnation of a member.
///
/// Two rounds with the same ballot could both be accepted with different
/// records, so one process has exactly one sequence, shared by all keys.
#[derive(Clone, Debug)]
pub struct Sequence {
    member: epoch::Member,
    start: u64,
    last: u64,
}

impl Sequence {
    /// Creates the sequence of a process whose start number has been synced.
    pub const fn new(member: epoch::Member, start: u64) -> Self {
        Self {
            member,
            start,
            last: 0,
        }
    }

    /// Returns the next ballot, higher than all earlier ones and higher than `above` if that is of the
    /// same epoch.
    pub fn next(&mut self, epoch: epoch::Number, above: Option<Ballot>) -> Ballot {
        let floor = above.filter(|ballot| ballot.epoch == epoch);
        self.last = self.last.max(floor.map_or(0, |ballot| ballot.counter)) + 1;
        Ballot {
            epoch,
            counter: self.last,
            member: self.member,
            start: self.start,
        }
    }
}
