//! Answers and errors for people or as JSON lines.

use std::io;
use std::io::Write;

use serde_json::json;

use shallotrill_language::result_table::ResultTable;
use shallotrill_model::command;
use shallotrill_operator::client;
use shallotrill_operator::json;

/// Where answers and errors go, and in which form.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Output {
    pub(crate) json: bool,
}

impl Output {
    /// Prints the id of a command before it is sent, so that it is known whatever happens then.
    pub(crate) fn command(self, id: command::Id) -> io::Result<()> {
        if self.json {
            writeln!(io::stdout(), "{}", json!({ "command": id.to_string() }))
        } else {
            writeln!(io::stderr(), "command {id}")
        }
    }

    /// Prints an answer.
    pub(crate) fn answer(self, answer: &ResultTable) -> io::Result<()> {
        let mut out = io::stdout().lock();
        if !self.json {
            return write!(out, "{answer}");
        }
        let mut lines = json::lines(answer).into_iter();
        lines.try_for_each(|line| writeln!(out, "{line}"))
    }

    /// Prints why a text is not a statement, with a mark below the column.
    pub(crate) fn statement(
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

    /// Prints why there is no answer. `open` is the command whose outcome is open.
    pub(crate) fn error(self, error: &client::Error, open: Option<command::Id>) -> io::Result<()> {
        let mut out = io::stderr().lock();
        let code = match error {
            client::Error::Refused { failure, .. } => failure.code(),
            client::Error::Unavailable { .. } => "unavailable",
        };
        if self.json {
            let (message, open) = (error.to_string(), open.is_some());
            let line = json!({ "code": code, "message": message, "open": open });
            return writeln!(out, "{line}");
        }
        writeln!(out, "shallotctl: {error}")?;
        match open {
            Some(id) => writeln!(
                out,
                "The change may have been accepted. Ask with `shallotctl show command {id}`, or send it again with `--command {id}`."
            ),
            None => Ok(()),
        }
    }
}
