//! Control processes that are listed in the configuration.

use serde::Deserialize;
use serde::Serialize;

use shallotrill_model::instance;
use shallotrill_model::region;
use shallotrill_model::zone;

/// Identifier of a control process.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Id(pub u32);

/// Identity of a disk. A replacement disk has another identity.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Disk(pub u64);

/// A control process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// Identifier of the process.
    pub id: Id,
    /// Disk that stores its data.
    pub disk: Disk,
    /// Instance that it runs on.
    pub instance: instance::Name,
    /// Availability zone of the instance.
    pub zone: zone::Name,
    /// Region of the availability zone.
    pub region: region::Name,
}
