//! Replays of the load of a service whose demand passes its capacity: entries, gates and callers in virtual time.

use std::collections::BTreeMap;
use std::time::Duration;

use shallotrill_limits::config::Config;
use shallotrill_limits::config::Ranks;
use shallotrill_limits::gate::Gate;
use shallotrill_limits::outlook::Decision;
use shallotrill_limits::outlook::Request;
use shallotrill_limits::outlook::Room;
use shallotrill_limits::outlook::Statements;
use shallotrill_limits::ticket::Effect;
use shallotrill_limits::ticket::Id;
use shallotrill_limits::ticket::Outcome;
use shallotrill_limits::ticket::Release;
use shallotrill_limits::ticket::Ticket;
use shallotrill_limits::ticket::Verdict;
use shallotrill_model::incarnation::Incarnation;
use shallotrill_model::instance;
use shallotrill_model::partner;
use shallotrill_model::time::Instant;
use shallotrill_retry::after;

const SLOTS: u32 = 9;
const ENTRIES: usize = 40;
const WORKSPACES: usize = 20;
const GATES_MAX: usize = 3;
const CALLER_RETRIES_MAX: u32 = 3;
const HOP_MS: u64 = 6;
const RANKS: Ranks = Ranks {
    per_priority: 8,
    per_level: 64,
};
const LENGTH_MS: u64 = 10_000;
/// Share of the time left that a request may wait, as at the router.
const WAIT_SHARE: f64 = 0.6;

/// A kind of request: priority at the gate, share of the requests, work, objective and limit in milliseconds.
struct Kind(u8, f64, u64, u64, u64);

/// Nested look-ups, weight readings, transfers and archive retrievals, the last one on a route of a lower priority.
const KINDS: [Kind; 4] = [
    Kind(254, 0.3, 40, 150, 500),
    Kind(252, 0.41, 160, 500, 2_000),
    Kind(252, 0.15, 210, 600, 2_500),
    Kind(242, 0.14, 400, 2_000, 5_000),
];
const NESTED: usize = 0;

/// A decision that a replay can leave out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Decided {
    TimelyFirst,
    Statements,
    Return,
    Fairness,
}

#[derive(Clone, Copy)]
struct Case {
    name: &'static str,
    gates: usize,
    /// Rate of all workspaces, and that of the first one in addition, from [`PEAK_MS`] on, as multiples of the usual.
    peak: (f64, f64),
    /// Slowness of the first gate at the peak.
    slow: u64,
    /// Whether the first workspace has a higher priority than the others.
    first_is_urgent: bool,
    /// Time without service before the peak; its requests all arrive at the peak.
    outage_ms: u64,
}

/// The peak lasts from the fourth to the seventh second.
const PEAK_MS: std::ops::Range<u64> = 4_000..7_000;

/// Usual load as a share of the capacity, and the share of the first workspace.
const USUAL: (f64, f64) = (0.75, 0.15);

const FLOOD: Case = Case {
    name: "one workspace at 7.5 times its rate",
    gates: 8,
    peak: (1.0, 7.5),
    slow: 1,
    first_is_urgent: false,
    outage_ms: 0,
};

const CASES: [Case; 5] = [
    FLOOD,
    Case {
        name: "a burst of 1.7",
        peak: (1.7, 1.0),
        ..FLOOD
    },
    Case {
        name: "one of five targets is slow",
        gates: 5,
        peak: (1.0, 1.0),
        slow: 4,
        ..FLOOD
    },
    Case {
        name: "all clients return after a power loss",
        peak: (1.0, 1.0),
        outage_ms: 2_000,
        ..FLOOD
    },
    Case {
        name: "the workspace of the highest priority at 15 times its rate",
        peak: (1.0, 15.0),
        first_is_urgent: true,
        ..FLOOD
    },
];

/// A request of a caller, also while it comes back after a refusal.
struct Call {
    kind: usize,
    workspace: usize,
    arrived_ms: u64,
    tried: Vec<usize>,
    returns: u32,
    started_ms: u64,
}

#[derive(Debug, Default)]
struct Outcomes {
    /// Responses in time in each second.
    timely: [u32; 30],
    /// Offers to gates and refusals by gates at the peak.
    offers: u32,
    refusals: u32,
    /// Requests and those served at the peak, by kind, and by workspace without nested look-ups, which have none.
    by_kind: [(u32, u32); 4],
    by_workspace: [(u32, u32); WORKSPACES],
}

impl Outcomes {
    /// Responses in time per second at the peak, compared with the best two seconds before it.
    fn goodput(&self) -> f64 {
        let best = (1..3).map(|s| self.timely[s] + self.timely[s + 1]).max();
        let peak: u32 = self.timely[4..7].iter().sum();
        f64::from(peak) / 3.0 / (f64::from(best.unwrap()) / 2.0)
    }
}

fn share((requests, served): (u32, u32)) -> f64 {
    f64::from(served) / f64::from(requests.max(1))
}

struct Replay {
    case: Case,
    without: Option<Decided>,
    gates: Vec<Gate>,
    /// Ends of the running requests in milliseconds, with the gate and the call.
    ends: BTreeMap<u64, Vec<(usize, usize)>>,
    /// Requests that arrive at their entry.
    due: BTreeMap<u64, Vec<usize>>,
    entries: Vec<Statements>,
    calls: Vec<Call>,
    outcomes: Outcomes,
    seed: u64,
}

impl Replay {
    fn has(&self, decided: Decided) -> bool {
        self.without != Some(decided)
    }

    fn random(&mut self) -> f64 {
        self.seed ^= self.seed << 13;
        self.seed ^= self.seed >> 7;
        self.seed ^= self.seed << 17;
        (self.seed >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn arrive(&mut self, workspace: usize, ms: u64) {
        let mut random = self.random();
        let kind = KINDS.iter().position(|kind| {
            random -= kind.1;
            random < 0.0
        });
        let kind = kind.unwrap_or(NESTED);
        if PEAK_MS.contains(&ms) {
            self.outcomes.by_kind[kind].0 += 1;
            self.outcomes.by_workspace[workspace].0 += u32::from(kind != NESTED);
        }
        self.due.entry(ms).or_default().push(self.calls.len());
        self.calls.push(Call {
            kind,
            workspace,
            arrived_ms: ms,
            tried: Vec::new(),
            returns: 0,
            started_ms: 0,
        });
    }

    /// Time left in which a request may wait for a slot, to be in time and at all.
    fn waits(&self, call: usize, ms: u64) -> (Duration, Duration) {
        let call = &self.calls[call];
        let kind = &KINDS[call.kind];
        let left = |total: u64| {
            let left = total.saturating_sub(ms - call.arrived_ms);
            Duration::from_millis(left).mul_f64(WAIT_SHARE)
        };
        (left(kind.3), left(kind.4))
    }

    fn request(&self, call: usize, ms: u64) -> Request {
        let Call {
            kind, workspace, ..
        } = self.calls[call];
        let less_urgent = self.case.first_is_urgent && workspace > 0 && kind != NESTED;
        let (start_within, late_start_within) = self.waits(call, ms);
        let nested = self.has(Decided::TimelyFirst) && kind == NESTED;
        Request {
            priority: KINDS[kind].0 - if less_urgent { RANKS.per_level } else { 0 },
            start_within: if nested {
                late_start_within
            } else {
                start_within
            },
            targets: self.gates.len(),
            is_first: self.calls[call].tried.is_empty(),
        }
    }

    fn send(&mut self, call: usize, ms: u64) {
        let now = Instant(ms * 1_000);
        let entry = call % ENTRIES;
        let (start_within, late_start_within) = self.waits(call, ms);
        let request = self.request(call, ms);
        if late_start_within.is_zero() {
            return;
        }
        if self.has(Decided::Statements)
            && let Decision::Refuse(room) = self.entries[entry].decide(&request, now)
        {
            return self.refuse(call, room, ms);
        }
        let two = [self.random(), self.random()].map(|r| (r * self.gates.len() as f64) as usize);
        let load = |gate: &usize| {
            let report = self.gates[*gate].clone().report(now);
            let slow = report.latency_us * (1 + report.in_flight + report.queued);
            (self.calls[call].tried.contains(gate), slow)
        };
        let gate = two.into_iter().min_by_key(load).unwrap();
        self.calls[call].tried.push(gate);
        let last = self.calls[call].tried.len() >= GATES_MAX;
        let workspace = self.calls[call].workspace * usize::from(self.has(Decided::Fairness));
        let ticket = Ticket {
            id: Id(call as u64),
            partner: partner::Name::new(&format!("w{workspace}")).unwrap(),
            priority: request.priority,
            timely_until: now + request.start_within,
            deadline: now
                + if last {
                    late_start_within
                } else {
                    start_within
                },
        };
        self.outcomes.offers += u32::from(PEAK_MS.contains(&ms));
        match self.gates[gate].offer(ticket, now) {
            Verdict::Run => self.start(gate, call, ms),
            Verdict::Queue { displaced } => {
                if let Some(displaced) = displaced {
                    self.deny(gate, displaced.id.0 as usize, ms);
                }
            }
            Verdict::Refuse(_) => self.deny(gate, call, ms),
        }
    }

    fn state(&mut self, gate: usize, call: usize, ms: u64) {
        let now = Instant(ms * 1_000);
        let outlook = self.gates[gate].outlook(now);
        let name = instance::Name::new(&format!("g{gate}")).unwrap();
        self.entries[call % ENTRIES].record(&name, outlook, now);
    }

    fn deny(&mut self, gate: usize, call: usize, ms: u64) {
        self.outcomes.refusals += u32::from(PEAK_MS.contains(&ms));
        self.state(gate, call, ms);
        if self.calls[call].tried.len() < GATES_MAX {
            self.due.entry(ms + HOP_MS).or_default().push(call);
        } else {
            let request = self.request(call, ms);
            let now = Instant(ms * 1_000);
            let room = self.entries[call % ENTRIES].refused_by_gates(&request, now);
            self.refuse(call, room, ms);
        }
    }

    /// Sends the caller away, which comes back after the stated time.
    fn refuse(&mut self, call: usize, room: Room, ms: u64) {
        let random = self.random();
        let has_return = self.has(Decided::Return);
        let known = &mut self.calls[call];
        known.tried.clear();
        known.returns += 1;
        if known.returns > CALLER_RETRIES_MAX {
            return;
        }
        let refused = after::Refused {
            elapsed: Duration::from_millis(ms - known.arrived_ms),
            objective: Duration::from_millis(KINDS[known.kind].3),
            limit: Duration::from_millis(KINDS[known.kind].4),
        };
        let Room { after, spread } = if has_return { room } else { Room::default() };
        let wait = after::retry_after_room(refused, after, spread, random);
        let due = ms + 1 + wait.as_millis() as u64;
        self.due.entry(due).or_default().push(call);
    }

    fn start(&mut self, gate: usize, call: usize, ms: u64) {
        let slow = match gate {
            0 if PEAK_MS.contains(&ms) => self.case.slow,
            _ => 1,
        };
        let work = KINDS[self.calls[call].kind].2 as f64 * (0.5 + self.random());
        self.calls[call].started_ms = ms;
        let end = ms + (work as u64).max(1) * slow;
        self.ends.entry(end).or_default().push((gate, call));
    }

    fn apply(&mut self, gate: usize, effect: Effect, ms: u64) {
        for id in effect.run {
            self.start(gate, id.0 as usize, ms);
        }
        for refused in effect.refused {
            self.deny(gate, refused.id.0 as usize, ms);
        }
    }

    fn end(&mut self, gate: usize, call: usize, ms: u64) {
        let known = &self.calls[call];
        let (kind, took) = (&KINDS[known.kind], ms - known.arrived_ms);
        if took <= kind.3 && known.kind != NESTED {
            self.outcomes.timely[(ms / 1_000) as usize] += 1;
        }

        if PEAK_MS.contains(&known.arrived_ms) && took <= kind.4 {
            self.outcomes.by_kind[known.kind].1 += 1;
            self.outcomes.by_workspace[known.workspace].1 += u32::from(known.kind != NESTED);
        }
        let release = Release {
            id: Id(call as u64),
            latency: Duration::from_millis(ms - known.started_ms),
            outcome: Outcome::Success,
        };
        let effect = self.gates[gate].release(release, Instant(ms * 1_000));
        self.apply(gate, effect, ms);
        self.state(gate, call, ms);
    }

    fn step(&mut self, ms: u64) {
        for (gate, call) in self.ends.remove(&ms).unwrap_or_default() {
            self.end(gate, call, ms);
        }
        for gate in 0..self.gates.len() {
            let effect = self.gates[gate].expire(Instant(ms * 1_000));
            self.apply(gate, effect, ms);
        }
        while let Some(calls) = self.due.remove(&ms) {
            for call in calls {
                self.send(call, ms);
            }
        }
    }
}

fn replay(case: Case, without: Option<Decided>, seed: u64) -> Outcomes {
    let mut config = Config::new(Incarnation(1), SLOTS, SLOTS * 3).tolerance(1_000.0);
    if without != Some(Decided::TimelyFirst) {
        config = config.timely_first(RANKS);
    }
    let mut replay = Replay {
        case,
        without,
        gates: vec![Gate::new(config); case.gates],
        ends: BTreeMap::new(),
        due: BTreeMap::new(),
        entries: vec![Statements::new(RANKS); ENTRIES],
        calls: Vec::new(),
        outcomes: Outcomes::default(),
        seed,
    };
    let mean_work: f64 = KINDS.iter().map(|kind| kind.1 * kind.2 as f64).sum();
    let per_ms = f64::from(SLOTS) * case.gates as f64 / mean_work * USUAL.0;
    let mut due = 0.0;
    for ms in 0..LENGTH_MS {
        let peak = PEAK_MS.contains(&ms);
        let (all, first) = if peak { case.peak } else { (1.0, 1.0) };
        let first = USUAL.1 * first;
        let outage = PEAK_MS.start.saturating_sub(case.outage_ms)..PEAK_MS.start;
        due += per_ms * all * (1.0 - USUAL.1 + first);
        while due >= 1.0 && !outage.contains(&ms) {
            due -= 1.0;
            let random = replay.random() * (1.0 - USUAL.1 + first);
            let others = (random - first) / (1.0 - USUAL.1) * (WORKSPACES - 1) as f64;
            let workspace = if others < 0.0 { 0 } else { 1 + others as usize };
            replay.arrive(workspace.min(WORKSPACES - 1), ms);
        }
        replay.step(ms);
    }
    replay.outcomes
}

const SEEDS: std::ops::Range<u64> = 1..9;

/// Mean of a measurement over the seeds.
fn mean(case: Case, without: Option<Decided>, measure: fn(&Outcomes) -> f64) -> f64 {
    let values = SEEDS.map(|seed| measure(&replay(case, without, seed)));
    values.sum::<f64>() / SEEDS.count() as f64
}

/// Share of the requests of the workspace with the least, relative to that of all. The requests of all seeds are added
/// up, because a workspace sends only about thirty at the peak.
fn least_workspace(case: Case, without: Option<Decided>) -> f64 {
    let mut sums = [(0, 0); WORKSPACES];
    for seed in SEEDS {
        let outcomes = replay(case, without, seed);
        for (sum, known) in sums.iter_mut().zip(outcomes.by_workspace) {
            *sum = (sum.0 + known.0, sum.1 + known.1);
        }
    }
    let all = |all: (u32, u32), sum: &(u32, u32)| (all.0 + sum.0, all.1 + sum.1);
    let all = share(sums.iter().fold((0, 0), all));
    sums.map(share).into_iter().fold(1.0, f64::min) / all
}

/// Guards against goodput that collapses when demand passes the capacity, and against a kind of request or a
/// workspace that is not served at all.
#[test]
fn goodput_at_the_peak_is_that_before_it() {
    for case in CASES {
        let goodput = mean(case, None, Outcomes::goodput);
        println!(
            "{}: goodput at the peak {goodput:.3} of that before",
            case.name
        );
        assert!(goodput >= 0.95, "{}: {goodput}", case.name);
        let worst_kind = mean(case, None, |o| {
            o.by_kind.map(share).into_iter().fold(1.0, f64::min)
        });
        assert!(worst_kind >= 0.25, "{}: {worst_kind}", case.name);
        // No workspace is served less than a quarter as often as all.
        let least = least_workspace(case, None);
        println!("{}: least {least:.3}", case.name);
        assert!(least >= 0.25, "{}: {least}", case.name);
        let nested = mean(case, None, |o| share(o.by_kind[NESTED]));
        assert!(nested >= 0.95, "{}: nested {nested}", case.name);
    }
}

struct Comparison {
    name: &'static str,
    case: usize,
    without: Decided,
    measure: fn(&Outcomes) -> f64,
    /// Lowest and highest ratio of the measurement to that without the decision.
    ratio: (f64, f64),
}

/// Guards against the loss of a decision: each of these ratios is one without it.
const COMPARISONS: [Comparison; 5] = [
    Comparison {
        name: "goodput, one workspace floods",
        case: 0,
        without: Decided::TimelyFirst,
        measure: Outcomes::goodput,
        ratio: (1.1, 2.0),
    },
    Comparison {
        name: "goodput, a burst",
        case: 1,
        without: Decided::TimelyFirst,
        measure: Outcomes::goodput,
        ratio: (1.05, 2.0),
    },
    Comparison {
        name: "requests of the other workspaces that are not served, one workspace floods",
        case: 0,
        without: Decided::Fairness,
        measure: |o| {
            let others = o.by_workspace[1..].iter().map(|known| share(*known));
            1.0 - others.fold(1.0, f64::min)
        },
        ratio: (0.0, 0.8),
    },
    Comparison {
        name: "offers to gates after a power loss",
        case: 3,
        without: Decided::Statements,
        measure: |o| f64::from(o.offers),
        ratio: (0.0, 0.65),
    },
    Comparison {
        name: "refusals by gates after a power loss",
        case: 3,
        without: Decided::Return,
        measure: |o| f64::from(o.refusals),
        ratio: (0.0, 0.97),
    },
];

#[test]
fn each_decision_shows_in_its_replay() {
    for comparison in COMPARISONS {
        let case = CASES[comparison.case];
        let with = mean(case, None, comparison.measure);
        let without = mean(case, Some(comparison.without), comparison.measure);
        let context = format!("{}: {with:.3}, without {without:.3}", comparison.name);
        println!("{context}");
        let (lowest, highest) = comparison.ratio;
        assert!((lowest..=highest).contains(&(with / without)), "{context}");
    }
}
