//! The process that runs everywhere, in the role that its settings state.

use std::env;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt;
use log::error;
use log::info;
use mimalloc::MiMalloc;
use tokio::runtime::Builder;
use tokio::time;

use shallotrill_platform::run as platform;
use shallotrill_platform::run::Options;
use shallotrill_process::clock::Clock;
use shallotrill_process::log as process_log;
use shallotrill_process::settings::Role;
use shallotrill_process::settings::Settings;
use shallotrill_process::signal::Reload;
use shallotrill_process::signal::Stop;

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
       shallotrill platform [--metrics-port PORT] [--advertise IP] [--clock-offset-ms N]
       shallotrill --help | --version

Commands:
  run    run until SIGTERM or SIGINT, then stop gracefully; a second signal ends at once
  check  check the settings and exit
  platform  run the role that the platform's settings file (SHALLOTRILL_NODE_FILE) names

Options of platform:
  --metrics-port PORT   serve metrics at this port of the machine
  --advertise IP        address that other processes are told, when a forwarder stands between them
  --clock-offset-ms N   error of the calendar time, for tests

Exit codes:
  0  success
  1  the process failed, or requests were cut when it stopped
  2  wrong command line or settings
";

/// What the command line asks for.
enum Request {
    Run(PathBuf),
    Check(PathBuf),
    Platform(PathBuf, Options),
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
        Request::Platform(path, options) => outcome(run_on_platform(&path, &options)),
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
    let mut options = Options {
        metrics_port: None,
        advertised: None,
        clock: Clock::start(),
    };
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Short('h') | Arg::Long("help") => return Ok(Request::Help),
            Arg::Short('V') | Arg::Long("version") => return Ok(Request::Version),
            Arg::Short('s') | Arg::Long("settings") => {
                settings = Some(PathBuf::from(parser.value()?));
            }
            Arg::Long("metrics-port") => options.metrics_port = Some(parser.value()?.parse()?),
            Arg::Long("advertise") => options.advertised = Some(parser.value()?.parse()?),
            Arg::Long("clock-offset-ms") => {
                options.clock = options.clock.offset_ms(parser.value()?.parse()?);
            }
            Arg::Value(value) if command.is_none() => command = Some(value.string()?),
            other => return Err(other.unexpected()),
        }
    }
    let settings = settings.ok_or("the option --settings FILE is missing");
    match command.as_deref() {
        Some("run") => Ok(Request::Run(settings?)),
        Some("check") => Ok(Request::Check(settings?)),
        Some("platform") => match env::var_os(platform::SETTINGS_VARIABLE) {
            Some(path) => Ok(Request::Platform(path.into(), options)),
            None => Err(format!("{} is not set", platform::SETTINGS_VARIABLE).into()),
        },
        Some(other) => {
            Err(format!("unknown command '{other}': expected run, check or platform").into())
        }
        None => Err("a command is missing: expected run, check or platform".into()),
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
    outcome(try_run(settings))
}

fn outcome(result: Result<bool>) -> u8 {
    match result {
        Ok(true) => SUCCESS,
        Ok(false) => FAILURE,
        Err(error) => {
            error!(event = "process-failed"; "{error:#}");
            eprintln!("shallotrill: {error:#}");
            FAILURE
        }
    }
}

/// Longest wait at the end for unfinished writes, and for a reader of the log.
const END_LIMIT: Duration = Duration::from_millis(200);

/// Workers of the runtime on the platform, whose machines give a process a part of one core.
const PLATFORM_WORKERS: usize = 1;

/// The settings file is read again in this interval, since it may change without a signal.
const RELOAD_INTERVAL: Duration = Duration::from_secs(5);

/// Runs a role on the platform; returns whether everything in flight finished when it stopped.
fn run_on_platform(path: &Path, options: &Options) -> Result<bool> {
    let output =
        process_log::start(log::LevelFilter::Info).context("the log could not be started")?;
    let runtime = Builder::new_multi_thread()
        .worker_threads(PLATFORM_WORKERS)
        .enable_all()
        .build()
        .context("the runtime could not be started")?;
    info!(event = "process-started", version = env!("CARGO_PKG_VERSION"); "");
    let result = runtime.block_on(async {
        let mut stop = Stop::listen().context("signals could not be listened for")?;
        let mut reload = Reload::listen().context("signals could not be listened for")?;
        let mut running = platform::start(path, options)
            .await
            .context("the process could not be started")?;
        loop {
            tokio::select! {
                () = stop.wait() => return Ok(running.stop().await),
                () = reload.wait() => running.reload(path, true),
                () = time::sleep(RELOAD_INTERVAL) => running.reload(path, false),
            }
        }
    });
    // A write that the disk does not finish must not keep the process.
    runtime.shutdown_timeout(END_LIMIT);
    output.flush(END_LIMIT);
    result
}

/// Runs the role; returns whether everything in flight finished when it stopped.
fn try_run(settings: &Settings) -> Result<bool> {
    let output = process_log::start(settings.log).context("the log could not be started")?;
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
    let result = runtime.block_on(async {
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
    });
    // A write that the disk does not finish must not keep the process.
    runtime.shutdown_timeout(END_LIMIT);
    output.flush(END_LIMIT);
    result
}
