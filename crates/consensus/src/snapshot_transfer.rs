//! Transfer of snapshots in chunks, to peers that need entries already compacted.

use std::sync::Arc;

use crate::entry::Index;
use crate::entry::Position;
use crate::entry::Snapshot;
use crate::entry::Term;
use crate::log::Log;
use crate::member::Peer;
use crate::message::Body;
use crate::message::Chunk;
use crate::replica::Replica;
use shallotrill_model::time::Instant;

/// A partly received snapshot. All its chunks were received in one term, and thus from one leader.
#[derive(Debug)]
pub(crate) struct Incoming {
    position: Position,
    bytes: Vec<u8>,
}

impl Replica {
    pub(crate) fn on_chunk(&mut self, now: Instant, peer: Peer, term: Term, chunk: Chunk) {
        let round = chunk.round;
        if !self.accept_leader(now, peer, term) {
            let hint = self.log.last();
            self.send(peer, self.hard_state.term, Body::Mismatched { hint, round });
            return;
        }
        let position = chunk.position;
        let body = if self.add_chunk(chunk) {
            let matched = position.index;
            Body::Appended { matched, round }
        } else {
            let offset = self.incoming.as_ref().map_or(0, |i| i.bytes.len() as u64);
            Body::Received {
                position,
                offset,
                round,
            }
        };
        self.send(peer, self.hard_state.term, body);
    }

    /// Adds a chunk; returns true when the log covers the position of the snapshot.
    fn add_chunk(&mut self, chunk: Chunk) -> bool {
        let position = chunk.position;
        if position.index <= self.commit {
            return true;
        }
        if self.log.term_at(position.index) == Some(position.term) {
            self.commit = position.index;
            return true;
        }
        let mut incoming = match self.incoming.take() {
            Some(incoming) if incoming.position == position => incoming,
            _ => Incoming {
                position,
                bytes: Vec::new(),
            },
        };
        if incoming.bytes.len() as u64 == chunk.offset {
            incoming.bytes.extend_from_slice(&chunk.bytes);
        }
        if (incoming.bytes.len() as u64) < chunk.total {
            self.incoming = Some(incoming);
            return false;
        }
        self.replace_log(Snapshot {
            position,
            members: chunk.members,
            bytes: Arc::from(incoming.bytes),
        });
        true
    }

    fn replace_log(&mut self, snapshot: Snapshot) {
        let Position { index, .. } = snapshot.position;
        self.log = Log::new(snapshot.position, snapshot.members.clone());
        if self.written > index || self.truncate.is_some() {
            self.truncate = Some(index.next());
        }
        self.written = index;
        self.durable = index;
        self.commit = index;
        self.applied = index;
        self.install = Some(snapshot.clone());
        self.snapshot = Some(snapshot);
        self.snapshot_changed = true;
    }

    pub(crate) fn chunk_at(&self, offset: u64, round: u64) -> Option<Chunk> {
        let snapshot = self.snapshot.as_ref()?;
        let total = snapshot.bytes.len();
        let from = usize::try_from(offset).map_or(total, |from| from.min(total));
        let to = total.min(from.saturating_add(self.config.batch_bytes_max));
        Some(Chunk {
            position: snapshot.position,
            members: snapshot.members.clone(),
            offset: from as u64,
            total: total as u64,
            bytes: Arc::from(&snapshot.bytes[from..to]),
            round,
        })
    }

    pub(crate) fn snapshot_index(&self) -> Index {
        self.log.base().index
    }
}
