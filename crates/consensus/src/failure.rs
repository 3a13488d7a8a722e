//! Failures of the entry points.

use std::error;
use std::fmt;

use crate::entry::Index;
use crate::member::Id;
use crate::member::Peer;

/// Why a request was refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// This replica does not lead; the leader, when known.
    NotLeader(Option<Peer>),
    /// Too many bytes wait for a quorum.
    Overloaded {
        /// Bytes that wait.
        pending_bytes: usize,
    },
    /// The leader has not yet committed an entry of its own term.
    NotEstablished,
    /// An earlier member change, at this index, is not committed.
    ChangePending(Index),
    /// No member has this id.
    UnknownMember(Id),
    /// A member with this id exists.
    DuplicateMember(Id),
    /// The learner does not hold all that is committed.
    Behind {
        /// What it holds.
        matched: Index,
        /// What is committed.
        commit: Index,
    },
    /// The last voter cannot be removed.
    LastVoter(Id),
    /// The log cannot be compacted here, since it is not applied.
    NotApplied {
        /// The index asked for.
        index: Index,
        /// The last index applied.
        applied: Index,
    },
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotLeader(Some(peer)) => write!(f, "not the leader; member {} leads", peer.id.0),
            Self::NotLeader(None) => write!(f, "not the leader; no leader is known"),
            Self::Overloaded { pending_bytes } => {
                write!(f, "{pending_bytes} bytes already wait for a quorum")
            }
            Self::NotEstablished => write!(f, "the leader has no committed entry of its term yet"),
            Self::ChangePending(index) => {
                write!(f, "the member change at index {} is not committed", index.0)
            }
            Self::UnknownMember(id) => write!(f, "no member {}", id.0),
            Self::DuplicateMember(id) => write!(f, "member {} exists", id.0),
            Self::Behind { matched, commit } => {
                write!(f, "the learner holds {} of {} entries", matched.0, commit.0)
            }
            Self::LastVoter(id) => write!(f, "member {} is the last voter", id.0),
            Self::NotApplied { index, applied } => {
                write!(
                    f,
                    "index {} is after the applied index {}",
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
    /// The message names another sender than the connection.
    WrongSender {
        /// Who the connection says it is.
        connection: Id,
        /// Who the message says it is.
        message: Id,
    },
    /// The message is meant for another member or another disk.
    NotAddressee(Peer),
    /// An answer from a peer that is no member on this disk.
    NotMember(Peer),
}

impl fmt::Display for Ignored {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::WrongSender {
                connection,
                message,
            } => write!(f, "member {} sent as member {}", connection.0, message.0),
            Self::NotAddressee(peer) => {
                write!(f, "meant for {} on {:032x}", peer.id.0, peer.disk.0)
            }
            Self::NotMember(peer) => {
                write!(f, "{} on {:032x} is no member", peer.id.0, peer.disk.0)
            }
        }
    }
}

impl error::Error for Ignored {}

/// Why a restored state cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Corrupt {
    /// The entry that should follow is missing.
    Gap {
        /// The index expected.
        expected: Index,
        /// The index found.
        found: Index,
    },
    /// Terms fall from one entry to the next, or exceed the hard state's.
    Term(Index),
}

impl fmt::Display for Corrupt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Gap { expected, found } => {
                write!(
                    f,
                    "entry {} found where {} was expected",
                    found.0, expected.0
                )
            }
            Self::Term(index) => write!(f, "term out of order at entry {}", index.0),
        }
    }
}

impl error::Error for Corrupt {}
