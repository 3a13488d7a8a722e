//! A deterministic group of replicas: messages are dropped, doubled and reordered, replicas crash and lose disks.

use std::time::Duration;

use shallotrill_consensus::Config;
use shallotrill_consensus::Message;
use shallotrill_consensus::Ready;
use shallotrill_consensus::Replica;
use shallotrill_consensus::Restored;
use shallotrill_consensus::disk;
use shallotrill_consensus::entry::Entry;
use shallotrill_consensus::entry::Index;
use shallotrill_consensus::entry::Term;
use shallotrill_consensus::member::Id;
use shallotrill_consensus::member::Peer;
use shallotrill_consensus::member::Set;
use shallotrill_consensus::read;
use shallotrill_consensus::status::Role;
use shallotrill_model::time::Instant;

pub struct Host {
    pub peer: Peer,
    pub replica: Replica,
    pub disk: Restored,
    pub cut: bool,
    /// Own clock, which stands still while `slow`.
    pub clock: Instant,
    pub slow: bool,
    /// Reads with the length of the committed sequence when they began.
    pub asked: Vec<(read::Token, usize)>,
}

pub struct Group {
    pub now: Instant,
    pub hosts: Vec<Host>,
    pub wire: Vec<Message>,
    /// The plain model: the committed entries, one by one.
    pub committed: Vec<Entry>,
    pub leaders: Vec<(Term, Id)>,
    pub confirmed: usize,
    pub installed: usize,
}

pub fn peer(id: usize, disk: u128) -> Peer {
    Peer {
        id: Id(id as u64),
        disk: disk::Identity(disk),
    }
}

impl Group {
    pub fn new(count: usize) -> Self {
        let peers: Vec<Peer> = (0..count).map(|id| peer(id, 1)).collect();
        let members = Set::voters(&peers);
        let hosts = peers
            .iter()
            .map(|own| host(*own, members.clone(), Restored::default(), Instant(0)))
            .collect();
        Self {
            now: Instant(0),
            hosts,
            wire: Vec::new(),
            committed: Vec::new(),
            leaders: Vec::new(),
            confirmed: 0,
            installed: 0,
        }
    }

    pub fn pass(&mut self, time: Duration) {
        self.now = self.now + time;
        for at in 0..self.hosts.len() {
            let host = &mut self.hosts[at];
            if !host.slow {
                host.clock = host.clock + time;
                host.replica.tick(host.clock);
                self.drive(at);
            }
        }
    }

    /// Lets time pass and delivers everything until nothing is left.
    pub fn settle(&mut self, rounds: usize) {
        for _ in 0..rounds {
            self.pass(Duration::from_millis(50));
            while !self.wire.is_empty() {
                self.deliver(0, false);
            }
        }
    }

    pub fn deliver(&mut self, at: usize, keep: bool) {
        if self.wire.is_empty() {
            return;
        }
        let at = at % self.wire.len();
        let message = if keep {
            self.wire[at].clone()
        } else {
            self.wire.remove(at)
        };
        let cut = |id: Id| self.hosts.iter().any(|host| host.peer.id == id && host.cut);
        if cut(message.from.id) || cut(message.to.id) {
            return;
        }
        let Some(at) = self.hosts.iter().position(|h| h.peer.id == message.to.id) else {
            return;
        };
        let from = message.from.id;
        // Ignored messages of other disks are part of the schedule.
        let host = &mut self.hosts[at];
        let _ignored = host.replica.step(host.clock, from, message);
        self.drive(at);
    }

    pub fn heal(&mut self) {
        for host in &mut self.hosts {
            host.cut = false;
            host.slow = false;
        }
    }

    /// Stops a replica, without its disk when `fresh`, and starts it again.
    pub fn restart(&mut self, at: usize, fresh: Option<Peer>) {
        let old = &self.hosts[at];
        let (own, disk) = match fresh {
            Some(own) => (own, Restored::default()),
            None => (old.peer, old.disk.clone()),
        };
        let ids: Vec<Peer> = (0..self.hosts.len()).map(|id| peer(id, 1)).collect();
        self.hosts[at] = host(own, Set::voters(&ids), disk, self.now);
    }

    pub fn leader(&self) -> Option<usize> {
        self.hosts
            .iter()
            .enumerate()
            .filter(|(_, host)| host.replica.status(self.now).role == Role::Leader)
            .max_by_key(|(_, host)| host.replica.status(self.now).term)
            .map(|(at, _)| at)
    }

    pub fn propose(&mut self, at: usize, bytes: Vec<u8>) {
        let host = &mut self.hosts[at];
        let _refused = host.replica.propose(host.clock, bytes);
        self.drive(at);
    }

    pub fn read(&mut self, at: usize) {
        let known = self.committed.len();
        let host = &mut self.hosts[at];
        if let Ok(token) = host.replica.read(host.clock) {
            host.asked.push((token, known));
        }
        self.drive(at);
    }

    pub fn compact(&mut self, at: usize) {
        let applied = self.hosts[at].replica.status(self.now).applied;
        let bytes = applied.0.to_le_bytes().repeat(20);
        self.hosts[at]
            .replica
            .compact(applied, bytes.into())
            .expect("applied");
        self.drive(at);
    }

    /// Carries out what the replica asks for and compares it with the model.
    pub fn drive(&mut self, at: usize) {
        loop {
            let ready = self.hosts[at].replica.ready();
            if ready.is_empty() {
                break;
            }
            persist(&mut self.hosts[at].disk, &ready);
            self.hosts[at].replica.persisted(ready.persisted);
            self.wire.extend(ready.messages);
            if let Some(snapshot) = ready.install {
                let expected = snapshot.position.index.0.to_le_bytes().repeat(20);
                assert_eq!(*snapshot.bytes, *expected, "snapshot content");
                assert!(snapshot.position.index.0 <= self.committed.len() as u64);
                self.installed += 1;
            }
            for entry in ready.committed {
                self.check_committed(entry);
            }
            for outcome in ready.reads {
                self.check_read(at, outcome);
            }
        }
        self.check_leader(at);
    }

    fn check_committed(&mut self, entry: Entry) {
        let place = entry.position.index.0 as usize - 1;
        if let Some(known) = self.committed.get(place) {
            assert_eq!(*known, entry, "a committed entry changed");
        } else {
            assert_eq!(place, self.committed.len(), "a committed entry is missing");
            self.committed.push(entry);
        }
    }

    fn check_read(&mut self, at: usize, outcome: read::Outcome) {
        let host = &mut self.hosts[at];
        if let Ok(index) = outcome.result {
            let asked = host.asked.iter().find(|(token, _)| *token == outcome.token);
            let known = asked.map_or(0, |(_, known)| *known);
            assert!(index >= Index(known as u64), "a read is stale");
            let applied = host.replica.status(self.now).applied;
            assert!(applied >= index, "a read is answered before its entries");
            self.confirmed += 1;
        }
    }

    fn check_leader(&mut self, at: usize) {
        let status = self.hosts[at].replica.status(self.now);
        if status.role == Role::Leader {
            let own = (status.term, status.own.id);
            let other = self.leaders.iter().find(|(term, _)| *term == own.0);
            assert!(
                other.is_none_or(|other| *other == own),
                "two leaders of a term"
            );
            if other.is_none() {
                self.leaders.push(own);
            }
        }
    }

    /// Entries of the same index and term are equal, and so is all before them.
    pub fn check_logs(&self) {
        for a in &self.hosts {
            for b in &self.hosts {
                let find = |e: &Entry| {
                    b.disk
                        .entries
                        .iter()
                        .find(|o| o.position.index == e.position.index)
                };
                let pairs: Vec<(&Entry, &Entry)> = a
                    .disk
                    .entries
                    .iter()
                    .filter_map(|e| Some((e, find(e)?)))
                    .collect();
                let same = pairs.iter().rposition(|(e, o)| e.position == o.position);
                let equal = pairs
                    .iter()
                    .take(same.map_or(0, |at| at + 1))
                    .all(|(e, o)| e == o);
                assert!(equal, "logs differ");
            }
        }
    }
}

fn host(own: Peer, members: Set, disk: Restored, now: Instant) -> Host {
    let seed = own.id.0 * 977 + now.0;
    let config = Config::new(own, members, seed).batch_bytes(100).window(3);
    let replica = Replica::new(config, disk.clone(), now).expect("a consistent disk");
    Host {
        peer: own,
        clock: now,
        slow: false,
        replica,
        disk,
        cut: false,
        asked: Vec::new(),
    }
}

fn persist(disk: &mut Restored, ready: &Ready) {
    let write = &ready.write;
    if let Some(hard) = write.hard {
        disk.hard = hard;
    }
    if let Some(snapshot) = &write.snapshot {
        let upto = snapshot.position.index;
        disk.entries.retain(|entry| entry.position.index > upto);
        disk.snapshot = Some(snapshot.clone());
    }
    if let Some(first) = write.truncate {
        disk.entries.retain(|entry| entry.position.index < first);
    }
    disk.entries.extend_from_slice(&write.entries);
}
