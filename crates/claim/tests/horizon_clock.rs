//! Tests for the rise of the horizon when the wall clock is wrong.

use std::time::Duration;

use shallotrill_claim::horizon_clock::HorizonClock;
use shallotrill_claim::horizon_clock::STARTUP_RISE_MAX;
use shallotrill_model::time::Instant;
use shallotrill_model::time::Wall;

const DAY_MS: u64 = 86_400_000;
const RETENTION: Duration = Duration::from_hours(72);
const STARTUP_RISE_MS: u64 = STARTUP_RISE_MAX.as_millis() as u64;

struct Case {
    name: &'static str,
    durable: u64,
    wall: u64,
    elapsed_ms: u64,
    expected: u64,
}

/// Guards against a wrong wall clock that expires records whose keys may still be resent.
const CASES: &[Case] = &[
    Case {
        name: "without a durable horizon, the wall clock is used",
        durable: 0,
        wall: 100 * DAY_MS,
        elapsed_ms: 0,
        expected: 97 * DAY_MS,
    },
    Case {
        name: "a short downtime",
        durable: 96 * DAY_MS,
        wall: 100 * DAY_MS,
        elapsed_ms: 0,
        expected: 97 * DAY_MS,
    },
    Case {
        name: "a wall clock years ahead at the start",
        durable: 96 * DAY_MS,
        wall: 3_000 * DAY_MS,
        elapsed_ms: 0,
        expected: 96 * DAY_MS + STARTUP_RISE_MS,
    },
    Case {
        name: "a wall clock behind at the start gives a horizon below the durable one",
        durable: 96 * DAY_MS,
        wall: 10 * DAY_MS,
        elapsed_ms: 0,
        expected: 7 * DAY_MS,
    },
    Case {
        name: "within an incarnation the horizon rises with elapsed time",
        durable: 96 * DAY_MS,
        wall: 100 * DAY_MS,
        elapsed_ms: DAY_MS,
        expected: 98 * DAY_MS,
    },
];

#[test]
fn the_horizon_follows_elapsed_time() {
    for case in CASES {
        let horizon_clock = HorizonClock::new(
            Wall(case.durable),
            Wall(case.wall),
            RETENTION,
            Instant(1_000),
        );
        let now = Instant(1_000 + case.elapsed_ms * 1_000);
        assert_eq!(
            horizon_clock.horizon(now),
            Wall(case.expected),
            "{}",
            case.name
        );
    }
}
