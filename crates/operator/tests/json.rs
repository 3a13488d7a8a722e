//! Answers as JSON lines.

use shallotrill_language::answer::Answer;
use shallotrill_language::answer::Cell;
use shallotrill_language::answer::Kind;
use shallotrill_operator::json;

struct Case {
    name: &'static str,
    cell: fn() -> Cell,
    expected: &'static str,
}

/// Guards against numbers without their unit and against keys that change with the value.
const CASES: &[Case] = &[
    Case {
        name: "text",
        cell: || Cell::Text("a\"".to_owned()),
        expected: r#"{"x":"a\""}"#,
    },
    Case {
        name: "count",
        cell: || Cell::Count(3),
        expected: r#"{"x":3}"#,
    },
    Case {
        name: "duration",
        cell: || Cell::DurationUs(1_500),
        expected: r#"{"x_us":1500}"#,
    },
    Case {
        name: "share",
        cell: || Cell::SharePpm(2_500),
        expected: r#"{"x_ppm":2500}"#,
    },
    Case {
        name: "flag",
        cell: || Cell::Flag(true),
        expected: r#"{"x":true}"#,
    },
    Case {
        name: "nothing",
        cell: || Cell::Empty,
        expected: r#"{"x_us":null}"#,
    },
];

#[test]
fn rows_are_objects() {
    for case in CASES {
        let kind = match (case.cell)() {
            Cell::DurationUs(_) | Cell::Empty => Kind::Duration,
            Cell::SharePpm(_) => Kind::Share,
            _ => Kind::Text,
        };
        let mut answer = Answer::table(&[("x", kind)]);
        answer.push(vec![(case.cell)()]).expect("row fits");
        answer.notes.push("n".to_owned());
        assert_eq!(
            json::lines(&answer),
            [case.expected, r#"{"note":"n"}"#],
            "{}",
            case.name
        );
    }
}
