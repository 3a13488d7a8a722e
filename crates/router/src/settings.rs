//! Settings of the router role.

use std::net::SocketAddr;
use std::time::Duration;

use crate::names::Names;
use shallotrill_model::region;
use shallotrill_model::service;
use shallotrill_model::zone;
use shallotrill_process::clock::Clock;

/// Settings of a router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Where callers on the instance send requests.
    pub caller_listen: SocketAddr,
    /// Where other routers send requests.
    pub router_listen: SocketAddr,
    /// Where other routers reach it, unless that is where it listens.
    pub advertised: Option<SocketAddr>,
    /// The backend server beside this router.
    pub backend: SocketAddr,
    /// Its service.
    pub service: service::Name,
    /// Availability zone of the instance.
    pub zone: zone::Name,
    /// Region of the availability zone.
    pub region: region::Name,
    /// Registry processes to start from.
    pub registries: Vec<SocketAddr>,
    /// Copies allowed for each thousand first attempts, over all routers.
    pub retry_permille: u32,
    /// Copies allowed beyond that share, over all routers.
    pub retry_slack: u32,
    /// Time between a request to stop and a forced end.
    pub grace: Duration,
    /// Names of the headers.
    pub names: Names,
    /// The clock of the process.
    pub clock: Clock,
}

impl Settings {
    /// The address that other processes are told.
    pub fn address(&self) -> SocketAddr {
        self.advertised.unwrap_or(self.router_listen)
    }
}
