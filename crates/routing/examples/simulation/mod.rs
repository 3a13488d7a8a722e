//! Discrete-event simulation of many routing clients and their targets in virtual time.
//!
//! Each client has its own routing table and receives load reports only in responses, so
//! every report is stale by the network delay and by the time since the response.

pub mod scenario;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use self::scenario::Scenario;
use shallotrill_model::incarnation::Incarnation;
use shallotrill_model::instance;
use shallotrill_model::load::Report;
use shallotrill_model::region;
use shallotrill_model::service;
use shallotrill_model::target::State;
use shallotrill_model::target::Target;
use shallotrill_model::time::Instant;
use shallotrill_model::zone;
use shallotrill_routing::Table;
use shallotrill_routing::choice::Query;
use shallotrill_routing::config::Config;
use shallotrill_routing::policy::Policy;
use shallotrill_routing::sample::Outcome;
use shallotrill_routing::sample::Sample;

pub const SLOTS: usize = 10;
const QUEUE_MAX: usize = 40;
const ZONES: [&str; 3] = ["bodo", "narvik", "svolvaer"];
const TICK_INTERVAL_US: u64 = 1_000;

/// A simulated target with slots and a FIFO queue.
pub struct SimulatedTarget {
    pub announced: Target,
    pub slowdown: f64,
    /// Whether it responds at once with an error and reports no failures.
    pub fails_fast: bool,
    /// Whether it refuses new requests.
    pub refuses_requests: bool,
    pub received: u64,
    /// Arrival time of the last request, in microseconds.
    pub last_request_us: u64,
    running: usize,
    queue: VecDeque<usize>,
    sequence: u64,
    latency_us: f64,
}

struct Request {
    client: usize,
    target_index: usize,
    incarnation: Incarnation,
    start_us: u64,
    service_time_us: u64,
    outcome: Outcome,
    report: Report,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(usize),
    RequestReceived(usize),
    RequestCompleted(usize),
    ResponseReceived(usize),
    Tick,
}

/// Measurements of a run after its first virtual second, the warm-up.
#[derive(Default)]
pub struct Measurements {
    pub latencies_us: Vec<u64>,
    pub failed: u64,
    pub refused: u64,
    /// Sum and number of samples of the highest over the mean load of the targets.
    pub herding: (f64, u64),
}

impl Measurements {
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        let index = (self.latencies_us.len() as f64 * quantile) as usize;
        let last = self.latencies_us.len().saturating_sub(1);
        self.latencies_us
            .get(index.min(last))
            .map_or(0.0, |us| *us as f64 / 1_000.0)
    }

    pub fn herding(&self) -> f64 {
        self.herding.0 / self.herding.1.max(1) as f64
    }
}

pub struct Simulation {
    pub targets: Vec<SimulatedTarget>,
    pub measurements: Measurements,
    policy: Policy,
    scenario: Scenario,
    service: service::Name,
    tables: Vec<Table>,
    requests: Vec<Request>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    event_number: u64,
    random_state: u64,
}

impl Simulation {
    pub fn new(
        policy: Policy,
        scenario: Scenario,
        clients: usize,
        targets: usize,
        seed: u64,
    ) -> Self {
        let region = region::Name::new("nordland").unwrap();
        let table = |index: usize| {
            let zone = zone::Name::new(ZONES[index % ZONES.len()]).unwrap();
            Table::new((scenario.config)(
                Config::new(region.clone(), zone),
                index as u64,
            ))
        };
        let mut simulation = Self {
            targets: (0..targets)
                .map(|index| simulated_target(index, scenario.service_time_us))
                .collect(),
            measurements: Measurements::default(),
            policy,
            scenario,
            service: service::Name::new("portal").unwrap(),
            tables: (0..clients).map(table).collect(),
            requests: Vec::new(),
            events: BinaryHeap::new(),
            event_number: 0,
            random_state: seed,
        };
        simulation.announce(0);
        for client in 0..clients {
            let interval_us = simulation.arrival_interval_us();
            simulation.schedule(interval_us, Event::Arrival(client));
        }
        simulation.schedule(0, Event::Tick);
        simulation
    }

    /// Runs the scenario to its end and sorts the measured latencies.
    pub fn run(&mut self) {
        let end_us = self.scenario.seconds * 1_000_000;
        while let Some(Reverse((now_us, _, event))) = self.events.pop() {
            if now_us > end_us {
                break;
            }
            match event {
                Event::Arrival(client) => self.handle_arrival(client, now_us),
                Event::RequestReceived(request) => self.handle_request(request, now_us),
                Event::RequestCompleted(request) => self.complete_request(request, now_us),
                Event::ResponseReceived(request) => self.handle_response(request, now_us),
                Event::Tick => self.tick(now_us),
            }
        }
        self.measurements.latencies_us.sort_unstable();
    }

    /// Share of all received requests that one target received, from 0 to 1.
    pub fn share(&self, target_index: usize) -> f64 {
        let total: u64 = self.targets.iter().map(|target| target.received).sum();
        self.targets[target_index].received as f64 / total.max(1) as f64
    }

    /// Applies the current state of all targets to the tables of all clients.
    pub fn announce(&mut self, now_us: u64) {
        let targets: Vec<Target> = self
            .targets
            .iter()
            .map(|target| target.announced.clone())
            .collect();
        for table in &mut self.tables {
            table.apply(&targets, Instant(now_us));
        }
    }

    /// Returns the next random number of splitmix64.
    pub fn random(&mut self) -> u64 {
        splitmix64(&mut self.random_state)
    }

    fn unit(&mut self) -> f64 {
        (self.random() >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn exponential(&mut self) -> f64 {
        -(1.0 - self.unit()).ln()
    }

    fn arrival_interval_us(&mut self) -> u64 {
        let capacity = (self.targets.len() * SLOTS) as f64 / self.scenario.service_time_us;
        let rate = capacity * self.scenario.load / self.tables.len() as f64;
        (self.exponential() / rate) as u64
    }

    fn schedule(&mut self, time_us: u64, event: Event) {
        self.event_number += 1;
        self.events
            .push(Reverse((time_us, self.event_number, event)));
    }

    fn handle_arrival(&mut self, client: usize, now_us: u64) {
        let interval_us = self.arrival_interval_us();
        self.schedule(now_us + interval_us, Event::Arrival(client));
        let query = Query {
            service: &self.service,
            exclude: &[],
            priority: 0,
        };
        let random_state = &mut self.random_state;
        let table = &mut self.tables[client];
        let choice = (self.policy.choose)(table, &query, Instant(now_us), &mut || {
            splitmix64(random_state)
        });
        let Ok(choice) = choice else {
            self.measurements.refused += 1;
            return;
        };
        table.request_started(&choice.instance, Instant(now_us));
        let by_name = |target: &SimulatedTarget| target.announced.instance.cmp(&choice.instance);
        let target_index = self.targets.binary_search_by(by_name).unwrap();
        let service_time_us = self.scenario.service_time_us * (0.5 + 0.5 * self.exponential());
        let request = Request {
            client,
            target_index,
            incarnation: choice.incarnation,
            start_us: now_us,
            service_time_us: service_time_us as u64,
            outcome: Outcome::Success,
            report: Report::default(),
        };
        self.requests.push(request);
        let request_number = self.requests.len() - 1;
        self.schedule(
            now_us + network_delay_us(client, target_index),
            Event::RequestReceived(request_number),
        );
    }

    fn handle_request(&mut self, request_number: usize, now_us: u64) {
        let target_index = self.requests[request_number].target_index;
        let target = &mut self.targets[target_index];
        target.received += u64::from(now_us > 1_000_000);
        target.last_request_us = now_us;
        if target.fails_fast {
            self.requests[request_number].outcome = Outcome::Failure;
            self.send_response(request_number, now_us + 100);
        } else if target.refuses_requests || target.queue.len() >= QUEUE_MAX {
            self.requests[request_number].outcome = Outcome::Refused;
            self.send_response(request_number, now_us);
        } else if target.running < SLOTS {
            self.start_request(request_number, now_us);
        } else {
            target.queue.push_back(request_number);
        }
    }

    fn start_request(&mut self, request_number: usize, now_us: u64) {
        let request = &mut self.requests[request_number];
        let target = &mut self.targets[request.target_index];
        target.running += 1;
        request.service_time_us = (request.service_time_us as f64 * target.slowdown) as u64;
        let end_us = now_us + request.service_time_us;
        self.schedule(end_us, Event::RequestCompleted(request_number));
    }

    fn complete_request(&mut self, request_number: usize, now_us: u64) {
        let request = &self.requests[request_number];
        let target = &mut self.targets[request.target_index];
        target.running -= 1;
        target.latency_us += 0.1 * (request.service_time_us as f64 - target.latency_us);
        let queued_request = target.queue.pop_front();
        self.send_response(request_number, now_us);
        if let Some(queued_request) = queued_request {
            self.start_request(queued_request, now_us);
        }
    }

    /// Sends the response with the current load of the target.
    fn send_response(&mut self, request_number: usize, now_us: u64) {
        let request = &mut self.requests[request_number];
        let target = &mut self.targets[request.target_index];
        target.sequence += 1;
        request.report = Report {
            incarnation: target.announced.incarnation,
            sequence: target.sequence,
            in_flight: target.running as u32,
            queued: target.queue.len() as u32,
            limit: SLOTS as u32,
            latency_us: target.latency_us as u32,
            ..Report::default()
        };
        let (client, target_index) = (request.client, request.target_index);
        self.schedule(
            now_us + network_delay_us(client, target_index),
            Event::ResponseReceived(request_number),
        );
    }

    fn handle_response(&mut self, request_number: usize, now_us: u64) {
        let request = &self.requests[request_number];
        let instance = &self.targets[request.target_index].announced.instance;
        let table = &mut self.tables[request.client];
        table.apply_report(instance, request.report, Instant(now_us));
        let sample = Sample {
            incarnation: request.incarnation,
            outcome: request.outcome,
            latency: Duration::from_micros(now_us - request.start_us),
        };
        table.request_finished(instance, sample, Instant(now_us));
        if now_us <= 1_000_000 {
            return;
        }
        match request.outcome {
            Outcome::Success => self
                .measurements
                .latencies_us
                .push(now_us - request.start_us),
            Outcome::Failure | Outcome::Cancelled => self.measurements.failed += 1,
            Outcome::Refused => self.measurements.refused += 1,
        }
    }

    fn tick(&mut self, now_us: u64) {
        self.schedule(now_us + TICK_INTERVAL_US, Event::Tick);
        (self.scenario.tick)(self, now_us);
        if now_us > 1_000_000 {
            let loads = self
                .targets
                .iter()
                .map(|target| target.running + target.queue.len());
            let (highest, sum) = loads.fold((0, 0), |(high, sum), n| (n.max(high), sum + n));
            let mean = sum as f64 / self.targets.len() as f64;
            if mean > 0.0 {
                self.measurements.herding.0 += highest as f64 / mean;
                self.measurements.herding.1 += 1;
            }
        }
    }
}

/// One-way network delay between a client and a target, in microseconds.
fn network_delay_us(client: usize, target_index: usize) -> u64 {
    let same_zone = client % ZONES.len() == target_index % ZONES.len();
    if same_zone { 50 } else { 500 }
}

fn simulated_target(index: usize, service_time_us: f64) -> SimulatedTarget {
    let announced = Target {
        service: service::Name::new("portal").unwrap(),
        instance: instance::Name::new(&format!("i{index:04}")).unwrap(),
        incarnation: Incarnation(1),
        zone: zone::Name::new(ZONES[index % ZONES.len()]).unwrap(),
        region: region::Name::new("nordland").unwrap(),
        address: SocketAddr::from(([127, 0, 0, 1], 1 + index as u16)),
        state: State::Ready,
        slots: SLOTS as u32,
    };
    SimulatedTarget {
        announced,
        slowdown: 1.0,
        fails_fast: false,
        refuses_requests: false,
        received: 0,
        last_request_us: 0,
        running: 0,
        queue: VecDeque::new(),
        sequence: 0,
        latency_us: service_time_us,
    }
}

fn splitmix64(random_state: &mut u64) -> u64 {
    *random_state = random_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let mut z = *random_state;
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
