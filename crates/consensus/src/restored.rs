//! State that a replica restores at the start of the process.

use crate::entry::Entry;
use crate::entry::HardState;
use crate::entry::Snapshot;

/// State read from the disk at the start of the process; the default is that of an empty disk.
#[derive(Clone, Debug, Default)]
pub struct Restored {
    /// Last persisted term and vote.
    pub hard_state: HardState,
    /// Last snapshot, if any.
    pub snapshot: Option<Snapshot>,
    /// Entries in order of index; the first ones may be covered by the snapshot.
    pub entries: Vec<Entry>,
}
