//! Messages of the method with which a control process forwards commands and reads to the leader.

use serde::Deserialize;
use serde::Serialize;

use shallotrill_catalog::command::Command;
use shallotrill_catalog::reply::Reply as Outcome;
use shallotrill_consensus::member::Peer;

/// Name of the method.
pub const METHOD: &str = "log_forward";

/// A request to the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// Proposes a command and waits until it is applied.
    Command(Command),
    /// Requests the index up to which a reader must have applied the log for a linearizable read.
    Read,
    /// Adds a non-voting member, which replicates the log and can feed nodes.
    Join(Peer),
    /// Replaces a member of the group.
    Replace {
        /// Number of the member to remove.
        old: u64,
        /// The member that takes over its seat.
        new: Peer,
    },
}

/// Why a request got no response of the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// This process is not the leader; contains the leader if it is known.
    NotLeader(Option<Peer>),
    /// The request was proposed or forwarded, and its outcome is not known in time: it may still be accepted.
    Undecided,
    /// No leader was found in time, another leader replaced the entry of the command, or a read was not
    /// confirmed in time. The command was not accepted.
    NoQuorum,
    /// Too many requests wait for a quorum.
    Overloaded,
    /// The members cannot be changed at present; contains the reason.
    Member(String),
}

/// Response of the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Response {
    /// The command was applied at this index.
    Applied {
        /// Index in the log.
        index: u64,
        /// Outcome of the command.
        outcome: Outcome,
    },
    /// Index up to which a reader must have applied the log.
    ReadAt(u64),
    /// The member was replaced.
    Replaced,
    /// The process is a member of the group.
    Joined,
}

/// The leader's response, or why there is none.
pub type Reply = Result<Response, Refusal>;
