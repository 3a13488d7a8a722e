//! Journal entries that an acceptor makes durable before it replies.

use serde::Deserialize;
use serde::Serialize;

use crate::ballot::Ballot;
use crate::epoch::Group;
use crate::epoch::Member;
use crate::key::Key;
use crate::record::Record;
use shallotrill_model::time;

/// One entry of the journal. Entries are replayed in the order in which they were returned.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Write {
    /// The member entered an epoch.
    Enter(Group),
    /// The member promised to accept no lower ballot.
    Promise(Key, Ballot),
    /// The member accepted a record.
    Accept(Key, Ballot, Record),
    /// The member copied a register from another member.
    Copy(Register),
    /// The member has copied all registers of a voting member.
    Copied(Member),
    /// The member refuses all keys issued before this time.
    Retire(time::Wall),
}

/// The durable state of one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Register {
    /// Key that names the register.
    pub key: Key,
    /// Highest promised ballot; no lower one is accepted.
    pub promised: Ballot,
    /// The accepted record and the ballot under which it was accepted.
    pub accepted: Option<Accepted>,
}

/// An accepted record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Accepted {
    /// Ballot of the acceptance.
    pub ballot: Ballot,
    /// The record.
    pub record: Record,
}

impl Register {
    /// Creates a register without a promise or an accepted record.
    pub fn new(key: Key) -> Self {
        Self {
            key,
            promised: Ballot::default(),
            accepted: None,
        }
    }

    /// Estimates the memory that the register uses, without unused capacity of its table.
    pub fn bytes(&self) -> usize {
        let accepted = self.accepted.as_ref();
        let record = accepted.map_or(0, |a| a.record.heap_bytes());
        size_of::<Self>() + self.key.heap_bytes() + record
    }
}
