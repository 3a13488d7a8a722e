//! The follower's side of replication: appends received from a leader.

use crate::entry::Index;
use crate::entry::Term;
use crate::member::Peer;
use crate::message::Append;
use crate::message::Body;
use crate::replica::Replica;
use shallotrill_model::time::Instant;

impl Replica {
    /// Follows the sender if it leads the current or a later term. Returns false for an outdated leader,
    /// which must then receive a response with the current term.
    pub(crate) fn accept_leader(&mut self, now: Instant, peer: Peer, term: Term) -> bool {
        if term < self.hard_state.term
            || (term == self.hard_state.term && self.leader_state().is_some())
        {
            return false;
        }
        self.become_follower(now, term, Some(peer));
        self.leader_last_contact = Some(now);
        true
    }

    pub(crate) fn on_append(&mut self, now: Instant, peer: Peer, term: Term, append: Append) {
        let round = append.round;
        if !self.accept_leader(now, peer, term) {
            let hint = self.log.last();
            self.send(peer, self.hard_state.term, Body::Mismatched { hint, round });
            return;
        }
        let previous = append.previous;
        // Committed entries are identical on all replicas.
        let is_consistent = previous.index <= self.commit
            || self.log.term_at(previous.index) == Some(previous.term);
        let body = if is_consistent {
            let matched = self.append_entries(append);
            Body::Appended { matched, round }
        } else {
            let hint = self.log.mismatch_hint(previous.index, self.commit);
            Body::Mismatched { hint, round }
        };
        self.send(peer, self.hard_state.term, body);
    }

    /// Appends the entries and returns the last index up to which the log is known to equal the leader's.
    fn append_entries(&mut self, append: Append) -> Index {
        let mut matched = append.previous.index;
        for entry in append.entries {
            let position = entry.position;
            if position.index != matched.next() {
                break;
            }
            matched = position.index;
            if position.index <= self.commit
                || self.log.term_at(position.index) == Some(position.term)
            {
                continue;
            }
            if position.index <= self.log.last().index {
                self.discard(position.index);
            }
            if position.index != self.log.last().index.next() {
                return append.previous.index;
            }
            self.log.push(entry);
        }
        self.commit = self.commit.max(append.commit.min(matched));
        matched
    }
}
