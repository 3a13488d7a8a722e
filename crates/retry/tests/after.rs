//! Tests of the time after which refused requests return.

use std::time::Duration;

use shallotrill_retry::after::Refused;
use shallotrill_retry::after::retry_after;
use shallotrill_retry::after::retry_after_room;

struct ReturnCase {
    name: &'static str,
    /// Elapsed time, objective and limit of the refused request, in milliseconds.
    refused_ms: [u64; 3],
    /// Earliest and latest return, in milliseconds.
    range_ms: [u64; 2],
}

/// Guards against a return that is too late for an objective that can still be met, against one that comes back
/// to the same full queues when it cannot, and against one that the caller does not wait for: more than a third of
/// its remaining time.
const RETURN_CASES: &[ReturnCase] = &[
    ReturnCase {
        name: "refused at once",
        refused_ms: [10, 610, 4_000],
        range_ms: [30, 150],
    },
    ReturnCase {
        name: "refused in the first half of the objective",
        refused_ms: [200, 600, 4_000],
        range_ms: [20, 100],
    },
    ReturnCase {
        name: "refused after the objective",
        refused_ms: [1_000, 600, 4_000],
        range_ms: [450, 990],
    },
    ReturnCase {
        name: "refused at the end of the limit",
        refused_ms: [3_900, 600, 4_000],
        range_ms: [15, 33],
    },
    ReturnCase {
        name: "a limit shorter than the objective",
        refused_ms: [0, 2_000, 400],
        range_ms: [20, 100],
    },
    ReturnCase {
        name: "refused after the limit",
        refused_ms: [5_000, 600, 4_000],
        range_ms: [0, 0],
    },
];

#[test]
fn refused_requests_return_while_it_is_of_use() {
    for case in RETURN_CASES {
        let [elapsed, objective, limit] = case.refused_ms.map(Duration::from_millis);
        let refused = Refused {
            elapsed,
            objective,
            limit,
        };
        for (random, expected_ms) in [0.0, 1.0].into_iter().zip(case.range_ms) {
            let returned = retry_after(refused, random);
            let difference = returned.abs_diff(Duration::from_millis(expected_ms));
            assert!(
                difference < Duration::from_millis(1),
                "{}: {returned:?} for {random}",
                case.name
            );
            let remaining = limit.saturating_sub(elapsed);
            assert!(returned <= remaining / 3, "{}: {returned:?}", case.name);
        }
    }
}

/// Slots that become free for the returning requests in each step of the replay.
const FREE_PER_STEP: usize = 20;

const STEP: Duration = Duration::from_millis(50);

/// Replays a burst of 400 requests that are refused in the same moment and have one retry: 400 slots become free over
/// the second in which they may return. Guards against a fixed time, with which they all meet the same full queues.
#[test]
fn requests_that_are_refused_together_find_slots() {
    let refused = Refused {
        elapsed: Duration::from_millis(900),
        objective: Duration::from_millis(600),
        limit: Duration::from_secs(4),
    };
    let steps = 20;
    let mut returning = vec![0; steps];
    for request in 0..FREE_PER_STEP * steps {
        // A low-discrepancy sequence instead of random numbers keeps the replay the same everywhere.
        let random = (request as f64 * 0.618_033_988_75).fract();
        let returned = retry_after(refused, random);
        let step = (returned.as_millis() / STEP.as_millis()) as usize;
        returning[step.min(steps - 1)] += 1;
    }
    let served: usize = returning.iter().map(|n| (*n).min(FREE_PER_STEP)).sum();
    // With a fixed time, one step would serve 20 of them. Half of the callers is the least that the spread over a
    // third of their time has to serve.
    assert!(
        served >= FREE_PER_STEP * steps / 2,
        "{served}: {returning:?}"
    );
}

/// Replays 200 requests that are refused in the same moment, of an objective of 2 s, when targets state that 200 slots
/// become free in the half second from 300 ms on. Guards against a return before there is room.
#[test]
fn requests_return_when_targets_have_room() {
    let refused = Refused {
        elapsed: Duration::from_millis(50),
        objective: Duration::from_secs(2),
        limit: Duration::from_secs(5),
    };
    let (after, spread) = (Duration::from_millis(300), Duration::from_millis(500));
    let served = |wait: &dyn Fn(f64) -> Duration| {
        let mut returning = [0_usize; 10];
        for request in 0..200 {
            let returned = wait((f64::from(request) * 0.618_033_988_75).fract());
            if let Some(offset) = returned.checked_sub(after) {
                returning[((offset.as_millis() / STEP.as_millis()) as usize).min(9)] += 1;
            }
        }
        returning.iter().map(|n| (*n).min(20)).sum::<usize>()
    };
    let without = served(&|random| retry_after(refused, random));
    let with = served(&|random| retry_after_room(refused, after, spread, random));
    assert!(without <= 100 && with >= 180, "{without} without, {with}");
}
