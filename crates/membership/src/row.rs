//! Rows of the table, which control processes exchange and nodes receive.

use serde::Deserialize;
use serde::Serialize;

use crate::announcement::Session;
use crate::owner::Owner;
use shallotrill_model::incarnation::Incarnation;
use shallotrill_model::target::Target;

/// Total order of the rows of one instance. The greatest stamp wins in every table.
///
/// An owner raises `sequence` above every stamp that it knows, so two different
/// rows never have equal stamps.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stamp {
    /// Life of the backend server.
    pub incarnation: Incarnation,
    /// Whether this life has left, which is final: no announcement of it comes after.
    pub left: bool,
    /// Announcement of this life.
    pub session: Session,
    /// Changes of the lease by control processes: moved to another owner, expired, renewed after expiry.
    pub sequence: u64,
    /// Control process that made the row; holds the lease while the row is live.
    pub owner: Owner,
}

/// Whether a target takes part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Presence {
    /// Its lease is held.
    Live,
    /// It left; this incarnation does not come back.
    Left,
    /// Its lease expired; it is live again when its node renews.
    Expired,
}

/// What is known of one instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Row {
    /// The target as last announced.
    pub target: Target,
    /// Place in the order of rows of this instance.
    pub stamp: Stamp,
    /// Whether it takes part.
    pub presence: Presence,
}

impl Row {
    /// Whether the lease is held.
    pub fn is_live(&self) -> bool {
        self.presence == Presence::Live
    }
}
