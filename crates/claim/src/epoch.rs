//! Epochs of a claim group: the members of the group and the size of a quorum in each epoch.
//!
//! A member whose disk is lost returns in a new epoch as [`VotingState::Copying`].
//! Every record chosen before is held by at least one of the remaining voters,
//! but possibly by only one, so the quorum is all of them until the member has
//! copied all records.

use std::error;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Number of an epoch.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Number(pub u64);

/// Identifier of a member.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Member(pub u32);

/// Identity of a disk. A replacement disk has a different one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Disk(pub u64);

/// Whether the replies of a member count towards a quorum.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VotingState {
    /// The member counts towards a quorum.
    Voting,
    /// The member accepts records and copies earlier ones, but does not count towards a quorum.
    Copying,
}

/// A member in one epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Seat {
    /// Identifier of the member.
    pub member: Member,
    /// Disk that holds its registers.
    pub disk: Disk,
    /// Whether it counts towards a quorum.
    #[serde(rename = "standing")]
    pub voting_state: VotingState,
}

/// Why a list of members does not form a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Invalid {
    /// The group has no member.
    Empty,
    /// A member is listed twice.
    Repeated(Member),
    /// The voting members are not a majority of all members, so records may have been lost.
    Voters {
        /// Number of voting members.
        voting: usize,
        /// Number of all members.
        members: usize,
    },
}

impl fmt::Display for Invalid {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => f.write_str("a claim group needs at least one member"),
            Self::Repeated(member) => {
                write!(f, "member {} is listed twice in a claim group", member.0)
            }
            Self::Voters { voting, members } => {
                write!(
                    f,
                    "only {voting} of {members} members of a claim group vote, which is not a majority"
                )
            }
        }
    }
}

impl error::Error for Invalid {}

/// A claim group in one epoch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// Number of the epoch.
    pub epoch: Number,
    /// Members, ordered by identifier.
    pub seats: Vec<Seat>,
}

impl Group {
    /// Creates a group of `seats`, which may be in any order.
    ///
    /// # Errors
    ///
    /// Returns [`Invalid`] when there is no member, a member is listed twice or
    /// the voting members are not a majority of all.
    pub fn new(epoch: Number, mut seats: Vec<Seat>) -> Result<Self, Invalid> {
        seats.sort_by_key(|seat| seat.member);
        if seats.is_empty() {
            return Err(Invalid::Empty);
        }
        if let Some(pair) = seats.windows(2).find(|p| p[0].member == p[1].member) {
            return Err(Invalid::Repeated(pair[0].member));
        }
        let group = Self { epoch, seats };
        let voting = group.voters().count();
        let members = group.seats.len();
        if voting <= members / 2 {
            return Err(Invalid::Voters { voting, members });
        }
        Ok(group)
    }

    /// The seat of a member; `None` if it is not in the group.
    pub fn seat(&self, member: Member) -> Option<&Seat> {
        let index = self
            .seats
            .binary_search_by_key(&member, |seat| seat.member)
            .ok()?;
        self.seats.get(index)
    }

    /// The members that count towards a quorum.
    pub fn voters(&self) -> impl Iterator<Item = Member> {
        self.seats
            .iter()
            .filter(|seat| seat.voting_state == VotingState::Voting)
            .map(|seat| seat.member)
    }

    /// Number of voting members that form a quorum: a majority, or all of them while any member copies.
    pub fn quorum(&self) -> usize {
        let voting = self.voters().count();
        if voting < self.seats.len() {
            voting
        } else {
            voting / 2 + 1
        }
    }
}
