//! Messages between replicas.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::entry::Entry;
use crate::entry::Index;
use crate::entry::Position;
use crate::entry::Term;
use crate::member;
use crate::member::Peer;

/// A message with both ends named by member and disk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Who sends.
    pub from: Peer,
    /// Who is meant; another disk ignores it.
    pub to: Peer,
    /// Term of the sender; of the election asked about in [`Body::PreVote`] and its granted answer.
    pub term: Term,
    /// Content.
    pub body: Body,
}

/// Content of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks whether a vote would be granted, without raising any term.
    PreVote(Position),
    /// Answer to `PreVote`.
    PreVoted(bool),
    /// Asks for a vote; holds the candidate's last position.
    Vote(Position),
    /// Answer to `Vote`.
    Voted(bool),
    /// Entries, or none as a heartbeat.
    Append(Append),
    /// The log holds everything up to this index.
    Appended {
        /// Last index known to be equal to the leader's.
        matched: Index,
        /// Round of the append answered.
        round: u64,
    },
    /// The entry before the append is missing or differs.
    Mismatched {
        /// Where the logs may agree at the latest.
        hint: Position,
        /// Round of the append answered.
        round: u64,
    },
    /// Part of a snapshot.
    Chunk(Chunk),
    /// The chunks before this offset are held.
    Received {
        /// Position of the snapshot.
        position: Position,
        /// Next byte wanted.
        offset: u64,
        /// Round of the chunk answered.
        round: u64,
    },
}

/// Entries that follow a position.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Append {
    /// The entry before the first.
    pub previous: Position,
    /// The entries.
    pub entries: Vec<Entry>,
    /// Leader's commit index.
    pub commit: Index,
    /// Leader's quorum round.
    pub round: u64,
}

/// Part of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Position of the snapshot.
    pub position: Position,
    /// Members at that position.
    pub members: member::Set,
    /// Place of the first byte.
    pub offset: u64,
    /// Size of the whole snapshot.
    pub total: u64,
    /// The bytes.
    pub bytes: Arc<[u8]>,
    /// Leader's quorum round.
    pub round: u64,
}
