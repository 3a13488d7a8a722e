//! Table of the items in effect, with look-ups of routes, services, workspaces and limits.

use std::sync::Arc;

use crate::item::Content;
use crate::item::Item;
use crate::item::Key;
use crate::item::Kind;
use crate::item_set_hash::ItemSetHash;
use crate::route::Limits;
use crate::route::Route;
use crate::route::Service;
use crate::workspace::Digest;
use crate::workspace::Workspace;
use shallotrill_model::service;
use shallotrill_model::workspace;
use shallotrill_model::zone;

/// Number of changed workspaces up to which their keys are inserted one by one.
const INSERTED_WORKSPACES_MAX: usize = 64;

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

/// A workspace in effect.
#[derive(Clone, Debug)]
pub struct ActiveWorkspace {
    /// Its name.
    pub name: workspace::Name,
    /// Version of the item.
    pub version: u64,
    /// The workspace.
    pub workspace: Workspace,
}

/// The items in effect. A version is never replaced by a lower one.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// Sorted by key.
    items: Vec<Arc<Item>>,
    /// Sorted by host, then by prefix.
    routes: Vec<ActiveRoute>,
    /// Sorted by name.
    workspaces: Vec<Arc<ActiveWorkspace>>,
    /// Keys of all workspaces, sorted by digest.
    keys: Vec<(Digest, Arc<ActiveWorkspace>)>,
    /// Availability zones whose targets take no requests, sorted.
    evacuated: Vec<zone::Name>,
    item_set_hash: ItemSetHash,
}

impl Table {
    /// Adds committed items that are newer than those in the table. Returns whether the table changed.
    pub fn apply(&mut self, items: &[Arc<Item>]) -> bool {
        let mut changed: Vec<Kind> = Vec::new();
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
            if !changed.contains(&item.key.kind) {
                changed.push(item.key.kind);
            }
        }
        for kind in &changed {
            match kind {
                Kind::Route => self.rebuild_routes(),
                Kind::Workspace => self.update_workspaces(items),
                Kind::Evacuation => self.rebuild_evacuated(),
                Kind::Service | Kind::Limits | Kind::KeyHolder | Kind::Voters => {}
            }
        }
        !changed.is_empty()
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

    /// Applies changed workspaces one by one, or sorts all keys again when many have changed: each key that is
    /// inserted moves those behind it.
    fn update_workspaces(&mut self, items: &[Arc<Item>]) {
        let items = items.iter().filter(|item| item.key.kind == Kind::Workspace);
        if items.clone().count() <= INSERTED_WORKSPACES_MAX {
            items.for_each(|item| self.update_workspace(&item.key));
            return;
        }
        let workspaces = self.of_kind(Kind::Workspace);
        let workspaces = workspaces.filter_map(|item| active_workspace(item));
        self.workspaces = workspaces.collect();
        let keys = self.workspaces.iter().flat_map(|active| {
            let keys = active.workspace.keys.iter();
            keys.map(|digest| (*digest, Arc::clone(active)))
        });
        self.keys = keys.collect();
        self.keys.sort_unstable_by_key(|(digest, _)| *digest);
    }

    /// Replaces a workspace by the version that is in effect.
    fn update_workspace(&mut self, key: &Key) {
        let found = self
            .workspaces
            .binary_search_by(|active| active.name.as_str().cmp(&*key.name));
        if let Ok(index) = found {
            let earlier = self.workspaces.remove(index);
            for digest in &earlier.workspace.keys {
                // A key that another workspace has taken over meanwhile stays with it.
                if let Ok(index) = self.key_index(*digest)
                    && self.keys[index].1.name == earlier.name
                {
                    self.keys.remove(index);
                }
            }
        }
        let item = self.items.binary_search_by(|item| item.key.cmp(key));
        let Some(active) = item
            .ok()
            .and_then(|index| active_workspace(&self.items[index]))
        else {
            return;
        };
        for digest in &active.workspace.keys {
            let entry = (*digest, Arc::clone(&active));
            match self.key_index(*digest) {
                Ok(index) => self.keys[index] = entry,
                Err(index) => self.keys.insert(index, entry),
            }
        }
        let (Ok(index) | Err(index)) = found;
        self.workspaces.insert(index, active);
    }

    fn key_index(&self, digest: Digest) -> Result<usize, usize> {
        self.keys.binary_search_by(|(known, _)| known.cmp(&digest))
    }

    fn rebuild_evacuated(&mut self) {
        let evacuations = self
            .items
            .iter()
            .filter(|item| item.content == Content::Evacuation);
        let zones = evacuations.filter_map(|item| zone::Name::new(&item.key.name).ok());
        self.evacuated = zones.collect();
    }

    /// Whether the table contains no item of the configuration, not even a removed one.
    pub fn is_empty(&self) -> bool {
        !self
            .items
            .iter()
            .any(|item| item.key.kind.is_configuration())
    }

    /// Whether requests need the key of a workspace, except on public routes. They still do when all workspaces are
    /// removed, so that the removal of the last one does not open the routes to everyone.
    pub fn requires_key(&self) -> bool {
        self.of_kind(Kind::Workspace).next().is_some()
    }

    /// The workspace that holds a key; `None` for an unknown key.
    pub fn workspace_of(&self, key: Digest) -> Option<&Arc<ActiveWorkspace>> {
        let index = self.key_index(key).ok()?;
        Some(&self.keys[index].1)
    }

    /// All workspaces, sorted by name.
    pub fn workspaces(&self) -> &[Arc<ActiveWorkspace>] {
        &self.workspaces
    }

    /// Availability zones whose targets take no requests, sorted.
    pub fn evacuated_zones(&self) -> &[zone::Name] {
        &self.evacuated
    }

    fn of_kind(&self, kind: Kind) -> impl Iterator<Item = &Arc<Item>> {
        let start = self.items.partition_point(|item| item.key.kind < kind);
        let items = self.items[start..].iter();
        items.take_while(move |item| item.key.kind == kind)
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
        let compare = |key: &Key| (key.kind, &*key.name).cmp(&(Kind::Service, name.as_str()));
        let index = self.items.binary_search_by(|i| compare(&i.key)).ok()?;
        match &self.items[index].content {
            Content::Service(service) => Some(service),
            _ => None,
        }
    }

    /// The limits; `None` if they are not configured.
    pub fn limits(&self) -> Option<&Limits> {
        self.of_kind(Kind::Limits)
            .find_map(|item| match &item.content {
                Content::Limits(limits) => Some(limits),
                _ => None,
            })
    }
}

fn active_workspace(item: &Item) -> Option<Arc<ActiveWorkspace>> {
    let Content::Workspace(workspace) = &item.content else {
        return None;
    };
    Some(Arc::new(ActiveWorkspace {
        name: workspace::Name::new(&item.key.name).ok()?,
        version: item.version,
        workspace: workspace.clone(),
    }))
}

fn sort_key(route: &ActiveRoute) -> (&str, &str) {
    (&route.route.host, &route.route.prefix)
}
