//! The state of one replica: a register of the agreement protocol for each item.
//!
//! The registers are independent of each other. A replica promises a ballot
//! before it returns what it has accepted, and accepts only ballots at or above
//! its promise, so two majorities cannot choose different contents of one
//! version. An item that a majority has accepted is committed; only committed
//! items are in effect.
//!
//! A proposal of several items is accepted as a whole. Until it is committed, a
//! replica keeps it with the items that it replaces, so that a later proposer
//! completes or withdraws all of it.

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

/// An item of a proposal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proposed {
    /// The item.
    pub item: Arc<Item>,
    /// What the register contains when the proposal is withdrawn.
    pub previous: Arc<Item>,
}

impl Proposed {
    /// Proposes again what a register contains.
    pub fn unchanged(item: Arc<Item>) -> Self {
        Self {
            previous: Arc::clone(&item),
            item,
        }
    }
}

/// A proposal that a replica has accepted and does not know to be committed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proposal {
    /// Ballot of the proposal.
    pub ballot: Ballot,
    /// All its items, sorted by key.
    pub items: Vec<Proposed>,
    /// Value of [`Replica::revision`] when it was accepted or copied.
    pub revision: u64,
}

/// Reply to a prepare request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Promise {
    /// What the replica has accepted for each key, in the order of the keys.
    pub accepted: Vec<Option<Accepted>>,
    /// The uncommitted proposals from which these items come.
    pub proposals: Vec<Proposal>,
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
    /// Uncommitted proposals, sorted by ballot. The last field, since stored replicas of earlier releases lack it.
    proposals: Vec<Proposal>,
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

    /// Uncommitted proposals that were added after a revision of this replica.
    pub fn proposals_since(&self, revision: u64) -> Vec<Proposal> {
        let added = self.proposals.iter().filter(|p| p.revision > revision);
        added.cloned().collect()
    }

    /// Committed items, including removed ones.
    pub fn committed(&self) -> impl Iterator<Item = &Arc<Item>> {
        self.entries.iter().filter_map(|e| e.committed.as_ref())
    }

    /// Registers with an accepted item that this replica does not know to be committed.
    pub fn uncommitted(&self) -> impl Iterator<Item = &Entry> {
        let entries = self.entries.iter();
        entries.filter(|entry| entry.accepted.is_some() && !is_committed(entry))
    }

    /// The register of a key, if there is one.
    pub fn get(&self, key: &Key) -> Option<&Entry> {
        let index = self.entries.binary_search_by(|e| e.key.cmp(key)).ok()?;
        Some(&self.entries[index])
    }

    /// The highest ballot that any register of `keys` has promised, or has accepted by a copy.
    pub fn promised(&self, keys: &[Key]) -> Ballot {
        let entries = keys.iter().filter_map(|key| self.get(key));
        let promised = entries.map(|entry| {
            let accepted = entry.accepted.as_ref().map(|a| a.ballot);
            entry.promised.max(accepted.unwrap_or_default())
        });
        promised.max().unwrap_or_default()
    }

    /// Promises a ballot for the registers of `keys` and returns what they have accepted.
    ///
    /// # Errors
    ///
    /// Returns the higher ballot that one of the registers has promised; in that case no register changes.
    pub fn prepare(&mut self, ballot: Ballot, keys: &[Key]) -> Result<Promise, Ballot> {
        let promised = self.promised(keys);
        if promised > ballot {
            return Err(promised);
        }
        let mut promise = Promise::default();
        for key in keys {
            let entry = self.entry_mut(key);
            entry.promised = ballot;
            let accepted = entry.accepted.clone();
            promise.accepted.push(accepted);
        }
        let accepted = promise.accepted.iter().flatten();
        let mut ballots: Vec<Ballot> = accepted.map(|accepted| accepted.ballot).collect();
        ballots.sort_unstable();
        let proposals = self.proposals.iter();
        let proposals = proposals.filter(|p| ballots.binary_search(&p.ballot).is_ok());
        promise.proposals = proposals.cloned().collect();
        Ok(promise)
    }

    /// Accepts the items of a proposal, which are sorted by key.
    ///
    /// # Errors
    ///
    /// Returns the higher ballot that one of the registers has promised; in that case no item is accepted.
    pub fn accept(&mut self, ballot: Ballot, items: &[Proposed]) -> Result<(), Ballot> {
        let keys: Vec<Key> = items.iter().map(|p| p.item.key.clone()).collect();
        let promised = self.promised(&keys);
        if promised > ballot {
            return Err(promised);
        }
        for proposed in items {
            let entry = self.entry_mut(&proposed.item.key);
            entry.promised = ballot;
            let item = Arc::clone(&proposed.item);
            entry.accepted = Some(Accepted { ballot, item });
        }
        self.add_proposal(&Proposal {
            ballot,
            items: items.to_vec(),
            revision: 0,
        });
        self.prune_proposals();
        Ok(())
    }

    fn add_proposal(&mut self, proposal: &Proposal) {
        let found = self
            .proposals
            .binary_search_by(|known| known.ballot.cmp(&proposal.ballot));
        if let Err(index) = found {
            let revision = self.revision;
            let items = proposal.items.clone();
            let ballot = proposal.ballot;
            let proposal = Proposal {
                ballot,
                items,
                revision,
            };
            self.proposals.insert(index, proposal);
        }
    }

    /// Removes the proposals of which every item is committed or was replaced by a later proposal.
    fn prune_proposals(&mut self) {
        let entries = &self.entries;
        self.proposals.retain(|proposal| {
            proposal.items.iter().any(|proposed| {
                let index = entries.binary_search_by(|e| e.key.cmp(&proposed.item.key));
                let entry = index.ok().map(|index| &entries[index]);
                entry.is_some_and(|entry| {
                    let accepted = entry.accepted.as_ref();
                    accepted.is_some_and(|a| a.ballot == proposal.ballot) && !is_committed(entry)
                })
            })
        });
    }

    /// Records items that a majority has accepted with a ballot. Returns whether a register changed.
    pub fn commit(&mut self, ballot: Ballot, items: &[Arc<Item>]) -> bool {
        let mut changed = false;
        for item in items {
            changed |= self.commit_item(ballot, item);
        }
        if changed {
            self.prune_proposals();
        }
        changed
    }

    fn commit_item(&mut self, ballot: Ballot, item: &Arc<Item>) -> bool {
        let known = self.get(&item.key);
        let newer = known
            .and_then(|e| e.committed.as_ref())
            .is_none_or(|committed| committed.version < item.version)
            && !item.is_absent();
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

    /// Merges registers and uncommitted proposals of another replica. Returns whether a register changed.
    ///
    /// A merged item may have a ballot below the local promise. That is safe, since a copy does not
    /// count towards a majority: only a replica that received the accept request replies to the proposer.
    pub fn merge(&mut self, others: &[Entry], proposals: &[Proposal]) -> bool {
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
        for proposal in proposals {
            self.add_proposal(proposal);
        }
        if changed || !proposals.is_empty() {
            self.prune_proposals();
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

/// Whether the accepted item of a register is known to be committed, or needs no commit.
fn is_committed(entry: &Entry) -> bool {
    let accepted = entry.accepted.as_ref().map(|accepted| &accepted.item);
    match (accepted, &entry.committed) {
        (Some(accepted), None) => accepted.is_absent(),
        (accepted, committed) => accepted == committed.as_ref(),
    }
}
