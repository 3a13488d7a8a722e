//! Identity of the disk that holds a replica's state.

use serde::Deserialize;
use serde::Serialize;

/// Random identifier that a disk receives when its data folder is created.
///
/// A replica that lost its disk restarts with a different identity, so that its
/// earlier votes and acknowledgements, which it no longer stores, do not count.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Identity(pub u128);
