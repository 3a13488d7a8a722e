//! Entries of the log and what is kept beside them.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::member;

/// Position in the log; the first entry has index 1.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Index(pub u64);

impl Index {
    /// The next position.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// The position before; zero stays zero.
    #[must_use]
    pub const fn previous(self) -> Self {
        Self(self.0.saturating_sub(1))
    }
}

/// Number of an election; at most one leader exists in each.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Term(pub u64);

/// An index together with the term of its entry, which identifies the entry and all before it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position {
    /// Place in the log.
    pub index: Index,
    /// Term of the entry there.
    pub term: Term,
}

/// What an entry holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Content {
    /// Nothing; a new leader's first entry.
    Empty,
    /// Bytes of the state machine.
    Data(Arc<[u8]>),
    /// The members from this entry on.
    Members(member::Set),
}

/// One entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Its place.
    pub position: Position,
    /// What it holds.
    pub content: Content,
}

impl Entry {
    /// Approximate size in a message.
    pub fn size_bytes(&self) -> usize {
        /// Position and framing of an entry.
        const OVERHEAD: usize = 32;
        /// One member with its role.
        const MEMBER: usize = 25;
        OVERHEAD
            + match &self.content {
                Content::Empty => 0,
                Content::Data(bytes) => bytes.len(),
                Content::Members(set) => set.all().len() * MEMBER,
            }
    }
}

/// What a replica must remember over a restart besides the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hard {
    /// Highest term seen.
    pub term: Term,
    /// Whom it voted for in that term.
    pub vote: Option<member::Peer>,
}

/// The state machine at a position, which stands for all entries up to it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Last entry it covers.
    pub position: Position,
    /// Members at that entry.
    pub members: member::Set,
    /// The state machine; opaque here.
    pub bytes: Arc<[u8]>,
}
