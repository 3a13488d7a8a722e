//! What the items of each kind hold.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use shallotrill_model::class::Class;
use shallotrill_model::service;

/// A service of a route and its share of the requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// The service.
    pub service: service::Name,
    /// Its share, relative to the sum of the route's weights.
    pub weight: u32,
}

/// Where requests of a host and a path prefix go, and how they may be treated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Host that the request names.
    pub host: Arc<str>,
    /// Beginning of the paths.
    pub prefix: Arc<str>,
    /// Whether a request may run more than once.
    pub class: Class,
    /// Longest time that a request is kept waiting.
    pub timeout: Duration,
    /// Time within which a response has its full value.
    pub objective: Duration,
    /// Zero is the most urgent.
    pub priority: u8,
    /// Most targets that one request is sent to.
    pub attempts: u32,
    /// Services and their shares.
    pub shares: Vec<Share>,
}

/// What is configured of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Path of its health check.
    pub health_path: Arc<str>,
    /// Connections that each of its targets takes.
    pub connections: u32,
}

/// What a caller may send, and how long it may take.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Longest head of a request.
    pub header_bytes: usize,
    /// Longest body of a request.
    pub body_bytes: usize,
    /// Longest time for a head to arrive.
    pub header_timeout: Duration,
    /// Longest time that a connection stays idle.
    pub idle_timeout: Duration,
}
