//! The known registry processes, the size of a quorum, and the admission of voters.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ballot::Identity;
use shallotrill_model::time::Instant;

/// A voter without contact for this long no longer counts towards the quorum size; otherwise replaced
/// members would raise it permanently.
const VOTER_RETENTION_PERIOD: Duration = Duration::from_secs(10);

/// A voter counts as reachable for this long after its last contact when the admission of a new voter is decided.
const REACHABLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Description of a registry process, as the process itself reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Identity of its disk.
    pub identity: Identity,
    /// Address at which it receives messages from other registry processes.
    pub address: SocketAddr,
    /// Whether it is a voter, which counts towards a quorum.
    pub votes: bool,
}

#[derive(Clone, Debug)]
struct KnownMember {
    member: Member,
    last_contact: Instant,
    /// When its registers were last copied to this process. `None` if they were not copied since its disk last
    /// changed, or only while it was not a voter: a process with an empty disk lacks items that its earlier disk
    /// had accepted.
    copied_at: Option<Instant>,
}

/// The local registry process and the other ones that it knows.
#[derive(Clone, Debug)]
pub struct Roster {
    own: Member,
    /// Disks that may be lost at once without loss of an item.
    tolerated: usize,
    /// Whether the whole system starts for the first time.
    first_start: bool,
    /// Sorted by address.
    others: Vec<KnownMember>,
}

impl Roster {
    /// Creates a roster that contains only the local process. `tolerated` is the number of disks that
    /// may be lost at once without loss of an item.
    pub const fn new(own: Member, tolerated: usize) -> Self {
        Self {
            own,
            tolerated,
            first_start: false,
            others: Vec::new(),
        }
    }

    /// Creates a roster at the first start of the whole system, when there is nothing to copy: the local process is
    /// admitted as a voter without copies.
    pub const fn at_first_start(own: Member, tolerated: usize) -> Self {
        let mut roster = Self::new(own, tolerated);
        roster.first_start = true;
        roster
    }

    /// The local process.
    pub const fn own(&self) -> Member {
        self.own
    }

    /// Records contact with another process. Ignores messages of the local process.
    pub fn record_contact(&mut self, member: Member, now: Instant) {
        if member.identity == self.own.identity {
            return;
        }
        match self.find(member.address) {
            Ok(index) => {
                let known = &mut self.others[index];
                if known.member.identity != member.identity {
                    known.copied_at = None;
                }
                known.member = member;
                known.last_contact = now;
            }
            Err(index) => {
                let known = KnownMember {
                    member,
                    last_contact: now,
                    copied_at: None,
                };
                self.others.insert(index, known);
            }
        }
    }

    /// The other processes, each with the time since the last contact.
    pub fn others(&self, now: Instant) -> impl Iterator<Item = (Member, Duration)> {
        let others = self.others.iter();
        others.map(move |known| (known.member, now.since(known.last_contact)))
    }

    /// Records that the local process has copied all registers that another process had at `copied_at`. Ignores a
    /// copy of a process that is not a voter.
    pub fn record_copy(&mut self, member: Member, copied_at: Instant) {
        if !member.votes {
            return;
        }
        if let Ok(index) = self.find(member.address) {
            let known = &mut self.others[index];
            if known.member.identity == member.identity {
                known.copied_at = known.copied_at.max(Some(copied_at));
            }
        }
    }

    /// Whether the local process knows every item that was committed before `since`.
    ///
    /// A committed item is stored by a quorum of the voters, so the registers of a quorum must have been copied
    /// since then. Only voters count: each of them has all that it ever accepted.
    pub fn has_copied_quorum(&self, since: Instant, now: Instant) -> bool {
        let others = self.others.iter();
        let copied = others.filter(|k| k.member.votes && k.copied_at >= Some(since));
        copied.count() + usize::from(self.own.votes) >= self.quorum(now)
    }

    /// Addresses of the other processes.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.others.iter().map(|k| k.member.address).collect()
    }

    /// Removes the processes without contact for `period` or longer.
    pub fn remove_silent(&mut self, period: Duration, now: Instant) {
        self.others
            .retain(|known| now.since(known.last_contact) < period);
    }

    /// Number of replicas that must accept an item.
    ///
    /// It is above the number of disks that may be lost, and more than half of the voters.
    pub fn quorum(&self, now: Instant) -> usize {
        let voters = self.voters(VOTER_RETENTION_PERIOD, now);
        (self.tolerated + 1).max(voters / 2 + 1)
    }

    fn voters(&self, period: Duration, now: Instant) -> usize {
        let others = self.others.iter();
        let others = others.filter(|k| k.member.votes && now.since(k.last_contact) < period);
        others.count() + usize::from(self.own.votes)
    }

    /// Makes the local process, which has a new disk, a voter once that is safe: at the first start of the whole system,
    /// or after it has copied enough voters. Returns whether it is a voter.
    ///
    /// An item is stored on at least `tolerated + 1` replicas, so copying from
    /// that many of the `2 * tolerated + 1` voters finds every item. No voter is
    /// admitted while `2 * tolerated + 1` voters are reachable, because two
    /// quorums of a larger group might not overlap.
    pub fn admit(&mut self, now: Instant) -> bool {
        if self.own.votes || self.first_start {
            self.own.votes = true;
            return true;
        }
        let copied = self.others.iter();
        let copied = copied.filter(|k| k.member.votes && k.copied_at.is_some());
        let copied = copied.count();
        let voters_max = 2 * self.tolerated + 1;
        if copied > self.tolerated && self.voters(REACHABLE_TIMEOUT, now) < voters_max {
            self.own.votes = true;
        }
        self.own.votes
    }

    fn find(&self, address: SocketAddr) -> Result<usize, usize> {
        self.others
            .binary_search_by(|k| k.member.address.cmp(&address))
    }
}
