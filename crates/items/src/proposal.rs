//! What a proposer makes of the answers of the replicas.

use std::sync::Arc;

use crate::change::Refusal;
use crate::check;
use crate::item::Item;
use crate::item::Key;
use crate::replica::Accepted;

/// The latest accepted items that the replicas showed for `keys`.
#[derive(Clone, Debug)]
pub struct Reading {
    keys: Vec<Key>,
    latest: Vec<Option<Accepted>>,
}

impl Reading {
    /// Nothing shown yet.
    pub fn new(keys: Vec<Key>) -> Self {
        let latest = vec![None; keys.len()];
        Self { keys, latest }
    }

    /// Takes what one replica showed, in the order of the keys.
    pub fn add(&mut self, shown: Vec<Option<Accepted>>) {
        for (latest, shown) in self.latest.iter_mut().zip(shown) {
            if shown.as_ref().map(|s| s.ballot) > latest.as_ref().map(|l| l.ballot) {
                *latest = shown;
            }
        }
    }

    /// The latest item of a key.
    pub fn get(&self, key: &Key) -> Option<&Arc<Item>> {
        let at = self.keys.binary_search(key).ok()?;
        self.latest[at].as_ref().map(|accepted| &accepted.item)
    }
}

/// What is proposed to the replicas, and what the operator is told once a majority has accepted it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Items to be accepted. An older accepted item is proposed again, so that it is settled.
    pub items: Vec<Arc<Item>>,
    /// Why the change is refused, if it is. The items are proposed all the same: only once the
    /// content that stands in its way is settled can the change no longer come into force.
    pub refusal: Option<Refusal>,
}

/// Decides what becomes of a change, given what the replicas have accepted.
pub fn plan(change: &[Item], reading: &Reading) -> Plan {
    let current = |key: &Key| reading.get(key).map(|item| &**item);
    if let Err(refusal) = check::check(change, &current) {
        return Plan {
            items: Vec::new(),
            refusal: Some(refusal),
        };
    }
    let mut items = Vec::with_capacity(change.len());
    let mut held = Vec::new();
    let mut refusal = None;
    for item in change {
        let overtaken = |other: &Item| other.key == item.key && other.version > item.version;
        let repeats = |other: &Arc<Item>| other.key == item.key;
        if change.iter().any(overtaken) || items.iter().any(repeats) {
            continue;
        }
        match reading.get(&item.key) {
            Some(known) if known.version >= item.version => {
                if known.version == item.version && !same(known, item) {
                    refusal.get_or_insert(Refusal::Conflict {
                        key: item.key.clone(),
                        version: item.version,
                    });
                }
                held.push(Arc::clone(known));
            }
            _ => items.push(Arc::new(item.clone())),
        }
    }
    // No part of a refused change may come into force.
    if refusal.is_some() {
        items.clear();
    }
    items.append(&mut held);
    Plan { items, refusal }
}

fn same(known: &Item, item: &Item) -> bool {
    known.content == item.content && known.document == item.document
}
