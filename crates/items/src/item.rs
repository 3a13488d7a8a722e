//! A configuration item: its key, its version and its content.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::route::Limits;
use crate::route::Route;
use crate::route::Service;
use crate::stored;
use crate::voters::Voter;
use crate::workspace::Workspace;
use shallotrill_model::workspace;

/// Kind of object that an item configures.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Kind {
    /// A service.
    Service,
    /// A route.
    Route,
    /// Limits on requests. There is one such item.
    Limits,
    /// A workspace.
    Workspace,
    /// Which workspace holds a key; the name is the digest of the key. Only registry processes keep these items.
    KeyHolder,
    /// An availability zone whose targets take no requests.
    Evacuation,
    /// The list of the voters among the registry processes. There is one such item, kept by registry processes only.
    Voters,
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Service => "service",
            Self::Route => "route",
            Self::Limits => "limits",
            Self::Workspace => "workspace",
            Self::KeyHolder => "key holder",
            Self::Evacuation => "evacuation",
            Self::Voters => "voters",
        })
    }
}

/// Key of an item, the same for all its versions.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Key {
    /// Kind of the item.
    pub kind: Kind,
    /// Name of the item; empty for the limits.
    pub name: Arc<str>,
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} '{}'", self.kind, self.name)
    }
}

/// Content of one version of an item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "stored::Content", into = "stored::Content")]
pub enum Content {
    /// A route.
    Route(Route),
    /// A service.
    Service(Service),
    /// The limits.
    Limits(Limits),
    /// The item is removed. The version is retained, so that a delayed older change cannot restore the item.
    Removed,
    /// No version of the item has been in effect. Accepted in the place of a first version whose proposal is
    /// withdrawn; never committed.
    Absent,
    /// A workspace.
    Workspace(Workspace),
    /// The workspace that holds a key.
    KeyHolder(workspace::Name),
    /// The targets of the availability zone that the item names take no requests.
    Evacuation,
    /// The registry processes whose replicas count towards a quorum.
    Voters(Vec<Voter>),
}

/// One version of an item.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// Key of the item.
    pub key: Key,
    /// Version; the highest committed one is in effect.
    pub version: u64,
    /// Content of this version.
    pub content: Content,
    /// The operator's document in canonical form, returned to operators unchanged; empty for a removed item.
    pub document: Arc<str>,
}

// The document is left out because it may contain keys of a workspace.
impl fmt::Debug for Item {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Item")
            .field("key", &self.key)
            .field("version", &self.version)
            .field("content", &self.content)
            .finish_non_exhaustive()
    }
}

impl Item {
    /// The value of a register in which no item has been in effect.
    pub fn absent(key: Key) -> Self {
        Self {
            key,
            version: 0,
            content: Content::Absent,
            document: Arc::from(""),
        }
    }

    /// Whether no version of the item has been in effect.
    pub fn is_absent(&self) -> bool {
        self.content == Content::Absent
    }

    /// Whether both are the same version with the same content.
    pub fn is_same(&self, other: &Self) -> bool {
        self.version == other.version
            && self.content == other.content
            && self.document == other.document
    }
}

impl Kind {
    /// Whether operators send and read items of this kind as part of the configuration.
    pub const fn is_configuration(self) -> bool {
        match self {
            Self::Service | Self::Route | Self::Limits | Self::Workspace => true,
            Self::KeyHolder | Self::Evacuation | Self::Voters => false,
        }
    }

    /// Whether routers need items of this kind.
    pub const fn is_for_routers(self) -> bool {
        !matches!(self, Self::KeyHolder | Self::Voters)
    }
}
