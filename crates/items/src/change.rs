//! A change as an operator sends it.

use std::error;
use std::fmt;

use crate::item::Key;

/// Why a change is refused as a whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// An item cannot be in force.
    Invalid {
        /// The item.
        key: Key,
        /// What is wrong with it.
        problem: crate::check::Problem,
    },
    /// Another content is in force with the same version.
    Conflict {
        /// The item.
        key: Key,
        /// The version.
        version: u64,
    },
}

impl Refusal {
    /// Whether other content stands in the way, and not a fault of the change itself.
    pub const fn is_conflict(&self) -> bool {
        matches!(self, Self::Conflict { .. })
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Invalid { key, problem } => write!(f, "{key}: {problem}"),
            Self::Conflict { key, version } => {
                write!(f, "{key} has other content in version {version}")
            }
        }
    }
}

impl error::Error for Refusal {}
