//! The work that a replica hands to its driver.

use crate::entry::Entry;
use crate::entry::HardState;
use crate::entry::Index;
use crate::entry::Position;
use crate::entry::Snapshot;
use crate::message::Message;
use crate::read::Outcome;

/// State that is written and synced before the rest of the same [`Ready`] is processed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Write {
    /// Term and vote, if changed.
    pub hard_state: Option<HardState>,
    /// Snapshot that replaces all entries up to its position.
    pub snapshot: Option<Snapshot>,
    /// Entries from this index on are discarded before `entries` are written.
    pub truncate: Option<Index>,
    /// Entries to append.
    pub entries: Vec<Entry>,
}

impl Write {
    /// Whether there is nothing to write.
    pub fn is_empty(&self) -> bool {
        self.hard_state.is_none()
            && self.snapshot.is_none()
            && self.truncate.is_none()
            && self.entries.is_empty()
    }
}

/// Confirms that the writes of a [`Ready`] are synced.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Persisted {
    /// Last entry that is on disk.
    pub last: Position,
}

/// Work for the driver, processed in the order of the fields.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ready {
    /// State to write and sync first.
    pub write: Write,
    /// Pass this to `Replica::persisted` after the sync.
    pub persisted: Persisted,
    /// Messages to send after the sync.
    pub messages: Vec<Message>,
    /// Snapshot received from a leader, which replaces the state machine before `committed` is applied.
    pub install: Option<Snapshot>,
    /// Committed entries to apply after `install`.
    pub committed: Vec<Entry>,
    /// Reads to complete last.
    pub reads: Vec<Outcome>,
}

impl Ready {
    /// Whether there is nothing to do.
    pub fn is_empty(&self) -> bool {
        self.write.is_empty()
            && self.messages.is_empty()
            && self.install.is_none()
            && self.committed.is_empty()
            && self.reads.is_empty()
    }
}
