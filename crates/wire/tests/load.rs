//! Headers with the load and the pace of a target.

use http::HeaderValue;

use shallotrill_model::load::Pace;
use shallotrill_model::rate::Rate;
use shallotrill_wire::load;
use shallotrill_wire::load::Invalid;

struct Case {
    name: &'static str,
    text: &'static str,
    expected: Result<Pace, Invalid>,
}

/// Guards against a pace that is read from a damaged header of another router.
const CASES: &[Case] = &[
    Case {
        name: "a rate and a wait",
        text: "6600,150000",
        expected: Ok(Pace {
            rate: Rate::from_millihertz(6_600),
            wait_us: 150_000,
        }),
    },
    Case {
        name: "one number",
        text: "6600",
        expected: Err(Invalid),
    },
    Case {
        name: "three numbers",
        text: "6600,1,1",
        expected: Err(Invalid),
    },
    Case {
        name: "a negative number",
        text: "-1,1",
        expected: Err(Invalid),
    },
    Case {
        name: "empty",
        text: "",
        expected: Err(Invalid),
    },
];

#[test]
fn paces_are_read_from_headers() {
    for case in CASES {
        let pace = load::decode_pace(&HeaderValue::from_static(case.text));
        assert_eq!(pace, case.expected, "{}", case.name);
        if let Ok(pace) = pace {
            assert_eq!(load::encode_pace(&pace), case.text, "{}", case.name);
        }
    }
}
