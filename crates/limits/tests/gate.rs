//! Tables for the gate: verdicts, shares under storms, the limit, and the plan of probes.

use std::collections::VecDeque;
use std::time::Duration;

use shallotrill_limits::config::Config;
use shallotrill_limits::gate::Gate;
use shallotrill_limits::probe::Facts;
use shallotrill_limits::probe::Need;
use shallotrill_limits::probe::Plan;
use shallotrill_limits::ticket::Id;
use shallotrill_limits::ticket::Outcome;
use shallotrill_limits::ticket::Refusal;
use shallotrill_limits::ticket::Refused;
use shallotrill_limits::ticket::Release;
use shallotrill_limits::ticket::Ticket;
use shallotrill_limits::ticket::Verdict;
use shallotrill_model::incarnation::Incarnation;
use shallotrill_model::partner;
use shallotrill_model::time::Instant;

/// Service time that the gates of these tests assume and measure.
const SERVICE: Duration = Duration::from_millis(10);

fn gate(slots: u32, queue: u32) -> Gate {
    Gate::new(Config::new(Incarnation(1), slots, queue).service_time(SERVICE))
}

fn ticket(id: u64, partner: &str, priority: u8, patience_ms: u64, now: Instant) -> Ticket {
    Ticket {
        id: Id(id),
        partner: partner::Name::new(partner).unwrap(),
        priority,
        deadline: now + Duration::from_millis(patience_ms),
    }
}

fn displaced(id: u64) -> Verdict {
    let id = Id(id);
    let refusal = Refusal::Displaced;
    Verdict::Queue {
        displaced: Some(Refused { id, refusal }),
    }
}

struct Offer {
    name: &'static str,
    /// Partner and priority of the tickets offered before; the first runs, and two more may wait.
    before: &'static [(&'static str, u8)],
    /// Partner, priority and patience in milliseconds.
    request: (&'static str, u8, u64),
    expected: fn() -> Verdict,
}

/// Guards against work that starts after its caller gave up, and against one partner or the low priorities holding the whole queue.
const OFFERS: &[Offer] = &[
    Offer {
        name: "a free slot",
        before: &[],
        request: ("a", 0, 1),
        expected: || Verdict::Run,
    },
    Offer {
        name: "a wait within the deadline",
        before: &[("a", 0)],
        request: ("a", 0, 11),
        expected: || Verdict::Queue { displaced: None },
    },
    Offer {
        name: "a wait past the deadline",
        before: &[("a", 0), ("a", 0)],
        request: ("a", 0, 11),
        expected: || Verdict::Refuse(Refusal::TooLate { wait: SERVICE * 2 }),
    },
    Offer {
        name: "a higher priority waits less",
        before: &[("a", 0), ("a", 0)],
        request: ("a", 1, 11),
        expected: || Verdict::Queue { displaced: None },
    },
    Offer {
        name: "full for the partner that fills it",
        before: &[("a", 0), ("a", 0), ("a", 0)],
        request: ("a", 0, 1_000),
        expected: || Verdict::Refuse(Refusal::Full { queued: 2 }),
    },
    Offer {
        name: "the newest of a partner over its share gives way",
        before: &[("a", 0), ("a", 0), ("a", 0)],
        request: ("b", 0, 1_000),
        expected: || displaced(2),
    },
    Offer {
        name: "a lower priority gives way",
        before: &[("a", 0), ("b", 0), ("a", 0)],
        request: ("a", 1, 1_000),
        expected: || displaced(2),
    },
    Offer {
        name: "lower priorities keep their reserve",
        before: &[("a", 0), ("a", 1), ("b", 0)],
        request: ("a", 1, 1_000),
        expected: || Verdict::Refuse(Refusal::Full { queued: 2 }),
    },
    Offer {
        name: "a low priority gets its reserve",
        before: &[("a", 1), ("a", 1), ("a", 1)],
        request: ("b", 0, 1_000),
        expected: || displaced(2),
    },
    Offer {
        name: "equal shares do not displace each other",
        before: &[("a", 0), ("a", 0), ("b", 0)],
        request: ("b", 0, 1_000),
        expected: || Verdict::Refuse(Refusal::Full { queued: 2 }),
    },
];

#[test]
fn offers_are_judged() {
    let now = Instant(1_000);
    for case in OFFERS {
        let mut gate = gate(1, 2);
        for (id, (partner, priority)) in (0..).zip(case.before) {
            gate.offer(ticket(id, partner, *priority, 1_000, now), now);
        }
        let (partner, priority, patience_ms) = case.request;
        let verdict = gate.offer(ticket(9, partner, priority, patience_ms, now), now);
        assert_eq!(verdict, (case.expected)(), "{}", case.name);
    }
}

struct Storm {
    name: &'static str,
    callers: &'static [Caller],
}

/// Partner, priority, weight, offers in each round, slot time of a request in milliseconds, and
/// lowest share of the slot time.
type Caller = (&'static str, u8, u32, u32, u64, f64);

/// Guards against starvation of a partner by another's retry storm or long requests, and of a low priority by a higher one.
const STORMS: &[Storm] = &[
    Storm {
        name: "a retry storm leaves the other partner its half",
        callers: &[("storm", 0, 1, 50, 10, 0.45), ("calm", 0, 1, 2, 10, 0.45)],
    },
    Storm {
        name: "slot time is shared, not requests",
        callers: &[("long", 0, 1, 20, 30, 0.45), ("short", 0, 1, 20, 10, 0.45)],
    },
    Storm {
        name: "shares follow weights",
        callers: &[("heavy", 0, 3, 20, 10, 0.7), ("light", 0, 1, 20, 10, 0.2)],
    },
    Storm {
        name: "a low priority keeps an eighth",
        callers: &[("high", 9, 1, 50, 10, 0.8), ("low", 0, 1, 4, 10, 0.12)],
    },
    Storm {
        name: "priority goes before fairness",
        callers: &[("high", 9, 1, 4, 10, 0.8), ("low", 0, 9, 50, 10, 0.12)],
    },
];

/// Runs requests through one slot and returns the share of slot time of each caller.
fn storm(case: &Storm) -> Vec<f64> {
    let mut config = Config::new(Incarnation(1), 1, 16).service_time(SERVICE);
    for (partner, _, weight, ..) in case.callers {
        config = config.weight(partner::Name::new(partner).unwrap(), *weight);
    }
    let mut gate = Gate::new(config);
    let mut owners = Vec::new();
    let mut used = vec![0.0; case.callers.len()];
    let mut running = None;
    let mut now = Instant(0);
    for _ in 0..2_000 {
        for (owner, (partner, priority, _, offers, ..)) in case.callers.iter().enumerate() {
            for _ in 0..*offers {
                let id = owners.len() as u64;
                owners.push(owner);
                let verdict = gate.offer(ticket(id, partner, *priority, 100_000, now), now);
                if verdict == Verdict::Run {
                    running = Some(Id(id));
                }
            }
        }
        let id = running.take().expect("the slot is in use");
        let owner = owners[id.0 as usize];
        let latency = Duration::from_millis(case.callers[owner].4);
        used[owner] += latency.as_secs_f64();
        now = now + latency;
        let outcome = Outcome::Success;
        let release = Release {
            id,
            latency,
            outcome,
        };
        running = gate.release(release, now).run.first().copied();
    }
    let all: f64 = used.iter().sum();
    used.iter().map(|used| used / all).collect()
}

#[test]
fn storms_starve_nobody() {
    for case in STORMS {
        let shares = storm(case);
        for (caller, share) in case.callers.iter().zip(&shares) {
            assert!(*share >= caller.5, "{}: {shares:?}", case.name);
        }
    }
}

struct Adapt {
    name: &'static str,
    /// Requests, their latency in milliseconds and how they end.
    phases: &'static [(u32, u64, Outcome)],
    limit_min: u32,
    limit_max: u32,
}

/// Guards against a limit that ignores a slow or shedding backend server, never recovers, or closes the gate.
const ADAPTS: &[Adapt] = &[
    Adapt {
        name: "steady keeps the slots",
        phases: &[(300, 10, Outcome::Success)],
        limit_min: 10,
        limit_max: 10,
    },
    Adapt {
        name: "a noisy neighbour lowers it",
        phases: &[(100, 10, Outcome::Success), (40, 50, Outcome::Success)],
        limit_min: 1,
        limit_max: 5,
    },
    Adapt {
        name: "jitter of the machine does not",
        phases: &[(100, 1, Outcome::Success), (40, 5, Outcome::Success)],
        limit_min: 10,
        limit_max: 10,
    },
    Adapt {
        name: "it recovers",
        phases: &[
            (100, 10, Outcome::Success),
            (40, 50, Outcome::Success),
            (300, 10, Outcome::Success),
        ],
        limit_min: 10,
        limit_max: 10,
    },
    Adapt {
        name: "shedding lowers it to one at the lowest",
        phases: &[(500, 10, Outcome::Shed)],
        limit_min: 1,
        limit_max: 1,
    },
    Adapt {
        name: "timeouts lower it",
        phases: &[(100, 10, Outcome::Success), (20, 100, Outcome::Timeout)],
        limit_min: 1,
        limit_max: 7,
    },
    Adapt {
        name: "failures do not",
        phases: &[(100, 1, Outcome::Failure)],
        limit_min: 10,
        limit_max: 10,
    },
];

#[test]
fn limit_follows_the_backend_server() {
    for case in ADAPTS {
        let mut gate = gate(10, 20);
        let (mut now, mut id, mut running) = (Instant(0), 0, VecDeque::new());
        for (requests, latency_ms, outcome) in case.phases {
            for _ in 0..*requests {
                while gate.report(now).queued < 2 {
                    if gate.offer(ticket(id, "a", 0, 100_000, now), now) == Verdict::Run {
                        running.push_back(Id(id));
                    }
                    id += 1;
                }
                now = now + Duration::from_millis(*latency_ms) / gate.report(now).limit;
                let release = Release {
                    id: running.pop_front().expect("the slots are in use"),
                    latency: Duration::from_millis(*latency_ms),
                    outcome: *outcome,
                };
                running.extend(gate.release(release, now).run);
            }
        }
        let limit = gate.report(now).limit;
        let range = case.limit_min..=case.limit_max;
        assert!(range.contains(&limit), "{}: {limit}", case.name);
    }
}

struct Mix {
    name: &'static str,
    /// Latencies of requests that come one after another, repeated.
    latencies_ms: &'static [u64],
    limit: u32,
}

/// Guards against a limit that falls for slow requests although the target has free slots.
const MIXES: &[Mix] = &[
    Mix {
        name: "all alike",
        latencies_ms: &[10],
        limit: 10,
    },
    Mix {
        name: "fast and slow in turn",
        latencies_ms: &[1, 200],
        limit: 10,
    },
    Mix {
        name: "fast ones, then slow ones",
        latencies_ms: &[
            1, 1, 1, 1, 1, 1, 1, 1, 200, 200, 200, 200, 200, 200, 200, 200,
        ],
        limit: 10,
    },
];

#[test]
fn limit_stays_while_slots_are_free() {
    for case in MIXES {
        let mut gate = gate(10, 20);
        let mut now = Instant(0);
        for id in 0..800 {
            assert_eq!(
                gate.offer(ticket(id, "a", 0, 100_000, now), now),
                Verdict::Run,
                "{}",
                case.name
            );
            let latency = case.latencies_ms[id as usize % case.latencies_ms.len()];
            let latency = Duration::from_millis(latency);
            now = now + latency;
            let release = Release {
                id: Id(id),
                latency,
                outcome: Outcome::Success,
            };
            drop(gate.release(release, now));
        }
        assert_eq!(gate.report(now).limit, case.limit, "{}", case.name);
    }
}

struct Probe {
    name: &'static str,
    /// Ages in milliseconds of the last traffic, the estimate and the last probe.
    ages_ms: [Option<u64>; 3],
    failing: bool,
    expected: Option<Need>,
}

/// Guards against probes that passive measurement makes useless, and against a target that is never measured again.
const PROBES: &[Probe] = &[
    Probe {
        name: "traffic is enough",
        ages_ms: [Some(10), Some(5_000), None],
        failing: true,
        expected: None,
    },
    Probe {
        name: "a fresh estimate is enough",
        ages_ms: [Some(5_000), Some(10), None],
        failing: false,
        expected: None,
    },
    Probe {
        name: "a probe was sent",
        ages_ms: [None, None, Some(10)],
        failing: true,
        expected: None,
    },
    Probe {
        name: "cold start",
        ages_ms: [None, None, None],
        failing: false,
        expected: Some(Need::Cold),
    },
    Probe {
        name: "after failure",
        ages_ms: [Some(5_000), Some(10), Some(5_000)],
        failing: true,
        expected: Some(Need::Failed),
    },
    Probe {
        name: "quiet and old",
        ages_ms: [Some(5_000), Some(5_000), None],
        failing: false,
        expected: Some(Need::Stale),
    },
];

#[test]
fn probes_are_sent_only_when_useful() {
    let now = Instant(10_000_000);
    for case in PROBES {
        let [traffic, estimate, probe] = case
            .ages_ms
            .map(|age| age.map(|ms| Instant(now.0 - ms * 1_000)));
        let facts = Facts {
            traffic,
            estimate,
            failing: case.failing,
            probe,
        };
        let need = Plan::default().need(&facts, now);
        assert_eq!(need, case.expected, "{}", case.name);
    }
}
