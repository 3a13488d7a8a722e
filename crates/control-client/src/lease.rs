//! Messages of the method that renews the lease of a node's target: announcement, heartbeat and leave in one request.

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

/// Versions in force at a node, from which control determines which nodes lag.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppliedVersions {
    /// Revision of the configuration in force at the node.
    pub revision: Revision,
    /// Version of the targets at the node.
    pub membership: Option<Version>,
}

/// The state of a node's target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetState {
    /// No backend server has announced itself to the node.
    Absent,
    /// The target is announced, with this announcement.
    Present(Announcement),
    /// The target left; contains its last incarnation.
    Left(Incarnation),
}

/// A request that was in flight when a backend server of a service crashed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Service of the backend server.
    pub service: service::Name,
    /// The request and the incarnation that crashed.
    #[serde(rename = "fact")]
    pub record: CrashRecord,
}

/// A heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Instance of the node.
    pub instance: instance::Name,
    /// Session of the node process; increases with each start.
    pub node: u64,
    /// State of the node's target.
    #[serde(rename = "standing")]
    pub target_state: TargetState,
    /// Versions in force at the node.
    #[serde(rename = "held")]
    pub applied: AppliedVersions,
    /// Crashes that the node observed and control has not yet acknowledged.
    pub crashes: Vec<Crash>,
}

/// Response to a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// Instance of the control process.
    pub control: instance::Name,
    /// Length of the lease, in milliseconds.
    pub lease_ms: u64,
    /// Whether control accepted the target, or why it refused it.
    pub result: Result<(), Refusal>,
}
