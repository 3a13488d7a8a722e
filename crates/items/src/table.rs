//! Table of the items in effect, with look-ups of routes, services and limits.

use std::sync::Arc;

use crate::item::Content;
use crate::item::Item;
use crate::item::Key;
use crate::item_set_hash::ItemSetHash;
use crate::route::Limits;
use crate::route::Route;
use crate::route::Service;
use shallotrill_model::service;

/// A route in effect.
#[derive(Clone, Debug)]
pub struct ActiveRoute {
    /// Name of the item.
    pub name: Arc<str>,
    /// Version of the item.
    pub version: u64,
    /// The route.
    pub route: Arc<Route>,
}

/// The items in effect. A version is never replaced by a lower one.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// Sorted by key.
    items: Vec<Arc<Item>>,
    /// Sorted by host, then by prefix.
    routes: Vec<ActiveRoute>,
    item_set_hash: ItemSetHash,
}

impl Table {
    /// Adds committed items that are newer than those in the table. Returns whether the table changed.
    pub fn apply(&mut self, items: &[Arc<Item>]) -> bool {
        let mut changed = false;
        for item in items {
            match self.items.binary_search_by(|i| i.key.cmp(&item.key)) {
                Ok(index) if self.items[index].version >= item.version => continue,
                Ok(index) => {
                    self.item_set_hash.remove(&self.items[index]);
                    self.items[index] = Arc::clone(item);
                }
                Err(index) => self.items.insert(index, Arc::clone(item)),
            }
            self.item_set_hash.add(item);
            changed = true;
        }
        if changed {
            self.rebuild_routes();
        }
        changed
    }

    fn rebuild_routes(&mut self) {
        let routes = self.items.iter().filter_map(|item| match &item.content {
            Content::Route(route) => Some(ActiveRoute {
                name: Arc::clone(&item.key.name),
                version: item.version,
                route: Arc::new(route.clone()),
            }),
            _ => None,
        });
        self.routes = routes.collect();
        self.routes.sort_by(|a, b| sort_key(a).cmp(&sort_key(b)));
    }

    /// Whether the table contains no item, not even a removed one.
    pub const fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Hash of the keys and versions of all items, including removed ones.
    pub const fn item_set_hash(&self) -> ItemSetHash {
        self.item_set_hash
    }

    /// All items sorted by key, including removed ones.
    pub fn items(&self) -> &[Arc<Item>] {
        &self.items
    }

    /// Finds the route of a host with the longest prefix of `path`.
    pub fn find(&self, host: &str, path: &str) -> Option<&ActiveRoute> {
        let start = self.routes.partition_point(|r| *r.route.host < *host);
        let candidates = &self.routes[start..];
        let host_end = candidates.partition_point(|r| *r.route.host == *host);
        // The longest prefix of a path sorts last among its prefixes.
        let prefix_end = candidates[..host_end].partition_point(|r| *r.route.prefix <= *path);
        let mut routes = candidates[..prefix_end].iter().rev();
        routes.find(|r| path.starts_with(&*r.route.prefix))
    }

    /// The configuration of a service; `None` if it is unknown or removed.
    pub fn service(&self, name: &service::Name) -> Option<&Service> {
        let compare =
            |key: &Key| (key.kind, &*key.name).cmp(&(crate::item::Kind::Service, name.as_str()));
        let index = self.items.binary_search_by(|i| compare(&i.key)).ok()?;
        match &self.items[index].content {
            Content::Service(service) => Some(service),
            _ => None,
        }
    }

    /// The limits; `None` if they are not configured.
    pub fn limits(&self) -> Option<&Limits> {
        self.items.iter().find_map(|item| match &item.content {
            Content::Limits(limits) => Some(limits),
            _ => None,
        })
    }
}

fn sort_key(route: &ActiveRoute) -> (&str, &str) {
    (&route.route.host, &route.route.prefix)
}
