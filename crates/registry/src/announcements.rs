//! The routers and backend servers that have announced themselves.

use std::net::SocketAddr;
use std::time::Duration;

use shallotrill_feed::message::Announcement;
use shallotrill_feed::message::Announcements;
use shallotrill_model::time::Instant;

/// A router that was silent for this long is taken from the list. Routers renew each second.
const LEASE: Duration = Duration::from_millis(3_500);

/// A pause of the own process above this makes all leases look expired; they are renewed instead.
const PAUSE_MAX: Duration = Duration::from_secs(1);

/// Removals that are remembered for watchers that have not read them. One that lags by more gets the whole list.
const REMOVALS_MAX: usize = 1_024;

#[derive(Clone, Debug)]
struct Known {
    announcement: Announcement,
    renewed: Instant,
    /// Revision of the table at its last change.
    changed: u64,
}

/// Announcements with leases.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// Sorted by the address of the router.
    known: Vec<Known>,
    /// Revisions and routers of the latest removals, in their order.
    removals: Vec<(u64, SocketAddr)>,
    /// Watchers that have read less than this miss removals that are forgotten.
    forgotten: u64,
    revision: u64,
    checked: Instant,
}

impl Table {
    /// Rises with each change.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Routers that are listed.
    pub const fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether no router is listed.
    pub const fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// All announcements, and the time since each was renewed.
    pub fn renewals(&self, now: Instant) -> impl Iterator<Item = (&Announcement, Duration)> {
        let known = self.known.iter();
        known.map(move |k| (&k.announcement, now.since(k.renewed)))
    }

    /// What has changed after a revision; everything when the watcher has read nothing yet.
    pub fn since(&self, revision: u64) -> Announcements {
        let complete = revision == 0 || revision < self.forgotten;
        let known = self.known.iter();
        let changed = known.filter(|k| complete || k.changed > revision);
        let removals = self.removals.iter();
        let removed = removals.filter(|(at, _)| !complete && *at > revision);
        Announcements {
            complete,
            changed: changed.map(|k| k.announcement.clone()).collect(),
            removed: removed.map(|(_, router)| *router).collect(),
        }
    }

    /// Takes an announcement; an older one only renews the lease. Returns whether the list changed.
    pub fn take(&mut self, announcement: Announcement, now: Instant) -> bool {
        let router = announcement.router;
        let changed = self.revision + 1;
        match self
            .known
            .binary_search_by(|k| k.announcement.router.cmp(&router))
        {
            Ok(at) => {
                let known = &mut self.known[at];
                known.renewed = now;
                if order(&announcement) <= order(&known.announcement) {
                    return false;
                }
                known.announcement = announcement;
                known.changed = changed;
            }
            Err(at) => {
                let known = Known {
                    announcement,
                    renewed: now,
                    changed,
                };
                self.known.insert(at, known);
            }
        }
        self.revision = changed;
        true
    }

    /// Removes what was not renewed in time. Returns the announcements that were removed.
    pub fn expire(&mut self, now: Instant) -> Vec<Announcement> {
        let paused = now.since(self.checked) > PAUSE_MAX;
        self.checked = now;
        if paused {
            for known in &mut self.known {
                known.renewed = now;
            }
            return Vec::new();
        }
        let mut removed = Vec::new();
        self.known.retain(|known| {
            let stays = now.since(known.renewed) < LEASE;
            if !stays {
                removed.push(known.announcement.clone());
            }
            stays
        });
        if !removed.is_empty() {
            self.revision += 1;
            let revision = self.revision;
            let gone = removed.iter().map(|a| (revision, a.router));
            self.removals.extend(gone);
            let excess = self.removals.len().saturating_sub(REMOVALS_MAX);
            if let Some((last, _)) = self.removals.drain(..excess).next_back() {
                self.forgotten = last;
            }
        }
        removed
    }
}

const fn order(announcement: &Announcement) -> (u64, u64) {
    (announcement.session, announcement.sequence)
}
