//! What a node needs to follow the configuration.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::group::Group;
use crate::member::Member;
use crate::release::Release;
use crate::removal::Object;
use crate::view::View;
use shallotrill_model::instance;
use shallotrill_model::revision::Revision;
use shallotrill_model::service;

/// The objects that changed between two revisions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Difference {
    /// Revision that it builds on.
    pub from: Revision,
    /// Revision that it leads to.
    pub to: Revision,
    /// Objects that were removed; those that exist again are also listed below.
    pub removed: Vec<Object>,
    /// Changed services.
    pub services: Vec<Arc<service::Spec>>,
    /// Newly drained instances.
    pub drains: Vec<instance::Name>,
    /// Changed claim groups.
    pub groups: Vec<Group>,
    /// New releases.
    pub releases: Vec<Release>,
    /// Changed control processes.
    pub members: Vec<Member>,
}

/// The answer to a node that states its revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Update {
    /// What changed since.
    Difference(Difference),
    /// Everything, since the stated revision is older than what is retained.
    Snapshot(View),
    /// The stated revision is higher than the one held here.
    Behind(Revision),
}
