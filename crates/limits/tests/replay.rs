//! Replays of load patterns against one gate, in virtual time.

use std::time::Duration;

use shallotrill_limits::config::Config;
use shallotrill_limits::gate::Gate;
use shallotrill_limits::ticket::Effect;
use shallotrill_limits::ticket::Id;
use shallotrill_limits::ticket::Outcome;
use shallotrill_limits::ticket::Release;
use shallotrill_limits::ticket::Ticket;
use shallotrill_limits::ticket::Verdict;
use shallotrill_model::incarnation::Incarnation;
use shallotrill_model::partner;
use shallotrill_model::time::Instant;

/// Slots that the gate of a backend server with 12 slots uses.
const SLOTS: u32 = 9;

/// Kinds of requests at the gate.
#[derive(Clone, Copy)]
struct Kind {
    /// Rank in the queue; a higher value runs first.
    priority: u8,
    work: Duration,
    /// Longest wait for a slot of a request that is to be in time.
    start_within: Duration,
    /// Longest wait of a late start.
    late_start_within: Duration,
}

/// A booking of Gardırop.
const REQUEST: Kind = Kind {
    priority: 0,
    work: Duration::from_millis(290),
    start_within: Duration::from_millis(480),
    late_start_within: Duration::from_millis(1_500),
};

/// A call that a running request of another service makes. The request that made it fails with it.
const CALL: Kind = Kind {
    priority: 1,
    work: Duration::from_millis(55),
    start_within: Duration::from_millis(90),
    late_start_within: Duration::from_millis(360),
};

/// Mean duration of the work, relative to that on an undisturbed machine.
const MEAN_SLOWDOWN: f64 = 1.75;

/// Calls for each request.
const CALLS_PER_REQUEST: usize = 3;

/// The machine is four times slower in every fourth interval of this length.
const INTERFERENCE_LENGTH: Duration = Duration::from_millis(300);

/// Duration of a replay.
const LENGTH_MS: u64 = 12_000;

struct Case {
    name: &'static str,
    /// Load as a multiple of the capacity in each second; the last value holds until the end.
    loads: &'static [f64],
    /// Highest number of refused calls, as a share of those that are refused without late starts.
    refused_calls_max: f64,
    /// Lowest number of requests in time, as a share of those without late starts.
    timely_min: f64,
}

/// Guards against calls that are refused although a slot becomes free within their time (a service short of room
/// with nested calls), and against late starts that cost the requests that would be in time.
const CASES: &[Case] = &[
    Case {
        name: "a burst of 1.7 for three seconds",
        loads: &[0.85, 0.85, 1.7, 1.7, 1.7, 0.85],
        refused_calls_max: 0.5,
        timely_min: 0.9,
    },
    Case {
        name: "lasting overload of 1.3",
        loads: &[1.3],
        refused_calls_max: 0.5,
        timely_min: 0.9,
    },
    Case {
        name: "no overload",
        loads: &[0.7],
        refused_calls_max: 0.5,
        timely_min: 1.0,
    },
];

/// Outcomes of the calls and the requests of a replay.
#[derive(Debug, Default)]
struct Outcomes {
    calls: u32,
    refused_calls: u32,
    timely_requests: u32,
    late_requests: u32,
    refused_requests: u32,
}

struct Replay {
    gate: Gate,
    outcomes: Outcomes,
    /// Kind and arrival time of each ticket, by its number.
    tickets: Vec<(Kind, Instant)>,
    /// End, ticket and start of the running ones.
    running: Vec<(Instant, Id, Instant)>,
}

impl Replay {
    fn kind(&self, id: Id) -> Kind {
        self.tickets[id.0 as usize].0
    }

    fn start(&mut self, id: Id, now: Instant) {
        let interval = now.0 / INTERFERENCE_LENGTH.as_micros() as u64;
        let slowdown = if interval.is_multiple_of(4) { 4 } else { 1 };
        self.running
            .push((now + self.kind(id).work * slowdown, id, now));
    }

    fn refuse(&mut self, id: Id) {
        if self.kind(id).priority == CALL.priority {
            self.outcomes.refused_calls += 1;
        } else {
            self.outcomes.refused_requests += 1;
        }
    }

    fn apply(&mut self, effect: &Effect, now: Instant) {
        for id in &effect.run {
            self.start(*id, now);
        }
        for refused in &effect.refused {
            self.refuse(refused.id);
        }
    }

    fn offer(&mut self, kind: Kind, late_start: bool, now: Instant) {
        let id = Id(self.tickets.len() as u64);
        self.tickets.push((kind, now));
        self.outcomes.calls += u32::from(kind.priority == CALL.priority);
        let start_within = if late_start {
            kind.late_start_within
        } else {
            kind.start_within
        };
        let ticket = Ticket {
            id,
            partner: partner::Name::new("p").expect("a valid name"),
            priority: kind.priority,
            timely_until: now + kind.start_within,
            deadline: now + start_within,
        };
        match self.gate.offer(ticket, now) {
            Verdict::Run => self.start(id, now),
            Verdict::Queue { displaced } => {
                if let Some(displaced) = displaced {
                    self.refuse(displaced.id);
                }
            }
            Verdict::Refuse(_) => self.refuse(id),
        }
    }

    fn end_tickets(&mut self, now: Instant) {
        while let Some(index) = self.running.iter().position(|(end, ..)| *end <= now) {
            let (_, id, started) = self.running.swap_remove(index);
            let (kind, arrived) = self.tickets[id.0 as usize];
            let timely = now.since(arrived) <= kind.start_within + kind.work;
            if kind.priority == REQUEST.priority {
                self.outcomes.timely_requests += u32::from(timely);
                self.outcomes.late_requests += u32::from(!timely);
            }
            let release = Release {
                id,
                latency: now.since(started),
                outcome: Outcome::Success,
            };
            let effect = self.gate.release(release, now);
            self.apply(&effect, now);
        }
    }
}

fn replay(case: &Case, late_start: bool) -> Outcomes {
    let config = Config::new(Incarnation(1), SLOTS, SLOTS * 3)
        .service_time(REQUEST.work)
        .tolerance(1_000.0);
    let mut replay = Replay {
        gate: Gate::new(config),
        outcomes: Outcomes::default(),
        tickets: Vec::new(),
        running: Vec::new(),
    };
    // A request and its calls are offered as one group, whose work is spread over the slots.
    let group_work = (REQUEST.work + CALL.work * CALLS_PER_REQUEST as u32).mul_f64(MEAN_SLOWDOWN);
    let groups_per_ms = f64::from(SLOTS) / group_work.as_millis() as f64;
    let mut due_calls = 0.0;
    let mut due_requests = 0.0;
    for ms in 0..LENGTH_MS {
        let now = Instant(ms * 1_000);
        replay.end_tickets(now);
        let effect = replay.gate.expire(now);
        replay.apply(&effect, now);
        let second = (ms / 1_000) as usize;
        let groups = groups_per_ms * case.loads[second.min(case.loads.len() - 1)];
        due_requests += groups;
        due_calls += groups * CALLS_PER_REQUEST as f64;
        while due_requests >= 1.0 {
            due_requests -= 1.0;
            replay.offer(REQUEST, late_start, now);
        }
        while due_calls >= 1.0 {
            due_calls -= 1.0;
            replay.offer(CALL, late_start, now);
        }
    }
    replay.outcomes
}

#[test]
fn calls_are_served_when_room_is_short() {
    for case in CASES {
        let without = replay(case, false);
        let with = replay(case, true);
        let context = format!("{}: {without:?} without, {with:?} with", case.name);
        let refused_max = f64::from(without.refused_calls) * case.refused_calls_max;
        assert!(f64::from(with.refused_calls) <= refused_max, "{context}");
        let timely_min = f64::from(without.timely_requests) * case.timely_min;
        assert!(f64::from(with.timely_requests) >= timely_min, "{context}");
    }
}
