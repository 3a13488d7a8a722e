//! Announcements of a backend server, which its node sends to the control processes.

use serde::Deserialize;
use serde::Serialize;

use shallotrill_model::target::Target;

/// Version of an announcement. It orders the announcements of one incarnation, so that a delayed one does not undo a drain.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(deny_unknown_fields)]
pub struct AnnouncementVersion {
    /// Rises with each start of the node process.
    pub node: u64,
    /// Rises with each changed announcement of one node process.
    pub sequence: u64,
}

/// A target as announced by its node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// The target.
    pub target: Target,
    /// Version of the announcement.
    pub session: AnnouncementVersion,
}
