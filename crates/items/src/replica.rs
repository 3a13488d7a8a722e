//! The state of one replica: a register of the agreement protocol for each item.
//!
//! The registers are independent of each other. A replica promises a ballot
//! before it returns what it has accepted, and accepts only ballots at or above
//! its promise, so two majorities cannot choose different contents of one
//! version. An item that a majority has accepted is committed; only committed
//! items are in effect.

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
    /// Key of the item.
    pub key: Key,
    /// Highest ballot that was promised; proposals below it are refused.
    pub promised: Ballot,
    /// Accepted proposal with the highest ballot; `None` if none was accepted.
    pub accepted: Option<Accepted>,
    /// Highest version that a majority has accepted, as far as this replica knows.
    pub committed: Option<Arc<Item>>,
    /// Value of [`Replica::revision`] after the last change of this register.
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
    /// Counter that rises with each change of a register. Local to this replica.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// All registers.
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// Copies of the registers that changed after a revision of this replica.
    pub fn since(&self, revision: u64) -> Vec<Entry> {
        let changed = self.entries.iter().filter(|e| e.revision > revision);
        changed.cloned().collect()
    }

    /// Committed items, including removed ones.
    pub fn committed(&self) -> impl Iterator<Item = &Arc<Item>> {
        self.entries.iter().filter_map(|e| e.committed.as_ref())
    }

    /// Registers with an accepted item that this replica does not know to be committed.
    pub fn uncommitted(&self) -> impl Iterator<Item = &Entry> {
        self.entries.iter().filter(|entry| {
            let accepted = entry.accepted.as_ref().map(|a| &a.item);
            accepted.is_some() && accepted != entry.committed.as_ref()
        })
    }

    /// The register of a key, if there is one.
    pub fn get(&self, key: &Key) -> Option<&Entry> {
        let index = self.entries.binary_search_by(|e| e.key.cmp(key)).ok()?;
        Some(&self.entries[index])
    }

    /// The highest ballot that any register of `keys` has promised.
    pub fn promised(&self, keys: &[Key]) -> Ballot {
        let promised = keys.iter().filter_map(|key| self.get(key));
        promised.map(|e| e.promised).max().unwrap_or_default()
    }

    /// Promises a ballot for the registers of `keys` and returns what they have accepted, in the order of `keys`.
    ///
    /// # Errors
    ///
    /// Returns the higher ballot that one of the registers has promised; in that case no register changes.
    pub fn prepare(
        &mut self,
        ballot: Ballot,
        keys: &[Key],
    ) -> Result<Vec<Option<Accepted>>, Ballot> {
        let promised = self.promised(keys);
        if promised > ballot {
            return Err(promised);
        }
        let mut accepted = Vec::with_capacity(keys.len());
        for key in keys {
            let entry = self.entry_mut(key);
            entry.promised = ballot;
            accepted.push(entry.accepted.clone());
        }
        Ok(accepted)
    }

    /// Accepts the items of a proposal.
    ///
    /// # Errors
    ///
    /// Returns the higher ballot that one of the registers has promised; in that case no item is accepted.
    pub fn accept(&mut self, ballot: Ballot, items: &[Arc<Item>]) -> Result<(), Ballot> {
        let keys: Vec<Key> = items.iter().map(|item| item.key.clone()).collect();
        let promised = self.promised(&keys);
        if promised > ballot {
            return Err(promised);
        }
        for item in items {
            let entry = self.entry_mut(&item.key);
            entry.promised = ballot;
            let item = Arc::clone(item);
            entry.accepted = Some(Accepted { ballot, item });
        }
        Ok(())
    }

    /// Records items that a majority has accepted with a ballot. Returns whether a register changed.
    pub fn commit(&mut self, ballot: Ballot, items: &[Arc<Item>]) -> bool {
        let mut changed = false;
        for item in items {
            changed |= self.commit_item(ballot, item);
        }
        changed
    }

    fn commit_item(&mut self, ballot: Ballot, item: &Arc<Item>) -> bool {
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
        let entry = self.entry_mut(&item.key);
        if higher {
            let item = Arc::clone(item);
            entry.accepted = Some(Accepted { ballot, item });
        }
        if newer {
            entry.committed = Some(Arc::clone(item));
        }
        true
    }

    /// Merges the registers of another replica. Returns whether a register changed.
    ///
    /// A merged item may have a ballot below the local promise. That is safe, since a copy does not
    /// count towards a majority: only a replica that received the accept request replies to the proposer.
    pub fn merge(&mut self, others: &[Entry]) -> bool {
        let mut changed = false;
        for other in others {
            if let Some(committed) = &other.committed {
                let ballot = match &other.accepted {
                    Some(accepted) if accepted.item == *committed => accepted.ballot,
                    _ => Ballot::default(),
                };
                changed |= self.commit_item(ballot, committed);
            }
            let Some(accepted) = &other.accepted else {
                continue;
            };
            let known = self.get(&other.key);
            let higher = known
                .and_then(|e| e.accepted.as_ref())
                .is_none_or(|local| local.ballot < accepted.ballot);
            if higher {
                self.entry_mut(&other.key).accepted = Some(accepted.clone());
                changed = true;
            }
        }
        changed
    }

    /// Returns the register of a key, creates it if it does not exist, and marks it as changed.
    fn entry_mut(&mut self, key: &Key) -> &mut Entry {
        self.revision += 1;
        let index = match self.entries.binary_search_by(|e| e.key.cmp(key)) {
            Ok(index) => index,
            Err(index) => {
                let entry = Entry {
                    key: key.clone(),
                    promised: Ballot::default(),
                    accepted: None,
                    committed: None,
                    revision: 0,
                };
                self.entries.insert(index, entry);
                index
            }
        };
        let entry = &mut self.entries[index];
        entry.revision = self.revision;
        entry
    }
}
