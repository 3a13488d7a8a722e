//! Holders of keys: items that state which workspace holds a key.
//!
//! Items are agreed on one by one, so two changes of different workspaces would
//! never meet. Each key therefore has an item of its own, which is part of every
//! change that gives the key to a workspace or takes it away. Of two changes that
//! give one key to different workspaces, the second reads the item of the first.

use std::sync::Arc;

use crate::change::Refusal;
use crate::check::ValidationError;
use crate::item::Content;
use crate::item::Item;
use crate::item::Key;
use crate::item::Kind;
use crate::proposal::QuorumRead;
use crate::workspace::Digest;
use shallotrill_model::workspace;

/// A workspace whose keys change, with its keys before and after.
struct Change<'a> {
    item: &'a Item,
    before: &'a [Digest],
    after: &'a [Digest],
}

/// The workspaces of a change that take effect. A version that is not higher than the known one changes nothing, so
/// it may contain keys that other workspaces hold by now.
fn changes<'a>(wanted: &[&'a Item], reading: &'a QuorumRead) -> Vec<Change<'a>> {
    let workspaces = wanted
        .iter()
        .filter(|item| item.key.kind == Kind::Workspace);
    let changes = workspaces.filter_map(|item| {
        let known = reading.get(&item.key);
        let takes_effect = known.is_none_or(|known| known.version < item.version);
        takes_effect.then(|| Change {
            item,
            before: known.map_or(&[], |known| keys(known)),
            after: keys(item),
        })
    });
    changes.collect()
}

fn keys(item: &Item) -> &[Digest] {
    match &item.content {
        Content::Workspace(workspace) => &workspace.keys,
        _ => &[],
    }
}

/// Keys of the holder items that a change needs and that were not read.
pub(crate) fn missing_keys(wanted: &[&Item], reading: &QuorumRead) -> Vec<Key> {
    let changes = changes(wanted, reading);
    let digests = changes.iter().flat_map(|c| c.before.iter().chain(c.after));
    let mut missing: Vec<Key> = digests
        .map(Digest::holder_key)
        .filter(|key| !reading.contains(key))
        .collect();
    missing.sort();
    missing.dedup();
    missing
}

/// The holder items that a change brings, sorted by key.
///
/// # Errors
///
/// Returns [`Refusal::Invalid`] when another workspace holds a key and does not give it up in the same change.
pub(crate) fn items(wanted: &[&Item], reading: &QuorumRead) -> Result<Vec<Item>, Refusal> {
    let changes = changes(wanted, reading);
    let mut items: Vec<Item> = Vec::new();
    for change in &changes {
        let released = change.before.iter().filter(|k| !change.after.contains(k));
        for digest in released {
            let key = digest.holder_key();
            if holder(reading, &key) == Some(&*change.item.key.name) {
                set(&mut items, reading, key, Content::Removed);
            }
        }
    }
    for change in &changes {
        let name = &change.item.key.name;
        for digest in change.after {
            let key = digest.holder_key();
            let found = items.binary_search_by(|item| item.key.cmp(&key));
            let current = match found {
                Ok(index) => held_by(&items[index]),
                Err(_) => holder(reading, &key),
            };
            match current {
                Some(current) if *current == **name => {}
                Some(current) => return Err(shared(change.item, current)),
                None => {
                    let Ok(name) = workspace::Name::new(name) else {
                        continue;
                    };
                    set(&mut items, reading, key, Content::KeyHolder(name));
                }
            }
        }
    }
    Ok(items)
}

fn holder<'a>(reading: &'a QuorumRead, key: &Key) -> Option<&'a str> {
    reading.get(key).and_then(|item| held_by(item))
}

fn held_by(item: &Item) -> Option<&str> {
    match &item.content {
        Content::KeyHolder(name) => Some(name.as_str()),
        _ => None,
    }
}

fn shared(item: &Item, holder: &str) -> Refusal {
    Refusal::Invalid {
        key: item.key.clone(),
        problem: ValidationError::SharedKey(holder.into()),
    }
}

fn set(items: &mut Vec<Item>, reading: &QuorumRead, key: Key, content: Content) {
    let version = reading.get(&key).map_or(1, |known| known.version + 1);
    let item = Item {
        key,
        version,
        content,
        document: Arc::from(""),
    };
    match items.binary_search_by(|known| known.key.cmp(&item.key)) {
        Ok(index) => items[index] = item,
        Err(index) => items.insert(index, item),
    }
}
