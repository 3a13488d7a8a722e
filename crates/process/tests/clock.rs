//! Tests of the clock of a process.

use shallotrill_process::clock;
use shallotrill_process::clock::Clock;

struct Case {
    name: &'static str,
    offset_ms: i64,
}

/// Guards against an offset of the calendar time that also changes elapsed time, or that overflows.
const CASES: &[Case] = &[
    Case {
        name: "correct",
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
fn calendar_offset_does_not_change_elapsed_time() {
    for case in CASES {
        let clock = Clock::start().with_offset_ms(case.offset_ms);
        let before = clock::wall().0.saturating_add_signed(case.offset_ms);
        let offset_time = clock.wall().0;
        let after = clock::wall().0.saturating_add_signed(case.offset_ms);
        assert!((before..=after).contains(&offset_time), "{}", case.name);
        // The clock has just started, so less than a minute has elapsed.
        assert!(clock.now().0 < 60_000_000, "{}", case.name);
    }
}
