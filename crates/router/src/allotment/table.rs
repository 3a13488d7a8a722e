//! Credit of the workspaces in use, and the registry processes that are asked for it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::follow::Contact;
use shallotrill_feed::link::Link;
use shallotrill_limits::allotment::Ask;
use shallotrill_limits::allotment::Limit;
use shallotrill_limits::allotment::share::Share;
use shallotrill_model::time::Instant;
use shallotrill_model::workspace;

/// A router returns to an owner that did not reply after this much time of uninterrupted contact, so that an owner that
/// has restarted has filled its buckets.
const RETURN_DELAY: Duration = Duration::from_secs(1);

/// A registry process as the owner of counts.
#[derive(Debug)]
pub(super) struct Owner {
    pub(super) link: Arc<Link>,
    /// Time of the last request without a reply, or of the last lost contact.
    pub(super) failed_at: Option<Instant>,
    /// A task exchanges messages with it.
    pub(super) is_busy: bool,
}

impl Owner {
    fn is_usable(&self, contact: &Contact, now: Instant) -> bool {
        let Some(since) = contact.since else {
            return false;
        };
        self.failed_at.is_none_or(|failed_at| {
            let heard_since = contact.last.is_some_and(|last| last > failed_at);
            heard_since && now.since(failed_at.max(since)) >= RETURN_DELAY
        })
    }
}

/// Credit of one workspace, with the registry process that is asked for it.
#[derive(Debug)]
pub(super) struct Account {
    pub(super) share: Share,
    pub(super) owner: Option<SocketAddr>,
    is_substitute: bool,
    /// A registry process that does not know the allotment yet, and when it said so.
    pub(super) uninformed: Option<(SocketAddr, Instant)>,
}

/// Credit of all workspaces in use.
#[derive(Debug, Default)]
pub struct Table {
    /// Sorted by workspace.
    pub(super) accounts: Vec<Account>,
    /// Sorted by address.
    pub(super) owners: Vec<Owner>,
}

impl Table {
    pub(super) fn account(&mut self, name: &workspace::Name) -> Option<&mut Account> {
        let index = self.position(name).ok()?;
        Some(&mut self.accounts[index])
    }

    fn position(&self, name: &workspace::Name) -> Result<usize, usize> {
        self.accounts
            .binary_search_by(|a| a.share.workspace().cmp(name))
    }

    pub(super) fn record_arrival(&mut self, name: &workspace::Name, limit: Limit, now: Instant) {
        let index = self.position(name).unwrap_or_else(|index| {
            let account = Account {
                share: Share::new(name.clone(), limit, now),
                owner: None,
                is_substitute: false,
                uninformed: None,
            };
            self.accounts.insert(index, account);
            index
        });
        let share = &mut self.accounts[index].share;
        share.set_limit(limit, now);
        share.record_arrival(now);
    }

    pub(super) fn owner(&mut self, address: SocketAddr) -> &mut Owner {
        let index = self
            .owners
            .binary_search_by_key(&address, |o| o.link.address());
        let index = index.unwrap_or_else(|index| {
            let owner = Owner {
                link: Arc::new(Link::new(address)),
                failed_at: None,
                is_busy: false,
            };
            self.owners.insert(index, owner);
            index
        });
        &mut self.owners[index]
    }

    /// Chooses the owner of a workspace: the first usable one in its order. Returns whether there is one.
    pub(super) fn choose_owner(
        &mut self,
        name: &workspace::Name,
        contacts: &[Contact],
        now: Instant,
    ) -> bool {
        let Some(uninformed) = self.account(name).map(|account| account.uninformed) else {
            return false;
        };
        let mut chosen = None;
        for (position, contact) in in_order(name, contacts).into_iter().enumerate() {
            let owner = self.owner(contact.registry);
            if contact.since.is_none() && contact.last.is_some() {
                owner.failed_at = Some(now);
            }
            let is_uninformed = uninformed.is_some_and(|(registry, at)| {
                registry == contact.registry && now.since(at) < RETURN_DELAY
            });
            if owner.is_usable(&contact, now) && !is_uninformed {
                chosen = Some((contact.registry, position > 0));
                break;
            }
        }
        let Some(account) = self.account(name) else {
            return false;
        };
        account.owner = chosen.map(|(registry, _)| registry);
        account.is_substitute = chosen.is_some_and(|(_, is_substitute)| is_substitute);
        chosen.is_some()
    }

    /// Requests for an owner that are due.
    pub(super) fn asks(&mut self, owner: SocketAddr, now: Instant) -> Vec<Ask> {
        let accounts = self.accounts.iter_mut();
        let accounts = accounts.filter(|account| account.owner == Some(owner));
        accounts
            .filter_map(|a| a.share.ask(owner, a.is_substitute, now))
            .collect()
    }
}

/// The registry processes in the order in which they own the count of a workspace (rendezvous hashing). It is the same
/// at every router, and the loss of one process moves only the counts that it owned.
fn in_order(name: &workspace::Name, contacts: &[Contact]) -> Vec<Contact> {
    let weight = |contact: &Contact| {
        let mut hasher = blake3::Hasher::new();
        hasher.update(contact.registry.to_string().as_bytes());
        hasher.update(name.as_str().as_bytes());
        *hasher.finalize().as_bytes()
    };
    let mut ordered = contacts.to_vec();
    ordered.sort_by_cached_key(weight);
    ordered
}
