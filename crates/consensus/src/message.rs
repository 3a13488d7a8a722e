//! Messages between replicas of the log.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::entry::Entry;
use crate::entry::Index;
use crate::entry::Position;
use crate::entry::Term;
use crate::member;
use crate::member::Peer;

/// A message. Sender and receiver are identified by member and disk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Sender.
    pub from: Peer,
    /// Receiver; a member with another disk ignores the message.
    pub to: Peer,
    /// Term of the sender. In [`Body::PreVote`] and a granted [`Body::PreVoted`] it is the term of the
    /// proposed election.
    pub term: Term,
    /// Content.
    pub body: Body,
}

/// Content of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks whether a vote would be granted, without raising a term; contains the sender's last position.
    PreVote(Position),
    /// Response to `PreVote`.
    PreVoted(bool),
    /// Requests a vote; contains the candidate's last position.
    Vote(Position),
    /// Response to `Vote`.
    Voted(bool),
    /// Appends entries; without entries it is a heartbeat.
    Append(Append),
    /// Response to `Append` or `Chunk`: the sender's log matches the leader's up to this index.
    Appended {
        /// Last index up to which the log is known to equal the leader's.
        matched: Index,
        /// Quorum round of the append or chunk.
        round: u64,
    },
    /// Response to `Append`: the entry before the append is missing or differs. Also the response of a
    /// replica that does not follow the sender.
    Mismatched {
        /// Last position at which the logs may match.
        hint: Position,
        /// Quorum round of the append or chunk.
        round: u64,
    },
    /// Part of a snapshot.
    Chunk(Chunk),
    /// Response to `Chunk`: the bytes of the snapshot before this offset are received.
    Received {
        /// Position of the snapshot.
        position: Position,
        /// Offset of the next byte to send.
        offset: u64,
        /// Quorum round of the chunk.
        round: u64,
    },
}

/// Entries that follow a position in the leader's log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Append {
    /// Position of the entry before the first of `entries`.
    pub previous: Position,
    /// Entries in order, without gaps.
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
    /// Offset of the first byte in the snapshot.
    pub offset: u64,
    /// Size of the complete snapshot in bytes.
    pub total: u64,
    /// Bytes of the snapshot from `offset` on.
    pub bytes: Arc<[u8]>,
    /// Leader's quorum round.
    pub round: u64,
}
