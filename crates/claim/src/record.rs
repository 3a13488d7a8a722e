//! The record of one key and its state transitions.
//!
//! Two rules make a request run at most once. An attempt is opened only from
//! an absent record or from [`State::NotRun`] of a lower attempt, so at most
//! one grant exists that may still be dispatched. [`State::Done`] is final, and
//! [`State::Unknown`] changes only by a statement of the holder or by an
//! operator's decision.

use std::error;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::change::Change;
use crate::change::Decision;
use crate::change::Holder;
use crate::grant;
use shallotrill_model::attempt;
use shallotrill_model::digest::Digest;
use shallotrill_model::outcome::Answer;
use shallotrill_model::outcome::Outcome;
use shallotrill_model::outcome::Reason;

/// What is known of the latest attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// A grant exists; its holder may dispatch or has dispatched.
    Open {
        /// Process that holds the grant.
        holder: Holder,
        /// Identifier of the grant.
        grant: grant::Id,
    },
    /// The attempt ran.
    Done {
        /// The response.
        answer: Answer,
    },
    /// This attempt and all lower ones did not run and never will.
    NotRun {
        /// Why it did not run.
        reason: Reason,
    },
    /// The attempt may have run.
    Unknown {
        /// Process that held the grant.
        holder: Holder,
        /// Identifier of the grant.
        grant: grant::Id,
    },
}

/// The value of a register.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// Digest of the content of the request.
    pub digest: Digest,
    /// Attempt that the state is about.
    pub attempt: attempt::Number,
    /// What is known of the attempt.
    pub state: State,
}

/// Why a change is refused. A refusal leaves the record as it is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// The key belongs to a request with another content; contains the digest of that content.
    KeyReused(Digest),
    /// The attempt is fenced and never runs; contains the highest fenced attempt.
    Fenced(attempt::Number),
    /// Another grant is open.
    Open {
        /// Attempt that holds it.
        attempt: attempt::Number,
        /// Process that holds it.
        holder: Holder,
    },
    /// The request ran; contains the response.
    Done(Answer),
    /// The attempt may have run.
    Unknown(attempt::Number),
    /// The change refers to a grant, but the key has no record.
    NoGrant,
    /// The attempt is below 1, the first attempt; contains its number.
    Attempt(attempt::Number),
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::KeyReused(digest) => {
                write!(
                    f,
                    "the idempotency key was used for another request, with digest {digest}"
                )
            }
            Self::Fenced(attempt) => write!(f, "attempts up to {attempt} are fenced"),
            Self::Open { attempt, holder } => {
                write!(
                    f,
                    "attempt {attempt} has an open grant at instance {}",
                    holder.instance
                )
            }
            Self::Done(answer) => write!(
                f,
                "the request ran and its response has status {}",
                answer.status
            ),
            Self::Unknown(attempt) => write!(f, "attempt {attempt} may have run"),
            Self::NoGrant => f.write_str("the key has no record, so the attempt has no grant"),
            Self::Attempt(attempt) => write!(
                f,
                "attempt {attempt} is invalid: attempts are numbered from 1"
            ),
        }
    }
}

impl error::Error for Refusal {}

/// Result of a successful change or read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Report {
    /// The holder may dispatch the attempt while its grant is current.
    Granted {
        /// Attempt that is granted.
        attempt: attempt::Number,
        /// Identifier of the grant.
        grant: grant::Id,
    },
    /// The state of the request.
    Outcome {
        /// Attempt that the state is about; after "not run" the next one may be opened.
        attempt: attempt::Number,
        /// What is known of the attempt.
        outcome: Outcome,
    },
    /// Nothing is recorded for the key.
    Absent,
}

/// Result of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Applied {
    /// The record after the change; equal to the record before it when the change is refused or resent.
    pub record: Option<Record>,
    /// What to report.
    pub outcome: Result<Report, Refusal>,
}

impl Record {
    /// Applies a change to the record of a key; `current` is `None` if the key has no record.
    pub fn apply(current: Option<&Self>, change: &Change) -> Applied {
        let result = match change {
            Change::Open {
                digest,
                attempt,
                holder,
                grant,
            } => open(current, *digest, *attempt, holder, *grant),
            Change::Finish {
                attempt,
                holder,
                answer,
            } => finish(current, *attempt, holder, answer),
            Change::NotRun {
                digest,
                attempt,
                holder,
                grant,
                reason,
            } => not_run(current, *digest, *attempt, (holder, *grant), *reason),
            Change::Fence { digest, attempt } => fence(current, *digest, *attempt),
            Change::Lapse { attempt } => lapse(current, *attempt),
            Change::Settle { attempt, decision } => settle(current, *attempt, decision),
        };
        match result {
            Ok(record) => {
                let outcome = Ok(report(&record, change));
                Applied {
                    record: Some(record),
                    outcome,
                }
            }
            Err(refusal) => Applied {
                record: current.cloned(),
                outcome: Err(refusal),
            },
        }
    }

    /// What is known of the request.
    pub fn outcome(&self) -> Outcome {
        match &self.state {
            State::Open { .. } => Outcome::Running,
            State::Done { answer } => Outcome::Answer(answer.clone()),
            State::NotRun { reason } => Outcome::NotRun(*reason),
            State::Unknown { .. } => Outcome::Unknown,
        }
    }

    /// What a read of the record reports.
    pub fn report(&self) -> Report {
        Report::Outcome {
            attempt: self.attempt,
            outcome: self.outcome(),
        }
    }

    /// Estimates the heap memory of the record, in addition to its own size.
    pub fn heap_bytes(&self) -> usize {
        match &self.state {
            State::Open { holder, .. } | State::Unknown { holder, .. } => {
                holder.instance.as_str().len() + 16
            }
            State::Done { answer } => {
                answer.content_type.len() + answer.body.as_ref().map_or(0, Vec::len)
            }
            State::NotRun { .. } => 0,
        }
    }

    fn with_state(&self, state: State) -> Self {
        Self {
            digest: self.digest,
            attempt: self.attempt,
            state,
        }
    }

    fn check_digest(&self, digest: Digest) -> Result<(), Refusal> {
        if self.digest == digest {
            Ok(())
        } else {
            Err(Refusal::KeyReused(self.digest))
        }
    }

    /// The refusal of a change that the current state does not allow.
    fn refusal(&self) -> Refusal {
        match &self.state {
            State::Open { holder, .. } => Refusal::Open {
                attempt: self.attempt,
                holder: holder.clone(),
            },
            State::Done { answer } => Refusal::Done(answer.clone()),
            State::NotRun { .. } => Refusal::Fenced(self.attempt),
            State::Unknown { .. } => Refusal::Unknown(self.attempt),
        }
    }

    /// The grant, if the outcome of its attempt is not decided.
    const fn undecided_grant(&self) -> Option<grant::Id> {
        match &self.state {
            State::Open { grant, .. } | State::Unknown { grant, .. } => Some(*grant),
            State::Done { .. } | State::NotRun { .. } => None,
        }
    }

    /// Whether `holder` has or had the grant of `attempt`, and the attempt is not decided.
    fn holds_grant(&self, attempt: attempt::Number, holder: &Holder) -> bool {
        match &self.state {
            State::Open { holder: own, .. } | State::Unknown { holder: own, .. } => {
                self.attempt == attempt && own == holder
            }
            State::Done { .. } | State::NotRun { .. } => false,
        }
    }
}

fn report(record: &Record, change: &Change) -> Report {
    match (&record.state, change) {
        (State::Open { grant, .. }, Change::Open { .. }) => Report::Granted {
            attempt: record.attempt,
            grant: *grant,
        },
        _ => record.report(),
    }
}

fn open(
    current: Option<&Record>,
    digest: Digest,
    attempt: attempt::Number,
    holder: &Holder,
    grant: grant::Id,
) -> Result<Record, Refusal> {
    if attempt < attempt::Number::FIRST {
        return Err(Refusal::Attempt(attempt));
    }
    let state = State::Open {
        holder: holder.clone(),
        grant,
    };
    let opened = Record {
        digest,
        attempt,
        state,
    };
    let Some(record) = current else {
        return Ok(opened);
    };
    record.check_digest(digest)?;
    match record.state {
        State::NotRun { .. } if attempt > record.attempt => Ok(opened),
        // The same request, resent: the holder receives the grant that it already has.
        State::Open { .. } if *record == opened => Ok(opened),
        _ => Err(record.refusal()),
    }
}

fn finish(
    current: Option<&Record>,
    attempt: attempt::Number,
    holder: &Holder,
    answer: &Answer,
) -> Result<Record, Refusal> {
    let record = current.ok_or(Refusal::NoGrant)?;
    let done = record.with_state(State::Done {
        answer: answer.clone(),
    });
    if record.holds_grant(attempt, holder) || (*record == done && record.attempt == attempt) {
        return Ok(done);
    }
    Err(record.refusal())
}

fn not_run(
    current: Option<&Record>,
    digest: Digest,
    attempt: attempt::Number,
    (holder, grant): (&Holder, grant::Id),
    reason: Reason,
) -> Result<Record, Refusal> {
    let Some(record) = current else {
        return not_run_record(digest, attempt, reason);
    };
    record.check_digest(digest)?;
    if record.holds_grant(attempt, holder) && record.undecided_grant() == Some(grant) {
        return Ok(record.with_state(State::NotRun { reason }));
    }
    match record.state {
        State::NotRun { .. } if attempt <= record.attempt => Ok(record.clone()),
        State::NotRun { .. } => not_run_record(digest, attempt, reason),
        _ => Err(record.refusal()),
    }
}

fn fence(
    current: Option<&Record>,
    digest: Digest,
    attempt: attempt::Number,
) -> Result<Record, Refusal> {
    let Some(record) = current else {
        return not_run_record(digest, attempt, Reason::Fenced);
    };
    record.check_digest(digest)?;
    match record.state {
        State::NotRun { .. } if attempt > record.attempt => {
            not_run_record(digest, attempt, Reason::Fenced)
        }
        // A fence also requests the outcome, so a known outcome is reported instead of a refusal.
        _ => Ok(record.clone()),
    }
}

fn not_run_record(
    digest: Digest,
    attempt: attempt::Number,
    reason: Reason,
) -> Result<Record, Refusal> {
    if attempt < attempt::Number::FIRST {
        return Err(Refusal::Attempt(attempt));
    }
    Ok(Record {
        digest,
        attempt,
        state: State::NotRun { reason },
    })
}

fn lapse(current: Option<&Record>, attempt: attempt::Number) -> Result<Record, Refusal> {
    let record = current.ok_or(Refusal::NoGrant)?;
    match &record.state {
        State::Open { holder, grant } if record.attempt == attempt => {
            let holder = holder.clone();
            let grant = *grant;
            Ok(record.with_state(State::Unknown { holder, grant }))
        }
        State::Unknown { .. } if record.attempt == attempt => Ok(record.clone()),
        _ => Err(record.refusal()),
    }
}

fn settle(
    current: Option<&Record>,
    attempt: attempt::Number,
    decision: &Decision,
) -> Result<Record, Refusal> {
    let record = current.ok_or(Refusal::NoGrant)?;
    let state = match decision {
        Decision::Done(answer) => State::Done {
            answer: answer.clone(),
        },
        Decision::NotRun => State::NotRun {
            reason: Reason::Fenced,
        },
    };
    let settled = record.with_state(state);
    let unknown = matches!(record.state, State::Unknown { .. });
    if record.attempt == attempt && (unknown || *record == settled) {
        return Ok(settled);
    }
    Err(record.refusal())
}
