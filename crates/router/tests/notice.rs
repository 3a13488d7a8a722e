//! Statements of a backend server in the headers of its responses.

use http::HeaderMap;
use http::HeaderValue;

use shallotrill_model::rate::Rate;
use shallotrill_router::names::Names;
use shallotrill_router::notice::Limit;
use shallotrill_router::notice::Notice;

struct Case {
    name: &'static str,
    limit: Option<&'static [u8]>,
    expected: fn() -> Limit,
}

/// Guards against a limit that is misread: an unreadable one must neither withdraw nor replace the last one.
const CASES: &[Case] = &[
    Case {
        name: "no limit",
        limit: None,
        expected: || Limit::Absent,
    },
    Case {
        name: "a decimal number",
        limit: Some(b"6.6"),
        expected: || Limit::Stated(Rate::from_millihertz(6_600)),
    },
    Case {
        name: "an integer between spaces",
        limit: Some(b" 12 "),
        expected: || Limit::Stated(Rate::from_millihertz(12_000)),
    },
    Case {
        name: "no requests at all",
        limit: Some(b"0"),
        expected: || Limit::Stated(Rate::from_millihertz(0)),
    },
    Case {
        name: "more than the type holds",
        limit: Some(b"1e300"),
        expected: || Limit::Stated(Rate::from_millihertz(u32::MAX)),
    },
    Case {
        name: "a negative number",
        limit: Some(b"-1"),
        expected: || Limit::Unreadable("-1".to_owned()),
    },
    Case {
        name: "not a finite number",
        limit: Some(b"inf"),
        expected: || Limit::Unreadable("inf".to_owned()),
    },
    Case {
        name: "empty",
        limit: Some(b""),
        expected: || Limit::Unreadable(String::new()),
    },
    Case {
        name: "bytes that are not text",
        limit: Some(b"\xff"),
        expected: || Limit::Unreadable("\u{fffd}".to_owned()),
    },
];

#[test]
fn limits_are_read_from_headers() {
    let names = Names::default();
    for case in CASES {
        let mut headers = HeaderMap::new();
        if let Some(limit) = case.limit {
            let value = HeaderValue::from_bytes(limit).expect("a header value");
            headers.insert(names.limit.clone(), value);
        }
        let notice = Notice::read(&names, &headers);
        assert_eq!(notice.limit, (case.expected)(), "{}", case.name);
    }
}

struct LeavingCase {
    name: &'static str,
    value: Option<&'static str>,
    expected: bool,
}

/// Guards against a target that is given up for a header that does not state that it is leaving.
const LEAVING_CASES: &[LeavingCase] = &[
    LeavingCase {
        name: "no statement",
        value: None,
        expected: false,
    },
    LeavingCase {
        name: "it is leaving",
        value: Some("1"),
        expected: true,
    },
    LeavingCase {
        name: "it is not leaving",
        value: Some("0"),
        expected: false,
    },
    LeavingCase {
        name: "another text",
        value: Some("no"),
        expected: false,
    },
];

#[test]
fn leaving_is_read_from_headers() {
    let names = Names::default();
    for case in LEAVING_CASES {
        let mut headers = HeaderMap::new();
        if let Some(value) = case.value {
            headers.insert(names.leaving.clone(), HeaderValue::from_static(value));
        }
        let notice = Notice::read(&names, &headers);
        assert_eq!(notice.leaving, case.expected, "{}", case.name);
    }
}
