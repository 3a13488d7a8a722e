//! Control processes as owners of leases and sources of differences.

use serde::Deserialize;
use serde::Serialize;

use shallotrill_model::instance;

/// One life of a control process. A restarted one has lost its leases and counts as another owner.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Owner {
    /// Instance of the control process.
    pub name: instance::Name,
    /// Differs between the lives of the process.
    pub start: u64,
}
