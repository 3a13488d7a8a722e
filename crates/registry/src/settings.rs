//! Settings of the registry role.

use std::net::SocketAddr;
use std::path::PathBuf;

/// Settings of a registry process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Where it takes the messages of other processes.
    pub listen: SocketAddr,
    /// Registry processes to start from; they need not be reachable.
    pub seeds: Vec<SocketAddr>,
    /// Disks that may be lost at once without losing a configured item.
    pub tolerated_disks: usize,
    /// The whole system starts for the first time, so an empty disk has forgotten nothing.
    pub first_start: bool,
    /// Folder for what must survive a restart.
    pub folder: PathBuf,
}
