//! Views: copies of the configuration on nodes, updated by differences.

use std::error;
use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::difference::Difference;
use crate::difference::Update;
use crate::group::Group;
use crate::member::Member;
use crate::release::Release;
use crate::removal::Object;
use shallotrill_model::instance;
use shallotrill_model::region;
use shallotrill_model::revision::Revision;
use shallotrill_model::service;

/// Why an update cannot be applied to a view. The view does not change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The update leads to a lower revision than the one of the view.
    Lower {
        /// Revision of the view.
        held: Revision,
        /// Revision of the update.
        to: Revision,
    },
    /// The base revision of the update is higher than the revision of the view, so changes in between are missing.
    Gap {
        /// Revision of the view.
        held: Revision,
        /// Base revision of the update.
        from: Revision,
    },
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Lower { held, to } => write!(
                f,
                "the update leads to revision {to}, below revision {held} of the view"
            ),
            Self::Gap { held, from } => {
                write!(
                    f,
                    "the update applies to revision {from}, but the view is at revision {held}"
                )
            }
        }
    }
}

impl error::Error for Refusal {}

/// The configuration at one revision. All vectors are sorted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct View {
    /// Revision of the configuration.
    pub revision: Revision,
    /// Services, sorted by name.
    pub services: Vec<Arc<service::Spec>>,
    /// Drained instances, sorted by name.
    pub drains: Vec<instance::Name>,
    /// Claim groups, sorted by region.
    pub groups: Vec<Group>,
    /// Releases, sorted by service and digest.
    pub releases: Vec<Release>,
    /// Control processes, sorted by identifier.
    pub members: Vec<Member>,
}

impl View {
    /// Applies an update, whose base revision may be lower than the revision of the view.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal`] when the update leads to a lower revision or its base revision is higher.
    pub fn apply(&mut self, update: Update) -> Result<(), Refusal> {
        let held = self.revision;
        let to = match &update {
            Update::Difference(difference) => difference.to,
            Update::Snapshot(view) => view.revision,
            Update::Behind(revision) => *revision,
        };
        if to < held {
            return Err(Refusal::Lower { held, to });
        }
        match update {
            Update::Difference(difference) if difference.from > held => Err(Refusal::Gap {
                held,
                from: difference.from,
            }),
            Update::Difference(difference) => {
                self.merge(difference);
                Ok(())
            }
            Update::Snapshot(view) => {
                *self = view;
                Ok(())
            }
            Update::Behind(from) => Err(Refusal::Gap { held, from }),
        }
    }

    /// The service with a name.
    pub fn service(&self, name: &service::Name) -> Option<&Arc<service::Spec>> {
        let index = self.services.binary_search_by(|s| s.name.cmp(name)).ok()?;
        self.services.get(index)
    }

    /// Whether an instance is drained by an operator.
    pub fn is_drained(&self, instance: &instance::Name) -> bool {
        self.drains.binary_search(instance).is_ok()
    }

    /// The claim group of a region.
    pub fn group(&self, region: &region::Name) -> Option<&Group> {
        let index = self
            .groups
            .binary_search_by(|g| g.region.cmp(region))
            .ok()?;
        self.groups.get(index)
    }

    fn merge(&mut self, difference: Difference) {
        self.revision = difference.to;
        for object in &difference.removed {
            self.remove(object);
        }
        for service in difference.services {
            upsert(&mut self.services, service, |s| s.name.clone());
        }
        for instance in difference.drains {
            upsert(&mut self.drains, instance, Clone::clone);
        }
        for group in difference.groups {
            upsert(&mut self.groups, group, |g| g.region.clone());
        }
        for release in difference.releases {
            upsert(&mut self.releases, release, |r| {
                (r.service.clone(), r.digest)
            });
        }
        for member in difference.members {
            upsert(&mut self.members, member, |m| m.id);
        }
    }

    fn remove(&mut self, object: &Object) {
        match object {
            Object::Service(name) => self.services.retain(|s| s.name != *name),
            Object::Drain(instance) => self.drains.retain(|i| i != instance),
            Object::Release(service, digest) => {
                let is_released = |r: &Release| r.service == *service && r.digest == *digest;
                self.releases.retain(|release| !is_released(release));
            }
            Object::Member(id) => self.members.retain(|m| m.id != *id),
        }
    }
}

fn upsert<T, K: Ord>(values: &mut Vec<T>, value: T, key: impl Fn(&T) -> K) {
    match values.binary_search_by(|existing| key(existing).cmp(&key(&value))) {
        Ok(index) => values[index] = value,
        Err(index) => values.insert(index, value),
    }
}
