//! Instances: the machines that processes run on.

use crate::name::name;

name! {
    /// Name of an instance.
}
