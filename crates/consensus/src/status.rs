//! State of a replica for state dumps.

use std::time::Duration;

use serde::Serialize;

use crate::entry::Index;
use crate::entry::Term;
use crate::member::Member;
use crate::member::Peer;
use crate::replica::Replica;
use crate::replica::State;
use shallotrill_model::time::Instant;

/// What the replica does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Role {
    /// Follows a leader or waits for one.
    Follower,
    /// Asks whether it would be elected.
    PreCandidate,
    /// Stands for election.
    Candidate,
    /// Leads.
    Leader,
}

/// What a replica knows of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Progress {
    /// The member.
    pub member: Member,
    /// Last index known to be on its disk; known to the leader only.
    pub matched: Option<Index>,
    /// Time since its last answer; known to the leader only.
    pub heard: Option<Duration>,
}

/// State of a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Status {
    /// Who this is.
    pub own: Peer,
    /// What it does.
    pub role: Role,
    /// Its term.
    pub term: Term,
    /// Leader of the term, when known.
    pub leader: Option<Peer>,
    /// Last index of the log.
    pub last: Index,
    /// Last index known to be committed.
    pub commit: Index,
    /// Last index handed out to be applied.
    pub applied: Index,
    /// The members.
    pub members: Vec<Progress>,
}

impl Replica {
    /// The state at the time `now`.
    pub fn status(&self, now: Instant) -> Status {
        Status {
            own: self.config.own,
            role: match &self.state {
                State::Follower => Role::Follower,
                State::PreCandidate(_) => Role::PreCandidate,
                State::Candidate(_) => Role::Candidate,
                State::Leader(_) => Role::Leader,
            },
            term: self.hard.term,
            leader: self.leader,
            last: self.log.last().index,
            commit: self.commit,
            applied: self.applied,
            members: self
                .log
                .members()
                .all()
                .iter()
                .map(|member| self.progress(*member, now))
                .collect(),
        }
    }

    fn progress(&self, member: Member, now: Instant) -> Progress {
        let own = member.peer == self.config.own;
        let track = self.lead().and_then(|lead| lead.track(member.peer));
        Progress {
            member,
            matched: if own {
                Some(self.durable)
            } else {
                track.map(|track| track.matched)
            },
            heard: if own {
                Some(Duration::ZERO)
            } else {
                track.map(|track| now.since(track.heard))
            },
        }
    }
}
