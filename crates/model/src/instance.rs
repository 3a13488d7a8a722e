//! Instances: the machines on which processes run.

use crate::name::name;

name! {
    /// Instance name.
}
