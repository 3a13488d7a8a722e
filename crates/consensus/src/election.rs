//! Elections: pre-vote, vote and the change of role.

use std::mem;

use crate::entry::Hard;
use crate::entry::Position;
use crate::entry::Term;
use crate::leader::Lead;
use crate::member::Peer;
use crate::message::Body;
use crate::read;
use crate::replica::Replica;
use crate::replica::State;
use shallotrill_model::time::Instant;

impl Replica {
    pub(crate) fn reset_deadline(&mut self, now: Instant) {
        let election = self.config.election;
        let spread = u64::try_from(election.as_micros())
            .unwrap_or(u64::MAX)
            .max(1);
        let extra = self.draw() % spread;
        self.deadline = now + election + std::time::Duration::from_micros(extra);
    }

    /// Next number of the `SplitMix64` sequence.
    fn draw(&mut self) -> u64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.random;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    pub(crate) fn campaign(&mut self, now: Instant) {
        if !self.log.members().votes(self.config.own) {
            return;
        }
        self.leader = None;
        self.state = State::PreCandidate(vec![self.config.own]);
        let term = Term(self.hard.term.0 + 1);
        self.ask(term, &Body::PreVote(self.log.last()));
        self.count(now);
    }

    fn stand(&mut self, now: Instant) {
        self.hard = Hard {
            term: Term(self.hard.term.0 + 1),
            vote: Some(self.config.own),
        };
        self.hard_changed = true;
        self.state = State::Candidate(vec![self.config.own]);
        self.ask(self.hard.term, &Body::Vote(self.log.last()));
        self.count(now);
    }

    fn ask(&mut self, term: Term, body: &Body) {
        let own = self.config.own;
        let members = self.log.members().clone();
        for member in members.all() {
            if member.peer != own && members.votes(member.peer) {
                self.send(member.peer, term, body.clone());
            }
        }
    }

    /// Goes on when the votes so far are a majority.
    fn count(&mut self, now: Instant) {
        let members = self.log.members();
        let (State::PreCandidate(votes) | State::Candidate(votes)) = &self.state else {
            return;
        };
        let granted = votes.iter().filter(|peer| members.votes(**peer)).count();
        if granted < members.quorum() {
            return;
        }
        if matches!(self.state, State::PreCandidate(_)) {
            self.stand(now);
        } else {
            self.lead_term(now);
        }
    }

    pub(crate) fn on_voted(&mut self, now: Instant, peer: Peer) {
        if let State::PreCandidate(votes) | State::Candidate(votes) = &mut self.state
            && !votes.contains(&peer)
        {
            votes.push(peer);
        }
        self.count(now);
    }

    pub(crate) fn on_pre_vote(&mut self, now: Instant, peer: Peer, term: Term, last: Position) {
        let granted = term > self.hard.term
            && self.may_vote()
            && !self.hears_leader(now)
            && self.is_current(last);
        let term = if granted { term } else { self.hard.term };
        self.send(peer, term, Body::PreVoted(granted));
    }

    pub(crate) fn on_vote(&mut self, now: Instant, peer: Peer, term: Term, last: Position) {
        // A replica that returns from a partition must not unseat a leader that a quorum hears.
        if term > self.hard.term && self.hears_leader(now) {
            return;
        }
        if term > self.hard.term {
            self.follow(now, term, None);
        }
        let free = self.hard.vote.is_none_or(|vote| vote == peer);
        let granted = term == self.hard.term && free && self.may_vote() && self.is_current(last);
        if granted {
            self.hard.vote = Some(peer);
            self.hard_changed = true;
            self.reset_deadline(now);
        }
        self.send(peer, self.hard.term, Body::Voted(granted));
    }

    /// A replica whose id is listed with another disk has forgotten earlier votes and gives none.
    fn may_vote(&self) -> bool {
        let own = self.config.own;
        self.log
            .members()
            .get(own.id)
            .is_none_or(|member| member.peer == own)
    }

    fn is_current(&self, last: Position) -> bool {
        let own = self.log.last();
        (last.term, last.index) >= (own.term, own.index)
    }

    fn hears_leader(&self, now: Instant) -> bool {
        self.lead().is_some()
            || (self.leader.is_some()
                && self
                    .leader_heard
                    .is_some_and(|heard| now.since(heard) < self.config.election))
    }

    /// Becomes a follower in `term`, which is not below the current one.
    pub(crate) fn follow(&mut self, now: Instant, term: Term, leader: Option<Peer>) {
        let lost = self.hard.term;
        if term > self.hard.term {
            self.hard = Hard { term, vote: None };
            self.hard_changed = true;
            self.incoming = None;
        }
        self.leader = leader;
        self.reset_deadline(now);
        if let State::Leader(lead) = mem::replace(&mut self.state, State::Follower) {
            for pending in lead.reads {
                self.reads.push(read::Outcome {
                    token: pending.token,
                    result: Err(read::Failure::LeadershipLost(lost)),
                });
            }
        }
    }

    fn lead_term(&mut self, now: Instant) {
        let lead = Lead::new(self.log.last().index.next(), now);
        self.state = State::Leader(Box::new(lead));
        self.leader = Some(self.config.own);
        self.follow_members(now);
        self.append(crate::entry::Content::Empty);
    }
}
