//! Orders to evacuate an availability zone, and to end it: which item is proposed for them.
//!
//! An operator states no version. The version after the one that a quorum has accepted is used, so the
//! order is decided on top of what is in force, and a competing order that is accepted in between makes
//! the proposer read again.

use std::fmt;
use std::sync::Arc;

use crate::item::Content;
use crate::item::Item;
use crate::item::Key;
use crate::item::Kind;
use crate::proposal::Plan;
use crate::proposal::QuorumRead;
use shallotrill_model::zone;

/// What an operator orders for a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// The targets of the zone take no requests.
    Start,
    /// They take requests again.
    Finish,
}

impl fmt::Display for Order {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Start => "start",
            Self::Finish => "finish",
        })
    }
}

/// Key of the item that states whether a zone is evacuated.
pub fn key(zone: &zone::Name) -> Key {
    Key {
        kind: Kind::Evacuation,
        name: zone.as_str().into(),
    }
}

/// Decides what to propose for an order, given what the replicas have accepted. No proposal of `reading` may be
/// unsettled.
///
/// An order that matches what the register contains proposes that again, so that it is in force once a majority has
/// accepted it, and changes nothing.
pub fn plan(order: Order, zone: &zone::Name, reading: &QuorumRead) -> Plan {
    let key = key(zone);
    let known = reading.get(&key);
    let is_evacuated = known.is_some_and(|item| item.content == Content::Evacuation);
    let mut items = reading.unchanged(std::slice::from_ref(&key));
    if is_evacuated != (order == Order::Start) {
        let item = Item {
            version: known.map_or(0, |item| item.version) + 1,
            content: match order {
                Order::Start => Content::Evacuation,
                Order::Finish => Content::Removed,
            },
            document: "".into(),
            key,
        };
        for proposed in &mut items {
            proposed.item = Arc::new(item.clone());
        }
    }
    Plan {
        items,
        refusal: None,
        missing: Vec::new(),
    }
}
