//! Messages of the method with which control processes exchange targets, nodes and crash records.

use serde::Deserialize;
use serde::Serialize;

use shallotrill_control_client::lease::Crash;
use shallotrill_membership::difference::Difference;
use shallotrill_membership::owner::Owner;
use shallotrill_membership::version::Version;
use shallotrill_model::instance;
use shallotrill_model::revision::Revision;

/// Name of the method.
pub const METHOD: &str = "members_exchange";

/// Name of the method that lists the nodes that send heartbeats to a control process, for a query of an operator.
pub const NODES_METHOD: &str = "members_nodes";

/// A pull. The response is sent when something changed, or after `wait_ms`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Version of the responder's targets that the requester has; `None` if it has none.
    pub since: Option<Version>,
    /// Owners of leases that the requester cannot reach, sorted, so that the responder relays their rows.
    pub relayed: Vec<Owner>,
    /// Version of the responder's crash records that the requester has.
    pub crashes: u64,
    /// Whether the response lists the nodes that send heartbeats to the responder.
    pub nodes: bool,
    /// Maximum time to wait for a change, in milliseconds.
    pub wait_ms: u64,
}

/// State of a node as reported in its last heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Node {
    /// Instance of the node.
    pub instance: instance::Name,
    /// Revision in force at the node.
    pub revision: Revision,
    /// Time since the node's last heartbeat, in milliseconds.
    pub age_ms: u64,
}

/// Response to a pull.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// Changes of the targets.
    pub membership: Difference,
    /// Nodes with a recent heartbeat to the responder itself, if requested.
    pub nodes: Vec<Node>,
    /// New crash records.
    pub crashes: Vec<Crash>,
    /// Version of the responder's crash records.
    pub crashes_version: u64,
}
