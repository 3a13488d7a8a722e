//! Results of operations on the table: the change of a row, or the refusal of the operation.

use std::error;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::announcement::AnnouncementVersion;
use crate::row::Row;
use shallotrill_model::incarnation::Incarnation;

/// How an operation changed a row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Only the lease was renewed.
    Unchanged,
    /// The instance is live and was unknown or removed before.
    Joined,
    /// A new incarnation, or another announcement of the same incarnation.
    Updated,
    /// The lease moved to another control process.
    Moved,
    /// The backend server left.
    Left,
    /// The lease expired.
    Expired,
}

/// A row after an operation, with the kind of its change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// How the row changed.
    pub kind: Kind,
    /// The row after the operation.
    pub row: Arc<Row>,
}

/// Why an announcement, a renewal or a leave was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// A later incarnation is known; contains it.
    Superseded(Incarnation),
    /// A later announcement of the same incarnation is known; contains its version.
    Late(AnnouncementVersion),
    /// The same version was already announced with a different content; contains the version.
    Reused(AnnouncementVersion),
    /// The instance name is in use at another address.
    Conflict {
        /// Address of the instance that uses the name.
        held: SocketAddr,
        /// Address of the refused announcement.
        offered: SocketAddr,
    },
    /// This incarnation has left; contains it.
    Left(Incarnation),
    /// The instance or this incarnation is unknown; its node has to announce it again.
    Unknown,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Superseded(current) => write!(
                f,
                "the later incarnation {current} of the instance is known"
            ),
            Self::Late(session) => {
                let AnnouncementVersion { node, sequence } = session;
                write!(
                    f,
                    "a later announcement, number {sequence} of node start {node}, is known"
                )
            }
            Self::Reused(session) => {
                let AnnouncementVersion { node, sequence } = session;
                write!(
                    f,
                    "announcement {sequence} of node start {node} was already received with a different content"
                )
            }
            Self::Conflict { held, offered } => {
                write!(
                    f,
                    "the instance name is in use at {held}, and {offered} announced it as well"
                )
            }
            Self::Left(incarnation) => {
                write!(f, "incarnation {incarnation} of the instance has left")
            }
            Self::Unknown => write!(f, "the instance or its incarnation is unknown"),
        }
    }
}

impl error::Error for Refusal {}
