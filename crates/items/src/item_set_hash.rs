//! Hash of a set of items, by which two processes compare whether they hold the same set.

use crate::item::Item;
use crate::item::Key;

/// Wrapping sum of one hash per item, so it does not depend on the order and an item can be removed again.
///
/// Covers keys and versions only: a version of an item never has two contents.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ItemSetHash(pub u64);

impl ItemSetHash {
    /// Computes the hash of all items of an iterator.
    pub fn of<'a>(items: impl Iterator<Item = &'a Item>) -> Self {
        let mut set_hash = Self::default();
        items.for_each(|item| set_hash.add(item));
        set_hash
    }

    /// Adds an item.
    pub fn add(&mut self, item: &Item) {
        self.0 = self.0.wrapping_add(hash(&item.key, item.version));
    }

    /// Removes an item that was added before.
    pub fn remove(&mut self, item: &Item) {
        self.0 = self.0.wrapping_sub(hash(&item.key, item.version));
    }
}

fn hash(key: &Key, version: u64) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&[key.kind as u8]);
    hasher.update(&version.to_le_bytes());
    hasher.update(key.name.as_bytes());
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(prefix)
}
