//! Claim groups: the control processes that keep the claims of a region.

use std::error;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::member;
use shallotrill_model::region;

/// Most seats of a group.
pub const SEATS_MAX: usize = 7;

/// Whether a member counts towards a quorum.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Standing {
    /// It counts.
    Voting,
    /// It copies records and does not count.
    Copying,
}

/// A member of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Seat {
    /// Identifier of the member.
    pub member: member::Id,
    /// Disk that holds its registers.
    pub disk: member::Disk,
    /// Whether it counts.
    pub standing: Standing,
}

/// The claim group of a region in one epoch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// Region whose claims it keeps.
    pub region: region::Name,
    /// Number of the epoch; 1 when the group is formed.
    pub epoch: u64,
    /// Members, ordered by identifier.
    pub seats: Vec<Seat>,
}

/// A step that a group cannot take.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// A group has between 1 and 7 seats, and an odd number; holds the number of seats.
    Seats(usize),
    /// The member has two seats.
    Repeated(member::Id),
    /// The region has a group already; holds its epoch.
    Formed(u64),
    /// The region has no group.
    Missing,
    /// The step names another epoch than the present one.
    Epoch {
        /// Epoch that the step names.
        named: u64,
        /// Present epoch.
        current: u64,
    },
    /// The member has no seat.
    Stranger(member::Id),
    /// Another member is copying; only one is replaced at a time, since records may be at one survivor only.
    Copying(member::Id),
    /// The member votes already.
    Voting(member::Id),
    /// The disk is the one of the present seat, so nothing was lost.
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
            standing: Standing::Voting,
        };
        let mut seats: Vec<Seat> = members.iter().map(seat).collect();
        seats.sort_by_key(|seat| seat.member);
        let epoch = 1;
        let group = Self {
            region,
            epoch,
            seats,
        };
        group.check_repeated()?;
        Ok(group)
    }

    /// The next epoch, in which `new` copies in the place of `old`.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal`] when `epoch` is not the present one, `old` has no
    /// seat, `new` has another one, or another member is copying.
    pub fn replace(
        &self,
        epoch: u64,
        old: member::Id,
        new: member::Id,
        disk: member::Disk,
    ) -> Result<Self, Refusal> {
        self.check_epoch(epoch)?;
        let index = self.find(old)?;
        if self.seats[index].disk == disk {
            return Err(Refusal::Disk(disk));
        }
        if let Some(seat) = self.copying()
            && seat.member != old
        {
            return Err(Refusal::Copying(seat.member));
        }
        let mut group = self.clone();
        group.epoch += 1;
        group.seats[index] = Seat {
            member: new,
            disk,
            standing: Standing::Copying,
        };
        group.seats.sort_by_key(|seat| seat.member);
        group.check_repeated()?;
        Ok(group)
    }

    /// The next epoch, in which a member that has copied everything votes.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal`] when `epoch` is not the present one or the member does not copy.
    pub fn admit(&self, epoch: u64, member: member::Id) -> Result<Self, Refusal> {
        self.check_epoch(epoch)?;
        let index = self.find(member)?;
        if self.seats[index].standing == Standing::Voting {
            return Err(Refusal::Voting(member));
        }
        let mut group = self.clone();
        group.epoch += 1;
        group.seats[index].standing = Standing::Voting;
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

    fn check_repeated(&self) -> Result<(), Refusal> {
        match self.seats.windows(2).find(|p| p[0].member == p[1].member) {
            Some(pair) => Err(Refusal::Repeated(pair[0].member)),
            None => Ok(()),
        }
    }

    fn copying(&self) -> Option<&Seat> {
        self.seats
            .iter()
            .find(|seat| seat.standing == Standing::Copying)
    }

    fn find(&self, member: member::Id) -> Result<usize, Refusal> {
        let found = self.seats.iter().position(|seat| seat.member == member);
        found.ok_or(Refusal::Stranger(member))
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Seats(seats) => {
                write!(f, "{seats} seats are not an odd number up to {SEATS_MAX}")
            }
            Self::Repeated(member) => write!(f, "member {} has two seats", member.0),
            Self::Formed(epoch) => write!(f, "the region has a group in epoch {epoch}"),
            Self::Missing => f.write_str("the region has no claim group"),
            Self::Epoch { named, current } => {
                write!(f, "the group is in epoch {current} and not in {named}")
            }
            Self::Stranger(member) => write!(f, "member {} has no seat", member.0),
            Self::Copying(member) => write!(f, "member {} is still copying", member.0),
            Self::Voting(member) => write!(f, "member {} votes already", member.0),
            Self::Disk(disk) => write!(f, "disk {} is the one of the present seat", disk.0),
        }
    }
}

impl error::Error for Refusal {}
