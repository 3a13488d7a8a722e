//! Availability zones that are evacuated: their targets are not chosen.

use crate::table::Table;
use shallotrill_model::target::State;
use shallotrill_model::time::Instant;
use shallotrill_model::zone;

impl Table {
    /// Sets the zones whose targets are not chosen, sorted. The share of a target that may be chosen again grows from
    /// the minimum, as after its start, because it may have become cold meanwhile.
    pub fn set_evacuated_zones(&mut self, zones: &[zone::Name], now: Instant) {
        if self.evacuated == zones {
            return;
        }
        let known = std::mem::replace(&mut self.evacuated, zones.to_vec());
        let mut changed = Vec::new();
        for (_, index) in &self.instances {
            let Some(entry) = self.entries[index.0].as_mut() else {
                continue;
            };
            let was_evacuated = known.binary_search(&entry.target.zone).is_ok();
            let is_evacuated = zones.binary_search(&entry.target.zone).is_ok();
            if was_evacuated == is_evacuated {
                continue;
            }
            if was_evacuated && entry.ready_since.is_some() {
                entry.ready_since = Some(now);
            }
            changed.push((*index, entry.target.clone()));
        }
        for (index, target) in &changed {
            if let Some(service) = self.service_mut(&target.service) {
                service.remove(*index);
            }
            self.insert_into_service(*index, target);
        }
        for (_, target) in &changed {
            self.refresh_service(&target.service, now);
        }
    }

    /// Whether a target must not be chosen because of its state or its zone.
    pub(crate) fn is_withheld(&self, state: State, zone: &zone::Name) -> bool {
        state == State::Draining || self.evacuated.binary_search(zone).is_ok()
    }

    /// Number of targets of the service at `position` that are not draining and in an evacuated zone.
    pub(crate) fn evacuated_count(&self, position: usize) -> usize {
        let withheld = self.services[position].withheld.iter();
        let withheld = withheld.filter_map(|index| self.entry(*index));
        let evacuated = withheld.filter(|entry| entry.target.state != State::Draining);
        evacuated.count()
    }
}
