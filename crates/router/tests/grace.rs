//! Requests that arrive while a router stops.

use std::time::Duration;

use shallotrill_model::time::Instant;
use shallotrill_router::grace::Grace;

struct Case {
    name: &'static str,
    listens_ms: u64,
    aborts_ms: u64,
    /// Time since the stop began.
    now_ms: u64,
    remaining_ms: u64,
    admitted: bool,
}

/// Guards against a request that comes late in the grace period, is passed on, and is cut at its end without an answer.
const CASES: &[Case] = &[
    Case {
        name: "callers cannot know of the stop yet",
        listens_ms: 2_400,
        aborts_ms: 5_400,
        now_ms: 2_000,
        remaining_ms: 60_000,
        admitted: true,
    },
    Case {
        name: "late and short",
        listens_ms: 2_400,
        aborts_ms: 5_400,
        now_ms: 4_000,
        remaining_ms: 1_400,
        admitted: true,
    },
    Case {
        name: "late and too long",
        listens_ms: 2_400,
        aborts_ms: 5_400,
        now_ms: 4_000,
        remaining_ms: 1_401,
        admitted: false,
    },
    Case {
        name: "a long grace period, after callers have noticed the stop",
        listens_ms: 12_000,
        aborts_ms: 27_000,
        now_ms: 4_000,
        remaining_ms: 60_000,
        admitted: false,
    },
    Case {
        name: "a long grace period, short request",
        listens_ms: 12_000,
        aborts_ms: 27_000,
        now_ms: 4_000,
        remaining_ms: 10_000,
        admitted: true,
    },
];

#[test]
fn late_requests_are_admitted_if_they_can_end() {
    for case in CASES {
        let millis = Duration::from_millis;
        let begin = Instant(1_000_000);
        let grace = Grace::new(begin, millis(case.listens_ms), millis(case.aborts_ms));
        let admitted = grace.admits(millis(case.remaining_ms), begin + millis(case.now_ms));
        assert_eq!(admitted, case.admitted, "{}", case.name);
    }
}
