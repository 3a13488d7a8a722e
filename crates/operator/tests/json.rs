//! Results as JSON lines.

use shallotrill_language::result_table::Cell;
use shallotrill_language::result_table::Kind;
use shallotrill_language::result_table::ResultTable;
use shallotrill_operator::json;

struct Case {
    name: &'static str,
    cell: fn() -> Cell,
    expected: &'static str,
}

const fn case(name: &'static str, cell: fn() -> Cell, expected: &'static str) -> Case {
    Case {
        name,
        cell,
        expected,
    }
}

/// Guards against numbers without their unit and against keys that change with the value.
const CASES: &[Case] = &[
    case("text", || Cell::Text("a\"".to_owned()), r#"{"x":"a\""}"#),
    case("count", || Cell::Count(3), r#"{"x":3}"#),
    case("duration", || Cell::DurationUs(1_500), r#"{"x_us":1500}"#),
    case("share", || Cell::SharePpm(2_500), r#"{"x_ppm":2500}"#),
    case("flag", || Cell::Flag(true), r#"{"x":true}"#),
    case("empty", || Cell::Empty, r#"{"x_us":null}"#),
];

#[test]
fn rows_are_objects() {
    for case in CASES {
        let kind = match (case.cell)() {
            Cell::DurationUs(_) | Cell::Empty => Kind::Duration,
            Cell::SharePpm(_) => Kind::Share,
            _ => Kind::Text,
        };
        let mut table = ResultTable::table(&[("x", kind)]);
        table.push(vec![(case.cell)()]).expect("row fits");
        table.notes.push("n".to_owned());
        assert_eq!(
            json::lines(&table),
            [case.expected, r#"{"note":"n"}"#],
            "{}",
            case.name
        );
    }
}
