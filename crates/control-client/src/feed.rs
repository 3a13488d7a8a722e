//! Messages of the method that sends changes of configuration, targets and crash records to nodes.

use serde::Deserialize;
use serde::Serialize;

use crate::lease::Crash;
use shallotrill_catalog::difference::Update;
use shallotrill_membership::difference::Difference;
use shallotrill_membership::version::Version;
use shallotrill_model::instance;
use shallotrill_model::revision::Revision;
use shallotrill_model::service;

/// Name of the method.
pub const METHOD: &str = "feed_pull";

/// A pull. The response is sent when something changed, or after `wait_ms`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Instance of the node.
    pub instance: instance::Name,
    /// Revision in force at the node.
    pub revision: Revision,
    /// Version of the targets at the node; `None` requests a snapshot.
    pub membership: Option<Version>,
    /// Services whose targets the node needs, sorted; with none, the response contains no targets.
    pub interest: Vec<service::Name>,
    /// Services of the interest whose targets the node has not received yet, sorted.
    #[serde(rename = "fresh")]
    pub new_services: Vec<service::Name>,
    /// Version of the crash records at the node, as counted by the control process that answers.
    #[serde(rename = "facts")]
    pub crashes_version: u64,
    /// Maximum time to wait for a change, in milliseconds.
    pub wait_ms: u64,
}

/// Response to a pull.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// Instance of the control process.
    pub control: instance::Name,
    /// Change of the configuration; `None` if the control process has no later revision.
    pub update: Option<Update>,
    /// Change of the targets; `None` if the pull states no services.
    pub membership: Option<Difference>,
    /// New crash records.
    #[serde(rename = "facts")]
    pub crashes: Vec<Crash>,
    /// Version of the crash records, which the next pull states.
    #[serde(rename = "facts_version")]
    pub crashes_version: u64,
    /// Time since the control process last knew that its configuration was the latest, in milliseconds; `None` if it never knew.
    pub behind_ms: Option<u64>,
}
