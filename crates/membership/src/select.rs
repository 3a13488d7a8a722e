//! Selection of the rows that a reader lacks.

use std::sync::Arc;

use crate::difference::Difference;
use crate::difference::Heard;
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
    /// The rows of the named services that changed since a version of this table.
    ///
    /// A reader whose version is of another source, or older than the kept
    /// tombstones, or that starts to read a further service (and so passes no
    /// version), gets a snapshot. `interest` is sorted.
    pub fn difference(&self, since: Option<&Version>, interest: &[service::Name]) -> Difference {
        self.difference_with(since, interest, &[])
    }

    /// As [`Table::difference`], with all rows of the services in `fresh`, which the reader did not read before.
    ///
    /// `fresh` is a sorted part of `interest`. A reader of n services that gains one gets the rows
    /// of that one; a snapshot for each gain would cost rows in proportion to n² on the way to n.
    pub fn difference_with(
        &self,
        since: Option<&Version>,
        interest: &[service::Name],
        fresh: &[service::Name],
    ) -> Difference {
        let wanted = |name: &service::Name| interest.binary_search(name).is_ok();
        let whole = |name: &service::Name| fresh.binary_search(name).is_ok();
        self.select(since, &wanted, &whole)
    }

    /// The rows of all services that changed since a version, for another control process.
    pub fn export(&self, since: Option<&Version>, now: Instant) -> Difference {
        let difference = self.select(since, &|_| true, &|_| false);
        self.with_heard(difference, now)
    }

    /// The rows made here and those of `relayed` owners that changed since a version.
    ///
    /// Control processes all pull from each other, so each row reaches a reader
    /// once. A reader that cannot reach an owner names it in `relayed`, which is
    /// sorted, and passes no version when it names a further one.
    pub fn export_own(
        &self,
        since: Option<&Version>,
        relayed: &[Owner],
        now: Instant,
    ) -> Difference {
        let mut difference = self.select(since, &|_| true, &|_| false);
        let told = |row: &mut Arc<Row>| {
            let owner = &row.stamp.owner;
            *owner == self.own || relayed.binary_search(owner).is_ok()
        };
        difference.rows.retain_mut(told);
        difference.removed.retain_mut(told);
        self.with_heard(difference, now)
    }

    /// Owners that others heard from lately.
    pub fn live_owners(&self, now: Instant) -> impl Iterator<Item = &Owner> {
        let window = self.config.contact_window();
        let live = move |(_, at): &&(Owner, Instant)| now.since(*at) < window;
        self.owners.iter().filter(live).map(|(owner, _)| owner)
    }

    fn with_heard(&self, mut difference: Difference, now: Instant) -> Difference {
        difference.heard = self
            .owners
            .iter()
            .map(|(owner, at)| heard(owner, *at, now))
            .collect();
        difference
    }

    fn select(
        &self,
        since: Option<&Version>,
        wanted: &dyn Fn(&service::Name) -> bool,
        whole: &dyn Fn(&service::Name) -> bool,
    ) -> Difference {
        let usable =
            |version: &&Version| version.source == self.own && version.number >= self.floor;
        let since = since.filter(usable).map(|version| version.number);
        let mut entries = match since {
            None => self.entries.iter().collect(),
            Some(number) => {
                let mut changed = self.changed_since(number);
                let of_fresh = |entry: &&Arc<Entry>| {
                    entry.changed <= number && whole(&entry.row.target.service)
                };
                changed.extend(self.entries.iter().filter(of_fresh));
                changed
            }
        };
        if since.is_some() {
            entries.sort_unstable_by(|a, b| a.row.target.instance.cmp(&b.row.target.instance));
        }
        self.divide(since, &entries, wanted)
    }

    fn changed_since(&self, number: u64) -> Vec<&Arc<Entry>> {
        let start = self
            .changes
            .partition_point(|(changed, _)| *changed <= number);
        let current = |(changed, instance): &(u64, instance::Name)| {
            let entry = &self.entries[self.position(instance).ok()?];
            (entry.changed == *changed).then_some(entry)
        };
        self.changes[start..].iter().filter_map(current).collect()
    }

    fn divide(
        &self,
        since: Option<u64>,
        entries: &[&Arc<Entry>],
        wanted: &dyn Fn(&service::Name) -> bool,
    ) -> Difference {
        let mut rows = Vec::new();
        let mut removed = Vec::new();
        for entry in entries {
            let present = wanted(&entry.row.target.service);
            if present && entry.row.is_live() {
                rows.push(Arc::clone(&entry.row));
            } else if present || entry.past.iter().any(wanted) {
                removed.push(Arc::clone(&entry.row));
            }
        }
        Difference {
            since,
            version: self.version(),
            rows,
            removed,
            suspect: matches!(self.status, Status::Suspect { .. }),
            heard: Vec::new(),
        }
    }
}

fn heard(owner: &Owner, at: Instant, now: Instant) -> Heard {
    let age = now.since(at);
    Heard {
        owner: owner.clone(),
        age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
    }
}
