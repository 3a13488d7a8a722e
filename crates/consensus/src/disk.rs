//! Identity of the disk that holds a replica's state.

use serde::Deserialize;
use serde::Serialize;

/// Random number given to a disk when its data folder is created.
///
/// A replica that lost its disk comes back with another identity, so that promises it no longer remembers do not count.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Identity(pub u128);
