//! What routers tell each other.

use std::time::Duration;

use http::HeaderMap;
use http::HeaderValue;

use shallotrill_model::class::Class;
use shallotrill_model::incarnation::Incarnation;
use shallotrill_model::instance;
use shallotrill_model::service;
use shallotrill_router::forwarded;
use shallotrill_router::forwarded::Denial;
use shallotrill_router::forwarded::Forwarded;

fn example() -> Forwarded {
    Forwarded {
        instance: instance::Name::new("i-1").expect("a name"),
        incarnation: Incarnation(9),
        service: service::Name::new("catalogue").expect("a name"),
        caller: service::Name::new("bookings").expect("a name"),
        left: Duration::from_millis(400),
        start_within: Duration::from_millis(120),
        objective: Duration::from_millis(200),
        priority: 2,
        class: Class::NonIdempotent,
        insist: true,
        host: "host;with;semicolons".into(),
    }
}

/// Guards against a field that another router reads as a different one.
#[test]
fn fields_survive() {
    let encoded = example().encode().expect("a header value");
    assert_eq!(Forwarded::decode(&encoded), Some(example()));
}

struct Case {
    name: &'static str,
    value: &'static str,
}

/// Guards against a request that runs although its head was not understood.
const CASES: &[Case] = &[
    Case {
        name: "empty",
        value: "",
    },
    Case {
        name: "a field is missing",
        value: "i-1;9;catalogue;bookings;400;120;200;2;n;1",
    },
    Case {
        name: "unknown class",
        value: "i-1;9;catalogue;bookings;400;120;200;2;x;1;host",
    },
    Case {
        name: "no number",
        value: "i-1;nine;catalogue;bookings;400;120;200;2;n;1;host",
    },
    Case {
        name: "an instance that is no name",
        value: "I 1;9;catalogue;bookings;400;120;200;2;n;1;host",
    },
];

#[test]
fn other_forms_are_refused() {
    for case in CASES {
        let value = HeaderValue::from_static(case.value);
        assert_eq!(Forwarded::decode(&value), None, "{}", case.name);
    }
}

struct Proof {
    value: &'static str,
    not_run: bool,
    arrived: bool,
}

/// Guards against a refusal that promises "not run" without proof; an unknown reason proves nothing.
const PROOFS: &[Proof] = &[
    Proof {
        value: "busy",
        not_run: true,
        arrived: false,
    },
    Proof {
        value: "slow",
        not_run: true,
        arrived: false,
    },
    Proof {
        value: "gone",
        not_run: true,
        arrived: false,
    },
    Proof {
        value: "unreachable",
        not_run: true,
        arrived: false,
    },
    Proof {
        value: "shed",
        not_run: true,
        arrived: true,
    },
    Proof {
        value: "lost",
        not_run: false,
        arrived: true,
    },
    Proof {
        value: "spoiled",
        not_run: false,
        arrived: true,
    },
    Proof {
        value: "timeout",
        not_run: false,
        arrived: true,
    },
    Proof {
        value: "of-a-later-release",
        not_run: false,
        arrived: true,
    },
];

#[test]
fn denials_prove_what_they_say() {
    for case in PROOFS {
        let mut headers = HeaderMap::new();
        headers.insert(forwarded::DENIAL, HeaderValue::from_static(case.value));
        let denial = Denial::read(&headers).expect(case.value);
        assert_eq!(denial.is_not_run(), case.not_run, "{}", case.value);
        assert_eq!(denial.has_arrived(), case.arrived, "{}", case.value);
    }
}
