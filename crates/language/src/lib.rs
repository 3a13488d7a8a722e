//! Grammar of the operators' statements, typed statements and formatted answers.
//!
//! One table of forms drives both the parser and the help text, so that what
//! is described is what is accepted. The package is pure: the same text gives
//! the same statement everywhere.

pub mod answer;
mod cursor;
mod error;
pub mod form;
pub mod key;
pub mod setting;
mod statement;
mod token;
pub mod unit;

pub use self::error::Error;
pub use self::form::parse;
pub use self::statement::Settlement;
pub use self::statement::Show;
pub use self::statement::Statement;
