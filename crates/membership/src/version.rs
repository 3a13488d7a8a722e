//! Versions of a table, by which readers request the changes since their last update.

use serde::Deserialize;
use serde::Serialize;

use crate::owner::Owner;

/// The number of changes that a control process has made to its table since its start.
///
/// Numbers of different sources are not comparable.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// The control process whose table has this version.
    pub source: Owner,
    /// Number of changes since the start of the process.
    pub number: u64,
}
