//! Regions: groups of availability zones near each other.

use crate::name::name;

name! {
    /// Name of a region.
}
