//! Targets of one service, grouped by availability zone.

use shallotrill_model::region;
use shallotrill_model::service;
use shallotrill_model::time::Instant;
use shallotrill_model::zone;

/// Step of a running median towards a sample, as a part of its value.
const MEDIAN_STEP: f64 = 0.05;

/// Index of an entry in the table. It stays valid until the target is removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Index(pub(crate) usize);

/// A running median that moves by a small step for each sample, in constant time and space.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Median {
    pub(crate) value: f64,
}

impl Median {
    pub(crate) fn add(&mut self, sample: f64, floor: f64) {
        if self.value == 0.0 {
            self.value = sample;
            return;
        }
        let step = self.value.max(floor) * MEDIAN_STEP;
        self.value += (sample - self.value).clamp(-step, step);
    }
}

/// Targets of a service in one availability zone that do not drain.
#[derive(Clone, Debug)]
pub(crate) struct Group {
    pub(crate) region: region::Name,
    pub(crate) zone: zone::Name,
    pub(crate) members: Vec<Index>,
}

/// One service.
#[derive(Clone, Debug)]
pub(crate) struct Service {
    pub(crate) name: service::Name,
    pub(crate) groups: Vec<Group>,
    pub(crate) draining: Vec<Index>,
    pub(crate) cursor: usize,
    /// Earliest time since which a target is ready.
    pub(crate) warmest: Option<Instant>,
    /// Requests ahead for each slot.
    pub(crate) load: Median,
    /// Microseconds.
    pub(crate) latency: Median,
}

impl Service {
    pub(crate) fn new(name: service::Name) -> Self {
        Self {
            name,
            groups: Vec::new(),
            draining: Vec::new(),
            cursor: 0,
            warmest: None,
            load: Median::default(),
            latency: Median::default(),
        }
    }

    /// Targets that do not drain.
    pub(crate) fn len(&self) -> usize {
        self.groups.iter().map(|g| g.members.len()).sum()
    }

    /// Targets that do not drain, in the order of their groups.
    pub(crate) fn members(&self) -> impl Iterator<Item = Index> + '_ {
        self.groups.iter().flat_map(|g| g.members.iter().copied())
    }

    /// Targets that do not drain, each once, from a place on.
    pub(crate) fn members_from(&self, start: usize) -> impl Iterator<Item = Index> + '_ {
        self.members().skip(start).chain(self.members().take(start))
    }

    /// Adds a target to its group or to those that drain.
    pub(crate) fn insert(
        &mut self,
        index: Index,
        region: &region::Name,
        zone: &zone::Name,
        draining: bool,
    ) {
        if draining {
            insert(&mut self.draining, index);
            return;
        }
        let place = self
            .groups
            .binary_search_by(|g| (&g.region, &g.zone).cmp(&(region, zone)));
        let at = place.unwrap_or_else(|at| {
            let group = Group {
                region: region.clone(),
                zone: zone.clone(),
                members: Vec::new(),
            };
            self.groups.insert(at, group);
            at
        });
        insert(&mut self.groups[at].members, index);
    }

    /// Removes a target wherever it is.
    pub(crate) fn remove(&mut self, index: Index) {
        remove(&mut self.draining, index);
        for group in &mut self.groups {
            remove(&mut group.members, index);
        }
        self.groups.retain(|g| !g.members.is_empty());
    }
}

fn insert(indices: &mut Vec<Index>, index: Index) {
    if let Err(at) = indices.binary_search(&index) {
        indices.insert(at, index);
    }
}

fn remove(indices: &mut Vec<Index>, index: Index) {
    if let Ok(at) = indices.binary_search(&index) {
        indices.remove(at);
    }
}
