//! What control processes tell each other of targets, nodes and crashes.

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

/// Name of the method that answers with the nodes that a control process hears, for a query of an operator.
pub const NODES_METHOD: &str = "members_nodes";

/// A pull. The answer comes when something changed, or after the wait.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// Version of the sender's targets that the reader has.
    pub since: Option<Version>,
    /// Owners of leases that the reader cannot reach itself, sorted, so that the sender passes on their rows.
    pub relayed: Vec<Owner>,
    /// Version of the sender's crash facts that the reader has.
    pub crashes: u64,
    /// Whether the reader wants to know which nodes the sender hears.
    pub nodes: bool,
    /// Longest time to wait for a change, in milliseconds.
    pub wait_ms: u64,
}

/// What a node holds, as its control process heard it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Node {
    /// The node.
    pub instance: instance::Name,
    /// Revision in force there.
    pub revision: Revision,
    /// Time since the node was heard, in milliseconds.
    pub age_ms: u64,
}

/// The answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// Changed targets.
    pub membership: Difference,
    /// Nodes that the sender itself heard of late, when the reader wants to know.
    pub nodes: Vec<Node>,
    /// New crash facts.
    pub crashes: Vec<Crash>,
    /// Version of the sender's crash facts.
    pub crashes_version: u64,
}
