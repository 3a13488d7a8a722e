//! Entries received from a leader.

use crate::entry::Index;
use crate::entry::Term;
use crate::member::Peer;
use crate::message::Append;
use crate::message::Body;
use crate::replica::Replica;
use shallotrill_model::time::Instant;

impl Replica {
    /// Follows the sender if it leads the current or a later term; answers an outdated one with the current term.
    pub(crate) fn accept_leader(&mut self, now: Instant, peer: Peer, term: Term) -> bool {
        if term < self.hard.term || (term == self.hard.term && self.lead().is_some()) {
            return false;
        }
        self.follow(now, term, Some(peer));
        self.leader_heard = Some(now);
        true
    }

    pub(crate) fn on_append(&mut self, now: Instant, peer: Peer, term: Term, append: Append) {
        let round = append.round;
        if !self.accept_leader(now, peer, term) {
            let hint = self.log.last();
            self.send(peer, self.hard.term, Body::Mismatched { hint, round });
            return;
        }
        let previous = append.previous;
        // What is committed is the same everywhere.
        let fits = previous.index <= self.commit
            || self.log.term_at(previous.index) == Some(previous.term);
        let body = if fits {
            let matched = self.take(append);
            Body::Appended { matched, round }
        } else {
            let hint = self.log.hint(previous.index, self.commit);
            Body::Mismatched { hint, round }
        };
        self.send(peer, self.hard.term, body);
    }

    /// Takes the entries and returns the last index known to equal the leader's.
    fn take(&mut self, append: Append) -> Index {
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
