//! Targets: backend servers as candidates for routing.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::incarnation::Incarnation;
use crate::instance;
use crate::region;
use crate::service;
use crate::zone;

/// Lifecycle state that a backend server reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Accepts requests but is still warming up.
    Starting,
    /// Accepts requests.
    Ready,
    /// Shutting down; accepts no new requests.
    Draining,
}

/// A backend server of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Service that it provides.
    pub service: service::Name,
    /// Instance on which it runs.
    pub instance: instance::Name,
    /// Its current incarnation.
    pub incarnation: Incarnation,
    /// Availability zone of the instance.
    pub zone: zone::Name,
    /// Region of the availability zone.
    pub region: region::Name,
    /// Address on which its node accepts requests from other nodes.
    pub address: SocketAddr,
    /// The state that it reported.
    pub state: State,
    /// Number of requests that it executes concurrently.
    pub slots: u32,
}
