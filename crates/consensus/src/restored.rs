//! State read back from the disk at start.

use crate::entry::Entry;
use crate::entry::Hard;
use crate::entry::Snapshot;

/// State read back from the disk at start; the default is that of an empty disk.
#[derive(Clone, Debug, Default)]
pub struct Restored {
    /// Term and vote.
    pub hard: Hard,
    /// Last snapshot.
    pub snapshot: Option<Snapshot>,
    /// Entries in order, which may begin before the end of the snapshot.
    pub entries: Vec<Entry>,
}
