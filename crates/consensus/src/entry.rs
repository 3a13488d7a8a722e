//! Entries of the log, and the hard state and snapshots stored with them.

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

    /// The position before this one; zero for zero.
    #[must_use]
    pub const fn previous(self) -> Self {
        Self(self.0.saturating_sub(1))
    }
}

/// Number of an election; each term has at most one leader.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Term(pub u64);

/// An index and the term of its entry, which together identify the entry and all entries before it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position {
    /// Index in the log.
    pub index: Index,
    /// Term of the entry at that index.
    pub term: Term,
}

/// Content of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Content {
    /// No content; the first entry of a new leader.
    Empty,
    /// A command of the state machine, opaque to this package.
    Data(Arc<[u8]>),
    /// The members that are in effect from this entry on.
    Members(member::Set),
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Position of the entry.
    pub position: Position,
    /// Content of the entry.
    pub content: Content,
}

impl Entry {
    /// Approximate size of the entry in a message.
    pub fn size_bytes(&self) -> usize {
        /// Position and framing of an entry, in bytes.
        const OVERHEAD: usize = 32;
        /// One member with its role, in bytes.
        const MEMBER: usize = 25;
        OVERHEAD
            + match &self.content {
                Content::Empty => 0,
                Content::Data(bytes) => bytes.len(),
                Content::Members(set) => set.all().len() * MEMBER,
            }
    }
}

/// The hard state of Raft: what a replica must persist in addition to the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Highest term seen.
    pub term: Term,
    /// Candidate that it voted for in that term.
    pub vote: Option<member::Peer>,
}

/// The state machine at a position, which replaces all entries up to that position.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Last entry that the snapshot covers.
    pub position: Position,
    /// Members in effect at that entry.
    pub members: member::Set,
    /// The serialized state machine, opaque to this package.
    pub bytes: Arc<[u8]>,
}
