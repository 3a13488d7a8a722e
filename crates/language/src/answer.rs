//! Answers: a typed table with notes, independent of how it is shown.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::unit;

/// An answer to a statement. Prints as aligned columns followed by the notes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Answer {
    /// The columns; none when there are only notes.
    pub columns: Vec<Column>,
    /// The rows, each with one cell for each column.
    pub rows: Vec<Vec<Cell>>,
    /// Sentences that follow the table.
    pub notes: Vec<String>,
}

/// A column of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Column {
    /// Its name, in lower case with underscores.
    pub name: String,
    /// What its cells hold.
    pub kind: Kind,
}

/// What the cells of a column hold.
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
    /// Calendar time as text of RFC 3339.
    Time,
    /// Yes or no.
    Flag,
}

/// A value in a row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cell {
    /// Nothing is known.
    Empty,
    /// Text, or calendar time as text of RFC 3339.
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

/// A row whose number of cells differs from the number of columns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ragged {
    /// Number of columns.
    pub columns: usize,
    /// Number of cells in the row.
    pub cells: usize,
}

impl fmt::Display for Ragged {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { columns, cells } = self;
        write!(
            f,
            "a row of {cells} cells in an answer of {columns} columns"
        )
    }
}

impl std::error::Error for Ragged {}

impl Answer {
    /// An answer with these columns and no rows yet.
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

    /// An answer of one sentence.
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
    /// Returns [`Ragged`] when the row does not have one cell for each column.
    pub fn push(&mut self, row: Vec<Cell>) -> Result<(), Ragged> {
        if row.len() != self.columns.len() {
            return Err(Ragged {
                columns: self.columns.len(),
                cells: row.len(),
            });
        }
        self.rows.push(row);
        Ok(())
    }
}

impl fmt::Display for Answer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let header = self.columns.iter().map(|column| printable(&column.name));
        let mut lines: Vec<Vec<String>> = vec![header.collect()];
        let body = self.rows.iter();
        lines.extend(body.map(|row| {
            row.iter()
                .map(|cell| printable(&cell.to_string()))
                .collect()
        }));
        if !self.columns.is_empty() {
            let widths = self.widths(&lines);
            lines
                .iter()
                .try_for_each(|line| self.line(f, line, &widths))?;
        }
        let mut notes = self.notes.iter();
        notes.try_for_each(|note| writeln!(f, "{}", printable(note)))
    }
}

impl Answer {
    fn widths(&self, lines: &[Vec<String>]) -> Vec<usize> {
        let width = |index: usize| {
            let cells = lines.iter().filter_map(|line| line.get(index));
            cells.map(|cell| cell.chars().count()).max()
        };
        let columns = 0..self.columns.len();
        columns.map(|index| width(index).unwrap_or(0)).collect()
    }

    fn line(&self, f: &mut fmt::Formatter<'_>, line: &[String], widths: &[usize]) -> fmt::Result {
        let mut text = String::new();
        for ((cell, width), column) in line.iter().zip(widths).zip(&self.columns) {
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

/// Escapes control characters, which could change what a terminal shows.
fn printable(text: &str) -> String {
    let mut shown = String::with_capacity(text.len());
    for character in text.chars() {
        if character.is_control() {
            shown.extend(character.escape_default());
        } else {
            shown.push(character);
        }
    }
    shown
}
