//! Identity of a caller's request, the same through all processes and attempts.

use crate::hex::id;

pub use crate::hex::Invalid;

id! {
    /// Identifier of a request, 32 hexadecimal digits as text.
    Id
}
