//! Questions to the table and its answers.

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
    /// Instances that were tried already.
    pub exclude: &'request [instance::Name],
    /// Priority of the request. Only requests of priority zero test failing targets.
    pub priority: u8,
}

/// What is believed of a target at the time of a choice.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Estimate {
    /// Expected requests ahead, including own requests since the report.
    pub ahead: f64,
    /// Requests that the target runs at once.
    pub limit: u32,
    /// Expected latency of a request that does not wait, in microseconds.
    pub latency_us: f64,
    /// Failure rate, from 0 to 1.
    pub failures: f64,
}

/// Why a candidate was chosen or passed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// It has the lowest score.
    Lowest,
    /// Another candidate has a lower score.
    Higher,
    /// It is failing and was chosen to notice its recovery.
    Recovery,
    /// A baseline policy took it without a score.
    Baseline,
}

/// A target that was compared.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Considered {
    /// Instance of the target.
    pub instance: instance::Name,
    /// What was believed of it.
    pub estimate: Estimate,
    /// Age of its load report; nothing when there is none.
    pub age: Option<Duration>,
    /// Expected response time with penalties, in microseconds.
    pub score: f64,
    /// Why it was chosen or passed over.
    pub reason: Reason,
}

/// The chosen target.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Choice {
    /// Its instance.
    pub instance: instance::Name,
    /// Address of its node.
    pub address: SocketAddr,
    /// Life of the backend server.
    pub incarnation: Incarnation,
    /// All targets that were compared.
    pub candidates: Vec<Considered>,
}

/// Why there is no target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No target ever announced the service.
    UnknownService(service::Name),
    /// The service has no targets now.
    NoTargets,
    /// All targets are draining.
    AllDraining {
        /// Draining targets.
        draining: usize,
    },
    /// The query excludes all targets that do not drain.
    AllExcluded {
        /// Excluded targets.
        excluded: usize,
        /// Draining targets.
        draining: usize,
    },
    /// All other targets are failing.
    AllFailing {
        /// Failing targets.
        failing: usize,
        /// Excluded targets.
        excluded: usize,
        /// Draining targets.
        draining: usize,
    },
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownService(name) => write!(f, "the service {name} is unknown"),
            Self::NoTargets => f.write_str("the service has no targets"),
            Self::AllDraining { draining } => write!(f, "all {draining} targets are draining"),
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
