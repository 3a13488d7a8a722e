//! The replicated state and its commands.

use std::error;
use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::command::Command;
use crate::difference::Difference;
use crate::difference::Update;
use crate::entry;
use crate::entry::Entry;
use crate::group::Group;
use crate::history::Change;
use crate::history::History;
use crate::member::Member;
use crate::release::Release;
use crate::removal::Log;
use crate::reply::Reply;
use crate::sent::Sent;
use crate::usage;
use crate::usage::Usage;
use crate::view::View;
use shallotrill_model::command;
use shallotrill_model::instance;
use shallotrill_model::region;
use shallotrill_model::revision::Revision;
use shallotrill_model::service;

/// A snapshot with a vector that is not in its order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unsorted {
    /// Name of the vector.
    pub vector: &'static str,
}

impl fmt::Display for Unsorted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} of the snapshot are not sorted", self.vector)
    }
}

impl error::Error for Unsorted {}

/// Where the claims of a deleted service are.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Home {
    pub(crate) service: service::Name,
    pub(crate) region: region::Name,
}

/// The configuration.
///
/// The state is plain data: a snapshot is a clone of it, and
/// [`State::restore`] checks one that was read back.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct State {
    pub(crate) index: u64,
    pub(crate) revision: Revision,
    pub(crate) services: Vec<Entry<Arc<service::Spec>>>,
    pub(crate) drains: Vec<Entry<instance::Name>>,
    pub(crate) groups: Vec<Entry<Group>>,
    pub(crate) releases: Vec<Entry<Release>>,
    pub(crate) members: Vec<Entry<Member>>,
    /// Claim regions of deleted services: a service that is created again keeps its claims.
    pub(crate) homes: Vec<Home>,
    pub(crate) removals: Log,
    pub(crate) history: History,
    pub(crate) sent: Sent,
}

impl State {
    /// The empty configuration.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies the command at `index` of the log.
    ///
    /// A command that was applied before gets its first reply and changes
    /// nothing, and neither does a refused one.
    pub fn apply(&mut self, index: u64, command: &Command) -> Reply {
        self.index = self.index.max(index);
        if let Some(reply) = self.sent.get(command.id) {
            return reply.clone();
        }
        let reply = match self.change(command) {
            Ok(origin) => {
                self.revision = origin.revision;
                let reply = Reply::Accepted(origin.revision);
                self.history.push(Change {
                    origin,
                    command: command.id,
                    action: command.action.clone(),
                });
                reply
            }
            Err(refusal) => Reply::Refused(refusal),
        };
        self.sent.put(command.id, reply.clone());
        reply
    }

    /// Everything that is needed to go on from here.
    #[must_use]
    pub fn snapshot(&self) -> Self {
        self.clone()
    }

    /// Takes a snapshot that was read back.
    ///
    /// # Errors
    ///
    /// Returns [`Unsorted`] when a vector is not in its order, in which searches would fail.
    pub fn restore(snapshot: Self) -> Result<Self, Unsorted> {
        let State {
            services,
            drains,
            groups,
            releases,
            members,
            homes,
            ..
        } = &snapshot;
        let release = |r: &Release| (r.service.clone(), r.digest);
        let sorted = [
            ("services", entry::is_sorted(services, |s| s.name.clone())),
            ("drains", entry::is_sorted(drains, Clone::clone)),
            ("groups", entry::is_sorted(groups, |g| g.region.clone())),
            ("releases", entry::is_sorted(releases, release)),
            ("members", entry::is_sorted(members, |m| m.id)),
            ("homes", homes.is_sorted_by(|a, b| a.service < b.service)),
            ("sent", snapshot.sent.is_sorted()),
        ];
        match sorted.iter().find(|(_, sorted)| !sorted) {
            Some((vector, _)) => Err(Unsorted { vector }),
            None => Ok(snapshot),
        }
    }

    /// Estimates of the memory that the parts take.
    pub fn usage(&self) -> Usage {
        let services = self.services.iter().map(|e| usage::service(&e.value));
        let entries = self.services.capacity() * size_of::<Entry<Arc<service::Spec>>>()
            + self.drains.capacity() * size_of::<Entry<instance::Name>>()
            + self.groups.capacity() * size_of::<Entry<Group>>()
            + self.releases.capacity() * size_of::<Entry<Release>>()
            + self.members.capacity() * size_of::<Entry<Member>>()
            + self.homes.capacity() * size_of::<Home>();
        Usage {
            services_bytes: services.sum(),
            entries_bytes: entries,
            removals_bytes: self.removals.bytes(),
            history_bytes: self.history.bytes(),
            sent_bytes: self.sent.bytes(),
        }
    }

    /// What changed since a revision, or everything when that is older than what is retained.
    pub fn difference(&self, since: Revision) -> Update {
        if since > self.revision {
            return Update::Behind(self.revision);
        }
        if since < self.removals.floor() {
            return Update::Snapshot(self.view());
        }
        Update::Difference(Difference {
            from: since,
            to: self.revision,
            removed: self.removals.since(since),
            services: entry::changed(&self.services, since),
            drains: entry::changed(&self.drains, since),
            groups: entry::changed(&self.groups, since),
            releases: entry::changed(&self.releases, since),
            members: entry::changed(&self.members, since),
        })
    }

    /// The configuration as a node holds it.
    pub fn view(&self) -> View {
        let all = Revision(0);
        View {
            revision: self.revision,
            services: entry::changed(&self.services, all),
            drains: entry::changed(&self.drains, all),
            groups: entry::changed(&self.groups, all),
            releases: entry::changed(&self.releases, all),
            members: entry::changed(&self.members, all),
        }
    }

    /// Index of the log entry applied last.
    pub const fn index(&self) -> u64 {
        self.index
    }

    /// Present revision.
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// Services by name.
    pub fn services(&self) -> &[Entry<Arc<service::Spec>>] {
        &self.services
    }

    /// The service of a name.
    pub fn service(&self, name: &service::Name) -> Option<&Entry<Arc<service::Spec>>> {
        let found = self.find(name).ok()?;
        self.services.get(found)
    }

    /// Drained instances.
    pub fn drains(&self) -> &[Entry<instance::Name>] {
        &self.drains
    }

    /// Claim groups by region.
    pub fn groups(&self) -> &[Entry<Group>] {
        &self.groups
    }

    /// Control processes by identifier.
    pub fn members(&self) -> &[Entry<Member>] {
        &self.members
    }

    /// The latest changes.
    pub const fn history(&self) -> &History {
        &self.history
    }

    /// The reply to a command, if it was applied and is still retained.
    pub fn reply(&self, id: command::Id) -> Option<&Reply> {
        self.sent.get(id)
    }
}
