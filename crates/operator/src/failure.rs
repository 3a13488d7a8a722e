//! Refusals and failures of statements, with stable codes.

use std::error;
use std::fmt;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use shallotrill_language::Error;
use shallotrill_model::command;
use shallotrill_model::revision::Revision;

/// Why a statement has no answer. The variant's name in kebab case is the stable code.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "code", rename_all = "kebab-case")]
pub enum Failure {
    /// The text is not a statement.
    Statement(Error),
    /// The request around the statement is wrong.
    Request {
        /// HTTP status that belongs to the reason.
        status: u16,
        /// What is wrong.
        reason: String,
    },
    /// A statement that changes something came without a command id.
    CommandMissing,
    /// Another change was accepted since the revision that the statement builds on.
    Conflict {
        /// The revision that the statement builds on.
        built_on: Revision,
        /// The current revision.
        current: Revision,
        /// The command that was accepted instead, if it is known.
        winner: Option<command::Id>,
    },
    /// A command with this id and another statement was accepted before.
    CommandReused {
        /// The id.
        command: command::Id,
    },
    /// No quorum can be reached, so nothing is accepted and nobody knows what is in force.
    NoQuorum,
    /// The change was proposed, and the quorum was lost before it was known to be accepted. It may still be.
    Undecided {
        /// Id of the command, to ask about it or to send it again.
        command: command::Id,
    },
    /// Another control process leads.
    NotLeader {
        /// Operator address of the leader, if it is known.
        leader: Option<SocketAddr>,
    },
    /// There is nothing of this name.
    UnknownName {
        /// What was looked for, such as `service`.
        kind: String,
        /// The name.
        name: String,
    },
    /// There is something of this name already.
    Exists {
        /// What exists, such as `service`.
        kind: String,
        /// The name.
        name: String,
    },
    /// A value is not allowed.
    InvalidValue {
        /// The key.
        key: String,
        /// What is allowed.
        allowed: String,
    },
    /// The control process failed.
    Internal {
        /// What failed.
        reason: String,
    },
}

impl Failure {
    /// The stable code.
    pub const fn code(&self) -> &'static str {
        match self {
            Self::Statement(_) => "statement",
            Self::Request { .. } => "request",
            Self::CommandMissing => "command-missing",
            Self::Conflict { .. } => "conflict",
            Self::CommandReused { .. } => "command-reused",
            Self::NoQuorum => "no-quorum",
            Self::Undecided { .. } => "undecided",
            Self::NotLeader { .. } => "not-leader",
            Self::UnknownName { .. } => "unknown-name",
            Self::Exists { .. } => "exists",
            Self::InvalidValue { .. } => "invalid-value",
            Self::Internal { .. } => "internal",
        }
    }

    /// The HTTP status.
    pub const fn status(&self) -> u16 {
        match self {
            Self::Statement(_) | Self::CommandMissing => 400,
            Self::Request { status, .. } => *status,
            Self::UnknownName { .. } => 404,
            Self::Conflict { .. } | Self::CommandReused { .. } | Self::Exists { .. } => 409,
            Self::NotLeader { .. } => 421,
            Self::InvalidValue { .. } => 422,
            Self::Internal { .. } => 500,
            Self::NoQuorum => 503,
            Self::Undecided { .. } => 504,
        }
    }

    /// Whether another control process may answer where this one does not.
    pub const fn is_elsewhere(&self) -> bool {
        matches!(
            self,
            Self::NoQuorum | Self::Undecided { .. } | Self::NotLeader { .. }
        )
    }

    /// Whether a change may be accepted in spite of this failure.
    pub const fn is_open(&self) -> bool {
        matches!(self, Self::Undecided { .. } | Self::Internal { .. })
    }

    /// The exit code of the command line.
    pub const fn exit_code(&self) -> u8 {
        match self {
            Self::NoQuorum | Self::Undecided { .. } | Self::NotLeader { .. } => 3,
            Self::Statement(_) => 2,
            _ => 1,
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Statement(error) => write!(f, "{error}"),
            Self::Request { reason, .. } => write!(f, "the request is wrong: {reason}"),
            Self::CommandMissing => f.write_str("a statement that changes something needs a command id"),
            Self::Conflict {
                built_on,
                current,
                winner,
            } => {
                write!(f, "the statement builds on revision {built_on}, but revision {current} is current")?;
                match winner {
                    Some(id) => write!(f, "; command {id} was accepted instead"),
                    None => Ok(()),
                }
            }
            Self::CommandReused { command } => write!(
                f,
                "command {command} was used for another statement; use a new id"
            ),
            Self::NoQuorum => f.write_str(
                "no quorum of control processes is reachable; nothing is accepted, and what is in force is not known here",
            ),
            Self::Undecided { command } => write!(
                f,
                "the quorum was lost while command {command} was being accepted; it may still be accepted"
            ),
            Self::NotLeader { leader: Some(leader) } => write!(f, "{leader} leads"),
            Self::NotLeader { leader: None } => {
                f.write_str("this control process does not lead and knows no leader")
            }
            Self::UnknownName { kind, name } => write!(f, "there is no {kind} {name}"),
            Self::Exists { kind, name } => write!(f, "there is a {kind} {name} already"),
            Self::InvalidValue { key, allowed } => {
                write!(f, "the value of {key} is not allowed; allowed is {allowed}")
            }
            Self::Internal { reason } => write!(f, "the control process failed: {reason}"),
        }
    }
}

impl error::Error for Failure {}
