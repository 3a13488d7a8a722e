//! Numbering of the attempts of one request.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Attempt number, starting at 1.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Number(pub u32);

impl Number {
    /// The first attempt of a request.
    pub const FIRST: Self = Self(1);

    /// The attempt that follows this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for Number {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
