//! Measures the data path: added latency, processor time of a request, and routing policies under load.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use anyhow::bail;
use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt;
use serde_json::Value;
use tokio::time;

use shallotrill_bench::cluster;
use shallotrill_bench::cluster::Cluster;
use shallotrill_bench::cluster::EntryNode;
use shallotrill_bench::cluster::Layout;
use shallotrill_bench::cluster::Service;
use shallotrill_bench::http;
use shallotrill_bench::http::Request;
use shallotrill_bench::load;
use shallotrill_bench::load::Outcome;
use shallotrill_bench::load::Plan;
use shallotrill_bench::load::Variant;
use shallotrill_bench::operate;
use shallotrill_bench::scenario;
use shallotrill_bench::scenario::CAPACITY;
use shallotrill_bench::scenario::Scenario;
use shallotrill_bench::usage;

const HELP: &str = "\
Measures the data path on this machine.

Usage: path [--seconds N] [--rounds N] [--seed N] [--with SETTING]... [--against FOLDER]... SCENARIO...

`latency` and `cpu` also measure an entry node with each SETTING, and one of the build in each FOLDER.

Scenarios: latency, cpu, probes, storm, policies (all of the following), steady, straggler, noisy, fail-fast,
cold, drain, shed, overload, copies, impatient, swarm.
";

/// Index of the first entry node; their ports follow those of the instances.
const FIRST_ENTRY_INDEX: usize = 40;

/// Routing policies that are compared; the first one is the default of nodes.
const POLICIES: [&str; 4] = ["scored", "random", "round-robin", "least-in-flight"];

/// Entry nodes of each policy, one in each availability zone.
const ENTRY_NODES_PER_POLICY: usize = 3;

/// Requests per second of all variants together, in the measurement of added latency.
const LATENCY_RATES: [f64; 2] = [300.0, 3_000.0];

/// Requests per second in the measurement of processor time.
const CPU_RATE: f64 = 2_000.0;

struct Options {
    seconds: u64,
    rounds: u64,
    seed: u64,
    scenarios: Vec<String>,
    /// Entry nodes whose added latency and processor time are measured, starting with the default.
    entry_configs: Vec<EntryConfig>,
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("path: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<()> {
    let options = parse()?;
    if options.scenarios.is_empty() {
        print!("{HELP}");
        return Ok(());
    }
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    runtime.block_on(measure(&options))
}

fn parse() -> Result<Options, lexopt::Error> {
    let mut options = Options {
        seconds: 4,
        rounds: 2,
        seed: 1,
        scenarios: Vec::new(),
        entry_configs: vec![EntryConfig::default()],
    };
    let mut parser = Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("seconds") => options.seconds = parser.value()?.parse()?,
            Arg::Long("rounds") => options.rounds = parser.value()?.parse()?,
            Arg::Long("seed") => options.seed = parser.value()?.parse()?,
            Arg::Long("with") => options.entry_configs.push(EntryConfig {
                settings: format!("{}\n", parser.value()?.string()?),
                program_folder: None,
            }),
            Arg::Long("against") => options.entry_configs.push(EntryConfig {
                settings: String::new(),
                program_folder: Some(PathBuf::from(parser.value()?)),
            }),
            Arg::Value(name) if name == "policies" => {
                let all = scenario::ALL
                    .iter()
                    .map(|scenario| scenario.name.to_owned());
                options.scenarios.extend(all);
            }
            Arg::Value(name) => options.scenarios.push(name.string()?),
            other => return Err(other.unexpected()),
        }
    }
    Ok(options)
}

async fn measure(options: &Options) -> Result<()> {
    let mut compared = Vec::new();
    for name in &options.scenarios {
        match name.as_str() {
            "latency" => latency(options).await?,
            "cpu" => processor(options).await?,
            "probes" => probes(options).await?,
            "storm" => storm(options).await?,
            other => match scenario::ALL.iter().find(|scenario| scenario.name == other) {
                Some(scenario) => compared.push(*scenario),
                None => bail!("unknown scenario '{other}'; run without arguments for the list"),
            },
        }
    }
    if compared.is_empty() {
        return Ok(());
    }
    compare(options, &compared).await
}

/// Settings and build of an entry node, as far as they differ from the default.
#[derive(Clone, Default)]
struct EntryConfig {
    /// Additional lines for the `[node]` section of the settings.
    settings: String,
    /// Folder of another build of the programs; `None` means the current build.
    program_folder: Option<PathBuf>,
}

impl EntryConfig {
    fn name(&self) -> String {
        let program_folder = self.program_folder.as_ref();
        let program_folder =
            program_folder.map_or(String::new(), |folder| folder.display().to_string());
        let name = format!("node-to-node {}{program_folder}", self.settings.trim());
        name.trim().to_owned()
    }
}

/// An installation with entry nodes.
struct Installation {
    cluster: Cluster,
    entry_nodes: Vec<EntryNode>,
    folder: PathBuf,
}

impl Installation {
    /// Starts the targets of a service and `count` entry nodes for each configuration.
    async fn start(service: Service, entry_configs: &[EntryConfig], count: usize) -> Result<Self> {
        let folder = std::env::temp_dir().join(format!("shallotrill-path-{}", std::process::id()));
        let layout = Layout {
            program_folder: cluster::program_folder()?,
            folder: folder.clone(),
            ip: cluster::reserve_ip()?,
            region: "waikato",
            zones: vec!["hamilton", "cambridge", "matamata"],
            services: vec![service],
            log_level: "warn",
        };
        let cluster = Cluster::start(&layout)?;
        let mut nodes = Vec::new();
        for entry_config in entry_configs {
            let layout = Layout {
                program_folder: entry_config
                    .program_folder
                    .clone()
                    .unwrap_or(layout.program_folder.clone()),
                ..layout.clone()
            };
            for _ in 0..count {
                let index = FIRST_ENTRY_INDEX + nodes.len();
                let name = format!("entry-{}", nodes.len());
                let mut entry = layout.entry_node(index, &name, &entry_config.settings)?;
                entry.node.start()?;
                nodes.push(entry);
            }
        }
        let installation = Self {
            cluster,
            entry_nodes: nodes,
            folder,
        };
        let service = &layout.services[0];
        operate::create_service(&installation.cluster.operators, service).await?;
        for entry in &installation.entry_nodes {
            wait_for(entry.caller, entry.announce, service).await?;
        }
        let instance = &installation.cluster.instances[0];
        wait_for(instance.caller, instance.announce, service).await?;
        Ok(installation)
    }

    fn stop(mut self) -> Result<()> {
        for entry in &mut self.entry_nodes {
            entry.node.stop(Duration::from_secs(5))?;
        }
        self.cluster.stop()?;
        std::fs::remove_dir_all(&self.folder)?;
        Ok(())
    }

    /// Addresses of the entry nodes of a policy.
    fn callers(&self, policy: usize) -> Vec<SocketAddr> {
        let entry_nodes = self.entry_nodes[policy * ENTRY_NODES_PER_POLICY..]
            .iter()
            .take(ENTRY_NODES_PER_POLICY);
        entry_nodes.map(|entry| entry.caller).collect()
    }

    async fn set_behavior(&self, target: usize, query: &str) -> Result<()> {
        let mut request = Request::get("standin", &format!("/standin?{query}"));
        request.method = ::http::Method::POST;
        let address = self.cluster.instances[target].backend_address;
        let response = http::send(address, &request, Duration::from_secs(1)).await?;
        if !response.status.is_success() {
            bail!("stand-in refused {query}: {}", response.text());
        }
        Ok(())
    }

    /// Requests that got a slot at each stand-in, and those that ran to completion.
    async fn counters(&self) -> Result<Vec<(u64, u64)>> {
        let mut counters = Vec::new();
        for instance in &self.cluster.instances {
            let value = fetch(instance.backend_address, "/standin").await?;
            let number = |key: &str| value[key].as_u64().unwrap_or_default();
            counters.push((number("started"), number("executed")));
        }
        Ok(counters)
    }
}

async fn fetch(address: SocketAddr, path: &str) -> Result<Value> {
    let request = Request::get("localhost", path);
    let response = http::send(address, &request, Duration::from_secs(1)).await?;
    Ok(serde_json::from_slice(&response.body)?)
}

/// Waits until a node knows all targets of the service and serves requests.
async fn wait_for(caller: SocketAddr, announce: SocketAddr, service: &Service) -> Result<()> {
    let end = time::Instant::now() + Duration::from_secs(30);
    loop {
        let request = Request::get(service.name, "/wait");
        let sent = http::send(caller, &request, Duration::from_secs(3)).await;
        let known = match fetch(announce, "/v1/state").await {
            Ok(state) => state["targets"]["known"].as_u64().unwrap_or_default(),
            Err(_) => 0,
        };
        let answered = sent.is_ok_and(|response| response.status.is_success());
        if answered && known >= u64::from(service.targets) {
            return Ok(());
        }
        if time::Instant::now() >= end {
            bail!(
                "node {caller} is not ready after 30 s: it knows {known} of {} targets",
                service.targets
            );
        }
        time::sleep(Duration::from_millis(50)).await;
    }
}

fn look_up_request(number: u64) -> Request {
    Request::get("catalogue", &format!("/birds/{number}"))
}

fn base_plan(options: &Options, rate: f64, seed: u64) -> Plan {
    Plan {
        rate,
        warm_up: Duration::from_secs(2),
        time: Duration::from_secs(options.seconds),
        seed,
        total_timeout: Duration::from_secs(1),
        attempts_max: 1,
        attempt_timeout: None,
        duplicate_after: None,
    }
}

/// One target with a service time of zero, so that all latency is that of the path.
const SINGLE_TARGET: Service = Service {
    name: "catalogue",
    targets: 1,
    slots: 10,
    service_time: Duration::ZERO,
    crash_path: None,
};

/// Five targets with the total capacity [`CAPACITY`], which can be overloaded on one machine.
const FIVE_TARGETS: Service = Service {
    name: "catalogue",
    targets: 5,
    slots: 4,
    service_time: Duration::from_millis(10),
    crash_path: None,
};

async fn latency(options: &Options) -> Result<()> {
    let installation = Installation::start(SINGLE_TARGET, &options.entry_configs, 1).await?;
    let instance = &installation.cluster.instances[0];
    let mut addresses = vec![
        ("direct".to_owned(), instance.backend_address),
        ("same-node".to_owned(), instance.caller),
    ];
    for (entry_config, entry) in options.entry_configs.iter().zip(&installation.entry_nodes) {
        addresses.push((entry_config.name(), entry.caller));
    }
    println!(
        "| rate of each, 1/s | variant | asked | failed | p50 ms | p99 ms | p99.9 ms | added p50 | added p99 | added p99.9 |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|");
    for rate in LATENCY_RATES {
        let variants = addresses
            .iter()
            .map(|(_, address)| Variant::new(vec![*address], look_up_request));
        let variants = Arc::new(variants.collect::<Vec<_>>());
        let mut results = vec![Outcome::default(); variants.len()];
        for round in 0..options.rounds {
            let outcomes =
                load::run(base_plan(options, rate, options.seed + round), &variants).await;
            for (result, outcome) in results.iter_mut().zip(&outcomes) {
                result.add(outcome);
            }
        }
        let direct = results[0].clone();
        for ((name, _), result) in addresses.iter().zip(&results) {
            let added = |quantile| result.quantile_ms(quantile) - direct.quantile_ms(quantile);
            println!(
                "| {:.0} | {name} | {} | {} | {} | {:.3} | {:.3} | {:.3} |",
                rate / addresses.len() as f64,
                result.counted_total,
                result.failed,
                quantiles(result),
                added(0.5),
                added(0.99),
                added(0.999),
            );
            if !result.error_codes.is_empty() {
                eprintln!("{name}: {:?}", result.error_codes);
            }
        }
    }
    installation.stop()
}

fn quantiles(outcome: &Outcome) -> String {
    let [a, b, c] = [0.5, 0.99, 0.999].map(|quantile| outcome.quantile_ms(quantile));
    format!("{a:.3} | {b:.3} | {c:.3}")
}

async fn processor(options: &Options) -> Result<()> {
    let installation = Installation::start(SINGLE_TARGET, &options.entry_configs, 1).await?;
    let instance = &installation.cluster.instances[0];
    let target = instance
        .node
        .id()
        .context("the node of the target does not run")?;
    println!(
        "| variant | calls | entry node µs a call | target's node µs a call | calls of one core in a second |"
    );
    println!("|---|---|---|---|---|");
    let mut callers = vec![("same-node".to_owned(), instance.caller, None)];
    for (entry_config, entry) in options.entry_configs.iter().zip(&installation.entry_nodes) {
        callers.push((entry_config.name(), entry.caller, entry.node.id()));
    }
    for (name, caller, entry) in callers {
        let used = || -> std::io::Result<(f64, f64)> {
            let entry = entry.map_or(Ok(Duration::ZERO), usage::processor_time)?;
            let target = usage::processor_time(target)?;
            Ok((entry.as_secs_f64(), target.as_secs_f64()))
        };
        let variants = Arc::new(vec![Variant::new(vec![caller], look_up_request)]);
        let (mut calls, mut spent) = (0, (0.0, 0.0));
        for round in 0..options.rounds {
            let before = used()?;
            let plan = base_plan(options, CPU_RATE, options.seed + round);
            calls += load::run(plan, &variants).await[0].total;
            let after = used()?;
            spent = (spent.0 + after.0 - before.0, spent.1 + after.1 - before.1);
        }
        let us_per_request = |seconds: f64| seconds * 1e6 / calls as f64;
        println!(
            "| {name} | {calls} | {:.1} | {:.1} | {:.0} |",
            us_per_request(spent.0),
            us_per_request(spent.1),
            1e6 / us_per_request(spent.0 + spent.1),
        );
    }
    installation.stop()
}

/// Cost of probes at idle targets; targets under load are not probed.
async fn probes(options: &Options) -> Result<()> {
    let service = Service {
        targets: 3,
        slots: 6,
        ..SINGLE_TARGET
    };
    let installation = Installation::start(service, &[], 0).await?;
    time::sleep(Duration::from_secs(10 + options.seconds)).await;
    println!("| target | up s | probe budget |");
    println!("|---|---|---|");
    for instance in &installation.cluster.instances {
        let state = fetch(instance.announce, "/v1/state").await?;
        let target = &state["target"];
        let up = target["up_ms"].as_f64().unwrap_or_default() / 1_000.0;
        println!(
            "| {} | {up:.1} | {} |",
            instance.instance_name, target["probe_budget"]
        );
    }
    installation.stop()
}

async fn compare(options: &Options, scenarios: &[Scenario]) -> Result<()> {
    let entry_configs = POLICIES.map(|policy| EntryConfig {
        settings: format!("routing_policy = \"{policy}\"\n"),
        program_folder: None,
    });
    let mut installation =
        Installation::start(FIVE_TARGETS, &entry_configs, ENTRY_NODES_PER_POLICY).await?;
    println!(
        "| scenario | policy | asked | failed % | p50 ms | p99 ms | p99.9 ms | sent for each asked | executed for each asked | cancelled % | share of target 1 % |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|");
    for scenario in scenarios {
        let mut results = vec![PolicyResult::default(); POLICIES.len()];
        for round in 0..options.rounds as usize {
            for offset in 0..POLICIES.len() {
                let policy = (round + offset) % POLICIES.len();
                let seed = options.seed + round as u64;
                let result = run_policy(options, &mut installation, scenario, policy, seed);
                let result = result.await.with_context(|| scenario.name)?;
                results[policy].add(&result);
            }
        }
        for (policy, result) in POLICIES.iter().zip(&results) {
            result.print(scenario.name, policy);
        }
    }
    installation.stop()
}

/// Retry storm of one partner while the software of another partner sends each request once.
async fn storm(options: &Options) -> Result<()> {
    let installation = Installation::start(
        FIVE_TARGETS,
        &[EntryConfig::default()],
        ENTRY_NODES_PER_POLICY,
    )
    .await?;
    let polite = Plan {
        rate: 0.3 * CAPACITY,
        ..base_plan(options, 1.0, options.seed)
    };
    let stormy = Plan {
        rate: 1.2 * CAPACITY,
        attempts_max: 10,
        total_timeout: Duration::from_millis(250),
        ..base_plan(options, 1.0, options.seed + 1)
    };
    let callers = |request| Arc::new(vec![Variant::new(installation.callers(0), request)]);
    println!("| partner | asked | failed % | p50 ms | p99 ms | p99.9 ms | sent for each asked |");
    println!("|---|---|---|---|---|---|---|");
    let alone = load::run(polite, &callers(polite_request)).await;
    let (polite_variants, stormy_variants) = (callers(polite_request), callers(look_up_request));
    let (during_storm, storming) = tokio::join!(
        load::run(polite, &polite_variants),
        load::run(stormy, &stormy_variants),
    );
    let rows = [
        ("polite, alone", &alone),
        ("polite, beside the storm", &during_storm),
        ("storming", &storming),
    ];
    for (name, outcomes) in rows {
        let outcome = &outcomes[0];
        let counted_total = outcome.counted_total.max(1) as f64;
        println!(
            "| {name} | {} | {:.3} | {} | {:.2} |",
            outcome.counted_total,
            100.0 * outcome.failed as f64 / counted_total,
            quantiles(outcome),
            outcome.sent as f64 / counted_total,
        );
        eprintln!("{name}: {:?}", outcome.error_codes);
    }
    installation.stop()
}

fn polite_request(number: u64) -> Request {
    let mut request = Request::get("catalogue", &format!("/birds/polite/{number}"));
    request
        .headers
        .push(("shallotrill-partner", "polite".to_owned()));
    request
}

/// Measured results of one policy.
#[derive(Clone, Default)]
struct PolicyResult {
    outcome: Outcome,
    started: u64,
    executed: u64,
    /// Requests that got a slot at the first target, which has the fault.
    first_target_started: u64,
}

impl PolicyResult {
    fn add(&mut self, other: &Self) {
        self.outcome.add(&other.outcome);
        self.started += other.started;
        self.executed += other.executed;
        self.first_target_started += other.first_target_started;
    }

    fn print(&self, scenario: &str, policy: &str) {
        let outcome = &self.outcome;
        let started = self.started.max(1) as f64;
        println!(
            "| {scenario} | {policy} | {} | {:.3} | {} | {:.2} | {:.3} | {:.3} | {:.1} |",
            outcome.counted_total,
            100.0 * outcome.failed as f64 / outcome.counted_total.max(1) as f64,
            quantiles(outcome),
            outcome.sent as f64 / outcome.counted_total.max(1) as f64,
            self.executed as f64 / outcome.total.max(1) as f64,
            100.0 * (self.started - self.executed) as f64 / started,
            100.0 * self.first_target_started as f64 / started,
        );
        if !outcome.error_codes.is_empty() {
            eprintln!("{scenario}, {policy}: {:?}", outcome.error_codes);
        }
    }
}

/// Runs one policy under a scenario for the measured time, then restores the targets.
async fn run_policy(
    options: &Options,
    installation: &mut Installation,
    scenario: &Scenario,
    policy: usize,
    seed: u64,
) -> Result<PolicyResult> {
    if scenario.restart {
        let backend = &mut installation.cluster.instances[0].backend;
        backend.kill()?;
        time::sleep(Duration::from_millis(200)).await;
        backend.start()?;
        time::sleep(Duration::from_millis(300)).await;
    }
    let before = installation.counters().await?;
    let variants = Arc::new(vec![Variant::new(
        installation.callers(policy),
        look_up_request,
    )]);
    let plan = Plan {
        rate: scenario.load * CAPACITY,
        warm_up: Duration::from_secs(u64::from(!scenario.restart)),
        attempts_max: scenario.attempts_max,
        total_timeout: scenario.total_timeout,
        attempt_timeout: scenario.attempt_timeout,
        duplicate_after: scenario.duplicate_after,
        ..base_plan(options, 1.0, seed)
    };
    let faults = async {
        if scenario.faults_midway {
            time::sleep(plan.warm_up + plan.time / 2).await;
        }
        for (target, query) in scenario.faults {
            installation.set_behavior(*target, query).await?;
        }
        anyhow::Ok(())
    };
    let (outcomes, faults_applied) = tokio::join!(load::run(plan, &variants), faults);
    faults_applied?;
    let after = installation.counters().await?;
    for (target, _) in scenario.faults {
        let normal = "mode=normal&service-us=10000&noise=0";
        installation.set_behavior(*target, normal).await?;
    }
    // Time for the limits of the targets and the estimates of the entry nodes to recover.
    time::sleep(Duration::from_secs(1)).await;
    let outcome = outcomes
        .into_iter()
        .next()
        .context("the run has no outcome")?;
    let mut result = PolicyResult {
        outcome,
        ..PolicyResult::default()
    };
    for (number, (before, after)) in before.iter().zip(&after).enumerate() {
        result.started += after.0 - before.0;
        result.executed += after.1 - before.1;
        if number == 0 {
            result.first_target_started = after.0 - before.0;
        }
    }
    Ok(result)
}
