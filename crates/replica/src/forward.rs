//! Commands and reads of operators that another control process passes to the leader.

use serde::Deserialize;
use serde::Serialize;

use shallotrill_catalog::command::Command;
use shallotrill_catalog::reply::Reply as Outcome;
use shallotrill_consensus::member::Peer;

/// Name of the method.
pub const METHOD: &str = "log_forward";

/// What is asked of the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ask {
    /// Proposes a command and waits until it is applied.
    Command(Command),
    /// Asks up to which index a reader must have applied the log to answer with what is in force.
    Read,
    /// Adds a process without a vote, so that it holds the log and can feed nodes.
    Join(Peer),
    /// Replaces a member of the group.
    Replace {
        /// Number of the member that leaves.
        old: u64,
        /// The member in its place, on its disk.
        new: Peer,
    },
}

/// Why the leader did not answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// This process does not lead; holds the leader if it is known.
    NotLeader(Option<Peer>),
    /// The question was passed on, and no answer came in time: it may still be accepted.
    Undecided,
    /// No quorum confirmed in time. A command may still be accepted; its id tells.
    NoQuorum,
    /// Too much waits for a quorum.
    Overloaded,
    /// The change of members cannot be made now; holds the reason.
    Member(String),
}

/// What the leader answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The command was applied at this index.
    Applied {
        /// Index in the log.
        index: u64,
        /// What became of the command.
        outcome: Outcome,
    },
    /// A reader that has applied the log up to this index may answer.
    ReadAt(u64),
    /// The members were changed.
    Replaced,
    /// The process is a member.
    Joined,
}

/// The answer or the refusal.
pub type Reply = Result<Answer, Refusal>;
