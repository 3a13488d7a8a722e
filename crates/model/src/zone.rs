//! Availability zones.

use crate::name::name;

name! {
    /// Name of an availability zone.
}
