//! Members of the group that replicates the log: voters and learners.

use serde::Deserialize;
use serde::Serialize;

use crate::disk;

/// Identifier of a member.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Id(pub u64);

/// A member on a particular disk.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Peer {
    /// Identifier of the member.
    pub id: Id,
    /// Disk that holds its state.
    pub disk: disk::Identity,
}

/// Whether a member votes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// Votes and counts towards a majority.
    Voter,
    /// Replicates the log, but does not vote or count towards a majority.
    Learner,
}

/// A peer and its role.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The peer.
    pub peer: Peer,
    /// Its role.
    pub role: Role,
}

/// The members, sorted by id.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Set(Vec<Member>);

impl Set {
    /// Creates a set in which all members vote.
    pub fn voters(peers: &[Peer]) -> Self {
        let mut set = Self::default();
        for peer in peers {
            set.insert(Member {
                peer: *peer,
                role: Role::Voter,
            });
        }
        set
    }

    /// Adds a member or replaces the one with the same id.
    pub fn insert(&mut self, member: Member) {
        match self.find(member.peer.id) {
            Ok(index) => self.0[index] = member,
            Err(index) => self.0.insert(index, member),
        }
    }

    /// Removes a member, if there is one with this id.
    pub fn remove(&mut self, id: Id) {
        if let Ok(index) = self.find(id) {
            self.0.remove(index);
        }
    }

    /// The member with this id; `None` if there is none.
    pub fn get(&self, id: Id) -> Option<&Member> {
        self.find(id).ok().map(|index| &self.0[index])
    }

    /// Whether this peer, with this disk, is a member.
    pub fn contains(&self, peer: Peer) -> bool {
        self.get(peer.id).is_some_and(|member| member.peer == peer)
    }

    /// Whether this peer, with this disk, votes.
    pub fn is_voter(&self, peer: Peer) -> bool {
        self.get(peer.id)
            .is_some_and(|member| member.peer == peer && member.role == Role::Voter)
    }

    /// All members in order of id.
    pub fn all(&self) -> &[Member] {
        &self.0
    }

    /// Number of voters in a majority; one for an empty group, so that a decision always needs a voter.
    pub fn quorum(&self) -> usize {
        self.0
            .iter()
            .filter(|member| member.role == Role::Voter)
            .count()
            / 2
            + 1
    }

    fn find(&self, id: Id) -> Result<usize, usize> {
        self.0.binary_search_by_key(&id, |member| member.peer.id)
    }
}
