//! Programs of the review cases: `review CASE FOLDER` runs one case and writes its record there.
//!
//! Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.

mod drained;
mod endless;
mod first_start;
mod large_bodies;
mod old_state;
mod popular;
mod refused_change;
mod replaced;
mod server;
mod support;

use std::env;
use std::path::Path;
use std::process::ExitCode;

use support::Outcome;
use support::Record;

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().collect();
    if let [_, command, rest @ ..] = arguments.as_slice()
        && command == "server"
    {
        let served = support::Record::unkept().is_ok_and(|r| popular::serve(rest, &r).is_some());
        return ExitCode::from(if served { 0 } else { 2 });
    }
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: review CASE FOLDER");
        return ExitCode::from(2);
    };
    let record = match Record::create(Path::new(folder)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("cannot write the record: {error}");
            return ExitCode::from(2);
        }
    };
    support::guard_run(&record);
    let result = match case.as_str() {
        "first-start" => first_start::run(&record),
        "large-bodies" => large_bodies::run(&record),
        "replaced" => replaced::run(&record),
        "endless" => endless::run(&record),
        "popular" => popular::run(&record),
        "old-state" => old_state::run(&record),
        "drained" => drained::run(&record),
        "refused-change" => refused_change::run(&record),
        _ => Err(std::io::Error::other("unknown case")),
    };
    match result {
        Ok(Outcome::Held) => {
            record.line("result  the rule held");
            ExitCode::SUCCESS
        }
        Ok(Outcome::Broken) => {
            record.line("result  the rule was broken");
            ExitCode::from(1)
        }
        Err(error) => {
            record.line(&format!("result  the case could not run: {error}"));
            ExitCode::from(2)
        }
    }
}
