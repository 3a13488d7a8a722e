//! Replays of load patterns with cold targets, in virtual time: routers with a routing table each, and targets with
//! the gate beside them.

use std::net::SocketAddr;
use std::time::Duration;

use shallotrill_limits::config::Config as GateConfig;
use shallotrill_limits::gate::Gate;
use shallotrill_limits::ticket::Id;
use shallotrill_limits::ticket::Outcome as GateOutcome;
use shallotrill_limits::ticket::Release;
use shallotrill_limits::ticket::Ticket;
use shallotrill_limits::ticket::Verdict;
use shallotrill_model::incarnation::Incarnation;
use shallotrill_model::instance;
use shallotrill_model::partner;
use shallotrill_model::rate::Rate;
use shallotrill_model::region;
use shallotrill_model::service;
use shallotrill_model::target::State;
use shallotrill_model::target::Target;
use shallotrill_model::time::Instant;
use shallotrill_model::zone;
use shallotrill_routing::Table;
use shallotrill_routing::choice::Query;
use shallotrill_routing::config::Config;
use shallotrill_routing::sample::Outcome;
use shallotrill_routing::sample::Sample;

const ZONES: [&str; 3] = ["a", "b", "c"];
const TARGETS: usize = 18;
const ROUTERS: usize = 12;
const SLOTS: u32 = 7;
const QUEUE: u32 = 21;
const LENGTH_MS: u64 = 10_000;

const WORK_MS: u64 = 160;
const COLD_WORK_MS: u64 = 320;

/// Requests per second that a cold target accepts, and what the users allow in any second.
const COLD_PER_SECOND: u32 = 6;
const COLD_ALLOWED: usize = 17;

/// Longest wait at a gate.
const WAIT_MAX: Duration = Duration::from_millis(300);

/// Gates that a request asks.
const ATTEMPTS: usize = 3;

/// Time after which a change of a target is known to all routers.
const ANNOUNCED_AFTER_MS: u64 = 100;

/// What targets are before they are cold.
#[derive(PartialEq)]
enum Before {
    Absent,
    Evacuated,
    Warm,
}

struct Case {
    name: &'static str,
    /// Targets that become cold.
    returning: fn(usize) -> bool,
    /// When they do and for how long.
    back_ms: u64,
    cold_ms: u64,
    /// What they are until then.
    before: Before,
    /// Time at which the routers beside the returning targets restart.
    restart_ms: Option<u64>,
    /// Requests per second before and after that.
    rates: (f64, f64),
    /// Highest number of refusals by gates while they are cold, as a share of the requests in that time.
    refusals_max: f64,
    /// Lowest number of starts at cold targets, as a share of what they accept.
    used_min: f64,
}

/// Guards against targets that are overloaded while they are cold, crowds of requests that are sent there only to be
/// refused, and cold targets that are not used.
const CASES: &[Case] = &[
    Case {
        name: "all targets of a zone come back at once in a burst",
        returning: |target| target % ZONES.len() == 0,
        back_ms: 3_000,
        cold_ms: 4_000,
        before: Before::Absent,
        restart_ms: None,
        rates: (300.0, 510.0),
        refusals_max: 0.1,
        used_min: 0.7,
    },
    Case {
        name: "the end of an evacuation",
        returning: |target| target % ZONES.len() == 0,
        back_ms: 3_000,
        cold_ms: 4_000,
        before: Before::Evacuated,
        restart_ms: None,
        rates: (300.0, 510.0),
        refusals_max: 0.1,
        used_min: 0.7,
    },
    Case {
        name: "everything after a power loss",
        returning: |_| true,
        back_ms: 0,
        cold_ms: 6_000,
        before: Before::Absent,
        restart_ms: None,
        rates: (300.0, 510.0),
        refusals_max: 0.6,
        used_min: 0.8,
    },
    Case {
        name: "all targets of a zone become cold again under load",
        returning: |target| target % ZONES.len() == 0,
        back_ms: 3_000,
        cold_ms: 4_000,
        before: Before::Warm,
        restart_ms: None,
        rates: (450.0, 450.0),
        refusals_max: 0.1,
        used_min: 0.5,
    },
    Case {
        name: "the routers restart while their targets are cold",
        returning: |target| target % ZONES.len() == 0,
        back_ms: 3_000,
        cold_ms: 4_000,
        before: Before::Absent,
        restart_ms: Some(5_000),
        rates: (300.0, 510.0),
        refusals_max: 0.1,
        used_min: 0.7,
    },
];

/// Numbers from a seed, so that each run is the same.
struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    fn below(&mut self, bound: usize) -> usize {
        ((u128::from(self.next()) * bound as u128) >> 64) as usize
    }
}

fn name(target: usize) -> instance::Name {
    instance::Name::new(&format!("t{target}")).expect("a valid name")
}

fn service() -> service::Name {
    service::Name::new("archive").expect("a valid name")
}

fn zone(index: usize) -> zone::Name {
    zone::Name::new(ZONES[index % ZONES.len()]).expect("a valid name")
}

fn cold_rate() -> Rate {
    Rate::from_millihertz(COLD_PER_SECOND * 1_000)
}

fn target(index: usize, state: State) -> Target {
    Target {
        service: service(),
        instance: name(index),
        incarnation: Incarnation(1),
        zone: zone(index),
        region: region::Name::new("r").expect("a valid name"),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        state,
        slots: SLOTS,
    }
}

fn table(router: usize) -> Table {
    let region = region::Name::new("r").expect("a valid name");
    let config = Config::new(region, zone(router))
        .warm_up_period(Duration::from_secs(3))
        .load_latency_share(1.0)
        .latency_band(1.0)
        .cross_zone_share(1.0)
        .default_latency(Duration::from_millis(WORK_MS))
        .last_resort(true);
    let mut table = Table::new(config);
    table.set_warm_up_rates(vec![(service(), cold_rate())], Instant(0));
    table.set_process_count(ROUTERS);
    table
}

fn gate(is_cold: bool, now: Instant) -> Gate {
    let work = Duration::from_millis(WORK_MS);
    let mut gate = Gate::new(GateConfig::new(Incarnation(1), SLOTS, QUEUE).service_time(work));
    assert!(
        gate.set_warm_up(Some(cold_rate()), is_cold, now)
            .run
            .is_empty()
    );
    gate
}

/// A request at a gate.
#[derive(Clone)]
struct Request {
    router: usize,
    tried: Vec<instance::Name>,
    target: usize,
    sent: Instant,
    end_ms: u64,
}

struct Replay<'case> {
    case: &'case Case,
    random: Random,
    tables: Vec<Table>,
    gates: Vec<Gate>,
    requests: Vec<Request>,
    running: Vec<usize>,
    /// Times of the starts at each target while it was cold.
    cold_starts: Vec<Vec<u64>>,
    requests_while_cold: usize,
    refusals_while_cold: usize,
    refused_early: usize,
}

impl<'case> Replay<'case> {
    fn new(case: &'case Case) -> Self {
        let mut tables: Vec<Table> = (0..ROUTERS).map(table).collect();
        for table in &mut tables {
            let is_known = |t: &usize| case.before != Before::Absent || !(case.returning)(*t);
            let known = (0..TARGETS).filter(is_known);
            let known: Vec<_> = known.map(|t| target(t, State::Ready)).collect();
            table.apply(&known, Instant(0));
            if case.before == Before::Evacuated {
                table.set_evacuated_zones(&[zone(0)], Instant(0));
            }
        }
        Self {
            case,
            random: Random(7),
            tables,
            gates: (0..TARGETS).map(|_| gate(false, Instant(0))).collect(),
            requests: Vec::new(),
            running: Vec::new(),
            cold_starts: vec![Vec::new(); TARGETS],
            requests_while_cold: 0,
            refusals_while_cold: 0,
            refused_early: 0,
        }
    }

    fn is_cold_time(&self, now_ms: u64) -> bool {
        let case = self.case;
        (case.back_ms..case.back_ms + case.cold_ms).contains(&now_ms)
    }

    fn is_cold(&self, target: usize, now_ms: u64) -> bool {
        (self.case.returning)(target) && self.is_cold_time(now_ms)
    }

    /// Applies the changes of targets that happen at this time.
    fn change(&mut self, now_ms: u64) {
        let now = Instant(now_ms * 1_000);
        let case = self.case;
        let returning: Vec<usize> = (0..TARGETS).filter(|t| (case.returning)(*t)).collect();
        let announce = |tables: &mut Vec<Table>, state| {
            let targets: Vec<_> = returning.iter().map(|t| target(*t, state)).collect();
            for table in tables {
                table.apply(&targets, now);
                table.set_evacuated_zones(&[], now);
            }
        };
        let end_ms = case.back_ms + case.cold_ms;
        if now_ms == case.back_ms {
            for target in &returning {
                if case.before != Before::Warm {
                    self.gates[*target] = gate(false, now);
                }
                let effect = self.gates[*target].set_warm_up(Some(cold_rate()), true, now);
                self.start_all(effect.run, now_ms);
            }
        }
        if now_ms == case.back_ms + ANNOUNCED_AFTER_MS {
            announce(&mut self.tables, State::Starting);
        }
        if Some(now_ms) == case.restart_ms {
            for target in &returning {
                self.gates[*target] = gate(true, now);
                self.running
                    .retain(|id| self.requests[*id].target != *target);
            }
        }
        if now_ms == end_ms {
            for target in &returning {
                let effect = self.gates[*target].set_warm_up(Some(cold_rate()), false, now);
                self.start_all(effect.run, now_ms);
            }
        }
        if now_ms == end_ms + ANNOUNCED_AFTER_MS {
            announce(&mut self.tables, State::Ready);
        }
    }

    fn start_all(&mut self, ids: Vec<Id>, now_ms: u64) {
        for id in ids {
            let id = id.0 as usize;
            let target = self.requests[id].target;
            let is_cold = self.is_cold(target, now_ms);
            if is_cold {
                self.cold_starts[target].push(now_ms);
            }
            let work_ms = if is_cold { COLD_WORK_MS } else { WORK_MS };
            self.requests[id].end_ms = now_ms + work_ms;
            self.running.push(id);
        }
    }

    /// Chooses a target for a request and offers it to the gate there, until one accepts it.
    fn send(&mut self, router: usize, mut tried: Vec<instance::Name>, now_ms: u64) {
        let now = Instant(now_ms * 1_000);
        while tried.len() < ATTEMPTS {
            let random = &mut self.random;
            let table = &mut self.tables[router];
            let mut draw = || random.next();
            let excessive = table.excessive_cold_wait(&service(), &tried, WAIT_MAX, now, &mut draw);
            if excessive.is_some() {
                self.refused_early += 1;
                return;
            }
            let query = Query {
                service: &service(),
                exclude: &tried,
                priority: 0,
            };
            let Ok(choice) = table.choose(&query, now, &mut draw) else {
                return;
            };
            table.request_started(&choice.instance, now);
            let target: usize = choice.instance.as_str()[1..].parse().expect("a number");
            let id = self.requests.len();
            tried.push(choice.instance);
            self.requests.push(Request {
                router,
                tried: tried.clone(),
                target,
                sent: now,
                end_ms: 0,
            });
            let ticket = Ticket {
                id: Id(id as u64),
                partner: partner::Name::new("a").expect("a valid name"),
                priority: 0,
                timely_until: now + WAIT_MAX,
                deadline: now + WAIT_MAX,
            };
            match self.gates[target].offer(ticket, now) {
                Verdict::Run => return self.start_all(vec![Id(id as u64)], now_ms),
                Verdict::Queue { displaced } => {
                    assert!(displaced.is_none(), "all requests have the same rank");
                    return;
                }
                Verdict::Refuse(_) => self.respond(id, Outcome::Refused, now_ms),
            }
        }
    }

    /// Applies a response or a refusal with the load report of the gate.
    fn respond(&mut self, id: usize, outcome: Outcome, now_ms: u64) {
        let now = Instant(now_ms * 1_000);
        let request = &self.requests[id];
        let gate = &mut self.gates[request.target];
        let (report, pace) = (gate.report(now), gate.pace(now));
        let table = &mut self.tables[request.router];
        let instance = name(request.target);
        if table.apply_report(&instance, report, now) {
            table.apply_pace(&instance, pace, now);
        }
        let sample = Sample {
            incarnation: Incarnation(1),
            outcome,
            latency: now.since(request.sent),
        };
        table.request_finished(&instance, sample, now);
        if outcome == Outcome::Refused && self.is_cold_time(now_ms) {
            self.refusals_while_cold += 1;
        }
    }

    fn end_requests(&mut self, now_ms: u64) {
        let now = Instant(now_ms * 1_000);
        let requests = &self.requests;
        let is_ended = |id: &usize| requests[*id].end_ms <= now_ms;
        let ended: Vec<usize> = self.running.iter().copied().filter(is_ended).collect();
        self.running.retain(|id| !ended.contains(id));
        for id in ended {
            let request = &self.requests[id];
            let release = Release {
                id: Id(id as u64),
                latency: now.since(request.sent),
                outcome: GateOutcome::Success,
            };
            let effect = self.gates[request.target].release(release, now);
            self.start_all(effect.run, now_ms);
            self.respond(id, Outcome::Success, now_ms);
            self.repeat(effect.refused.iter().map(|r| r.id), now_ms);
        }
        for target in 0..TARGETS {
            let effect = self.gates[target].expire(now);
            self.start_all(effect.run, now_ms);
            self.repeat(effect.refused.iter().map(|r| r.id), now_ms);
        }
    }

    fn repeat(&mut self, refused: impl Iterator<Item = Id>, now_ms: u64) {
        for id in refused {
            let id = id.0 as usize;
            self.respond(id, Outcome::Refused, now_ms);
            let request = self.requests[id].clone();
            self.send(request.router, request.tried, now_ms);
        }
    }

    fn run(&mut self) {
        let (before, after) = self.case.rates;
        for now_ms in 0..LENGTH_MS {
            self.change(now_ms);
            self.end_requests(now_ms);
            let rate = if now_ms < self.case.back_ms {
                before
            } else {
                after
            };
            // Arrivals per millisecond, with the fraction drawn.
            let expected = (rate * 1_000.0) as usize;
            if self.random.below(1_000_000) < expected {
                let router = self.random.below(ROUTERS);
                if self.is_cold_time(now_ms) {
                    self.requests_while_cold += 1;
                }
                self.send(router, Vec::new(), now_ms);
            }
        }
    }
}

#[test]
fn cold_targets_get_what_they_accept() {
    for case in CASES {
        let mut replay = Replay::new(case);
        replay.run();
        for starts in &replay.cold_starts {
            for (index, at) in starts.iter().enumerate() {
                let begin = starts.partition_point(|start| start + 1_000 <= *at);
                let count = index + 1 - begin;
                assert!(
                    count <= COLD_ALLOWED,
                    "{}: {count} starts in a second",
                    case.name
                );
            }
        }
        let refusals = replay.refusals_while_cold as f64 / replay.requests_while_cold as f64;
        let returned = (0..TARGETS).filter(|t| (case.returning)(*t)).count();
        let accepted = returned as f64 * f64::from(COLD_PER_SECOND) * case.cold_ms as f64 / 1_000.0;
        let started: usize = replay.cold_starts.iter().map(Vec::len).sum();
        let used = started as f64 / accepted;
        let counts = replay.cold_starts.iter().map(Vec::len);
        let counts: Vec<usize> = counts.filter(|count| *count > 0).collect();
        println!(
            "{}: {} requests, {refusals:.2} refusals each, {used:.2} used, {} refused early, starts {counts:?}",
            case.name, replay.requests_while_cold, replay.refused_early
        );
        assert!(
            refusals <= case.refusals_max,
            "{}: {refusals} refusals",
            case.name
        );
        assert!(used >= case.used_min, "{}: {used} used", case.name);
        let highest = counts.iter().max().expect("a target that is used");
        let lowest = counts.iter().min().expect("a target that is used");
        assert_eq!(
            counts.len(),
            returned,
            "{}: a target is not used",
            case.name
        );
        assert!(
            *highest <= 2 * lowest + 8,
            "{}: uneven, {counts:?}",
            case.name
        );
    }
}
