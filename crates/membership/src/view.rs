//! The targets that a node knows from control.
//!
//! A node keeps its last targets while control is unreachable, and a control
//! process that has just started and knows little must not empty the view.

use std::error;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use crate::announcement::Session;
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
    /// It is older than what is held; holds the number held.
    Old(u64),
    /// It begins after what is held; a pull with the held version closes the gap.
    Gap {
        /// The number held.
        held: u64,
        /// Where the difference begins.
        since: u64,
    },
    /// It is from another source than what is held and no snapshot.
    Source(Version),
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Old(held) => write!(f, "version {held} is held already"),
            Self::Gap { held, since } => {
                write!(
                    f,
                    "version {held} is held and the difference begins at {since}"
                )
            }
            Self::Source(version) => {
                let name = &version.source.name;
                write!(f, "a difference from {name} needs a snapshot first")
            }
        }
    }
}

impl error::Error for Refusal {}

/// A target that the present source did not confirm.
#[derive(Clone, Debug)]
struct Unconfirmed {
    instance: instance::Name,
    until: Instant,
}

/// The live targets of the services that a node uses, sorted by instance.
#[derive(Debug)]
pub struct View {
    lease: Duration,
    version: Option<Version>,
    rows: Vec<Arc<Row>>,
    /// Sorted by instance.
    unconfirmed: Vec<Unconfirmed>,
    confirmed: Option<Instant>,
    suspect: bool,
}

impl View {
    /// Makes an empty view. Targets that a new source does not know are kept for `lease`.
    pub fn new(lease: Duration) -> Self {
        Self {
            lease,
            version: None,
            rows: Vec::new(),
            unconfirmed: Vec::new(),
            confirmed: None,
            suspect: false,
        }
    }

    /// Applies a difference or a snapshot; returns whether any target changed.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal`] when the difference does not continue what is held.
    pub fn apply(&mut self, difference: &Difference, now: Instant) -> Result<bool, Refusal> {
        let switched = self.check(difference)?;
        let mut changed = false;
        if difference.is_snapshot() {
            changed |= self.reconcile(difference, switched, now);
        }
        for row in &difference.rows {
            changed |= self.put(row, now);
        }
        for row in &difference.removed {
            changed |= self.drop_row(row, switched, now);
        }
        self.version = Some(difference.version.clone());
        self.confirmed = Some(now);
        self.suspect = difference.suspect;
        Ok(changed | self.settle(now))
    }

    /// Drops targets that no source confirmed within one lease time after a switch.
    ///
    /// A view that has no contact keeps them: the lease time counts only up to the last confirmation.
    pub fn settle(&mut self, now: Instant) -> bool {
        let connected = self.age(now).is_some_and(|age| age < self.lease);
        if !connected {
            return false;
        }
        let due: Vec<Unconfirmed> = self
            .unconfirmed
            .iter()
            .filter(|kept| kept.until <= now)
            .cloned()
            .collect();
        self.unconfirmed.retain(|kept| kept.until > now);
        for kept in &due {
            if let Ok(index) = self.position(&kept.instance) {
                self.rows.remove(index);
            }
        }
        !due.is_empty()
    }

    /// Drops the targets of services that are no longer read, since nothing more is told of them.
    ///
    /// `interest` is sorted.
    pub fn keep(&mut self, interest: &[service::Name]) {
        let kept = |row: &Arc<Row>| interest.binary_search(&row.target.service).is_ok();
        self.rows.retain(kept);
    }

    /// The live targets.
    pub fn rows(&self) -> &[Arc<Row>] {
        &self.rows
    }

    /// What is held, which the next pull states.
    pub fn version(&self) -> Option<&Version> {
        self.version.as_ref()
    }

    /// Time since control last confirmed the view; nothing before the first time.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.confirmed.map(|confirmed| now.since(confirmed))
    }

    /// Whether the source suspects that it is cut off.
    pub fn suspect(&self) -> bool {
        self.suspect
    }

    /// Number of targets that the present source has not confirmed.
    pub fn unconfirmed(&self) -> usize {
        self.unconfirmed.len()
    }

    /// Returns whether the difference is from another source than what is held.
    fn check(&self, difference: &Difference) -> Result<bool, Refusal> {
        let Some(held) = &self.version else {
            return match difference.since {
                None => Ok(true),
                Some(_) => Err(Refusal::Source(difference.version.clone())),
            };
        };
        if held.source != difference.version.source {
            return match difference.since {
                None => Ok(true),
                Some(_) => Err(Refusal::Source(difference.version.clone())),
            };
        }
        if difference.version.number < held.number {
            return Err(Refusal::Old(held.number));
        }
        match difference.since {
            Some(since) if since > held.number => Err(Refusal::Gap {
                held: held.number,
                since,
            }),
            _ => Ok(false),
        }
    }

    /// Handles the targets that a snapshot does not hold.
    fn reconcile(&mut self, snapshot: &Difference, switched: bool, now: Instant) -> bool {
        let listed = |row: &Arc<Row>| {
            let name = &row.target.instance;
            snapshot
                .rows
                .binary_search_by(|other| other.target.instance.cmp(name))
                .is_ok()
        };
        if !switched {
            let before = self.rows.len();
            let waiting = &self.unconfirmed;
            let kept = |row: &Arc<Row>| {
                let name = &row.target.instance;
                waiting
                    .binary_search_by(|kept| kept.instance.cmp(name))
                    .is_ok()
            };
            self.rows.retain(|row| listed(row) || kept(row));
            return self.rows.len() != before;
        }
        let unlisted = self.rows.iter().filter(|row| !listed(row));
        let names: Vec<instance::Name> = unlisted.map(|row| row.target.instance.clone()).collect();
        let still = |kept: &Unconfirmed| names.binary_search(&kept.instance).is_ok();
        self.unconfirmed.retain(still);
        for name in &names {
            self.doubt(name, now);
        }
        false
    }

    /// Takes a row unless a later life or a later announcement is held.
    ///
    /// The other parts of the stamp do not count: what one source sends in the
    /// order of its versions replaces what another one sent.
    fn put(&mut self, row: &Arc<Row>, now: Instant) -> bool {
        match self.position(&row.target.instance) {
            Ok(index) if announced(&self.rows[index]) > announced(row) => {
                self.doubt(&row.target.instance, now);
                false
            }
            Ok(index) => {
                self.trust(&row.target.instance);
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

    fn drop_row(&mut self, row: &Arc<Row>, switched: bool, now: Instant) -> bool {
        let Ok(index) = self.position(&row.target.instance) else {
            return false;
        };
        let held = &self.rows[index];
        let older = if switched {
            held.stamp > row.stamp
        } else {
            announced(held) > announced(row)
        };
        if older {
            self.doubt(&row.target.instance, now);
            return false;
        }
        self.trust(&row.target.instance);
        self.rows.remove(index);
        true
    }

    /// Keeps a target for one lease time from the first doubt.
    fn doubt(&mut self, instance: &instance::Name, now: Instant) {
        if let Err(index) = self.doubted(instance) {
            let instance = instance.clone();
            let until = now + self.lease;
            self.unconfirmed
                .insert(index, Unconfirmed { instance, until });
        }
    }

    fn trust(&mut self, instance: &instance::Name) {
        if let Ok(index) = self.doubted(instance) {
            self.unconfirmed.remove(index);
        }
    }

    fn doubted(&self, instance: &instance::Name) -> Result<usize, usize> {
        self.unconfirmed
            .binary_search_by(|kept| kept.instance.cmp(instance))
    }

    fn position(&self, instance: &instance::Name) -> Result<usize, usize> {
        self.rows
            .binary_search_by(|row| row.target.instance.cmp(instance))
    }
}

/// The part of a stamp that the node of the target determines.
fn announced(row: &Row) -> (Incarnation, bool, Session) {
    (row.stamp.incarnation, row.stamp.left, row.stamp.session)
}
