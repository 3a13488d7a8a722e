//! Look-ups of routes in the table, and its order of versions.

mod fixtures;

use std::sync::Arc;

use shallotrill_items::item::Content;
use shallotrill_items::item_set_hash::ItemSetHash;
use shallotrill_items::table::Table;

struct Case {
    name: &'static str,
    host: &'static str,
    path: &'static str,
    expected: Option<&'static str>,
}

/// Guards against a request that matches the route of another host, or not the longest matching prefix.
const CASES: &[Case] = &[
    Case {
        name: "the longest prefix",
        host: "one",
        path: "/a/b/c",
        expected: Some("one-a-b"),
    },
    Case {
        name: "a shorter prefix when the longer one does not match",
        host: "one",
        path: "/a/x",
        expected: Some("one-a"),
    },
    Case {
        name: "a path that sorts after a sibling prefix",
        host: "one",
        path: "/a/c/",
        expected: Some("one-a"),
    },
    Case {
        name: "another host",
        host: "two",
        path: "/a/b/",
        expected: Some("two-a"),
    },
    Case {
        name: "no prefix matches",
        host: "one",
        path: "/b/",
        expected: None,
    },
    Case {
        name: "unknown host",
        host: "on",
        path: "/a/",
        expected: None,
    },
];

#[test]
fn routes_are_found() {
    let routes = [
        ("one-a", "one", "/a/"),
        ("one-a-b", "one", "/a/b/"),
        ("one-a-ba", "one", "/a/ba/"),
        ("two-a", "two", "/a/"),
    ];
    let items: Vec<_> = routes
        .iter()
        .map(|(name, host, prefix)| {
            let route = fixtures::route_content(host, prefix, "s");
            Arc::new(fixtures::item(
                fixtures::route_key(name),
                1,
                Content::Route(route),
            ))
        })
        .collect();
    let mut table = Table::default();
    assert!(table.apply(&items));
    for case in CASES {
        let found = table.find(case.host, case.path).map(|rule| &*rule.name);
        assert_eq!(found, case.expected, "{}", case.name);
    }
}

struct VersionCase {
    name: &'static str,
    versions: &'static [u64],
    expected: u64,
}

/// Guards against a router that returns to an older version when changes arrive out of order.
const VERSION_CASES: &[VersionCase] = &[
    VersionCase {
        name: "in order",
        versions: &[1, 2, 5],
        expected: 5,
    },
    VersionCase {
        name: "out of order",
        versions: &[5, 2, 1],
        expected: 5,
    },
    VersionCase {
        name: "again",
        versions: &[3, 3],
        expected: 3,
    },
];

#[test]
fn older_versions_are_ignored() {
    for case in VERSION_CASES {
        let mut table = Table::default();
        for &version in case.versions {
            table.apply(&[Arc::new(fixtures::route("r", version, "s"))]);
        }
        let found = table.find("host", "/").map(|rule| rule.version);
        assert_eq!(found, Some(case.expected), "{}", case.name);
        table.apply(&[Arc::new(fixtures::removal("r", case.expected + 1))]);
        table.apply(&[Arc::new(fixtures::route("r", case.expected, "s"))]);
        assert!(table.find("host", "/").is_none(), "{}", case.name);
    }
}

/// Guards against a hash that differs from the hash of the table's items: routers would then transfer the
/// table needlessly, or not at all.
#[test]
fn the_item_set_hash_matches_the_items() {
    let mut table = Table::default();
    let steps = [
        fixtures::route("a", 1, "s"),
        fixtures::route("b", 2, "s"),
        fixtures::route("a", 3, "t"),
        fixtures::removal("b", 5),
        fixtures::route("b", 4, "s"),
    ];
    for item in steps {
        table.apply(&[Arc::new(item)]);
        let expected = ItemSetHash::of(table.items().iter().map(Arc::as_ref));
        assert_eq!(table.item_set_hash(), expected);
    }
    assert_ne!(table.item_set_hash(), ItemSetHash::default());
}
