//! One configured item.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::route::Limits;
use crate::route::Route;
use crate::route::Service;

/// What an item describes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Kind {
    /// A service.
    Service,
    /// A route.
    Route,
    /// The limits; there is one such item.
    Limits,
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Service => "service",
            Self::Route => "route",
            Self::Limits => "limits",
        })
    }
}

/// Identity of an item.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Key {
    /// Its kind.
    pub kind: Kind,
    /// Its name; empty for the limits.
    pub name: Arc<str>,
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} '{}'", self.kind, self.name)
    }
}

/// What an item sets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Content {
    /// A route.
    Route(Route),
    /// A service.
    Service(Service),
    /// The limits.
    Limits(Limits),
    /// The item is removed. Its version stays, so that an older change cannot bring it back.
    Removed,
}

/// One version of an item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// What it identifies.
    pub key: Key,
    /// Its version; the highest is in force.
    pub version: u64,
    /// What it sets.
    pub content: Content,
    /// The operator's document in a canonical form, returned as it was sent; empty when removed.
    pub document: Arc<str>,
}
