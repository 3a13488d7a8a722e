//! Runs a stand-in backend server as a separate process.

use std::process::ExitCode;
use std::time::Duration;

use anyhow::Result;
use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt;

use shallotrill_bench::backend::Backend;
use shallotrill_bench::backend::Config;

const HELP: &str = "\
Runs a stand-in backend server.

Usage: backend --listen ADDRESS --service NAME [--node ANNOUNCE-ADDRESS] [--slots N]
               [--service-us MICROSECONDS] [--crash-path PATH] [--journal FILE]
";

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("backend: {error:#}\n{HELP}");
            ExitCode::from(2)
        }
    }
}

fn run() -> Result<()> {
    let config = parse()?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let backend = Backend::start(config).await?;
        println!("{}", backend.address());
        tokio::signal::ctrl_c().await?;
        Ok(())
    })
}

fn parse() -> Result<Config, lexopt::Error> {
    let mut config = Config {
        listen: ([127, 0, 0, 1], 0).into(),
        node: None,
        service: "catalogue".to_owned(),
        slots: 10,
        service_time: Duration::from_millis(5),
        crash_path: None,
        journal: None,
    };
    let mut parser = Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("listen") => config.listen = parser.value()?.parse()?,
            Arg::Long("node") => config.node = Some(parser.value()?.parse()?),
            Arg::Long("service") => config.service = parser.value()?.string()?,
            Arg::Long("slots") => config.slots = parser.value()?.parse()?,
            Arg::Long("service-us") => {
                config.service_time = Duration::from_micros(parser.value()?.parse()?);
            }
            Arg::Long("crash-path") => config.crash_path = Some(parser.value()?.string()?),
            Arg::Long("journal") => config.journal = Some(parser.value()?.into()),
            other => return Err(other.unexpected()),
        }
    }
    Ok(config)
}
