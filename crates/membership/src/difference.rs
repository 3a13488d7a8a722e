//! What a reader of a table lacks.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::owner::Owner;
use crate::row::Row;
use crate::version::Version;

/// A control process and the time since the sender last had news of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Heard {
    /// The control process.
    pub owner: Owner,
    /// Age of the last news, in milliseconds.
    pub age_ms: u64,
}

/// The rows that changed since a version, or all of them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Difference {
    /// The number that the reader held, or nothing when this is a snapshot.
    pub since: Option<u64>,
    /// What the reader holds after applying this.
    pub version: Version,
    /// Live rows, sorted by instance.
    pub rows: Vec<Arc<Row>>,
    /// Rows that the reader drops, sorted by instance.
    pub removed: Vec<Arc<Row>>,
    /// Whether the source suspects that it is cut off and expires nothing.
    pub suspect: bool,
    /// News of the control processes that own leases; filled for other control processes only.
    pub heard: Vec<Heard>,
}

impl Difference {
    /// Whether this holds everything that the source knows.
    pub fn is_snapshot(&self) -> bool {
        self.since.is_none()
    }
}
