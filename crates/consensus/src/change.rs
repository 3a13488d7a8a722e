//! Member changes, which go through the log one at a time.

use crate::entry::Content;
use crate::entry::Position;
use crate::failure::Refusal;
use crate::member::Id;
use crate::member::Member;
use crate::member::Peer;
use crate::member::Role;
use crate::member::Set;
use crate::replica::Replica;
use shallotrill_model::time::Instant;

/// One member change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Adds a member that does not vote.
    AddLearner(Peer),
    /// Makes a learner that holds all committed entries a voter.
    Promote(Id),
    /// Removes a member.
    Remove(Id),
}

impl Replica {
    /// Proposes a member change. It takes effect at this replica at once and is final when its entry is
    /// committed.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal`] when this replica does not lead, has no committed entry of its term, an
    /// earlier change is not committed, or the change contradicts the current members.
    pub fn change(&mut self, now: Instant, change: Change) -> Result<Position, Refusal> {
        let Some(leader_state) = self.leader_state() else {
            return Err(Refusal::NotLeader(self.leader));
        };
        // A leader without a committed entry of its own term must not change the members: two leaders
        // could commit by majorities of configurations that differ in two members and do not overlap.
        if self.commit < leader_state.term_start {
            return Err(Refusal::NotEstablished);
        }
        let pending = self.log.members_index();
        if pending > self.commit {
            return Err(Refusal::ChangePending(pending));
        }
        let members = self.changed(change)?;
        let position = self.append(Content::Members(members));
        self.update_progress(now);
        Ok(position)
    }

    fn changed(&self, change: Change) -> Result<Set, Refusal> {
        let mut members = self.log.members().clone();
        match change {
            Change::AddLearner(peer) => {
                if members.get(peer.id).is_some() {
                    return Err(Refusal::DuplicateMember(peer.id));
                }
                members.insert(Member {
                    peer,
                    role: Role::Learner,
                });
            }
            Change::Promote(id) => {
                let member = *members.get(id).ok_or(Refusal::UnknownMember(id))?;
                let matched = self.matched(member.peer);
                if matched < self.commit {
                    return Err(Refusal::Behind {
                        matched,
                        commit: self.commit,
                    });
                }
                members.insert(Member {
                    role: Role::Voter,
                    ..member
                });
            }
            Change::Remove(id) => {
                let member = *members.get(id).ok_or(Refusal::UnknownMember(id))?;
                members.remove(id);
                if !members.all().iter().any(|m| m.role == Role::Voter) {
                    return Err(Refusal::LastVoter(member.peer.id));
                }
            }
        }
        Ok(members)
    }
}
