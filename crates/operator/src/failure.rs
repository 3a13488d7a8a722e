//! Refusals and failures of statements, with stable codes.

use std::error;
use std::fmt;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use shallotrill_language::Error;
use shallotrill_model::command;
use shallotrill_model::revision::Revision;

/// Why a statement returned no result. The variant name in kebab case is the stable code.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "code", rename_all = "kebab-case")]
pub enum Failure {
    /// The text cannot be parsed as a statement.
    Statement(Error),
    /// The request is invalid or cannot be executed.
    Request {
        /// HTTP status for the reason.
        status: u16,
        /// Why the request is refused.
        reason: String,
    },
    /// A statement that changes the configuration was sent without a command id.
    CommandMissing,
    /// Another change was accepted after the revision on which the statement is based.
    Conflict {
        /// Revision on which the statement is based.
        built_on: Revision,
        /// The current revision.
        current: Revision,
        /// Command of the change that was accepted instead, if it is known.
        winner: Option<command::Id>,
    },
    /// Another statement was accepted earlier with the same command id.
    CommandReused {
        /// Id of the command.
        command: command::Id,
    },
    /// No quorum is reachable, so no change is accepted and the current configuration is not known here.
    NoQuorum,
    /// The change was proposed, but no quorum confirmed it in time. It may still be accepted.
    Undecided {
        /// Id of the command, for `show command` or for sending the statement again.
        command: command::Id,
    },
    /// This control process is not the leader.
    NotLeader {
        /// Operator address of the leader, if it is known.
        leader: Option<SocketAddr>,
    },
    /// No object of this kind has this name.
    UnknownName {
        /// Kind of the object, such as `service`.
        kind: String,
        /// The name.
        name: String,
    },
    /// An object of this kind and name exists already.
    Exists {
        /// Kind of the object, such as `service`.
        kind: String,
        /// The name.
        name: String,
    },
    /// A value is not allowed.
    InvalidValue {
        /// Key of the value, such as `operator`.
        key: String,
        /// Description of the allowed values.
        allowed: String,
    },
    /// The control process failed.
    Internal {
        /// Description of the failure.
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

    /// HTTP status of the response.
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

    /// Returns true when another control process may execute the statement.
    pub const fn is_retryable(&self) -> bool {
        matches!(
            self,
            Self::NoQuorum | Self::Undecided { .. } | Self::NotLeader { .. }
        )
    }

    /// Returns true when a change may have been or may still be accepted in spite of this failure.
    pub const fn may_be_accepted(&self) -> bool {
        matches!(self, Self::Undecided { .. } | Self::Internal { .. })
    }

    /// Exit code of `shallotctl`.
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
            Self::Request { reason, .. } => write!(f, "the request is refused: {reason}"),
            Self::CommandMissing => f.write_str("a statement that changes the configuration requires a command id"),
            Self::Conflict {
                built_on,
                current,
                winner,
            } => {
                write!(f, "the statement is based on revision {built_on}, but the current revision is {current}")?;
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
                "no quorum of control processes is reachable; changes are not accepted, and the current configuration is not known here",
            ),
            Self::Undecided { command } => write!(
                f,
                "no quorum confirmed command {command} in time; it may still be accepted"
            ),
            Self::NotLeader { leader: Some(leader) } => write!(f, "this control process is not the leader; the leader is {leader}"),
            Self::NotLeader { leader: None } => {
                f.write_str("this control process is not the leader, and no leader is known")
            }
            Self::UnknownName { kind, name } => write!(f, "there is no {kind} {name}"),
            Self::Exists { kind, name } => write!(f, "there is a {kind} {name} already"),
            Self::InvalidValue { key, allowed } => {
                write!(f, "the value of {key} is not valid; allowed: {allowed}")
            }
            Self::Internal { reason } => write!(f, "internal error of the control process: {reason}"),
        }
    }
}

impl error::Error for Failure {}
