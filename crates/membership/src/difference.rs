//! Rows that a reader of a table is missing: a difference since its version, or a snapshot.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::owner::Owner;
use crate::row::Row;
use crate::version::Version;

/// The last contact of the sender with another control process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LastContact {
    /// The control process.
    pub owner: Owner,
    /// Time since the last contact, direct or through another process, in milliseconds.
    pub age_ms: u64,
}

/// The rows that changed since a version, or all of them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Difference {
    /// Version number of the reader before this difference; `None` for a snapshot.
    pub since: Option<u64>,
    /// Version of the reader after applying this.
    pub version: Version,
    /// Live rows, sorted by instance.
    pub rows: Vec<Arc<Row>>,
    /// Rows that the reader removes, sorted by instance.
    pub removed: Vec<Arc<Row>>,
    /// Whether the source suspects that it is partitioned and expires nothing.
    pub suspect: bool,
    /// Last contacts with the control processes that own leases; empty in differences for nodes.
    #[serde(rename = "heard")]
    pub last_contacts: Vec<LastContact>,
}

impl Difference {
    /// Whether this contains all requested rows of the source rather than a difference.
    pub fn is_snapshot(&self) -> bool {
        self.since.is_none()
    }
}
