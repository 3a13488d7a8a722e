//! Claim groups: the control processes that store the claims of a region, and the changes of their members.

use std::error;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::member;
use shallotrill_model::region;

/// Maximum number of seats of a group.
pub const SEATS_MAX: usize = 7;

/// Whether a member counts towards a quorum.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VotingState {
    /// The member votes and counts towards a quorum.
    Voting,
    /// The member copies records and does not count towards a quorum.
    Copying,
}

/// A member of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Seat {
    /// Identifier of the member.
    pub member: member::Id,
    /// Disk that stores its registers.
    pub disk: member::Disk,
    /// Whether the member counts towards a quorum.
    #[serde(rename = "standing")]
    pub voting_state: VotingState,
}

/// The claim group of a region in one epoch, as configured.
///
/// The control processes convert it to `shallotrill_claim::epoch::Group`, which also allows groups of other sizes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// Region whose claims the group stores.
    pub region: region::Name,
    /// Number of the epoch; 1 when the group is formed.
    pub epoch: u64,
    /// Members, ordered by identifier.
    pub seats: Vec<Seat>,
}

/// Why a change of a group is refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// A group needs an odd number of seats from 1 to 7; contains the refused number.
    Seats(usize),
    /// The member would have two seats.
    Repeated(member::Id),
    /// The region has a group already; contains its epoch.
    Formed(u64),
    /// The region has no group.
    Missing,
    /// The change names another epoch than the current one.
    Epoch {
        /// Epoch that the change names.
        named: u64,
        /// Current epoch.
        current: u64,
    },
    /// The member has no seat in the group.
    Stranger(member::Id),
    /// Another member is copying; contains that member. Only one member is replaced at a time, because some
    /// records may have only one copy on the remaining disks.
    Copying(member::Id),
    /// The member votes already.
    Voting(member::Id),
    /// The disk is the one that the seat has already, so it was not lost.
    Disk(member::Disk),
}

impl Group {
    /// Forms a group in which all members vote.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal`] when the number of seats is even or too large, or a member has two.
    pub fn form(
        region: region::Name,
        members: &[(member::Id, member::Disk)],
    ) -> Result<Self, Refusal> {
        if members.len().is_multiple_of(2) || members.len() > SEATS_MAX {
            return Err(Refusal::Seats(members.len()));
        }
        let seat = |&(member, disk): &(member::Id, member::Disk)| Seat {
            member,
            disk,
            voting_state: VotingState::Voting,
        };
        let mut seats: Vec<Seat> = members.iter().map(seat).collect();
        seats.sort_by_key(|seat| seat.member);
        let epoch = 1;
        let group = Self {
            region,
            epoch,
            seats,
        };
        group.check_duplicates()?;
        Ok(group)
    }

    /// The group of the next epoch, in which `new` replaces `old` and copies records.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal`] when `epoch` is not the current one, `old` has no seat or
    /// has `disk` already, `new` has another seat, or another member is copying.
    pub fn replace(
        &self,
        epoch: u64,
        old: member::Id,
        new: member::Id,
        disk: member::Disk,
    ) -> Result<Self, Refusal> {
        self.check_epoch(epoch)?;
        let index = self.seat_index(old)?;
        if self.seats[index].disk == disk {
            return Err(Refusal::Disk(disk));
        }
        if let Some(seat) = self.copying_seat()
            && seat.member != old
        {
            return Err(Refusal::Copying(seat.member));
        }
        let mut group = self.clone();
        group.epoch += 1;
        group.seats[index] = Seat {
            member: new,
            disk,
            voting_state: VotingState::Copying,
        };
        group.seats.sort_by_key(|seat| seat.member);
        group.check_duplicates()?;
        Ok(group)
    }

    /// The group of the next epoch, in which a member that has copied all records votes.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal`] when `epoch` is not the current one, or the member has no seat or votes already.
    pub fn admit(&self, epoch: u64, member: member::Id) -> Result<Self, Refusal> {
        self.check_epoch(epoch)?;
        let index = self.seat_index(member)?;
        if self.seats[index].voting_state == VotingState::Voting {
            return Err(Refusal::Voting(member));
        }
        let mut group = self.clone();
        group.epoch += 1;
        group.seats[index].voting_state = VotingState::Voting;
        Ok(group)
    }

    fn check_epoch(&self, named: u64) -> Result<(), Refusal> {
        let current = self.epoch;
        if named == current {
            Ok(())
        } else {
            Err(Refusal::Epoch { named, current })
        }
    }

    fn check_duplicates(&self) -> Result<(), Refusal> {
        match self.seats.windows(2).find(|p| p[0].member == p[1].member) {
            Some(pair) => Err(Refusal::Repeated(pair[0].member)),
            None => Ok(()),
        }
    }

    fn copying_seat(&self) -> Option<&Seat> {
        self.seats
            .iter()
            .find(|seat| seat.voting_state == VotingState::Copying)
    }

    fn seat_index(&self, member: member::Id) -> Result<usize, Refusal> {
        let found = self.seats.iter().position(|seat| seat.member == member);
        found.ok_or(Refusal::Stranger(member))
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Seats(seats) => {
                write!(
                    f,
                    "a claim group needs an odd number of seats up to {SEATS_MAX}, got {seats}"
                )
            }
            Self::Repeated(member) => write!(
                f,
                "member {} would have two seats in the claim group",
                member.0
            ),
            Self::Formed(epoch) => {
                write!(f, "the region has a claim group already, in epoch {epoch}")
            }
            Self::Missing => f.write_str("the region has no claim group"),
            Self::Epoch { named, current } => {
                write!(
                    f,
                    "the claim group is in epoch {current}, but the command names epoch {named}"
                )
            }
            Self::Stranger(member) => {
                write!(f, "member {} has no seat in the claim group", member.0)
            }
            Self::Copying(member) => write!(
                f,
                "member {} is still copying records; only one seat is replaced at a time",
                member.0
            ),
            Self::Voting(member) => {
                write!(f, "member {} votes in the claim group already", member.0)
            }
            Self::Disk(disk) => write!(
                f,
                "disk {} is the disk of the current seat; a replacement needs another one",
                disk.0
            ),
        }
    }
}

impl error::Error for Refusal {}
