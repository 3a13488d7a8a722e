//! Expiry of leases, and the check that prevents a mass expiry by a partitioned process.
//!
//! A partitioned control process cannot be distinguished from one whose nodes all
//! crashed. It therefore expires many leases at once only while it is in contact with a
//! majority, at which running nodes would have renewed their leases.

use std::sync::Arc;

use crate::change::Change;
use crate::lease::Lease;
use crate::owner::Owner;
use crate::reachability::Reachability;
use crate::row::Presence;
use crate::row::Row;
use crate::table::Status;
use crate::table::Table;
use shallotrill_model::instance;
use shallotrill_model::time::Instant;

/// Expiries of leases that were renewed at this process, within the last lease period.
#[derive(Debug, Default)]
pub(crate) struct RecentExpiries {
    /// Time and number of expired leases of each batch, in order of time.
    batches: Vec<(Instant, usize)>,
}

impl RecentExpiries {
    fn total(&self) -> usize {
        self.batches.iter().map(|(_, count)| count).sum()
    }
}

impl Table {
    /// Expires leases that were not renewed, in batches, and removes old tombstones.
    ///
    /// Must be called at each heartbeat interval or more often. Until this process has been
    /// in contact with a majority for one lease period, leases of other owners do not expire,
    /// and leases renewed here expire only while at most half of them have missed a heartbeat
    /// or expired within the last lease period.
    pub fn expire(&mut self, now: Instant, reachability: &Reachability) -> Vec<Change> {
        self.remove_old_tombstones(now);
        let lease_period = self.config.lease_period;
        self.leases
            .drop_moved(|renewed| now.since(renewed) >= lease_period);
        let overdue_owners = self.overdue_owners(now);
        let majority_contact_lasted = self.majority_contact_lasted(now, reachability);
        self.status = self.assess_status(now, majority_contact_lasted, overdue_owners.len());
        if matches!(self.status, Status::Suspect { .. }) {
            return Vec::new();
        }
        let mut expired = self.overdue_rows(now);
        if !expired.is_empty() {
            self.recent_expiries.batches.push((now, expired.len()));
            self.remove_leases(&expired);
        }
        if majority_contact_lasted {
            expired.extend(self.live_rows_of(
                &overdue_owners,
                self.config.expiry_batch_max - expired.len(),
            ));
        }
        let expire = |row: Arc<Row>| self.mark_removed(&row, Presence::Expired, now);
        expired.into_iter().map(expire).collect()
    }

    /// Whether contact with a majority has lasted for one lease period.
    ///
    /// Immediately after a process regains contact, it has not yet received the rows that
    /// moved to other processes and would expire all of them.
    fn majority_contact_lasted(&mut self, now: Instant, reachability: &Reachability) -> bool {
        if !reachability.quorum() {
            self.majority_contact_since = None;
            return false;
        }
        let since = *self.majority_contact_since.get_or_insert(now);
        reachability.others == 0 || now.since(since) >= self.config.lease_period
    }

    /// Removes the leases of a batch in one pass, since a single removal moves half of all leases on average.
    fn remove_leases(&mut self, expired: &[Arc<Row>]) {
        let names = expired.iter().map(|row| row.target.instance.clone());
        let mut names: Vec<instance::Name> = names.collect();
        names.sort_unstable();
        self.leases.remove_all(&names);
    }

    fn assess_status(&self, now: Instant, majority_contact_lasted: bool, owners: usize) -> Status {
        if majority_contact_lasted {
            return Status::Sound;
        }
        // When the first lease of a partitioned process becomes overdue, all others have missed
        // a heartbeat; leases that expired within the last lease period count as well.
        let timeout = self.config.contact_window();
        let unresponsive = |lease: &&Lease| now.since(lease.renewed) >= timeout;
        let recent_expiries = self.recent_expiries.total();
        let silent = recent_expiries + self.leases.held().filter(unresponsive).count();
        let direct = recent_expiries + self.leases.held().count();
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

    /// The rows of the overdue leases of this process, oldest renewal first.
    fn overdue_rows(&self, now: Instant) -> Vec<Arc<Row>> {
        let overdue = |renewed: Instant| now.since(renewed) >= self.config.lease_period;
        let mut leases: Vec<_> = self
            .leases
            .held()
            .filter(|lease| overdue(lease.renewed))
            .collect();
        leases.sort_by_key(|lease| lease.renewed);
        leases.truncate(self.config.expiry_batch_max);
        leases
            .into_iter()
            .filter_map(|lease| self.row(&lease.instance).cloned())
            .collect()
    }

    /// Owners of live rows without contact for the lease period plus the grace period, sorted.
    ///
    /// Also removes the last contacts of owners that own no live rows and had no contact for
    /// longer than tombstones are kept.
    fn overdue_owners(&mut self, now: Instant) -> Vec<Owner> {
        let timeout = self.config.lease_period + self.config.grace_period;
        let retention_period = self.config.tombstone_retention_period;
        let overdue = |known: &&(Owner, Instant)| now.since(known.1) >= timeout;
        let overdue = self.last_contacts.iter().filter(overdue);
        let mut overdue_owners: Vec<Owner> = overdue.map(|(owner, _)| owner.clone()).collect();
        overdue_owners.retain(|owner| self.owns_live_rows(owner));
        self.last_contacts.retain(|(owner, last_contact)| {
            now.since(*last_contact) < retention_period || overdue_owners.contains(owner)
        });
        overdue_owners
    }

    fn owns_live_rows(&self, owner: &Owner) -> bool {
        self.rows()
            .any(|row| row.is_live() && row.stamp.owner == *owner)
    }

    fn live_rows_of(&self, owners: &[Owner], rows_max: usize) -> Vec<Arc<Row>> {
        if owners.is_empty() {
            return Vec::new();
        }
        let owned =
            |row: &&Arc<Row>| row.is_live() && owners.binary_search(&row.stamp.owner).is_ok();
        self.rows().filter(owned).take(rows_max).cloned().collect()
    }

    fn remove_old_tombstones(&mut self, now: Instant) {
        let lease_period = self.config.lease_period;
        self.recent_expiries
            .batches
            .retain(|(expired_at, _)| now.since(*expired_at) < lease_period);
        let retention_period = self.config.tombstone_retention_period;
        let old_count = self
            .tombstones
            .partition_point(|(removed_at, _, _)| now.since(*removed_at) >= retention_period);
        let old_tombstones: Vec<(Instant, instance::Name, u64)> =
            self.tombstones.drain(..old_count).collect();
        for (_, instance, change_number) in old_tombstones {
            self.delete_row(&instance, change_number);
        }
    }
}
