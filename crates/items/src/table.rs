//! The items in force, arranged for look-ups.

use std::sync::Arc;

use crate::digest::Digest;
use crate::item::Content;
use crate::item::Item;
use crate::item::Key;
use crate::route::Limits;
use crate::route::Route;
use crate::route::Service;
use shallotrill_model::service;

/// A route in force.
#[derive(Clone, Debug)]
pub struct Rule {
    /// Name of the item.
    pub name: Arc<str>,
    /// Version of the item.
    pub version: u64,
    /// The route.
    pub route: Arc<Route>,
}

/// The items in force. A version is never replaced by a lower one.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// Sorted by key.
    items: Vec<Arc<Item>>,
    /// Sorted by host, then by prefix.
    rules: Vec<Rule>,
    digest: Digest,
}

impl Table {
    /// Takes committed items. Returns whether anything changed.
    pub fn apply(&mut self, items: &[Arc<Item>]) -> bool {
        let mut changed = false;
        for item in items {
            match self.items.binary_search_by(|i| i.key.cmp(&item.key)) {
                Ok(at) if self.items[at].version >= item.version => continue,
                Ok(at) => {
                    self.digest.remove(&self.items[at]);
                    self.items[at] = Arc::clone(item);
                }
                Err(at) => self.items.insert(at, Arc::clone(item)),
            }
            self.digest.add(item);
            changed = true;
        }
        if changed {
            self.arrange();
        }
        changed
    }

    fn arrange(&mut self) {
        let rules = self.items.iter().filter_map(|item| match &item.content {
            Content::Route(route) => Some(Rule {
                name: Arc::clone(&item.key.name),
                version: item.version,
                route: Arc::new(route.clone()),
            }),
            _ => None,
        });
        self.rules = rules.collect();
        self.rules.sort_by(|a, b| place(a).cmp(&place(b)));
    }

    /// Whether no item is known.
    pub const fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Digest of all items, removed ones included.
    pub const fn digest(&self) -> Digest {
        self.digest
    }

    /// All items, removed ones included.
    pub fn items(&self) -> &[Arc<Item>] {
        &self.items
    }

    /// The route of a host whose prefix is the longest that begins `path`.
    pub fn find(&self, host: &str, path: &str) -> Option<&Rule> {
        let from = self.rules.partition_point(|r| *r.route.host < *host);
        let of_host = &self.rules[from..];
        let to = of_host.partition_point(|r| *r.route.host == *host);
        // The longest prefix of a path sorts last among its prefixes.
        let below = of_host[..to].partition_point(|r| *r.route.prefix <= *path);
        let mut rules = of_host[..below].iter().rev();
        rules.find(|r| path.starts_with(&*r.route.prefix))
    }

    /// What is configured of a service.
    pub fn service(&self, name: &service::Name) -> Option<&Service> {
        let matches =
            |key: &Key| (key.kind, &*key.name).cmp(&(crate::item::Kind::Service, name.as_str()));
        let at = self.items.binary_search_by(|i| matches(&i.key)).ok()?;
        match &self.items[at].content {
            Content::Service(service) => Some(service),
            _ => None,
        }
    }

    /// The limits, if they are configured.
    pub fn limits(&self) -> Option<&Limits> {
        self.items.iter().find_map(|item| match &item.content {
            Content::Limits(limits) => Some(limits),
            _ => None,
        })
    }
}

fn place(rule: &Rule) -> (&str, &str) {
    (&rule.route.host, &rule.route.prefix)
}
