//! What this router has read of the items of one registry process, and whether it must read from it again.
//!
//! Load pattern: a change of a thousand routes while one of five registry
//! processes lags behind. The items are read once, from one process, and the
//! process that lags is not read again and again because its items differ.

/// Progress of reading the items of one registry process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Revision of the process up to which this router has its items.
    revision: u64,
    /// Hash of its items when they were last read.
    read_hash: Option<u64>,
    /// Whether its last reply stated items that differ from those of this router and were not read since.
    differs: bool,
}

/// What a reply of the process says about its items.
#[derive(Clone, Copy, Debug)]
pub struct Stated {
    /// Hash of its items.
    pub hash: u64,
    /// Its revision.
    pub revision: u64,
    /// Whether the reply contained all items that this router lacked. A process that does not know what is in force
    /// sends nothing to a router without items.
    pub was_read: bool,
}

impl Progress {
    /// Applies a reply after its items were applied; `own_hash` is the hash of the items of this router then.
    pub fn record(&mut self, stated: Stated, own_hash: u64) {
        if stated.was_read {
            self.read_hash = Some(stated.hash);
        }
        let is_equal = stated.hash == own_hash;
        if stated.was_read || is_equal {
            self.revision = stated.revision;
        }
        // Items that were read and still differ are older than those of this router: the process lags behind.
        self.differs = !is_equal && self.read_hash != Some(stated.hash);
    }

    /// Whether the process has items that this router must read from it, unless another process sends them first.
    pub const fn differs(&self) -> bool {
        self.differs
    }

    /// Revision after which the next read of its items begins.
    pub const fn revision(&self) -> u64 {
        self.revision
    }
}
