//! Errors of the entry points of a replica.

use std::error;
use std::fmt;

use crate::entry::Index;
use crate::member::Id;
use crate::member::Peer;

/// Why a request was refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// This replica does not lead; contains the leader, if known.
    NotLeader(Option<Peer>),
    /// The limit on uncommitted bytes is reached.
    Overloaded {
        /// Size of the uncommitted entries.
        pending_bytes: usize,
    },
    /// The leader has not yet committed an entry of its own term.
    NotEstablished,
    /// An earlier member change is not committed; contains the index of its entry.
    ChangePending(Index),
    /// No member has this id.
    UnknownMember(Id),
    /// A member with this id exists already.
    DuplicateMember(Id),
    /// The learner does not hold all committed entries.
    Behind {
        /// Last index that the learner holds.
        matched: Index,
        /// Last committed index.
        commit: Index,
    },
    /// The last voter cannot be removed.
    LastVoter(Id),
    /// The log cannot be compacted at an index that is not applied.
    NotApplied {
        /// Index that was requested.
        index: Index,
        /// Last index that is applied.
        applied: Index,
    },
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotLeader(Some(peer)) => write!(
                f,
                "this replica is not the leader; member {} leads",
                peer.id.0
            ),
            Self::NotLeader(None) => {
                write!(f, "this replica is not the leader and knows no leader")
            }
            Self::Overloaded { pending_bytes } => {
                write!(
                    f,
                    "the proposal exceeds the limit on uncommitted entries: {pending_bytes} bytes already wait for a quorum"
                )
            }
            Self::NotEstablished => write!(f, "the leader has no committed entry of its term yet"),
            Self::ChangePending(index) => {
                write!(
                    f,
                    "an earlier member change at index {} is not committed yet",
                    index.0
                )
            }
            Self::UnknownMember(id) => write!(f, "the log group has no member {}", id.0),
            Self::DuplicateMember(id) => write!(f, "member {} is already in the log group", id.0),
            Self::Behind { matched, commit } => {
                write!(
                    f,
                    "the learner cannot be promoted: it holds entries up to {}, and {} is committed",
                    matched.0, commit.0
                )
            }
            Self::LastVoter(id) => {
                write!(f, "member {} cannot be removed: it is the last voter", id.0)
            }
            Self::NotApplied { index, applied } => {
                write!(
                    f,
                    "the log cannot be compacted at index {}: only entries up to {} are applied",
                    index.0, applied.0
                )
            }
        }
    }
}

impl error::Error for Refusal {}

/// Why a message was ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ignored {
    /// The sender in the message differs from the member at the other end of the connection.
    WrongSender {
        /// Member at the other end of the connection.
        connection: Id,
        /// Sender that the message names.
        message: Id,
    },
    /// The message is addressed to another member or another disk.
    NotAddressee(Peer),
    /// The response comes from a peer that, with its disk, is not a member.
    NotMember(Peer),
}

impl fmt::Display for Ignored {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::WrongSender {
                connection,
                message,
            } => write!(
                f,
                "member {} sent a message that names member {} as its sender",
                connection.0, message.0
            ),
            Self::NotAddressee(peer) => {
                write!(
                    f,
                    "the message is addressed to member {} with disk {:032x}",
                    peer.id.0, peer.disk.0
                )
            }
            Self::NotMember(peer) => {
                write!(
                    f,
                    "peer {} with disk {:032x} is not a member",
                    peer.id.0, peer.disk.0
                )
            }
        }
    }
}

impl error::Error for Ignored {}

/// Why a restored state cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Corrupt {
    /// An entry is missing.
    Gap {
        /// Index that should follow.
        expected: Index,
        /// Index that was found instead.
        found: Index,
    },
    /// The term of this entry is below that of the entry before it, or above that of the hard state.
    Term(Index),
}

impl fmt::Display for Corrupt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Gap { expected, found } => {
                write!(
                    f,
                    "the restored log has a gap: entry {} follows where entry {} is expected",
                    found.0, expected.0
                )
            }
            Self::Term(index) => write!(
                f,
                "the restored log is invalid: the term of entry {} is below that of the entry before it or above the current term",
                index.0
            ),
        }
    }
}

impl error::Error for Corrupt {}
