//! The state of a replica, as state dumps and operators read it.

use std::time::Duration;

use serde::Serialize;

use crate::entry::Index;
use crate::entry::Term;
use crate::member::Member;
use crate::member::Peer;
use crate::replica::Replica;
use crate::replica::State;
use shallotrill_model::time::Instant;

/// Role of a replica in its term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Role {
    /// Follows a leader, or waits for an election.
    Follower,
    /// Collects pre-votes before it stands for election.
    PreCandidate,
    /// Stands for election.
    Candidate,
    /// Leads.
    Leader,
}

/// Replication progress of a member, as this replica knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Progress {
    /// The member.
    pub member: Member,
    /// Last index known to be on its disk; `None` for other members unless this replica leads.
    pub matched: Option<Index>,
    /// Time since its last response; `None` for other members unless this replica leads.
    #[serde(rename = "heard")]
    pub last_contact: Option<Duration>,
}

/// State of a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Status {
    /// This replica.
    pub own: Peer,
    /// Role of this replica.
    pub role: Role,
    /// Current term.
    pub term: Term,
    /// Leader of the term, if known.
    pub leader: Option<Peer>,
    /// Last index of the log.
    pub last: Index,
    /// Last index known to be committed.
    pub commit: Index,
    /// Last index that was handed to the driver to be applied.
    pub applied: Index,
    /// All members in order of id.
    pub members: Vec<Progress>,
}

impl Replica {
    /// The current state; ages are relative to `now`.
    pub fn status(&self, now: Instant) -> Status {
        Status {
            own: self.config.own,
            role: match &self.state {
                State::Follower => Role::Follower,
                State::PreCandidate(_) => Role::PreCandidate,
                State::Candidate(_) => Role::Candidate,
                State::Leader(_) => Role::Leader,
            },
            term: self.hard_state.term,
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
        let progress = self
            .leader_state()
            .and_then(|leader_state| leader_state.progress(member.peer));
        Progress {
            member,
            matched: if own {
                Some(self.durable)
            } else {
                progress.map(|progress| progress.matched)
            },
            last_contact: if own {
                Some(Duration::ZERO)
            } else {
                progress.map(|progress| now.since(progress.last_contact))
            },
        }
    }
}
