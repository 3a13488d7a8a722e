//! The replicated table of targets at a control process, with announcement, renewal and leave.

use std::mem;
use std::sync::Arc;

use crate::announcement::Announcement;
use crate::change::Change;
use crate::change::Kind;
use crate::change::Refusal;
use crate::config::Config;
use crate::expiry::RecentExpiries;
use crate::lease;
use crate::owner::Owner;
use crate::row::Presence;
use crate::row::Row;
use crate::row::Stamp;
use crate::version::Version;
use shallotrill_model::incarnation::Incarnation;
use shallotrill_model::instance;
use shallotrill_model::service;
use shallotrill_model::time::Instant;

/// A row with data that is local to this process.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) row: Arc<Row>,
    /// Number of the change that stored the row in this table.
    pub(crate) change_number: u64,
    /// Services that the instance served before the current one, whose readers have to remove it.
    pub(crate) previous_services: Vec<service::Name>,
}

/// Whether the table expires leases, or suspects that its process is partitioned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Every overdue lease expires: one that was not renewed for a lease period, or whose owner had no contact for
    /// the lease period plus the grace period.
    Sound,
    /// Leases renewed here expire, but not those of unresponsive owners, because this process
    /// has no lasting contact with a majority of the control processes.
    Partitioned {
        /// Number of unresponsive owners of live rows.
        owners: usize,
    },
    /// This process may be partitioned from its nodes: nothing expires.
    Suspect {
        /// When the suspicion began.
        since: Instant,
        /// Number of leases renewed here that are unresponsive or expired within the last lease period.
        silent: usize,
        /// Number of leases renewed here, including those that expired within the last lease period.
        direct: usize,
    },
}

/// The targets known to one control process, sorted by instance.
///
/// Rows are behind shared pointers: an insertion moves only 8 bytes for each later row, and
/// differences share rows instead of copying them.
#[derive(Debug)]
pub struct Table {
    pub(crate) config: Config,
    pub(crate) local_owner: Owner,
    pub(crate) entries: Vec<Arc<Entry>>,
    pub(crate) leases: lease::Table,
    /// Time of the last contact with each other control process, sorted by owner.
    pub(crate) last_contacts: Vec<(Owner, Instant)>,
    /// Changes in order of their number. A change is outdated when its row has changed again.
    pub(crate) changes: Vec<(u64, instance::Name)>,
    version_number: u64,
    /// Readers with a lower version number receive a snapshot, since tombstones after it were removed.
    pub(crate) difference_floor: u64,
    /// Removed rows in order of removal: time, instance and number of the change.
    pub(crate) tombstones: Vec<(Instant, instance::Name, u64)>,
    pub(crate) recent_expiries: RecentExpiries,
    pub(crate) status: Status,
    /// Since when contact with a majority has lasted; `None` without a majority.
    pub(crate) majority_contact_since: Option<Instant>,
}

impl Table {
    /// Creates an empty table for the control process `local_owner`.
    pub fn new(local_owner: Owner, config: Config) -> Self {
        Self {
            config,
            local_owner,
            entries: Vec::new(),
            leases: lease::Table::default(),
            last_contacts: Vec::new(),
            changes: Vec::new(),
            version_number: 0,
            difference_floor: 0,
            tombstones: Vec::new(),
            recent_expiries: RecentExpiries::default(),
            status: Status::Sound,
            majority_contact_since: None,
        }
    }

    /// Applies an announcement and makes this process the owner of the target's lease.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal`] when the table knows a later incarnation or announcement, when this
    /// incarnation left, or when the name is in use at another address.
    pub fn announce(
        &mut self,
        announcement: Announcement,
        now: Instant,
    ) -> Result<Change, Refusal> {
        let Some(known) = self.row(&announcement.target.instance).map(Arc::clone) else {
            return Ok(self.store_announced_row(announcement, 1, Kind::Joined, now));
        };
        self.check_announcement(&known, &announcement, now)?;
        let repeated = announcement.session == known.stamp.session
            && announcement.target.incarnation == known.stamp.incarnation;
        if repeated {
            return Ok(self.take_lease(&known, now));
        }
        let kind = if known.is_live() {
            Kind::Updated
        } else {
            Kind::Joined
        };
        Ok(self.store_announced_row(announcement, known.stamp.sequence + 1, kind, now))
    }

    /// Renews the lease of an instance. When another process owns the lease, this process takes it over.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal::Unknown`] when the node has to announce its backend server again,
    /// [`Refusal::Superseded`] for a later known incarnation and [`Refusal::Left`] when this one left.
    pub fn renew(
        &mut self,
        instance: &instance::Name,
        incarnation: Incarnation,
        now: Instant,
    ) -> Result<Change, Refusal> {
        let known = self.row_of_incarnation(instance, incarnation)?;
        if known.presence == Presence::Left {
            return Err(Refusal::Left(incarnation));
        }
        Ok(self.take_lease(&known, now))
    }

    /// Marks the row of an instance as removed because its backend server left.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal`] when the instance is unknown or known with another incarnation.
    pub fn leave(
        &mut self,
        instance: &instance::Name,
        incarnation: Incarnation,
        now: Instant,
    ) -> Result<Change, Refusal> {
        let known = self.row_of_incarnation(instance, incarnation)?;
        if known.presence == Presence::Left {
            let kind = Kind::Unchanged;
            return Ok(Change { kind, row: known });
        }
        Ok(self.mark_removed(&known, Presence::Left, now))
    }

    /// The row of an instance, live or removed.
    pub fn row(&self, instance: &instance::Name) -> Option<&Arc<Row>> {
        let index = self.position(instance).ok()?;
        Some(&self.entries[index].row)
    }

    /// All rows, live and removed, sorted by instance.
    pub fn rows(&self) -> impl Iterator<Item = &Arc<Row>> {
        self.entries.iter().map(|entry| &entry.row)
    }

    /// The current version, with the number of the last change.
    pub fn version(&self) -> Version {
        Version {
            source: self.local_owner.clone(),
            number: self.version_number,
        }
    }

    /// The status as of the last call of [`Table::expire`].
    pub fn status(&self) -> Status {
        self.status
    }

    /// Number of leases that are renewed at this process and did not move to another one.
    pub fn direct_lease_count(&self) -> usize {
        self.leases.held().count()
    }

    pub(crate) fn position(&self, instance: &instance::Name) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|entry| entry.row.target.instance.cmp(instance))
    }

    /// Stores a row, which must be newer than the one it replaces, under the next change number.
    pub(crate) fn store_row(&mut self, row: Row, now: Instant) -> Arc<Row> {
        self.version_number += 1;
        let row = Arc::new(row);
        let instance = row.target.instance.clone();
        if !row.is_live() {
            self.tombstones
                .push((now, instance.clone(), self.version_number));
        }
        self.changes.push((self.version_number, instance.clone()));
        match self.position(&instance) {
            Ok(index) => self.entries[index] = self.successor_entry(index, &row),
            Err(index) => self.entries.insert(index, self.first_entry(&row)),
        }
        if self.changes.len() > 2 * self.entries.len() + 64 {
            self.compact_changes();
        }
        row
    }

    /// Replaces a known row with a removed one and drops its lease.
    pub(crate) fn mark_removed(&mut self, known: &Row, presence: Presence, now: Instant) -> Change {
        self.leases.remove(&known.target.instance);
        let row = self.restamped_row(known, presence);
        let kind = if presence == Presence::Left {
            Kind::Left
        } else {
            Kind::Expired
        };
        let row = self.store_row(row, now);
        Change { kind, row }
    }

    /// Renews a lease at this process, which becomes its owner.
    pub(crate) fn take_lease(&mut self, known: &Arc<Row>, now: Instant) -> Change {
        self.leases.set(&known.target.instance, now);
        if known.is_live() && known.stamp.owner == self.local_owner {
            let row = Arc::clone(known);
            let kind = Kind::Unchanged;
            return Change { kind, row };
        }
        let kind = if known.is_live() {
            Kind::Moved
        } else {
            Kind::Joined
        };
        let row = self.restamped_row(known, Presence::Live);
        let row = self.store_row(row, now);
        Change { kind, row }
    }

    /// Deletes a removed row from the table unless it has changed since.
    pub(crate) fn delete_row(&mut self, instance: &instance::Name, change_number: u64) {
        if let Ok(index) = self.position(instance)
            && self.entries[index].change_number == change_number
        {
            self.entries.remove(index);
            self.difference_floor = self.difference_floor.max(change_number);
        }
    }

    fn check_announcement(
        &self,
        known: &Row,
        offered: &Announcement,
        now: Instant,
    ) -> Result<(), Refusal> {
        let target = &offered.target;
        if target.incarnation < known.stamp.incarnation {
            return Err(Refusal::Superseded(known.stamp.incarnation));
        }
        let same_incarnation = target.incarnation == known.stamp.incarnation;
        if target.address != known.target.address && self.is_in_use(known, now) {
            return Err(Refusal::Conflict {
                held: known.target.address,
                offered: target.address,
            });
        }
        if !same_incarnation {
            return Ok(());
        }
        if known.presence == Presence::Left {
            return Err(Refusal::Left(target.incarnation));
        }
        if offered.session < known.stamp.session {
            return Err(Refusal::Late(known.stamp.session));
        }
        if offered.session == known.stamp.session && *target != known.target {
            return Err(Refusal::Reused(offered.session));
        }
        Ok(())
    }

    /// Whether the instance of a live row presumably still runs.
    ///
    /// At the process where the lease is renewed, the time of the last renewal decides. Other
    /// processes assume that the instance runs while the owner of the lease is in contact:
    /// otherwise two instances with the same name would displace each other with ever higher
    /// incarnations at two processes.
    fn is_in_use(&self, known: &Row, now: Instant) -> bool {
        let timeout = self.config.heartbeat_interval * 2;
        let last_renewal = self.leases.get(&known.target.instance);
        let last_seen = last_renewal.or_else(|| self.last_contact(&known.stamp.owner));
        known.is_live() && last_seen.is_some_and(|time| now.since(time) < timeout)
    }

    fn last_contact(&self, owner: &Owner) -> Option<Instant> {
        let position = self
            .last_contacts
            .binary_search_by(|(known, _)| known.cmp(owner));
        Some(self.last_contacts[position.ok()?].1)
    }

    fn row_of_incarnation(
        &self,
        instance: &instance::Name,
        incarnation: Incarnation,
    ) -> Result<Arc<Row>, Refusal> {
        let known = self.row(instance).ok_or(Refusal::Unknown)?;
        if incarnation < known.stamp.incarnation {
            return Err(Refusal::Superseded(known.stamp.incarnation));
        }
        if incarnation > known.stamp.incarnation {
            return Err(Refusal::Unknown);
        }
        Ok(Arc::clone(known))
    }

    fn store_announced_row(
        &mut self,
        announcement: Announcement,
        sequence: u64,
        kind: Kind,
        now: Instant,
    ) -> Change {
        let Announcement { target, session } = announcement;
        self.leases.set(&target.instance, now);
        let stamp = Stamp {
            incarnation: target.incarnation,
            departed: false,
            session,
            sequence,
            owner: self.local_owner.clone(),
        };
        let presence = Presence::Live;
        let row = self.store_row(
            Row {
                target,
                stamp,
                presence,
            },
            now,
        );
        Change { kind, row }
    }

    fn restamped_row(&self, known: &Row, presence: Presence) -> Row {
        let mut row = known.clone();
        row.presence = presence;
        row.stamp.departed = presence == Presence::Left;
        row.stamp.sequence += 1;
        row.stamp.owner = self.local_owner.clone();
        row
    }

    fn first_entry(&self, row: &Arc<Row>) -> Arc<Entry> {
        Arc::new(Entry {
            row: Arc::clone(row),
            change_number: self.version_number,
            previous_services: Vec::new(),
        })
    }

    fn successor_entry(&self, index: usize, row: &Arc<Row>) -> Arc<Entry> {
        let known = &self.entries[index];
        let previous_service = &known.row.target.service;
        let mut previous_services = known.previous_services.clone();
        if *previous_service != row.target.service && !previous_services.contains(previous_service)
        {
            previous_services.push(previous_service.clone());
        }
        Arc::new(Entry {
            row: Arc::clone(row),
            change_number: self.version_number,
            previous_services,
        })
    }

    fn compact_changes(&mut self) {
        let changes = mem::take(&mut self.changes);
        let current = |(change_number, instance): &(u64, instance::Name)| {
            let index = self.position(instance);
            index.is_ok_and(|index| self.entries[index].change_number == *change_number)
        };
        self.changes = changes.into_iter().filter(current).collect();
    }
}
