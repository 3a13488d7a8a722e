//! Table of acknowledged departures.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use shallotrill_feed::message::Departure;
use shallotrill_model::instance;
use shallotrill_registry::departures::Table;

fn departure((port, name, start_time_ms): (u16, &str, u64)) -> Departure {
    Departure {
        router: SocketAddr::new(Ipv4Addr::LOCALHOST.into(), port),
        instance: instance::Name::new(name).expect("a valid name"),
        start_time_ms,
    }
}

struct Case {
    name: &'static str,
    merged: &'static [(u16, &'static str, u64)],
    /// Whether the last departure changes the table.
    changes: bool,
    /// Departures of the router at port 1.
    expected: &'static [(u16, &'static str, u64)],
}

/// Guards against a departure that is forgotten, replaced by the departure of an earlier incarnation, or sent in an order
/// in which a router keeps an older one instead.
const CASES: &[Case] = &[
    Case {
        name: "one departure",
        merged: &[(1, "a", 5)],
        changes: true,
        expected: &[(1, "a", 5)],
    },
    Case {
        name: "repeated",
        merged: &[(1, "a", 5), (1, "a", 5)],
        changes: false,
        expected: &[(1, "a", 5)],
    },
    Case {
        name: "a later incarnation",
        merged: &[(1, "a", 5), (1, "a", 6)],
        changes: true,
        expected: &[(1, "a", 6)],
    },
    Case {
        name: "an earlier incarnation, reported late",
        merged: &[(1, "a", 6), (1, "a", 5)],
        changes: false,
        expected: &[(1, "a", 6)],
    },
    Case {
        name: "other routers",
        merged: &[(2, "a", 5), (1, "b", 5), (1, "a", 5), (3, "a", 5)],
        changes: true,
        expected: &[(1, "b", 5), (1, "a", 5)],
    },
    Case {
        name: "the order of the departures, with a later incarnation",
        merged: &[(1, "b", 5), (1, "c", 5), (1, "a", 5), (1, "b", 6)],
        changes: true,
        expected: &[(1, "c", 5), (1, "a", 5), (1, "b", 6)],
    },
];

#[test]
fn departures_are_kept() {
    for case in CASES {
        let mut table = Table::default();
        let mut changed = false;
        for &merged in case.merged {
            changed = table.merge(&[departure(merged)]);
        }
        assert_eq!(changed, case.changes, "{}", case.name);
        let router = departure((1, "a", 0)).router;
        let expected: Vec<Departure> = case.expected.iter().copied().map(departure).collect();
        assert_eq!(table.of(router), expected, "{}", case.name);
        let mut copy = Table::default();
        copy.merge(&table.since(0));
        assert_eq!(copy.of(router), expected, "{}", case.name);
    }
}

/// Guards against a table that grows without end, and against the loss of recent departures.
#[test]
fn the_oldest_departures_are_discarded() {
    let mut table = Table::default();
    for number in 0..10_000 {
        let name = format!("i-{number}");
        table.merge(&[departure((1, &name, 5))]);
    }
    let kept = table.since(0);
    assert_eq!(kept.len(), 8_192);
    assert_eq!(kept[0], departure((1, "i-1808", 5)));
    assert_eq!(table.since(9_999), [departure((1, "i-9999", 5))]);
}
