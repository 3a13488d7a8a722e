//! Partners: customers whose software is the caller.

use crate::name::name;

name! {
    /// Partner name.
}
