//! The table of targets at a control process.

use std::mem;
use std::sync::Arc;

use crate::announcement::Announcement;
use crate::change::Change;
use crate::change::Kind;
use crate::change::Refusal;
use crate::config::Config;
use crate::expiry::Recent;
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

/// A row with what only this process knows of it.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) row: Arc<Row>,
    /// Number of the change that made the row here.
    pub(crate) changed: u64,
    /// Services before the row's present one, whose readers have to drop it.
    pub(crate) past: Vec<service::Name>,
}

/// Whether the table trusts its own view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Leases expire.
    Sound,
    /// Leases renewed here expire, but not those of silent owners, since no
    /// majority of the control processes was heard from.
    Partitioned {
        /// Silent owners of live rows.
        owners: usize,
    },
    /// This process may be cut off: nothing expires.
    Suspect {
        /// When the suspicion began.
        since: Instant,
        /// Leases renewed here that are silent or expired within one lease time.
        silent: usize,
        /// Leases renewed here, with those that expired within one lease time.
        direct: usize,
    },
}

/// The targets known to one control process, sorted by instance.
///
/// Rows are behind shared pointers: an insertion moves 8 bytes a row, and
/// differences share rows instead of copying them.
#[derive(Debug)]
pub struct Table {
    pub(crate) config: Config,
    pub(crate) own: Owner,
    pub(crate) entries: Vec<Arc<Entry>>,
    pub(crate) leases: lease::Table,
    pub(crate) owners: Vec<(Owner, Instant)>,
    /// Changes in order of their number; one is outdated when its row has changed again.
    pub(crate) changes: Vec<(u64, instance::Name)>,
    number: u64,
    /// Readers that hold a lower number get a snapshot.
    pub(crate) floor: u64,
    /// Removed rows in order of removal.
    pub(crate) tombstones: Vec<(Instant, instance::Name, u64)>,
    pub(crate) recent: Recent,
    pub(crate) status: Status,
    /// Since when contact to a majority has lasted.
    pub(crate) contact: Option<Instant>,
}

impl Table {
    /// Makes an empty table of the control process `own`.
    pub fn new(own: Owner, config: Config) -> Self {
        Self {
            config,
            own,
            entries: Vec::new(),
            leases: lease::Table::default(),
            owners: Vec::new(),
            changes: Vec::new(),
            number: 0,
            floor: 0,
            tombstones: Vec::new(),
            recent: Recent::default(),
            status: Status::Sound,
            contact: None,
        }
    }

    /// Takes an announcement and holds the lease of its target.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal`] when the table knows something later, when this
    /// incarnation left, or when the name is in use at another address.
    pub fn announce(
        &mut self,
        announcement: Announcement,
        now: Instant,
    ) -> Result<Change, Refusal> {
        let Some(known) = self.row(&announcement.target.instance).map(Arc::clone) else {
            return Ok(self.own_row(announcement, 1, Kind::Joined, now));
        };
        self.check(&known, &announcement, now)?;
        let repeated = announcement.session == known.stamp.session
            && announcement.target.incarnation == known.stamp.incarnation;
        if repeated {
            return Ok(self.hold(&known, now));
        }
        let kind = if known.is_live() {
            Kind::Updated
        } else {
            Kind::Joined
        };
        Ok(self.own_row(announcement, known.stamp.sequence + 1, kind, now))
    }

    /// Renews the lease of an instance; takes it over when another process owns it.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal::Unknown`] when the node has to announce its backend
    /// server anew, and otherwise what the table knows instead.
    pub fn renew(
        &mut self,
        instance: &instance::Name,
        incarnation: Incarnation,
        now: Instant,
    ) -> Result<Change, Refusal> {
        let known = self.of_incarnation(instance, incarnation)?;
        if known.presence == Presence::Left {
            return Err(Refusal::Left(incarnation));
        }
        Ok(self.hold(&known, now))
    }

    /// Removes an instance whose backend server left.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal`] when another incarnation is known or none.
    pub fn leave(
        &mut self,
        instance: &instance::Name,
        incarnation: Incarnation,
        now: Instant,
    ) -> Result<Change, Refusal> {
        let known = self.of_incarnation(instance, incarnation)?;
        if known.presence == Presence::Left {
            let kind = Kind::Unchanged;
            return Ok(Change { kind, row: known });
        }
        Ok(self.remove(&known, Presence::Left, now))
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

    /// The present version.
    pub fn version(&self) -> Version {
        Version {
            source: self.own.clone(),
            number: self.number,
        }
    }

    /// Whether the table trusts its own view.
    pub fn status(&self) -> Status {
        self.status
    }

    /// Leases that are renewed here.
    pub fn direct(&self) -> usize {
        self.leases.held().count()
    }

    pub(crate) fn position(&self, instance: &instance::Name) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|entry| entry.row.target.instance.cmp(instance))
    }

    /// Stores a row, which is newer than the one it replaces, under the next number.
    pub(crate) fn store(&mut self, row: Row, now: Instant) -> Arc<Row> {
        self.number += 1;
        let row = Arc::new(row);
        let instance = row.target.instance.clone();
        if !row.is_live() {
            self.tombstones.push((now, instance.clone(), self.number));
        }
        self.changes.push((self.number, instance.clone()));
        match self.position(&instance) {
            Ok(index) => self.entries[index] = self.successor(index, &row),
            Err(index) => self.entries.insert(index, self.first(&row)),
        }
        if self.changes.len() > 2 * self.entries.len() + 64 {
            self.compact();
        }
        row
    }

    /// Makes a removed row of a known one.
    pub(crate) fn remove(&mut self, known: &Row, presence: Presence, now: Instant) -> Change {
        self.leases.remove(&known.target.instance);
        let row = self.restamped(known, presence);
        let kind = if presence == Presence::Left {
            Kind::Left
        } else {
            Kind::Expired
        };
        let row = self.store(row, now);
        Change { kind, row }
    }

    /// Renews a lease here and makes this process its owner.
    pub(crate) fn hold(&mut self, known: &Arc<Row>, now: Instant) -> Change {
        self.leases.set(&known.target.instance, now);
        if known.is_live() && known.stamp.owner == self.own {
            let row = Arc::clone(known);
            let kind = Kind::Unchanged;
            return Change { kind, row };
        }
        let kind = if known.is_live() {
            Kind::Moved
        } else {
            Kind::Joined
        };
        let row = self.restamped(known, Presence::Live);
        let row = self.store(row, now);
        Change { kind, row }
    }

    /// Forgets a removed row unless it has changed since.
    pub(crate) fn forget(&mut self, instance: &instance::Name, number: u64) {
        if let Ok(index) = self.position(instance)
            && self.entries[index].changed == number
        {
            self.entries.remove(index);
            self.floor = self.floor.max(number);
        }
    }

    fn check(&self, known: &Row, offered: &Announcement, now: Instant) -> Result<(), Refusal> {
        let target = &offered.target;
        if target.incarnation < known.stamp.incarnation {
            return Err(Refusal::Superseded(known.stamp.incarnation));
        }
        let same = target.incarnation == known.stamp.incarnation;
        if target.address != known.target.address && self.in_use(known, now) {
            return Err(Refusal::Conflict {
                held: known.target.address,
                offered: target.address,
            });
        }
        if !same {
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

    /// Whether the holder of a row still runs, as far as this process can know.
    ///
    /// Where the lease is renewed, the last renewal tells it. Elsewhere it is
    /// assumed while the owner of the lease is heard from: otherwise two
    /// instances of one name would displace each other with ever higher
    /// incarnations at two processes.
    fn in_use(&self, known: &Row, now: Instant) -> bool {
        let limit = self.config.heartbeat * 2;
        let renewed = self.leases.get(&known.target.instance);
        let seen = renewed.or_else(|| self.heard_at(&known.stamp.owner));
        known.is_live() && seen.is_some_and(|seen| now.since(seen) < limit)
    }

    fn heard_at(&self, owner: &Owner) -> Option<Instant> {
        let found = self.owners.binary_search_by(|(known, _)| known.cmp(owner));
        Some(self.owners[found.ok()?].1)
    }

    fn of_incarnation(
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

    fn own_row(
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
            left: false,
            session,
            sequence,
            owner: self.own.clone(),
        };
        let presence = Presence::Live;
        let row = self.store(
            Row {
                target,
                stamp,
                presence,
            },
            now,
        );
        Change { kind, row }
    }

    fn restamped(&self, known: &Row, presence: Presence) -> Row {
        let mut row = known.clone();
        row.presence = presence;
        row.stamp.left = presence == Presence::Left;
        row.stamp.sequence += 1;
        row.stamp.owner = self.own.clone();
        row
    }

    fn first(&self, row: &Arc<Row>) -> Arc<Entry> {
        Arc::new(Entry {
            row: Arc::clone(row),
            changed: self.number,
            past: Vec::new(),
        })
    }

    fn successor(&self, index: usize, row: &Arc<Row>) -> Arc<Entry> {
        let known = &self.entries[index];
        let before = &known.row.target.service;
        let mut past = known.past.clone();
        if *before != row.target.service && !past.contains(before) {
            past.push(before.clone());
        }
        Arc::new(Entry {
            row: Arc::clone(row),
            changed: self.number,
            past,
        })
    }

    fn compact(&mut self) {
        let changes = mem::take(&mut self.changes);
        let current = |(number, instance): &(u64, instance::Name)| {
            let index = self.position(instance);
            index.is_ok_and(|index| self.entries[index].changed == *number)
        };
        self.changes = changes.into_iter().filter(current).collect();
    }
}
