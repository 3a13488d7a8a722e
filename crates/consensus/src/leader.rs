//! The leader's side: replication, commit, quorum check and reads.

use crate::entry::Content;
use crate::entry::Entry;
use crate::entry::Index;
use crate::entry::Position;
use crate::entry::Term;
use crate::member::Peer;
use crate::message::Body;
use crate::read;
use crate::replica::Replica;
use crate::replica::State;
use shallotrill_model::time::Instant;

/// State of a leader.
#[derive(Debug)]
pub(crate) struct LeaderState {
    /// Index of the first entry of the own term.
    pub(crate) term_start: Index,
    pub(crate) peers: Vec<PeerProgress>,
    pub(crate) reads: Vec<read::Pending>,
    pub(crate) next_heartbeat: Instant,
    pub(crate) pending_bytes: usize,
    /// Number of the latest quorum round, which confirms reads.
    pub(crate) round: u64,
    pub(crate) round_unsent: bool,
    /// Whether every peer is to receive a message at once, with the current commit index and round.
    pub(crate) broadcast: bool,
}

/// Replication state of a peer at the leader.
#[derive(Debug)]
pub(crate) struct PeerProgress {
    pub(crate) peer: Peer,
    pub(crate) matched: Index,
    pub(crate) last_contact: Instant,
    pub(crate) next: Index,
    pub(crate) round: u64,
    pub(crate) mode: Mode,
}

#[derive(Debug)]
pub(crate) enum Mode {
    /// One append at a time, until the last matching entry is found.
    Probe { sent: bool },
    /// Appends are sent without waiting for responses; contains the last index of each
    /// unanswered append.
    Pipeline(Vec<Index>),
    /// Snapshot chunks, one at a time.
    Snapshot { offset: u64, sent: bool },
}

impl LeaderState {
    pub(crate) fn new(term_start: Index, now: Instant) -> Self {
        Self {
            term_start,
            peers: Vec::new(),
            reads: Vec::new(),
            next_heartbeat: now,
            pending_bytes: 0,
            round: 0,
            round_unsent: false,
            broadcast: false,
        }
    }

    pub(crate) fn progress(&self, peer: Peer) -> Option<&PeerProgress> {
        let index = self.index_of(peer)?;
        Some(&self.peers[index])
    }

    fn index_of(&self, peer: Peer) -> Option<usize> {
        self.peers
            .binary_search_by_key(&peer, |progress| progress.peer)
            .ok()
    }

    /// Adds a read to the next quorum round; all reads that start before the round is sent share it.
    pub(crate) fn start_read(&mut self, token: read::Token, commit: Index) {
        if !self.round_unsent {
            self.round += 1;
            self.round_unsent = true;
        }
        self.broadcast = true;
        self.reads.push(read::Pending {
            token,
            round: self.round,
            index: commit.max(self.term_start),
        });
    }
}

impl PeerProgress {
    fn new(peer: Peer, next: Index, now: Instant) -> Self {
        Self {
            peer,
            matched: Index(0),
            last_contact: now,
            next,
            round: 0,
            mode: Mode::Probe { sent: false },
        }
    }

    fn allow_resend(&mut self) {
        match &mut self.mode {
            Mode::Probe { sent } | Mode::Snapshot { sent, .. } => *sent = false,
            Mode::Pipeline(_) => {}
        }
    }

    fn on_appended(&mut self, matched: Index) {
        self.matched = self.matched.max(matched);
        match &mut self.mode {
            Mode::Pipeline(unanswered) => unanswered.retain(|last| *last > matched),
            Mode::Probe { .. } | Mode::Snapshot { .. } if matched.next() >= self.next => {
                self.mode = Mode::Pipeline(Vec::new());
            }
            Mode::Probe { .. } | Mode::Snapshot { .. } => {}
        }
        self.next = self.next.max(self.matched.next());
    }
}

impl Replica {
    pub(crate) fn leader_state(&self) -> Option<&LeaderState> {
        match &self.state {
            State::Leader(leader_state) => Some(leader_state),
            _ => None,
        }
    }

    pub(crate) fn leader_state_mut(&mut self) -> Option<&mut LeaderState> {
        match &mut self.state {
            State::Leader(leader_state) => Some(leader_state),
            _ => None,
        }
    }

    /// Last index known to be on the disk of a peer; zero if unknown.
    pub(crate) fn matched(&self, peer: Peer) -> Index {
        if peer == self.config.own {
            return self.durable;
        }
        self.leader_state()
            .and_then(|leader_state| leader_state.progress(peer))
            .map_or(Index(0), |progress| progress.matched)
    }

    pub(crate) fn append(&mut self, content: Content) -> Position {
        let position = Position {
            index: self.log.last().index.next(),
            term: self.hard_state.term,
        };
        let entry = Entry { position, content };
        let size = entry.size_bytes();
        self.log.push(entry);
        if let Some(leader_state) = self.leader_state_mut() {
            leader_state.pending_bytes += size;
        }
        position
    }

    /// Adds and removes peers according to the current members.
    pub(crate) fn update_progress(&mut self, now: Instant) {
        let own = self.config.own;
        let next = self.log.last().index.next();
        let members = self.log.members().clone();
        let Some(leader_state) = self.leader_state_mut() else {
            return;
        };
        leader_state
            .peers
            .retain(|progress| members.contains(progress.peer));
        for member in members.all() {
            if member.peer != own
                && let Err(index) = leader_state
                    .peers
                    .binary_search_by_key(&member.peer, |progress| progress.peer)
            {
                leader_state
                    .peers
                    .insert(index, PeerProgress::new(member.peer, next, now));
            }
        }
    }

    /// The highest value that a majority of voters has reached; `value` returns that of one voter.
    pub(crate) fn quorum_value<T: Ord + Copy>(&self, value: impl Fn(Peer) -> T) -> Option<T> {
        let members = self.log.members();
        let mut values: Vec<T> = members
            .all()
            .iter()
            .filter(|member| members.is_voter(member.peer))
            .map(|member| value(member.peer))
            .collect();
        values.sort_unstable();
        let index = values.len().checked_sub(members.quorum())?;
        values.get(index).copied()
    }

    /// Steps down when no quorum has responded within the election timeout.
    pub(crate) fn check_quorum(&mut self, now: Instant) {
        let Some(leader_state) = self.leader_state() else {
            return;
        };
        let last_contact = self.quorum_value(|peer| {
            leader_state
                .progress(peer)
                .map_or(now, |progress| progress.last_contact)
        });
        if last_contact
            .is_none_or(|last_contact| now.since(last_contact) >= self.config.election_timeout)
        {
            self.become_follower(now, self.hard_state.term, None);
        }
    }

    /// Schedules heartbeats and the resending of unanswered probes when the interval has passed.
    pub(crate) fn schedule_heartbeats(&mut self, now: Instant) {
        let interval = self.config.heartbeat_interval;
        if let Some(leader_state) = self.leader_state_mut()
            && now >= leader_state.next_heartbeat
        {
            leader_state.next_heartbeat = now + interval;
            leader_state.broadcast = true;
            leader_state
                .peers
                .iter_mut()
                .for_each(PeerProgress::allow_resend);
        }
        self.deadline = now + interval;
    }

    pub(crate) fn on_response(&mut self, now: Instant, peer: Peer, term: Term, response: &Body) {
        if *response == Body::PreVoted(true) {
            if term.0 == self.hard_state.term.0 + 1 && matches!(self.state, State::PreCandidate(_))
            {
                self.on_voted(now, peer);
            }
            return;
        }
        if term > self.hard_state.term {
            self.become_follower(now, term, None);
        }
        if term < self.hard_state.term {
            return;
        }
        match *response {
            Body::Voted(true) if matches!(self.state, State::Candidate(_)) => {
                self.on_voted(now, peer);
            }
            Body::Appended { matched, round } => {
                self.on_round(now, peer, round, |progress| progress.on_appended(matched));
                self.advance_commit();
            }
            Body::Mismatched { hint, round } => self.on_mismatch(now, peer, hint, round),
            Body::Received {
                position,
                offset,
                round,
            } => self.on_received(now, peer, position, offset, round),
            _ => {}
        }
    }

    fn on_round(
        &mut self,
        now: Instant,
        peer: Peer,
        round: u64,
        update: impl FnOnce(&mut PeerProgress),
    ) {
        if let Some(leader_state) = self.leader_state_mut()
            && let Some(index) = leader_state.index_of(peer)
        {
            let progress = &mut leader_state.peers[index];
            progress.last_contact = now;
            progress.round = progress.round.max(round);
            update(progress);
        }
    }

    fn on_mismatch(&mut self, now: Instant, peer: Peer, hint: Position, round: u64) {
        let last_possible_match = self.log.last_possible_match(hint);
        self.on_round(now, peer, round, |progress| {
            // A hint below the matched index belongs to an outdated append.
            if hint.index >= progress.matched && hint.index < progress.next {
                progress.next = last_possible_match.max(progress.matched).next();
                progress.mode = Mode::Probe { sent: false };
            }
        });
    }

    fn on_received(
        &mut self,
        now: Instant,
        peer: Peer,
        position: Position,
        offset: u64,
        round: u64,
    ) {
        let snapshot_position = self.log.base();
        self.on_round(now, peer, round, |progress| {
            if let Mode::Snapshot { .. } = progress.mode {
                let offset = if position == snapshot_position {
                    offset
                } else {
                    0
                };
                let sent = false;
                progress.mode = Mode::Snapshot { offset, sent };
            }
        });
    }

    pub(crate) fn advance_commit(&mut self) {
        if self.leader_state().is_none() {
            return;
        }
        let Some(new_commit) = self.quorum_value(|peer| self.matched(peer)) else {
            return;
        };
        // An entry of an earlier term is committed only together with a later entry of the own term.
        if new_commit <= self.commit || self.log.term_at(new_commit) != Some(self.hard_state.term) {
            return;
        }
        let entries = self.log.range(self.commit, new_commit);
        let bytes: usize = entries.iter().map(Entry::size_bytes).sum();
        self.commit = new_commit;
        if let Some(leader_state) = self.leader_state_mut() {
            leader_state.pending_bytes = leader_state.pending_bytes.saturating_sub(bytes);
            leader_state.broadcast = true;
        }
    }
}
