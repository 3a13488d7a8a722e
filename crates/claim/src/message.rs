//! Messages between a proposer and an acceptor.

use std::error;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::ballot::Ballot;
use crate::epoch;
use crate::journal::Accepted;
use crate::key::Key;
use crate::record::Record;
use shallotrill_model::time;

/// Question of a proposer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Message {
    /// Asks for a promise to accept no lower ballot.
    Prepare {
        /// Name of the register.
        key: Key,
        /// Ballot of the round.
        ballot: Ballot,
    },
    /// Asks to accept a record.
    Accept {
        /// Name of the register.
        key: Key,
        /// Ballot of the round.
        ballot: Ballot,
        /// The record.
        record: Record,
    },
}

/// Answer of an acceptor.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reply {
    /// The promise; holds the accepted record of the highest ballot.
    Promised(Option<Accepted>),
    /// The record is accepted.
    Accepted,
    /// The question is refused.
    Refused(Refusal),
}

/// Why an acceptor refuses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// The acceptor is in another epoch; holds that epoch.
    Epoch(epoch::Number),
    /// The acceptor, with its disk, is no member of the group.
    Stranger(epoch::Member),
    /// The acceptor is still copying and gives no promises.
    Copying,
    /// The acceptor would vote without having copied from every survivor.
    NotCopied,
    /// The key was issued before the horizon; holds the horizon.
    Expired(time::Wall),
    /// The acceptor promised a higher ballot; holds that ballot.
    Promised(Ballot),
    /// The table has no space.
    Full {
        /// Bytes in use.
        bytes: usize,
        /// Bytes that may be in use.
        limit_bytes: usize,
    },
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Epoch(epoch) => write!(f, "the acceptor is in epoch {}", epoch.0),
            Self::Stranger(member) => {
                write!(f, "member {} with its disk is not in the group", member.0)
            }
            Self::Copying => f.write_str("the acceptor is still copying"),
            Self::NotCopied => f.write_str("the acceptor has not copied from every survivor"),
            Self::Expired(horizon) => write!(f, "keys issued before {horizon} are expired"),
            Self::Promised(ballot) => write!(f, "ballot {} is promised", ballot.counter),
            Self::Full { bytes, limit_bytes } => {
                write!(f, "{bytes} of {limit_bytes} bytes are in use")
            }
        }
    }
}

impl error::Error for Refusal {}
