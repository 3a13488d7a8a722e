//! Tests of the gate and of the probe plan: verdicts, shares of slot time under overload, the adaptive limit, and when
//! probes are sent.

use std::collections::VecDeque;
use std::time::Duration;

use shallotrill_limits::config::Config;
use shallotrill_limits::config::Ranks;
use shallotrill_limits::gate::Gate;
use shallotrill_limits::probe::Observations;
use shallotrill_limits::probe::ProbePolicy;
use shallotrill_limits::probe::Reason;
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

/// Service time that is configured for the gates of these tests.
const SERVICE_TIME: Duration = Duration::from_millis(10);

fn gate(slots: u32, queue: u32) -> Gate {
    Gate::new(Config::new(Incarnation(1), slots, queue).service_time(SERVICE_TIME))
}

fn ticket(id: u64, partner: &str, priority: u8, deadline_after_ms: u64, now: Instant) -> Ticket {
    Ticket {
        id: Id(id),
        partner: partner::Name::new(partner).unwrap(),
        priority,
        timely_until: now + Duration::from_millis(deadline_after_ms),
        deadline: now + Duration::from_millis(deadline_after_ms),
    }
}

fn displaced(id: u64) -> Verdict {
    let id = Id(id);
    let refusal = Refusal::Displaced;
    Verdict::Queue {
        displaced: Some(Refused { id, refusal }),
    }
}

struct OfferCase {
    name: &'static str,
    /// Partner and priority of the tickets offered first. One of them runs and up to two wait.
    earlier: &'static [(&'static str, u8)],
    /// Partner, priority and time to the deadline in milliseconds.
    request: (&'static str, u8, u64),
    expected: fn() -> Verdict,
}

/// Guards against a request that starts after its deadline, and against one partner or priority occupying the complete queue.
const OFFER_CASES: &[OfferCase] = &[
    OfferCase {
        name: "a free slot",
        earlier: &[],
        request: ("a", 0, 1),
        expected: || Verdict::Run,
    },
    OfferCase {
        name: "a wait within the deadline",
        earlier: &[("a", 0)],
        request: ("a", 0, 11),
        expected: || Verdict::Queue { displaced: None },
    },
    OfferCase {
        name: "a wait past the deadline",
        earlier: &[("a", 0), ("a", 0)],
        request: ("a", 0, 11),
        expected: || {
            Verdict::Refuse(Refusal::TooLate {
                wait: SERVICE_TIME * 2,
            })
        },
    },
    OfferCase {
        name: "a higher priority waits less",
        earlier: &[("a", 0), ("a", 0)],
        request: ("a", 1, 11),
        expected: || Verdict::Queue { displaced: None },
    },
    OfferCase {
        name: "the partner that fills the queue is refused",
        earlier: &[("a", 0), ("a", 0), ("a", 0)],
        request: ("a", 0, 1_000),
        expected: || Verdict::Refuse(Refusal::Full { queued: 2 }),
    },
    OfferCase {
        name: "the newest ticket of the partner with the larger share is displaced",
        earlier: &[("a", 0), ("a", 0), ("a", 0)],
        request: ("b", 0, 1_000),
        expected: || displaced(2),
    },
    OfferCase {
        name: "a lower priority is displaced",
        earlier: &[("a", 0), ("b", 0), ("a", 0)],
        request: ("a", 1, 1_000),
        expected: || displaced(2),
    },
    OfferCase {
        name: "lower priorities keep their reserve",
        earlier: &[("a", 0), ("a", 1), ("b", 0)],
        request: ("a", 1, 1_000),
        expected: || Verdict::Refuse(Refusal::Full { queued: 2 }),
    },
    OfferCase {
        name: "a low priority displaces a higher one up to its reserve",
        earlier: &[("a", 1), ("a", 1), ("a", 1)],
        request: ("b", 0, 1_000),
        expected: || displaced(2),
    },
    OfferCase {
        name: "equal shares do not displace each other",
        earlier: &[("a", 0), ("a", 0), ("b", 0)],
        request: ("b", 0, 1_000),
        expected: || Verdict::Refuse(Refusal::Full { queued: 2 }),
    },
];

#[test]
fn offers_get_the_expected_verdict() {
    let now = Instant(1_000);
    for case in OFFER_CASES {
        let mut gate = gate(1, 2);
        for (id, (partner, priority)) in (0..).zip(case.earlier) {
            gate.offer(ticket(id, partner, *priority, 1_000, now), now);
        }
        let (partner, priority, deadline_after_ms) = case.request;
        let verdict = gate.offer(ticket(9, partner, priority, deadline_after_ms, now), now);
        assert_eq!(verdict, (case.expected)(), "{}", case.name);
    }
}

struct ContentionCase {
    name: &'static str,
    callers: &'static [Caller],
}

/// Partner, priority, weight, offers per round, slot time of a request in milliseconds, and
/// minimum expected share of the slot time.
type Caller = (&'static str, u8, u32, u32, u64, f64);

/// Guards against starvation of a partner by another's retry storm or long requests, and of a low priority by a higher one.
const CONTENTION_CASES: &[ContentionCase] = &[
    ContentionCase {
        name: "a retry storm does not reduce the half of the other partner",
        callers: &[("storm", 0, 1, 50, 10, 0.45), ("calm", 0, 1, 2, 10, 0.45)],
    },
    ContentionCase {
        name: "shares are measured in slot time, not in requests",
        callers: &[("long", 0, 1, 20, 30, 0.45), ("short", 0, 1, 20, 10, 0.45)],
    },
    ContentionCase {
        name: "shares follow weights",
        callers: &[("heavy", 0, 3, 20, 10, 0.7), ("light", 0, 1, 20, 10, 0.2)],
    },
    ContentionCase {
        name: "a low priority gets one of eight dispatches",
        callers: &[("high", 9, 1, 50, 10, 0.8), ("low", 0, 1, 4, 10, 0.12)],
    },
    ContentionCase {
        name: "priority takes precedence over weights",
        callers: &[("high", 9, 1, 4, 10, 0.8), ("low", 0, 9, 50, 10, 0.12)],
    },
];

/// Runs requests through a gate with one slot and returns each caller's share of the slot time.
fn run_contention(case: &ContentionCase) -> Vec<f64> {
    let mut config = Config::new(Incarnation(1), 1, 16).service_time(SERVICE_TIME);
    for (partner, _, weight, ..) in case.callers {
        config = config.weight(partner::Name::new(partner).unwrap(), *weight);
    }
    let mut gate = Gate::new(config);
    let mut ticket_callers = Vec::new();
    let mut slot_time_s = vec![0.0; case.callers.len()];
    let mut running = None;
    let mut now = Instant(0);
    for _ in 0..2_000 {
        for (caller, (partner, priority, _, offers, ..)) in case.callers.iter().enumerate() {
            for _ in 0..*offers {
                let id = ticket_callers.len() as u64;
                ticket_callers.push(caller);
                let verdict = gate.offer(ticket(id, partner, *priority, 100_000, now), now);
                if verdict == Verdict::Run {
                    running = Some(Id(id));
                }
            }
        }
        let id = running.take().expect("a request is running in the slot");
        let caller = ticket_callers[id.0 as usize];
        let latency = Duration::from_millis(case.callers[caller].4);
        slot_time_s[caller] += latency.as_secs_f64();
        now = now + latency;
        let outcome = Outcome::Success;
        let release = Release {
            id,
            latency,
            outcome,
        };
        running = gate.release(release, now).run.first().copied();
    }
    let total: f64 = slot_time_s.iter().sum();
    slot_time_s.iter().map(|time_s| time_s / total).collect()
}

#[test]
fn no_partner_is_starved() {
    for case in CONTENTION_CASES {
        let shares = run_contention(case);
        for (caller, share) in case.callers.iter().zip(&shares) {
            assert!(*share >= caller.5, "{}: {shares:?}", case.name);
        }
    }
}

struct LimitCase {
    name: &'static str,
    /// Number of requests, their latency in milliseconds and their outcome.
    phases: &'static [(u32, u64, Outcome)],
    limit_min: u32,
    limit_max: u32,
}

/// Guards against a limit that ignores a slow or shedding backend server, does not recover, or falls to zero.
const LIMIT_CASES: &[LimitCase] = &[
    LimitCase {
        name: "steady latency does not lower the limit",
        phases: &[(300, 10, Outcome::Success)],
        limit_min: 10,
        limit_max: 10,
    },
    LimitCase {
        name: "a noisy neighbour lowers the limit",
        phases: &[(100, 10, Outcome::Success), (40, 50, Outcome::Success)],
        limit_min: 1,
        limit_max: 5,
    },
    LimitCase {
        name: "scheduling jitter does not lower the limit",
        phases: &[(100, 1, Outcome::Success), (40, 5, Outcome::Success)],
        limit_min: 10,
        limit_max: 10,
    },
    LimitCase {
        name: "the limit recovers",
        phases: &[
            (100, 10, Outcome::Success),
            (40, 50, Outcome::Success),
            (300, 10, Outcome::Success),
        ],
        limit_min: 10,
        limit_max: 10,
    },
    LimitCase {
        name: "shedding lowers the limit to no less than one",
        phases: &[(500, 10, Outcome::Shed)],
        limit_min: 1,
        limit_max: 1,
    },
    LimitCase {
        name: "timeouts lower the limit",
        phases: &[(100, 10, Outcome::Success), (20, 100, Outcome::Timeout)],
        limit_min: 1,
        limit_max: 7,
    },
    LimitCase {
        name: "failures do not lower the limit",
        phases: &[(100, 1, Outcome::Failure)],
        limit_min: 10,
        limit_max: 10,
    },
];

#[test]
fn limit_follows_the_backend_server() {
    for case in LIMIT_CASES {
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
                    id: running.pop_front().expect("a request is running"),
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

struct FreeSlotCase {
    name: &'static str,
    /// Latencies of sequential requests, repeated.
    latencies_ms: &'static [u64],
    limit: u32,
}

/// Guards against a limit that slow requests lower although the target has free slots.
const FREE_SLOT_CASES: &[FreeSlotCase] = &[
    FreeSlotCase {
        name: "equal latencies",
        latencies_ms: &[10],
        limit: 10,
    },
    FreeSlotCase {
        name: "alternating fast and slow requests",
        latencies_ms: &[1, 200],
        limit: 10,
    },
    FreeSlotCase {
        name: "several fast requests, then several slow ones",
        latencies_ms: &[
            1, 1, 1, 1, 1, 1, 1, 1, 200, 200, 200, 200, 200, 200, 200, 200,
        ],
        limit: 10,
    },
];

#[test]
fn limit_is_not_lowered_while_slots_are_free() {
    for case in FREE_SLOT_CASES {
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

struct ProbeCase {
    name: &'static str,
    /// Ages in milliseconds of the last response, the load estimate and the last probe.
    ages_ms: [Option<u64>; 3],
    failing: bool,
    expected: Option<Reason>,
}

/// Guards against probes that are unnecessary because of passive measurement, and against a target that is no longer measured at all.
const PROBE_CASES: &[ProbeCase] = &[
    ProbeCase {
        name: "recent traffic",
        ages_ms: [Some(10), Some(5_000), None],
        failing: true,
        expected: None,
    },
    ProbeCase {
        name: "recent estimate",
        ages_ms: [Some(5_000), Some(10), None],
        failing: false,
        expected: None,
    },
    ProbeCase {
        name: "recent probe",
        ages_ms: [None, None, Some(10)],
        failing: true,
        expected: None,
    },
    ProbeCase {
        name: "cold start",
        ages_ms: [None, None, None],
        failing: false,
        expected: Some(Reason::Cold),
    },
    ProbeCase {
        name: "failing target without traffic",
        ages_ms: [Some(5_000), Some(10), Some(5_000)],
        failing: true,
        expected: Some(Reason::Failed),
    },
    ProbeCase {
        name: "no recent traffic and a stale estimate",
        ages_ms: [Some(5_000), Some(5_000), None],
        failing: false,
        expected: Some(Reason::Stale),
    },
];

#[test]
fn probes_are_sent_only_when_useful() {
    let now = Instant(10_000_000);
    for case in PROBE_CASES {
        let [last_response_at, estimated_at, last_probe_at] = case
            .ages_ms
            .map(|age| age.map(|ms| Instant(now.0 - ms * 1_000)));
        let observations = Observations {
            last_response_at,
            estimated_at,
            failing: case.failing,
            last_probe_at,
        };
        let reason = ProbePolicy::default().reason(&observations, now);
        assert_eq!(reason, case.expected, "{}", case.name);
    }
}

struct LateCase {
    name: &'static str,
    /// Priority and timely period in milliseconds of the tickets offered at time zero, in this order. The first one
    /// runs, the others wait; all may start for a second.
    waiting: &'static [(u8, u64)],
    /// Priority and timely period of a ticket offered when the queue is full, after the wait, and the number of the
    /// ticket that it displaces.
    offered: Option<(u8, u64, Option<u64>)>,
    /// Milliseconds from the offers to the release of the running ticket.
    wait_ms: u64,
    /// Number of the ticket that runs next.
    next: u64,
}

/// Guards against late requests that take the slots from requests that still meet their objective, and against late
/// requests that are refused although a slot becomes free for them (large site, `scale-1`: 413 calls of requests in
/// progress were refused after 12 ms of their 1,000 ms, and with each of them its parent failed).
const LATE_CASES: &[LateCase] = &[
    LateCase {
        name: "a timely ticket runs before an earlier late one",
        waiting: &[(0, 100), (0, 10), (0, 100)],
        offered: None,
        wait_ms: 20,
        next: 2,
    },
    LateCase {
        name: "a late ticket runs when no timely one waits",
        waiting: &[(0, 100), (0, 10)],
        offered: None,
        wait_ms: 20,
        next: 1,
    },
    LateCase {
        name: "a late ticket of a higher priority stays ahead",
        waiting: &[(0, 100), (1, 10), (0, 100)],
        offered: None,
        wait_ms: 20,
        next: 1,
    },
    LateCase {
        name: "a timely ticket displaces a late one from a full queue",
        waiting: &[(0, 100), (0, 100), (0, 10)],
        offered: Some((0, 100, Some(2))),
        wait_ms: 20,
        next: 1,
    },
    LateCase {
        name: "a late ticket displaces no timely one",
        waiting: &[(0, 100), (0, 100), (0, 100)],
        offered: Some((0, 0, None)),
        wait_ms: 20,
        next: 1,
    },
];

fn late_ticket(id: u64, priority: u8, timely_ms: u64, now: Instant) -> Ticket {
    Ticket {
        timely_until: now + Duration::from_millis(timely_ms),
        ..ticket(id, "a", priority, 1_000, now)
    }
}

#[test]
fn late_tickets_give_way_and_still_run() {
    for case in LATE_CASES {
        let mut gate = gate(1, 2);
        let start = Instant(1_000);
        for (id, (priority, timely_ms)) in (0..).zip(case.waiting) {
            let verdict = gate.offer(late_ticket(id, *priority, *timely_ms, start), start);
            let expected = if id == 0 {
                Verdict::Run
            } else {
                Verdict::Queue { displaced: None }
            };
            assert_eq!(verdict, expected, "{}", case.name);
        }
        let now = start + Duration::from_millis(case.wait_ms);
        if let Some((priority, timely_ms, expected)) = case.offered {
            let verdict = gate.offer(late_ticket(9, priority, timely_ms, now), now);
            let expected = expected.map_or(Verdict::Refuse(Refusal::Full { queued: 2 }), displaced);
            assert_eq!(verdict, expected, "{}", case.name);
        }
        let release = Release {
            id: Id(0),
            latency: now.since(start),
            outcome: Outcome::Success,
        };
        assert_eq!(
            gate.release(release, now).run,
            [Id(case.next)],
            "{}",
            case.name
        );
    }
}

fn ranks(per_priority: u8) -> Ranks {
    Ranks {
        per_priority,
        per_level: 64,
    }
}

struct TimelyFirstCase {
    name: &'static str,
    /// As in [`LateCase`], with two ranks for each priority.
    waiting: &'static [(u8, u64)],
    offered: Option<(u8, u64, Option<u64>)>,
    next: u64,
}

/// Guards against late requests that take a slot from a timely one of any priority, against a lower priority that takes
/// one from a timely higher one, and against nested calls (rank 1) that new outer requests (rank 0) displace.
const TIMELY_FIRST_CASES: &[TimelyFirstCase] = &[
    TimelyFirstCase {
        name: "a late ticket of a higher priority gives way",
        waiting: &[(0, 100), (2, 10), (0, 100)],
        offered: None,
        next: 2,
    },
    TimelyFirstCase {
        name: "a late ticket runs when no timely one waits",
        waiting: &[(0, 100), (2, 10)],
        offered: None,
        next: 1,
    },
    TimelyFirstCase {
        name: "a timely ticket displaces a late one of a higher priority",
        waiting: &[(0, 100), (2, 10), (0, 100)],
        offered: Some((0, 100, Some(1))),
        next: 2,
    },
    TimelyFirstCase {
        name: "a late ticket displaces no timely one of a lower priority",
        waiting: &[(0, 100), (0, 100), (0, 100)],
        offered: Some((2, 0, None)),
        next: 1,
    },
    TimelyFirstCase {
        name: "an outer request displaces no nested call",
        waiting: &[(1, 100), (1, 100), (1, 100)],
        offered: Some((0, 100, None)),
        next: 1,
    },
];

#[test]
fn timely_tickets_come_first() {
    for case in TIMELY_FIRST_CASES {
        let config = Config::new(Incarnation(1), 1, 2).service_time(SERVICE_TIME);
        let mut gate = Gate::new(config.timely_first(ranks(2)));
        let start = Instant(1_000);
        for (id, (priority, timely_ms)) in (0..).zip(case.waiting) {
            let verdict = gate.offer(late_ticket(id, *priority, *timely_ms, start), start);
            assert!(!matches!(verdict, Verdict::Refuse(_)), "{}", case.name);
        }
        let now = start + Duration::from_millis(20);
        if let Some((priority, timely_ms, expected)) = case.offered {
            let verdict = gate.offer(late_ticket(9, priority, timely_ms, now), now);
            let expected = expected.map_or(Verdict::Refuse(Refusal::Full { queued: 2 }), displaced);
            assert_eq!(verdict, expected, "{}", case.name);
        }
        let release = Release {
            id: Id(0),
            latency: now.since(start),
            outcome: Outcome::Success,
        };
        let run = gate.release(release, now).run;
        assert_eq!(run, [Id(case.next)], "{}", case.name);
    }
}

/// Guards against a lower priority that takes a slot which a timely higher one waits for, at the interval at which a
/// low rank of the same priority is served, and against a low rank that is never served.
#[test]
fn low_ranks_are_served_within_their_priority() {
    let run = |low_rank| {
        let mut gate = Gate::new(Config::new(Incarnation(1), 1, 40).timely_first(ranks(8)));
        let now = Instant(1_000);
        for id in 0..20 {
            gate.offer(ticket(id, "a", 12, 100_000, now), now);
        }
        gate.offer(ticket(99, "a", low_rank, 100_000, now), now);
        let mut running = Id(0);
        for dispatched in 1..20 {
            let release = Release {
                id: running,
                latency: SERVICE_TIME,
                outcome: Outcome::Success,
            };
            running = gate.release(release, now).run[0];
            if running == Id(99) {
                return Some(dispatched);
            }
        }
        None
    };
    assert_eq!([run(8), run(7)], [Some(8), None]);
}
