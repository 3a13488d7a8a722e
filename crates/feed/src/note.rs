//! Log lines for items that take effect in a process.

use std::sync::Arc;

use log::info;

use shallotrill_items::item::Item;

/// Maximum number of items that are logged individually. More items take effect together only when a complete
/// configuration is loaded, where the log lines would take processor time from the first requests after a restart.
const LINES_MAX: usize = 50;

/// Logs the items that took effect in this process.
pub fn log_effective_items(items: &[Arc<Item>]) {
    for item in items.iter().take(LINES_MAX) {
        info!(event = "item-in-force", item = item.key.to_string().as_str(), version = item.version; "item is in force");
    }
    if items.len() > LINES_MAX {
        let highest_version = items.iter().map(|item| item.version).max();
        info!(event = "items-in-force", items = items.len(), highest_version = highest_version.unwrap_or_default(); "items are in force; only the first {LINES_MAX} are logged individually");
    }
}
