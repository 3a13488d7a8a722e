//! Runs one case of the review: `review-2 CASE RECORD TROUBLE`. With `TROUBLE` 0 the disruption is left out.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod crowd;
mod ending;
mod first_start;
mod fleet;
mod lost_voters;
mod target;

use std::path::Path;
use std::process::ExitCode;

/// Result of a case: whether the rule held, or why the case could not run.
pub type Outcome = Result<bool, String>;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record, trouble] = arguments.as_slice() else {
        eprintln!("usage: review-2 CASE RECORD TROUBLE");
        return ExitCode::from(2);
    };
    let record = match fleet::Record::create(Path::new(record)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("cannot write the record: {error}");
            return ExitCode::from(2);
        }
    };
    let trouble = trouble != "0";
    ending::prepare();
    let outcome = match case.as_str() {
        "lost-voters" => lost_voters::run(&record, trouble),
        "first-start" => first_start::run(&record, trouble),
        "stopped-bodies" => crowd::run(&record, crowd::Conduct::StopShort, trouble),
        "slow-readers" => crowd::run(&record, crowd::Conduct::ReadSlowly, trouble),
        _ => Err(format!("unknown case {case}")),
    };
    match outcome {
        Ok(true) => {
            record.line("result: the rule held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            record.line("result: the rule was broken");
            ExitCode::from(1)
        }
        Err(reason) => {
            record.line(&format!("result: the case could not run: {reason}"));
            ExitCode::from(2)
        }
    }
}
