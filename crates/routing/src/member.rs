//! Targets of one service, grouped by availability zone.

use crate::cold::WarmUp;
use shallotrill_model::region;
use shallotrill_model::service;
use shallotrill_model::time::Instant;
use shallotrill_model::zone;

/// Step of a running median towards a sample, as a fraction of its value.
const MEDIAN_STEP: f64 = 0.05;

/// Index of an entry in the table. It is valid until the target is removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct EntryIndex(pub(crate) usize);

/// A target that is neither draining nor in an evacuated zone, ordered by its rank in the subsets of this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Member {
    /// Equal for all targets when no subsets are configured.
    pub(crate) rank: u64,
    pub(crate) index: EntryIndex,
}

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

/// Targets of a service in one availability zone that may be chosen.
#[derive(Clone, Debug)]
pub(crate) struct ZoneGroup {
    pub(crate) region: region::Name,
    pub(crate) zone: zone::Name,
    /// Sorted by rank.
    pub(crate) members: Vec<Member>,
}

/// The targets of one service, with the medians over their reports.
#[derive(Clone, Debug)]
pub(crate) struct Service {
    pub(crate) name: service::Name,
    pub(crate) groups: Vec<ZoneGroup>,
    /// Targets that are draining or in an evacuated zone.
    pub(crate) withheld: Vec<EntryIndex>,
    pub(crate) round_robin_cursor: usize,
    /// When the longest-ready target became ready; `None` when no target is ready.
    pub(crate) earliest_ready: Option<Instant>,
    /// Running median of the reported load, in requests for each slot.
    pub(crate) median_load: Median,
    /// Running median of the reported latency, in microseconds.
    pub(crate) median_latency_us: Median,
    /// Set when a rate is stated for its cold targets.
    pub(crate) warm_up: Option<WarmUp>,
}

impl Service {
    pub(crate) fn new(name: service::Name) -> Self {
        Self {
            name,
            groups: Vec::new(),
            withheld: Vec::new(),
            round_robin_cursor: 0,
            earliest_ready: None,
            median_load: Median::default(),
            median_latency_us: Median::default(),
            warm_up: None,
        }
    }

    /// Number of targets that are neither draining nor evacuated.
    pub(crate) fn len(&self) -> usize {
        self.groups.iter().map(|group| group.members.len()).sum()
    }

    /// Targets that are neither draining nor evacuated, in the order of their groups.
    pub(crate) fn members(&self) -> impl Iterator<Item = EntryIndex> + '_ {
        self.groups
            .iter()
            .flat_map(|group| group.members.iter().map(|member| member.index))
    }

    /// Targets that are neither draining nor evacuated, each once, starting at position `start` and wrapping around.
    pub(crate) fn members_from(&self, start: usize) -> impl Iterator<Item = EntryIndex> + '_ {
        self.members().skip(start).chain(self.members().take(start))
    }

    /// Adds a target to the group of its zone, or to those that are draining or evacuated.
    pub(crate) fn insert(
        &mut self,
        member: Member,
        region: &region::Name,
        zone: &zone::Name,
        withheld: bool,
    ) {
        if withheld {
            insert_sorted(&mut self.withheld, member.index);
            return;
        }
        let found = self
            .groups
            .binary_search_by(|group| (&group.region, &group.zone).cmp(&(region, zone)));
        let position = found.unwrap_or_else(|position| {
            let group = ZoneGroup {
                region: region.clone(),
                zone: zone.clone(),
                members: Vec::new(),
            };
            self.groups.insert(position, group);
            position
        });
        insert_sorted(&mut self.groups[position].members, member);
    }

    /// Removes a target from its group or from the withheld ones.
    pub(crate) fn remove(&mut self, index: EntryIndex) {
        remove_sorted(&mut self.withheld, index);
        for group in &mut self.groups {
            group.members.retain(|member| member.index != index);
        }
        self.groups.retain(|group| !group.members.is_empty());
    }
}

fn insert_sorted<T: Ord>(items: &mut Vec<T>, item: T) {
    if let Err(position) = items.binary_search(&item) {
        items.insert(position, item);
    }
}

fn remove_sorted(indices: &mut Vec<EntryIndex>, index: EntryIndex) {
    if let Ok(position) = indices.binary_search(&index) {
        indices.remove(position);
    }
}
