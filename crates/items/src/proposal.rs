//! The proposer's decision: which items it proposes, given what the replicas have accepted.
//!
//! The registers of a change are accepted together, but each is agreed on by
//! itself: a competing proposal can win one of them while some replicas have
//! accepted all the others. So a change is proposed only on top of items that a
//! quorum has accepted. A proposer that finds an unsettled proposal reads all its
//! registers, and first completes or withdraws it as a whole. Otherwise the
//! remaining items of a refused change would come into force later.

use std::sync::Arc;

use crate::ballot::Ballot;
use crate::change::Refusal;
use crate::check;
use crate::holder;
use crate::item::Item;
use crate::item::Key;
use crate::replica::Accepted;
use crate::replica::Promise;
use crate::replica::Proposal;
use crate::replica::Proposed;

/// What a quorum of replicas has accepted for each of `keys`: the item with the highest ballot, and the uncommitted
/// proposals.
#[derive(Clone, Debug)]
pub struct QuorumRead {
    /// Sorted.
    keys: Vec<Key>,
    latest: Vec<Option<Accepted>>,
    /// Sorted by ballot.
    proposals: Vec<Proposal>,
}

impl QuorumRead {
    /// Creates a set without any reply. `keys` must be sorted.
    pub fn new(keys: Vec<Key>) -> Self {
        let latest = vec![None; keys.len()];
        Self {
            keys,
            latest,
            proposals: Vec::new(),
        }
    }

    /// Merges the reply of one replica.
    pub fn add(&mut self, promise: Promise) {
        for (latest, accepted) in self.latest.iter_mut().zip(promise.accepted) {
            if accepted.as_ref().map(|s| s.ballot) > latest.as_ref().map(|l| l.ballot) {
                *latest = accepted;
            }
        }
        for proposal in promise.proposals {
            let found = self
                .proposals
                .binary_search_by(|known| known.ballot.cmp(&proposal.ballot));
            if let Err(index) = found {
                self.proposals.insert(index, proposal);
            }
        }
    }

    /// Registers that must be read too: those of unsettled proposals of which an item was found.
    pub fn missing_keys(&self, settled: &[Ballot]) -> Vec<Key> {
        let proposals = self.unsettled_proposals(settled);
        let items = proposals.flat_map(|proposal| &proposal.items);
        let keys = items.map(|proposed| &proposed.item.key);
        let missing = keys.filter(|key| self.keys.binary_search(key).is_err());
        missing.cloned().collect()
    }

    /// The proposal with the highest ballot that is neither committed nor among those with the ballots `settled`:
    /// its items if it may have been accepted by a quorum, otherwise the items that it was to replace. To be
    /// proposed before anything else.
    pub fn unsettled(&self, settled: &[Ballot]) -> Option<Vec<Proposed>> {
        let proposals = self.unsettled_proposals(settled);
        let proposal = proposals.max_by_key(|proposal| proposal.ballot)?;
        let is_live = self.is_live(proposal);
        let items = proposal.items.iter();
        // The other registers contain items that a quorum has accepted since.
        let items = items.filter(|p| self.is_latest(proposal.ballot, &p.item.key));
        let settle = |proposed: &Proposed| {
            if is_live {
                proposed.clone()
            } else {
                Proposed::unchanged(Arc::clone(&proposed.previous))
            }
        };
        Some(items.map(settle).collect())
    }

    /// The uncommitted proposals of which at least one item has the highest ballot of its register.
    fn unsettled_proposals(&self, settled: &[Ballot]) -> impl Iterator<Item = &Proposal> {
        let proposals = self.proposals.iter();
        proposals.filter(|proposal| {
            let mut items = proposal.items.iter();
            !settled.contains(&proposal.ballot)
                && items.any(|proposed| self.is_latest(proposal.ballot, &proposed.item.key))
        })
    }

    /// Whether the item with the highest ballot of a register comes from the proposal with this ballot.
    fn is_latest(&self, ballot: Ballot, key: &Key) -> bool {
        self.latest(key)
            .is_some_and(|latest| latest.ballot == ballot)
    }

    /// Whether no register of a proposal contradicts it: each contains its item or a later version.
    ///
    /// If a quorum has accepted the proposal, every later proposer has read it and proposed the same items or later
    /// versions, so a register with anything else shows that no quorum has and that none will.
    fn is_live(&self, proposal: &Proposal) -> bool {
        proposal.items.iter().all(|proposed| {
            let latest = self.latest(&proposed.item.key);
            latest.is_some_and(|latest| {
                latest.ballot == proposal.ballot
                    || latest.item.version > proposed.item.version
                    || latest.item.is_same(&proposed.item)
            })
        })
    }

    fn latest(&self, key: &Key) -> Option<&Accepted> {
        let index = self.keys.binary_search(key).ok()?;
        self.latest[index].as_ref()
    }

    /// Whether the register of a key was read.
    pub fn contains(&self, key: &Key) -> bool {
        self.keys.binary_search(key).is_ok()
    }

    /// The item of a register; `None` if there is none.
    pub fn get(&self, key: &Key) -> Option<&Arc<Item>> {
        let latest = self.latest(key)?;
        (!latest.item.is_absent()).then_some(&latest.item)
    }

    /// Whether a register contains an item of a proposal with one of the ballots `settled`.
    pub fn is_settled(&self, key: &Key, settled: &[Ballot]) -> bool {
        let latest = self.latest(key);
        latest.is_some_and(|latest| settled.contains(&latest.ballot))
    }

    /// Proposes again what registers contain. A register without an item gets [`Item::absent`], which a withdrawn item
    /// with a lower ballot cannot replace.
    pub fn unchanged(&self, keys: &[Key]) -> Vec<Proposed> {
        let contained = |key: &Key| match self.latest(key) {
            Some(latest) => Arc::clone(&latest.item),
            None => Arc::new(Item::absent(key.clone())),
        };
        let contained = keys.iter().map(contained);
        contained.map(Proposed::unchanged).collect()
    }
}

/// The items to propose to the replicas, and the reply to the operator once a majority has accepted them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Items to propose, sorted by key. An item that a replica has accepted before is proposed again, so that a
    /// majority accepts it.
    pub items: Vec<Proposed>,
    /// Why the change is refused, or `None` if it is accepted. `items` then contains what the registers of the change
    /// contain without it: the refused change could still come into force until a majority has accepted that.
    pub refusal: Option<Refusal>,
    /// Registers that must be read before the change can be planned; `items` is empty then.
    pub missing: Vec<Key>,
}

/// Decides which items to propose for a change, given what the replicas have accepted. No proposal of `reading` may be
/// unsettled.
pub fn plan(change: &[Item], reading: &QuorumRead) -> Plan {
    let is_superseded = |item: &Item| {
        let mut others = change.iter();
        others.any(|other| other.key == item.key && other.version > item.version)
    };
    let wanted: Vec<&Item> = change.iter().filter(|i| !is_superseded(i)).collect();
    let missing = holder::missing_keys(&wanted, reading);
    if !missing.is_empty() {
        return Plan {
            items: Vec::new(),
            refusal: None,
            missing,
        };
    }
    let current = |key: &Key| reading.get(key).map(|item| &**item);
    let refusal = check::check_change(change, &current)
        .err()
        .or_else(|| conflict(&wanted, reading));
    let (holders, refusal) = match (holder::items(&wanted, reading), refusal) {
        (Ok(holders), None) => (holders, None),
        (Err(shared), None) => (Vec::new(), Some(shared)),
        (_, refusal) => (Vec::new(), refusal),
    };
    let wanted: Vec<&Item> = wanted.into_iter().chain(&holders).collect();
    if refusal.as_ref().is_some_and(|r| !r.depends_on_others()) {
        return Plan {
            items: Vec::new(),
            refusal,
            missing: Vec::new(),
        };
    }
    let mut keys: Vec<Key> = wanted.iter().map(|item| item.key.clone()).collect();
    keys.sort();
    keys.dedup();
    let mut items = reading.unchanged(&keys);
    if refusal.is_none() {
        for item in wanted {
            let Ok(index) = items.binary_search_by(|p| p.item.key.cmp(&item.key)) else {
                continue;
            };
            let known = &items[index].previous;
            if known.is_absent() || known.version < item.version {
                items[index].item = Arc::new(item.clone());
            }
        }
    }
    Plan {
        items,
        refusal,
        missing: Vec::new(),
    }
}

/// The first item of a change whose version exists with different content.
fn conflict(wanted: &[&Item], reading: &QuorumRead) -> Option<Refusal> {
    let conflicting = wanted.iter().find(|item| {
        let known = reading.get(&item.key);
        known.is_some_and(|known| known.version == item.version && !known.is_same(item))
    });
    conflicting.map(|item| Refusal::Conflict {
        key: item.key.clone(),
        version: item.version,
    })
}
