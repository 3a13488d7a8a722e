//! The program that runs on every instance: `run` starts a node or a control process, `platform` a router or a registry process.

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

/// Exit code of a process that completed successfully.
const SUCCESS: u8 = 0;

/// Exit code of a process that failed, or that aborted requests when it stopped.
const FAILURE: u8 = 1;

/// Exit code for an invalid command line or invalid settings.
const USAGE_ERROR: u8 = 2;

const HELP: &str = "\
Runs one process of shallotrill in the role that its settings select.

Usage: shallotrill run --settings FILE
       shallotrill check --settings FILE
       shallotrill platform [--metrics-port PORT] [--advertise IP] [--clock-offset-ms N]
       shallotrill --help | --version

Commands:
  run    run until SIGTERM or SIGINT, then stop gracefully; a second signal stops immediately
  check  validate the settings and exit
  platform  run the role in the platform's settings file, whose path is in SHALLOTRILL_NODE_FILE

Options of platform:
  --metrics-port PORT   serve metrics on this port of the instance
  --advertise IP        IP address that other processes connect to, if they reach this one through a forwarder
  --clock-offset-ms N   offset added to the calendar time, for tests

Exit codes:
  0  success
  1  the process failed, or requests were aborted when it stopped
  2  invalid command line or settings
";

/// The command that the command line requests.
enum Command {
    Run(PathBuf),
    Check(PathBuf),
    Platform(PathBuf, Options),
    Help,
    Version,
}

fn main() -> ExitCode {
    let request = match parse_command_line() {
        Ok(request) => request,
        Err(error) => {
            eprintln!("shallotrill: {error}\nTry 'shallotrill --help'.");
            return ExitCode::from(USAGE_ERROR);
        }
    };
    let code = match request {
        Command::Help => {
            print!("{HELP}");
            SUCCESS
        }
        Command::Version => {
            println!("shallotrill {}", env!("CARGO_PKG_VERSION"));
            SUCCESS
        }
        Command::Check(path) => match load_settings(&path) {
            Some(_) => {
                println!("{}: the settings are valid", path.display());
                SUCCESS
            }
            None => USAGE_ERROR,
        },
        Command::Platform(path, options) => exit_code(run_on_platform(&path, &options)),
        Command::Run(path) => match load_settings(&path) {
            Some(settings) => run(&settings),
            None => USAGE_ERROR,
        },
    };
    ExitCode::from(code)
}

fn parse_command_line() -> Result<Command, lexopt::Error> {
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
            Arg::Short('h') | Arg::Long("help") => return Ok(Command::Help),
            Arg::Short('V') | Arg::Long("version") => return Ok(Command::Version),
            Arg::Short('s') | Arg::Long("settings") => {
                settings = Some(PathBuf::from(parser.value()?));
            }
            Arg::Long("metrics-port") => options.metrics_port = Some(parser.value()?.parse()?),
            Arg::Long("advertise") => options.advertised = Some(parser.value()?.parse()?),
            Arg::Long("clock-offset-ms") => {
                options.clock = options.clock.with_offset_ms(parser.value()?.parse()?);
            }
            Arg::Value(value) if command.is_none() => command = Some(value.string()?),
            other => return Err(other.unexpected()),
        }
    }
    let settings = settings.ok_or("the option --settings FILE is required");
    match command.as_deref() {
        Some("run") => Ok(Command::Run(settings?)),
        Some("check") => Ok(Command::Check(settings?)),
        Some("platform") => match env::var_os(platform::SETTINGS_VARIABLE) {
            Some(path) => Ok(Command::Platform(path.into(), options)),
            None => Err(format!(
                "the environment variable {} is not set",
                platform::SETTINGS_VARIABLE
            )
            .into()),
        },
        Some(other) => {
            Err(format!("unknown command '{other}': expected run, check or platform").into())
        }
        None => Err("a command is required: expected run, check or platform".into()),
    }
}

fn load_settings(path: &Path) -> Option<Settings> {
    match Settings::load(path) {
        Ok(settings) => Some(settings),
        Err(error) => {
            eprintln!("{error}");
            None
        }
    }
}

fn run(settings: &Settings) -> u8 {
    exit_code(try_run(settings))
}

fn exit_code(result: Result<bool>) -> u8 {
    match result {
        Ok(true) => SUCCESS,
        Ok(false) => FAILURE,
        Err(error) => {
            error!(event = "process-failed"; "process failed: {error:#}");
            eprintln!("shallotrill: {error:#}");
            FAILURE
        }
    }
}

/// Maximum time to wait at the end of the process for unfinished writes, and again for the log output.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(200);

/// Worker threads of the runtime for `shallotrill platform`: the machines there give a process only part of one core.
const PLATFORM_WORKERS: usize = 1;

/// Interval of reloading the settings file, which may change without a signal.
const RELOAD_INTERVAL: Duration = Duration::from_secs(5);

/// Runs a role on the platform; returns whether all requests in flight were completed before it stopped.
fn run_on_platform(path: &Path, options: &Options) -> Result<bool> {
    let output = process_log::start(log::LevelFilter::Info)
        .context("the log output could not be started")?;
    let runtime = Builder::new_multi_thread()
        .worker_threads(PLATFORM_WORKERS)
        .enable_all()
        .build()
        .context("the asynchronous runtime could not be started")?;
    info!(event = "process-started", version = env!("CARGO_PKG_VERSION"); "process started");
    let result = runtime.block_on(async {
        let mut stop =
            Stop::listen().context("the handlers of the stop signals could not be registered")?;
        let mut reload =
            Reload::listen().context("the handler of the reload signal could not be registered")?;
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
    // A blocked disk write must not prevent the process from exiting.
    runtime.shutdown_timeout(SHUTDOWN_TIMEOUT);
    output.flush(SHUTDOWN_TIMEOUT);
    result
}

/// Runs the role in the settings; returns whether it did not fail and all requests in flight were completed before it stopped.
fn try_run(settings: &Settings) -> Result<bool> {
    let output = process_log::start(settings.log).context("the log output could not be started")?;
    let workers = match &settings.role {
        Role::Node(node) => node.workers,
        Role::Control(control) => control.workers,
    };
    let runtime = Builder::new_multi_thread()
        .worker_threads(workers)
        .enable_all()
        .build()
        .context("the asynchronous runtime could not be started")?;
    info!(event = "process-started", instance = settings.instance.as_str(), version = env!("CARGO_PKG_VERSION"); "process started");
    let result = runtime.block_on(async {
        let mut stop =
            Stop::listen().context("the handlers of the stop signals could not be registered")?;
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
                let completed = control.stop(async move { stop.wait().await }).await;
                Ok(completed && !failed)
            }
        }
    });
    // A blocked disk write must not prevent the process from exiting.
    runtime.shutdown_timeout(SHUTDOWN_TIMEOUT);
    output.flush(SHUTDOWN_TIMEOUT);
    result
}
