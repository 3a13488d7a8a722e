//! Versions of a table as its readers see them.

use serde::Deserialize;
use serde::Serialize;

use crate::owner::Owner;

/// The number of changes that one life of a control process has made to its table.
///
/// Numbers of different sources are not comparable.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// The control process that counts.
    pub source: Owner,
    /// The number of changes.
    pub number: u64,
}
