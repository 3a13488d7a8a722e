//! What control tells nodes: configuration, targets and crash facts, by difference.

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

/// A pull. The answer comes when something changed, or after the wait.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// Instance of the node.
    pub instance: instance::Name,
    /// Revision in force at the node.
    pub revision: Revision,
    /// Version of the targets at the node.
    pub membership: Option<Version>,
    /// Services whose targets the node wants; empty means all.
    pub interest: Vec<service::Name>,
    /// Services of interest whose targets the node was not told yet; part of the interest, sorted.
    pub fresh: Vec<service::Name>,
    /// Version of the crash facts at the node, as counted by the process that answers.
    pub facts: u64,
    /// Longest time to wait for a change, in milliseconds.
    pub wait_ms: u64,
}

/// The answer to a pull.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// Instance of the control process.
    pub control: instance::Name,
    /// Change of the configuration, if there is one.
    pub update: Option<Update>,
    /// Change of the targets, if there is one.
    pub membership: Option<Difference>,
    /// New crash facts.
    pub facts: Vec<Crash>,
    /// Version of the crash facts, which the next pull states.
    pub facts_version: u64,
    /// Time since the control process last knew that its configuration was the latest, in milliseconds.
    pub behind_ms: Option<u64>,
}
