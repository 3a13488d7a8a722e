//! Results of statements: tables with typed columns and notes, independent of how they are displayed.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::unit;

/// The result of a statement. It is displayed with aligned columns, followed by the notes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ResultTable {
    /// The columns; empty if there are only notes.
    pub columns: Vec<Column>,
    /// The rows, each with one cell for each column.
    pub rows: Vec<Vec<Cell>>,
    /// Sentences that are displayed below the table.
    pub notes: Vec<String>,
}

/// A column of a result.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Column {
    /// Name of the column, in lower case with underscores.
    pub name: String,
    /// Type of the cells.
    pub kind: Kind,
}

/// Type of the cells of a column.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Text.
    Text,
    /// A number without a unit.
    Count,
    /// A duration.
    Duration,
    /// A share.
    Share,
    /// A calendar time, as text in the format of RFC 3339.
    Time,
    /// Yes or no.
    Flag,
}

/// A value in a row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cell {
    /// No value; displayed as `-`.
    Empty,
    /// Text, or a calendar time in the format of RFC 3339.
    Text(String),
    /// A number.
    Count(u64),
    /// A duration in microseconds.
    DurationUs(u64),
    /// A share in millionths.
    SharePpm(u32),
    /// Yes or no.
    Flag(bool),
}

/// Error of a row whose number of cells differs from the number of columns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RowLengthMismatch {
    /// Number of columns.
    pub columns: usize,
    /// Number of cells in the row.
    pub cells: usize,
}

impl fmt::Display for RowLengthMismatch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { columns, cells } = self;
        write!(
            f,
            "cannot add a row of {cells} cells to a result of {columns} columns"
        )
    }
}

impl std::error::Error for RowLengthMismatch {}

impl ResultTable {
    /// Creates a result with these columns and without rows.
    pub fn table(columns: &[(&str, Kind)]) -> Self {
        let column = |(name, kind): &(&str, Kind)| Column {
            name: (*name).to_owned(),
            kind: *kind,
        };
        Self {
            columns: columns.iter().map(column).collect(),
            ..Self::default()
        }
    }

    /// Creates a result that contains only a note.
    pub fn note(text: &str) -> Self {
        Self {
            notes: vec![text.to_owned()],
            ..Self::default()
        }
    }

    /// Appends a row.
    ///
    /// # Errors
    ///
    /// Returns [`RowLengthMismatch`] when the row does not have one cell for each column.
    pub fn push(&mut self, row: Vec<Cell>) -> Result<(), RowLengthMismatch> {
        if row.len() != self.columns.len() {
            return Err(RowLengthMismatch {
                columns: self.columns.len(),
                cells: row.len(),
            });
        }
        self.rows.push(row);
        Ok(())
    }
}

impl fmt::Display for ResultTable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let header = self
            .columns
            .iter()
            .map(|column| escape_control_characters(&column.name));
        let mut lines: Vec<Vec<String>> = vec![header.collect()];
        let rows = self.rows.iter();
        lines.extend(rows.map(|row| {
            row.iter()
                .map(|cell| escape_control_characters(&cell.to_string()))
                .collect()
        }));
        if !self.columns.is_empty() {
            let column_widths = self.column_widths(&lines);
            lines
                .iter()
                .try_for_each(|line| self.write_line(f, line, &column_widths))?;
        }
        let mut notes = self.notes.iter();
        notes.try_for_each(|note| writeln!(f, "{}", escape_control_characters(note)))
    }
}

impl ResultTable {
    fn column_widths(&self, lines: &[Vec<String>]) -> Vec<usize> {
        let width = |index: usize| {
            let cells = lines.iter().filter_map(|line| line.get(index));
            cells.map(|cell| cell.chars().count()).max()
        };
        let columns = 0..self.columns.len();
        columns.map(|index| width(index).unwrap_or(0)).collect()
    }

    fn write_line(
        &self,
        f: &mut fmt::Formatter<'_>,
        line: &[String],
        column_widths: &[usize],
    ) -> fmt::Result {
        let mut text = String::new();
        for ((cell, width), column) in line.iter().zip(column_widths).zip(&self.columns) {
            let padded = match column.kind {
                Kind::Count | Kind::Duration | Kind::Share => format!("{cell:>width$}  "),
                Kind::Text | Kind::Time | Kind::Flag => format!("{cell:<width$}  "),
            };
            text.push_str(&padded);
        }
        writeln!(f, "{}", text.trim_end())
    }
}

impl fmt::Display for Cell {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => f.write_str("-"),
            Self::Text(text) => f.write_str(text),
            Self::Count(number) => write!(f, "{number}"),
            Self::DurationUs(micros) => write!(f, "{}", unit::Micros(*micros)),
            Self::SharePpm(ppm) => write!(f, "{}", unit::Share(*ppm)),
            Self::Flag(true) => f.write_str("yes"),
            Self::Flag(false) => f.write_str("no"),
        }
    }
}

/// Escapes control characters, since escape sequences could manipulate the operator's terminal.
fn escape_control_characters(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for character in text.chars() {
        if character.is_control() {
            escaped.extend(character.escape_default());
        } else {
            escaped.push(character);
        }
    }
    escaped
}
