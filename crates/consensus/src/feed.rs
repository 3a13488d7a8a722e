//! What a leader sends: appends, snapshot chunks, heartbeats, and the reads they confirm.

use std::mem;

use crate::entry::Entry;
use crate::entry::Position;
use crate::leader::Mode;
use crate::leader::Track;
use crate::message::Append;
use crate::message::Body;
use crate::read;
use crate::replica::Replica;
use shallotrill_model::time::Instant;

impl Replica {
    /// Queues the appends, chunks and heartbeats that are due.
    pub(crate) fn replicate(&mut self) {
        let Some(lead) = self.lead_mut() else {
            return;
        };
        let announce = mem::take(&mut lead.announce);
        lead.round_unsent = false;
        let round = lead.round;
        let mut tracks = mem::take(&mut lead.tracks);
        for track in &mut tracks {
            let sent = self.feed(track, round);
            if announce && !sent {
                self.ping(track, round);
            }
        }
        if let Some(lead) = self.lead_mut() {
            lead.tracks = tracks;
        }
    }

    /// Sends what the window of the peer allows; true when anything was sent.
    fn feed(&mut self, track: &mut Track, round: u64) -> bool {
        let mut any = false;
        loop {
            match &mut track.mode {
                Mode::Probe { sent: true } | Mode::Snapshot { sent: true, .. } => return any,
                Mode::Snapshot { offset, sent } => {
                    *sent = true;
                    let chunk = self.chunk(*offset, round);
                    if let Some(chunk) = chunk {
                        self.send(track.peer, self.hard.term, Body::Chunk(chunk));
                    }
                    return true;
                }
                Mode::Stream(unanswered)
                    if unanswered.len() >= self.config.window
                        || track.next > self.log.last().index =>
                {
                    return any;
                }
                Mode::Probe { .. } | Mode::Stream(_) => any |= self.send_next(track, round),
            }
        }
    }

    /// Sends the next batch, or turns to the snapshot when the entries are compacted.
    fn send_next(&mut self, track: &mut Track, round: u64) -> bool {
        let before = track.next.previous();
        let Some(term) = self.log.term_at(before) else {
            track.mode = Mode::Snapshot {
                offset: 0,
                sent: false,
            };
            track.next = self.snapshot_index().next();
            return false;
        };
        let previous = Position {
            index: before,
            term,
        };
        let entries = self.log.batch(before, self.config.batch_bytes).to_vec();
        let last = entries.last().map_or(before, |entry| entry.position.index);
        match &mut track.mode {
            Mode::Stream(unanswered) => {
                track.next = last.next();
                unanswered.push(last);
            }
            Mode::Probe { sent } | Mode::Snapshot { sent, .. } => *sent = true,
        }
        self.send_append(track, previous, entries, round);
        true
    }

    /// Sends an append without entries: at the end of a stream, where it finds lost appends, or one that fits any log.
    fn ping(&mut self, track: &Track, round: u64) {
        let before = track.next.previous();
        let previous = match (&track.mode, self.log.term_at(before)) {
            (Mode::Stream(_), Some(term)) => Position {
                index: before,
                term,
            },
            _ => Position::default(),
        };
        self.send_append(track, previous, Vec::new(), round);
    }

    fn send_append(&mut self, track: &Track, previous: Position, entries: Vec<Entry>, round: u64) {
        let append = Append {
            previous,
            entries,
            commit: self.commit,
            round,
        };
        self.send(track.peer, self.hard.term, Body::Append(append));
    }

    /// Moves the reads whose round a majority has answered to the outcomes.
    pub(crate) fn confirm_reads(&mut self) {
        let own = self.config.own;
        let Some(lead) = self.lead() else {
            return;
        };
        let round = lead.round;
        let answered = self.agreed(|peer| {
            if peer == own {
                return round;
            }
            lead.track(peer).map_or(0, |track| track.round)
        });
        let commit = self.commit;
        let Some(lead) = self.lead_mut() else {
            return;
        };
        let ready = |pending: &read::Pending| {
            answered.is_some_and(|round| pending.round <= round) && pending.index <= commit
        };
        let outcomes: Vec<read::Outcome> = lead
            .reads
            .extract_if(.., |pending| ready(pending))
            .map(|pending| read::Outcome {
                token: pending.token,
                result: Ok(pending.index),
            })
            .collect();
        self.reads.extend(outcomes);
    }

    /// Steps down once the entry that removes this replica is committed.
    pub(crate) fn retire(&mut self, now: Instant) {
        let removed = !self.log.members().votes(self.config.own);
        let settled = self.log.members_index();
        if self.lead().is_some() && removed && settled <= self.commit {
            self.follow(now, self.hard.term, None);
        }
    }
}
