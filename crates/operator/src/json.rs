//! Formats results as JSON lines.

use serde_json::Map;
use serde_json::Value;

use shallotrill_language::result_table::Cell;
use shallotrill_language::result_table::Column;
use shallotrill_language::result_table::Kind;
use shallotrill_language::result_table::ResultTable;

/// Formats one object for each row with the columns as keys, then one object with the key `note` for each note.
///
/// Keys of durations end in `_us` and keys of shares in `_ppm`, so that each number has its unit.
pub fn lines(table: &ResultTable) -> Vec<String> {
    let rows = table.rows.iter().map(|row| {
        let pairs = table.columns.iter().zip(row);
        let pairs = pairs.map(|(column, cell)| (key(column), value(cell)));
        Value::Object(pairs.collect::<Map<String, Value>>()).to_string()
    });
    let notes = table.notes.iter();
    let notes = notes.map(|note| serde_json::json!({ "note": note }).to_string());
    rows.chain(notes).collect()
}

/// Returns the key of a column. It depends on the kind and not on the cell, so that empty cells have the same key.
fn key(column: &Column) -> String {
    let suffix = match column.kind {
        Kind::Duration => "_us",
        Kind::Share => "_ppm",
        Kind::Text | Kind::Count | Kind::Time | Kind::Flag => "",
    };
    format!("{}{suffix}", column.name)
}

fn value(cell: &Cell) -> Value {
    match cell {
        Cell::Empty => Value::Null,
        Cell::Text(text) => Value::from(text.as_str()),
        Cell::Count(number) | Cell::DurationUs(number) => Value::from(*number),
        Cell::SharePpm(ppm) => Value::from(*ppm),
        Cell::Flag(flag) => Value::from(*flag),
    }
}
