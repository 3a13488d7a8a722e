//! Discrete-event simulation of many choosers and their targets in virtual time.
//!
//! Each chooser has its own table and learns only from responses, so every
//! report is stale by the way back and by the time since.

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
const QUEUE: usize = 40;
const SERVICE_US: f64 = 6_000.0;
const ZONES: [&str; 3] = ["bodo", "narvik", "svolvaer"];
const TICK_US: u64 = 1_000;

/// A target with slots and a queue in the order of arrival.
pub struct Server {
    pub target: Target,
    pub slowness: f64,
    /// Answers at once with an error and reports no failures.
    pub liar: bool,
    /// Refuses new work.
    pub leaving: bool,
    pub received: u64,
    /// When the last request reached it.
    pub last_us: u64,
    running: usize,
    waiting: VecDeque<usize>,
    sequence: u64,
    latency_us: f64,
}

struct Request {
    chooser: usize,
    server: usize,
    incarnation: Incarnation,
    start: u64,
    service_us: u64,
    outcome: Outcome,
    report: Report,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    Reach(usize),
    Finish(usize),
    Answer(usize),
    Tick,
}

/// What a run measured after its first virtual second.
#[derive(Default)]
pub struct Figures {
    pub latencies_us: Vec<u64>,
    pub failed: u64,
    pub refused: u64,
    /// Sum and number of samples of the highest over the mean load of a target.
    pub herding: (f64, u64),
}

impl Figures {
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        let at = (self.latencies_us.len() as f64 * quantile) as usize;
        let last = self.latencies_us.len().saturating_sub(1);
        self.latencies_us
            .get(at.min(last))
            .map_or(0.0, |us| *us as f64 / 1_000.0)
    }

    pub fn herding(&self) -> f64 {
        self.herding.0 / self.herding.1.max(1) as f64
    }
}

pub struct World {
    pub servers: Vec<Server>,
    pub figures: Figures,
    policy: Policy,
    scenario: Scenario,
    service: service::Name,
    tables: Vec<Table>,
    requests: Vec<Request>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    number: u64,
    state: u64,
}

impl World {
    pub fn new(
        policy: Policy,
        scenario: Scenario,
        choosers: usize,
        servers: usize,
        seed: u64,
    ) -> Self {
        let region = region::Name::new("nordland").unwrap();
        let table = |at: usize| {
            let zone = zone::Name::new(ZONES[at % ZONES.len()]).unwrap();
            Table::new(Config::new(region.clone(), zone))
        };
        let mut world = Self {
            servers: (0..servers).map(server).collect(),
            figures: Figures::default(),
            policy,
            scenario,
            service: service::Name::new("portal").unwrap(),
            tables: (0..choosers).map(table).collect(),
            requests: Vec::new(),
            events: BinaryHeap::new(),
            number: 0,
            state: seed,
        };
        world.announce(0);
        for chooser in 0..choosers {
            let gap = world.gap_us();
            world.at(gap, Event::Arrive(chooser));
        }
        world.at(0, Event::Tick);
        world
    }

    /// Runs to the end and sorts the latencies.
    pub fn run(&mut self) {
        let end = self.scenario.seconds * 1_000_000;
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            if now > end {
                break;
            }
            match event {
                Event::Arrive(chooser) => self.arrive(chooser, now),
                Event::Reach(request) => self.reach(request, now),
                Event::Finish(request) => self.finish(request, now),
                Event::Answer(request) => self.answer(request, now),
                Event::Tick => self.tick(now),
            }
        }
        self.figures.latencies_us.sort_unstable();
    }

    /// Share of all requests that a server received.
    pub fn share(&self, server: usize) -> f64 {
        let all: u64 = self.servers.iter().map(|s| s.received).sum();
        self.servers[server].received as f64 / all.max(1) as f64
    }

    /// Tells all choosers the present state of the targets.
    pub fn announce(&mut self, now: u64) {
        let targets: Vec<Target> = self.servers.iter().map(|s| s.target.clone()).collect();
        for table in &mut self.tables {
            table.apply(&targets, Instant(now));
        }
    }

    /// A number of splitmix64.
    pub fn random(&mut self) -> u64 {
        next(&mut self.state)
    }

    fn unit(&mut self) -> f64 {
        (self.random() >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn exponential(&mut self) -> f64 {
        -(1.0 - self.unit()).ln()
    }

    fn gap_us(&mut self) -> u64 {
        let capacity = (self.servers.len() * SLOTS) as f64 / SERVICE_US;
        let rate = capacity * self.scenario.load / self.tables.len() as f64;
        (self.exponential() / rate) as u64
    }

    fn at(&mut self, time: u64, event: Event) {
        self.number += 1;
        self.events.push(Reverse((time, self.number, event)));
    }

    fn arrive(&mut self, chooser: usize, now: u64) {
        let gap = self.gap_us();
        self.at(now + gap, Event::Arrive(chooser));
        let query = Query {
            service: &self.service,
            exclude: &[],
            priority: 0,
        };
        let state = &mut self.state;
        let table = &mut self.tables[chooser];
        let choice = (self.policy.choose)(table, &query, Instant(now), &mut || next(state));
        let Ok(choice) = choice else {
            self.figures.refused += 1;
            return;
        };
        table.started(&choice.instance, Instant(now));
        let by_name = |s: &Server| s.target.instance.cmp(&choice.instance);
        let server = self.servers.binary_search_by(by_name).unwrap();
        let service_us = SERVICE_US * (0.5 + 0.5 * self.exponential());
        let request = Request {
            chooser,
            server,
            incarnation: choice.incarnation,
            start: now,
            service_us: service_us as u64,
            outcome: Outcome::Success,
            report: Report::default(),
        };
        self.requests.push(request);
        let number = self.requests.len() - 1;
        self.at(now + way_us(chooser, server), Event::Reach(number));
    }

    fn reach(&mut self, number: usize, now: u64) {
        let at = self.requests[number].server;
        let server = &mut self.servers[at];
        server.received += u64::from(now > 1_000_000);
        server.last_us = now;
        if server.liar {
            self.requests[number].outcome = Outcome::Failure;
            self.reply(number, now + 100);
        } else if server.leaving || server.waiting.len() >= QUEUE {
            self.requests[number].outcome = Outcome::Refused;
            self.reply(number, now);
        } else if server.running < SLOTS {
            self.begin(number, now);
        } else {
            server.waiting.push_back(number);
        }
    }

    fn begin(&mut self, number: usize, now: u64) {
        let request = &mut self.requests[number];
        let server = &mut self.servers[request.server];
        server.running += 1;
        request.service_us = (request.service_us as f64 * server.slowness) as u64;
        let end = now + request.service_us;
        self.at(end, Event::Finish(number));
    }

    fn finish(&mut self, number: usize, now: u64) {
        let request = &self.requests[number];
        let server = &mut self.servers[request.server];
        server.running -= 1;
        server.latency_us += 0.1 * (request.service_us as f64 - server.latency_us);
        let next = server.waiting.pop_front();
        self.reply(number, now);
        if let Some(next) = next {
            self.begin(next, now);
        }
    }

    /// Sends the answer with the load of the server as it is now.
    fn reply(&mut self, number: usize, now: u64) {
        let request = &mut self.requests[number];
        let server = &mut self.servers[request.server];
        server.sequence += 1;
        request.report = Report {
            incarnation: server.target.incarnation,
            sequence: server.sequence,
            in_flight: server.running as u32,
            queued: server.waiting.len() as u32,
            limit: SLOTS as u32,
            latency_us: server.latency_us as u32,
            ..Report::default()
        };
        let (chooser, server) = (request.chooser, request.server);
        self.at(now + way_us(chooser, server), Event::Answer(number));
    }

    fn answer(&mut self, number: usize, now: u64) {
        let request = &self.requests[number];
        let instance = &self.servers[request.server].target.instance;
        let table = &mut self.tables[request.chooser];
        table.observe(instance, request.report, Instant(now));
        let sample = Sample {
            incarnation: request.incarnation,
            outcome: request.outcome,
            latency: Duration::from_micros(now - request.start),
        };
        table.finished(instance, sample, Instant(now));
        if now <= 1_000_000 {
            return;
        }
        match request.outcome {
            Outcome::Success => self.figures.latencies_us.push(now - request.start),
            Outcome::Failure | Outcome::Cancelled => self.figures.failed += 1,
            Outcome::Refused => self.figures.refused += 1,
        }
    }

    fn tick(&mut self, now: u64) {
        self.at(now + TICK_US, Event::Tick);
        (self.scenario.tick)(self, now);
        if now > 1_000_000 {
            let loads = self.servers.iter().map(|s| s.running + s.waiting.len());
            let (highest, sum) = loads.fold((0, 0), |(high, sum), n| (n.max(high), sum + n));
            let mean = sum as f64 / self.servers.len() as f64;
            if mean > 0.0 {
                self.figures.herding.0 += highest as f64 / mean;
                self.figures.herding.1 += 1;
            }
        }
    }
}

/// One-way delay between a chooser and a server.
fn way_us(chooser: usize, server: usize) -> u64 {
    let same = chooser % ZONES.len() == server % ZONES.len();
    if same { 50 } else { 500 }
}

fn server(at: usize) -> Server {
    let target = Target {
        service: service::Name::new("portal").unwrap(),
        instance: instance::Name::new(&format!("i{at:04}")).unwrap(),
        incarnation: Incarnation(1),
        zone: zone::Name::new(ZONES[at % ZONES.len()]).unwrap(),
        region: region::Name::new("nordland").unwrap(),
        address: SocketAddr::from(([127, 0, 0, 1], 1 + at as u16)),
        state: State::Ready,
        slots: SLOTS as u32,
    };
    Server {
        target,
        slowness: 1.0,
        liar: false,
        leaving: false,
        received: 0,
        last_us: 0,
        running: 0,
        waiting: VecDeque::new(),
        sequence: 0,
        latency_us: SERVICE_US,
    }
}

fn next(state: &mut u64) -> u64 {
    *state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let mut z = *state;
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
