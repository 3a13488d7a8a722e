//! The statements of operators: their grammar, the typed statements and the results.
//!
//! The parser and the help text use the same table of forms, so the help text
//! describes exactly what the parser accepts. The package performs no I/O and
//! has no state: a text parses to the same statement in every process.

mod cursor;
mod error;
pub mod form;
pub mod key;
pub mod result_table;
pub mod setting;
mod statement;
mod token;
pub mod unit;

pub use self::error::Error;
pub use self::form::parse;
pub use self::statement::Settlement;
pub use self::statement::Show;
pub use self::statement::Statement;
