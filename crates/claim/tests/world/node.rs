//! A simulated member with its disk, and the packets between members.

use shallotrill_claim::acceptor;
use shallotrill_claim::ballot::Ballot;
use shallotrill_claim::ballot::Sequence;
use shallotrill_claim::epoch;
use shallotrill_claim::grant_expiry;
use shallotrill_claim::journal::Write;
use shallotrill_claim::message;
use shallotrill_claim::proposer;

#[derive(Clone)]
pub enum Body {
    Request(message::Message),
    Response(Ballot, message::Reply),
}

#[derive(Clone)]
pub struct Packet {
    pub from: usize,
    pub to: usize,
    pub body: Body,
}

pub struct Node {
    pub config: acceptor::Config,
    pub acceptor: acceptor::Acceptor,
    pub synced: Vec<Write>,
    pub unsynced: Vec<(Write, Option<Packet>)>,
    pub start: u64,
    pub sequence: Sequence,
    pub expiry: grant_expiry::GrantExpiry,
    pub rounds: Vec<proposer::Proposer>,
}

impl Node {
    pub fn new(index: usize, disk: u64) -> Self {
        let member = epoch::Member(index as u32);
        let config = acceptor::Config {
            member,
            disk: epoch::Disk(disk),
            limit_bytes: 1 << 20,
            reserve_bytes: 0,
        };
        Self {
            config,
            acceptor: acceptor::Acceptor::new(config),
            synced: Vec::new(),
            unsynced: Vec::new(),
            start: 1,
            sequence: Sequence::new(member, 1),
            expiry: grant_expiry::GrantExpiry::new(),
            rounds: Vec::new(),
        }
    }

    pub fn crash(&mut self) {
        self.acceptor = acceptor::Acceptor::new(self.config);
        for write in &self.synced {
            self.acceptor.apply(write.clone());
        }
        self.unsynced.clear();
        self.rounds.clear();
        self.start += 1;
        self.sequence = Sequence::new(self.config.member, self.start);
        self.expiry = grant_expiry::GrantExpiry::new();
    }
}
