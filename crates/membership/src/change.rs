//! Changes of the table and refusals of them.

use std::error;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::announcement::Session;
use crate::row::Row;
use shallotrill_model::incarnation::Incarnation;

/// What happened to a row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Nothing but the renewal of its lease.
    Unchanged,
    /// The instance was not known or not live.
    Joined,
    /// A new life or another announcement of the same life.
    Updated,
    /// Another control process holds the lease.
    Moved,
    /// It left.
    Left,
    /// Its lease expired.
    Expired,
}

/// A row after what happened to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// What happened.
    pub kind: Kind,
    /// The row now.
    pub row: Arc<Row>,
}

/// Why an announcement, a renewal or a leave was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// A later incarnation is known; holds it.
    Superseded(Incarnation),
    /// A later announcement of the same incarnation is known; holds its session.
    Late(Session),
    /// The same session was announced with another content; holds it.
    Reused(Session),
    /// The instance name is in use at another address.
    Conflict {
        /// Address that holds the lease.
        held: SocketAddr,
        /// Address that was refused.
        offered: SocketAddr,
    },
    /// This incarnation left; holds it.
    Left(Incarnation),
    /// Nothing is known of the instance or of this incarnation; its node announces it anew.
    Unknown,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Superseded(current) => write!(f, "incarnation {current} is known"),
            Self::Late(session) => {
                let Session { node, sequence } = session;
                write!(f, "announcement {sequence} of node start {node} is known")
            }
            Self::Reused(session) => {
                let Session { node, sequence } = session;
                write!(
                    f,
                    "announcement {sequence} of node start {node} had another content"
                )
            }
            Self::Conflict { held, offered } => {
                write!(
                    f,
                    "the name is in use at {held} and was announced from {offered}"
                )
            }
            Self::Left(incarnation) => write!(f, "incarnation {incarnation} has left"),
            Self::Unknown => write!(f, "the instance is not known"),
        }
    }
}

impl error::Error for Refusal {}
