//! Headers with the load, the pace and the outlook of a target.

use http::HeaderValue;

use shallotrill_model::load::Outlook;
use shallotrill_model::load::Pace;
use shallotrill_model::load::Step;
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

/// Guards against an outlook that is read from a damaged header of another router, and against a header without bound.
#[test]
fn outlooks_are_read_from_headers() {
    let longest = "255,1,254,2,253,3,252,4,251,5,250,6,249,7,248,8";
    for text in ["255,20000", "255,0,252,120000,240,900000", longest] {
        let outlook = load::decode_outlook(&HeaderValue::from_static(text));
        let encoded = outlook.map(|outlook| load::encode_outlook(&outlook));
        assert_eq!(encoded, Ok(HeaderValue::from_static(text)));
    }
    let too_long = format!("{longest},247,9");
    for text in ["", "255", "256,1", "255,1,", "255,-1", &too_long] {
        let value = HeaderValue::from_str(text).unwrap();
        assert_eq!(load::decode_outlook(&value), Err(Invalid), "{text}");
    }
    let steps = (0..20).map(|number| Step {
        priority_max: 255 - number,
        wait_us: u32::from(number),
    });
    assert_eq!(Outlook::new(steps).steps().len(), 8);
}
