//! The budget of a process: memory, holders, connections and progress.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::time::Duration;

use shallotrill_limits::connection;
use shallotrill_limits::connection::Activity;
use shallotrill_limits::connection::Connection;
use shallotrill_limits::connection::Shares;
use shallotrill_limits::holder;
use shallotrill_limits::memory::Budget;
use shallotrill_limits::memory::Cutback;
use shallotrill_limits::memory::Kind;
use shallotrill_limits::progress;
use shallotrill_limits::progress::Rule;
use shallotrill_model::time::Instant;

const MIB: u64 = 1 << 20;

const fn at(ms: u64) -> Instant {
    Instant(ms * 1_000)
}

struct MemoryCase {
    name: &'static str,
    taken: &'static [(Kind, u64)],
    next: (Kind, u64),
    has_room: bool,
}

/// Guards against requests that take the part of control, and against a legal request without room in an idle process.
const MEMORY: [MemoryCase; 8] = [
    MemoryCase {
        name: "the largest body of the deployments has room",
        taken: &[],
        next: (Kind::Body, 64 * MIB),
        has_room: true,
    },
    MemoryCase {
        name: "a second one has none",
        taken: &[(Kind::Body, 64 * MIB)],
        next: (Kind::Body, MIB),
        has_room: false,
    },
    MemoryCase {
        name: "bodies and forwarded requests share their part",
        taken: &[(Kind::Body, 32 * MIB), (Kind::Forwarded, 32 * MIB)],
        next: (Kind::Forwarded, MIB),
        has_room: false,
    },
    MemoryCase {
        name: "messages between processes have room when requests have none",
        taken: &[(Kind::Body, 64 * MIB)],
        next: (Kind::Message, 16 * MIB),
        has_room: true,
    },
    MemoryCase {
        name: "calls leave room for bodies",
        taken: &[(Kind::Call, 32 * MIB)],
        next: (Kind::Body, 32 * MIB),
        has_room: true,
    },
    MemoryCase {
        name: "calls have a limit of their own",
        taken: &[(Kind::Call, 32 * MIB)],
        next: (Kind::Call, MIB),
        has_room: false,
    },
    MemoryCase {
        name: "buffers of requests have a limit of their own",
        taken: &[(Kind::Request, 25 * MIB)],
        next: (Kind::Request, MIB),
        has_room: false,
    },
    MemoryCase {
        name: "buffers of requests take no room of the largest body",
        taken: &[(Kind::Request, 25 * MIB)],
        next: (Kind::Body, 64 * MIB),
        has_room: true,
    },
];

#[test]
fn memory_is_taken_by_kind() {
    for case in &MEMORY {
        let budget = Budget::new(160 * MIB);
        for &(kind, bytes) in case.taken {
            assert!(budget.take(kind, bytes), "{}: {kind:?}", case.name);
        }
        let (kind, bytes) = case.next;
        assert_eq!(budget.has_room(kind, bytes), case.has_room, "{}", case.name);
        assert_eq!(budget.take(kind, bytes), case.has_room, "{}", case.name);
        let taken = case.taken.iter().filter(|(k, _)| *k == kind);
        let taken: u64 = taken.map(|(_, bytes)| bytes).sum();
        let expected = taken + if case.has_room { bytes } else { 0 };
        assert_eq!(budget.used(kind), expected, "{}", case.name);
        budget.give_back(kind, expected);
        assert_eq!(budget.used(kind), 0, "{}", case.name);
    }
}

struct HolderCase {
    name: &'static str,
    /// Start in milliseconds and bytes.
    holders: &'static [(u64, u64)],
    ended: Option<usize>,
}

/// Guards against ending a small or recent holder instead of the one that holds the most for the longest.
const HOLDERS: [HolderCase; 4] = [
    HolderCase {
        name: "the larger of two of the same age",
        holders: &[(0, 10), (0, 20)],
        ended: Some(1),
    },
    HolderCase {
        name: "the older of two of the same size",
        holders: &[(500, 10), (0, 10)],
        ended: Some(1),
    },
    HolderCase {
        name: "a large one that has just begun stays",
        holders: &[(0, 100), (999, 1_000)],
        ended: Some(0),
    },
    HolderCase {
        name: "one without memory releases none",
        holders: &[(0, 0)],
        ended: None,
    },
];

#[test]
fn the_worst_holder_is_ended_first() {
    for case in &HOLDERS {
        let mut table = holder::Table::default();
        for (index, &(since_ms, bytes)) in case.holders.iter().enumerate() {
            let id = table.add(index, at(since_ms));
            table.set_bytes(id, bytes);
        }
        let ended = table.end_worst(at(1_000)).map(|(id, index)| (id, *index));
        assert_eq!(ended.map(|(_, index)| index), case.ended, "{}", case.name);
        // One at a time, until its memory is released.
        assert!(ended.is_none() || table.end_worst(at(1_000)).is_none());
        if let Some((id, _)) = ended {
            table.remove(id);
            let next = table.end_worst(at(1_000)).is_some();
            assert_eq!(next, case.holders.len() > 1, "{}", case.name);
        }
    }
}

const LIMIT: usize = 4;

fn connection(host: u8, activity: Activity, since_ms: u64, was_used: bool) -> Connection {
    Connection {
        from: IpAddr::V4(Ipv4Addr::new(127, 0, 0, host)),
        activity,
        since: at(since_ms),
        was_used,
    }
}

/// Guards against closing a connection whose request may have run, and against a crowd that displaces others.
#[test]
fn a_full_listener_closes_the_right_connection() {
    use Activity::Busy;
    use Activity::Idle;
    let cases = [
        (
            "the one that is idle for the longest time",
            vec![connection(1, Idle, 50, true), connection(2, Idle, 0, true)],
            Some(1),
        ),
        (
            "one that has never sent a request before one that has",
            vec![
                connection(1, Idle, 0, true),
                connection(2, Idle, 500, false),
            ],
            Some(1),
        ),
        (
            "one of an address above its share first",
            vec![
                connection(1, Idle, 0, false),
                connection(2, Idle, 500, true),
                connection(2, Busy, 500, true),
                connection(2, Busy, 500, true),
                connection(2, Busy, 500, true),
            ],
            Some(1),
        ),
        (
            "none whose request is in progress",
            vec![connection(1, Busy, 0, true)],
            None,
        ),
        (
            "none that has just been accepted",
            vec![connection(1, Idle, 950, false)],
            None,
        ),
    ];
    for (name, connections, expected) in cases {
        let victim = connection::victim(&connections, LIMIT, at(1_000));
        assert_eq!(victim, expected, "{name}");
    }
}

/// Guards against listeners that together leave no descriptors for control, targets and files.
#[test]
fn a_fifth_of_the_descriptors_is_kept() {
    for descriptors in [256, 4_100] {
        let router = Shares::router(descriptors);
        let total = router.callers + router.processes + 2 * router.calls;
        assert!(total * 5 <= descriptors * 4, "{router:?}");
        let registry = Shares::registry(descriptors);
        let total = registry.processes + registry.calls;
        assert!(total * 5 <= descriptors * 4, "{registry:?}");
    }
}

/// Guards against ending clients inside the configured limits, and against ones that never end.
#[test]
fn slow_transfers_are_told_apart() {
    let cases: [(&str, Rule, u64, u64, bool); 6] = [
        (
            "a reader at 20 kB/s",
            progress::NORMAL,
            2_000_000,
            100,
            false,
        ),
        ("a few bytes a second", progress::NORMAL, 60, 20, true),
        (
            "nothing in the first seconds",
            progress::NORMAL,
            0,
            9,
            false,
        ),
        ("nothing at all", progress::NORMAL, 0, 10, true),
        (
            "a few bytes a second while short",
            progress::SHORT,
            6,
            2,
            true,
        ),
        (
            "a reader at 20 kB/s while short",
            progress::SHORT,
            40_000,
            2,
            false,
        ),
    ];
    for (name, rule, bytes, seconds, too_slow) in cases {
        let elapsed = Duration::from_secs(seconds);
        assert_eq!(rule.is_too_slow(bytes, elapsed), too_slow, "{name}");
    }
}

/// Guards against a log line for each refusal.
#[test]
fn a_cutback_begins_and_ends_once() {
    let mut cutback = Cutback::default();
    assert_eq!(cutback.end(at(0)), None);
    assert!(cutback.refuse(at(0)));
    assert!(!cutback.refuse(at(4_000)));
    assert_eq!(cutback.end(at(8_000)), None, "the last refusal is recent");
    assert_eq!(cutback.end(at(9_000)), Some(2));
    assert_eq!(cutback.end(at(20_000)), None);
    assert!(cutback.refuse(at(20_000)));
}
