//! Updates by which nodes follow the configuration.

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
    /// Base revision: the difference contains the changes after it.
    pub from: Revision,
    /// Revision after the difference is applied.
    pub to: Revision,
    /// Removed objects. An object that was created again is listed below as well.
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

/// Response to a node that sends the revision of its view.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Update {
    /// The changes since that revision.
    Difference(Difference),
    /// The complete configuration, because removals since that revision are no longer retained.
    Snapshot(View),
    /// This control process is behind the node; contains the revision of this process.
    Behind(Revision),
}
