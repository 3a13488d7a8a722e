//! Refusals of a change that an operator sends.

use std::error;
use std::fmt;

use crate::item::Key;

/// Why a change is refused. No part of a refused change is applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// An item of the change is not valid.
    Invalid {
        /// The item.
        key: Key,
        /// The rule that the item violates.
        problem: crate::check::ValidationError,
    },
    /// The same version of the item exists with different content.
    Conflict {
        /// The item.
        key: Key,
        /// The version.
        version: u64,
    },
}

impl Refusal {
    /// Whether the change could be accepted if other items were different.
    pub const fn depends_on_others(&self) -> bool {
        match self {
            Self::Conflict { .. } => true,
            Self::Invalid { problem, .. } => {
                use crate::check::ValidationError;
                matches!(
                    problem,
                    ValidationError::UnknownService(_) | ValidationError::SharedKey(_)
                )
            }
        }
    }

    /// Whether the change conflicts with existing content. `false` means that the change itself is invalid.
    pub const fn is_conflict(&self) -> bool {
        matches!(self, Self::Conflict { .. })
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Invalid { key, problem } => write!(f, "{key}: {problem}"),
            Self::Conflict { key, version } => {
                write!(
                    f,
                    "version {version} of {key} exists with different content"
                )
            }
        }
    }
}

impl error::Error for Refusal {}
