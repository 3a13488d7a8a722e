//! Objects of the configuration with the origin of their last change.

use serde::Deserialize;
use serde::Serialize;

use crate::command::Origin;
use shallotrill_model::revision::Revision;

/// An object and the origin of its last change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry<T> {
    /// The object.
    pub value: T,
    /// The change that set the current value.
    pub origin: Origin,
}

/// The values that changed after `since`.
pub(crate) fn changed<T: Clone>(entries: &[Entry<T>], since: Revision) -> Vec<T> {
    entries
        .iter()
        .filter(|entry| entry.origin.revision > since)
        .map(|entry| entry.value.clone())
        .collect()
}

/// Inserts an object into a vector sorted by `key`, or replaces the object with the same key.
pub(crate) fn upsert<T, K: Ord>(
    entries: &mut Vec<Entry<T>>,
    value: T,
    origin: Origin,
    key: impl Fn(&T) -> K,
) {
    let position = entries.binary_search_by(|entry| key(&entry.value).cmp(&key(&value)));
    let entry = Entry { value, origin };
    match position {
        Ok(index) => entries[index] = entry,
        Err(index) => entries.insert(index, entry),
    }
}

/// Whether the objects are sorted by `key` without duplicates.
pub(crate) fn is_sorted<T, K: Ord>(entries: &[Entry<T>], key: impl Fn(&T) -> K) -> bool {
    entries.is_sorted_by(|a, b| key(&a.value) < key(&b.value))
}
