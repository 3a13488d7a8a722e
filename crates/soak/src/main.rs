//! Command line of the soak test.

use std::fs;
use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::Context;
use anyhow::Result;
use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt;
use tokio::runtime::Builder;

use shallotrill_soak::check::INVARIANTS;
use shallotrill_soak::plan;
use shallotrill_soak::plan::Size;
use shallotrill_soak::run;

const HELP: &str = "\
Runs the program as real processes, injects faults and checks its promises.

Usage: shallotrill-soak [--first N] [--seeds N] [--program FILE] [--folder DIR]
                        [--routers N] [--seconds N] [--keep] [--show]

Options:
  --first N       first seed (default: random)
  --seeds N       number of seeds, run one after another (default: 1)
  --program FILE  the program (default: target/release/shallotrill)
  --folder DIR    folder for the logs of each seed (default: target/soak)
  --routers N     number of routers, each with a backend server (default: from the seed)
  --seconds N     duration of the faults (default: 15 with --routers, else from the seed)
  --keep          keep the logs of runs without a broken promise
  --show          print the plans and run nothing

Exit codes:
  0  no promise was broken
  1  a promise was broken, or a run could not be executed
  2  invalid command line
";

/// Default duration of the faults when the number of routers is given, in milliseconds.
const DEFAULT_LENGTH_MS: u64 = 15_000;

struct Options {
    first: u64,
    seeds: u64,
    program: PathBuf,
    folder: PathBuf,
    routers: Option<usize>,
    length_ms: Option<u64>,
    keep: bool,
    show: bool,
}

fn parse() -> Result<Option<Options>, lexopt::Error> {
    let mut options = Options {
        first: rand::random::<u32>().into(),
        seeds: 1,
        program: PathBuf::from("target/release/shallotrill"),
        folder: PathBuf::from("target/soak"),
        routers: None,
        length_ms: None,
        keep: false,
        show: false,
    };
    let mut parser = Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Short('h') | Arg::Long("help") => return Ok(None),
            Arg::Long("first") => options.first = parser.value()?.parse()?,
            Arg::Long("seeds") => options.seeds = parser.value()?.parse()?,
            Arg::Long("program") => options.program = parser.value()?.into(),
            Arg::Long("folder") => options.folder = parser.value()?.into(),
            Arg::Long("routers") => options.routers = Some(parser.value()?.parse()?),
            Arg::Long("seconds") => {
                options.length_ms = Some(parser.value()?.parse::<u64>()? * 1_000);
            }
            Arg::Long("keep") => options.keep = true,
            Arg::Long("show") => options.show = true,
            other => return Err(other.unexpected()),
        }
    }
    Ok(Some(options))
}

fn main() -> ExitCode {
    let options = match parse() {
        Ok(Some(options)) => options,
        Ok(None) => {
            print!("{HELP}");
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            eprintln!("shallotrill-soak: {error}\nTry 'shallotrill-soak --help'.");
            return ExitCode::from(2);
        }
    };
    match soak(&options) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("shallotrill-soak: {error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Runs all seeds; returns whether no invariant was violated.
fn soak(options: &Options) -> Result<bool> {
    let mut passed = 0;
    for seed in options.first..options.first + options.seeds {
        let size = options.routers.map(|routers| Size {
            routers,
            length_ms: options.length_ms.unwrap_or(DEFAULT_LENGTH_MS),
        });
        let plan = plan::generate(seed, size);
        if options.show {
            println!("{plan:#?}");
            continue;
        }
        let folder = options.folder.join(seed.to_string());
        if folder.exists() {
            fs::remove_dir_all(&folder)
                .context("the logs of an earlier run could not be removed")?;
        }
        fs::create_dir_all(&folder).context("the folder for logs could not be created")?;
        let runtime = Builder::new_multi_thread().enable_all().build()?;
        let program = fs::canonicalize(&options.program).with_context(|| {
            format!(
                "the program {} could not be found",
                options.program.display()
            )
        })?;
        let folder = fs::canonicalize(&folder)?;
        let report = runtime.block_on(run::run(&plan, &program, &folder))?;
        println!(
            "seed {seed}: {} routers, {} faults, {} of {} requests served, others {:?}, {} changes, {} broken promises",
            plan.routers,
            plan.steps.len(),
            report.served,
            report.requests,
            report.outcomes,
            report.changes,
            report.violated_invariants.len()
        );
        if report.violated_invariants.is_empty() {
            passed += 1;
            if !options.keep {
                fs::remove_dir_all(&folder)?;
            }
            continue;
        }
        for (invariant, what) in &report.violated_invariants {
            println!("  {invariant}: {what}");
        }
        for invariant in INVARIANTS {
            if report
                .violated_invariants
                .iter()
                .any(|(name, _)| *name == invariant.name)
            {
                println!("  {} promises that {}", invariant.name, invariant.text);
            }
        }
        let routers = options.routers.map(|n| format!(" --routers {n}"));
        let seconds = options
            .length_ms
            .map(|n| format!(" --seconds {}", n / 1_000));
        println!(
            "  again: shallotrill-soak --first {seed}{}{}; logs: {}",
            routers.unwrap_or_default(),
            seconds.unwrap_or_default(),
            folder.display()
        );
    }
    if !options.show {
        println!(
            "{passed} of {} seeds without a broken promise",
            options.seeds
        );
    }
    Ok(options.show || passed == options.seeds)
}
