//! A simulation of three members, a network and callers of one key. One number selects each step.

mod node;

use std::time::Duration;

use self::node::Body;
use self::node::Node;
use self::node::Packet;
use shallotrill_claim::ballot::Ballot;
use shallotrill_claim::change;
use shallotrill_claim::epoch;
use shallotrill_claim::grant;
use shallotrill_claim::key::Key;
use shallotrill_claim::message;
use shallotrill_claim::proposer;
use shallotrill_claim::record::Report;
use shallotrill_model::attempt;
use shallotrill_model::digest::Digest;
use shallotrill_model::incarnation::Incarnation;
use shallotrill_model::instance;
use shallotrill_model::outcome::Answer;
use shallotrill_model::outcome::Outcome;
use shallotrill_model::outcome::Reason;
use shallotrill_model::time;

const DIGEST: Digest = Digest([7; 32]);

/// Which faults a schedule may contain.
#[derive(Clone, Copy)]
pub struct Faults {
    pub crashes: bool,
    pub disks: bool,
}

/// A target's node that received the request to run an attempt.
struct Runner {
    holder: change::Holder,
    grant: grant::Grant,
    gave_up_grant: bool,
    dispatched: bool,
}

/// The simulated system and the model of what was dispatched and reported.
pub struct World {
    faults: Faults,
    key: Key,
    now: time::Instant,
    nodes: Vec<Node>,
    group: epoch::Group,
    disks: u64,
    packets: Vec<Packet>,
    /// Grants that are in flight to runners.
    grants: Vec<grant::Id>,
    runners: Vec<Runner>,
    unknown: Option<attempt::Number>,
    fenced: u32,
    answers: Vec<Answer>,
    repairs: usize,
}

impl World {
    pub fn new(faults: Faults) -> Self {
        let nodes: Vec<Node> = (0..3).map(|i| Node::new(i, i as u64)).collect();
        let seat = |node: &Node| epoch::Seat {
            member: node.config.member,
            disk: node.config.disk,
            voting_state: epoch::VotingState::Voting,
        };
        let group = epoch::Group::new(epoch::Number(1), nodes.iter().map(seat).collect()).unwrap();
        let text = "0193a8c0-1111-7abc-8def-0123456789ab";
        let partner = "growers".try_into().unwrap();
        let key = Key::parse(partner, "payments".try_into().unwrap(), text).unwrap();
        let mut world = Self {
            faults,
            key,
            now: time::Instant(0),
            nodes,
            group,
            disks: 3,
            packets: Vec::new(),
            grants: Vec::new(),
            runners: Vec::new(),
            unknown: None,
            fenced: 0,
            answers: Vec::new(),
            repairs: 0,
        };
        (0..3).for_each(|index| world.enter(index));
        world
    }

    /// Number of dispatches, answers and repairs so far.
    pub fn counts(&self) -> [usize; 3] {
        let dispatched = self.runners.iter().filter(|r| r.dispatched).count();
        [dispatched, self.answers.len(), self.repairs]
    }

    /// Checks the dispatches and reports against the guarantees.
    pub fn check(&self) -> Result<(), String> {
        let dispatched: Vec<&Runner> = self.runners.iter().filter(|r| r.dispatched).collect();
        if dispatched.len() > 1 {
            return Err(String::from("the key was dispatched more than once"));
        }
        if dispatched.iter().any(|r| r.grant.attempt.0 <= self.fenced) {
            return Err(format!(
                "an attempt was dispatched although attempts up to {} are fenced",
                self.fenced
            ));
        }
        if self.answers.windows(2).any(|pair| pair[0] != pair[1]) {
            return Err(String::from("two different answers were reported"));
        }
        Ok(())
    }

    /// Executes the step that `choice` selects.
    pub fn step(&mut self, choice: u32) {
        let detail = (choice >> 8) as usize;
        let node = detail % 3;
        match choice % 256 {
            0..=149 => self.deliver(detail / 3, !choice.is_multiple_of(16)),
            150 => self.packets.clear(),
            151..=228 => self.sync(node),
            229 | 230 if self.faults.crashes => self.nodes[node].crash(),
            231 | 232 => self.now = self.now + Duration::from_millis(detail as u64 % 1_500),
            233 => self.dispatch(detail),
            234 if self.faults.disks => self.lose_disk(node),
            235..=237 if self.faults.disks => self.enter(node),
            238..=240 if self.faults.disks => self.copy(detail / 3 % 3),
            241 | 242 if self.faults.disks => self.admit(),
            243..=255 => self.propose(node, detail / 3),
            _ => {}
        }
    }

    fn dispatch(&mut self, detail: usize) {
        if self.grants.is_empty() {
            return;
        }
        let id = self.grants.swap_remove(detail % self.grants.len());
        let runner = &mut self.runners[id.0 as usize];
        if !runner.gave_up_grant && runner.grant.is_current(self.now) {
            runner.dispatched = true;
        }
    }

    fn enter(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        if node.acceptor.group() != Some(&self.group)
            && let Ok(write) = node.acceptor.enter(&self.group)
        {
            node.unsynced.push((write, None));
            node.rounds.clear();
        }
    }

    fn deliver(&mut self, detail: usize, consume: bool) {
        if self.packets.is_empty() {
            return;
        }
        let index = detail % self.packets.len();
        let packet = if consume {
            self.packets.swap_remove(index)
        } else {
            self.packets[index].clone()
        };
        match packet.body {
            Body::Request(message) => self.on_request(packet.from, packet.to, &message),
            Body::Response(ballot, reply) => self.on_reply(packet.from, packet.to, ballot, &reply),
        }
    }

    fn on_request(&mut self, from: usize, to: usize, message: &message::Message) {
        let node = &mut self.nodes[to];
        let (reply, write) = node.acceptor.step(message);
        let (key, ballot) = match message {
            message::Message::Prepare { key, ballot }
            | message::Message::Accept { key, ballot, .. } => (key, ballot),
        };
        if let (message::Reply::Accepted, message::Message::Accept { record, .. }) =
            (&reply, message)
        {
            node.expiry.observe(key, record, self.now);
        }
        let response = Packet {
            from: to,
            to: from,
            body: Body::Response(*ballot, reply),
        };
        match write {
            Some(write) => node.unsynced.push((write, Some(response))),
            None => self.packets.push(response),
        }
    }

    fn on_reply(&mut self, from: usize, to: usize, ballot: Ballot, reply: &message::Reply) {
        let rounds = &mut self.nodes[to].rounds;
        let Some(index) = rounds.iter().position(|p| p.ballot() == ballot) else {
            return;
        };
        match rounds[index].step(epoch::Member(from as u32), ballot, reply) {
            proposer::Step::Wait => {}
            proposer::Step::Send(envelopes) => self.send(to, envelopes),
            proposer::Step::Finished(Err(proposer::Failure::Conflict { .. })) => {
                let node = &mut self.nodes[to];
                let envelopes = node.rounds[index].start(&mut node.sequence);
                self.send(to, envelopes);
            }
            proposer::Step::Finished(result) => {
                rounds.swap_remove(index);
                if let Ok(report) = result {
                    self.report(&report);
                }
            }
        }
    }

    fn send(&mut self, from: usize, envelopes: Vec<proposer::Envelope>) {
        self.packets.extend(envelopes.into_iter().map(|e| Packet {
            from,
            to: e.to.0 as usize,
            body: Body::Request(e.message),
        }));
    }

    fn sync(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        for (write, response) in node.unsynced.drain(..) {
            node.synced.push(write);
            self.packets.extend(response);
        }
    }

    fn next_group(&self, change: impl Fn(&mut epoch::Seat)) -> epoch::Group {
        let mut seats = self.group.seats.clone();
        seats.iter_mut().for_each(change);
        epoch::Group::new(epoch::Number(self.group.epoch.0 + 1), seats).unwrap()
    }

    fn copying(&self) -> Option<usize> {
        let seats = &self.group.seats;
        seats
            .iter()
            .position(|s| s.voting_state == epoch::VotingState::Copying)
    }

    fn lose_disk(&mut self, index: usize) {
        if self.copying().is_some_and(|copying| copying != index) {
            return;
        }
        let disk = epoch::Disk(self.disks);
        self.disks += 1;
        self.nodes[index] = Node::new(index, disk.0);
        self.group = self.next_group(|seat| {
            if seat.member == epoch::Member(index as u32) {
                seat.disk = disk;
                seat.voting_state = epoch::VotingState::Copying;
            }
        });
    }

    fn copy(&mut self, from: usize) {
        let Some(index) = self.copying() else { return };
        let page = self.nodes[from].acceptor.page(self.group.epoch, None, 1);
        if let Ok(page) = page
            && let Ok(writes) = self.nodes[index].acceptor.merge(&page)
        {
            let writes = writes.into_iter().map(|write| (write, None));
            self.nodes[index].unsynced.extend(writes);
        }
    }

    fn admit(&mut self) {
        let Some(index) = self.copying() else { return };
        self.sync(index);
        let group = self.next_group(|seat| seat.voting_state = epoch::VotingState::Voting);
        if self.nodes[index].acceptor.clone().enter(&group).is_ok() {
            self.group = group;
            self.repairs += 1;
        }
    }

    fn propose(&mut self, node: usize, detail: usize) {
        let number = attempt::Number(1 + (detail / 64 % 4) as u32);
        let runner = (!self.runners.is_empty()).then(|| detail / 8 % self.runners.len());
        let task = match (detail % 8, runner) {
            (0, _) => Some(self.open(number)),
            (1, Some(index)) => Some(proposer::Task::Change(self.runners[index].open())),
            (2, Some(index)) => self.give_up(index),
            (3, Some(index)) => self.finish(index),
            (4, _) => Some(proposer::Task::Change(change::Change::Fence {
                digest: DIGEST,
                attempt: number,
            })),
            (5, _) => self.lapse(node).or_else(|| self.settle()),
            (6, _) => self.settle(),
            _ => self.lapse(node).or(Some(proposer::Task::Read)),
        };
        let target = &mut self.nodes[node];
        let group = target
            .acceptor
            .group()
            .filter(|g| g.epoch == self.group.epoch);
        if let (Some(task), Some(group)) = (task, group) {
            let mut proposer = proposer::Proposer::new(group.clone(), self.key.clone(), task);
            let envelopes = proposer.start(&mut target.sequence);
            target.rounds.push(proposer);
            self.send(node, envelopes);
        }
    }

    fn open(&mut self, attempt: attempt::Number) -> proposer::Task {
        let id = self.runners.len() as u64;
        let runner = Runner {
            holder: change::Holder {
                instance: instance::Name::new(&format!("i-{id}")).unwrap(),
                incarnation: Incarnation(id),
            },
            grant: grant::Grant {
                id: grant::Id(id),
                attempt,
                requested_at: self.now,
            },
            gave_up_grant: false,
            dispatched: false,
        };
        let change = runner.open();
        self.runners.push(runner);
        proposer::Task::Change(change)
    }

    fn give_up(&mut self, index: usize) -> Option<proposer::Task> {
        let runner = &mut self.runners[index];
        if runner.dispatched {
            return None;
        }
        runner.gave_up_grant = true;
        Some(proposer::Task::Change(change::Change::NotRun {
            digest: DIGEST,
            attempt: runner.grant.attempt,
            holder: runner.holder.clone(),
            grant: runner.grant.id,
            reason: Reason::Refused,
        }))
    }

    fn finish(&self, index: usize) -> Option<proposer::Task> {
        let runner = &self.runners[index];
        let change = change::Change::Finish {
            attempt: runner.grant.attempt,
            holder: runner.holder.clone(),
            answer: answer(index),
        };
        runner.dispatched.then_some(proposer::Task::Change(change))
    }

    fn lapse(&self, node: usize) -> Option<proposer::Task> {
        let (_, attempt) = self.nodes[node].expiry.expired(self.now).pop()?;
        Some(proposer::Task::Change(change::Change::Lapse { attempt }))
    }

    /// An operator's correct decision on an attempt that was reported as unknown.
    fn settle(&self) -> Option<proposer::Task> {
        let attempt = self.unknown?;
        let ran = |r: &Runner| r.dispatched && r.grant.attempt == attempt;
        let decision = match self.runners.iter().position(ran) {
            Some(index) => change::Decision::Done(answer(index)),
            None => change::Decision::NotRun,
        };
        Some(proposer::Task::Change(change::Change::Settle {
            attempt,
            decision,
        }))
    }

    fn report(&mut self, report: &Report) {
        match report {
            Report::Granted { attempt, grant } => {
                let runner = &self.runners[grant.0 as usize];
                if runner.grant.attempt == *attempt {
                    self.grants.push(*grant);
                }
            }
            Report::Outcome { attempt, outcome } => match outcome {
                Outcome::NotRun(_) => self.fenced = self.fenced.max(attempt.0),
                Outcome::Answer(answer) => self.answers.push(answer.clone()),
                Outcome::Unknown => self.unknown = Some(*attempt),
                Outcome::Running => {}
            },
            Report::Absent => {}
        }
    }
}

impl Runner {
    fn open(&self) -> change::Change {
        change::Change::Open {
            digest: DIGEST,
            attempt: self.grant.attempt,
            holder: self.holder.clone(),
            grant: self.grant.id,
        }
    }
}

fn answer(index: usize) -> Answer {
    Answer {
        status: 200 + index as u16,
        content_type: String::new(),
        body: None,
        digest: DIGEST,
    }
}
