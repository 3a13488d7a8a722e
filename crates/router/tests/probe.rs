//! Intervals of the probes of the local backend server.

use std::time::Duration;

use shallotrill_model::rate::Rate;
use shallotrill_router::probe;

struct Case {
    name: &'static str,
    limit: Option<u32>,
    expected: Duration,
}

/// Guards against probes that take a large part of the requests that a backend server in need accepts, and against
/// a limit whose end nobody notices.
const CASES: &[Case] = &[
    Case {
        name: "no limit",
        limit: None,
        expected: Duration::from_millis(100),
    },
    Case {
        name: "one probe for ten requests",
        limit: Some(5_000),
        expected: Duration::from_secs(2),
    },
    Case {
        name: "a high limit",
        limit: Some(1_000_000),
        expected: Duration::from_millis(100),
    },
    Case {
        name: "a request in a thousand seconds",
        limit: Some(1),
        expected: Duration::from_secs(5),
    },
    Case {
        name: "no requests at all",
        limit: Some(0),
        expected: Duration::from_secs(5),
    },
];

#[test]
fn probes_take_a_small_part_of_a_stated_limit() {
    for case in CASES {
        let limit = case.limit.map(Rate::from_millihertz);
        assert_eq!(probe::interval(limit), case.expected, "{}", case.name);
    }
}
