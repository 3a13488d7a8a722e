//! Settings of the registry role.

use std::net::SocketAddr;
use std::path::PathBuf;

use shallotrill_process::clock::Clock;

/// Settings of a registry process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Where it takes the messages of other processes.
    pub listen: SocketAddr,
    /// Where other processes reach it, unless that is where it listens.
    pub advertised: Option<SocketAddr>,
    /// Registry processes to start from; they need not be reachable.
    pub seeds: Vec<SocketAddr>,
    /// Disks that may be lost at once without losing a configured item.
    pub tolerated_disks: usize,
    /// The whole system starts for the first time, so an empty disk has forgotten nothing.
    pub first_start: bool,
    /// Folder for what must survive a restart.
    pub folder: PathBuf,
    /// The clock of the process.
    pub clock: Clock,
}

impl Settings {
    /// The address that other processes are told.
    pub fn address(&self) -> SocketAddr {
        self.advertised.unwrap_or(self.listen)
    }
}
