//! Expiry of leases, and the suspicion that prevents a mass expiry.
//!
//! A control process that is cut off sees the same as one whose nodes all
//! died. It therefore expires many leases at once only while it is in contact
//! with a majority, whose nodes would have renewed elsewhere.

use std::sync::Arc;

use crate::change::Change;
use crate::contact::Contact;
use crate::lease::Lease;
use crate::owner::Owner;
use crate::row::Presence;
use crate::row::Row;
use crate::table::Status;
use crate::table::Table;
use shallotrill_model::instance;
use shallotrill_model::time::Instant;

/// Expiries of leases that were renewed here, within the last lease time.
#[derive(Debug, Default)]
pub(crate) struct Recent {
    /// Time and number of expiries, in order of time.
    batches: Vec<(Instant, usize)>,
}

impl Recent {
    fn total(&self) -> usize {
        self.batches.iter().map(|(_, count)| count).sum()
    }
}

impl Table {
    /// Expires leases that were not renewed, in batches, and forgets old tombstones.
    ///
    /// Called at each heartbeat or more often. Unless contact to a majority has
    /// lasted for one lease time, nothing expires while more than half of the
    /// leases renewed here are silent, and leases of other owners do not expire.
    pub fn expire(&mut self, now: Instant, contact: &Contact) -> Vec<Change> {
        self.prune(now);
        let length = self.config.lease;
        self.leases
            .drop_moved(|renewed| now.since(renewed) >= length);
        let overdue = self.overdue(now);
        let proven = self.proven(now, contact);
        self.status = self.judge(now, proven, overdue.len());
        if matches!(self.status, Status::Suspect { .. }) {
            return Vec::new();
        }
        let mut expired = self.lapsed(now);
        if !expired.is_empty() {
            self.recent.batches.push((now, expired.len()));
            self.release(&expired);
        }
        if proven {
            expired.extend(self.owned_by(&overdue, self.config.batch - expired.len()));
        }
        let remove = |row: Arc<Row>| self.remove(&row, Presence::Expired, now);
        expired.into_iter().map(remove).collect()
    }

    /// Whether contact to a majority has lasted for one lease time.
    ///
    /// Right after a process regains contact it does not have the rows yet
    /// that moved to other processes, and would expire all of them.
    fn proven(&mut self, now: Instant, contact: &Contact) -> bool {
        if !contact.quorum() {
            self.contact = None;
            return false;
        }
        let since = *self.contact.get_or_insert(now);
        contact.others == 0 || now.since(since) >= self.config.lease
    }

    /// Removes the leases of a batch at once, since each removal moves half of the leases.
    fn release(&mut self, expired: &[Arc<Row>]) {
        let names = expired.iter().map(|row| row.target.instance.clone());
        let mut names: Vec<instance::Name> = names.collect();
        names.sort_unstable();
        self.leases.remove_all(&names);
    }

    fn judge(&self, now: Instant, proven: bool, owners: usize) -> Status {
        if proven {
            return Status::Sound;
        }
        // When the first lease of a cut-off process lapses, all others have
        // missed a heartbeat; leases that expired just before count as well.
        let limit = self.config.contact_window();
        let quiet = |lease: &&Lease| now.since(lease.renewed) >= limit;
        let recent = self.recent.total();
        let silent = recent + self.leases.held().filter(quiet).count();
        let direct = recent + self.leases.held().count();
        if silent * 2 <= direct {
            return if owners > 0 {
                Status::Partitioned { owners }
            } else {
                Status::Sound
            };
        }
        let since = match self.status {
            Status::Suspect { since, .. } => since,
            Status::Sound | Status::Partitioned { .. } => now,
        };
        Status::Suspect {
            since,
            silent,
            direct,
        }
    }

    /// The rows of leases that lapsed here, longest silent first.
    fn lapsed(&self, now: Instant) -> Vec<Arc<Row>> {
        let lapsed = |renewed: Instant| now.since(renewed) >= self.config.lease;
        let mut leases: Vec<_> = self
            .leases
            .held()
            .filter(|lease| lapsed(lease.renewed))
            .collect();
        leases.sort_by_key(|lease| lease.renewed);
        leases.truncate(self.config.batch);
        leases
            .into_iter()
            .filter_map(|lease| self.row(&lease.instance).cloned())
            .collect()
    }

    /// Owners of live rows that were not heard from for a lease time plus the grace, sorted.
    ///
    /// Owners that are silent for longer than tombstones are kept and own nothing are forgotten.
    fn overdue(&mut self, now: Instant) -> Vec<Owner> {
        let limit = self.config.lease + self.config.grace;
        let kept = self.config.tombstone;
        let late = |known: &&(Owner, Instant)| now.since(known.1) >= limit;
        let late = self.owners.iter().filter(late);
        let mut silent: Vec<Owner> = late.map(|(owner, _)| owner.clone()).collect();
        silent.retain(|owner| self.owns_live(owner));
        self.owners
            .retain(|(owner, at)| now.since(*at) < kept || silent.contains(owner));
        silent
    }

    fn owns_live(&self, owner: &Owner) -> bool {
        self.rows()
            .any(|row| row.is_live() && row.stamp.owner == *owner)
    }

    fn owned_by(&self, owners: &[Owner], most: usize) -> Vec<Arc<Row>> {
        if owners.is_empty() {
            return Vec::new();
        }
        let owned =
            |row: &&Arc<Row>| row.is_live() && owners.binary_search(&row.stamp.owner).is_ok();
        self.rows().filter(owned).take(most).cloned().collect()
    }

    fn prune(&mut self, now: Instant) {
        let lease = self.config.lease;
        self.recent.batches.retain(|(at, _)| now.since(*at) < lease);
        let kept = self.config.tombstone;
        let old = self
            .tombstones
            .partition_point(|(at, _, _)| now.since(*at) >= kept);
        let old: Vec<(Instant, instance::Name, u64)> = self.tombstones.drain(..old).collect();
        for (_, instance, number) in old {
            self.forget(&instance, number);
        }
    }
}
