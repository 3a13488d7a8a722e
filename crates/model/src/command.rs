//! Identity of an operator's command, which makes a resent command idempotent.

use crate::hex::id;

pub use crate::hex::Invalid;

id! {
    /// Identifier of a command, 32 hexadecimal digits as text.
    Id
}
