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
pub(crate) struct Lead {
    /// First entry of the own term.
    pub(crate) first: Index,
    pub(crate) tracks: Vec<Track>,
    pub(crate) reads: Vec<read::Pending>,
    pub(crate) beat: Instant,
    pub(crate) pending_bytes: usize,
    pub(crate) round: u64,
    pub(crate) round_unsent: bool,
    /// Whether each peer is to hear of the commit index or round at once.
    pub(crate) announce: bool,
}

/// What a leader knows of a peer.
#[derive(Debug)]
pub(crate) struct Track {
    pub(crate) peer: Peer,
    pub(crate) matched: Index,
    pub(crate) heard: Instant,
    pub(crate) next: Index,
    pub(crate) round: u64,
    pub(crate) mode: Mode,
}

#[derive(Debug)]
pub(crate) enum Mode {
    /// One append at a time, until the point of agreement is found.
    Probe { sent: bool },
    /// Appends follow each other without waiting; the last index of each that is unanswered.
    Stream(Vec<Index>),
    /// Snapshot chunks, one at a time.
    Snapshot { offset: u64, sent: bool },
}

impl Lead {
    pub(crate) fn new(first: Index, now: Instant) -> Self {
        Self {
            first,
            tracks: Vec::new(),
            reads: Vec::new(),
            beat: now,
            pending_bytes: 0,
            round: 0,
            round_unsent: false,
            announce: false,
        }
    }

    pub(crate) fn track(&self, peer: Peer) -> Option<&Track> {
        let at = self.find(peer)?;
        Some(&self.tracks[at])
    }

    fn find(&self, peer: Peer) -> Option<usize> {
        self.tracks
            .binary_search_by_key(&peer, |track| track.peer)
            .ok()
    }

    /// Reads that come before the next round is sent share it.
    pub(crate) fn start_read(&mut self, token: read::Token, commit: Index) {
        if !self.round_unsent {
            self.round += 1;
            self.round_unsent = true;
        }
        self.announce = true;
        self.reads.push(read::Pending {
            token,
            round: self.round,
            index: commit.max(self.first),
        });
    }
}

impl Track {
    fn new(peer: Peer, next: Index, now: Instant) -> Self {
        Self {
            peer,
            matched: Index(0),
            heard: now,
            next,
            round: 0,
            mode: Mode::Probe { sent: false },
        }
    }

    fn resend(&mut self) {
        match &mut self.mode {
            Mode::Probe { sent } | Mode::Snapshot { sent, .. } => *sent = false,
            Mode::Stream(_) => {}
        }
    }

    fn on_appended(&mut self, matched: Index) {
        self.matched = self.matched.max(matched);
        match &mut self.mode {
            Mode::Stream(unanswered) => unanswered.retain(|last| *last > matched),
            Mode::Probe { .. } | Mode::Snapshot { .. } if matched.next() >= self.next => {
                self.mode = Mode::Stream(Vec::new());
            }
            Mode::Probe { .. } | Mode::Snapshot { .. } => {}
        }
        self.next = self.next.max(self.matched.next());
    }
}

impl Replica {
    pub(crate) fn lead(&self) -> Option<&Lead> {
        match &self.state {
            State::Leader(lead) => Some(lead),
            _ => None,
        }
    }

    pub(crate) fn lead_mut(&mut self) -> Option<&mut Lead> {
        match &mut self.state {
            State::Leader(lead) => Some(lead),
            _ => None,
        }
    }

    /// Last index known to be on the disk of a peer.
    pub(crate) fn matched(&self, peer: Peer) -> Index {
        if peer == self.config.own {
            return self.durable;
        }
        self.lead()
            .and_then(|lead| lead.track(peer))
            .map_or(Index(0), |track| track.matched)
    }

    pub(crate) fn append(&mut self, content: Content) -> Position {
        let position = Position {
            index: self.log.last().index.next(),
            term: self.hard.term,
        };
        let entry = Entry { position, content };
        let size = entry.size_bytes();
        self.log.push(entry);
        if let Some(lead) = self.lead_mut() {
            lead.pending_bytes += size;
        }
        position
    }

    /// Brings the tracks in line with the members.
    pub(crate) fn follow_members(&mut self, now: Instant) {
        let own = self.config.own;
        let next = self.log.last().index.next();
        let members = self.log.members().clone();
        let Some(lead) = self.lead_mut() else {
            return;
        };
        lead.tracks.retain(|track| members.holds(track.peer));
        for member in members.all() {
            if member.peer != own
                && let Err(at) = lead
                    .tracks
                    .binary_search_by_key(&member.peer, |track| track.peer)
            {
                lead.tracks.insert(at, Track::new(member.peer, next, now));
            }
        }
    }

    /// The highest value that a majority of voters has reached, given each voter's own.
    pub(crate) fn agreed<T: Ord + Copy>(&self, value: impl Fn(Peer) -> T) -> Option<T> {
        let members = self.log.members();
        let mut values: Vec<T> = members
            .all()
            .iter()
            .filter(|member| members.votes(member.peer))
            .map(|member| value(member.peer))
            .collect();
        values.sort_unstable();
        let at = values.len().checked_sub(members.quorum())?;
        values.get(at).copied()
    }

    /// Steps down when no quorum has answered within the election timeout.
    pub(crate) fn check_quorum(&mut self, now: Instant) {
        let Some(lead) = self.lead() else {
            return;
        };
        let heard = self.agreed(|peer| lead.track(peer).map_or(now, |track| track.heard));
        if heard.is_none_or(|heard| now.since(heard) >= self.config.election) {
            self.follow(now, self.hard.term, None);
        }
    }

    /// Sends heartbeats when they are due.
    pub(crate) fn beat(&mut self, now: Instant) {
        let heartbeat = self.config.heartbeat;
        if let Some(lead) = self.lead_mut()
            && now >= lead.beat
        {
            lead.beat = now + heartbeat;
            lead.announce = true;
            lead.tracks.iter_mut().for_each(Track::resend);
        }
        self.deadline = now + heartbeat;
    }

    pub(crate) fn on_answer(&mut self, now: Instant, peer: Peer, term: Term, answer: &Body) {
        if *answer == Body::PreVoted(true) {
            if term.0 == self.hard.term.0 + 1 && matches!(self.state, State::PreCandidate(_)) {
                self.on_voted(now, peer);
            }
            return;
        }
        if term > self.hard.term {
            self.follow(now, term, None);
        }
        if term < self.hard.term {
            return;
        }
        match *answer {
            Body::Voted(true) if matches!(self.state, State::Candidate(_)) => {
                self.on_voted(now, peer);
            }
            Body::Appended { matched, round } => {
                self.on_round(now, peer, round, |track| track.on_appended(matched));
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

    fn on_round(&mut self, now: Instant, peer: Peer, round: u64, then: impl FnOnce(&mut Track)) {
        if let Some(lead) = self.lead_mut()
            && let Some(at) = lead.find(peer)
        {
            let track = &mut lead.tracks[at];
            track.heard = now;
            track.round = track.round.max(round);
            then(track);
        }
    }

    fn on_mismatch(&mut self, now: Instant, peer: Peer, hint: Position, round: u64) {
        let agree = self.log.agree(hint);
        self.on_round(now, peer, round, |track| {
            // A hint below what is known to match answers an old append.
            if hint.index >= track.matched && hint.index < track.next {
                track.next = agree.max(track.matched).next();
                track.mode = Mode::Probe { sent: false };
            }
        });
    }

    fn on_received(&mut self, now: Instant, peer: Peer, of: Position, offset: u64, round: u64) {
        let current = self.log.base();
        self.on_round(now, peer, round, |track| {
            if let Mode::Snapshot { .. } = track.mode {
                let offset = if of == current { offset } else { 0 };
                let sent = false;
                track.mode = Mode::Snapshot { offset, sent };
            }
        });
    }

    pub(crate) fn advance_commit(&mut self) {
        if self.lead().is_none() {
            return;
        }
        let Some(agreed) = self.agreed(|peer| self.matched(peer)) else {
            return;
        };
        // An entry of an earlier term is committed only by a later one of the own term.
        if agreed <= self.commit || self.log.term_at(agreed) != Some(self.hard.term) {
            return;
        }
        let entries = self.log.range(self.commit, agreed);
        let bytes: usize = entries.iter().map(Entry::size_bytes).sum();
        self.commit = agreed;
        if let Some(lead) = self.lead_mut() {
            lead.pending_bytes = lead.pending_bytes.saturating_sub(bytes);
            lead.announce = true;
        }
    }
}
