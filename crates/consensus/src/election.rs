//! Elections: pre-votes, votes and role changes of a replica.

use std::mem;

use crate::entry::HardState;
use crate::entry::Position;
use crate::entry::Term;
use crate::leader::LeaderState;
use crate::member::Peer;
use crate::message::Body;
use crate::read;
use crate::replica::Replica;
use crate::replica::State;
use shallotrill_model::time::Instant;

impl Replica {
    pub(crate) fn reset_election_deadline(&mut self, now: Instant) {
        let timeout = self.config.election_timeout;
        let spread_us = u64::try_from(timeout.as_micros())
            .unwrap_or(u64::MAX)
            .max(1);
        let extra_us = self.next_random() % spread_us;
        self.deadline = now + timeout + std::time::Duration::from_micros(extra_us);
    }

    /// Next number of the `SplitMix64` sequence.
    fn next_random(&mut self) -> u64 {
        self.random_state = self.random_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.random_state;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    pub(crate) fn become_pre_candidate(&mut self, now: Instant) {
        if !self.log.members().is_voter(self.config.own) {
            return;
        }
        self.leader = None;
        self.state = State::PreCandidate(vec![self.config.own]);
        let term = Term(self.hard_state.term.0 + 1);
        self.send_to_voters(term, &Body::PreVote(self.log.last()));
        self.count_votes(now);
    }

    fn become_candidate(&mut self, now: Instant) {
        self.hard_state = HardState {
            term: Term(self.hard_state.term.0 + 1),
            vote: Some(self.config.own),
        };
        self.hard_state_changed = true;
        self.state = State::Candidate(vec![self.config.own]);
        self.send_to_voters(self.hard_state.term, &Body::Vote(self.log.last()));
        self.count_votes(now);
    }

    fn send_to_voters(&mut self, term: Term, body: &Body) {
        let own = self.config.own;
        let members = self.log.members().clone();
        for member in members.all() {
            if member.peer != own && members.is_voter(member.peer) {
                self.send(member.peer, term, body.clone());
            }
        }
    }

    /// Advances the candidacy when the votes received are a majority.
    fn count_votes(&mut self, now: Instant) {
        let members = self.log.members();
        let (State::PreCandidate(votes) | State::Candidate(votes)) = &self.state else {
            return;
        };
        let granted = votes.iter().filter(|peer| members.is_voter(**peer)).count();
        if granted < members.quorum() {
            return;
        }
        if matches!(self.state, State::PreCandidate(_)) {
            self.become_candidate(now);
        } else {
            self.become_leader(now);
        }
    }

    pub(crate) fn on_voted(&mut self, now: Instant, peer: Peer) {
        if let State::PreCandidate(votes) | State::Candidate(votes) = &mut self.state
            && !votes.contains(&peer)
        {
            votes.push(peer);
        }
        self.count_votes(now);
    }

    pub(crate) fn on_pre_vote(&mut self, now: Instant, peer: Peer, term: Term, last: Position) {
        let granted = term > self.hard_state.term
            && self.may_vote()
            && !self.has_leader_contact(now)
            && self.is_current(last);
        let term = if granted { term } else { self.hard_state.term };
        self.send(peer, term, Body::PreVoted(granted));
    }

    pub(crate) fn on_vote(&mut self, now: Instant, peer: Peer, term: Term, last: Position) {
        // A replica that returns from a partition must not depose a leader that is in contact with a quorum.
        if term > self.hard_state.term && self.has_leader_contact(now) {
            return;
        }
        if term > self.hard_state.term {
            self.become_follower(now, term, None);
        }
        let vote_available = self.hard_state.vote.is_none_or(|vote| vote == peer);
        let granted = term == self.hard_state.term
            && vote_available
            && self.may_vote()
            && self.is_current(last);
        if granted {
            self.hard_state.vote = Some(peer);
            self.hard_state_changed = true;
            self.reset_election_deadline(now);
        }
        self.send(peer, self.hard_state.term, Body::Voted(granted));
    }

    /// False if this id is listed with another disk: the earlier votes of this replica are lost, so it
    /// must not vote.
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

    fn has_leader_contact(&self, now: Instant) -> bool {
        self.leader_state().is_some()
            || (self.leader.is_some()
                && self.leader_last_contact.is_some_and(|last_contact| {
                    now.since(last_contact) < self.config.election_timeout
                }))
    }

    /// Becomes a follower in `term`, which is not below the current one.
    pub(crate) fn become_follower(&mut self, now: Instant, term: Term, leader: Option<Peer>) {
        let term_lost = self.hard_state.term;
        if term > self.hard_state.term {
            self.hard_state = HardState { term, vote: None };
            self.hard_state_changed = true;
            self.incoming = None;
        }
        self.leader = leader;
        self.reset_election_deadline(now);
        if let State::Leader(leader_state) = mem::replace(&mut self.state, State::Follower) {
            for pending in leader_state.reads {
                self.reads.push(read::Outcome {
                    token: pending.token,
                    result: Err(read::Failure::LeadershipLost(term_lost)),
                });
            }
        }
    }

    fn become_leader(&mut self, now: Instant) {
        let leader_state = LeaderState::new(self.log.last().index.next(), now);
        self.state = State::Leader(Box::new(leader_state));
        self.leader = Some(self.config.own);
        self.update_progress(now);
        self.append(crate::entry::Content::Empty);
    }
}
