//! The operators' command line: sends statements to control processes.

mod explain;
mod options;
mod output;
mod registry;
mod send;

use std::env;
use std::io;
use std::io::BufRead;
use std::io::Write;
use std::process::ExitCode;

use anyhow::Context;

use crate::options::Action;
use crate::options::Options;
use crate::output::Output;
use crate::send::Sender;
use shallotrill_language::form;

/// Exit code of a wrong command line or statement.
const WRONG: u8 = 2;

fn main() -> ExitCode {
    match run() {
        Ok(code) => ExitCode::from(code),
        Err(error) => {
            // Nothing is left to report to when standard error is closed.
            let _ = writeln!(io::stderr(), "shallotctl: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> anyhow::Result<u8> {
    let arguments = lexopt::Parser::from_env();
    let control = env::var("SHALLOTCTL_CONTROL").unwrap_or_default();
    let user = env::var("USER").unwrap_or_default();
    let options = match Options::parse(arguments, &control, &user) {
        Ok(options) => options,
        Err(error) => {
            writeln!(io::stderr(), "shallotctl: {error}; see shallotctl --help")?;
            return Ok(WRONG);
        }
    };
    let output = Output { json: options.json };
    match &options.action {
        Action::Help => print(options::HELP),
        Action::Version => print(concat!("shallotctl ", env!("CARGO_PKG_VERSION"), "\n")),
        Action::Explain(words) => explain(words),
        Action::Statement(text) => Sender::new(&options, output)?.send(text),
        Action::Registry(view) => registry::run(&options, *view, output),
        Action::Lines => lines(&Sender::new(&options, output)?),
    }
}

fn print(text: &str) -> anyhow::Result<u8> {
    io::stdout()
        .write_all(text.as_bytes())
        .context("standard output cannot be written")?;
    Ok(0)
}

/// Prints help on statements.
fn explain(words: &[String]) -> anyhow::Result<u8> {
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    if let Some(text) = form::help(&words) {
        return print(&text);
    }
    let words = words.join(" ");
    writeln!(
        io::stderr(),
        "shallotctl: no statement starts with {words:?}"
    )?;
    Ok(WRONG)
}

/// Sends each line of standard input and stops at the first that fails, because later ones may build on it.
fn lines(sender: &Sender) -> anyhow::Result<u8> {
    for line in io::stdin().lock().lines() {
        let line = line.context("standard input cannot be read")?;
        let text = line.trim();
        if text.is_empty() || text.starts_with('#') {
            continue;
        }
        let code = sender.send(text)?;
        if code != 0 {
            return Ok(code);
        }
    }
    Ok(0)
}
