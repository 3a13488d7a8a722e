//! A text that is not a statement.

use std::error;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Where a text stops being a statement, and what would be one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Error {
    /// Column in characters, from 1.
    pub column: usize,
    /// The word at that column, or nothing at the end of the statement.
    pub found: Option<String>,
    /// What is allowed there.
    pub expected: Vec<String>,
    /// The keyword that was probably meant.
    pub meant: Option<String>,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "column {}: found ", self.column)?;
        match &self.found {
            Some(found) => write!(f, "{found:?}")?,
            None => write!(f, "the end of the statement")?,
        }
        write!(f, ", expected {}", self.expected.join(" or "))?;
        match &self.meant {
            Some(meant) => write!(f, "; did you mean {meant:?}?"),
            None => Ok(()),
        }
    }
}

impl error::Error for Error {}
