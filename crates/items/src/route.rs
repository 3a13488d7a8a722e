//! Contents of items: routes, services and limits.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use shallotrill_model::class::Class;
use shallotrill_model::rate::Rate;
use shallotrill_model::service;

/// A service of a route and its weight.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// The service.
    pub service: service::Name,
    /// Weight relative to the sum of the route's weights; zero means no requests.
    pub weight: u32,
}

/// Rules for the requests of a host and a path prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Host name in the request.
    pub host: Arc<str>,
    /// Prefix of the request path, with a leading slash.
    pub prefix: Arc<str>,
    /// Idempotency class, which states whether a request may run more than once.
    pub class: Class,
    /// Longest time that a caller waits for the response.
    pub timeout: Duration,
    /// Latency objective: a response within this time has its full value.
    pub objective: Duration,
    /// Priority of the requests. Zero is the most important, unlike in the class rules of services and in the
    /// queue of a target, where higher values are; the router inverts it for the queue.
    pub priority: u8,
    /// Maximum number of targets that one request is sent to.
    pub attempts: u32,
    /// Services among which the requests are divided.
    pub shares: Vec<Share>,
    /// Whether requests need no key of a workspace.
    pub public: bool,
}

/// What a target accepts while it is cold, after its start and whenever it reports so.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WarmUp {
    /// How long a target is cold after its start.
    pub period: Duration,
    /// Requests per second that a cold target accepts from all routers together.
    pub rate: Rate,
}

/// Configuration of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Path of its health check.
    pub health_path: Arc<str>,
    /// Maximum number of connections to each of its targets.
    pub connections: u32,
    /// What its targets accept while they are cold; `None` when nothing is stated.
    pub warm_up: Option<WarmUp>,
}

/// Size and time limits on what callers send.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Maximum size of a request head.
    pub header_bytes: usize,
    /// Maximum size of a request body.
    pub body_bytes: usize,
    /// Maximum time until a request head has arrived completely.
    pub header_timeout: Duration,
    /// Maximum time that a connection stays idle before it is closed.
    pub idle_timeout: Duration,
}
