//! Settings of the router role.

use std::net::SocketAddr;
use std::time::Duration;

use crate::names::Names;
use shallotrill_limits::process::Limits;
use shallotrill_model::region;
use shallotrill_model::service;
use shallotrill_model::zone;
use shallotrill_process::clock::Clock;

/// Settings of a router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Listen address for requests of the callers on the instance.
    pub caller_listen: SocketAddr,
    /// Listen address for requests of other routers.
    pub router_listen: SocketAddr,
    /// Address at which other routers reach this one; `None` when it is `router_listen`.
    pub advertised: Option<SocketAddr>,
    /// Address of the local backend server.
    pub backend: SocketAddr,
    /// Service of the local backend server.
    pub service: service::Name,
    /// Availability zone of the instance.
    pub zone: zone::Name,
    /// Region of the availability zone.
    pub region: region::Name,
    /// Registry processes to contact first; they report the others. The seeds at the start, which
    /// `Router::set_seeds` replaces.
    pub registries: Vec<SocketAddr>,
    /// Retries allowed for each thousand first attempts, over all routers.
    pub retry_permille: u32,
    /// Retries allowed beyond that share in each window, over all routers.
    pub retry_slack: u32,
    /// Length of the window of `retry_slack`.
    pub retry_window: Duration,
    /// Second attempts allowed for each thousand requests of this router, for the slowest responses; zero for none.
    pub second_attempt_permille: u32,
    /// Time from the request to stop until the process is killed.
    pub grace_period: Duration,
    /// Memory and descriptors of the process.
    pub limits: Limits,
    /// Names of the headers.
    pub names: Names,
    /// The clock of the process.
    pub clock: Clock,
}

impl Settings {
    /// The address that is announced to other processes.
    pub fn address(&self) -> SocketAddr {
        self.advertised.unwrap_or(self.router_listen)
    }
}
