//! The targets that a node has received from control processes.
//!
//! A node keeps its last targets while no control process is reachable, and a control
//! process that has just started and knows only few targets must not empty the view.

use std::error;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use crate::announcement::AnnouncementVersion;
use crate::difference::Difference;
use crate::row::Row;
use crate::version::Version;
use shallotrill_model::incarnation::Incarnation;
use shallotrill_model::instance;
use shallotrill_model::service;
use shallotrill_model::time::Instant;

/// Why a difference was not applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The difference is older than the view; contains the version number of the view.
    Outdated(u64),
    /// The difference begins after the version of the view; a pull with that version closes the gap.
    Gap {
        /// Version number of the view.
        current: u64,
        /// Version number after which the difference begins.
        since: u64,
    },
    /// The difference is from another source than the view and is not a snapshot; contains its version.
    SnapshotRequired(Version),
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Outdated(current) => write!(
                f,
                "the difference is older than version {current} of the view"
            ),
            Self::Gap { current, since } => {
                write!(
                    f,
                    "the view has version {current}, but the difference begins at version {since}"
                )
            }
            Self::SnapshotRequired(version) => {
                let name = &version.source.name;
                write!(
                    f,
                    "the view needs a snapshot from {name} before a difference of this source"
                )
            }
        }
    }
}

impl error::Error for Refusal {}

/// A target that the current source has not confirmed.
#[derive(Clone, Debug)]
struct Unconfirmed {
    instance: instance::Name,
    keep_until: Instant,
}

/// The live targets of the services that a node uses, sorted by instance.
#[derive(Debug)]
pub struct View {
    lease_period: Duration,
    version: Option<Version>,
    rows: Vec<Arc<Row>>,
    /// Sorted by instance.
    unconfirmed: Vec<Unconfirmed>,
    last_update: Option<Instant>,
    suspect: bool,
}

impl View {
    /// Creates an empty view. Targets that a new source does not know are kept for `lease_period`.
    pub fn new(lease_period: Duration) -> Self {
        Self {
            lease_period,
            version: None,
            rows: Vec::new(),
            unconfirmed: Vec::new(),
            last_update: None,
            suspect: false,
        }
    }

    /// Applies a difference or a snapshot; returns whether any target changed.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal`] when the difference does not follow the version of the view.
    pub fn apply(&mut self, difference: &Difference, now: Instant) -> Result<bool, Refusal> {
        let source_switched = self.check_version(difference)?;
        let mut changed = false;
        if difference.is_snapshot() {
            changed |= self.reconcile(difference, source_switched, now);
        }
        for row in &difference.rows {
            changed |= self.apply_row(row, now);
        }
        for row in &difference.removed {
            changed |= self.apply_removal(row, source_switched, now);
        }
        self.version = Some(difference.version.clone());
        self.last_update = Some(now);
        self.suspect = difference.suspect;
        Ok(changed | self.expire_unconfirmed(now))
    }

    /// Removes targets that no source confirmed within one lease period after a switch; returns
    /// whether any was removed.
    ///
    /// A view whose last update is older than one lease period keeps them, since its source is unreachable.
    pub fn expire_unconfirmed(&mut self, now: Instant) -> bool {
        let source_reachable = self.age(now).is_some_and(|age| age < self.lease_period);
        if !source_reachable {
            return false;
        }
        let expired: Vec<Unconfirmed> = self
            .unconfirmed
            .iter()
            .filter(|target| target.keep_until <= now)
            .cloned()
            .collect();
        self.unconfirmed.retain(|target| target.keep_until > now);
        for target in &expired {
            if let Ok(index) = self.position(&target.instance) {
                self.rows.remove(index);
            }
        }
        !expired.is_empty()
    }

    /// Removes the targets of services that are no longer read, because the view receives no more updates of them.
    ///
    /// `interest` contains the services that are read, sorted.
    pub fn retain_services(&mut self, interest: &[service::Name]) {
        let retained = |row: &Arc<Row>| interest.binary_search(&row.target.service).is_ok();
        self.rows.retain(retained);
    }

    /// The live targets.
    pub fn rows(&self) -> &[Arc<Row>] {
        &self.rows
    }

    /// The version of the view, which the next pull contains; `None` before the first snapshot.
    pub fn version(&self) -> Option<&Version> {
        self.version.as_ref()
    }

    /// Time since the last update from a control process; `None` before the first one.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.last_update.map(|last_update| now.since(last_update))
    }

    /// Whether the source suspects that it is partitioned.
    pub fn suspect(&self) -> bool {
        self.suspect
    }

    /// Number of targets that the current source has not confirmed.
    pub fn unconfirmed_count(&self) -> usize {
        self.unconfirmed.len()
    }

    /// Checks that the difference follows the version of the view; returns whether its source is a new one.
    fn check_version(&self, difference: &Difference) -> Result<bool, Refusal> {
        let Some(current) = &self.version else {
            return match difference.since {
                None => Ok(true),
                Some(_) => Err(Refusal::SnapshotRequired(difference.version.clone())),
            };
        };
        if current.source != difference.version.source {
            return match difference.since {
                None => Ok(true),
                Some(_) => Err(Refusal::SnapshotRequired(difference.version.clone())),
            };
        }
        if difference.version.number < current.number {
            return Err(Refusal::Outdated(current.number));
        }
        match difference.since {
            Some(since) if since > current.number => Err(Refusal::Gap {
                current: current.number,
                since,
            }),
            _ => Ok(false),
        }
    }

    /// Handles the targets that a snapshot does not contain: removes them, or marks them as
    /// unconfirmed when the source was switched. Returns whether any was removed.
    fn reconcile(&mut self, snapshot: &Difference, source_switched: bool, now: Instant) -> bool {
        let listed = |row: &Arc<Row>| {
            let name = &row.target.instance;
            snapshot
                .rows
                .binary_search_by(|other| other.target.instance.cmp(name))
                .is_ok()
        };
        if !source_switched {
            let previous_len = self.rows.len();
            let unconfirmed = &self.unconfirmed;
            let retained = |row: &Arc<Row>| {
                let name = &row.target.instance;
                unconfirmed
                    .binary_search_by(|target| target.instance.cmp(name))
                    .is_ok()
            };
            self.rows.retain(|row| listed(row) || retained(row));
            return self.rows.len() != previous_len;
        }
        let unlisted = self.rows.iter().filter(|row| !listed(row));
        let names: Vec<instance::Name> = unlisted.map(|row| row.target.instance.clone()).collect();
        let still_unlisted = |target: &Unconfirmed| names.binary_search(&target.instance).is_ok();
        self.unconfirmed.retain(still_unlisted);
        for name in &names {
            self.mark_unconfirmed(name, now);
        }
        false
    }

    /// Stores a row unless the view has a later incarnation or announcement; returns whether
    /// the view changed.
    ///
    /// The rest of the stamp is not compared: rows that one source sends in the order of its
    /// versions replace those of another source.
    fn apply_row(&mut self, row: &Arc<Row>, now: Instant) -> bool {
        match self.position(&row.target.instance) {
            Ok(index) if announcement_order(&self.rows[index]) > announcement_order(row) => {
                self.mark_unconfirmed(&row.target.instance, now);
                false
            }
            Ok(index) => {
                self.mark_confirmed(&row.target.instance);
                let changed = self.rows[index] != *row;
                self.rows[index] = Arc::clone(row);
                changed
            }
            Err(index) => {
                self.rows.insert(index, Arc::clone(row));
                true
            }
        }
    }

    fn apply_removal(&mut self, row: &Arc<Row>, source_switched: bool, now: Instant) -> bool {
        let Ok(index) = self.position(&row.target.instance) else {
            return false;
        };
        let current = &self.rows[index];
        let older = if source_switched {
            current.stamp > row.stamp
        } else {
            announcement_order(current) > announcement_order(row)
        };
        if older {
            self.mark_unconfirmed(&row.target.instance, now);
            return false;
        }
        self.mark_confirmed(&row.target.instance);
        self.rows.remove(index);
        true
    }

    /// Marks a target as unconfirmed, to be kept for one lease period from the first such mark.
    fn mark_unconfirmed(&mut self, instance: &instance::Name, now: Instant) {
        if let Err(index) = self.unconfirmed_position(instance) {
            let instance = instance.clone();
            let keep_until = now + self.lease_period;
            self.unconfirmed.insert(
                index,
                Unconfirmed {
                    instance,
                    keep_until,
                },
            );
        }
    }

    fn mark_confirmed(&mut self, instance: &instance::Name) {
        if let Ok(index) = self.unconfirmed_position(instance) {
            self.unconfirmed.remove(index);
        }
    }

    fn unconfirmed_position(&self, instance: &instance::Name) -> Result<usize, usize> {
        self.unconfirmed
            .binary_search_by(|target| target.instance.cmp(instance))
    }

    fn position(&self, instance: &instance::Name) -> Result<usize, usize> {
        self.rows
            .binary_search_by(|row| row.target.instance.cmp(instance))
    }
}

/// The part of a stamp that the node of the target determines, in the order of its announcements.
fn announcement_order(row: &Row) -> (Incarnation, bool, AnnouncementVersion) {
    (row.stamp.incarnation, row.stamp.departed, row.stamp.session)
}
