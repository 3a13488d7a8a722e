//! Runs a demo installation on this machine until Ctrl-C.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use anyhow::Result;
use anyhow::bail;
use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use shallotrill_bench::cluster;
use shallotrill_bench::cluster::Cluster;
use shallotrill_bench::cluster::Layout;
use shallotrill_bench::cluster::Service;
use shallotrill_bench::http;
use shallotrill_bench::http::Request;
use shallotrill_bench::operate;

const HELP: &str = "\
Runs control processes, nodes and stand-in backend servers on this machine.

Usage: demo [--user growers|lofotbrygga] [--folder FOLDER]

The folder contains settings, data and logs; a second run with the same folder continues from the stored state.
";

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("demo: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<()> {
    let mut user = "growers".to_owned();
    let mut folder = PathBuf::from("demo-data");
    let mut parser = Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Short('h') | Arg::Long("help") => {
                print!("{HELP}");
                return Ok(());
            }
            Arg::Long("user") => user = parser.value()?.string()?,
            Arg::Long("folder") => folder = PathBuf::from(parser.value()?),
            other => return Err(other.unexpected().into()),
        }
    }
    let layout = layout(&user, folder)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(serve(&layout))
}

fn layout(user: &str, folder: PathBuf) -> Result<Layout> {
    let service = |name, targets, slots| Service {
        name,
        targets,
        slots,
        service_time: Duration::from_millis(5),
        crash_path: None,
    };
    let (region, zones, services) = match user {
        "growers" => (
            "waikato",
            vec!["hamilton", "cambridge", "matamata"],
            vec![
                service("catalogue", 5, 10),
                service("bookings", 3, 10),
                service("payments", 3, 10),
            ],
        ),
        "lofotbrygga" => (
            "nordland",
            vec!["bodo", "svolvaer", "narvik"],
            vec![
                service("crew-portal", 5, 6),
                service("payout-ledger", 3, 6),
                service("landing-registry", 3, 6),
            ],
        ),
        other => bail!("unknown user '{other}': expected growers or lofotbrygga"),
    };
    Ok(Layout {
        program_folder: cluster::program_folder()?,
        folder,
        ip: std::net::Ipv4Addr::LOCALHOST,
        region,
        zones,
        services,
        log_level: "info",
    })
}

async fn serve(layout: &Layout) -> Result<()> {
    let mut cluster =
        Cluster::start(layout).context("cannot start the processes of the installation")?;
    let result = present(layout, &cluster).await;
    if result.is_ok() {
        let mut terminate = signal(SignalKind::terminate())?;
        tokio::select! {
            pressed = tokio::signal::ctrl_c() => pressed?,
            _ = terminate.recv() => {}
        }
        println!("stopping gracefully");
    }
    cluster.stop()?;
    result
}

async fn present(layout: &Layout, cluster: &Cluster) -> Result<()> {
    println!("starting; logs are in {}", layout.folder.display());
    let operators = &cluster.operators;
    operate::run_with_retries(operators, "show services", Duration::from_secs(30))
        .await
        .context("control processes formed no quorum within 30 s; see their logs")?;
    for service in &layout.services {
        let known = format!("show service {}", service.name);
        if operate::run(operators, &known).await.is_err() {
            operate::create_service(operators, service).await?;
        }
    }
    let look_up = layout.services[0].name;
    let deposit = layout.services[2].name;
    let entry = cluster.instances[0].caller;
    wait_for(cluster, &Request::get(look_up, "/birds")).await?;
    wait_for(cluster, &Request::get(deposit, "/health-check")).await?;
    println!("\nnodes accept requests, the first one at http://{entry}\n");
    println!("a look-up:      curl -i -H 'Host: {look_up}' http://{entry}/birds");
    println!(
        "a deposit:      curl -i -H 'Host: {deposit}' -H 'Idempotency-Key: {}' -d '{{\"amount\": 50}}' http://{entry}/deposits",
        http::new_idempotency_key()
    );
    let control = operators[0];
    let ctl = layout.program_folder.join("shallotctl");
    let ctl = ctl.display();
    println!("an operator:    {ctl} --control {control} show targets");
    println!(
        "a state dump:   curl http://{}/v1/state",
        cluster.instances[0].announce
    );
    println!("\nCtrl-C stops everything gracefully.");
    Ok(())
}

/// Retries a request until its response reports success, for at most 30 s.
async fn wait_for(cluster: &Cluster, request: &Request) -> Result<()> {
    let end = Instant::now() + Duration::from_secs(30);
    loop {
        let sent = http::send(cluster.instances[0].caller, request, Duration::from_secs(3)).await;
        match sent {
            Ok(response) if response.status.is_success() => return Ok(()),
            Ok(response) if Instant::now() >= end => {
                bail!("{}: {}", response.status, response.text())
            }
            Err(error) if Instant::now() >= end => return Err(error.into()),
            _ => tokio::time::sleep(Duration::from_millis(100)).await,
        }
    }
}
