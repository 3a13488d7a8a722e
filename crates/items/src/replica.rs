//! What one replica holds of each item.
//!
//! Each item is a register of its own. A replica promises a ballot before it
//! shows what it has accepted, and accepts only at or above its promise, so two
//! majorities cannot settle on different contents of one version. What a
//! majority has accepted is committed; only committed items are in force.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::ballot::Ballot;
use crate::item::Item;
use crate::item::Key;

/// An item that was accepted with a ballot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// The ballot of the proposal.
    pub ballot: Ballot,
    /// The item.
    pub item: Arc<Item>,
}

/// The register of one item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Which item.
    pub key: Key,
    /// Proposals below it are refused.
    pub promised: Ballot,
    /// The latest accepted proposal.
    pub accepted: Option<Accepted>,
    /// The latest item that a majority has accepted.
    pub committed: Option<Arc<Item>>,
    /// Revision of the replica at the last change of this entry.
    pub revision: u64,
}

/// The registers of one replica.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replica {
    /// Sorted by key.
    entries: Vec<Entry>,
    revision: u64,
}

impl Replica {
    /// Rises with each change.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// All registers.
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// Registers that changed after a revision.
    pub fn since(&self, revision: u64) -> Vec<Entry> {
        let changed = self.entries.iter().filter(|e| e.revision > revision);
        changed.cloned().collect()
    }

    /// Items in force, removed ones included.
    pub fn committed(&self) -> impl Iterator<Item = &Arc<Item>> {
        self.entries.iter().filter_map(|e| e.committed.as_ref())
    }

    /// Registers with an accepted item that is not known to be committed.
    pub fn unsettled(&self) -> impl Iterator<Item = &Entry> {
        self.entries.iter().filter(|entry| {
            let accepted = entry.accepted.as_ref().map(|a| &a.item);
            accepted.is_some() && accepted != entry.committed.as_ref()
        })
    }

    /// The register of a key, if there is one.
    pub fn get(&self, key: &Key) -> Option<&Entry> {
        let at = self.entries.binary_search_by(|e| e.key.cmp(key)).ok()?;
        Some(&self.entries[at])
    }

    /// The highest ballot that any register of `keys` has promised.
    pub fn promised(&self, keys: &[Key]) -> Ballot {
        let promised = keys.iter().filter_map(|key| self.get(key));
        promised.map(|e| e.promised).max().unwrap_or_default()
    }

    /// Promises a ballot for registers and shows what they have accepted.
    ///
    /// # Errors
    ///
    /// Returns the higher ballot that one of them has promised already; nothing changes then.
    pub fn prepare(
        &mut self,
        ballot: Ballot,
        keys: &[Key],
    ) -> Result<Vec<Option<Accepted>>, Ballot> {
        let promised = self.promised(keys);
        if promised > ballot {
            return Err(promised);
        }
        let mut shown = Vec::with_capacity(keys.len());
        for key in keys {
            let entry = self.entry(key);
            entry.promised = ballot;
            shown.push(entry.accepted.clone());
        }
        Ok(shown)
    }

    /// Accepts items of a proposal.
    ///
    /// # Errors
    ///
    /// Returns the higher ballot that a register has promised; nothing changes then.
    pub fn accept(&mut self, ballot: Ballot, items: &[Arc<Item>]) -> Result<(), Ballot> {
        let keys: Vec<Key> = items.iter().map(|item| item.key.clone()).collect();
        let promised = self.promised(&keys);
        if promised > ballot {
            return Err(promised);
        }
        for item in items {
            let entry = self.entry(&item.key);
            entry.promised = ballot;
            let item = Arc::clone(item);
            entry.accepted = Some(Accepted { ballot, item });
        }
        Ok(())
    }

    /// Takes items that a majority has accepted with a ballot. Returns whether anything changed.
    pub fn commit(&mut self, ballot: Ballot, items: &[Arc<Item>]) -> bool {
        let mut changed = false;
        for item in items {
            changed |= self.settle(ballot, item);
        }
        changed
    }

    fn settle(&mut self, ballot: Ballot, item: &Arc<Item>) -> bool {
        let known = self.get(&item.key);
        let newer = known
            .and_then(|e| e.committed.as_ref())
            .is_none_or(|committed| committed.version < item.version);
        let higher = known
            .and_then(|e| e.accepted.as_ref())
            .is_none_or(|accepted| accepted.ballot < ballot);
        if !newer && !higher {
            return false;
        }
        let entry = self.entry(&item.key);
        if higher {
            let item = Arc::clone(item);
            entry.accepted = Some(Accepted { ballot, item });
        }
        if newer {
            entry.committed = Some(Arc::clone(item));
        }
        true
    }

    /// Takes the registers of another replica. Returns whether anything changed.
    ///
    /// A copy counts for nobody: only a replica that was asked to accept answers its proposer,
    /// so a copy below the own promise does no harm.
    pub fn merge(&mut self, others: &[Entry]) -> bool {
        let mut changed = false;
        for other in others {
            if let Some(committed) = &other.committed {
                let ballot = match &other.accepted {
                    Some(accepted) if accepted.item == *committed => accepted.ballot,
                    _ => Ballot::default(),
                };
                changed |= self.settle(ballot, committed);
            }
            let Some(accepted) = &other.accepted else {
                continue;
            };
            let known = self.get(&other.key);
            let higher = known
                .and_then(|e| e.accepted.as_ref())
                .is_none_or(|own| own.ballot < accepted.ballot);
            if higher {
                self.entry(&other.key).accepted = Some(accepted.clone());
                changed = true;
            }
        }
        changed
    }

    /// The register of a key, made if there is none, and marked as changed.
    fn entry(&mut self, key: &Key) -> &mut Entry {
        self.revision += 1;
        let at = match self.entries.binary_search_by(|e| e.key.cmp(key)) {
            Ok(at) => at,
            Err(at) => {
                let entry = Entry {
                    key: key.clone(),
                    promised: Ballot::default(),
                    accepted: None,
                    committed: None,
                    revision: 0,
                };
                self.entries.insert(at, entry);
                at
            }
        };
        let entry = &mut self.entries[at];
        entry.revision = self.revision;
        entry
    }
}
