//! The known registry processes, the voters in force, and which change of the voters the local process proposes.
//!
//! With at most `2 * tolerated + 1` voters, every `tolerated + 1` of them are a quorum of each version of the list and
//! overlap with each quorum of the versions before and after it. A process joins only with the registers of a quorum of
//! the present version, none of whose members takes part in an earlier version any more; so every chosen item
//! stays in each later quorum.

use std::cmp::Ordering;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ballot::Identity;
use crate::item::Item;
use crate::voters;
use crate::voters::Voter;
use shallotrill_model::time::Instant;

/// A voter that the local process has not heard from for this long may be replaced by it. It is also the longest time
/// since the last contact for a process to count as reachable.
const REACHABLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after its start from which a process forms the first list without those that it has not met yet.
const FORMATION_DELAY: Duration = Duration::from_secs(2);

/// Delay between two processes that may propose the first list, so that they rarely overtake each other.
const FORMATION_STEP: Duration = Duration::from_millis(600);

/// A process that has not decided about the voters for this long was suspended. Others then seem to be silent.
const SUSPENSION_MIN: Duration = Duration::from_secs(1);

/// Description of a registry process, as the process itself reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Identity of its disk.
    pub identity: Identity,
    /// Address at which it receives messages from other registry processes.
    pub address: SocketAddr,
    /// Whether it is a voter by the list that it knows.
    pub votes: bool,
    /// Whether it may take part in forming the first list: it was there at the first start of the whole system.
    pub founder: bool,
    /// Version of the list that it has on disk. It does not take part in earlier ones any more.
    pub voters: u64,
}

#[derive(Clone, Debug)]
struct KnownMember {
    member: Member,
    last_contact: Instant,
    /// When its registers were last copied to this process, and the version of the voters that it had on disk then.
    /// `None` if they were not copied since its disk last changed.
    copied: Option<(Instant, u64)>,
}

/// A change of the voters that the local process proposes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Version that it replaces; 0 for the first list.
    pub base: u64,
    /// The next version of the list.
    pub list: Vec<Voter>,
    /// Whether the local process joins. Its registers must be on disk before.
    pub joins: bool,
}

/// What the local process does with a step of a proposal, by the voters that the step wants a quorum of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It takes part.
    Voter,
    /// It is not one of the voters.
    NoVoter,
    /// It knows a later version of the list and refuses: otherwise a quorum of the earlier one could decide what the
    /// later one does not see.
    Outdated,
    /// It has to take over the stated list first.
    Newer,
}

/// The local registry process and the other ones that it knows.
#[derive(Clone, Debug)]
pub struct Roster {
    identity: Identity,
    address: SocketAddr,
    founder: bool,
    /// Disks that may be lost at once without loss of an item.
    tolerated: usize,
    /// The list in force, as far as it is known here; empty, with version 0, before the first one.
    voters: Vec<Voter>,
    version: u64,
    /// Version of the list on the local disk.
    durable_version: u64,
    /// Sorted by address.
    others: Vec<KnownMember>,
    /// Since when the local process has decided about the voters without a suspension.
    awake_since: Instant,
    decided_at: Instant,
}

impl Roster {
    /// Creates a roster that contains only the local process. `tolerated` is the number of disks that may be lost at
    /// once without loss of an item, and `founder` whether the process was there at the first start of the system.
    pub const fn new(
        identity: Identity,
        address: SocketAddr,
        founder: bool,
        tolerated: usize,
        now: Instant,
    ) -> Self {
        Self {
            identity,
            address,
            founder,
            tolerated,
            voters: Vec::new(),
            version: 0,
            durable_version: 0,
            others: Vec::new(),
            awake_since: now,
            decided_at: now,
        }
    }

    /// The local process.
    pub fn own(&self) -> Member {
        Member {
            identity: self.identity,
            address: self.address,
            votes: self.contains(self.identity),
            founder: self.founder,
            voters: self.durable_version,
        }
    }

    /// The list in force, as far as it is known here.
    pub fn voters(&self) -> &[Voter] {
        &self.voters
    }

    /// Version of [`Roster::voters`]; 0 before the first one.
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Takes over a committed version of the list. Returns whether it is newer.
    pub fn set_voters(&mut self, item: &Item) -> bool {
        let is_newer = item.version > self.version;
        if is_newer {
            self.version = item.version;
            self.voters = voters::of(item).to_vec();
        }
        is_newer
    }

    /// Records the version of the list on the local disk.
    pub fn record_durable(&mut self, version: u64) {
        self.durable_version = self.durable_version.max(version);
    }

    /// Whether the local process takes part in a step that wants a quorum of these voters.
    pub fn admission(&self, requested: &Item) -> Admission {
        let mut listed = voters::of(requested).iter();
        let is_listed = listed.any(|voter| voter.identity == self.identity);
        match requested.version.cmp(&self.version) {
            Ordering::Less => Admission::Outdated,
            Ordering::Greater => Admission::Newer,
            Ordering::Equal if is_listed && (self.version > 0 || self.founder) => Admission::Voter,
            Ordering::Equal => Admission::NoVoter,
        }
    }

    fn contains(&self, identity: Identity) -> bool {
        self.voters.iter().any(|voter| voter.identity == identity)
    }

    /// Records contact with another process. Ignores messages of the local process.
    pub fn record_contact(&mut self, member: Member, now: Instant) {
        if member.identity == self.identity {
            return;
        }
        match self.find(member.address) {
            Ok(index) => {
                let known = &mut self.others[index];
                if known.member.identity != member.identity {
                    known.copied = None;
                }
                known.member = member;
                known.last_contact = now;
            }
            Err(index) => {
                let known = KnownMember {
                    member,
                    last_contact: now,
                    copied: None,
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

    /// Records that the local process has copied all registers that another process had at `copied_at`.
    pub fn record_copy(&mut self, member: Member, copied_at: Instant) {
        if let Ok(index) = self.find(member.address) {
            let known = &mut self.others[index];
            if known.member.identity == member.identity {
                known.copied = known.copied.max(Some((copied_at, member.voters)));
            }
        }
    }

    /// Whether the local process knows every item that was committed before `since`.
    ///
    /// A committed item is stored by a quorum of the voters, so the registers of a quorum must have been copied
    /// since then. They include the list of voters, if there is a newer one. Only voters count: each of them has all
    /// that it ever accepted.
    pub fn has_copied_quorum(&self, since: Instant) -> bool {
        let contact = self.quorum_contact(since);
        contact.is_some_and(|contact| contact >= since)
    }

    /// Latest time at or after which the local process has copied from each member of a quorum of the voters, to which
    /// it may belong itself; `None` if it has copied from fewer.
    pub fn quorum_contact(&self, now: Instant) -> Option<Instant> {
        let own = self.contains(self.identity).then_some(now);
        let copied = self.voter_copies().map(|(copied_at, _)| copied_at);
        voters::quorum_contact(copied.chain(own), self.quorum())
    }

    /// When the registers of other voters were copied, and the version that each had on disk.
    fn voter_copies(&self) -> impl Iterator<Item = (Instant, u64)> {
        let voters = self.others.iter();
        let voters = voters.filter(|known| self.contains(known.member.identity));
        voters.filter_map(|known| known.copied)
    }

    /// Addresses of the other processes: those that were heard from, and the voters.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let known = self.others.iter().map(|known| known.member.address);
        let voters = self.voters.iter().map(|voter| voter.address);
        let mut addresses: Vec<SocketAddr> = known.chain(voters).collect();
        addresses.sort_unstable();
        addresses.dedup();
        addresses.retain(|address| *address != self.address);
        addresses
    }

    /// Removes the processes without contact for `period` or longer, unless they are voters.
    pub fn remove_silent(&mut self, period: Duration, now: Instant) {
        let voters = &self.voters;
        self.others.retain(|known| {
            let mut voters = voters.iter();
            now.since(known.last_contact) < period
                || voters.any(|voter| voter.identity == known.member.identity)
        });
    }

    /// Number of voters that must accept an item.
    pub const fn quorum(&self) -> usize {
        self.tolerated + 1
    }

    const fn voters_max(&self) -> usize {
        2 * self.tolerated + 1
    }

    fn time_since_contact(&self, identity: Identity, now: Instant) -> Duration {
        let known = self.others.iter();
        let known = known.filter(|known| known.member.identity == identity);
        let last_contact = known.map(|known| known.last_contact).max();
        now.since(last_contact.unwrap_or_default().max(self.awake_since))
    }

    /// The change of the voters that the local process should propose now, if any. `seeds` are those of the settings in
    /// force. To be called at an interval well below a second, from which on the process counts as suspended.
    ///
    /// A process that is no voter removes the entry of its own earlier disk, joins when there is room, or else removes a
    /// voter that it has not heard from. No voter is removed without a process that is ready to replace it.
    pub fn next_change(&mut self, seeds: &[SocketAddr], now: Instant) -> Option<Change> {
        if now.since(self.decided_at) > SUSPENSION_MIN {
            self.awake_since = now;
        }
        self.decided_at = now;
        if self.version == 0 {
            return self.first_list(seeds, now);
        }
        if self.contains(self.identity) {
            return None;
        }
        let may_remove = self.voters.len() > self.quorum();
        let mut voters = self.voters.iter();
        if let Some(earlier) = voters.find(|voter| voter.address == self.address) {
            return may_remove.then(|| self.without(earlier.identity));
        }
        let recent = Instant(now.0.saturating_sub(REACHABLE_TIMEOUT.as_micros() as u64));
        let copies = self.voter_copies();
        let copies = copies.filter(|(at, version)| *at >= recent && *version >= self.version);
        if copies.count() < self.quorum() {
            return None;
        }
        if self.voters.len() < self.voters_max() {
            let mut list = self.voters.clone();
            list.push(self.own_voter());
            return Some(Change {
                base: self.version,
                list,
                joins: true,
            });
        }
        let silent = self.voters.iter();
        let silent = silent.map(|v| (self.time_since_contact(v.identity, now), v.identity));
        let (silence, identity) = silent.max()?;
        (may_remove && silence >= REACHABLE_TIMEOUT).then(|| self.without(identity))
    }

    /// Removes the local process, which is about to stop, if another one is ready to take its place.
    pub fn handover(&self, now: Instant) -> Option<Change> {
        let mut others = self.others.iter();
        let has_successor = others.any(|known| {
            !self.contains(known.member.identity)
                && known.member.voters >= self.version
                && now.since(known.last_contact) < REACHABLE_TIMEOUT
        });
        let is_full = self.voters.len() == self.voters_max() && self.tolerated > 0;
        (has_successor && is_full && self.contains(self.identity))
            .then(|| self.without(self.identity))
    }

    const fn own_voter(&self) -> Voter {
        Voter {
            identity: self.identity,
            address: self.address,
        }
    }

    fn without(&self, identity: Identity) -> Change {
        let mut list = self.voters.clone();
        list.retain(|voter| voter.identity != identity);
        Change {
            base: self.version,
            list,
            joins: false,
        }
    }

    /// The first list: processes that were there at the first start, seeds before others.
    ///
    /// All of them must accept it, so two lists with a common process cannot both be chosen. Of `2 * tolerated + 1`
    /// processes any two lists of a quorum or more have one. With more processes, both contain the seeds that
    /// are reachable, which are more than half of them.
    fn first_list(&self, seeds: &[SocketAddr], now: Instant) -> Option<Change> {
        if !self.founder {
            return None;
        }
        let reachable = self.others.iter();
        let reachable = reachable.filter(|k| now.since(k.last_contact) < REACHABLE_TIMEOUT);
        let reachable: Vec<Member> = reachable.map(|k| k.member).collect();
        let is_reachable = |seed: &&SocketAddr| {
            **seed == self.address || reachable.iter().any(|member| member.address == **seed)
        };
        let seeds_reachable = seeds.iter().filter(is_reachable).count();
        if !seeds.is_empty() && seeds_reachable * 2 <= seeds.len() {
            return None;
        }
        let founders = reachable.iter().filter(|m| m.founder && m.voters == 0);
        let mut list: Vec<Voter> = founders
            .map(|member| Voter {
                identity: member.identity,
                address: member.address,
            })
            .collect();
        list.push(self.own_voter());
        list.sort_by_key(|voter| (!seeds.contains(&voter.address), voter.address));
        list.truncate(self.voters_max());
        let position = list.iter().position(|v| v.identity == self.identity)?;
        let mut delay = FORMATION_STEP * u32::try_from(position).unwrap_or(u32::MAX);
        if list.len() < self.voters_max() {
            delay += FORMATION_DELAY;
        }
        let is_due = list.len() >= self.quorum() && now.since(self.awake_since) >= delay;
        is_due.then_some(Change {
            base: 0,
            list,
            joins: true,
        })
    }

    fn find(&self, address: SocketAddr) -> Result<usize, usize> {
        self.others
            .binary_search_by(|k| k.member.address.cmp(&address))
    }
}
