//! Tests for the parsing and the time of issue of idempotency keys.

use std::time::Duration;

use shallotrill_claim::key::Invalid;
use shallotrill_claim::key::Key;
use shallotrill_model::time;

struct Case {
    text: &'static str,
    expected: Result<u64, Invalid>,
}

/// Guards against keys without a time of issue: their records could be dropped and the requests run again.
const CASES: &[Case] = &[
    Case {
        // The example of RFC 9562, appendix A.6.
        text: "017F22E2-79B0-7CC3-98C4-DC0C0C07398F",
        expected: Ok(0x017F_22E2_79B0),
    },
    Case {
        text: "919108f7-52d1-4320-9bac-f847db4148a8",
        expected: Err(Invalid::Version(4)),
    },
    Case {
        text: "017f22e2-79b0-7cc3-58c4-dc0c0c07398f",
        expected: Err(Invalid::Variant(1)),
    },
    Case {
        text: "017f22e279b07cc398c4dc0c0c07398f",
        expected: Err(Invalid::Length(32)),
    },
    Case {
        text: "017f22e2-79b0-7cc3-98c4-dc0c0c07398g",
        expected: Err(Invalid::Character(35)),
    },
    Case {
        text: "017f22e2079b0-7cc3-98c4-dc0c0c07398f",
        expected: Err(Invalid::Character(8)),
    },
];

#[test]
fn keys_are_uuids_of_version_7() {
    for case in CASES {
        let partner = "growers".try_into().unwrap();
        let key = Key::parse(partner, "payments".try_into().unwrap(), case.text);
        if let Ok(key) = &key {
            assert_eq!(key.id.to_string(), case.text.to_lowercase());
        }
        assert_eq!(key.map(|key| key.time().0), case.expected, "{}", case.text);
    }
}

/// Guards against a key with a timestamp in the far future, whose record would never expire.
#[test]
fn keys_with_future_timestamps_are_detected() {
    let text = CASES[0].text;
    let partner = "growers".try_into().unwrap();
    let key = Key::parse(partner, "payments".try_into().unwrap(), text).unwrap();
    let tolerance = Duration::from_mins(1);
    for (now, ahead) in [(0, false), (60_000, false), (60_001, true)] {
        let now = time::Wall(key.time().0 - now);
        assert_eq!(key.is_ahead(now, tolerance), ahead, "{now}");
    }
}
