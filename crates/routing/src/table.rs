//! The routing table: all known services and targets, with the operations of the package on them.

use std::time::Duration;

use crate::choice::Choice;
use crate::choice::Query;
use crate::choice::Refusal;
use crate::config::Config;
use crate::entry::Entry;
use crate::member::EntryIndex;
use crate::member::Member;
use crate::member::Service;
use crate::sample::Sample;
use shallotrill_model::incarnation::Incarnation;
use shallotrill_model::instance;
use shallotrill_model::load::Pace;
use shallotrill_model::load::Report;
use shallotrill_model::rate::Rate;
use shallotrill_model::service;
use shallotrill_model::target::State;
use shallotrill_model::target::Target;
use shallotrill_model::time::Instant;
use shallotrill_model::zone;

/// Weight of one measured round trip in the moving average for its zone.
const ROUND_TRIP_WEIGHT: f64 = 0.2;

/// Minimum value that the step of the median load is computed from, in requests for each slot.
const LOAD_STEP_FLOOR: f64 = 0.1;

/// Time for which an incarnation that is leaving is remembered; it ends within some seconds.
const LEAVING_RETENTION_PERIOD: Duration = Duration::from_mins(10);

/// The targets of all services with the data for their load estimates.
#[derive(Debug)]
pub struct Table {
    pub(crate) config: Config,
    pub(crate) services: Vec<Service>,
    /// Entries by index. An entry of a removed target is `None` until its index is reused.
    pub(crate) entries: Vec<Option<Entry>>,
    free_indices: Vec<EntryIndex>,
    pub(crate) instances: Vec<(instance::Name, EntryIndex)>,
    zone_round_trips_us: Vec<(zone::Name, f64)>,
    /// Incarnations that stated in a response that they are leaving, sorted by instance.
    leaving: Vec<Leaving>,
    /// Availability zones whose targets are not chosen, sorted.
    pub(crate) evacuated: Vec<zone::Name>,
    /// Rates of cold targets, sorted by service.
    pub(crate) warm_up_rates: Vec<(service::Name, Rate)>,
    /// Number of processes that send requests to the targets.
    pub(crate) processes: usize,
}

/// An incarnation that is leaving.
#[derive(Clone, Debug)]
struct Leaving {
    instance: instance::Name,
    incarnation: Incarnation,
    stated_at: Instant,
}

impl Table {
    /// Creates an empty table.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            services: Vec::new(),
            entries: Vec::new(),
            free_indices: Vec::new(),
            instances: Vec::new(),
            zone_round_trips_us: Vec::new(),
            leaving: Vec::new(),
            evacuated: Vec::new(),
            warm_up_rates: Vec::new(),
            processes: 1,
        }
    }

    /// Adds or updates targets. A target of a lower incarnation than the known one is ignored.
    pub fn apply(&mut self, targets: &[Target], now: Instant) {
        self.leaving
            .retain(|known| now.since(known.stated_at) < LEAVING_RETENTION_PERIOD);
        let mut changed: Vec<&service::Name> = Vec::new();
        for target in targets {
            let drained = self.is_leaving(target).then(|| Target {
                state: State::Draining,
                ..target.clone()
            });
            match self.find_index(&target.instance) {
                Some(index) => self.update(index, drained.as_ref().unwrap_or(target), now),
                None => self.add(drained.as_ref().unwrap_or(target), now),
            }
            if let Err(position) = changed.binary_search(&&target.service) {
                changed.insert(position, &target.service);
            }
        }
        for name in changed {
            self.refresh_service(name, now);
        }
    }

    /// Records that an incarnation has stated that it is leaving: it is not chosen again, also when
    /// an older announcement of it arrives later or it is removed and added.
    pub fn mark_leaving(
        &mut self,
        instance: &instance::Name,
        incarnation: Incarnation,
        now: Instant,
    ) {
        let leaving = Leaving {
            instance: instance.clone(),
            incarnation,
            stated_at: now,
        };
        match self.leaving.binary_search_by(|l| l.instance.cmp(instance)) {
            Ok(position) if self.leaving[position].incarnation >= incarnation => return,
            Ok(position) => self.leaving[position] = leaving,
            Err(position) => self.leaving.insert(position, leaving),
        }
        let Some(index) = self.find_index(instance) else {
            return;
        };
        let Some(entry) = self.entry(index) else {
            return;
        };
        if entry.target.incarnation == incarnation {
            let known = entry.target.clone();
            self.apply(&[known], now);
        }
    }

    fn is_leaving(&self, target: &Target) -> bool {
        self.leaving
            .binary_search_by(|known| known.instance.cmp(&target.instance))
            .is_ok_and(|position| self.leaving[position].incarnation == target.incarnation)
    }

    /// Removes the target of `instance`. Its service stays known, also without targets.
    pub fn remove(&mut self, instance: &instance::Name) {
        let Ok(position) = self
            .instances
            .binary_search_by(|(name, _)| name.cmp(instance))
        else {
            return;
        };
        let (_, index) = self.instances.remove(position);
        if let Some(entry) = self.entries[index.0].take() {
            if let Some(service) = self.service_mut(&entry.target.service) {
                service.remove(index);
            }
            self.refresh_earliest_ready(&entry.target.service);
        }
        self.free_indices.push(index);
    }

    /// Applies a load report. A report with a sequence number that is not higher than the last one,
    /// or of an earlier incarnation, is ignored. Returns whether the report was applied.
    pub fn apply_report(
        &mut self,
        instance: &instance::Name,
        report: Report,
        now: Instant,
    ) -> bool {
        let Some(index) = self.find_index(instance) else {
            return false;
        };
        let round_trip_us = self
            .entry(index)
            .map_or(0.0, |entry| self.round_trip_us(entry));
        let round_trip = Duration::from_micros(round_trip_us as u64);
        let Some(entry) = self.entries[index.0].as_mut() else {
            return false;
        };
        if !entry.apply_report(report, now, round_trip) {
            return false;
        }
        let limit = f64::from(report.limit.max(1));
        let load = (f64::from(report.in_flight) + f64::from(report.queued)) / limit;
        let name = entry.target.service.clone();
        if let Some(service) = self.service_mut(&name) {
            service.median_load.add(load, LOAD_STEP_FLOOR);
            if report.latency_us > 0 {
                service
                    .median_latency_us
                    .add(f64::from(report.latency_us), 1.0);
            }
        }
        true
    }

    /// Applies the pace that came with a load report which was applied; `None` when there was none.
    pub fn apply_pace(&mut self, instance: &instance::Name, pace: Option<Pace>, now: Instant) {
        let Some(entry) = self.entry_mut(instance) else {
            return;
        };
        entry.apply_pace(pace, now);
        let (wait, name) = (entry.pace_wait(now), entry.target.service.clone());
        if pace.is_some()
            && let Some(service) = self.service_mut(&name)
        {
            service.record_pace_wait(wait, now);
        }
    }

    /// Records a round trip that was measured on a connection to an availability zone.
    pub fn record_round_trip(&mut self, zone: &zone::Name, round_trip: Duration) {
        let sample_us = round_trip.as_micros() as f64;
        match self
            .zone_round_trips_us
            .binary_search_by(|(name, _)| name.cmp(zone))
        {
            Ok(position) => {
                let average_us = &mut self.zone_round_trips_us[position].1;
                *average_us += ROUND_TRIP_WEIGHT * (sample_us - *average_us);
            }
            Err(position) => self
                .zone_round_trips_us
                .insert(position, (zone.clone(), sample_us)),
        }
    }

    /// Records that a request is sent to `instance`.
    pub fn request_started(&mut self, instance: &instance::Name, now: Instant) {
        if let Some(entry) = self.entry_mut(instance) {
            entry.request_started(now);
        }
    }

    /// Records that a request to `instance` ended. A load report in the response is passed to [`Table::apply_report`].
    pub fn request_finished(&mut self, instance: &instance::Name, sample: Sample, now: Instant) {
        if let Some(entry) = self.entry_mut(instance) {
            entry.request_finished(&sample, now);
        }
    }

    /// Chooses a target. The caller then calls [`Table::request_started`] under the same lock, so
    /// that the next choice counts the request.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] when the service has no eligible target.
    pub fn choose(
        &mut self,
        query: &Query<'_>,
        now: Instant,
        random: &mut dyn FnMut() -> u64,
    ) -> Result<Choice, Refusal> {
        self.record_demand(query.service, now);
        (self.config.policy.choose)(self, query, now, random)
    }

    /// Whether a target may get requests beyond those that need it: it has announced that it is ready, not that it warms
    /// up, and its last report states no limited rate.
    pub fn is_unrestricted(&self, instance: &instance::Name) -> bool {
        let entry = self
            .find_index(instance)
            .and_then(|index| self.entry(index));
        entry.is_some_and(|entry| entry.target.state == State::Ready && !entry.is_paced())
    }

    /// Number of targets of a service that are neither draining nor evacuated; zero for an unknown service.
    pub fn target_count(&self, service: &service::Name) -> usize {
        let index = self.service_index(service);
        index.map_or(0, |index| self.services[index].len())
    }

    pub(crate) fn service_index(&self, name: &service::Name) -> Option<usize> {
        self.services
            .binary_search_by(|service| service.name.cmp(name))
            .ok()
    }

    pub(crate) fn entry(&self, index: EntryIndex) -> Option<&Entry> {
        self.entries[index.0].as_ref()
    }

    /// Round trip to the availability zone of an entry, measured or assumed, in microseconds.
    pub(crate) fn round_trip_us(&self, entry: &Entry) -> f64 {
        let target = &entry.target;
        if let Ok(position) = self
            .zone_round_trips_us
            .binary_search_by(|(name, _)| name.cmp(&target.zone))
        {
            return self.zone_round_trips_us[position].1;
        }
        let assumed_round_trip = if target.zone == self.config.zone {
            self.config.same_zone_round_trip
        } else if target.region == self.config.region {
            self.config.same_region_round_trip
        } else {
            self.config.other_region_round_trip
        };
        assumed_round_trip.as_micros() as f64
    }

    fn find_index(&self, instance: &instance::Name) -> Option<EntryIndex> {
        let position = self
            .instances
            .binary_search_by(|(name, _)| name.cmp(instance))
            .ok()?;
        Some(self.instances[position].1)
    }

    fn entry_mut(&mut self, instance: &instance::Name) -> Option<&mut Entry> {
        let index = self.find_index(instance)?;
        self.entries[index.0].as_mut()
    }

    pub(crate) fn service_mut(&mut self, name: &service::Name) -> Option<&mut Service> {
        let position = self.service_index(name)?;
        Some(&mut self.services[position])
    }

    /// Recomputes what depends on the targets of a service.
    pub(crate) fn refresh_service(&mut self, name: &service::Name, now: Instant) {
        if let Some(position) = self.service_index(name) {
            self.refresh_warm_up(position, now);
        }
        self.refresh_earliest_ready(name);
    }

    /// Recomputes since when the longest-ready target of a service is ready.
    fn refresh_earliest_ready(&mut self, name: &service::Name) {
        let Some(position) = self.service_index(name) else {
            return;
        };
        let entries = self.services[position]
            .members()
            .filter_map(|index| self.entry(index));
        let earliest_ready = entries.filter_map(|entry| entry.ready_since).min();
        self.services[position].earliest_ready = earliest_ready;
    }

    fn add(&mut self, target: &Target, now: Instant) {
        let entry = Some(Entry::new(target.clone(), now));
        let index = if let Some(index) = self.free_indices.pop() {
            self.entries[index.0] = entry;
            index
        } else {
            self.entries.push(entry);
            EntryIndex(self.entries.len() - 1)
        };
        let found = self
            .instances
            .binary_search_by(|(name, _)| name.cmp(&target.instance));
        let (Ok(position) | Err(position)) = found;
        self.instances
            .insert(position, (target.instance.clone(), index));
        self.insert_into_service(index, target);
    }

    fn update(&mut self, index: EntryIndex, target: &Target, now: Instant) {
        let Some(entry) = self.entries[index.0].as_mut() else {
            return;
        };
        let previous_service = entry.target.service.clone();
        entry.update(target, now);
        let current = entry.target.clone();
        if let Some(service) = self.service_mut(&previous_service) {
            service.remove(index);
        }
        self.insert_into_service(index, &current);
        if previous_service != current.service {
            self.refresh_earliest_ready(&previous_service);
        }
    }

    /// Adds an entry to its service, which is created when it does not exist.
    pub(crate) fn insert_into_service(&mut self, index: EntryIndex, target: &Target) {
        let found = self
            .services
            .binary_search_by(|service| service.name.cmp(&target.service));
        let position = found.unwrap_or_else(|position| {
            self.services
                .insert(position, Service::new(target.service.clone()));
            position
        });
        let withheld = self.is_withheld(target.state, &target.zone);
        let rank = self.config.subset.map_or(0, |s| s.rank(&target.instance));
        let member = Member { rank, index };
        self.services[position].insert(member, &target.region, &target.zone, withheld);
    }
}
