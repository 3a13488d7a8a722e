//! Tests of the lock order check in debug builds.

use std::panic;

use shallotrill_locks::Mutex;
use shallotrill_locks::Rank;

struct Case {
    name: &'static str,
    first: Rank,
    second: Rank,
    allowed: bool,
}

/// Guards against taking the locks of two tables in different orders, which would deadlock only under load.
const CASES: &[Case] = &[
    Case {
        name: "ascending",
        first: Rank::Membership,
        second: Rank::Routing,
        allowed: true,
    },
    Case {
        name: "descending",
        first: Rank::Routing,
        second: Rank::Membership,
        allowed: false,
    },
    Case {
        name: "equal",
        first: Rank::Pool,
        second: Rank::Pool,
        allowed: false,
    },
];

#[test]
#[cfg_attr(
    not(debug_assertions),
    ignore = "the check exists in debug builds only"
)]
fn order_is_checked() {
    for case in CASES {
        let first = Mutex::new(case.first, 0);
        let second = Mutex::new(case.second, 0);
        let result = panic::catch_unwind(panic::AssertUnwindSafe(|| {
            let outer = first.lock();
            let inner = second.lock();
            *outer + *inner
        }));
        assert_eq!(result.is_ok(), case.allowed, "{}", case.name);
    }
}
