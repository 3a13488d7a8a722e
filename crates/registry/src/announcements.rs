//! The routers and backend servers that have announced themselves.

use std::time::Duration;

use shallotrill_feed::message::Announcement;
use shallotrill_model::time::Instant;

/// A router that was silent for this long is taken from the list. Routers renew each second.
const LEASE: Duration = Duration::from_millis(3_500);

/// A pause of the own process above this makes all leases look expired; they are renewed instead.
const PAUSE_MAX: Duration = Duration::from_secs(1);

#[derive(Clone, Debug)]
struct Known {
    announcement: Announcement,
    renewed: Instant,
}

/// Announcements with leases.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// Sorted by the address of the router.
    known: Vec<Known>,
    revision: u64,
    checked: Instant,
}

impl Table {
    /// Rises with each change.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// All announcements.
    pub fn all(&self) -> Vec<Announcement> {
        self.known.iter().map(|k| k.announcement.clone()).collect()
    }

    /// Takes an announcement; an older one only renews the lease. Returns whether the list changed.
    pub fn take(&mut self, announcement: Announcement, now: Instant) -> bool {
        let router = announcement.router;
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
            }
            Err(at) => {
                let known = Known {
                    announcement,
                    renewed: now,
                };
                self.known.insert(at, known);
            }
        }
        self.revision += 1;
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
        }
        removed
    }
}

const fn order(announcement: &Announcement) -> (u64, u64) {
    (announcement.session, announcement.sequence)
}
