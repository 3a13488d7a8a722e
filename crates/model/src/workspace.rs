//! Workspaces: customers whose requests are identified by a key.

use crate::name::name;

name! {
    /// Workspace name.
}
