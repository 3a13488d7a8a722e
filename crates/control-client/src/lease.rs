//! The lease of a node's target: announcement, heartbeat and leave in one question.

use serde::Deserialize;
use serde::Serialize;

use shallotrill_membership::announcement::Announcement;
use shallotrill_membership::change::Refusal;
use shallotrill_membership::version::Version;
use shallotrill_model::incarnation::Incarnation;
use shallotrill_model::instance;
use shallotrill_model::revision::Revision;
use shallotrill_model::service;
use shallotrill_retry::containment::CrashRecord;

/// Name of the method.
pub const METHOD: &str = "lease_renew";

/// What a node holds, so that control knows who lags.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// Revision of the configuration in force at the node.
    pub revision: Revision,
    /// Version of the targets at the node.
    pub membership: Option<Version>,
}

/// The state of a node's target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Standing {
    /// No backend server has announced itself to the node.
    Absent,
    /// The target takes part.
    Present(Announcement),
    /// The target left; holds its last life.
    Left(Incarnation),
}

/// A request that was in flight when a backend server of a service died.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The service.
    pub service: service::Name,
    /// The request and the life that ended.
    pub fact: CrashRecord,
}

/// A heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// Instance of the node.
    pub instance: instance::Name,
    /// Rises with each start of the node process.
    pub node: u64,
    /// The state of its target.
    pub standing: Standing,
    /// What the node holds.
    pub held: Held,
    /// Crashes that the node observed and that were not yet acknowledged.
    pub crashes: Vec<Crash>,
}

/// The answer to a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// Instance of the control process.
    pub control: instance::Name,
    /// Length of the lease, in milliseconds.
    pub lease_ms: u64,
    /// Whether the target is known now, and why not.
    pub result: Result<(), Refusal>,
}
