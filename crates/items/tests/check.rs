//! Validation of routes and changes.

mod fixtures;

use std::time::Duration;

use shallotrill_items::change::Refusal;
use shallotrill_items::check;
use shallotrill_items::check::ValidationError;
use shallotrill_items::item::Content;
use shallotrill_items::item::Item;
use shallotrill_items::item::Key;
use shallotrill_items::route::Route;

struct Case {
    name: &'static str,
    /// Modifies a valid route.
    edit: fn(&mut Route),
    expected: Result<(), ValidationError>,
}

/// Guards against an accepted route that no request can match, or that routes requests to no service.
const CASES: &[Case] = &[
    Case {
        name: "valid",
        edit: |_| {},
        expected: Ok(()),
    },
    Case {
        name: "host is empty",
        edit: |route| route.host = "".into(),
        expected: Err(ValidationError::EmptyHost),
    },
    Case {
        name: "prefix without a slash",
        edit: |route| route.prefix = "a/".into(),
        expected: Err(ValidationError::InvalidPrefix),
    },
    Case {
        name: "maximum number of attempts is zero",
        edit: |route| route.attempts = 0,
        expected: Err(ValidationError::NoAttempts),
    },
    Case {
        name: "timeout at its limit",
        edit: |route| route.timeout = Duration::from_mins(10),
        expected: Ok(()),
    },
    Case {
        name: "timeout above its limit",
        edit: |route| route.timeout = Duration::from_millis(600_001),
        expected: Err(ValidationError::Timeout(Duration::from_millis(600_001))),
    },
    Case {
        name: "timeout is zero",
        edit: |route| route.timeout = Duration::ZERO,
        expected: Err(ValidationError::Timeout(Duration::ZERO)),
    },
    Case {
        name: "all weights are zero",
        edit: |route| route.shares[0].weight = 0,
        expected: Err(ValidationError::NoWeight),
    },
    Case {
        name: "route without shares",
        edit: |route| route.shares.clear(),
        expected: Err(ValidationError::NoWeight),
    },
];

#[test]
fn routes_are_validated() {
    let known = fixtures::service("known", 1);
    let current = |key: &Key| (*key == known.key).then_some(&known);
    for case in CASES {
        let mut content = fixtures::route_content("host", "/a/", "known");
        (case.edit)(&mut content);
        let items = [fixtures::item(
            fixtures::route_key("r"),
            1,
            Content::Route(content),
        )];
        let expected = case.expected.clone().map_err(|problem| Refusal::Invalid {
            key: fixtures::route_key("r"),
            problem,
        });
        assert_eq!(
            check::check_change(&items, &current),
            expected,
            "{}",
            case.name
        );
    }
}

struct ChangeCase {
    name: &'static str,
    items: fn() -> Vec<Item>,
    valid: bool,
}

/// Guards against a route to a service that does not exist, and against two contents of one version.
const CHANGE_CASES: &[ChangeCase] = &[
    ChangeCase {
        name: "service exists already",
        items: || vec![fixtures::route("r", 1, "known")],
        valid: true,
    },
    ChangeCase {
        name: "service in the same change",
        items: || vec![fixtures::route("r", 1, "new"), fixtures::service("new", 1)],
        valid: true,
    },
    ChangeCase {
        name: "unknown service",
        items: || vec![fixtures::route("r", 1, "none")],
        valid: false,
    },
    ChangeCase {
        name: "several versions of one route",
        items: || vec![fixtures::route("r", 2, "known"), fixtures::removal("r", 3)],
        valid: true,
    },
    ChangeCase {
        name: "two contents of one version",
        items: || vec![fixtures::route("r", 2, "known"), fixtures::removal("r", 2)],
        valid: false,
    },
    ChangeCase {
        name: "the same version twice with identical content",
        items: || {
            vec![
                fixtures::route("r", 2, "known"),
                fixtures::route("r", 2, "known"),
            ]
        },
        valid: true,
    },
];

#[test]
fn changes_are_validated() {
    let known = fixtures::service("known", 1);
    for case in CHANGE_CASES {
        let items = (case.items)();
        let current = |key: &Key| (*key == known.key).then_some(&known);
        let result = check::check_change(&items, &current);
        assert_eq!(result.is_ok(), case.valid, "{}: {result:?}", case.name);
    }
}
