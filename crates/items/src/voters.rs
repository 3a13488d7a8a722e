//! The list of voters: the registry processes whose replicas count towards a quorum.
//!
//! The list is an item of its own, so a quorum of each version agrees on the next one. It never changes because a
//! process has not been heard from: both sides of a cut would shrink it, and two quorums without a common member could
//! follow.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::ballot::Ballot;
use crate::ballot::Identity;
use crate::item::Content;
use crate::item::Item;
use crate::item::Key;
use crate::item::Kind;
use crate::proposal::Plan;
use crate::proposal::QuorumRead;
use crate::replica::Accepted;
use shallotrill_model::time::Instant;

/// A registry process in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Voter {
    /// Identity of its disk.
    pub identity: Identity,
    /// Its address when it was added. A process with the same disk may have moved.
    pub address: SocketAddr,
}

/// Key of the list.
pub fn key() -> Key {
    Key {
        kind: Kind::Voters,
        name: Arc::from(""),
    }
}

/// A version of the list as an item.
pub fn item(version: u64, list: Vec<Voter>) -> Item {
    Item {
        key: key(),
        version,
        content: Content::Voters(list),
        document: Arc::from(""),
    }
}

/// The processes of which a request wants a quorum, when no version of the list has been in force: those that are to be
/// its first version. All of them must agree.
pub fn first(list: Vec<Voter>) -> Accepted {
    Accepted {
        ballot: Ballot::default(),
        item: Arc::new(item(0, list)),
    }
}

/// The list that an item contains; empty for any other item.
pub fn of(item: &Item) -> &[Voter] {
    match &item.content {
        Content::Voters(list) => list,
        _ => &[],
    }
}

/// Plans the version after `base`. Proposes nothing if that is not the version in force.
pub fn plan(base: u64, list: &[Voter], reading: &QuorumRead) -> Plan {
    let keys = [key()];
    let version = reading.get(&keys[0]).map_or(0, |item| item.version);
    let mut items = Vec::new();
    if version == base {
        items = reading.unchanged(&keys);
        for proposed in &mut items {
            proposed.item = Arc::new(item(base + 1, list.to_vec()));
        }
    }
    Plan {
        items,
        refusal: None,
        missing: Vec::new(),
    }
}

/// Latest time at or after which each member of a quorum was in contact, from the time of the contact with each voter;
/// `None` if fewer were.
pub fn quorum_contact(contacts: impl Iterator<Item = Instant>, quorum: usize) -> Option<Instant> {
    let mut contacts: Vec<Instant> = contacts.collect();
    contacts.sort_unstable_by(|a, b| b.cmp(a));
    contacts.get(quorum.checked_sub(1)?).copied()
}
