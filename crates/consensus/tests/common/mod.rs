//! A deterministic simulation of a group of replicas. Messages can be dropped, duplicated and reordered;
//! replicas can crash and lose their disks.

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
    pub partitioned: bool,
    /// Local clock, which stops while `frozen` is set.
    pub clock: Instant,
    pub frozen: bool,
    /// Started reads, each with the number of committed entries at its start.
    pub started_reads: Vec<(read::Token, usize)>,
}

pub struct Group {
    pub now: Instant,
    pub hosts: Vec<Host>,
    pub in_flight: Vec<Message>,
    /// The model: all committed entries in order.
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
            in_flight: Vec::new(),
            committed: Vec::new(),
            leaders: Vec::new(),
            confirmed: 0,
            installed: 0,
        }
    }

    pub fn advance(&mut self, time: Duration) {
        self.now = self.now + time;
        for index in 0..self.hosts.len() {
            let host = &mut self.hosts[index];
            if !host.frozen {
                host.clock = host.clock + time;
                host.replica.tick(host.clock);
                self.process_ready(index);
            }
        }
    }

    /// Advances the time by 50 ms a round and delivers all messages in each.
    pub fn run_rounds(&mut self, rounds: usize) {
        for _ in 0..rounds {
            self.advance(Duration::from_millis(50));
            while !self.in_flight.is_empty() {
                self.deliver(0, false);
            }
        }
    }

    pub fn deliver(&mut self, index: usize, duplicate: bool) {
        if self.in_flight.is_empty() {
            return;
        }
        let index = index % self.in_flight.len();
        let message = if duplicate {
            self.in_flight[index].clone()
        } else {
            self.in_flight.remove(index)
        };
        let partitioned = |id: Id| {
            self.hosts
                .iter()
                .any(|host| host.peer.id == id && host.partitioned)
        };
        if partitioned(message.from.id) || partitioned(message.to.id) {
            return;
        }
        let Some(index) = self.hosts.iter().position(|h| h.peer.id == message.to.id) else {
            return;
        };
        let from = message.from.id;
        // The replica ignores messages of other disks, which the schedules contain.
        let host = &mut self.hosts[index];
        let _ignored = host.replica.step(host.clock, from, message);
        self.process_ready(index);
    }

    pub fn heal(&mut self) {
        for host in &mut self.hosts {
            host.partitioned = false;
            host.frozen = false;
        }
    }

    /// Restarts a replica; with `replacement`, as that peer with an empty disk.
    pub fn restart(&mut self, index: usize, replacement: Option<Peer>) {
        let old = &self.hosts[index];
        let (own, disk) = match replacement {
            Some(own) => (own, Restored::default()),
            None => (old.peer, old.disk.clone()),
        };
        let ids: Vec<Peer> = (0..self.hosts.len()).map(|id| peer(id, 1)).collect();
        self.hosts[index] = host(own, Set::voters(&ids), disk, self.now);
    }

    pub fn leader(&self) -> Option<usize> {
        self.hosts
            .iter()
            .enumerate()
            .filter(|(_, host)| host.replica.status(self.now).role == Role::Leader)
            .max_by_key(|(_, host)| host.replica.status(self.now).term)
            .map(|(index, _)| index)
    }

    pub fn propose(&mut self, index: usize, bytes: Vec<u8>) {
        let host = &mut self.hosts[index];
        let _refused = host.replica.propose(host.clock, bytes);
        self.process_ready(index);
    }

    pub fn read(&mut self, index: usize) {
        let committed_before = self.committed.len();
        let host = &mut self.hosts[index];
        if let Ok(token) = host.replica.read(host.clock) {
            host.started_reads.push((token, committed_before));
        }
        self.process_ready(index);
    }

    pub fn compact(&mut self, index: usize) {
        let applied = self.hosts[index].replica.status(self.now).applied;
        let bytes = applied.0.to_le_bytes().repeat(20);
        self.hosts[index]
            .replica
            .compact(applied, bytes.into())
            .expect("compaction at the applied index");
        self.process_ready(index);
    }

    /// Processes the work of a replica and compares it with the model.
    pub fn process_ready(&mut self, index: usize) {
        loop {
            let ready = self.hosts[index].replica.ready();
            if ready.is_empty() {
                break;
            }
            persist(&mut self.hosts[index].disk, &ready);
            self.hosts[index].replica.persisted(ready.persisted);
            self.in_flight.extend(ready.messages);
            if let Some(snapshot) = ready.install {
                let expected = snapshot.position.index.0.to_le_bytes().repeat(20);
                assert_eq!(
                    *snapshot.bytes, *expected,
                    "the installed snapshot has the wrong content"
                );
                assert!(snapshot.position.index.0 <= self.committed.len() as u64);
                self.installed += 1;
            }
            for entry in ready.committed {
                self.check_committed(entry);
            }
            for outcome in ready.reads {
                self.check_read(index, outcome);
            }
        }
        self.check_leader(index);
    }

    fn check_committed(&mut self, entry: Entry) {
        let offset = entry.position.index.0 as usize - 1;
        if let Some(earlier) = self.committed.get(offset) {
            assert_eq!(*earlier, entry, "a committed entry changed");
        } else {
            assert_eq!(offset, self.committed.len(), "a committed entry is missing");
            self.committed.push(entry);
        }
    }

    fn check_read(&mut self, index: usize, outcome: read::Outcome) {
        let host = &mut self.hosts[index];
        if let Ok(read_index) = outcome.result {
            let started = host
                .started_reads
                .iter()
                .find(|(token, _)| *token == outcome.token);
            let committed_before = started.map_or(0, |(_, committed_before)| *committed_before);
            assert!(
                read_index >= Index(committed_before as u64),
                "a read was confirmed at an index before entries committed earlier"
            );
            let applied = host.replica.status(self.now).applied;
            assert!(
                applied >= read_index,
                "a read was confirmed before its index was applied"
            );
            self.confirmed += 1;
        }
    }

    fn check_leader(&mut self, index: usize) {
        let status = self.hosts[index].replica.status(self.now);
        if status.role == Role::Leader {
            let own = (status.term, status.own.id);
            let other = self.leaders.iter().find(|(term, _)| *term == own.0);
            assert!(
                other.is_none_or(|other| *other == own),
                "two leaders in one term"
            );
            if other.is_none() {
                self.leaders.push(own);
            }
        }
    }

    /// Checks that logs with an entry of the same index and term are equal up to that entry.
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
                    .take(same.map_or(0, |index| index + 1))
                    .all(|(e, o)| e == o);
                assert!(
                    equal,
                    "two logs share an entry of one index and term, but differ before it"
                );
            }
        }
    }
}

fn host(own: Peer, members: Set, disk: Restored, now: Instant) -> Host {
    let seed = own.id.0 * 977 + now.0;
    let config = Config::new(own, members, seed)
        .batch_bytes_max(100)
        .in_flight_appends_max(3);
    let replica = Replica::new(config, disk.clone(), now).expect("a consistent restored log");
    Host {
        peer: own,
        clock: now,
        frozen: false,
        replica,
        disk,
        partitioned: false,
        started_reads: Vec::new(),
    }
}

fn persist(disk: &mut Restored, ready: &Ready) {
    let write = &ready.write;
    if let Some(hard_state) = write.hard_state {
        disk.hard_state = hard_state;
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
