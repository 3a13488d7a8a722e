//! Registry processes that are cut from each other, in virtual time and without sockets: copies, changes of the voters
//! and two operators that send different content with one version.

mod fixtures;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use shallotrill_items::ballot::Ballot;
use shallotrill_items::ballot::Identity;
use shallotrill_items::check;
use shallotrill_items::item::Content;
use shallotrill_items::item::Item;
use shallotrill_items::item::Key;
use shallotrill_items::proposal;
use shallotrill_items::proposal::Plan;
use shallotrill_items::proposal::QuorumRead;
use shallotrill_items::replica::Accepted;
use shallotrill_items::replica::Proposed;
use shallotrill_items::replica::Replica;
use shallotrill_items::roster::Admission;
use shallotrill_items::roster::Roster;
use shallotrill_items::voters;
use shallotrill_model::time::Instant;

const TOLERATED: usize = 2;

/// Interval of copies and of decisions about the voters.
const ROUND: Duration = Duration::from_millis(500);

/// Interval at which the operators send a new version.
const CHANGE_INTERVAL: Duration = Duration::from_secs(3);

/// Shorter than the time after which a silent voter may be replaced, between that and the time after which addresses
/// are removed, and longer than all of them.
const CUTS: [Duration; 3] = [
    Duration::from_millis(1_500),
    Duration::from_millis(13_500),
    Duration::from_hours(1),
];

struct Process {
    roster: Roster,
    replica: Replica,
    is_running: bool,
}

struct World {
    now: Instant,
    processes: Vec<Process>,
    /// The processes of the first side; empty without a cut.
    first_side: Vec<usize>,
    round: u64,
    /// Changes that were acknowledged.
    acknowledged: Vec<Item>,
}

fn address(process: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1_000 + process as u16))
}

impl World {
    fn new(processes: usize) -> Self {
        let mut world = Self {
            now: Instant(0),
            processes: Vec::new(),
            first_side: Vec::new(),
            round: 0,
            acknowledged: Vec::new(),
        };
        for _ in 0..processes {
            world.add(true);
        }
        world
    }

    fn add(&mut self, founder: bool) {
        let process = self.processes.len();
        let identity = Identity(process as u128 + 1);
        let roster = Roster::new(identity, address(process), founder, TOLERATED, self.now);
        self.processes.push(Process {
            roster,
            replica: Replica::default(),
            is_running: true,
        });
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let is_running = self.processes[from].is_running && self.processes[to].is_running;
        let side = |process| self.first_side.contains(&process);
        is_running && (self.first_side.is_empty() || side(from) == side(to))
    }

    fn update(&mut self, process: usize) {
        let process = &mut self.processes[process];
        let entry = process.replica.get(&voters::key());
        if let Some(list) = entry.and_then(|entry| entry.committed.as_ref()) {
            process.roster.set_voters(list);
            process.roster.record_durable(list.version);
        }
    }

    /// Copies between all processes that reach each other, and decisions about the voters.
    fn play_round(&mut self) {
        self.now = self.now + ROUND;
        for to in 0..self.processes.len() {
            for from in 0..self.processes.len() {
                if from == to || !self.reaches(from, to) {
                    continue;
                }
                let member = self.processes[from].roster.own();
                let entries = self.processes[from].replica.entries().to_vec();
                let proposals = self.processes[from].replica.proposals_since(0);
                let process = &mut self.processes[to];
                process.roster.record_contact(member, self.now);
                process.replica.merge(&entries, &proposals);
                process.roster.record_copy(member, self.now);
                self.update(to);
            }
        }
        for process in 0..self.processes.len() {
            let seeds = [address(0), address(1), address(2)];
            let now = self.now;
            let running = self.processes[process].is_running;
            let change = self.processes[process].roster.next_change(&seeds, now);
            if let Some(change) = change.filter(|_| running) {
                let plan = |reading: &QuorumRead| voters::plan(change.base, &change.list, reading);
                let first = (change.base == 0).then(|| change.list.clone());
                self.propose(process, &[voters::key()], first, &plan);
            }
        }
    }

    /// Proposes what `decide` plans. Returns the plan if a quorum has accepted it.
    fn propose(
        &mut self,
        process: usize,
        keys: &[Key],
        first: Option<Vec<voters::Voter>>,
        decide: &dyn Fn(&QuorumRead) -> Plan,
    ) -> Option<Plan> {
        let roster = &self.processes[process].roster;
        let (electors, needed) = match first {
            Some(list) => (voters::first(list.clone()), list.len()),
            None if roster.version() == 0 => return None,
            None => {
                let list = voters::item(roster.version(), roster.voters().to_vec());
                let electors = Accepted {
                    ballot: Ballot::default(),
                    item: Arc::new(list),
                };
                (electors, roster.quorum())
            }
        };
        let mut settled = Vec::new();
        for _ in 0..8 {
            self.round += 1;
            let ballot = Ballot {
                round: self.round,
                proposer: Identity(process as u128 + 1),
            };
            let mut reading = QuorumRead::new(keys.to_vec());
            let mut promises = 0;
            for voter in self.admitted(process, &electors) {
                if let Ok(promise) = self.processes[voter].replica.prepare(ballot, keys) {
                    reading.add(promise);
                    promises += 1;
                }
            }
            if promises < needed {
                return None;
            }
            let (items, plan) = if let Some(items) = reading.unsettled(&settled) {
                (items, None)
            } else {
                let plan = decide(&reading);
                (plan.items.clone(), Some(plan))
            };
            if !items.is_empty() && !self.accept(process, ballot, &items, &electors, needed) {
                return None;
            }
            if plan.is_some() {
                return plan;
            }
            settled.push(ballot);
        }
        None
    }

    fn accept(
        &mut self,
        process: usize,
        ballot: Ballot,
        items: &[Proposed],
        electors: &Accepted,
        needed: usize,
    ) -> bool {
        let mut accepted = 0;
        for voter in self.admitted(process, electors) {
            let reply = self.processes[voter].replica.accept(ballot, items);
            accepted += usize::from(reply.is_ok());
        }
        let is_chosen = accepted >= needed;
        if is_chosen {
            let items: Vec<Arc<Item>> = items.iter().map(|p| Arc::clone(&p.item)).collect();
            for other in 0..self.processes.len() {
                if self.reaches(process, other) {
                    self.processes[other].replica.commit(ballot, &items);
                    self.update(other);
                }
            }
        }
        is_chosen
    }

    /// The processes that take part in a step of a proposal.
    fn admitted(&mut self, from: usize, electors: &Accepted) -> Vec<usize> {
        let mut admitted = Vec::new();
        for to in 0..self.processes.len() {
            if !self.reaches(from, to) {
                continue;
            }
            if self.processes[to].roster.admission(&electors.item) == Admission::Newer {
                let list = std::slice::from_ref(&electors.item);
                self.processes[to].replica.commit(electors.ballot, list);
                self.update(to);
            }
            if self.processes[to].roster.admission(&electors.item) == Admission::Voter {
                admitted.push(to);
            }
        }
        admitted
    }

    /// An operator sends a version of a route with content of its own to a process.
    fn change(&mut self, process: usize, version: u64) -> bool {
        let content = fixtures::route_content("host", &format!("/{process}/"), "s");
        let route = fixtures::item(fixtures::route_key("r"), version, Content::Route(content));
        let change = vec![fixtures::service("s", 1), route.clone()];
        let keys = check::required_keys(&change);
        let plan = |reading: &QuorumRead| proposal::plan(&change, reading);
        let plan = self.propose(process, &keys, None, &plan);
        let is_acknowledged = plan.is_some_and(|plan| plan.refusal.is_none());
        if is_acknowledged {
            self.acknowledged.push(route);
        }
        is_acknowledged
    }

    fn play(&mut self, length: Duration) {
        let end = self.now + length;
        while self.now < end {
            self.play_round();
        }
    }
}

struct Case {
    name: &'static str,
    /// Processes of the first start, and those that are added later.
    processes: (usize, usize),
    /// Processes that are gone for good before the cut.
    lost: &'static [usize],
    /// The first side of the cut.
    first_side: &'static [usize],
    /// Processes to which two operators send during the cut.
    operators: [usize; 2],
}

/// Guards against two halves that both acknowledge one version with different content: the voters that a half had not
/// heard from for ten seconds no longer counted, and a process that was added became a voter during the cut.
const CASES: &[Case] = &[
    Case {
        name: "a sixth process was added, two halves of three",
        processes: (5, 1),
        lost: &[],
        first_side: &[0, 1, 2],
        operators: [0, 3],
    },
    Case {
        name: "the added process is on the side of three voters",
        processes: (5, 1),
        lost: &[],
        first_side: &[0, 1],
        operators: [0, 2],
    },
    Case {
        name: "two processes were added, one on each side",
        processes: (5, 2),
        lost: &[],
        first_side: &[0, 1, 5],
        operators: [5, 6],
    },
    Case {
        name: "two lost processes were replaced",
        processes: (5, 2),
        lost: &[0, 1],
        first_side: &[2, 3],
        operators: [2, 4],
    },
    Case {
        name: "seven processes at the first start",
        processes: (7, 0),
        lost: &[],
        first_side: &[0, 1, 2, 6],
        operators: [0, 4],
    },
];

#[test]
fn two_sides_of_a_cut_do_not_acknowledge_one_version() {
    for case in CASES {
        for cut in CUTS {
            let name = format!("{}, cut of {cut:?}", case.name);
            let mut world = World::new(case.processes.0);
            world.play(Duration::from_secs(5));
            assert!(world.change(2, 1), "{name}");
            for _ in 0..case.processes.1 {
                world.add(false);
            }
            for &lost in case.lost {
                world.processes[lost].is_running = false;
            }
            world.play(Duration::from_secs(10));
            world.first_side = case.first_side.to_vec();
            let mut version = 1;
            let end = world.now + cut;
            while world.now < end {
                world.play((end.since(world.now)).min(CHANGE_INTERVAL));
                version += 1;
                for operator in case.operators {
                    world.change(operator, version);
                }
            }
            world.first_side.clear();
            world.play(Duration::from_secs(10));
            version += 1;
            for process in 0..world.processes.len() {
                if world.processes[process].is_running {
                    assert!(world.change(process, version), "{name}: {process}");
                    version += 1;
                }
            }
            world.play(Duration::from_secs(5));
            check(&world, &name);
        }
    }
}

/// Each acknowledged version has one content, and each process shows the latest one.
fn check(world: &World, name: &str) {
    let key = fixtures::route_key("r");
    let latest = world.acknowledged.iter().max_by_key(|item| item.version);
    for item in &world.acknowledged {
        let others = world.acknowledged.iter();
        let mut others = others.filter(|other| other.version == item.version);
        assert!(
            others.all(|other| other.is_same(item)),
            "{name}: version {}",
            item.version
        );
    }
    for process in &world.processes {
        if process.is_running {
            let entry = process.replica.get(&key).expect("the route was accepted");
            assert_eq!(entry.committed.as_deref(), latest, "{name}");
        }
    }
}
