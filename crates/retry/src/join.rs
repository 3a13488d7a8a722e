//! In-flight copies of one idempotent request share one answer.
//!
//! Callers resend without pause, so identical requests often overlap. The
//! first one leads and runs; the others follow and get its answer.

use std::time::Duration;

use shallotrill_model::digest::Digest;
use shallotrill_model::partner;
use shallotrill_model::request;
use shallotrill_model::time::Instant;

/// Identity of a joinable request. The partner is part of it, so that no partner gets another's answer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    /// Partner whose software sent the request.
    pub partner: partner::Name,
    /// Digest of service, method, path and content.
    pub digest: Digest,
}

/// How a request enters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Enter {
    /// It runs, and others may follow it.
    Lead,
    /// It waits for the answer of this request.
    Follow(request::Id),
    /// It runs by itself, because a bound is reached; it does not call [`Table::finish`].
    Alone(Full),
}

/// Which bound is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Full {
    /// The table has no space for another entry.
    Entries,
    /// The entry has no space for another follower.
    Followers,
}

/// What a disconnected caller changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Left {
    /// No such request is in the table.
    Unknown,
    /// A follower left; the work goes on.
    Follower,
    /// The work goes on, and this request owns it now.
    Owned(request::Id),
    /// Nobody waits any longer: [`Table::cancel`] is due for this leader after the grace.
    Orphaned(request::Id),
}

/// How the leader's work ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// It has an answer or a typed failure; the followers get the same.
    Settled,
    /// It was cancelled without a result.
    Cancelled,
}

/// What the followers do when the leader's work ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Finish {
    /// No such leader is in the table.
    Unknown,
    /// These requests get the leader's result.
    Deliver(Vec<request::Id>),
    /// This follower leads now and runs; the others follow it.
    Promoted(request::Id),
}

/// Bounds of a [`Table`].
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
    /// Sets the most requests that lead at once.
    #[must_use]
    pub const fn entries_max(mut self, entries: usize) -> Self {
        self.entries_max = entries;
        self
    }

    /// Sets the most followers of one leader.
    #[must_use]
    pub const fn followers_max(mut self, followers: usize) -> Self {
        self.followers_max = followers;
        self
    }
}

/// A request in flight with those that share its answer, as in the state dump.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Identity of the request.
    pub key: Key,
    /// Request whose attempt runs.
    pub leader: request::Id,
    /// Request that the work is done for; differs from the leader after its caller disconnected.
    pub owner: request::Id,
    /// Requests that wait, the owner excluded.
    pub followers: Vec<request::Id>,
    /// When the work began.
    pub since: Instant,
    /// Since when nobody waits; the owner is gone then.
    pub orphaned: Option<Instant>,
}

/// The requests in flight at a node that may be joined, sorted by key.
#[derive(Debug)]
pub struct Table {
    config: Config,
    entries: Vec<Entry>,
}

impl Table {
    /// Makes an empty table.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            entries: Vec::new(),
        }
    }

    /// Enters a request.
    pub fn enter(&mut self, key: Key, id: request::Id, now: Instant) -> Enter {
        match self.position(&key) {
            Ok(index) => {
                let entry = &mut self.entries[index];
                if entry.orphaned.take().is_some() {
                    entry.owner = id;
                    return Enter::Follow(entry.leader);
                }
                if entry.followers.len() >= self.config.followers_max {
                    return Enter::Alone(Full::Followers);
                }
                entry.followers.push(id);
                Enter::Follow(entry.leader)
            }
            Err(_) if self.entries.len() >= self.config.entries_max => Enter::Alone(Full::Entries),
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
                Enter::Lead
            }
        }
    }

    /// Removes a request whose caller disconnected.
    ///
    /// The work of the last one goes on for a grace, since its caller's software may send it again at once.
    pub fn disconnect(&mut self, key: &Key, id: request::Id, now: Instant) -> Left {
        let Ok(index) = self.position(key) else {
            return Left::Unknown;
        };
        let entry = &mut self.entries[index];
        if let Some(follower) = entry.followers.iter().position(|known| *known == id) {
            entry.followers.remove(follower);
            return Left::Follower;
        }
        if entry.owner != id || entry.orphaned.is_some() {
            return Left::Unknown;
        }
        if entry.followers.is_empty() {
            entry.orphaned = Some(now);
            return Left::Orphaned(entry.leader);
        }
        entry.owner = entry.followers.remove(0);
        Left::Owned(entry.owner)
    }

    /// Removes work that nobody has waited for since `grace` or longer; says whether it is to be cancelled.
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
        let due = entry
            .orphaned
            .is_some_and(|since| now.since(since) >= grace);
        if entry.leader != leader || !due {
            return false;
        }
        self.entries.remove(index);
        true
    }

    /// Ends the work of a leader.
    pub fn finish(&mut self, key: &Key, leader: request::Id, end: End) -> Finish {
        let found = self.position(key).ok();
        let Some(index) = found.filter(|index| self.entries[*index].leader == leader) else {
            return Finish::Unknown;
        };
        match end {
            End::Settled => Finish::Deliver(waiting(self.entries.remove(index))),
            End::Cancelled => self.promote(index),
        }
    }

    /// The entries, for the state dump.
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    fn promote(&mut self, index: usize) -> Finish {
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
            return Finish::Deliver(Vec::new());
        };
        entry.leader = next;
        entry.owner = next;
        Finish::Promoted(next)
    }

    fn position(&self, key: &Key) -> Result<usize, usize> {
        self.entries.binary_search_by(|entry| entry.key.cmp(key))
    }
}

/// The requests other than the leader that wait for the result.
fn waiting(entry: Entry) -> Vec<request::Id> {
    let mut waiting = entry.followers;
    if entry.owner != entry.leader && entry.orphaned.is_none() {
        waiting.insert(0, entry.owner);
    }
    waiting
}
