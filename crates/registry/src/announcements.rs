//! Table of the announcements of routers, each with a lease that expires without renewal.

use std::net::SocketAddr;
use std::time::Duration;

use shallotrill_feed::message::Announcement;
use shallotrill_feed::message::Announcements;
use shallotrill_model::time::Instant;

/// A router that does not renew its announcement for this long is removed. Routers renew every second.
const LEASE_PERIOD: Duration = Duration::from_millis(3_500);

/// When two checks are further apart than this, the process was suspended and every lease would
/// seem to have expired; all leases are renewed instead.
const CHECK_GAP_MAX: Duration = Duration::from_secs(1);

/// Removals kept for watchers that have not received them. A watcher that lags by more is sent the
/// complete table.
const REMOVALS_MAX: usize = 1_024;

/// Time for each announced router that a reply to a watcher waits for further changes. When many routers
/// change at once, each watcher is then sent the changes in a few replies instead of one by one: at 300
/// routers that start together, up to 300 replies to each of 300 watchers.
const GATHER_TIME_PER_ROUTER: Duration = Duration::from_micros(250);

/// Longest time that a reply waits for further changes.
const GATHER_TIME_MAX: Duration = Duration::from_millis(100);

#[derive(Clone, Debug)]
struct Lease {
    announcement: Announcement,
    renewed: Instant,
    /// Revision of the table at its last change.
    changed: u64,
}

/// Announcements with their leases.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// Sorted by the address of the router.
    leases: Vec<Lease>,
    /// Revision and router of the latest removals, oldest first.
    removals: Vec<(u64, SocketAddr)>,
    /// Revision of the latest discarded removal; a watcher at an earlier revision may miss removals.
    discarded_revision: u64,
    revision: u64,
    last_check: Instant,
}

impl Table {
    /// Time that a reply to a watcher waits for further changes; in proportion to the number of routers,
    /// as the number of replies is.
    pub fn gather_time(&self) -> Duration {
        let routers = u32::try_from(self.leases.len()).unwrap_or(u32::MAX);
        GATHER_TIME_PER_ROUTER
            .saturating_mul(routers)
            .min(GATHER_TIME_MAX)
    }

    /// Revision of the table; increases with each change.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Number of announced routers.
    pub const fn len(&self) -> usize {
        self.leases.len()
    }

    /// Whether no router is announced.
    pub const fn is_empty(&self) -> bool {
        self.leases.is_empty()
    }

    /// All announcements, with the time since each was renewed.
    pub fn renewals(&self, now: Instant) -> impl Iterator<Item = (&Announcement, Duration)> {
        let leases = self.leases.iter();
        leases.map(move |k| (&k.announcement, now.since(k.renewed)))
    }

    /// Session of the router process at this address; `None` when it is not announced.
    pub fn session(&self, router: SocketAddr) -> Option<u64> {
        let index = self
            .leases
            .binary_search_by(|k| k.announcement.router.cmp(&router));
        index.ok().map(|i| self.leases[i].announcement.session)
    }

    /// Changes after a revision. The complete table when `revision` is zero, which means that the
    /// watcher has received nothing yet, or when removals after it were discarded.
    pub fn since(&self, revision: u64) -> Announcements {
        let complete = revision == 0 || revision < self.discarded_revision;
        let leases = self.leases.iter();
        let changed = leases.filter(|k| complete || k.changed > revision);
        let removals = self.removals.iter();
        let removed = removals.filter(|(removed_at, _)| !complete && *removed_at > revision);
        Announcements {
            complete,
            changed: changed.map(|k| k.announcement.clone()).collect(),
            removed: removed.map(|(_, router)| *router).collect(),
        }
    }

    /// Applies an announcement; one that is not newer only renews the lease. Returns whether the
    /// table changed.
    pub fn apply(&mut self, announcement: Announcement, now: Instant) -> bool {
        let router = announcement.router;
        let changed = self.revision + 1;
        match self
            .leases
            .binary_search_by(|k| k.announcement.router.cmp(&router))
        {
            Ok(index) => {
                let lease = &mut self.leases[index];
                lease.renewed = now;
                if order(&announcement) <= order(&lease.announcement) {
                    return false;
                }
                lease.announcement = announcement;
                lease.changed = changed;
            }
            Err(index) => {
                let lease = Lease {
                    announcement,
                    renewed: now,
                    changed,
                };
                self.leases.insert(index, lease);
            }
        }
        self.revision = changed;
        true
    }

    /// Removes the announcements whose lease has expired, and returns them.
    pub fn expire(&mut self, now: Instant) -> Vec<Announcement> {
        let suspended = now.since(self.last_check) > CHECK_GAP_MAX;
        self.last_check = now;
        if suspended {
            for lease in &mut self.leases {
                lease.renewed = now;
            }
            return Vec::new();
        }
        let mut removed = Vec::new();
        self.leases.retain(|lease| {
            let valid = now.since(lease.renewed) < LEASE_PERIOD;
            if !valid {
                removed.push(lease.announcement.clone());
            }
            valid
        });
        if !removed.is_empty() {
            self.revision += 1;
            let revision = self.revision;
            let removals = removed.iter().map(|a| (revision, a.router));
            self.removals.extend(removals);
            let excess = self.removals.len().saturating_sub(REMOVALS_MAX);
            if let Some((last, _)) = self.removals.drain(..excess).next_back() {
                self.discarded_revision = last;
            }
        }
        removed
    }
}

const fn order(announcement: &Announcement) -> (u64, u64) {
    (announcement.session, announcement.sequence)
}
