//! Log of removed objects, from which differences are built.

use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use crate::command::Origin;
use crate::member;
use shallotrill_model::digest::Digest;
use shallotrill_model::instance;
use shallotrill_model::revision::Revision;
use shallotrill_model::service;

/// Maximum number of removals that are retained. A change makes at most one removal, so a difference can
/// cover at least this many changes.
pub const REMOVALS_MAX: usize = 20_000;

/// An object that was removed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Object {
    /// A service.
    Service(service::Name),
    /// The drain of an instance.
    Drain(instance::Name),
    /// The release of a request.
    Release(service::Name, Digest),
    /// A listed control process.
    Member(member::Id),
}

/// The removal of an object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Removal {
    /// The object.
    pub object: Object,
    /// The change that removed it.
    pub origin: Origin,
}

/// The latest removals in the order of their revisions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RemovalLog {
    removals: VecDeque<Removal>,
    /// Revision of the latest removal that is no longer retained.
    floor: Revision,
}

impl RemovalLog {
    /// Adds a removal and drops the oldest one beyond [`REMOVALS_MAX`].
    pub fn push(&mut self, object: Object, origin: Origin) {
        self.removals.push_back(Removal { object, origin });
        if self.removals.len() > REMOVALS_MAX
            && let Some(oldest) = self.removals.pop_front()
        {
            self.floor = oldest.origin.revision;
        }
    }

    /// The oldest revision since which all removals are retained.
    pub const fn floor(&self) -> Revision {
        self.floor
    }

    /// The objects removed after `since`, sorted and without duplicates.
    pub fn since(&self, since: Revision) -> Vec<Object> {
        let first = self
            .removals
            .partition_point(|removal| removal.origin.revision <= since);
        let objects = self.removals.range(first..).map(|r| r.object.clone());
        let mut objects: Vec<Object> = objects.collect();
        objects.sort_unstable();
        objects.dedup();
        objects
    }

    /// The latest removal of an object.
    pub fn find(&self, object: &Object) -> Option<&Removal> {
        self.removals.iter().rev().find(|r| r.object == *object)
    }

    /// Estimate of the memory that the removals take, in bytes.
    pub fn bytes(&self) -> usize {
        self.removals.capacity() * size_of::<Removal>()
    }
}
