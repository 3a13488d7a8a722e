//! The gate of a backend server that states a rate of requests.

use std::time::Duration;

use shallotrill_limits::config::Config;
use shallotrill_limits::gate::Gate;
use shallotrill_limits::ticket::Effect;
use shallotrill_limits::ticket::Id;
use shallotrill_limits::ticket::Outcome;
use shallotrill_limits::ticket::Refusal;
use shallotrill_limits::ticket::Release;
use shallotrill_limits::ticket::Ticket;
use shallotrill_limits::ticket::Verdict;
use shallotrill_model::incarnation::Incarnation;
use shallotrill_model::partner;
use shallotrill_model::rate::Rate;
use shallotrill_model::time::Instant;

const SLOTS: u32 = 4;
const QUEUE: u32 = 12;

/// Duration of a request at the backend server.
const WORK: Duration = Duration::from_millis(100);

/// Window over which the users judge a stated rate, and what they allow in it.
const WINDOW: Duration = Duration::from_secs(4);
const ALLOWED_RATIO: f64 = 1.5;
const ALLOWED_SLACK: f64 = 5.0;

fn gate() -> Gate {
    Gate::new(Config::new(Incarnation(1), SLOTS, QUEUE).service_time(WORK))
}

fn ticket(id: u64, wait_max: Duration, now: Instant) -> Ticket {
    Ticket {
        id: Id(id),
        partner: partner::Name::new("a").expect("a valid name"),
        priority: 0,
        timely_until: now + wait_max,
        deadline: now + wait_max,
    }
}

/// Rates of a backend server by time in milliseconds, each until the next one.
type Statements = &'static [(u64, Option<u32>)];

struct LoadCase {
    name: &'static str,
    statements: Statements,
    /// Interval between requests that arrive, in milliseconds.
    arrival_interval_ms: u64,
    /// Least number of starts in ten seconds: the rate that is stated is also used.
    starts_min: usize,
}

/// Guards against a gate that starts more requests than its backend server accepts, and against one that
/// starts far fewer.
const LOAD_CASES: &[LoadCase] = &[
    LoadCase {
        name: "an overload of many times the rate",
        statements: &[(0, Some(6_600))],
        arrival_interval_ms: 7,
        starts_min: 60,
    },
    LoadCase {
        name: "less than one request a second",
        statements: &[(0, Some(400))],
        arrival_interval_ms: 7,
        starts_min: 3,
    },
    LoadCase {
        name: "a rate above what the slots can do",
        statements: &[(0, Some(100_000))],
        arrival_interval_ms: 7,
        starts_min: 350,
    },
    LoadCase {
        name: "a rate that changes with each response",
        statements: &[
            (0, Some(6_000)),
            (500, Some(6_100)),
            (600, Some(6_000)),
            (700, Some(6_100)),
            (800, Some(6_000)),
            (900, Some(6_100)),
            (1_000, Some(6_000)),
        ],
        arrival_interval_ms: 7,
        starts_min: 55,
    },
    LoadCase {
        name: "a rate that falls far after a burst",
        statements: &[(0, Some(30_000)), (2_000, Some(1_000))],
        arrival_interval_ms: 7,
        starts_min: 66,
    },
    LoadCase {
        name: "no requests at all",
        statements: &[(0, Some(0))],
        arrival_interval_ms: 7,
        starts_min: 0,
    },
    LoadCase {
        name: "little load",
        statements: &[(0, Some(6_600))],
        arrival_interval_ms: 250,
        starts_min: 39,
    },
];

/// Plays ten seconds of arrivals and returns the times of all starts.
fn starts(case: &LoadCase) -> Vec<Instant> {
    let mut gate = gate();
    let mut starts = Vec::new();
    let mut running: Vec<(u64, Id)> = Vec::new();
    let mut statements = case.statements.iter().peekable();
    for now_ms in 0..10_000_u64 {
        let now = Instant(now_ms * 1_000);
        let mut started = Vec::new();
        while let Some((_, rate)) = statements.next_if(|(from, _)| *from <= now_ms) {
            let effect = gate.set_rate(rate.map(Rate::from_millihertz), now);
            started.extend(effect.run);
        }
        while running.first().is_some_and(|(end, _)| *end <= now_ms) {
            let release = Release {
                id: running.remove(0).1,
                latency: WORK,
                outcome: Outcome::Success,
            };
            started.extend(gate.release(release, now).run);
        }
        if gate.next_start(now).is_some_and(|at| at <= now) {
            started.extend(gate.expire(now).run);
        }
        if now_ms % case.arrival_interval_ms == 0 {
            let wait_max = Duration::from_millis(600);
            if gate.offer(ticket(now_ms, wait_max, now), now) == Verdict::Run {
                started.push(Id(now_ms));
            }
        }
        for id in started {
            starts.push(now);
            running.push((now_ms + WORK.as_millis() as u64, id));
        }
    }
    starts
}

#[test]
fn starts_follow_the_stated_rate() {
    for case in LOAD_CASES {
        let starts = starts(case);
        let highest = case.statements.iter().filter_map(|(_, rate)| *rate).max();
        let rate = Rate::from_millihertz(highest.unwrap_or(0)).per_second();
        let allowed = ALLOWED_RATIO * rate * WINDOW.as_secs_f64() + ALLOWED_SLACK;
        for (index, begin) in starts.iter().enumerate() {
            let end = starts.partition_point(|start| *start < *begin + WINDOW);
            let count = end - index;
            assert!(count as f64 <= allowed, "{}: {count} in 4 s", case.name);
        }
        let count = starts.len();
        assert!(count >= case.starts_min, "{}: {count} starts", case.name);
    }
}

struct OfferCase {
    name: &'static str,
    millihertz: u32,
    /// Requests that arrive at once.
    requests: u64,
    wait_max: Duration,
    /// Verdict on the last of them.
    expected: fn() -> Verdict,
}

/// Guards against a request that waits until its deadline although the rate shows at once that it cannot start.
const OFFER_CASES: &[OfferCase] = &[
    OfferCase {
        name: "the first request starts at once",
        millihertz: 2_000,
        requests: 1,
        wait_max: Duration::from_millis(100),
        expected: || Verdict::Run,
    },
    OfferCase {
        name: "the second one waits for the next start",
        millihertz: 2_000,
        requests: 2,
        wait_max: Duration::from_millis(600),
        expected: || Verdict::Queue { displaced: None },
    },
    OfferCase {
        name: "the second one cannot start in time",
        millihertz: 2_000,
        requests: 2,
        wait_max: Duration::from_millis(400),
        expected: || {
            Verdict::Refuse(Refusal::TooLate {
                wait: Duration::from_millis(500),
            })
        },
    },
    OfferCase {
        name: "those ahead in the queue count",
        millihertz: 2_000,
        requests: 3,
        wait_max: Duration::from_millis(900),
        expected: || {
            Verdict::Refuse(Refusal::TooLate {
                wait: Duration::from_secs(1),
            })
        },
    },
    OfferCase {
        name: "no request is accepted",
        millihertz: 0,
        requests: 1,
        wait_max: Duration::from_mins(1),
        expected: || {
            Verdict::Refuse(Refusal::TooLate {
                wait: Duration::MAX,
            })
        },
    },
];

#[test]
fn offers_are_refused_when_the_rate_is_too_low() {
    let now = Instant(1_000);
    for case in OFFER_CASES {
        let mut gate = gate();
        let rate = Rate::from_millihertz(case.millihertz);
        assert_eq!(gate.set_rate(Some(rate), now), Effect::default());
        let verdicts = (0..case.requests).map(|id| gate.offer(ticket(id, case.wait_max, now), now));
        assert_eq!(verdicts.last(), Some((case.expected)()), "{}", case.name);
    }
}

/// Guards against a request that keeps waiting when the backend server withdraws its limit.
#[test]
fn a_withdrawn_limit_starts_waiting_requests() {
    let now = Instant(1_000);
    let mut gate = gate();
    let rate = Rate::from_millihertz(1_000);
    assert_eq!(gate.set_rate(Some(rate), now), Effect::default());
    let wait_max = Duration::from_secs(10);
    assert_eq!(gate.offer(ticket(1, wait_max, now), now), Verdict::Run);
    let queued = Verdict::Queue { displaced: None };
    assert_eq!(gate.offer(ticket(2, wait_max, now), now), queued);
    assert_eq!(gate.next_start(now), Some(now + Duration::from_secs(1)));
    assert_eq!(gate.set_rate(None, now).run, [Id(2)]);
    assert_eq!(gate.next_start(now), None);
}
