//! Targets that are cold: how much of the load they take, and when all of a service are too busy for more.
//!
//! The gate beside a target keeps its pace. What is decided here keeps requests from being sent
//! there in crowds only to be refused: the share of a cold target follows from the demand that this
//! process sees, and its waiting time counts before its first report.

use std::time::Duration;

use crate::draw::random_unit;
use crate::entry::Entry;
use crate::member::Service;
use crate::table::Table;
use shallotrill_model::instance;
use shallotrill_model::rate::Rate;
use shallotrill_model::service;
use shallotrill_model::target::State;
use shallotrill_model::time::Instant;

/// Period over which the demand for a service is averaged.
const DEMAND_PERIOD: Duration = Duration::from_secs(1);

/// Weight of one reported waiting time in the average of its service.
const WAIT_WEIGHT: f64 = 0.2;

/// Time in which the average waiting time of a service halves without reports.
const WAIT_HALF_LIFE: Duration = Duration::from_secs(1);

/// Share of the requests that are sent although the average waiting time is too long. Only their responses show
/// that it has become shorter.
const TRIED_SHARE: f64 = 0.1;

/// Minimum share of a cold target, so that it receives any requests at all.
const SHARE_MIN: f64 = 0.02;

/// Requests take about twice as long at a cold target.
pub(crate) const LATENCY_RATIO: f64 = 2.0;

/// What is known of a service whose targets may be cold.
#[derive(Clone, Debug)]
pub(crate) struct WarmUp {
    rate: Rate,
    /// Requests per second that this process sends to the service.
    demand: f64,
    demand_at: Instant,
    /// Average of the reported waiting times, in microseconds.
    wait_us: f64,
    wait_at: Instant,
}

impl WarmUp {
    const fn new(rate: Rate, now: Instant) -> Self {
        Self {
            rate,
            demand: 0.0,
            demand_at: now,
            wait_us: 0.0,
            wait_at: now,
        }
    }

    fn demand(&self, now: Instant) -> f64 {
        let age = now.since(self.demand_at).as_secs_f64();
        self.demand * (-age / DEMAND_PERIOD.as_secs_f64()).exp()
    }

    fn record_request(&mut self, now: Instant) {
        self.demand = self.demand(now) + 1.0 / DEMAND_PERIOD.as_secs_f64();
        self.demand_at = now;
    }

    fn wait(&self, now: Instant) -> Duration {
        let age = now.since(self.wait_at).as_secs_f64();
        let wait_us = self.wait_us * (-age / WAIT_HALF_LIFE.as_secs_f64()).exp2();
        Duration::from_micros(wait_us as u64)
    }

    fn record_wait(&mut self, wait: Duration, now: Instant) {
        let known_us = self.wait(now).as_micros() as f64;
        self.wait_us = known_us + WAIT_WEIGHT * (wait.as_micros() as f64 - known_us);
        self.wait_at = now;
    }
}

impl Service {
    /// Whether a target of this service is cold, or its backend server states a limit.
    fn is_paced(&self, entry: &Entry) -> bool {
        self.warm_up.is_some() && (entry.target.state == State::Starting || entry.is_paced())
    }

    /// Share of the usual load that a target takes at the rate of a cold one; `None` when none is stated.
    ///
    /// All processes are taken to send as much as this one.
    pub(crate) fn cold_share(&self, processes: usize, now: Instant) -> Option<f64> {
        let warm_up = self.warm_up.as_ref()?;
        let demand = warm_up.demand(now) * processes as f64 / self.len().max(1) as f64;
        Some((warm_up.rate.per_second() / demand).clamp(SHARE_MIN, 1.0))
    }

    /// Records the waiting time that a target reports.
    pub(crate) fn record_pace_wait(&mut self, wait: Duration, now: Instant) {
        if let Some(warm_up) = &mut self.warm_up {
            warm_up.record_wait(wait, now);
        }
    }
}

impl Table {
    /// Sets the rates that the targets of services accept while they are cold, sorted by service. The targets of all
    /// other services have no such rate.
    pub fn set_warm_up_rates(&mut self, rates: Vec<(service::Name, Rate)>, now: Instant) {
        self.warm_up_rates = rates;
        for position in 0..self.services.len() {
            self.refresh_warm_up(position, now);
        }
    }

    /// Sets the number of processes that send requests to the targets.
    pub const fn set_process_count(&mut self, processes: usize) {
        self.processes = if processes > 0 { processes } else { 1 };
    }

    /// Applies the rate of a service at `position`, also to its targets that have not reported yet.
    pub(crate) fn refresh_warm_up(&mut self, position: usize, now: Instant) {
        let service = &mut self.services[position];
        let rates = &self.warm_up_rates;
        let found = rates.binary_search_by(|(name, _)| name.cmp(&service.name));
        let Ok(found) = found else {
            service.warm_up = None;
            return;
        };
        let rate = rates[found].1;
        match &mut service.warm_up {
            Some(warm_up) => warm_up.rate = rate,
            None => service.warm_up = Some(WarmUp::new(rate, now)),
        }
        let members: Vec<_> = service.members().collect();
        for index in members {
            if let Some(entry) = self.entries[index.0].as_mut() {
                entry.assume_pace(rate, now);
            }
        }
    }

    /// Counts a request of this process in the demand for a service.
    pub(crate) fn record_demand(&mut self, service: &service::Name, now: Instant) {
        if self.warm_up_rates.is_empty() {
            return;
        }
        if let Some(position) = self.service_index(service)
            && let Some(warm_up) = &mut self.services[position].warm_up
        {
            warm_up.record_request(now);
        }
    }

    /// The expected wait of a request when all targets of its service are cold and none of them will start it within
    /// `wait_max`; such a request is to be refused. A small share of them is sent nevertheless.
    pub fn excessive_cold_wait(
        &self,
        service: &service::Name,
        exclude: &[instance::Name],
        wait_max: Duration,
        now: Instant,
        random: &mut dyn FnMut() -> u64,
    ) -> Option<Duration> {
        if self.warm_up_rates.is_empty() {
            return None;
        }
        let service = &self.services[self.service_index(service)?];
        let average = service.warm_up.as_ref()?.wait(now);
        let mut shortest = None;
        for entry in service.members().filter_map(|index| self.entry(index)) {
            if !service.is_paced(entry) {
                return None;
            }
            if !exclude.contains(&entry.target.instance) {
                let wait = entry.pace_wait(now);
                shortest = Some(shortest.map_or(wait, |known: Duration| known.min(wait)));
            }
        }
        let shortest = shortest?;
        let wait = shortest.max(average);
        let is_excessive =
            shortest > wait_max || (average > wait_max && random_unit(random) >= TRIED_SHARE);
        is_excessive.then_some(wait)
    }
}
