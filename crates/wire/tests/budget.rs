//! Memory of a process: which arriving holder is ended when another kind has no room.

use futures_util::FutureExt;

use shallotrill_limits::memory::Kind;
use shallotrill_wire::budget::Budget;
use shallotrill_wire::budget::Refusal;

const MEMORY_BYTES: u64 = 160 * 1024 * 1024;

/// Part of the memory that the buffers of requests may take, less than one more request.
const REQUESTS_BYTES: u64 = MEMORY_BYTES * 16 / 100 - 1_000;

const ARRIVED_BYTES: usize = 10_000;

struct Case {
    name: &'static str,
    arriving: Kind,
    /// Whether the arriving holder is ended when a request has no room for its buffers.
    ended: bool,
}

/// Guards against a crowd of requests that ends messages between processes and bodies of other routers, which hold none
/// of the memory that the crowd needs.
const CASES: [Case; 4] = [
    Case {
        name: "the body of another caller",
        arriving: Kind::Body,
        ended: true,
    },
    Case {
        name: "the body of a forwarded request",
        arriving: Kind::Forwarded,
        ended: false,
    },
    Case {
        name: "a call of an operator",
        arriving: Kind::Call,
        ended: false,
    },
    Case {
        name: "a message of another process",
        arriving: Kind::Message,
        ended: false,
    },
];

#[tokio::test]
async fn a_request_without_room_ends_only_bodies_of_callers() {
    for case in &CASES {
        let budget = Budget::new(MEMORY_BYTES);
        let held = budget.hold(case.arriving, ARRIVED_BYTES);
        let mut held = held.expect("there is room");
        let pushed = held.push(&[1; ARRIVED_BYTES]).await;
        pushed.expect("there is room");
        let requests = budget.reserve(Kind::Request, REQUESTS_BYTES).await;
        let requests = requests.expect("there is room");
        let refused = budget.reserve(Kind::Request, 2_000).await;
        assert_eq!(refused.err(), Some(Refusal::NoRoom), "{}", case.name);
        let ended = held.ended().notified().now_or_never().is_some();
        assert_eq!(ended, case.ended, "{}", case.name);
        drop(requests);
        let admitted = budget.reserve(Kind::Request, 2_000).await;
        assert!(admitted.is_ok(), "{}", case.name);
    }
}

/// Guards against a response that is counted beyond the limit and not released, or that is refused although it is there.
#[tokio::test]
async fn a_response_beyond_the_limit_is_counted_until_it_is_sent() {
    let budget = Budget::new(MEMORY_BYTES);
    let permit = budget.reserve(Kind::Request, REQUESTS_BYTES).await;
    let mut permit = permit.expect("there is room");
    permit.extend(2_000);
    assert_eq!(budget.used(Kind::Request), REQUESTS_BYTES + 2_000);
    let refused = budget.reserve(Kind::Request, 1).await;
    assert_eq!(refused.err(), Some(Refusal::NoRoom));
    drop(permit);
    assert_eq!(budget.used(Kind::Request), 0);
}
