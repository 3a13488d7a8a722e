//! Input and result of the choice of a target: the query, the chosen target and the refusals.

use std::error;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;

use shallotrill_model::incarnation::Incarnation;
use shallotrill_model::instance;
use shallotrill_model::service;

/// A request that needs a target.
#[derive(Clone, Copy, Debug)]
pub struct Query<'request> {
    /// Service that is called.
    pub service: &'request service::Name,
    /// Instances that previous attempts of this request used; none of them is chosen.
    pub exclude: &'request [instance::Name],
    /// Priority of the request. Only requests of priority zero are sent to failing targets to detect their recovery.
    /// A node passes the priority of the class rule, where a higher value is served first; the router passes one for
    /// a non-idempotent request and zero for others, not the priority of the route.
    pub priority: u8,
}

/// Estimated load, latency and failure rate of a target at the time of a choice.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Estimate {
    /// Expected number of requests ahead of a new one, including local requests sent since the report.
    #[serde(rename = "ahead")]
    pub requests_ahead: f64,
    /// Maximum number of requests that the target runs concurrently.
    pub limit: u32,
    /// Expected latency of a request without queueing, in microseconds.
    pub latency_us: f64,
    /// Time that a request waits because the backend server accepts a limited rate, in microseconds.
    pub wait_us: f64,
    /// Failure rate, from 0 to 1.
    #[serde(rename = "failures")]
    pub failure_rate: f64,
}

/// Why a candidate was chosen or rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The candidate has the lowest score.
    Lowest,
    /// Another candidate has a lower score.
    Higher,
    /// The target is failing and was chosen to detect its recovery.
    Recovery,
    /// A baseline policy chose the target without comparing scores.
    Baseline,
}

/// A target that was compared in a choice.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Candidate {
    /// Instance of the target.
    pub instance: instance::Name,
    /// Estimate from which the score was computed.
    pub estimate: Estimate,
    /// Age of its load report; `None` before the first report.
    pub age: Option<Duration>,
    /// Expected response time with penalties, in microseconds.
    pub score: f64,
    /// Why the candidate was chosen or rejected.
    pub reason: Reason,
}

/// The chosen target.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Choice {
    /// Instance of the chosen target.
    pub instance: instance::Name,
    /// Address of the node on that instance, which receives the request.
    pub address: SocketAddr,
    /// Incarnation of the backend server.
    pub incarnation: Incarnation,
    /// All targets that were compared.
    pub candidates: Vec<Candidate>,
}

/// Why no target can be chosen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No target of the service was ever announced.
    UnknownService(service::Name),
    /// The service is known but currently has no targets.
    NoTargets,
    /// All targets are draining.
    AllDraining {
        /// Number of draining targets.
        draining: usize,
    },
    /// All targets that are not draining are in evacuated zones.
    AllEvacuated {
        /// Number of targets in evacuated zones.
        evacuated: usize,
        /// Number of draining targets.
        draining: usize,
    },
    /// The query excludes all targets that are not draining.
    AllExcluded {
        /// Number of excluded targets.
        excluded: usize,
        /// Number of draining targets.
        draining: usize,
    },
    /// All targets that are neither excluded nor draining are failing.
    AllFailing {
        /// Number of failing targets.
        failing: usize,
        /// Number of excluded targets.
        excluded: usize,
        /// Number of draining targets.
        draining: usize,
    },
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownService(name) => write!(f, "the service {name} is unknown"),
            Self::NoTargets => f.write_str("the service has no targets"),
            Self::AllDraining { draining } => write!(f, "all {draining} targets are draining"),
            Self::AllEvacuated {
                evacuated,
                draining,
            } => write!(
                f,
                "{evacuated} targets are in evacuated zones and {draining} are draining"
            ),
            Self::AllExcluded { excluded, draining } => write!(
                f,
                "{excluded} targets were tried already and {draining} are draining"
            ),
            Self::AllFailing {
                failing,
                excluded,
                draining,
            } => write!(
                f,
                "{failing} targets are failing, {excluded} were tried already and {draining} are draining"
            ),
        }
    }
}

impl error::Error for Refusal {}
