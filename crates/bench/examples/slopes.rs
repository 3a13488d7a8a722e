//! Measures how the cost of control processes grows with the size of an installation, and prints a fitted line for each cost.
//!
//! `cargo run --release -p shallotrill-bench --example slopes -- [--programs DIR] [PART...]`
//!
//! Parts: state, lease, rest, changes, burst, catchup, force, exchange, log, node.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use anyhow::Result;
use anyhow::ensure;
use tempfile::TempDir;
use tokio::time;

use shallotrill_bench::cluster;
use shallotrill_bench::operate;
use shallotrill_bench::slopes::fit;
use shallotrill_bench::slopes::fleet::Fleet;
use shallotrill_bench::slopes::node;
use shallotrill_bench::slopes::node::StandInNode;
use shallotrill_bench::slopes::node_process::NodeProcesses;
use shallotrill_catalog::difference::Update;
use shallotrill_control_client::feed;
use shallotrill_model::revision::Revision;
use shallotrill_rpc::link;
use shallotrill_rpc::link::Link;

/// Length of one rate measurement.
const MEASUREMENT_PERIOD: Duration = Duration::from_secs(8);

/// Time limit until all stand-ins meet a condition, or a statement succeeds.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval at which the stand-ins are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Program and folder that the measurements use.
struct Bench {
    program: PathBuf,
    folder: TempDir,
}

/// A measurement with its name on the command line.
struct Part {
    name: &'static str,
    run: fn(&Bench, &tokio::runtime::Runtime) -> Result<()>,
}

const PARTS: &[Part] = &[
    Part {
        name: "state",
        run: |bench, runtime| runtime.block_on(state(bench)),
    },
    Part {
        name: "lease",
        run: |bench, runtime| runtime.block_on(lease(bench)),
    },
    Part {
        name: "rest",
        run: |bench, runtime| runtime.block_on(rest(bench)),
    },
    Part {
        name: "changes",
        run: |bench, runtime| runtime.block_on(changes(bench)),
    },
    Part {
        name: "burst",
        run: |bench, runtime| runtime.block_on(burst(bench)),
    },
    Part {
        name: "catchup",
        run: |bench, runtime| runtime.block_on(catchup(bench)),
    },
    Part {
        name: "force",
        run: |bench, runtime| runtime.block_on(force(bench)),
    },
    Part {
        name: "exchange",
        run: |bench, runtime| runtime.block_on(exchange(bench)),
    },
    Part {
        name: "log",
        run: |bench, runtime| runtime.block_on(log(bench)),
    },
    Part {
        name: "node",
        run: |bench, runtime| runtime.block_on(real_nodes(bench)),
    },
];

fn main() -> Result<()> {
    let mut program_folder = cluster::program_folder()?;
    let mut selected = Vec::new();
    let mut arguments = std::env::args().skip(1);
    while let Some(argument) = arguments.next() {
        match argument.as_str() {
            "--programs" => program_folder = arguments.next().unwrap_or_default().into(),
            _ => selected.push(argument),
        }
    }
    let bench = Bench {
        program: program_folder.join("shallotrill"),
        folder: TempDir::new()?,
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(3)
        .enable_all()
        .build()?;
    for part in PARTS {
        if selected.is_empty() || selected.iter().any(|name| name == part.name) {
            println!("{}", part.name);
            (part.run)(&bench, &runtime)?;
        }
    }
    Ok(())
}

impl Bench {
    async fn fleet(&self, count: u16, voters: u16) -> Result<Fleet> {
        let ip = cluster::reserve_ip()?;
        let folder = self.folder.path().join(ip.to_string());
        std::fs::create_dir_all(&folder)?;
        let fleet = Fleet::start(&self.program, &folder, ip, count, voters).await?;
        operate::run_with_retries(&fleet.operators, "show services", WAIT_TIMEOUT).await?;
        Ok(fleet)
    }
}

/// Creates the services `from..to`, each as a separate revision.
async fn create_services(operators: &[SocketAddr], from: usize, to: usize) -> Result<()> {
    for number in from..to {
        let name = node::service_name(number);
        let statement = format!("create service {name} with slots 10, deadline 2s");
        operate::run_with_retries(operators, &statement, WAIT_TIMEOUT).await?;
    }
    Ok(())
}

/// Waits until every stand-in meets the condition; returns how long that took.
async fn wait_for_all(
    nodes: &[Arc<StandInNode>],
    condition: impl Fn(&StandInNode) -> bool,
) -> Result<Duration> {
    let started = Instant::now();
    while !nodes.iter().all(|node| condition(node)) {
        ensure!(
            started.elapsed() < WAIT_TIMEOUT,
            "not all stand-ins met the condition within {WAIT_TIMEOUT:?}"
        );
        time::sleep(POLL_INTERVAL).await;
    }
    Ok(started.elapsed())
}

fn start(fleet: &Fleet, from: usize, to: usize, services: usize) -> Vec<Arc<StandInNode>> {
    let relays = fleet.node_relays.len();
    let address = |number: usize| fleet.node_relays[number % relays].address;
    (from..to)
        .map(|number| StandInNode::start(number, address(number), services))
        .collect()
}

fn set_present(nodes: &[Arc<StandInNode>], present: bool) {
    for node in nodes {
        node.set_present(present);
    }
}

/// Memory and processor time of one control process, by number of services and changes.
async fn state(bench: &Bench) -> Result<()> {
    let fleet = bench.fleet(1, 1).await?;
    let mut memory = Vec::new();
    let mut work = Vec::new();
    for size in [0, 400, 800, 1_700] {
        let created = memory
            .last()
            .map_or(0, |point: &(f64, f64)| point.0 as usize);
        create_services(&fleet.operators, created, size).await?;
        memory.push((size as f64, fleet.resident_bytes()? as f64 / 1e3));
        work.push((size as f64, fleet.processor_time()?.as_secs_f64() * 1e3));
    }
    fit::print("resident kB", "services", &memory);
    fit::print("processor ms", "changes", &work);
    Ok(())
}

/// Processor time and memory of a control process without changes, by number of nodes that it feeds.
async fn lease(bench: &Bench) -> Result<()> {
    let fleet = bench.fleet(1, 1).await?;
    let mut memory = Vec::new();
    let mut work = Vec::new();
    let mut nodes = Vec::new();
    for size in [0, 100, 250, 500] {
        nodes.extend(start(&fleet, nodes.len(), size, 1));
        time::sleep(Duration::from_secs(3)).await;
        let before = fleet.processor_time()?;
        time::sleep(MEASUREMENT_PERIOD).await;
        let processor_time = fleet.processor_time()?.saturating_sub(before);
        work.push((
            size as f64,
            processor_time.as_secs_f64() * 1e3 / MEASUREMENT_PERIOD.as_secs_f64(),
        ));
        memory.push((size as f64, fleet.resident_bytes()? as f64 / 1e3));
    }
    fit::print("processor ms/s", "nodes", &work);
    fit::print("resident kB", "nodes", &memory);
    Ok(())
}

/// Bytes per second of a node without changes, by number of services of interest.
async fn rest(bench: &Bench) -> Result<()> {
    let fleet = bench.fleet(1, 1).await?;
    let mut points = Vec::new();
    for services in [1, 10, 100, 500, 1_700] {
        let before = fleet.node_bytes();
        let nodes = start(&fleet, 0, 1, services);
        wait_for_all(&nodes, |node| node.target_count.load(Ordering::Relaxed) > 0).await?;
        time::sleep(Duration::from_secs(1)).await;
        let settled = fleet.node_bytes();
        // A multiple of the pull time of 10 s.
        time::sleep(Duration::from_secs(20)).await;
        println!("  first bytes {}", settled - before);
        points.push((
            services as f64,
            (fleet.node_bytes() - settled) as f64 / 20.0,
        ));
        fleet.node_relays[0].close_connections();
        drop(nodes);
    }
    // Earlier stand-ins keep running, so each difference between two points is the traffic of one node.
    fit::print("bytes/s of all so far", "services", &points);
    Ok(())
}

/// Bytes and processor time per change, by rate of changes and number of nodes that are fed.
async fn changes(bench: &Bench) -> Result<()> {
    let fleet = bench.fleet(1, 1).await?;
    let mut bytes = Vec::new();
    let mut work = Vec::new();
    let mut nodes = Vec::new();
    let mut created = 0;
    for size in [50, 150, 300] {
        nodes.extend(start(&fleet, nodes.len(), size, 10));
        time::sleep(Duration::from_secs(3)).await;
        for interval in [
            Duration::from_millis(1_149),
            Duration::from_millis(287),
            Duration::from_millis(72),
        ] {
            let (sent, processor_time) = (fleet.node_bytes(), fleet.processor_time()?);
            let started = Instant::now();
            let first = created;
            while started.elapsed() < MEASUREMENT_PERIOD {
                create_services(&fleet.operators, created, created + 1).await?;
                created += 1;
                time::sleep(interval).await;
            }
            let seconds = started.elapsed().as_secs_f64();
            let rate = (created - first) as f64 / seconds;
            let sent = (fleet.node_bytes() - sent) as f64 / seconds / size as f64;
            let processor_time =
                (fleet.processor_time()?.saturating_sub(processor_time)).as_secs_f64() * 1e3
                    / seconds;
            println!(
                "  nodes {size:>4} changes/s {rate:>6.2}: {sent:>8.0} B/s a node, control {processor_time:>7.1} ms/s"
            );
            if size == 300 {
                bytes.push((rate, sent));
                work.push((rate, processor_time));
            }
        }
    }
    fit::print("bytes/s of a node", "changes/s", &bytes);
    fit::print("processor ms/s for 300 nodes", "changes/s", &work);
    Ok(())
}

/// Bytes and processor time when many targets leave and return at once.
async fn burst(bench: &Bench) -> Result<()> {
    for services in [1, 10, 40] {
        let fleet = bench.fleet(1, 1).await?;
        let mut bytes = Vec::new();
        let mut work = Vec::new();
        let nodes = start(&fleet, 0, 400, services);
        wait_for_all(&nodes, |node| {
            node.target_count.load(Ordering::Relaxed) >= (13 * services.min(30)) as u64
        })
        .await?;
        time::sleep(Duration::from_secs(2)).await;
        for size in [40, 120, 360] {
            let (sent, processor_time) = (fleet.node_bytes(), fleet.processor_time()?);
            let moving = &nodes[..size];
            set_present(moving, false);
            time::sleep(Duration::from_secs(2)).await;
            set_present(moving, true);
            time::sleep(Duration::from_secs(2)).await;
            bytes.push((size as f64, (fleet.node_bytes() - sent) as f64 / 400.0));
            work.push((
                size as f64,
                (fleet.processor_time()?.saturating_sub(processor_time)).as_secs_f64() * 1e3,
            ));
        }
        println!("  400 nodes, services of interest {services}");
        fit::print("bytes of a node", "targets", &bytes);
        fit::print("processor ms of control", "targets", &work);
    }
    Ok(())
}

/// Bytes and time for a returning node to catch up, by number of changes that it missed.
async fn catchup(bench: &Bench) -> Result<()> {
    let fleet = bench.fleet(1, 1).await?;
    create_services(&fleet.operators, 0, 1_700).await?;
    let head = operate::revision(&fleet.operators).await?;
    let mut points = Vec::new();
    for missed in [100, 400, 1_600, head] {
        let link = Link::new(fleet.node_relays[0].address, link::Config::default());
        let ask = feed::Request {
            instance: node::announcement(0, 1).target.instance,
            revision: Revision(head - missed),
            membership: None,
            interest: Vec::new(),
            new_services: Vec::new(),
            crashes_version: 0,
            wait_ms: 0,
        };
        let sent = fleet.node_bytes();
        let started = Instant::now();
        let reply: feed::Reply = link.call(feed::METHOD, &ask, WAIT_TIMEOUT).await?;
        let took = started.elapsed().as_secs_f64() * 1e3;
        let sent = fleet.node_bytes() - sent;
        let form = match reply.update {
            Some(Update::Difference(_)) => "difference",
            Some(Update::Snapshot(_)) => "snapshot",
            Some(Update::Behind(_)) | None => "nothing",
        };
        println!("  missed {missed}: {form}, {took:.1} ms");
        points.push((missed as f64, sent as f64));
    }
    fit::print("bytes", "changes", &points);
    Ok(())
}

/// Time until a change is in force, by number of nodes that are fed, also when all nodes reconnect at once.
async fn force(bench: &Bench) -> Result<()> {
    let fleet = bench.fleet(1, 1).await?;
    let mut times = Vec::new();
    let mut returns = Vec::new();
    let mut nodes = Vec::new();
    let mut created = 0;
    for size in [100, 250, 500] {
        nodes.extend(start(&fleet, nodes.len(), size, 10));
        time::sleep(Duration::from_secs(3)).await;
        let mut longest = Duration::ZERO;
        for _ in 0..5 {
            create_services(&fleet.operators, created, created + 1).await?;
            created += 1;
            let revision = operate::revision(&fleet.operators).await?;
            let took = wait_for_all(&nodes, |node| {
                node.revision.load(Ordering::Relaxed) >= revision
            })
            .await?;
            longest = longest.max(took);
        }
        times.push((size as f64, longest.as_secs_f64() * 1e3));
        fleet.node_relays[0].close_connections();
        let started = Instant::now();
        create_services(&fleet.operators, created, created + 1).await?;
        created += 1;
        let revision = operate::revision(&fleet.operators).await?;
        wait_for_all(&nodes, |node| {
            node.revision.load(Ordering::Relaxed) >= revision
        })
        .await?;
        returns.push((size as f64, started.elapsed().as_secs_f64() * 1e3));
    }
    fit::print("longest ms of 5", "nodes", &times);
    fit::print("ms after all connections were lost", "nodes", &returns);
    Ok(())
}

/// Bytes and processor time of the exchange between control processes, by number of control processes and of nodes.
async fn exchange(bench: &Bench) -> Result<()> {
    for count in [3_u16, 6, 12] {
        let fleet = bench.fleet(count, 3).await?;
        let pairs = f64::from(count) * f64::from(count - 1);
        let mut nodes = Vec::new();
        let mut bytes = Vec::new();
        let mut work = Vec::new();
        let mut burst_bytes = Vec::new();
        for size in [0, 120, 360] {
            nodes.extend(start(&fleet, nodes.len(), size, 1));
            time::sleep(Duration::from_secs(3)).await;
            let (sent, processor_time) = (fleet.peer_bytes(), fleet.processor_time()?);
            time::sleep(MEASUREMENT_PERIOD).await;
            let seconds = MEASUREMENT_PERIOD.as_secs_f64();
            bytes.push((
                size as f64,
                (fleet.peer_bytes() - sent) as f64 / seconds / pairs,
            ));
            let processor_time =
                (fleet.processor_time()?.saturating_sub(processor_time)).as_secs_f64() * 1e3;
            work.push((size as f64, processor_time / seconds / f64::from(count)));
            let sent = fleet.peer_bytes();
            set_present(&nodes, false);
            time::sleep(Duration::from_secs(2)).await;
            set_present(&nodes, true);
            time::sleep(Duration::from_secs(2)).await;
            let rest = bytes.last().map_or(0.0, |point: &(f64, f64)| point.1) * 4.0;
            burst_bytes.push((
                size as f64,
                (fleet.peer_bytes() - sent) as f64 / pairs - rest,
            ));
        }
        println!("  {count} control processes");
        fit::print("bytes/s of a pair at rest", "nodes of all", &bytes);
        fit::print("processor ms/s of a control process", "nodes of all", &work);
        fit::print(
            "bytes of a pair for a burst",
            "targets leaving and returning",
            &burst_bytes,
        );
    }
    Ok(())
}

/// Bytes between control processes and processor time per change, by number of control processes.
async fn log(bench: &Bench) -> Result<()> {
    let mut bytes = Vec::new();
    let mut work = Vec::new();
    for count in [3_u16, 6, 12, 24] {
        let fleet = bench.fleet(count, 3).await?;
        time::sleep(Duration::from_secs(5)).await;
        let members = operate::run(&fleet.operators, "show members").await?;
        let members_with_log = members.rows.len();
        println!("  {members_with_log} of {count} control processes replicate the log");
        let (sent, processor_time) = (fleet.peer_bytes(), fleet.processor_time()?);
        time::sleep(Duration::from_secs(4)).await;
        let (rest, idle) = (
            fleet.peer_bytes() - sent,
            fleet.processor_time()?.saturating_sub(processor_time),
        );
        let (sent, processor_time) = (fleet.peer_bytes(), fleet.processor_time()?);
        let started = Instant::now();
        create_services(&fleet.operators[..1], 0, 200).await?;
        let share = started.elapsed().as_secs_f64() / 4.0;
        let sent = (fleet.peer_bytes() - sent) as f64 - rest as f64 * share;
        let processor_time = (fleet.processor_time()?.saturating_sub(processor_time)).as_secs_f64()
            - idle.as_secs_f64() * share;
        bytes.push((f64::from(count), sent / 200.0));
        work.push((f64::from(count), processor_time * 1e3 / 200.0));
        println!(
            "  {count} control processes: at rest {} B/s, {:.1} ms/s in all",
            rest / 4,
            idle.as_secs_f64() * 250.0
        );
    }
    fit::print("bytes of a change", "control processes", &bytes);
    fit::print(
        "processor ms of a change in all",
        "control processes",
        &work,
    );
    Ok(())
}

/// Processor time and memory of real nodes with all services configured, by rate of changes.
async fn real_nodes(bench: &Bench) -> Result<()> {
    let fleet = bench.fleet(1, 1).await?;
    create_services(&fleet.operators, 0, 1_700).await?;
    let mut created = 1_700;
    let ip = cluster::reserve_ip()?;
    let control = fleet.node_relays[0].address;
    let processes = NodeProcesses::start(&bench.program, bench.folder.path(), ip, control, 10)?;
    time::sleep(Duration::from_secs(5)).await;
    let mut points = Vec::new();
    for gap_ms in [u64::MAX, 1_149, 287, 72] {
        let (first, processor_time, started) =
            (created, processes.processor_time()?, Instant::now());
        while started.elapsed() < MEASUREMENT_PERIOD * 2 {
            if gap_ms == u64::MAX {
                time::sleep(MEASUREMENT_PERIOD * 2).await;
                continue;
            }
            create_services(&fleet.operators, created, created + 1).await?;
            created += 1;
            time::sleep(Duration::from_millis(gap_ms)).await;
        }
        let seconds = started.elapsed().as_secs_f64();
        let processor_time = processes
            .processor_time()?
            .saturating_sub(processor_time)
            .as_secs_f64();
        points.push((
            (created - first) as f64 / seconds,
            processor_time * 1e3 / seconds / 10.0,
        ));
        println!(
            "  largest resident {} kB",
            processes.resident_bytes()? / 1_000
        );
    }
    fit::print("processor ms/s of a node", "changes/s", &points);
    Ok(())
}
