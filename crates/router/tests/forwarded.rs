//! Encoding of the headers between routers.

use std::time::Duration;

use http::HeaderMap;
use http::HeaderValue;

use shallotrill_model::class::Class;
use shallotrill_model::incarnation::Incarnation;
use shallotrill_model::instance;
use shallotrill_model::service;
use shallotrill_model::workspace;
use shallotrill_router::forwarded;
use shallotrill_router::forwarded::Denial;
use shallotrill_router::forwarded::Forwarded;
use shallotrill_router::forwarded::Workspace;

fn example() -> Forwarded {
    Forwarded {
        instance: instance::Name::new("i-1").expect("a valid name"),
        incarnation: Incarnation(9),
        service: service::Name::new("catalogue").expect("a valid name"),
        caller: service::Name::new("bookings").expect("a valid name"),
        workspace: None,
        remaining: Duration::from_millis(400),
        start_within: Duration::from_millis(120),
        objective: Duration::from_millis(200),
        priority: 2,
        class: Class::NonIdempotent,
        last_gate: true,
        host: "host;with;semicolons".into(),
    }
}

/// Guards against a field that is decoded as a different one.
#[test]
fn fields_are_decoded_as_encoded() {
    let mut with_workspace = example();
    with_workspace.workspace = Some(Workspace {
        name: workspace::Name::new("one").expect("a valid name"),
        priority: 3,
    });
    for example in [example(), with_workspace] {
        let encoded = example.encode().expect("a valid header value");
        assert_eq!(Forwarded::decode(&encoded), Some(example));
    }
}

struct Case {
    name: &'static str,
    value: &'static str,
}

/// Guards against a request that runs although its forwarding header is invalid.
const CASES: &[Case] = &[
    Case {
        name: "empty value",
        value: "",
    },
    Case {
        name: "the host is missing",
        value: "i-1;9;catalogue;bookings;400;120;200;2;n;1;",
    },
    Case {
        name: "unknown class",
        value: "i-1;9;catalogue;bookings;400;120;200;2;x;1;;host",
    },
    Case {
        name: "an incarnation that is not a number",
        value: "i-1;nine;catalogue;bookings;400;120;200;2;n;1;;host",
    },
    Case {
        name: "a workspace without a priority",
        value: "i-1;9;catalogue;bookings;400;120;200;2;n;1;one;host",
    },
    Case {
        name: "an invalid instance name",
        value: "I 1;9;catalogue;bookings;400;120;200;2;n;1;;host",
    },
];

#[test]
fn invalid_headers_are_refused() {
    for case in CASES {
        let value = HeaderValue::from_static(case.value);
        assert_eq!(Forwarded::decode(&value), None, "{}", case.name);
    }
}

struct DenialCase {
    value: &'static str,
    not_run: bool,
    arrived: bool,
}

/// Guards against a denial that counts as not run without proof. An unknown reason, as a later
/// release may send, must count as a request that may have run.
const DENIALS: &[DenialCase] = &[
    DenialCase {
        value: "busy",
        not_run: true,
        arrived: false,
    },
    DenialCase {
        value: "slow",
        not_run: true,
        arrived: false,
    },
    DenialCase {
        value: "gone",
        not_run: true,
        arrived: false,
    },
    DenialCase {
        value: "unreachable",
        not_run: true,
        arrived: false,
    },
    DenialCase {
        value: "shed",
        not_run: true,
        arrived: true,
    },
    DenialCase {
        value: "lost",
        not_run: false,
        arrived: true,
    },
    DenialCase {
        value: "spoiled",
        not_run: false,
        arrived: true,
    },
    DenialCase {
        value: "timeout",
        not_run: false,
        arrived: true,
    },
    DenialCase {
        value: "of-a-later-release",
        not_run: false,
        arrived: true,
    },
];

#[test]
fn denials_tell_whether_a_request_may_have_run() {
    for case in DENIALS {
        let mut headers = HeaderMap::new();
        headers.insert(forwarded::DENIAL, HeaderValue::from_static(case.value));
        let denial = Denial::read(&headers).expect(case.value);
        assert_eq!(denial.is_not_run(), case.not_run, "{}", case.value);
        assert_eq!(denial.has_arrived(), case.arrived, "{}", case.value);
    }
}
