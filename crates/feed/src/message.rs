//! Requests and replies that routers, registry processes and operator tools exchange.
//!
//! The messages are encoded with `postcard`, so the order of fields and variants is part of the format.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use shallotrill_items::ballot::Ballot;
use shallotrill_items::item::Item;
use shallotrill_items::item::Key;
use shallotrill_items::replica::Accepted;
use shallotrill_items::replica::Entry;
use shallotrill_items::replica::Promise;
use shallotrill_items::replica::Proposal;
use shallotrill_items::replica::Proposed;
use shallotrill_items::roster::Member;
use shallotrill_limits::allotment::Answer;
use shallotrill_limits::allotment::Ask;
use shallotrill_model::instance;
use shallotrill_model::target::Target;
use shallotrill_retry::containment::CrashRecord;

/// Version of the message format. Frames with another version are rejected.
pub const VERSION: u8 = 5;

/// State that a router announces to the registry: its address and its local backend server. The backend server
/// reports its own state to the router in another type, `ServerAnnouncement` of the router package.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Address at which the router accepts requests from other routers.
    pub router: SocketAddr,
    /// Start time of the router process in calendar time. An announcement of a later session replaces those of earlier ones.
    pub session: u64,
    /// Sequence number, which increases with each change in a session.
    pub sequence: u64,
    /// The backend server; `None` when none has announced itself or it has departed.
    pub target: Option<Target>,
    /// Records of the requests that were in flight when the backend server crashed.
    pub crashes: Vec<CrashRecord>,
}

/// Departure of a backend server that its router has acknowledged: no incarnation of this name that started at
/// `start_time_ms` or before may receive requests again.
///
/// A router keeps no state of its own across a restart, so registry processes remember this for it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departure {
    /// Address of the router beside the backend server.
    pub router: SocketAddr,
    /// Name of the backend server.
    pub instance: instance::Name,
    /// Start of the latest incarnation that has departed, as Unix time in milliseconds.
    pub start_time_ms: u64,
}

/// Changes of the announcements that a registry process stores.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcements {
    /// Whether `changed` contains all announcements, so that the reader discards every other one.
    pub complete: bool,
    /// New and changed announcements.
    pub changed: Vec<Announcement>,
    /// Addresses of the routers whose announcements were removed.
    pub removed: Vec<SocketAddr>,
}

impl Announcements {
    /// Whether applying the changes has no effect.
    pub const fn is_empty(&self) -> bool {
        !self.complete && self.changed.is_empty() && self.removed.is_empty()
    }

    /// Applies the changes to `held`, which is sorted by the address of the router.
    pub fn apply(self, held: &mut Vec<Announcement>) {
        if self.complete {
            held.clear();
        }
        for router in &self.removed {
            if let Ok(index) = held.binary_search_by(|a| a.router.cmp(router)) {
                held.remove(index);
            }
        }
        for announcement in self.changed {
            match held.binary_search_by(|a| a.router.cmp(&announcement.router)) {
                Ok(index) => held[index] = announcement,
                Err(index) => held.insert(index, announcement),
            }
        }
    }
}

/// Status of a registry process, for an operator.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RegistryStatus {
    /// The registry process that reports.
    pub member: Member,
    /// Number of replicas that must accept an item.
    pub quorum: u32,
    /// Other registry processes, with the time since the last contact with each in milliseconds.
    pub others: Vec<(Member, u64)>,
    /// All registers that the process stores.
    pub entries: Vec<Entry>,
    /// Announcements that the process stores, each with the time since its last renewal in milliseconds.
    pub announcements: Vec<(Announcement, u64)>,
}

/// Position up to which a reader has received changes of a registry process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cursor {
    /// Session of the registry process. After a change of session, reading starts from the beginning.
    pub session: u64,
    /// Last revision of the items that was read.
    pub items: u64,
    /// Last revision of the announcements that was read.
    pub announcements: u64,
    /// Last revision of the departures that was read; only registry processes read them by revision.
    pub departures: u64,
    /// Version of the voters that the process had on disk; only registry processes read it.
    pub voters: u64,
}

/// The voters that a registry process knows, for routers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Electorate {
    /// Version of the list; 0 before the first one.
    pub version: u64,
    /// Number of voters that are a quorum.
    pub quorum: u32,
    /// Addresses of the voters.
    pub voters: Vec<SocketAddr>,
}

/// What a router requests of the items in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Interest {
    /// Nothing: it has no items, and reads them from another registry process first.
    Nothing,
    /// Only the hash of the items, as soon as it differs from the hash of those that it has, which is stated.
    Hash(u64),
    /// The items that it does not have. The hash of those that it has is stated.
    Items(u64),
}

/// A request to a registry process.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Request {
    /// A router waits for changes of the committed items and of the announcements.
    Watch {
        /// Position up to which the router has read.
        cursor: Cursor,
        /// Announcement of the router. The request also renews it.
        announcement: Announcement,
        /// Maximum time to wait for a change, in milliseconds.
        wait_ms: u32,
        /// What the router requests of the items.
        interest: Interest,
        /// Whether the router has not received the departures of its earlier sessions yet.
        needs_departures: bool,
    },
    /// A router announces a change without waiting for its next watch request.
    Announce(Announcement),
    /// A router reports departures, which must be durable at a quorum before it acknowledges them.
    Depart {
        /// Version of the voters that the router knows.
        voters: u64,
        /// The departures.
        departures: Vec<Departure>,
    },
    /// A registry process copies the registers of another one.
    Copy {
        /// Position up to which the requesting process has read.
        cursor: Cursor,
        /// The requesting registry process.
        member: Member,
        /// Maximum time to wait for a change, in milliseconds.
        wait_ms: u32,
    },
    /// An operator requests the status of a registry process.
    Show,
    /// First phase of a proposal: requests a promise from a voter.
    Prepare {
        /// Ballot number of the proposal.
        ballot: Ballot,
        /// Keys of the registers that the proposal needs.
        keys: Vec<Key>,
        /// The voters of which a quorum is needed, with the ballot at which they were accepted.
        voters: Accepted,
    },
    /// Second phase of a proposal: requests that a voter accepts the items.
    Accept {
        /// Ballot number of the proposal.
        ballot: Ballot,
        /// Items to accept, sorted by key.
        items: Vec<Proposed>,
        /// The voters of which a quorum is needed, with the ballot at which they were accepted.
        voters: Accepted,
    },
    /// Reports that a majority has accepted a proposal.
    Commit {
        /// Ballot number of the proposal.
        ballot: Ballot,
        /// Committed items.
        items: Vec<Arc<Item>>,
    },
    /// A router requests credit of workspaces whose owner the registry process is.
    Credit {
        /// Address of the router.
        router: SocketAddr,
        /// Start time of the router process; requests of an earlier session than the announced one are refused.
        session: u64,
        /// One request for each workspace.
        asks: Vec<Ask>,
    },
}

/// Changes of the registers and departures of a registry process since the cursor of a reader.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Registers {
    /// Position of the reader after this reply.
    pub cursor: Cursor,
    /// Changed registers.
    pub entries: Vec<Entry>,
    /// Uncommitted proposals that were added.
    pub proposals: Vec<Proposal>,
    /// Changed departures.
    pub departures: Vec<Departure>,
    /// The registry process that replies.
    pub member: Member,
    /// Addresses of the other registry processes known to the one that replies.
    pub registries: Vec<SocketAddr>,
    /// Highest recent number of routers that the one that replies has heard from, for the shares of allotments.
    pub routers: u32,
}

/// A reply of a registry process.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Reply {
    /// Reply to [`Request::Watch`]: the changes since the router's cursor.
    View {
        /// Position of the reader after this reply.
        cursor: Cursor,
        /// Changed committed items, except documents of the operator; empty unless they were requested.
        items: Vec<Arc<Item>>,
        /// Hash of all committed items that routers need.
        items_hash: u64,
        /// Changes of the announcements.
        announcements: Announcements,
        /// Departures that the router has reported, also in earlier sessions. `None` when it does not need them, or
        /// while the registry process may not know all of them.
        departures: Option<Vec<Departure>>,
        /// Addresses of the registry processes, including the one that replies.
        registries: Vec<SocketAddr>,
        /// The voters among them.
        electorate: Electorate,
    },
    /// Reply to [`Request::Copy`]: the changes since the requesting process's cursor.
    Registers(Registers),
    /// Reply to [`Request::Show`]: the status of the registry process.
    Shown(RegistryStatus),
    /// Promise of a voter, with what it has accepted for each key.
    Promised(Promise),
    /// The request was executed and its effect is durable.
    Done,
    /// The voter has promised a higher ballot, so it rejects the proposal; contains that ballot.
    Overtaken(Ballot),
    /// The request wants a quorum of an earlier version of the voters; contains the one in force.
    Outdated(Accepted),
    /// The process cannot execute the request: it is not a voter, its disk rejects writes, the session of the router has
    /// ended, or it may grant no credit.
    Unable,
    /// Reply to [`Request::Credit`], in the order of the requests; `None` for a workspace of whose allotment the
    /// process does not know.
    Credit(Vec<Option<Answer>>),
}
