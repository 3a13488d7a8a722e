//! The replica of the log: its state and most of its entry points.

use std::mem;
use std::sync::Arc;

use crate::config::Config;
use crate::entry::Content;
use crate::entry::HardState;
use crate::entry::Index;
use crate::entry::Position;
use crate::entry::Snapshot;
use crate::entry::Term;
use crate::failure::Corrupt;
use crate::failure::Ignored;
use crate::failure::Refusal;
use crate::leader::LeaderState;
use crate::log::Log;
use crate::member::Id;
use crate::member::Peer;
use crate::message::Body;
use crate::message::Message;
use crate::read;
use crate::ready::Persisted;
use crate::ready::Ready;
use crate::ready::Write;
use crate::restored::Restored;
use crate::snapshot_transfer::Incoming;
use shallotrill_model::time::Instant;

/// One replica of the log.
#[derive(Debug)]
pub struct Replica {
    pub(crate) config: Config,
    pub(crate) hard_state: HardState,
    pub(crate) hard_state_changed: bool,
    pub(crate) log: Log,
    pub(crate) state: State,
    pub(crate) leader: Option<Peer>,
    pub(crate) commit: Index,
    pub(crate) applied: Index,
    /// Last entry that the driver has confirmed as synced.
    pub(crate) durable: Index,
    /// Last entry that was handed to the driver to be written.
    pub(crate) written: Index,
    pub(crate) truncate: Option<Index>,
    pub(crate) snapshot: Option<Snapshot>,
    pub(crate) snapshot_changed: bool,
    pub(crate) incoming: Option<Incoming>,
    pub(crate) install: Option<Snapshot>,
    /// When the next election starts, or when a leader next checks its quorum.
    pub(crate) deadline: Instant,
    pub(crate) leader_last_contact: Option<Instant>,
    pub(crate) random_state: u64,
    pub(crate) next_token: u64,
    pub(crate) messages: Vec<Message>,
    pub(crate) reads: Vec<read::Outcome>,
}

#[derive(Debug)]
pub(crate) enum State {
    Follower,
    PreCandidate(Vec<Peer>),
    Candidate(Vec<Peer>),
    Leader(Box<LeaderState>),
}

impl Replica {
    /// Creates a replica with the state read from its disk.
    ///
    /// # Errors
    ///
    /// Returns [`Corrupt`] when there is a gap between the entries or after the snapshot, or a term is
    /// out of order.
    pub fn new(config: Config, restored: Restored, now: Instant) -> Result<Self, Corrupt> {
        let (base, members) = match &restored.snapshot {
            Some(snapshot) => (snapshot.position, snapshot.members.clone()),
            None => (Position::default(), config.members.clone()),
        };
        let mut log = Log::new(base, members);
        restore_entries(&mut log, &restored)?;
        let last = log.last().index;
        let mut replica = Self {
            random_state: config.seed,
            config,
            hard_state: restored.hard_state,
            hard_state_changed: false,
            log,
            state: State::Follower,
            leader: None,
            commit: base.index,
            applied: base.index,
            durable: last,
            written: last,
            truncate: None,
            snapshot: restored.snapshot,
            snapshot_changed: false,
            incoming: None,
            install: None,
            deadline: now,
            leader_last_contact: None,
            next_token: 0,
            messages: Vec::new(),
            reads: Vec::new(),
        };
        replica.reset_election_deadline(now);
        Ok(replica)
    }

    /// Handles the timeouts that have expired: elections, heartbeats and the quorum check of a leader.
    pub fn tick(&mut self, now: Instant) {
        if self.leader_state().is_some() {
            self.check_quorum(now);
            self.schedule_heartbeats(now);
            self.step_down_if_removed(now);
        } else if now >= self.deadline {
            self.reset_election_deadline(now);
            self.become_pre_candidate(now);
        }
    }

    /// Time at which `tick` is to be called next.
    pub fn next_tick(&self) -> Instant {
        self.leader_state().map_or(self.deadline, |leader_state| {
            leader_state.next_heartbeat.min(self.deadline)
        })
    }

    /// Handles a message that was received from member `from`.
    ///
    /// # Errors
    ///
    /// Returns [`Ignored`] when the message is not accepted; the replica is unchanged then.
    pub fn step(&mut self, now: Instant, from: Id, message: Message) -> Result<(), Ignored> {
        if message.from.id != from {
            return Err(Ignored::WrongSender {
                connection: from,
                message: message.from.id,
            });
        }
        if message.to != self.config.own {
            return Err(Ignored::NotAddressee(message.to));
        }
        let peer = message.from;
        let term = message.term;
        match message.body {
            Body::PreVote(last) => self.on_pre_vote(now, peer, term, last),
            Body::Vote(last) => self.on_vote(now, peer, term, last),
            Body::Append(append) => self.on_append(now, peer, term, append),
            Body::Chunk(chunk) => self.on_chunk(now, peer, term, chunk),
            response => {
                if !self.log.members().contains(peer) {
                    return Err(Ignored::NotMember(peer));
                }
                self.on_response(now, peer, term, &response);
            }
        }
        Ok(())
    }

    /// Appends a command of the state machine to the log.
    ///
    /// The proposal has succeeded when an entry with the returned index and term
    /// is applied. An entry of another term at that index means that the
    /// proposal was lost.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal`] when this replica does not lead or the limit on uncommitted entries is reached.
    pub fn propose(&mut self, now: Instant, bytes: Vec<u8>) -> Result<Position, Refusal> {
        self.check_quorum(now);
        let Some(leader_state) = self.leader_state() else {
            return Err(Refusal::NotLeader(self.leader));
        };
        let pending_bytes = leader_state.pending_bytes;
        if pending_bytes + bytes.len() > self.config.pending_bytes_max {
            return Err(Refusal::Overloaded { pending_bytes });
        }
        Ok(self.append(Content::Data(Arc::from(bytes))))
    }

    /// Starts a read, which a later [`Ready`] completes after a quorum round.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal`] when this replica does not lead.
    pub fn read(&mut self, now: Instant) -> Result<read::Token, Refusal> {
        self.check_quorum(now);
        let commit = self.commit;
        let token = read::Token(self.next_token);
        let leader = self.leader;
        let Some(leader_state) = self.leader_state_mut() else {
            return Err(Refusal::NotLeader(leader));
        };
        leader_state.start_read(token, commit);
        self.next_token += 1;
        Ok(token)
    }

    /// Confirms that the writes of a [`Ready`] are synced.
    pub fn persisted(&mut self, persisted: Persisted) {
        let last = persisted.last;
        if self.log.term_at(last.index) == Some(last.term) {
            self.durable = self.durable.max(last.index);
        }
        self.advance_commit();
    }

    /// Replaces the log up to `index` by a snapshot of the state machine at `index`.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal`] when the index is not applied yet. An index that is already compacted is not an
    /// error and changes nothing.
    pub fn compact(&mut self, index: Index, bytes: Arc<[u8]>) -> Result<(), Refusal> {
        if index > self.applied {
            return Err(Refusal::NotApplied {
                index,
                applied: self.applied,
            });
        }
        if let Some((position, members)) = self.log.compact(index) {
            self.snapshot = Some(Snapshot {
                position,
                members,
                bytes,
            });
            self.snapshot_changed = true;
        }
        Ok(())
    }

    /// Returns the work to be done; the driver finishes it before it calls `ready` again.
    pub fn ready(&mut self) -> Ready {
        self.replicate();
        self.confirm_reads();
        let last = self.log.last();
        let write = Write {
            hard_state: mem::take(&mut self.hard_state_changed).then_some(self.hard_state),
            snapshot: if mem::take(&mut self.snapshot_changed) {
                self.snapshot.clone()
            } else {
                None
            },
            truncate: self.truncate.take(),
            entries: self.log.range(self.written, last.index).to_vec(),
        };
        let committed = self.log.range(self.applied, self.commit).to_vec();
        self.written = last.index;
        self.applied = self.commit;
        Ready {
            write,
            persisted: Persisted { last },
            messages: mem::take(&mut self.messages),
            install: self.install.take(),
            committed,
            reads: mem::take(&mut self.reads),
        }
    }

    pub(crate) fn send(&mut self, to: Peer, term: Term, body: Body) {
        self.messages.push(Message {
            from: self.config.own,
            to,
            term,
            body,
        });
    }

    /// Discards the entries from `index` on, including those already handed to the driver.
    pub(crate) fn discard(&mut self, index: Index) {
        self.log.truncate(index);
        self.durable = self.durable.min(index.previous());
        if self.written >= index {
            self.written = index.previous();
            self.truncate = Some(self.truncate.map_or(index, |earlier| earlier.min(index)));
        }
    }
}

fn restore_entries(log: &mut Log, restored: &Restored) -> Result<(), Corrupt> {
    let base = log.base();
    for entry in &restored.entries {
        let position = entry.position;
        if position.index <= base.index {
            if position.index == base.index && position.term != base.term {
                // These entries contradict the snapshot that replaced them: the process crashed before
                // it truncated the log.
                return Ok(());
            }
            continue;
        }
        let last = log.last();
        if position.index != last.index.next() {
            return Err(Corrupt::Gap {
                expected: last.index.next(),
                found: position.index,
            });
        }
        if position.term < last.term || position.term > restored.hard_state.term {
            return Err(Corrupt::Term(position.index));
        }
        log.push(entry.clone());
    }
    Ok(())
}
