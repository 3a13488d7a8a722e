//! The clock of a process.

use shallotrill_process::clock;
use shallotrill_process::clock::Clock;

struct Case {
    name: &'static str,
    offset_ms: i64,
}

/// Guards against an error of the calendar time that also moves elapsed time, or that wraps.
const CASES: &[Case] = &[
    Case {
        name: "right",
        offset_ms: 0,
    },
    Case {
        name: "ahead",
        offset_ms: 3_600_000,
    },
    Case {
        name: "behind",
        offset_ms: -3_600_000,
    },
    Case {
        name: "before 1970",
        offset_ms: i64::MIN,
    },
];

#[test]
fn an_error_of_the_calendar_time_leaves_elapsed_time_alone() {
    for case in CASES {
        let clock = Clock::start().offset_ms(case.offset_ms);
        let before = clock::wall().0.saturating_add_signed(case.offset_ms);
        let shown = clock.wall().0;
        let after = clock::wall().0.saturating_add_signed(case.offset_ms);
        assert!((before..=after).contains(&shown), "{}", case.name);
        // A minute is far more than the time between the start and here.
        assert!(clock.now().0 < 60_000_000, "{}", case.name);
    }
}
