//! Scripts of the cases in `review/`. Usage: `review-stand-in-3 CASE RECORD`; `TROUBLE=0` leaves the disruption out.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod cases;
mod network;
mod world;

use std::process::ExitCode;
use std::thread;
use std::time::Duration;

use crate::world::World;

/// Longest run, in seconds.
const RUN_S: u64 = 115;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record] = arguments.as_slice() else {
        eprintln!("usage: review-stand-in-3 CASE RECORD");
        return ExitCode::from(2);
    };
    // What the program needs is missing, such as a free address; its processes end with it.
    std::panic::set_hook(Box::new(|problem| {
        eprintln!("{problem}");
        std::process::exit(2);
    }));
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let world = World::new(record);
    thread::spawn(|| {
        thread::sleep(Duration::from_secs(RUN_S));
        eprintln!("the run takes too long");
        std::process::exit(2);
    });
    let broken = match case.as_str() {
        "orphan" => cases::orphan(&world, trouble),
        "born" => cases::born(&world, trouble),
        "history" => cases::history(&world, trouble),
        "crash" => cases::crash(&world, trouble),
        "quota" => cases::quota(&world, trouble),
        "midway" => cases::midway(&world, trouble),
        "halves" => cases::halves(&world, trouble),
        "number" => cases::number(&world, trouble),
        "head" => cases::head(&world, trouble),
        _ => None,
    };
    let (text, code) = match broken {
        Some(true) => ("the rule was broken", 1),
        Some(false) => ("the rule held", 0),
        None => ("the case could not run", 2),
    };
    world.record(text);
    ExitCode::from(code)
}
