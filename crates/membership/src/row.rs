//! Rows of the membership table, which control processes exchange and nodes receive.

use serde::Deserialize;
use serde::Serialize;

use crate::announcement::AnnouncementVersion;
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
    /// Incarnation of the backend server.
    pub incarnation: Incarnation,
    /// Whether this incarnation has left, which is final: later announcements of it are refused.
    #[serde(rename = "left")]
    pub departed: bool,
    /// Announcement of this incarnation.
    pub session: AnnouncementVersion,
    /// Number of changes of the lease by control processes: moved to another owner, expired, renewed after expiry.
    pub sequence: u64,
    /// Control process that created the row; it holds the lease while the row is live.
    pub owner: Owner,
}

/// Whether a target is available, and why not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Presence {
    /// A control process holds its lease.
    Live,
    /// The backend server left; this incarnation cannot be announced again.
    Left,
    /// Its lease expired; the row becomes live again when its node renews the lease.
    Expired,
}

/// The state of one instance in the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Row {
    /// The target as last announced.
    pub target: Target,
    /// Position in the order of the rows of this instance.
    pub stamp: Stamp,
    /// Whether the target is live, left or expired.
    pub presence: Presence,
}

impl Row {
    /// Whether a control process holds the lease.
    pub fn is_live(&self) -> bool {
        self.presence == Presence::Live
    }
}
