//! What the driver has to do, in order.

use crate::entry::Entry;
use crate::entry::Hard;
use crate::entry::Index;
use crate::entry::Position;
use crate::entry::Snapshot;
use crate::message::Message;
use crate::read::Outcome;

/// State to write and sync before anything else of the same [`Ready`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Write {
    /// Term and vote, when changed.
    pub hard: Option<Hard>,
    /// Snapshot that replaces all entries up to its position.
    pub snapshot: Option<Snapshot>,
    /// Entries from this index on are discarded before `entries` are written.
    pub truncate: Option<Index>,
    /// Entries to append.
    pub entries: Vec<Entry>,
}

impl Write {
    /// Whether nothing needs a sync.
    pub fn is_empty(&self) -> bool {
        self.hard.is_none()
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

/// Work of one step, carried out in the order of the fields.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ready {
    /// Write and sync this first.
    pub write: Write,
    /// Pass this to `Replica::persisted` after the sync.
    pub persisted: Persisted,
    /// Then send these.
    pub messages: Vec<Message>,
    /// Then replace the state machine by this snapshot, received from a leader.
    pub install: Option<Snapshot>,
    /// Then apply these.
    pub committed: Vec<Entry>,
    /// Then answer these reads.
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
