//! Which registry processes there are, and how many make a majority.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ballot::Identity;
use shallotrill_model::time::Instant;

/// A process that was silent for this long no longer raises the majority, so
/// that members that were replaced do not count for ever.
const FORGET: Duration = Duration::from_secs(10);

/// A process heard within this time counts as alive when a newcomer asks for its vote.
const ALIVE: Duration = Duration::from_secs(2);

/// What a registry process says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its disk.
    pub identity: Identity,
    /// Where it takes messages.
    pub address: SocketAddr,
    /// Whether it takes part in agreements.
    pub votes: bool,
}

#[derive(Clone, Debug)]
struct Known {
    member: Member,
    heard: Instant,
    /// Its registers were copied whole since it last voted.
    copied: bool,
}

/// The registry processes that this one knows.
#[derive(Clone, Debug)]
pub struct Roster {
    own: Member,
    tolerated: usize,
    /// Sorted by address.
    others: Vec<Known>,
}

impl Roster {
    /// A roster of this process alone; the loss of `tolerated` disks at once must lose nothing.
    pub const fn new(own: Member, tolerated: usize) -> Self {
        Self {
            own,
            tolerated,
            others: Vec::new(),
        }
    }

    /// This process.
    pub const fn own(&self) -> Member {
        self.own
    }

    /// Notes that a process was heard.
    pub fn heard(&mut self, member: Member, now: Instant) {
        if member.identity == self.own.identity {
            return;
        }
        match self.find(member.address) {
            Ok(at) => {
                let known = &mut self.others[at];
                known.copied &= known.member.identity == member.identity;
                known.member = member;
                known.heard = now;
            }
            Err(at) => {
                let known = Known {
                    member,
                    heard: now,
                    copied: false,
                };
                self.others.insert(at, known);
            }
        }
    }

    /// The other processes, and the time since each was heard.
    pub fn others(&self, now: Instant) -> impl Iterator<Item = (Member, Duration)> {
        let others = self.others.iter();
        others.map(move |known| (known.member, now.since(known.heard)))
    }

    /// Notes that all registers of the process at `address` were copied.
    pub fn copied(&mut self, address: SocketAddr) {
        if let Ok(at) = self.find(address) {
            self.others[at].copied = true;
        }
    }

    /// Addresses of the other processes.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.others.iter().map(|k| k.member.address).collect()
    }

    /// Forgets a process that was silent for long.
    pub fn forget(&mut self, silence: Duration, now: Instant) {
        self.others.retain(|known| now.since(known.heard) < silence);
    }

    /// Replicas that must accept an item.
    ///
    /// One more than the disks that may be lost, and more than half of the voters.
    pub fn quorum(&self, now: Instant) -> usize {
        let voters = self.voters(FORGET, now);
        (self.tolerated + 1).max(voters / 2 + 1)
    }

    fn voters(&self, within: Duration, now: Instant) -> usize {
        let others = self.others.iter();
        let others = others.filter(|k| k.member.votes && now.since(k.heard) < within);
        others.count() + usize::from(self.own.votes)
    }

    /// Lets a process with a new disk vote once that is safe. Returns whether it votes now.
    ///
    /// An item is at one more replica than disks may be lost. Copying from as
    /// many voters as remain after such a loss therefore finds every item. While
    /// the voters are complete, one more could let two majorities miss each other.
    pub fn admit(&mut self, now: Instant) -> bool {
        if self.own.votes {
            return true;
        }
        let copied = self.others.iter();
        let copied = copied.filter(|k| k.member.votes && k.copied).count();
        let complete = 2 * self.tolerated + 1;
        if copied > self.tolerated && self.voters(ALIVE, now) < complete {
            self.own.votes = true;
        }
        self.own.votes
    }

    fn find(&self, address: SocketAddr) -> Result<usize, usize> {
        self.others
            .binary_search_by(|k| k.member.address.cmp(&address))
    }
}
