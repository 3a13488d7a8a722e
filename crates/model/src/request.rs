//! Identifier of a caller's request, the same in all processes and for all attempts.

use crate::hex::id;

pub use crate::hex::Invalid;

id! {
    /// Request identifier, written as 32 hexadecimal digits.
    Id
}
