//! Requests and replies.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use shallotrill_items::ballot::Ballot;
use shallotrill_items::item::Item;
use shallotrill_items::item::Key;
use shallotrill_items::replica::Accepted;
use shallotrill_items::replica::Entry;
use shallotrill_items::roster::Member;
use shallotrill_model::target::Target;
use shallotrill_retry::containment::Fact;

/// Version of the messages; another one is refused.
pub const VERSION: u8 = 2;

/// A router and the backend server beside it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Where the router takes requests of other routers.
    pub router: SocketAddr,
    /// Start of the router process in calendar time; a later process replaces an earlier one.
    pub session: u64,
    /// Rises with each change in one session.
    pub sequence: u64,
    /// The backend server, if one has announced itself and is not gone.
    pub target: Option<Target>,
    /// Requests that were in flight when the backend server crashed.
    pub crashes: Vec<Fact>,
}

/// What has changed among the announcements that a registry process holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcements {
    /// Whether these are all, so that any other one is gone.
    pub complete: bool,
    /// New and changed ones.
    pub changed: Vec<Announcement>,
    /// Routers whose announcements are gone.
    pub removed: Vec<SocketAddr>,
}

impl Announcements {
    /// Brings a list, sorted by the address of the router, up to date.
    pub fn apply(self, held: &mut Vec<Announcement>) {
        if self.complete {
            held.clear();
        }
        for router in &self.removed {
            if let Ok(at) = held.binary_search_by(|a| a.router.cmp(router)) {
                held.remove(at);
            }
        }
        for announcement in self.changed {
            match held.binary_search_by(|a| a.router.cmp(&announcement.router)) {
                Ok(at) => held[at] = announcement,
                Err(at) => held.insert(at, announcement),
            }
        }
    }
}

/// What a registry process holds, for an operator.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Shown {
    /// The process itself.
    pub member: Member,
    /// Replicas that must accept an item.
    pub quorum: u32,
    /// Other registry processes, and the time since each was heard in milliseconds.
    pub others: Vec<(Member, u64)>,
    /// All registers.
    pub entries: Vec<Entry>,
    /// Routers that are listed, and the time since each renewed its announcement in milliseconds.
    pub announcements: Vec<(Announcement, u64)>,
}

/// How far a watcher has read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cursor {
    /// Session of the process that was read; another session starts from the beginning.
    pub session: u64,
    /// Revision of its items.
    pub items: u64,
    /// Revision of its announcements.
    pub announcements: u64,
}

/// A request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Request {
    /// A router asks for what is in force.
    Watch {
        /// How far it has read.
        cursor: Cursor,
        /// Its announcement, which also renews it.
        announcement: Announcement,
        /// Longest wait for a change.
        wait_ms: u32,
        /// Digest of the items that it holds; nothing when it wants none now.
        held: Option<u64>,
    },
    /// A router announces a change at once.
    Announce(Announcement),
    /// A registry process asks for the registers of another one.
    Copy {
        /// How far it has read.
        cursor: Cursor,
        /// Who asks.
        member: Member,
        /// Longest wait for a change.
        wait_ms: u32,
    },
    /// An operator asks for everything that a registry process holds.
    Show,
    /// First step of a proposal.
    Prepare {
        /// Its number.
        ballot: Ballot,
        /// The registers that it needs.
        keys: Vec<Key>,
    },
    /// Second step of a proposal.
    Accept {
        /// Its number.
        ballot: Ballot,
        /// The items.
        items: Vec<Arc<Item>>,
    },
    /// A majority has accepted a proposal.
    Commit {
        /// Its number.
        ballot: Ballot,
        /// The items.
        items: Vec<Arc<Item>>,
    },
}

/// A reply.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Reply {
    /// What has changed for a router.
    View {
        /// How far this reply reads.
        cursor: Cursor,
        /// Committed items that changed, without the operator's documents.
        items: Vec<Arc<Item>>,
        /// Announcements that changed.
        announcements: Announcements,
        /// Registry processes, the one that answers included.
        registries: Vec<SocketAddr>,
    },
    /// What has changed for a registry process.
    Registers {
        /// How far this reply reads.
        cursor: Cursor,
        /// Registers that changed.
        entries: Vec<Entry>,
        /// Who answers.
        member: Member,
        /// Other registry processes that it knows.
        registries: Vec<SocketAddr>,
    },
    /// Everything that a registry process holds.
    Shown(Shown),
    /// The promise of a voter, and what it has accepted, in the order of the keys.
    Promised(Vec<Option<Accepted>>),
    /// The request was carried out and is durable.
    Done,
    /// A higher ballot was promised.
    Overtaken(Ballot),
    /// The process does not vote, or its disk refuses writes.
    Unable,
}
