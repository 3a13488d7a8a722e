//! Regions: groups of nearby availability zones.

use crate::name::name;

name! {
    /// Region name.
}
