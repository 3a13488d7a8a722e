//! The table of services and targets.

use std::time::Duration;

use crate::choice::Choice;
use crate::choice::Query;
use crate::choice::Refusal;
use crate::config::Config;
use crate::entry::Entry;
use crate::member::Index;
use crate::member::Service;
use crate::sample::Sample;
use shallotrill_model::instance;
use shallotrill_model::load::Report;
use shallotrill_model::service;
use shallotrill_model::target::State;
use shallotrill_model::target::Target;
use shallotrill_model::time::Instant;
use shallotrill_model::zone;

/// Weight of one measured round trip in a distance.
const DISTANCE_WEIGHT: f64 = 0.2;

/// Floor of the step of the median load, in requests for each slot.
const LOAD_STEP_FLOOR: f64 = 0.1;

/// Targets of all services with their load estimates.
#[derive(Debug)]
pub struct Table {
    pub(crate) config: Config,
    pub(crate) services: Vec<Service>,
    /// Slots of removed targets stay empty until they are used again.
    pub(crate) entries: Vec<Option<Entry>>,
    free: Vec<Index>,
    instances: Vec<(instance::Name, Index)>,
    distances: Vec<(zone::Name, f64)>,
}

impl Table {
    /// An empty table.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            services: Vec::new(),
            entries: Vec::new(),
            free: Vec::new(),
            instances: Vec::new(),
            distances: Vec::new(),
        }
    }

    /// Adds or updates targets. A target of a lower incarnation than the known one is ignored.
    pub fn apply(&mut self, targets: &[Target], now: Instant) {
        let mut changed: Vec<&service::Name> = Vec::new();
        for target in targets {
            match self.find(&target.instance) {
                Some(index) => self.update(index, target, now),
                None => self.add(target, now),
            }
            if let Err(at) = changed.binary_search(&&target.service) {
                changed.insert(at, &target.service);
            }
        }
        for name in changed {
            self.refresh(name);
        }
    }

    /// Removes the target of `instance`; its service stays known.
    pub fn remove(&mut self, instance: &instance::Name) {
        let Ok(at) = self.instances.binary_search_by(|(n, _)| n.cmp(instance)) else {
            return;
        };
        let (_, index) = self.instances.remove(at);
        if let Some(entry) = self.entries[index.0].take() {
            if let Some(service) = self.service_mut(&entry.target.service) {
                service.remove(index);
            }
            self.refresh(&entry.target.service);
        }
        self.free.push(index);
    }

    /// Takes a load report. One of a lower sequence number or another incarnation is ignored.
    pub fn observe(&mut self, instance: &instance::Name, report: Report, now: Instant) {
        let Some(index) = self.find(instance) else {
            return;
        };
        let round_trip_us = self.entry(index).map_or(0.0, |e| self.round_trip_us(e));
        let round_trip = Duration::from_micros(round_trip_us as u64);
        let Some(entry) = self.entries[index.0].as_mut() else {
            return;
        };
        if !entry.observe(report, now, round_trip) {
            return;
        }
        let limit = f64::from(report.limit.max(1));
        let load = (f64::from(report.in_flight) + f64::from(report.queued)) / limit;
        let name = entry.target.service.clone();
        if let Some(service) = self.service_mut(&name) {
            service.load.add(load, LOAD_STEP_FLOOR);
            if report.latency_us > 0 {
                service.latency.add(f64::from(report.latency_us), 1.0);
            }
        }
    }

    /// Takes a round trip that was measured on a connection to an availability zone.
    pub fn measured(&mut self, zone: &zone::Name, round_trip: Duration) {
        let sample = round_trip.as_micros() as f64;
        match self.distances.binary_search_by(|(n, _)| n.cmp(zone)) {
            Ok(at) => {
                let value = &mut self.distances[at].1;
                *value += DISTANCE_WEIGHT * (sample - *value);
            }
            Err(at) => self.distances.insert(at, (zone.clone(), sample)),
        }
    }

    /// Notes that a request is sent to `instance`.
    pub fn started(&mut self, instance: &instance::Name, now: Instant) {
        if let Some(entry) = self.entry_mut(instance) {
            entry.started(now);
        }
    }

    /// Notes that a request to `instance` ended. A report that came with it goes to [`Table::observe`].
    pub fn finished(&mut self, instance: &instance::Name, sample: Sample, now: Instant) {
        if let Some(entry) = self.entry_mut(instance) {
            entry.finished(&sample, now);
        }
    }

    /// Chooses a target. The caller then calls [`Table::started`] under the same lock.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] when the service has no target that may be used.
    pub fn choose(
        &mut self,
        query: &Query<'_>,
        now: Instant,
        random: &mut dyn FnMut() -> u64,
    ) -> Result<Choice, Refusal> {
        (self.config.policy.choose)(self, query, now, random)
    }

    /// Number of known targets of a service that do not drain.
    pub fn targets(&self, service: &service::Name) -> usize {
        let index = self.service_index(service);
        index.map_or(0, |index| self.services[index].len())
    }

    pub(crate) fn service_index(&self, name: &service::Name) -> Option<usize> {
        self.services.binary_search_by(|s| s.name.cmp(name)).ok()
    }

    pub(crate) fn entry(&self, index: Index) -> Option<&Entry> {
        self.entries[index.0].as_ref()
    }

    /// Round trip to the availability zone of an entry, measured or assumed, in microseconds.
    pub(crate) fn round_trip_us(&self, entry: &Entry) -> f64 {
        let target = &entry.target;
        if let Ok(at) = self
            .distances
            .binary_search_by(|(n, _)| n.cmp(&target.zone))
        {
            return self.distances[at].1;
        }
        let assumed = if target.zone == self.config.zone {
            self.config.same_zone
        } else if target.region == self.config.region {
            self.config.same_region
        } else {
            self.config.other_region
        };
        assumed.as_micros() as f64
    }

    fn find(&self, instance: &instance::Name) -> Option<Index> {
        let at = self
            .instances
            .binary_search_by(|(n, _)| n.cmp(instance))
            .ok()?;
        Some(self.instances[at].1)
    }

    fn entry_mut(&mut self, instance: &instance::Name) -> Option<&mut Entry> {
        let index = self.find(instance)?;
        self.entries[index.0].as_mut()
    }

    fn service_mut(&mut self, name: &service::Name) -> Option<&mut Service> {
        let at = self.service_index(name)?;
        Some(&mut self.services[at])
    }

    /// Finds again since when the warmest target of a service is ready.
    fn refresh(&mut self, name: &service::Name) {
        let Some(at) = self.service_index(name) else {
            return;
        };
        let entries = self.services[at].members().filter_map(|m| self.entry(m));
        let warmest = entries.filter_map(|e| e.ready).min();
        self.services[at].warmest = warmest;
    }

    fn add(&mut self, target: &Target, now: Instant) {
        let entry = Some(Entry::new(target.clone(), now));
        let index = if let Some(index) = self.free.pop() {
            self.entries[index.0] = entry;
            index
        } else {
            self.entries.push(entry);
            Index(self.entries.len() - 1)
        };
        let place = self
            .instances
            .binary_search_by(|(n, _)| n.cmp(&target.instance));
        let (Ok(at) | Err(at)) = place;
        self.instances.insert(at, (target.instance.clone(), index));
        self.join(index, target);
    }

    fn update(&mut self, index: Index, target: &Target, now: Instant) {
        let Some(entry) = self.entries[index.0].as_mut() else {
            return;
        };
        let old = entry.target.service.clone();
        entry.update(target, now);
        let current = entry.target.clone();
        if let Some(service) = self.service_mut(&old) {
            service.remove(index);
        }
        self.join(index, &current);
        if old != current.service {
            self.refresh(&old);
        }
    }

    /// Puts an entry into its service, which is created when it is new.
    fn join(&mut self, index: Index, target: &Target) {
        let place = self
            .services
            .binary_search_by(|s| s.name.cmp(&target.service));
        let at = place.unwrap_or_else(|at| {
            self.services
                .insert(at, Service::new(target.service.clone()));
            at
        });
        let draining = target.state == State::Draining;
        self.services[at].insert(index, &target.region, &target.zone, draining);
    }
}
