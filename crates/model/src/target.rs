//! Targets: backend servers as routing sees them.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::incarnation::Incarnation;
use crate::instance;
use crate::region;
use crate::service;
use crate::zone;

/// What a backend server says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It takes work but is not warm.
    Starting,
    /// It takes work.
    Ready,
    /// It is leaving and takes no new work.
    Draining,
}

/// A backend server of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Service that it serves.
    pub service: service::Name,
    /// Instance that it runs on.
    pub instance: instance::Name,
    /// Its present life.
    pub incarnation: Incarnation,
    /// Availability zone of the instance.
    pub zone: zone::Name,
    /// Region of the availability zone.
    pub region: region::Name,
    /// Address of its node's listener for other nodes.
    pub address: SocketAddr,
    /// What it says of itself.
    pub state: State,
    /// Requests that it runs at once.
    pub slots: u32,
}
