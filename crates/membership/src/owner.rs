//! Control processes as owners of leases and sources of differences.

use serde::Deserialize;
use serde::Serialize;

use shallotrill_model::instance;

/// One start of a control process. A restarted process has lost its leases and counts as another owner.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Owner {
    /// Instance of the control process.
    pub name: instance::Name,
    /// Start id, which differs between two starts of the process.
    pub start: u64,
}
