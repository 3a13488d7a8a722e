//! The gate of a backend server that is cold.

use std::time::Duration;

use shallotrill_limits::config::Config;
use shallotrill_limits::gate::Gate;
use shallotrill_limits::pace;
use shallotrill_limits::ticket::Id;
use shallotrill_limits::ticket::Outcome;
use shallotrill_limits::ticket::Release;
use shallotrill_limits::ticket::Ticket;
use shallotrill_limits::ticket::Verdict;
use shallotrill_model::incarnation::Incarnation;
use shallotrill_model::partner;
use shallotrill_model::rate::Rate;
use shallotrill_model::time::Instant;

const SLOTS: u32 = 7;
const QUEUE: u32 = 21;
const LENGTH_MS: u64 = 8_000;

/// Duration of a request at a warm and at a cold backend server.
const WORK_MS: u64 = 100;
const COLD_WORK_MS: u64 = 200;

/// What the users allow a cold backend server in any window of one second.
const WINDOW: Duration = Duration::from_secs(1);
const ALLOWED_RATIO: f64 = 1.5;
const ALLOWED_SLACK: f64 = 8.0;

struct Case {
    name: &'static str,
    cold_per_second: u32,
    /// Limit that the backend server states the whole time, per second.
    stated: Option<u32>,
    /// From and until when it is cold, in milliseconds.
    cold: &'static [(u64, u64)],
    /// Time at which the router is replaced by one that knows nothing of earlier starts.
    restart_ms: Option<u64>,
    arrival_interval_ms: u64,
    /// Requests that arrive at the same time.
    arrivals: u64,
    /// Least number of starts while cold: the rate of a cold backend server is also used.
    cold_starts_min: usize,
}

/// Guards against a gate that starts more requests than a cold backend server survives, also counted from before it
/// became cold, and against one that starts far fewer.
const CASES: &[Case] = &[
    Case {
        name: "cold from its start, in a burst",
        cold_per_second: 6,
        stated: None,
        cold: &[(0, 4_000)],
        restart_ms: None,
        arrival_interval_ms: 3,
        arrivals: 1,
        cold_starts_min: 22,
    },
    Case {
        name: "becomes cold under full load",
        cold_per_second: 2,
        stated: None,
        cold: &[(3_000, 7_000)],
        restart_ms: None,
        arrival_interval_ms: 3,
        arrivals: 1,
        cold_starts_min: 6,
    },
    Case {
        name: "becomes cold again and again",
        cold_per_second: 3,
        stated: None,
        cold: &[(1_000, 2_000), (2_100, 3_000), (3_050, 5_000)],
        restart_ms: None,
        arrival_interval_ms: 3,
        arrivals: 1,
        cold_starts_min: 5,
    },
    Case {
        name: "a lower stated limit",
        cold_per_second: 20,
        stated: Some(4),
        cold: &[(0, 4_000)],
        restart_ms: None,
        arrival_interval_ms: 3,
        arrivals: 1,
        cold_starts_min: 15,
    },
    Case {
        name: "a higher stated limit",
        cold_per_second: 4,
        stated: Some(30),
        cold: &[(0, 4_000)],
        restart_ms: None,
        arrival_interval_ms: 3,
        arrivals: 1,
        cold_starts_min: 15,
    },
    Case {
        name: "the router restarts while the backend server is cold",
        cold_per_second: 20,
        stated: None,
        cold: &[(0, 6_000)],
        restart_ms: Some(2_000),
        arrival_interval_ms: 3,
        arrivals: 1,
        cold_starts_min: 100,
    },
    Case {
        name: "crowds after quiet times",
        cold_per_second: 8,
        stated: None,
        cold: &[(0, 8_000)],
        restart_ms: None,
        arrival_interval_ms: 900,
        arrivals: 30,
        cold_starts_min: 30,
    },
];

fn ticket(id: u64, now: Instant) -> Ticket {
    let wait_max = Duration::from_millis(300);
    Ticket {
        id: Id(id),
        partner: partner::Name::new("a").expect("a valid name"),
        priority: 0,
        timely_until: now + wait_max,
        deadline: now + wait_max,
    }
}

fn gate(case: &Case, is_cold: bool, now: Instant) -> Gate {
    let config = Config::new(Incarnation(1), SLOTS, QUEUE);
    let mut gate = Gate::new(config.service_time(Duration::from_millis(WORK_MS)));
    let rate = Rate::from_millihertz(case.cold_per_second * 1_000);
    let stated = case.stated.map(|rate| Rate::from_millihertz(rate * 1_000));
    assert!(gate.set_warm_up(Some(rate), is_cold, now).run.is_empty());
    assert!(gate.set_rate(stated, now).run.is_empty());
    gate
}

fn is_cold(case: &Case, now_ms: u64) -> bool {
    case.cold
        .iter()
        .any(|(from, to)| (*from..*to).contains(&now_ms))
}

/// Times of all starts, in milliseconds.
fn starts(case: &Case) -> Vec<u64> {
    let mut gate = gate(case, is_cold(case, 0), Instant(0));
    let mut starts = Vec::new();
    let mut running: Vec<(u64, Id)> = Vec::new();
    for now_ms in 0..LENGTH_MS {
        let now = Instant(now_ms * 1_000);
        let cold = is_cold(case, now_ms);
        let mut started = Vec::new();
        if case.restart_ms == Some(now_ms) {
            gate = self::gate(case, true, now);
            running.clear();
        }
        if cold != gate.is_cold() {
            let rate = Rate::from_millihertz(case.cold_per_second * 1_000);
            started.extend(gate.set_warm_up(Some(rate), cold, now).run);
        }
        while let Some(index) = running.iter().position(|(end, _)| *end <= now_ms) {
            let release = Release {
                id: running.remove(index).1,
                latency: Duration::from_millis(WORK_MS),
                outcome: Outcome::Success,
            };
            started.extend(gate.release(release, now).run);
        }
        if gate.next_start(now).is_some_and(|at| at <= now) {
            started.extend(gate.expire(now).run);
        }
        if now_ms.is_multiple_of(case.arrival_interval_ms) {
            for number in 0..case.arrivals {
                let id = now_ms * case.arrivals + number;
                if gate.offer(ticket(id, now), now) == Verdict::Run {
                    started.push(Id(id));
                }
            }
        }
        let work_ms = if cold { COLD_WORK_MS } else { WORK_MS };
        for id in started {
            starts.push(now_ms);
            running.push((now_ms + work_ms, id));
        }
    }
    starts
}

#[test]
fn a_cold_backend_server_is_not_overloaded() {
    for case in CASES {
        let starts = starts(case);
        let allowed = ALLOWED_RATIO * f64::from(case.cold_per_second) + ALLOWED_SLACK;
        let cold_starts = starts
            .iter()
            .enumerate()
            .filter(|(_, at)| is_cold(case, **at));
        let window_ms = WINDOW.as_millis() as u64;
        for (index, at) in cold_starts.clone() {
            let begin = starts.partition_point(|start| *start + window_ms <= *at);
            // A window that was over the bound when the backend server became cold admits nothing more.
            let count = index + 1 - begin;
            assert!(
                count as f64 <= allowed,
                "{}: {count} up to {at} ms",
                case.name
            );
        }
        let count = cold_starts.count();
        assert!(
            count >= case.cold_starts_min,
            "{}: {count} starts",
            case.name
        );
    }
}

/// Guards against requests that are held back or refused for a rate that no longer applies.
#[test]
fn a_warm_backend_server_has_no_pace() {
    let case = &CASES[0];
    let mut gate = gate(case, true, Instant(0));
    for id in 0..3 {
        let _ = gate.offer(ticket(id, Instant(0)), Instant(0));
    }
    assert_eq!(
        gate.pace(Instant(0)).map(|pace| pace.rate),
        Some(pace::cold_rate(Rate::from_millihertz(6_000)))
    );
    let rate = Rate::from_millihertz(6_000);
    let waiting = gate.report(Instant(0)).queued as usize;
    assert!(waiting > 0);
    let effect = gate.set_warm_up(Some(rate), false, Instant(1));
    assert_eq!(effect.run.len(), waiting);
    assert_eq!(gate.pace(Instant(1)), None);
}
