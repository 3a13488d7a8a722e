//! Coalesces identical idempotent requests in flight, so that they share one response.
//!
//! Callers resend without backoff, so identical requests often overlap. The
//! first request is the leader and runs; the others are followers, wait, and
//! get the leader's response.

use std::time::Duration;

use shallotrill_model::digest::Digest;
use shallotrill_model::partner;
use shallotrill_model::request;
use shallotrill_model::time::Instant;

/// Identity of a request that may be coalesced. It includes the partner, so that no partner gets the response of another.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    /// Partner whose caller sent the request.
    pub partner: partner::Name,
    /// Digest of service, method, path and content.
    pub digest: Digest,
}

/// How an entering request is processed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// It is the leader: it runs, and identical requests may follow it.
    Lead,
    /// It waits for the response of this leader.
    Follow(request::Id),
    /// It runs without coalescing, because a limit is reached. [`Table::finish`] must not be called for it.
    Alone(CapacityReached),
}

/// Which limit of [`Config`] is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CapacityReached {
    /// The table has the maximum number of entries.
    Entries,
    /// The entry has the maximum number of followers.
    Followers,
}

/// Result of [`Table::disconnect`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disconnected {
    /// The request is not in the table.
    Unknown,
    /// The request was a follower and is removed; the leader's attempt continues.
    Follower,
    /// The leader's attempt continues, now owned by this former follower.
    OwnerChanged(request::Id),
    /// No request waits for the response any longer. [`Table::cancel`] must be called for this leader after the grace period.
    Orphaned(request::Id),
}

/// How the leader's attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaderOutcome {
    /// It has a response or a typed failure, which the followers get as well.
    Completed,
    /// It was cancelled without a result.
    Cancelled,
}

/// What happens to the followers after the leader's attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FollowerAction {
    /// The table has no entry with this leader.
    Unknown,
    /// These requests get the leader's result.
    Deliver(Vec<request::Id>),
    /// This follower is the new leader and runs; the others follow it.
    Promoted(request::Id),
}

/// Limits of a [`Table`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    entries_max: usize,
    followers_max: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            entries_max: 4_096,
            followers_max: 64,
        }
    }
}

impl Config {
    /// Sets the maximum number of leaders in the table.
    #[must_use]
    pub const fn entries_max(mut self, entries: usize) -> Self {
        self.entries_max = entries;
        self
    }

    /// Sets the maximum number of followers of one leader.
    #[must_use]
    pub const fn followers_max(mut self, followers: usize) -> Self {
        self.followers_max = followers;
        self
    }
}

/// A leader in flight with the requests that share its response, as in the state dump.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Identity shared by the requests.
    pub key: Key,
    /// Request whose attempt is running.
    pub leader: request::Id,
    /// Request on whose behalf the attempt continues; differs from the leader after the leader's caller disconnected.
    pub owner: request::Id,
    /// Waiting requests, excluding the owner, in the order of arrival.
    pub followers: Vec<request::Id>,
    /// Time at which the leader entered.
    pub since: Instant,
    /// Time since which no request waits, because the owner's caller disconnected as well; `None` while one waits.
    pub orphaned: Option<Instant>,
}

/// The requests in flight at a node that may be coalesced, sorted by key.
#[derive(Debug)]
pub struct Table {
    config: Config,
    entries: Vec<Entry>,
}

impl Table {
    /// Creates an empty table.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            entries: Vec::new(),
        }
    }

    /// Enters a request as leader or follower, or refuses to coalesce it when a limit is reached.
    pub fn enter(&mut self, key: Key, id: request::Id, now: Instant) -> Placement {
        match self.position(&key) {
            Ok(index) => {
                let entry = &mut self.entries[index];
                if entry.orphaned.take().is_some() {
                    entry.owner = id;
                    return Placement::Follow(entry.leader);
                }
                if entry.followers.len() >= self.config.followers_max {
                    return Placement::Alone(CapacityReached::Followers);
                }
                entry.followers.push(id);
                Placement::Follow(entry.leader)
            }
            Err(_) if self.entries.len() >= self.config.entries_max => {
                Placement::Alone(CapacityReached::Entries)
            }
            Err(index) => {
                let entry = Entry {
                    key,
                    leader: id,
                    owner: id,
                    followers: Vec::new(),
                    since: now,
                    orphaned: None,
                };
                self.entries.insert(index, entry);
                Placement::Lead
            }
        }
    }

    /// Removes a request whose caller disconnected.
    ///
    /// The attempt continues for a grace period after the last request disconnected, because the caller may
    /// resend the request immediately.
    pub fn disconnect(&mut self, key: &Key, id: request::Id, now: Instant) -> Disconnected {
        let Ok(index) = self.position(key) else {
            return Disconnected::Unknown;
        };
        let entry = &mut self.entries[index];
        if let Some(follower) = entry.followers.iter().position(|known| *known == id) {
            entry.followers.remove(follower);
            return Disconnected::Follower;
        }
        if entry.owner != id || entry.orphaned.is_some() {
            return Disconnected::Unknown;
        }
        if entry.followers.is_empty() {
            entry.orphaned = Some(now);
            return Disconnected::Orphaned(entry.leader);
        }
        entry.owner = entry.followers.remove(0);
        Disconnected::OwnerChanged(entry.owner)
    }

    /// Removes the entry of `leader` if no request has waited for it for at least `grace`. Returns whether
    /// it was removed, in which case its attempt must be cancelled.
    pub fn cancel(
        &mut self,
        key: &Key,
        leader: request::Id,
        grace: Duration,
        now: Instant,
    ) -> bool {
        let Ok(index) = self.position(key) else {
            return false;
        };
        let entry = &self.entries[index];
        let expired = entry
            .orphaned
            .is_some_and(|since| now.since(since) >= grace);
        if entry.leader != leader || !expired {
            return false;
        }
        self.entries.remove(index);
        true
    }

    /// Records the end of a leader's attempt. A cancelled attempt promotes a waiting follower, if there is one.
    pub fn finish(&mut self, key: &Key, leader: request::Id, end: LeaderOutcome) -> FollowerAction {
        let position = self.position(key).ok();
        let Some(index) = position.filter(|index| self.entries[*index].leader == leader) else {
            return FollowerAction::Unknown;
        };
        match end {
            LeaderOutcome::Completed => {
                FollowerAction::Deliver(waiting_requests(self.entries.remove(index)))
            }
            LeaderOutcome::Cancelled => self.promote(index),
        }
    }

    /// The entries, for the state dump.
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    fn promote(&mut self, index: usize) -> FollowerAction {
        let entry = &mut self.entries[index];
        let next = if entry.orphaned.is_some() {
            None
        } else if entry.owner == entry.leader {
            (!entry.followers.is_empty()).then(|| entry.followers.remove(0))
        } else {
            Some(entry.owner)
        };
        let Some(next) = next else {
            self.entries.remove(index);
            return FollowerAction::Deliver(Vec::new());
        };
        entry.leader = next;
        entry.owner = next;
        FollowerAction::Promoted(next)
    }

    fn position(&self, key: &Key) -> Result<usize, usize> {
        self.entries.binary_search_by(|entry| entry.key.cmp(key))
    }
}

/// Returns the requests other than the leader that wait for the result.
fn waiting_requests(entry: Entry) -> Vec<request::Id> {
    let mut waiting = entry.followers;
    if entry.owner != entry.leader && entry.orphaned.is_none() {
        waiting.insert(0, entry.owner);
    }
    waiting
}
