//! Settings of the registry role.

use std::net::SocketAddr;
use std::path::PathBuf;

use shallotrill_limits::process::Limits;
use shallotrill_model::zone;
use shallotrill_process::clock::Clock;

/// Settings of a registry process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Listen address for requests of other processes.
    pub listen: SocketAddr,
    /// Address at which other processes reach this one; `None` when it is `listen`.
    pub advertised: Option<SocketAddr>,
    /// Registry processes to contact first; they need not be reachable. The seeds at the start, which
    /// `Registry::set_seeds` replaces.
    pub seeds: Vec<SocketAddr>,
    /// Number of disks that may be lost at the same time without losing a configured item.
    pub tolerated_disks: usize,
    /// Whether the whole system starts for the first time. Then an empty disk has lost nothing, and
    /// the process may vote at once.
    pub first_start: bool,
    /// Availability zones of the deployment, sorted; operators may evacuate them.
    pub zones: Vec<zone::Name>,
    /// Data folder for the state that must survive a restart.
    pub folder: PathBuf,
    /// Memory and descriptors of the process.
    pub limits: Limits,
    /// The clock of the process.
    pub clock: Clock,
}

impl Settings {
    /// The address that is reported to other processes.
    pub fn address(&self) -> SocketAddr {
        self.advertised.unwrap_or(self.listen)
    }
}
