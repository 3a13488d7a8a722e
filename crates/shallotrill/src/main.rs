//! The process that runs everywhere, in the role that its settings state.

use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::Context;
use anyhow::Result;
use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt;
use log::error;
use log::info;
use mimalloc::MiMalloc;
use tokio::runtime::Builder;

use shallotrill_platform::log as platform_log;
use shallotrill_platform::settings::Role;
use shallotrill_platform::settings::Settings;
use shallotrill_platform::signal::Stop;

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

/// The process ended as asked.
const SUCCESS: u8 = 0;

/// The process could not go on, or requests were cut when it stopped.
const FAILURE: u8 = 1;

/// The command line or the settings are wrong.
const USAGE: u8 = 2;

const HELP: &str = "\
Runs one process of shallotrill in the role that its settings state.

Usage: shallotrill run --settings FILE
       shallotrill check --settings FILE
       shallotrill --help | --version

Commands:
  run    run until SIGTERM or SIGINT, then stop gracefully; a second signal ends at once
  check  check the settings and exit

Exit codes:
  0  success
  1  the process failed, or requests were cut when it stopped
  2  wrong command line or settings
";

/// What the command line asks for.
enum Request {
    Run(PathBuf),
    Check(PathBuf),
    Help,
    Version,
}

fn main() -> ExitCode {
    let request = match parse() {
        Ok(request) => request,
        Err(error) => {
            eprintln!("shallotrill: {error}\nTry 'shallotrill --help'.");
            return ExitCode::from(USAGE);
        }
    };
    let code = match request {
        Request::Help => {
            print!("{HELP}");
            SUCCESS
        }
        Request::Version => {
            println!("shallotrill {}", env!("CARGO_PKG_VERSION"));
            SUCCESS
        }
        Request::Check(path) => match load(&path) {
            Some(_) => {
                println!("{}: the settings are valid", path.display());
                SUCCESS
            }
            None => USAGE,
        },
        Request::Run(path) => match load(&path) {
            Some(settings) => run(&settings),
            None => USAGE,
        },
    };
    ExitCode::from(code)
}

fn parse() -> Result<Request, lexopt::Error> {
    let mut parser = Parser::from_env();
    let mut command = None;
    let mut settings = None;
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Short('h') | Arg::Long("help") => return Ok(Request::Help),
            Arg::Short('V') | Arg::Long("version") => return Ok(Request::Version),
            Arg::Short('s') | Arg::Long("settings") => {
                settings = Some(PathBuf::from(parser.value()?));
            }
            Arg::Value(value) if command.is_none() => command = Some(value.string()?),
            other => return Err(other.unexpected()),
        }
    }
    let settings = settings.ok_or("the option --settings FILE is missing");
    match command.as_deref() {
        Some("run") => Ok(Request::Run(settings?)),
        Some("check") => Ok(Request::Check(settings?)),
        Some(other) => Err(format!("unknown command '{other}': expected run or check").into()),
        None => Err("a command is missing: expected run or check".into()),
    }
}

fn load(path: &Path) -> Option<Settings> {
    match Settings::load(path) {
        Ok(settings) => Some(settings),
        Err(error) => {
            eprintln!("{error}");
            None
        }
    }
}

fn run(settings: &Settings) -> u8 {
    match try_run(settings) {
        Ok(true) => SUCCESS,
        Ok(false) => FAILURE,
        Err(error) => {
            error!(event = "process-failed"; "{error:#}");
            eprintln!("shallotrill: {error:#}");
            FAILURE
        }
    }
}

/// Runs the role; returns whether everything in flight finished when it stopped.
fn try_run(settings: &Settings) -> Result<bool> {
    platform_log::start(settings.log).context("the log could not be started")?;
    let workers = match &settings.role {
        Role::Node(node) => node.workers,
        Role::Control(control) => control.workers,
    };
    let runtime = Builder::new_multi_thread()
        .worker_threads(workers)
        .enable_all()
        .build()
        .context("the runtime could not be started")?;
    info!(event = "process-started", instance = settings.instance.as_str(), version = env!("CARGO_PKG_VERSION"); "");
    runtime.block_on(async {
        let mut stop = Stop::listen().context("signals could not be listened for")?;
        match &settings.role {
            Role::Node(node) => {
                let node = shallotrill_node::run::start(settings, node)
                    .await
                    .context("the node could not be started")?;
                stop.wait().await;
                Ok(node.stop(async move { stop.wait().await }).await)
            }
            Role::Control(control) => {
                let control = shallotrill_control::run::start(settings, control)
                    .await
                    .context("the control process could not be started")?;
                let failed = tokio::select! {
                    () = stop.wait() => false,
                    () = control.failed() => true,
                };
                let whole = control.stop(async move { stop.wait().await }).await;
                Ok(whole && !failed)
            }
        }
    })
}
