//! Parse errors of statements.

use std::error;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// The position at which a text is not a valid statement, and what is expected there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Error {
    /// Column of the error in characters, starting at 1.
    pub column: usize,
    /// The text at that column; `None` at the end of the statement.
    pub found: Option<String>,
    /// Descriptions of the tokens that are allowed there.
    pub expected: Vec<String>,
    /// An allowed keyword that is similar to the word found.
    #[serde(rename = "meant")]
    pub suggestion: Option<String>,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "column {}: found ", self.column)?;
        match &self.found {
            Some(found) => write!(f, "{found:?}")?,
            None => write!(f, "the end of the statement")?,
        }
        write!(f, ", expected {}", self.expected.join(" or "))?;
        match &self.suggestion {
            Some(suggestion) => write!(f, "; did you mean {suggestion:?}?"),
            None => Ok(()),
        }
    }
}

impl error::Error for Error {}
