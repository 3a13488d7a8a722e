//! The proposer, which runs rounds for one key and one task until a record is chosen.
//!
//! A round collects promises from a quorum, applies the change to the record of
//! the highest ballot and collects acceptances.
//!
//! There is no fast path in which one member owns the lowest ballot of a new
//! key and skips the promises. It would be safe only in the first epoch of a
//! group, because a round in a later epoch has to read what earlier epochs
//! accepted. The owner would have to sync its own acceptance before it sends an
//! accept message; otherwise it could use the ballot for a second record after
//! a restart. Requests that arrive at other members would have to be forwarded.
//! The fast path would save less than one round trip.

use std::error;
use std::fmt;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ballot::Ballot;
use crate::ballot::Sequence;
use crate::change::Change;
use crate::epoch::Group;
use crate::epoch::Member;
use crate::epoch::Number;
use crate::epoch::VotingState;
use crate::journal::Accepted;
use crate::key::Key;
use crate::message;
use crate::message::Message;
use crate::message::Reply;
use crate::record;
use crate::record::Record;
use crate::record::Report;
use shallotrill_model::time;

/// Upper bound of the random wait before the second round; it doubles with each further round.
pub const BACKOFF_INITIAL: Duration = Duration::from_millis(4);

/// Upper bound of the random wait before any round.
pub const BACKOFF_MAX: Duration = Duration::from_millis(128);

/// What a proposer does with a register.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Task {
    /// Reads the record, and writes it back when the replicas of a quorum disagree.
    #[serde(rename = "look")]
    Read,
    /// Changes the record.
    Change(Change),
}

/// A message and the member that it goes to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Envelope {
    /// Member that the message goes to.
    pub to: Member,
    /// The message.
    pub message: Message,
}

/// Why a round ends without a chosen record. The change may still take effect
/// later, except after [`Failure::Refused`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Failure {
    /// The record does not allow the change.
    Refused(record::Refusal),
    /// Another round with a higher ballot is in progress; the round may be retried.
    Conflict {
        /// Ballot of the other round.
        higher: Ballot,
    },
    /// A member is in another epoch; contains that epoch.
    Epoch(Number),
    /// The key is expired at a majority, so no attempt of it will be granted; contains the lowest horizon.
    ///
    /// An attempt made before the key expired may have run.
    Expired(time::Wall),
    /// A quorum of members has no space for a new or larger record.
    Full,
    /// Too few members agreed before the round ended.
    NoQuorum {
        /// Members that agreed in the last phase of the round.
        agreed: usize,
        /// Members that have to agree.
        quorum: usize,
    },
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused(refusal) => refusal.fmt(f),
            Self::Conflict { higher } => {
                write!(
                    f,
                    "a round with the higher ballot counter {} is in progress",
                    higher.counter
                )
            }
            Self::Epoch(epoch) => write!(
                f,
                "a member of the claim group is in another epoch, {}",
                epoch.0
            ),
            Self::Expired(horizon) => write!(f, "keys issued before {horizon} are expired"),
            Self::Full => f.write_str("the claim group has no space for new records"),
            Self::NoQuorum { agreed, quorum } => {
                write!(
                    f,
                    "no quorum in the claim group: {agreed} members agreed, {quorum} are needed"
                )
            }
        }
    }
}

impl error::Error for Failure {}

/// What to do after a reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Wait for further replies.
    Wait,
    /// Send these messages.
    Send(Vec<Envelope>),
    /// The round has ended.
    Finished(Result<Report, Failure>),
}

#[derive(Clone, Debug)]
enum Phase {
    Prepare {
        promises: Vec<(Member, Option<Accepted>)>,
    },
    Accept {
        outcome: Result<Report, record::Refusal>,
        accepted: Vec<Member>,
    },
    Finished,
}

/// The rounds for one key and one task.
#[derive(Clone, Debug)]
pub struct Proposer {
    group: Group,
    key: Key,
    task: Task,
    ballot: Ballot,
    rounds: u32,
    higher: Option<Ballot>,
    phase: Phase,
    refusals: Vec<(Member, message::Refusal)>,
}

impl Proposer {
    /// Creates a proposer without a round in progress; [`Proposer::start`] begins the first one.
    pub fn new(group: Group, key: Key, task: Task) -> Self {
        Self {
            group,
            key,
            task,
            ballot: Ballot::default(),
            rounds: 0,
            higher: None,
            phase: Phase::Finished,
            refusals: Vec::new(),
        }
    }

    /// Begins a round with the next ballot and returns its prepare messages.
    pub fn start(&mut self, sequence: &mut Sequence) -> Vec<Envelope> {
        self.ballot = sequence.next(self.group.epoch, self.higher);
        self.rounds += 1;
        self.refusals.clear();
        self.phase = Phase::Prepare {
            promises: Vec::new(),
        };
        let prepare = Message::Prepare {
            key: self.key.clone(),
            ballot: self.ballot,
        };
        let send = |to| Envelope {
            to,
            message: prepare.clone(),
        };
        self.group.voters().map(send).collect()
    }

    /// Time to wait before the next round. `random` is a uniformly distributed number.
    pub fn backoff(&self, random: u64) -> Duration {
        let doublings = self.rounds.saturating_sub(1).min(16);
        let limit = (BACKOFF_INITIAL * (1 << doublings)).min(BACKOFF_MAX);
        let micros = u64::try_from(limit.as_micros()).unwrap_or(u64::MAX);
        Duration::from_micros(random % micros)
    }

    /// Ballot of the current round; replies to other ballots are ignored.
    pub const fn ballot(&self) -> Ballot {
        self.ballot
    }

    /// Handles the reply of a member to a message with `ballot`.
    pub fn step(&mut self, from: Member, ballot: Ballot, reply: &Reply) -> Step {
        let voting = self
            .group
            .seat(from)
            .is_some_and(|seat| seat.voting_state == VotingState::Voting);
        if ballot != self.ballot || !voting {
            return Step::Wait;
        }
        match (reply, &mut self.phase) {
            (Reply::Promised(accepted), Phase::Prepare { promises }) => {
                if promises.iter().all(|(member, _)| *member != from) {
                    promises.push((from, accepted.clone()));
                }
                self.on_promise()
            }
            (Reply::Accepted, Phase::Accept { accepted, .. }) => {
                if !accepted.contains(&from) {
                    accepted.push(from);
                }
                self.on_acceptance()
            }
            (Reply::Refused(refusal), Phase::Prepare { .. } | Phase::Accept { .. }) => {
                self.on_refusal(from, *refusal)
            }
            _ => Step::Wait,
        }
    }

    /// Ends the round without waiting for further replies, and returns the failure.
    pub fn expire(&mut self) -> Failure {
        let failure = self.failure();
        self.phase = Phase::Finished;
        failure
    }

    fn on_promise(&mut self) -> Step {
        let Phase::Prepare { promises } = &self.phase else {
            return Step::Wait;
        };
        if promises.len() < self.group.quorum() {
            return Step::Wait;
        }
        let ballot = |accepted: &Option<Accepted>| accepted.as_ref().map(|a| a.ballot);
        let highest = promises.iter().max_by_key(|(_, a)| ballot(a));
        let latest = highest.and_then(|(_, accepted)| accepted.as_ref());
        let current = latest.map(|accepted| &accepted.record);
        let agree = promises
            .iter()
            .all(|(_, a)| ballot(a) == latest.map(|l| l.ballot));
        let (record, outcome) = self.apply(current);
        // A record that a whole quorum has accepted under one ballot is chosen already.
        let chosen = agree && record.as_ref() == current;
        match record {
            Some(record) if !chosen => {
                let accepted = Vec::new();
                self.phase = Phase::Accept { outcome, accepted };
                self.refusals.clear();
                Step::Send(self.accept_messages(&record))
            }
            _ => self.finish(outcome.map_err(Failure::Refused)),
        }
    }

    fn apply(&self, current: Option<&Record>) -> (Option<Record>, Result<Report, record::Refusal>) {
        match &self.task {
            Task::Change(change) => {
                let applied = Record::apply(current, change);
                (applied.record, applied.outcome)
            }
            Task::Read => {
                let report = current.map_or(Report::Absent, Record::report);
                (current.cloned(), Ok(report))
            }
        }
    }

    fn accept_messages(&self, record: &Record) -> Vec<Envelope> {
        let send = |to| Envelope {
            to,
            message: Message::Accept {
                key: self.key.clone(),
                ballot: self.ballot,
                record: record.clone(),
            },
        };
        self.group
            .seats
            .iter()
            .map(|seat| send(seat.member))
            .collect()
    }

    fn on_acceptance(&mut self) -> Step {
        let Phase::Accept { outcome, accepted } = &self.phase else {
            return Step::Wait;
        };
        if accepted.len() < self.group.quorum() {
            return Step::Wait;
        }
        let outcome = outcome.clone();
        self.finish(outcome.map_err(Failure::Refused))
    }

    fn on_refusal(&mut self, from: Member, refusal: message::Refusal) -> Step {
        if self.refusals.iter().all(|(member, _)| *member != from) {
            self.refusals.push((from, refusal));
        }
        if let message::Refusal::Promised(ballot) = refusal {
            self.higher = self.higher.max(Some(ballot));
        }
        let possible = self.group.voters().count() - self.refusals.len();
        if possible >= self.group.quorum() {
            return Step::Wait;
        }
        let failure = self.failure();
        self.finish(Err(failure))
    }

    fn finish(&mut self, result: Result<Report, Failure>) -> Step {
        self.phase = Phase::Finished;
        Step::Finished(result)
    }

    /// The failure of the round. In order of precedence: another epoch, expired at a majority, full at a
    /// quorum, conflict with a higher ballot, no quorum.
    fn failure(&self) -> Failure {
        let agreed = match &self.phase {
            Phase::Prepare { promises } => promises.len(),
            Phase::Accept { accepted, .. } => accepted.len(),
            Phase::Finished => 0,
        };
        let quorum = self.group.quorum();
        let refusals = || self.refusals.iter().map(|(_, refusal)| *refusal);
        let mut expired = Vec::new();
        let mut full = 0;
        let mut failure = Failure::NoQuorum { agreed, quorum };
        for refusal in refusals() {
            match refusal {
                message::Refusal::Epoch(epoch) => return Failure::Epoch(epoch),
                message::Refusal::Promised(higher) => failure = Failure::Conflict { higher },
                message::Refusal::Expired(horizon) => expired.push(horizon),
                message::Refusal::Full { .. } => full += 1,
                message::Refusal::Stranger(_)
                | message::Refusal::Copying
                | message::Refusal::NotCopied => {}
            }
        }
        let majority = self.group.seats.len() / 2 + 1;
        match expired.iter().min() {
            Some(horizon) if expired.len() >= majority => Failure::Expired(*horizon),
            // A member refuses a prepare message for lack of space only if it does not hold the key, so a
            // quorum of such refusals proves that no grant of the key was chosen; fewer prove nothing. An
            // accept message is also refused for a key that the member holds, if the larger record exceeds
            // the reserve; such refusals prove nothing about earlier grants.
            _ if full >= quorum => Failure::Full,
            _ => failure,
        }
    }
}
