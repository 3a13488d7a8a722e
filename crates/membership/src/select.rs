//! Selection of the rows that a reader of the table is missing.

use std::sync::Arc;

use crate::difference::Difference;
use crate::difference::LastContact;
use crate::owner::Owner;
use crate::row::Row;
use crate::table::Entry;
use crate::table::Status;
use crate::table::Table;
use crate::version::Version;
use shallotrill_model::instance;
use shallotrill_model::service;
use shallotrill_model::time::Instant;

impl Table {
    /// Returns the rows of the services in `interest` that changed since a version of this table.
    ///
    /// The result is a snapshot when the version is of another source, older than the kept
    /// tombstones, or `None`, which a reader passes when it starts to read another service.
    /// `interest` is sorted.
    pub fn difference(&self, since: Option<&Version>, interest: &[service::Name]) -> Difference {
        self.difference_with(since, interest, &[])
    }

    /// Like [`Table::difference`], with all rows of the services in `new_services`, which the reader did not read before.
    ///
    /// `new_services` is a sorted subset of `interest`. A reader of n services that adds one receives only
    /// the rows of that one; with a snapshot for each addition, the rows sent until it reads n
    /// services would be proportional to n².
    pub fn difference_with(
        &self,
        since: Option<&Version>,
        interest: &[service::Name],
        new_services: &[service::Name],
    ) -> Difference {
        let requested = |name: &service::Name| interest.binary_search(name).is_ok();
        let complete = |name: &service::Name| new_services.binary_search(name).is_ok();
        self.select(since, &requested, &complete)
    }

    /// Returns the rows of all services that changed since a version, for another control process.
    pub fn export(&self, since: Option<&Version>, now: Instant) -> Difference {
        let difference = self.select(since, &|_| true, &|_| false);
        self.with_last_contacts(difference, now)
    }

    /// Returns the rows created here and those of `relayed` owners that changed since a version.
    ///
    /// Every control process pulls from all others, so a reader receives each row once, from
    /// its owner. A reader that cannot reach an owner names it in `relayed`, which is sorted, and
    /// passes no version when it adds an owner.
    pub fn export_own(
        &self,
        since: Option<&Version>,
        relayed: &[Owner],
        now: Instant,
    ) -> Difference {
        let mut difference = self.select(since, &|_| true, &|_| false);
        let exported = |row: &mut Arc<Row>| {
            let owner = &row.stamp.owner;
            *owner == self.local_owner || relayed.binary_search(owner).is_ok()
        };
        difference.rows.retain_mut(exported);
        difference.removed.retain_mut(exported);
        self.with_last_contacts(difference, now)
    }

    /// Other control processes with a contact within [`crate::config::Config::contact_window`],
    /// direct or through another process.
    pub fn live_owners(&self, now: Instant) -> impl Iterator<Item = &Owner> {
        let window = self.config.contact_window();
        let live = move |(_, time): &&(Owner, Instant)| now.since(*time) < window;
        self.last_contacts
            .iter()
            .filter(live)
            .map(|(owner, _)| owner)
    }

    fn with_last_contacts(&self, mut difference: Difference, now: Instant) -> Difference {
        difference.last_contacts = self
            .last_contacts
            .iter()
            .map(|(owner, time)| last_contact(owner, *time, now))
            .collect();
        difference
    }

    fn select(
        &self,
        since: Option<&Version>,
        requested: &dyn Fn(&service::Name) -> bool,
        complete: &dyn Fn(&service::Name) -> bool,
    ) -> Difference {
        let has_tombstones = |version: &&Version| {
            version.source == self.local_owner && version.number >= self.difference_floor
        };
        let since = since.filter(has_tombstones).map(|version| version.number);
        let mut entries = match since {
            None => self.entries.iter().collect(),
            Some(version_number) => {
                let mut changed = self.changed_since(version_number);
                let unchanged_of_new_services = |entry: &&Arc<Entry>| {
                    entry.change_number <= version_number && complete(&entry.row.target.service)
                };
                changed.extend(self.entries.iter().filter(unchanged_of_new_services));
                changed
            }
        };
        if since.is_some() {
            entries.sort_unstable_by(|a, b| a.row.target.instance.cmp(&b.row.target.instance));
        }
        self.split_live_and_removed(since, &entries, requested)
    }

    fn changed_since(&self, version_number: u64) -> Vec<&Arc<Entry>> {
        let start = self
            .changes
            .partition_point(|(change_number, _)| *change_number <= version_number);
        let current = |(change_number, instance): &(u64, instance::Name)| {
            let entry = &self.entries[self.position(instance).ok()?];
            (entry.change_number == *change_number).then_some(entry)
        };
        self.changes[start..].iter().filter_map(current).collect()
    }

    fn split_live_and_removed(
        &self,
        since: Option<u64>,
        entries: &[&Arc<Entry>],
        requested: &dyn Fn(&service::Name) -> bool,
    ) -> Difference {
        let mut rows = Vec::new();
        let mut removed = Vec::new();
        for entry in entries {
            let service_requested = requested(&entry.row.target.service);
            if service_requested && entry.row.is_live() {
                rows.push(Arc::clone(&entry.row));
            } else if service_requested || entry.previous_services.iter().any(requested) {
                removed.push(Arc::clone(&entry.row));
            }
        }
        Difference {
            since,
            version: self.version(),
            rows,
            removed,
            suspect: matches!(self.status, Status::Suspect { .. }),
            last_contacts: Vec::new(),
        }
    }
}

fn last_contact(owner: &Owner, time: Instant, now: Instant) -> LastContact {
    let age = now.since(time);
    LastContact {
        owner: owner.clone(),
        age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
    }
}
