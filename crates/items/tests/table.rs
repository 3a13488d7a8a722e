//! Look-ups of routes.

mod scene;

use std::sync::Arc;

use shallotrill_items::digest::Digest;
use shallotrill_items::item::Content;
use shallotrill_items::table::Table;

struct Case {
    name: &'static str,
    host: &'static str,
    path: &'static str,
    expected: Option<&'static str>,
}

/// Guards against a request that goes to the route of another host, or to a shorter prefix than the longest.
const CASES: &[Case] = &[
    Case {
        name: "the longest prefix",
        host: "one",
        path: "/a/b/c",
        expected: Some("one-a-b"),
    },
    Case {
        name: "a shorter prefix when the longer one does not fit",
        host: "one",
        path: "/a/x",
        expected: Some("one-a"),
    },
    Case {
        name: "a sibling that sorts between",
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
        name: "no prefix fits",
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
    let places = [
        ("one-a", "one", "/a/"),
        ("one-a-b", "one", "/a/b/"),
        ("one-a-ba", "one", "/a/ba/"),
        ("two-a", "two", "/a/"),
    ];
    let items: Vec<_> = places
        .iter()
        .map(|(name, host, prefix)| {
            let route = scene::route_content(host, prefix, "s");
            Arc::new(scene::item(
                scene::route_key(name),
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

struct Version {
    name: &'static str,
    versions: &'static [u64],
    expected: u64,
}

/// Guards against a router that goes back to an older version when changes arrive out of order.
const VERSIONS: &[Version] = &[
    Version {
        name: "in order",
        versions: &[1, 2, 5],
        expected: 5,
    },
    Version {
        name: "out of order",
        versions: &[5, 2, 1],
        expected: 5,
    },
    Version {
        name: "again",
        versions: &[3, 3],
        expected: 3,
    },
];

#[test]
fn versions_never_go_back() {
    for case in VERSIONS {
        let mut table = Table::default();
        for &version in case.versions {
            table.apply(&[Arc::new(scene::route("r", version, "s"))]);
        }
        let found = table.find("host", "/").map(|rule| rule.version);
        assert_eq!(found, Some(case.expected), "{}", case.name);
        table.apply(&[Arc::new(scene::removal("r", case.expected + 1))]);
        table.apply(&[Arc::new(scene::route("r", case.expected, "s"))]);
        assert!(table.find("host", "/").is_none(), "{}", case.name);
    }
}

/// Guards against a table whose digest drifts from its items, which would then be read again or not at all.
#[test]
fn the_digest_follows_the_items() {
    let mut table = Table::default();
    let steps = [
        scene::route("a", 1, "s"),
        scene::route("b", 2, "s"),
        scene::route("a", 3, "t"),
        scene::removal("b", 5),
        scene::route("b", 4, "s"),
    ];
    for item in steps {
        table.apply(&[Arc::new(item)]);
        let whole = Digest::of(table.items().iter().map(Arc::as_ref));
        assert_eq!(table.digest(), whole);
    }
    assert_ne!(table.digest(), Digest::default());
}
