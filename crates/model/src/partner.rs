//! Partners: customers whose software is the caller.

use crate::name::name;

name! {
    /// Name of a partner.
}
