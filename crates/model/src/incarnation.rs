//! Incarnation numbers, which distinguish a restarted backend server from its previous process.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Incarnation number of a backend server. It increases with each restart.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
