//! Messages that a leader sends to its peers (appends, snapshot chunks and heartbeats), and the
//! confirmation of reads.

use std::mem;

use crate::entry::Entry;
use crate::entry::Position;
use crate::leader::Mode;
use crate::leader::PeerProgress;
use crate::message::Append;
use crate::message::Body;
use crate::read;
use crate::replica::Replica;
use shallotrill_model::time::Instant;

impl Replica {
    /// Queues the appends, snapshot chunks and heartbeats that are due.
    pub(crate) fn replicate(&mut self) {
        let Some(leader_state) = self.leader_state_mut() else {
            return;
        };
        let broadcast = mem::take(&mut leader_state.broadcast);
        leader_state.round_unsent = false;
        let round = leader_state.round;
        let mut peers = mem::take(&mut leader_state.peers);
        for progress in &mut peers {
            let sent = self.replicate_to(progress, round);
            if broadcast && !sent {
                self.send_heartbeat(progress, round);
            }
        }
        if let Some(leader_state) = self.leader_state_mut() {
            leader_state.peers = peers;
        }
    }

    /// Sends what the mode of the peer allows, up to the limit of appends in flight; true when a message
    /// was sent.
    fn replicate_to(&mut self, progress: &mut PeerProgress, round: u64) -> bool {
        let mut queued = false;
        loop {
            match &mut progress.mode {
                Mode::Probe { sent: true } | Mode::Snapshot { sent: true, .. } => return queued,
                Mode::Snapshot { offset, sent } => {
                    *sent = true;
                    let chunk = self.chunk_at(*offset, round);
                    if let Some(chunk) = chunk {
                        self.send(progress.peer, self.hard_state.term, Body::Chunk(chunk));
                    }
                    return true;
                }
                Mode::Pipeline(unanswered)
                    if unanswered.len() >= self.config.in_flight_appends_max
                        || progress.next > self.log.last().index =>
                {
                    return queued;
                }
                Mode::Probe { .. } | Mode::Pipeline(_) => queued |= self.send_next(progress, round),
            }
        }
    }

    /// Sends the next batch, or switches to the snapshot when its entries are compacted.
    fn send_next(&mut self, progress: &mut PeerProgress, round: u64) -> bool {
        let previous_index = progress.next.previous();
        let Some(term) = self.log.term_at(previous_index) else {
            progress.mode = Mode::Snapshot {
                offset: 0,
                sent: false,
            };
            progress.next = self.snapshot_index().next();
            return false;
        };
        let previous = Position {
            index: previous_index,
            term,
        };
        let entries = self
            .log
            .batch(previous_index, self.config.batch_bytes_max)
            .to_vec();
        let last = entries
            .last()
            .map_or(previous_index, |entry| entry.position.index);
        match &mut progress.mode {
            Mode::Pipeline(unanswered) => {
                progress.next = last.next();
                unanswered.push(last);
            }
            Mode::Probe { sent } | Mode::Snapshot { sent, .. } => *sent = true,
        }
        self.send_append(progress, previous, entries, round);
        true
    }

    /// Sends an append without entries. In pipeline mode it follows the last entry sent, so that a peer
    /// detects lost appends; otherwise it has position zero, which matches any log.
    fn send_heartbeat(&mut self, progress: &PeerProgress, round: u64) {
        let previous_index = progress.next.previous();
        let previous = match (&progress.mode, self.log.term_at(previous_index)) {
            (Mode::Pipeline(_), Some(term)) => Position {
                index: previous_index,
                term,
            },
            _ => Position::default(),
        };
        self.send_append(progress, previous, Vec::new(), round);
    }

    fn send_append(
        &mut self,
        progress: &PeerProgress,
        previous: Position,
        entries: Vec<Entry>,
        round: u64,
    ) {
        let append = Append {
            previous,
            entries,
            commit: self.commit,
            round,
        };
        self.send(progress.peer, self.hard_state.term, Body::Append(append));
    }

    /// Completes the reads whose quorum round a majority has answered.
    pub(crate) fn confirm_reads(&mut self) {
        let own = self.config.own;
        let Some(leader_state) = self.leader_state() else {
            return;
        };
        let round = leader_state.round;
        let answered = self.quorum_value(|peer| {
            if peer == own {
                return round;
            }
            leader_state
                .progress(peer)
                .map_or(0, |progress| progress.round)
        });
        let commit = self.commit;
        let Some(leader_state) = self.leader_state_mut() else {
            return;
        };
        let ready = |pending: &read::Pending| {
            answered.is_some_and(|round| pending.round <= round) && pending.index <= commit
        };
        let outcomes: Vec<read::Outcome> = leader_state
            .reads
            .extract_if(.., |pending| ready(pending))
            .map(|pending| read::Outcome {
                token: pending.token,
                result: Ok(pending.index),
            })
            .collect();
        self.reads.extend(outcomes);
    }

    /// Steps down once the entry that removes this replica from the voters is committed.
    pub(crate) fn step_down_if_removed(&mut self, now: Instant) {
        let removed = !self.log.members().is_voter(self.config.own);
        let members_index = self.log.members_index();
        if self.leader_state().is_some() && removed && members_index <= self.commit {
            self.become_follower(now, self.hard_state.term, None);
        }
    }
}
