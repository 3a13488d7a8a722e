//! The proposer's decision: which items it proposes, given what the replicas have accepted.

use std::sync::Arc;

use crate::change::Refusal;
use crate::check;
use crate::item::Item;
use crate::item::Key;
use crate::replica::Accepted;

/// For each of `keys`, the accepted item with the highest ballot among the replies to a prepare request.
#[derive(Clone, Debug)]
pub struct QuorumRead {
    keys: Vec<Key>,
    latest: Vec<Option<Accepted>>,
}

impl QuorumRead {
    /// Creates a set without any reply. `keys` must be sorted.
    pub fn new(keys: Vec<Key>) -> Self {
        let latest = vec![None; keys.len()];
        Self { keys, latest }
    }

    /// Merges the accepted items of one replica, given in the order of the keys.
    pub fn add(&mut self, accepted: Vec<Option<Accepted>>) {
        for (latest, accepted) in self.latest.iter_mut().zip(accepted) {
            if accepted.as_ref().map(|s| s.ballot) > latest.as_ref().map(|l| l.ballot) {
                *latest = accepted;
            }
        }
    }

    /// The accepted item of a key with the highest ballot; `None` if no replica has accepted one.
    pub fn get(&self, key: &Key) -> Option<&Arc<Item>> {
        let index = self.keys.binary_search(key).ok()?;
        self.latest[index].as_ref().map(|accepted| &accepted.item)
    }
}

/// The items to propose to the replicas, and the reply to the operator once a majority has accepted them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Items to propose. An item that a replica has accepted before is proposed again, so that a majority accepts it.
    pub items: Vec<Arc<Item>>,
    /// Why the change is refused, or `None` if it is accepted. After a conflict, `items` contains the
    /// conflicting item: it is proposed again before the refusal is reported, because the refused change
    /// could still take effect until a majority has accepted the conflicting content.
    pub refusal: Option<Refusal>,
}

/// Decides which items to propose for a change, given what the replicas have accepted.
pub fn plan(change: &[Item], reading: &QuorumRead) -> Plan {
    let current = |key: &Key| reading.get(key).map(|item| &**item);
    if let Err(refusal) = check::check_change(change, &current) {
        return Plan {
            items: Vec::new(),
            refusal: Some(refusal),
        };
    }
    let mut items = Vec::with_capacity(change.len());
    let mut known_items = Vec::new();
    let mut refusal = None;
    for item in change {
        let is_superseded = |other: &Item| other.key == item.key && other.version > item.version;
        let is_planned = |other: &Arc<Item>| other.key == item.key;
        if change.iter().any(is_superseded) || items.iter().any(is_planned) {
            continue;
        }
        match reading.get(&item.key) {
            Some(known) if known.version >= item.version => {
                if known.version == item.version && !has_same_content(known, item) {
                    refusal.get_or_insert(Refusal::Conflict {
                        key: item.key.clone(),
                        version: item.version,
                    });
                }
                known_items.push(Arc::clone(known));
            }
            _ => items.push(Arc::new(item.clone())),
        }
    }
    // A refused change must not be applied in part.
    if refusal.is_some() {
        items.clear();
    }
    items.append(&mut known_items);
    Plan { items, refusal }
}

fn has_same_content(known: &Item, item: &Item) -> bool {
    known.content == item.content && known.document == item.document
}
