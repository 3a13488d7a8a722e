//! Log lines on what came into force.

use std::sync::Arc;

use log::info;

use shallotrill_items::item::Item;

/// Items that get a line each. More come only with a whole configuration, where the lines would
/// take the processor from the first requests after a restart.
const LINES_MAX: usize = 50;

/// Notes items that came into force in this process.
pub fn in_force(items: &[Arc<Item>]) {
    for item in items.iter().take(LINES_MAX) {
        info!(event = "item-in-force", item = item.key.to_string().as_str(), version = item.version; "");
    }
    if items.len() > LINES_MAX {
        let highest = items.iter().map(|item| item.version).max();
        info!(event = "items-in-force", items = items.len(), highest_version = highest.unwrap_or_default(); "");
    }
}
