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

/// Request of a proposer to an acceptor.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Message {
    /// Requests a promise to accept no lower ballot.
    Prepare {
        /// Key of the register.
        key: Key,
        /// Ballot of the round.
        ballot: Ballot,
    },
    /// Requests the acceptance of a record.
    Accept {
        /// Key of the register.
        key: Key,
        /// Ballot of the round.
        ballot: Ballot,
        /// The record.
        record: Record,
    },
}

/// Response of an acceptor.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reply {
    /// The promise is given; contains the record accepted under the highest ballot, if any.
    Promised(Option<Accepted>),
    /// The record is accepted.
    Accepted,
    /// The request is refused.
    Refused(Refusal),
}

/// Why an acceptor refuses a message or an epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// The acceptor is in another epoch; contains that epoch.
    Epoch(epoch::Number),
    /// The acceptor, with its current disk, is not a member of the group.
    Stranger(epoch::Member),
    /// The acceptor is still copying and gives no promises.
    Copying,
    /// The acceptor would vote in the epoch without having copied from every voting member.
    NotCopied,
    /// The key was issued before the horizon; contains the horizon.
    Expired(time::Wall),
    /// The acceptor promised a higher ballot; contains that ballot.
    Promised(Ballot),
    /// The memory limit does not allow the new or larger record.
    Full {
        /// Bytes in use.
        bytes: usize,
        /// Limit that applies to the key.
        limit_bytes: usize,
    },
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Epoch(epoch) => write!(f, "the acceptor is in epoch {}", epoch.0),
            Self::Stranger(member) => {
                write!(
                    f,
                    "member {} with its current disk is not in the claim group",
                    member.0
                )
            }
            Self::Copying => f.write_str("the acceptor is still copying and gives no promises"),
            Self::NotCopied => {
                f.write_str("the acceptor cannot vote: it has not copied from every voting member")
            }
            Self::Expired(horizon) => write!(f, "keys issued before {horizon} are expired"),
            Self::Promised(ballot) => write!(
                f,
                "the acceptor has promised a higher ballot with counter {}",
                ballot.counter
            ),
            Self::Full { bytes, limit_bytes } => {
                write!(
                    f,
                    "the table of registers is full: {bytes} of {limit_bytes} bytes are in use"
                )
            }
        }
    }
}

impl error::Error for Refusal {}
