//! Identifier of an operator's command, used to deduplicate resent commands.

use crate::hex::id;

pub use crate::hex::Invalid;

id! {
    /// Command identifier, written as 32 hexadecimal digits.
    Id
}
