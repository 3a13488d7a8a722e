//! Checks of changes.

mod scene;

use std::time::Duration;

use shallotrill_items::change::Refusal;
use shallotrill_items::check;
use shallotrill_items::check::Problem;
use shallotrill_items::item::Content;
use shallotrill_items::item::Item;
use shallotrill_items::item::Key;
use shallotrill_items::route::Route;

struct Case {
    name: &'static str,
    /// Changes a valid route.
    edit: fn(&mut Route),
    expected: Result<(), Problem>,
}

/// Guards against a route in force that no request can use, or that names nothing.
const CASES: &[Case] = &[
    Case {
        name: "valid",
        edit: |_| {},
        expected: Ok(()),
    },
    Case {
        name: "host is empty",
        edit: |route| route.host = "".into(),
        expected: Err(Problem::Host),
    },
    Case {
        name: "prefix without a slash",
        edit: |route| route.prefix = "a/".into(),
        expected: Err(Problem::Prefix),
    },
    Case {
        name: "no attempts",
        edit: |route| route.attempts = 0,
        expected: Err(Problem::NoAttempts),
    },
    Case {
        name: "timeout at its limit",
        edit: |route| route.timeout = Duration::from_mins(10),
        expected: Ok(()),
    },
    Case {
        name: "timeout above its limit",
        edit: |route| route.timeout = Duration::from_millis(600_001),
        expected: Err(Problem::Timeout(Duration::from_millis(600_001))),
    },
    Case {
        name: "no timeout",
        edit: |route| route.timeout = Duration::ZERO,
        expected: Err(Problem::Timeout(Duration::ZERO)),
    },
    Case {
        name: "no weight",
        edit: |route| route.shares[0].weight = 0,
        expected: Err(Problem::NoWeight),
    },
    Case {
        name: "no share",
        edit: |route| route.shares.clear(),
        expected: Err(Problem::NoWeight),
    },
];

#[test]
fn routes_are_checked() {
    let known = scene::service("known", 1);
    let current = |key: &Key| (*key == known.key).then_some(&known);
    for case in CASES {
        let mut content = scene::route_content("host", "/a/", "known");
        (case.edit)(&mut content);
        let items = [scene::item(
            scene::route_key("r"),
            1,
            Content::Route(content),
        )];
        let expected = case.expected.clone().map_err(|problem| Refusal::Invalid {
            key: scene::route_key("r"),
            problem,
        });
        assert_eq!(check::check(&items, &current), expected, "{}", case.name);
    }
}

struct Whole {
    name: &'static str,
    items: fn() -> Vec<Item>,
    valid: bool,
}

/// Guards against a route to a service that is not there, and against two contents of one version.
const WHOLE: &[Whole] = &[
    Whole {
        name: "service in force",
        items: || vec![scene::route("r", 1, "known")],
        valid: true,
    },
    Whole {
        name: "service in the same change",
        items: || vec![scene::route("r", 1, "new"), scene::service("new", 1)],
        valid: true,
    },
    Whole {
        name: "unknown service",
        items: || vec![scene::route("r", 1, "none")],
        valid: false,
    },
    Whole {
        name: "several versions of one route",
        items: || vec![scene::route("r", 2, "known"), scene::removal("r", 3)],
        valid: true,
    },
    Whole {
        name: "two contents of one version",
        items: || vec![scene::route("r", 2, "known"), scene::removal("r", 2)],
        valid: false,
    },
    Whole {
        name: "the same version twice with the same content",
        items: || vec![scene::route("r", 2, "known"), scene::route("r", 2, "known")],
        valid: true,
    },
];

#[test]
fn changes_are_checked_as_a_whole() {
    let known = scene::service("known", 1);
    for case in WHOLE {
        let items = (case.items)();
        let current = |key: &Key| (*key == known.key).then_some(&known);
        let checked = check::check(&items, &current);
        assert_eq!(checked.is_ok(), case.valid, "{}: {checked:?}", case.name);
    }
}
