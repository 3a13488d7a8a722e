//! A digest of a set of items, for the question whether two processes hold the same.

use crate::item::Item;
use crate::item::Key;

/// Sum over all items; the order does not matter, and an item can be taken out again.
///
/// A version of an item has one content, so the content is not part of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Digest(pub u64);

impl Digest {
    /// The digest of some items.
    pub fn of<'a>(items: impl Iterator<Item = &'a Item>) -> Self {
        let mut digest = Self::default();
        items.for_each(|item| digest.add(item));
        digest
    }

    /// Adds an item.
    pub fn add(&mut self, item: &Item) {
        self.0 = self.0.wrapping_add(term(&item.key, item.version));
    }

    /// Takes an item out that was added.
    pub fn remove(&mut self, item: &Item) {
        self.0 = self.0.wrapping_sub(term(&item.key, item.version));
    }
}

fn term(key: &Key, version: u64) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&[key.kind as u8]);
    hasher.update(&version.to_le_bytes());
    hasher.update(key.name.as_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(first)
}
