//! Printing of results and errors as text or as JSON lines.

use std::io;
use std::io::Write;

use serde_json::json;

use shallotrill_language::result_table::ResultTable;
use shallotrill_model::command;
use shallotrill_operator::client;
use shallotrill_operator::json;

/// Prints results to standard output and errors to standard error, as text or as JSON lines.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Output {
    pub(crate) json: bool,
}

impl Output {
    /// Prints the id of a command before it is sent, so that the operator can query or repeat the command even when the response is lost.
    pub(crate) fn print_command_id(self, id: command::Id) -> io::Result<()> {
        if self.json {
            writeln!(io::stdout(), "{}", json!({ "command": id.to_string() }))
        } else {
            writeln!(io::stderr(), "command {id}")
        }
    }

    /// Prints the result of a statement.
    pub(crate) fn print_result(self, table: &ResultTable) -> io::Result<()> {
        let mut out = io::stdout().lock();
        if !self.json {
            return write!(out, "{table}");
        }
        let mut lines = json::lines(table).into_iter();
        lines.try_for_each(|line| writeln!(out, "{line}"))
    }

    /// Prints why a statement is invalid, with a caret below the column of the error.
    pub(crate) fn print_parse_error(
        self,
        text: &str,
        error: &shallotrill_language::Error,
    ) -> io::Result<()> {
        let mut out = io::stderr().lock();
        if self.json {
            let message = error.to_string();
            let line = json!({ "code": "statement", "message": message, "column": error.column });
            return writeln!(out, "{line}");
        }
        let text = text.replace(char::is_control, " ");
        writeln!(out, "{text}\n{:>width$}", "^", width = error.column)?;
        writeln!(out, "shallotctl: {error}")
    }

    /// Prints why a statement failed. `unknown_outcome` is the id of the command if its outcome is unknown.
    pub(crate) fn print_failure(
        self,
        error: &client::Error,
        unknown_outcome: Option<command::Id>,
    ) -> io::Result<()> {
        let mut out = io::stderr().lock();
        let code = match error {
            client::Error::Refused { failure, .. } => failure.code(),
            client::Error::Unavailable { .. } => "unavailable",
        };
        if self.json {
            let (message, open) = (error.to_string(), unknown_outcome.is_some());
            let line = json!({ "code": code, "message": message, "open": open });
            return writeln!(out, "{line}");
        }
        writeln!(out, "shallotctl: {error}")?;
        match unknown_outcome {
            Some(id) => writeln!(
                out,
                "The outcome is unknown: the change may have been accepted. Query it with `shallotctl show command {id}`, or send the change again with `--command {id}`."
            ),
            None => Ok(()),
        }
    }
}
