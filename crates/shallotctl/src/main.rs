//! Command-line client for operators: sends statements to control processes and prints the results.

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

/// Exit code for an invalid command line or statement.
const USAGE_ERROR: u8 = 2;

fn main() -> ExitCode {
    match run() {
        Ok(code) => ExitCode::from(code),
        Err(error) => {
            // When standard error is closed, there is no other place to report the error.
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
            return Ok(USAGE_ERROR);
        }
    };
    let output = Output { json: options.json };
    match &options.action {
        Action::Help => print(options::HELP),
        Action::Version => print(concat!("shallotctl ", env!("CARGO_PKG_VERSION"), "\n")),
        Action::Explain(words) => print_help(words),
        Action::Statement(text) => Sender::new(&options, output)?.send(text),
        Action::Registry(view) => registry::run(&options, *view, output),
        Action::Lines => send_lines(&Sender::new(&options, output)?),
    }
}

fn print(text: &str) -> anyhow::Result<u8> {
    io::stdout()
        .write_all(text.as_bytes())
        .context("cannot write to standard output")?;
    Ok(0)
}

/// Prints help on the statements that start with `words`.
fn print_help(words: &[String]) -> anyhow::Result<u8> {
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    if let Some(text) = form::help(&words) {
        return print(&text);
    }
    let words = words.join(" ");
    writeln!(
        io::stderr(),
        "shallotctl: no help: no statement starts with {words:?}"
    )?;
    Ok(USAGE_ERROR)
}

/// Sends each line of standard input and stops at the first failure, because later statements may depend on earlier ones.
fn send_lines(sender: &Sender) -> anyhow::Result<u8> {
    for line in io::stdin().lock().lines() {
        let line = line.context("cannot read a statement from standard input")?;
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
