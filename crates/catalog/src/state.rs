//! The replicated state: application of commands, snapshots and differences.

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
use crate::removal::RemovalLog;
use crate::reply::Reply;
use crate::reply_cache::ReplyCache;
use crate::usage;
use crate::usage::Usage;
use crate::view::View;
use shallotrill_model::command;
use shallotrill_model::instance;
use shallotrill_model::region;
use shallotrill_model::revision::Revision;
use shallotrill_model::service;

/// Error of a snapshot in which a vector is not sorted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unsorted {
    /// Name of the unsorted vector.
    pub vector: &'static str,
}

impl fmt::Display for Unsorted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "cannot restore the snapshot of the configuration: its vector '{}' is not sorted",
            self.vector
        )
    }
}

impl error::Error for Unsorted {}

/// Region that stores the claims of a deleted service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct DeletedClaimRegion {
    pub(crate) service: service::Name,
    pub(crate) region: region::Name,
}

/// The configuration.
///
/// The state is plain data: a snapshot is a clone, and [`State::restore`]
/// validates a snapshot that was decoded.
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
    /// Claim regions of deleted services; a service that is created again must have the same one.
    #[serde(rename = "homes")]
    pub(crate) deleted_claim_regions: Vec<DeletedClaimRegion>,
    pub(crate) removals: RemovalLog,
    pub(crate) history: History,
    #[serde(rename = "sent")]
    pub(crate) reply_cache: ReplyCache,
}

impl State {
    /// Creates an empty configuration.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies the command at `index` of the log.
    ///
    /// A command that was applied before gets its first reply again and changes
    /// nothing. A refused command changes nothing either.
    pub fn apply(&mut self, index: u64, command: &Command) -> Reply {
        self.index = self.index.max(index);
        if let Some(reply) = self.reply_cache.get(command.id) {
            return reply.clone();
        }
        let reply = match self.execute(command) {
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
        self.reply_cache.put(command.id, reply.clone());
        reply
    }

    /// A copy of the state, from which [`State::restore`] continues.
    #[must_use]
    pub fn snapshot(&self) -> Self {
        self.clone()
    }

    /// Creates the state from a decoded snapshot.
    ///
    /// # Errors
    ///
    /// Returns [`Unsorted`] when a vector is not sorted, since binary searches in it would fail.
    pub fn restore(snapshot: Self) -> Result<Self, Unsorted> {
        let State {
            services,
            drains,
            groups,
            releases,
            members,
            deleted_claim_regions,
            ..
        } = &snapshot;
        let release_key = |r: &Release| (r.service.clone(), r.digest);
        let sorted = [
            ("services", entry::is_sorted(services, |s| s.name.clone())),
            ("drains", entry::is_sorted(drains, Clone::clone)),
            ("groups", entry::is_sorted(groups, |g| g.region.clone())),
            ("releases", entry::is_sorted(releases, release_key)),
            ("members", entry::is_sorted(members, |m| m.id)),
            (
                "homes",
                deleted_claim_regions.is_sorted_by(|a, b| a.service < b.service),
            ),
            ("sent", snapshot.reply_cache.is_sorted()),
        ];
        match sorted.iter().find(|(_, sorted)| !sorted) {
            Some((vector, _)) => Err(Unsorted { vector }),
            None => Ok(snapshot),
        }
    }

    /// Estimates of the memory that the parts of the state take.
    pub fn usage(&self) -> Usage {
        let services = self.services.iter().map(|e| usage::service(&e.value));
        let entries = self.services.capacity() * size_of::<Entry<Arc<service::Spec>>>()
            + self.drains.capacity() * size_of::<Entry<instance::Name>>()
            + self.groups.capacity() * size_of::<Entry<Group>>()
            + self.releases.capacity() * size_of::<Entry<Release>>()
            + self.members.capacity() * size_of::<Entry<Member>>()
            + self.deleted_claim_regions.capacity() * size_of::<DeletedClaimRegion>();
        Usage {
            services_bytes: services.sum(),
            entries_bytes: entries,
            removals_bytes: self.removals.bytes(),
            history_bytes: self.history.bytes(),
            reply_cache_bytes: self.reply_cache.bytes(),
        }
    }

    /// The changes since a revision, or a complete view when the revision is older than the retained removals.
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

    /// The part of the configuration that nodes receive.
    pub fn view(&self) -> View {
        let beginning = Revision(0);
        View {
            revision: self.revision,
            services: entry::changed(&self.services, beginning),
            drains: entry::changed(&self.drains, beginning),
            groups: entry::changed(&self.groups, beginning),
            releases: entry::changed(&self.releases, beginning),
            members: entry::changed(&self.members, beginning),
        }
    }

    /// Index of the log entry applied last.
    pub const fn index(&self) -> u64 {
        self.index
    }

    /// Revision of the last accepted change; zero if there is none.
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// Services, sorted by name.
    pub fn services(&self) -> &[Entry<Arc<service::Spec>>] {
        &self.services
    }

    /// The service with a name.
    pub fn service(&self, name: &service::Name) -> Option<&Entry<Arc<service::Spec>>> {
        let position = self.find(name).ok()?;
        self.services.get(position)
    }

    /// Drained instances, sorted by name.
    pub fn drains(&self) -> &[Entry<instance::Name>] {
        &self.drains
    }

    /// Claim groups, sorted by region.
    pub fn groups(&self) -> &[Entry<Group>] {
        &self.groups
    }

    /// Control processes, sorted by identifier.
    pub fn members(&self) -> &[Entry<Member>] {
        &self.members
    }

    /// The latest accepted changes.
    pub const fn history(&self) -> &History {
        &self.history
    }

    /// The reply to a command; `None` if it was not applied or the reply is no longer retained.
    pub fn reply(&self, id: command::Id) -> Option<&Reply> {
        self.reply_cache.get(id)
    }
}
