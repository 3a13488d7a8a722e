//! Workspaces: their keys, priority and allotment of requests.
//!
//! Only digests of keys are part of an item. The keys themselves are in the
//! operator's document, which registry processes return to operators and never
//! send to a router.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::item::Key;
use crate::item::Kind;
use shallotrill_model::rate::Rate;

/// Context of the digests, so that they differ from digests of the same text elsewhere.
const DIGEST_CONTEXT: &str = "shallotrill workspace key 2026-12";

/// Digest of a key that callers send. Keys are compared by their digests, so the time of a comparison tells nothing
/// about the text of a key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Digest([u8; 32]);

impl Digest {
    /// Computes the digest of a key.
    pub fn of(key: &[u8]) -> Self {
        Self(blake3::derive_key(DIGEST_CONTEXT, key))
    }

    /// Key of the item that states which workspace holds this key.
    pub fn holder_key(&self) -> Key {
        let name = blake3::Hash::from_bytes(self.0).to_hex();
        Key {
            kind: Kind::KeyHolder,
            name: name.as_str().into(),
        }
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Digest(..)")
    }
}

/// Requests that a workspace may send, over all routers together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allotment {
    /// Requests per second.
    pub rate: Rate,
    /// Requests that may be sent at once after a pause.
    pub burst: u32,
}

/// A customer whose requests are identified by a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    /// Digests of its keys, sorted.
    pub keys: Vec<Digest>,
    /// Zero is the most important. Takes precedence over the priority of a route.
    pub priority: u8,
    /// Limit of its requests; `None` without a limit.
    pub allotment: Option<Allotment>,
}
