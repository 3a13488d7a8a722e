//! Measures the data path: added latency, processor time of a call, and policies of the choice.

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
use shallotrill_bench::cluster::Entry;
use shallotrill_bench::cluster::Layout;
use shallotrill_bench::cluster::Service;
use shallotrill_bench::http;
use shallotrill_bench::http::Ask;
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

/// Entry nodes have the ports after those of the places.
const ENTRY: usize = 40;

/// Policies that are compared; the first one is what nodes use.
const POLICIES: [&str; 4] = ["scored", "random", "round-robin", "least-in-flight"];

/// Entry nodes of each policy, one in each availability zone.
const ENTRIES: usize = 3;

/// Rates of the measurement of added latency, of all variants together.
const RATES: [f64; 2] = [300.0, 3_000.0];

/// Rate of the measurement of processor time, in calls a second.
const CPU_RATE: f64 = 2_000.0;

struct Options {
    seconds: u64,
    rounds: u64,
    seed: u64,
    scenarios: Vec<String>,
    /// Further entry nodes whose added latency and processor time are measured beside the default.
    kinds: Vec<Kind>,
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
        kinds: vec![Kind::default()],
    };
    let mut parser = Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("seconds") => options.seconds = parser.value()?.parse()?,
            Arg::Long("rounds") => options.rounds = parser.value()?.parse()?,
            Arg::Long("seed") => options.seed = parser.value()?.parse()?,
            Arg::Long("with") => options.kinds.push(Kind {
                settings: format!("{}\n", parser.value()?.string()?),
                programs: None,
            }),
            Arg::Long("against") => options.kinds.push(Kind {
                settings: String::new(),
                programs: Some(PathBuf::from(parser.value()?)),
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
                None => bail!("unknown scenario '{other}'"),
            },
        }
    }
    if compared.is_empty() {
        return Ok(());
    }
    compare(options, &compared).await
}

/// How some entry nodes differ from others.
#[derive(Clone, Default)]
struct Kind {
    /// Lines for the `[node]` section of their settings.
    settings: String,
    /// Folder of another build of the programs.
    programs: Option<PathBuf>,
}

impl Kind {
    fn name(&self) -> String {
        let programs = self.programs.as_ref();
        let programs = programs.map_or(String::new(), |folder| folder.display().to_string());
        let name = format!("node-to-node {}{programs}", self.settings.trim());
        name.trim().to_owned()
    }
}

/// An installation with entry nodes.
struct Installation {
    cluster: Cluster,
    entries: Vec<Entry>,
    folder: PathBuf,
}

impl Installation {
    /// Starts the targets of a service and, for each kind, `count` entry nodes.
    async fn start(service: Service, kinds: &[Kind], count: usize) -> Result<Self> {
        let folder = std::env::temp_dir().join(format!("shallotrill-path-{}", std::process::id()));
        let layout = Layout {
            programs: cluster::programs()?,
            folder: folder.clone(),
            ip: cluster::own_ip(),
            region: "waikato",
            zones: vec!["hamilton", "cambridge", "matamata"],
            services: vec![service],
            log: "warn",
        };
        let cluster = Cluster::start(&layout)?;
        let mut nodes = Vec::new();
        for kind in kinds {
            let layout = Layout {
                programs: kind.programs.clone().unwrap_or(layout.programs.clone()),
                ..layout.clone()
            };
            for _ in 0..count {
                let index = ENTRY + nodes.len();
                let name = format!("entry-{}", nodes.len());
                let mut entry = layout.entry(index, &name, &kind.settings)?;
                entry.node.start()?;
                nodes.push(entry);
            }
        }
        let installation = Self {
            cluster,
            entries: nodes,
            folder,
        };
        let service = &layout.services[0];
        operate::create(&installation.cluster.operators, service).await?;
        for entry in &installation.entries {
            wait_for(entry.caller, entry.announce, service).await?;
        }
        let place = &installation.cluster.places[0];
        wait_for(place.caller, place.announce, service).await?;
        Ok(installation)
    }

    fn stop(mut self) -> Result<()> {
        for entry in &mut self.entries {
            entry.node.stop(Duration::from_secs(5))?;
        }
        self.cluster.stop()?;
        std::fs::remove_dir_all(&self.folder)?;
        Ok(())
    }

    /// Addresses of the entry nodes of a policy.
    fn callers(&self, policy: usize) -> Vec<SocketAddr> {
        let entries = self.entries[policy * ENTRIES..].iter().take(ENTRIES);
        entries.map(|entry| entry.caller).collect()
    }

    async fn steer(&self, target: usize, query: &str) -> Result<()> {
        let mut ask = Ask::get("standin", &format!("/standin?{query}"));
        ask.method = ::http::Method::POST;
        let address = self.cluster.places[target].backend_address;
        let answer = http::send(address, &ask, Duration::from_secs(1)).await?;
        if !answer.status.is_success() {
            bail!("{query}: {}", answer.text());
        }
        Ok(())
    }

    /// Requests that got a slot at each stand-in, and those that ran to their end.
    async fn counters(&self) -> Result<Vec<(u64, u64)>> {
        let mut counters = Vec::new();
        for place in &self.cluster.places {
            let value = fetch(place.backend_address, "/standin").await?;
            let number = |key: &str| value[key].as_u64().unwrap_or_default();
            counters.push((number("started"), number("executed")));
        }
        Ok(counters)
    }
}

async fn fetch(address: SocketAddr, path: &str) -> Result<Value> {
    let ask = Ask::get("localhost", path);
    let answer = http::send(address, &ask, Duration::from_secs(1)).await?;
    Ok(serde_json::from_slice(&answer.body)?)
}

/// Waits until a node knows all targets and answers.
async fn wait_for(caller: SocketAddr, announce: SocketAddr, service: &Service) -> Result<()> {
    let end = time::Instant::now() + Duration::from_secs(30);
    loop {
        let ask = Ask::get(service.name, "/wait");
        let sent = http::send(caller, &ask, Duration::from_secs(3)).await;
        let known = match fetch(announce, "/v1/state").await {
            Ok(state) => state["targets"]["known"].as_u64().unwrap_or_default(),
            Err(_) => 0,
        };
        let answered = sent.is_ok_and(|answer| answer.status.is_success());
        if answered && known >= u64::from(service.targets) {
            return Ok(());
        }
        if time::Instant::now() >= end {
            bail!("{caller} knows {known} of {} targets", service.targets);
        }
        time::sleep(Duration::from_millis(50)).await;
    }
}

fn ask(number: u64) -> Ask {
    Ask::get("catalogue", &format!("/birds/{number}"))
}

fn plan(options: &Options, rate: f64, seed: u64) -> Plan {
    Plan {
        rate,
        warm_up: Duration::from_secs(2),
        time: Duration::from_secs(options.seconds),
        seed,
        patience: Duration::from_secs(1),
        tries: 1,
        drop_after: None,
        copy_after: None,
    }
}

/// One target whose service time is nothing, so that all latency is the path's.
const SOLO: Service = Service {
    name: "catalogue",
    targets: 1,
    slots: 10,
    service_time: Duration::ZERO,
    crash_path: None,
};

/// Targets whose capacity is [`CAPACITY`], small enough to be overloaded on one machine.
const SMALL: Service = Service {
    name: "catalogue",
    targets: 5,
    slots: 4,
    service_time: Duration::from_millis(10),
    crash_path: None,
};

async fn latency(options: &Options) -> Result<()> {
    let installation = Installation::start(SOLO, &options.kinds, 1).await?;
    let place = &installation.cluster.places[0];
    let mut addresses = vec![
        ("direct".to_owned(), place.backend_address),
        ("same-node".to_owned(), place.caller),
    ];
    for (kind, entry) in options.kinds.iter().zip(&installation.entries) {
        addresses.push((kind.name(), entry.caller));
    }
    println!(
        "| rate of each, 1/s | variant | asked | failed | p50 ms | p99 ms | p99.9 ms | added p50 | added p99 | added p99.9 |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|");
    for rate in RATES {
        let variants = addresses.iter().map(|(_, at)| Variant::new(vec![*at], ask));
        let variants = Arc::new(variants.collect::<Vec<_>>());
        let mut sums = vec![Outcome::default(); variants.len()];
        for round in 0..options.rounds {
            let outcomes = load::run(plan(options, rate, options.seed + round), &variants).await;
            for (sum, outcome) in sums.iter_mut().zip(&outcomes) {
                sum.add(outcome);
            }
        }
        let direct = sums[0].clone();
        for ((name, _), sum) in addresses.iter().zip(&sums) {
            let added = |quantile| sum.quantile_ms(quantile) - direct.quantile_ms(quantile);
            println!(
                "| {:.0} | {name} | {} | {} | {} | {:.3} | {:.3} | {:.3} |",
                rate / addresses.len() as f64,
                sum.asked,
                sum.failed,
                quantiles(sum),
                added(0.5),
                added(0.99),
                added(0.999),
            );
            if !sum.codes.is_empty() {
                eprintln!("{name}: {:?}", sum.codes);
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
    let installation = Installation::start(SOLO, &options.kinds, 1).await?;
    let place = &installation.cluster.places[0];
    let target = place.node.id().context("the node of the target runs")?;
    println!(
        "| variant | calls | entry node µs a call | target's node µs a call | calls of one core in a second |"
    );
    println!("|---|---|---|---|---|");
    let mut callers = vec![("same-node".to_owned(), place.caller, None)];
    for (kind, entry) in options.kinds.iter().zip(&installation.entries) {
        callers.push((kind.name(), entry.caller, entry.node.id()));
    }
    for (name, caller, entry) in callers {
        let used = || -> std::io::Result<(f64, f64)> {
            let entry = entry.map_or(Ok(Duration::ZERO), usage::processor_time)?;
            let target = usage::processor_time(target)?;
            Ok((entry.as_secs_f64(), target.as_secs_f64()))
        };
        let variants = Arc::new(vec![Variant::new(vec![caller], ask)]);
        let (mut calls, mut spent) = (0, (0.0, 0.0));
        for round in 0..options.rounds {
            let before = used()?;
            let plan = plan(options, CPU_RATE, options.seed + round);
            calls += load::run(plan, &variants).await[0].total;
            let after = used()?;
            spent = (spent.0 + after.0 - before.0, spent.1 + after.1 - before.1);
        }
        let each = |seconds: f64| seconds * 1e6 / calls as f64;
        println!(
            "| {name} | {calls} | {:.1} | {:.1} | {:.0} |",
            each(spent.0),
            each(spent.1),
            1e6 / each(spent.0 + spent.1),
        );
    }
    installation.stop()
}

/// Cost of probes at idle targets, the only ones that are probed.
async fn probes(options: &Options) -> Result<()> {
    let service = Service {
        targets: 3,
        slots: 6,
        ..SOLO
    };
    let installation = Installation::start(service, &[], 0).await?;
    time::sleep(Duration::from_secs(10 + options.seconds)).await;
    println!("| target | up s | probe budget |");
    println!("|---|---|---|");
    for place in &installation.cluster.places {
        let state = fetch(place.announce, "/v1/state").await?;
        let target = &state["target"];
        let up = target["up_ms"].as_f64().unwrap_or_default() / 1_000.0;
        println!(
            "| {} | {up:.1} | {} |",
            place.instance, target["probe_budget"]
        );
    }
    installation.stop()
}

async fn compare(options: &Options, scenarios: &[Scenario]) -> Result<()> {
    let kinds = POLICIES.map(|policy| Kind {
        settings: format!("routing_policy = \"{policy}\"\n"),
        programs: None,
    });
    let mut installation = Installation::start(SMALL, &kinds, ENTRIES).await?;
    println!(
        "| scenario | policy | asked | failed % | p50 ms | p99 ms | p99.9 ms | sent for each asked | executed for each asked | cancelled % | share of target 1 % |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|");
    for scenario in scenarios {
        let mut sums = vec![Sum::default(); POLICIES.len()];
        for round in 0..options.rounds as usize {
            for turn in 0..POLICIES.len() {
                let policy = (round + turn) % POLICIES.len();
                let seed = options.seed + round as u64;
                let slice = slice(options, &mut installation, scenario, policy, seed);
                let slice = slice.await.with_context(|| scenario.name)?;
                sums[policy].add(&slice);
            }
        }
        for (policy, sum) in POLICIES.iter().zip(&sums) {
            sum.print(scenario.name, policy);
        }
    }
    installation.stop()
}

/// One partner's retry storm beside a partner whose software sends each request once.
async fn storm(options: &Options) -> Result<()> {
    let installation = Installation::start(SMALL, &[Kind::default()], ENTRIES).await?;
    let polite = Plan {
        rate: 0.3 * CAPACITY,
        ..plan(options, 1.0, options.seed)
    };
    let stormy = Plan {
        rate: 1.2 * CAPACITY,
        tries: 10,
        patience: Duration::from_millis(250),
        ..plan(options, 1.0, options.seed + 1)
    };
    let callers = |ask| Arc::new(vec![Variant::new(installation.callers(0), ask)]);
    println!("| partner | asked | failed % | p50 ms | p99 ms | p99.9 ms | sent for each asked |");
    println!("|---|---|---|---|---|---|---|");
    let alone = load::run(polite, &callers(ask_politely)).await;
    let (polite_variants, stormy_variants) = (callers(ask_politely), callers(ask));
    let (beside, storming) = tokio::join!(
        load::run(polite, &polite_variants),
        load::run(stormy, &stormy_variants),
    );
    let rows = [
        ("polite, alone", &alone),
        ("polite, beside the storm", &beside),
        ("storming", &storming),
    ];
    for (name, outcomes) in rows {
        let outcome = &outcomes[0];
        let asked = outcome.asked.max(1) as f64;
        println!(
            "| {name} | {} | {:.3} | {} | {:.2} |",
            outcome.asked,
            100.0 * outcome.failed as f64 / asked,
            quantiles(outcome),
            outcome.sent as f64 / asked,
        );
        eprintln!("{name}: {:?}", outcome.codes);
    }
    installation.stop()
}

fn ask_politely(number: u64) -> Ask {
    let mut ask = Ask::get("catalogue", &format!("/birds/polite/{number}"));
    ask.headers
        .push(("shallotrill-partner", "polite".to_owned()));
    ask
}

/// What one policy achieved.
#[derive(Clone, Default)]
struct Sum {
    outcome: Outcome,
    started: u64,
    executed: u64,
    /// Requests that got a slot at the target with the fault.
    first: u64,
}

impl Sum {
    fn add(&mut self, other: &Self) {
        self.outcome.add(&other.outcome);
        self.started += other.started;
        self.executed += other.executed;
        self.first += other.first;
    }

    fn print(&self, scenario: &str, policy: &str) {
        let outcome = &self.outcome;
        let started = self.started.max(1) as f64;
        println!(
            "| {scenario} | {policy} | {} | {:.3} | {} | {:.2} | {:.3} | {:.3} | {:.1} |",
            outcome.asked,
            100.0 * outcome.failed as f64 / outcome.asked.max(1) as f64,
            quantiles(outcome),
            outcome.sent as f64 / outcome.asked.max(1) as f64,
            self.executed as f64 / outcome.total.max(1) as f64,
            100.0 * (self.started - self.executed) as f64 / started,
            100.0 * self.first as f64 / started,
        );
        if !outcome.codes.is_empty() {
            eprintln!("{scenario}, {policy}: {:?}", outcome.codes);
        }
    }
}

/// Runs one policy for a while under a scenario, then sets the targets back.
async fn slice(
    options: &Options,
    installation: &mut Installation,
    scenario: &Scenario,
    policy: usize,
    seed: u64,
) -> Result<Sum> {
    if scenario.restart {
        let backend = &mut installation.cluster.places[0].backend;
        backend.kill()?;
        time::sleep(Duration::from_millis(200)).await;
        backend.start()?;
        time::sleep(Duration::from_millis(300)).await;
    }
    let before = installation.counters().await?;
    let variants = Arc::new(vec![Variant::new(installation.callers(policy), ask)]);
    let plan = Plan {
        rate: scenario.load * CAPACITY,
        warm_up: Duration::from_secs(u64::from(!scenario.restart)),
        tries: scenario.tries,
        patience: scenario.patience,
        drop_after: scenario.drop_after,
        copy_after: scenario.copy_after,
        ..plan(options, 1.0, seed)
    };
    let faults = async {
        if scenario.sudden {
            time::sleep(plan.warm_up + plan.time / 2).await;
        }
        for (target, query) in scenario.faults {
            installation.steer(*target, query).await?;
        }
        anyhow::Ok(())
    };
    let (outcomes, steered) = tokio::join!(load::run(plan, &variants), faults);
    steered?;
    let after = installation.counters().await?;
    for (target, _) in scenario.faults {
        let normal = "mode=normal&service-us=10000&noise=0";
        installation.steer(*target, normal).await?;
    }
    // The targets' limits and the entry nodes' estimates recover.
    time::sleep(Duration::from_secs(1)).await;
    let outcome = outcomes.into_iter().next().context("one variant")?;
    let mut sum = Sum {
        outcome,
        ..Sum::default()
    };
    for (number, (before, after)) in before.iter().zip(&after).enumerate() {
        sum.started += after.0 - before.0;
        sum.executed += after.1 - before.1;
        if number == 0 {
            sum.first = after.0 - before.0;
        }
    }
    Ok(sum)
}
