//! Display of results as aligned tables.

use shallotrill_language::result_table::Cell;
use shallotrill_language::result_table::Kind;
use shallotrill_language::result_table::ResultTable;

struct Case {
    name: &'static str,
    columns: &'static [(&'static str, Kind)],
    rows: fn() -> Vec<Vec<Cell>>,
    note: Option<&'static str>,
    expected: &'static str,
}

/// Guards against misaligned columns, and against control characters that reach the operator's terminal.
const CASES: &[Case] = &[
    Case {
        name: "aligned",
        columns: &[
            ("service", Kind::Text),
            ("slots", Kind::Count),
            ("age", Kind::Duration),
        ],
        rows: || {
            vec![
                vec![
                    Cell::Text("bookings".to_owned()),
                    Cell::Count(3),
                    Cell::DurationUs(1_500),
                ],
                vec![
                    Cell::Text("ø".to_owned()),
                    Cell::Empty,
                    Cell::DurationUs(2_000_000),
                ],
            ]
        },
        note: Some("2 services"),
        expected: "service   slots     age\nbookings      3  1500us\nø             -      2s\n2 services\n",
    },
    Case {
        name: "note only",
        columns: &[],
        rows: Vec::new,
        note: Some("accepted"),
        expected: "accepted\n",
    },
    Case {
        name: "control characters",
        columns: &[
            ("text", Kind::Text),
            ("share", Kind::Share),
            ("flag", Kind::Flag),
        ],
        rows: || {
            vec![vec![
                Cell::Text("a\u{1b}[2J".to_owned()),
                Cell::SharePpm(2_500),
                Cell::Flag(true),
            ]]
        },
        note: Some("a\nb"),
        expected: "text        share  flag\na\\u{1b}[2J  0.25%  yes\na\\nb\n",
    },
];

#[test]
fn results_are_aligned_and_escaped() {
    for case in CASES {
        let mut answer = ResultTable::table(case.columns);
        for row in (case.rows)() {
            answer
                .push(row)
                .expect("the row must have one cell for each column");
        }
        answer.notes.extend(case.note.map(str::to_owned));
        assert_eq!(answer.to_string(), case.expected, "{}", case.name);
    }
}
