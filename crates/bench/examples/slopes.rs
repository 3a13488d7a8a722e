//! Measures how the cost of control grows, and prints a line for each cost.
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
use shallotrill_bench::slopes::node::Node;
use shallotrill_bench::slopes::place::Places;
use shallotrill_catalog::difference::Update;
use shallotrill_control_client::feed;
use shallotrill_model::revision::Revision;
use shallotrill_rpc::link;
use shallotrill_rpc::link::Link;

/// Length of one measurement of a rate.
const SPAN: Duration = Duration::from_secs(8);

/// Longest wait until all stand-ins hold something.
const REACH_LIMIT: Duration = Duration::from_secs(20);

/// Pause between two looks at the stand-ins.
const LOOK: Duration = Duration::from_millis(2);

/// What a part needs.
struct Bench {
    program: PathBuf,
    folder: TempDir,
}

/// A name with the measurement that it stands for.
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
        run: |bench, runtime| runtime.block_on(real(bench)),
    },
];

fn main() -> Result<()> {
    let mut programs = cluster::programs()?;
    let mut wanted = Vec::new();
    let mut arguments = std::env::args().skip(1);
    while let Some(argument) = arguments.next() {
        match argument.as_str() {
            "--programs" => programs = arguments.next().unwrap_or_default().into(),
            _ => wanted.push(argument),
        }
    }
    let bench = Bench {
        program: programs.join("shallotrill"),
        folder: TempDir::new()?,
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(3)
        .enable_all()
        .build()?;
    for part in PARTS {
        if wanted.is_empty() || wanted.iter().any(|name| name == part.name) {
            println!("{}", part.name);
            (part.run)(&bench, &runtime)?;
        }
    }
    Ok(())
}

impl Bench {
    async fn fleet(&self, count: u16, voters: u16) -> Result<Fleet> {
        let ip = cluster::own_ip();
        let folder = self.folder.path().join(ip.to_string());
        std::fs::create_dir_all(&folder)?;
        let fleet = Fleet::start(&self.program, &folder, ip, count, voters).await?;
        operate::insist(&fleet.operators, "show services", REACH_LIMIT).await?;
        Ok(fleet)
    }
}

/// Makes revisions `from..=to`, each by a change of one service.
async fn create(operators: &[SocketAddr], from: usize, to: usize) -> Result<()> {
    for number in from..to {
        let name = node::service_name(number);
        let statement = format!("create service {name} with slots 10, deadline 2s");
        operate::insist(operators, &statement, REACH_LIMIT).await?;
    }
    Ok(())
}

/// Waits until `holds` is true of every stand-in; returns how long it took.
async fn reach(nodes: &[Arc<Node>], holds: impl Fn(&Node) -> bool) -> Result<Duration> {
    let began = Instant::now();
    while !nodes.iter().all(|node| holds(node)) {
        ensure!(
            began.elapsed() < REACH_LIMIT,
            "the stand-ins do not get there in {REACH_LIMIT:?}"
        );
        time::sleep(LOOK).await;
    }
    Ok(began.elapsed())
}

fn start(fleet: &Fleet, from: usize, to: usize, services: usize) -> Vec<Arc<Node>> {
    let relays = fleet.nodes.len();
    let address = |number: usize| fleet.nodes[number % relays].address;
    (from..to)
        .map(|number| Node::start(number, address(number), services))
        .collect()
}

fn set_present(nodes: &[Arc<Node>], present: bool) {
    for node in nodes {
        node.set_present(present);
    }
}

/// Memory and processor time of one control process against its services and changes.
async fn state(bench: &Bench) -> Result<()> {
    let fleet = bench.fleet(1, 1).await?;
    let mut memory = Vec::new();
    let mut work = Vec::new();
    for size in [0, 400, 800, 1_700] {
        let made = memory
            .last()
            .map_or(0, |point: &(f64, f64)| point.0 as usize);
        create(&fleet.operators, made, size).await?;
        memory.push((size as f64, fleet.resident_bytes()? as f64 / 1e3));
        work.push((size as f64, fleet.processor_time()?.as_secs_f64() * 1e3));
    }
    fit::print("resident kB", "services", &memory);
    fit::print("processor ms", "changes", &work);
    Ok(())
}

/// Processor time and memory of a control process against the nodes that it feeds, at rest.
async fn lease(bench: &Bench) -> Result<()> {
    let fleet = bench.fleet(1, 1).await?;
    let mut memory = Vec::new();
    let mut work = Vec::new();
    let mut nodes = Vec::new();
    for size in [0, 100, 250, 500] {
        nodes.extend(start(&fleet, nodes.len(), size, 1));
        time::sleep(Duration::from_secs(3)).await;
        let before = fleet.processor_time()?;
        time::sleep(SPAN).await;
        let busy = fleet.processor_time()?.saturating_sub(before);
        work.push((size as f64, busy.as_secs_f64() * 1e3 / SPAN.as_secs_f64()));
        memory.push((size as f64, fleet.resident_bytes()? as f64 / 1e3));
    }
    fit::print("processor ms/s", "nodes", &work);
    fit::print("resident kB", "nodes", &memory);
    Ok(())
}

/// Bytes of nodes at rest against their services of interest.
async fn rest(bench: &Bench) -> Result<()> {
    let fleet = bench.fleet(1, 1).await?;
    let mut points = Vec::new();
    for services in [1, 10, 100, 500, 1_700] {
        let before = fleet.node_bytes();
        let nodes = start(&fleet, 0, 1, services);
        reach(&nodes, |node| node.rows.load(Ordering::Relaxed) > 0).await?;
        time::sleep(Duration::from_secs(1)).await;
        let settled = fleet.node_bytes();
        // A whole number of pulls of 10 s.
        time::sleep(Duration::from_secs(20)).await;
        println!("  first bytes {}", settled - before);
        points.push((
            services as f64,
            (fleet.node_bytes() - settled) as f64 / 20.0,
        ));
        fleet.nodes[0].cut();
        drop(nodes);
    }
    // Earlier stand-ins go on; the differences of neighbours are the bytes of one node each.
    fit::print("bytes/s of all so far", "services", &points);
    Ok(())
}

/// Bytes and processor time for each change against the nodes that are fed.
async fn changes(bench: &Bench) -> Result<()> {
    let fleet = bench.fleet(1, 1).await?;
    let mut bytes = Vec::new();
    let mut work = Vec::new();
    let mut nodes = Vec::new();
    let mut made = 0;
    for size in [50, 150, 300] {
        nodes.extend(start(&fleet, nodes.len(), size, 10));
        time::sleep(Duration::from_secs(3)).await;
        for gap in [
            Duration::from_millis(1_149),
            Duration::from_millis(287),
            Duration::from_millis(72),
        ] {
            let (sent, busy) = (fleet.node_bytes(), fleet.processor_time()?);
            let began = Instant::now();
            let first = made;
            while began.elapsed() < SPAN {
                create(&fleet.operators, made, made + 1).await?;
                made += 1;
                time::sleep(gap).await;
            }
            let seconds = began.elapsed().as_secs_f64();
            let rate = (made - first) as f64 / seconds;
            let sent = (fleet.node_bytes() - sent) as f64 / seconds / size as f64;
            let busy = (fleet.processor_time()?.saturating_sub(busy)).as_secs_f64() * 1e3 / seconds;
            println!(
                "  nodes {size:>4} changes/s {rate:>6.2}: {sent:>8.0} B/s a node, control {busy:>7.1} ms/s"
            );
            if size == 300 {
                bytes.push((rate, sent));
                work.push((rate, busy));
            }
        }
    }
    fit::print("bytes/s of a node", "changes/s", &bytes);
    fit::print("processor ms/s for 300 nodes", "changes/s", &work);
    Ok(())
}

/// Bytes and processor time when targets leave and return together.
async fn burst(bench: &Bench) -> Result<()> {
    for services in [1, 10, 40] {
        let fleet = bench.fleet(1, 1).await?;
        let mut bytes = Vec::new();
        let mut work = Vec::new();
        let nodes = start(&fleet, 0, 400, services);
        reach(&nodes, |node| {
            node.rows.load(Ordering::Relaxed) >= (13 * services.min(30)) as u64
        })
        .await?;
        time::sleep(Duration::from_secs(2)).await;
        for size in [40, 120, 360] {
            let (sent, busy) = (fleet.node_bytes(), fleet.processor_time()?);
            let moving = &nodes[..size];
            set_present(moving, false);
            time::sleep(Duration::from_secs(2)).await;
            set_present(moving, true);
            time::sleep(Duration::from_secs(2)).await;
            bytes.push((size as f64, (fleet.node_bytes() - sent) as f64 / 400.0));
            work.push((
                size as f64,
                (fleet.processor_time()?.saturating_sub(busy)).as_secs_f64() * 1e3,
            ));
        }
        println!("  400 nodes, services of interest {services}");
        fit::print("bytes of a node", "targets", &bytes);
        fit::print("processor ms of control", "targets", &work);
    }
    Ok(())
}

/// Bytes and time of a returning node against the changes that it missed.
async fn catchup(bench: &Bench) -> Result<()> {
    let fleet = bench.fleet(1, 1).await?;
    create(&fleet.operators, 0, 1_700).await?;
    let head = operate::revision(&fleet.operators).await?;
    let mut points = Vec::new();
    for missed in [100, 400, 1_600, head] {
        let link = Link::new(fleet.nodes[0].address, link::Config::default());
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
        let began = Instant::now();
        let reply: feed::Reply = link.call(feed::METHOD, &ask, REACH_LIMIT).await?;
        let took = began.elapsed().as_secs_f64() * 1e3;
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

/// Time from accepted to in force against the nodes that are fed, and when all return at once.
async fn force(bench: &Bench) -> Result<()> {
    let fleet = bench.fleet(1, 1).await?;
    let mut times = Vec::new();
    let mut returns = Vec::new();
    let mut nodes = Vec::new();
    let mut made = 0;
    for size in [100, 250, 500] {
        nodes.extend(start(&fleet, nodes.len(), size, 10));
        time::sleep(Duration::from_secs(3)).await;
        let mut longest = Duration::ZERO;
        for _ in 0..5 {
            create(&fleet.operators, made, made + 1).await?;
            made += 1;
            let revision = operate::revision(&fleet.operators).await?;
            let took = reach(&nodes, |node| {
                node.revision.load(Ordering::Relaxed) >= revision
            })
            .await?;
            longest = longest.max(took);
        }
        times.push((size as f64, longest.as_secs_f64() * 1e3));
        fleet.nodes[0].cut();
        let began = Instant::now();
        create(&fleet.operators, made, made + 1).await?;
        made += 1;
        let revision = operate::revision(&fleet.operators).await?;
        reach(&nodes, |node| {
            node.revision.load(Ordering::Relaxed) >= revision
        })
        .await?;
        returns.push((size as f64, began.elapsed().as_secs_f64() * 1e3));
    }
    fit::print("longest ms of 5", "nodes", &times);
    fit::print("ms after all connections were lost", "nodes", &returns);
    Ok(())
}

/// Bytes and processor time of the exchange between control processes, against their number and their nodes.
async fn exchange(bench: &Bench) -> Result<()> {
    for count in [3_u16, 6, 12] {
        let fleet = bench.fleet(count, 3).await?;
        let pairs = f64::from(count) * f64::from(count - 1);
        let mut nodes = Vec::new();
        let mut bytes = Vec::new();
        let mut work = Vec::new();
        let mut moved = Vec::new();
        for size in [0, 120, 360] {
            nodes.extend(start(&fleet, nodes.len(), size, 1));
            time::sleep(Duration::from_secs(3)).await;
            let (sent, busy) = (fleet.peer_bytes(), fleet.processor_time()?);
            time::sleep(SPAN).await;
            let seconds = SPAN.as_secs_f64();
            bytes.push((
                size as f64,
                (fleet.peer_bytes() - sent) as f64 / seconds / pairs,
            ));
            let busy = (fleet.processor_time()?.saturating_sub(busy)).as_secs_f64() * 1e3;
            work.push((size as f64, busy / seconds / f64::from(count)));
            let sent = fleet.peer_bytes();
            set_present(&nodes, false);
            time::sleep(Duration::from_secs(2)).await;
            set_present(&nodes, true);
            time::sleep(Duration::from_secs(2)).await;
            let rest = bytes.last().map_or(0.0, |point: &(f64, f64)| point.1) * 4.0;
            moved.push((
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
            &moved,
        );
    }
    Ok(())
}

/// Bytes between control processes and processor time for each change, against their number.
async fn log(bench: &Bench) -> Result<()> {
    let mut bytes = Vec::new();
    let mut work = Vec::new();
    for count in [3_u16, 6, 12, 24] {
        let fleet = bench.fleet(count, 3).await?;
        time::sleep(Duration::from_secs(5)).await;
        let members = operate::run(&fleet.operators, "show members").await?;
        let holding = members.rows.len();
        println!("  {holding} of {count} hold the log");
        let (sent, busy) = (fleet.peer_bytes(), fleet.processor_time()?);
        time::sleep(Duration::from_secs(4)).await;
        let (rest, idle) = (
            fleet.peer_bytes() - sent,
            fleet.processor_time()?.saturating_sub(busy),
        );
        let (sent, busy) = (fleet.peer_bytes(), fleet.processor_time()?);
        let began = Instant::now();
        create(&fleet.operators[..1], 0, 200).await?;
        let share = began.elapsed().as_secs_f64() / 4.0;
        let sent = (fleet.peer_bytes() - sent) as f64 - rest as f64 * share;
        let busy = (fleet.processor_time()?.saturating_sub(busy)).as_secs_f64()
            - idle.as_secs_f64() * share;
        bytes.push((f64::from(count), sent / 200.0));
        work.push((f64::from(count), busy * 1e3 / 200.0));
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

/// Processor time and memory of real nodes against the rate of changes, with all services configured.
async fn real(bench: &Bench) -> Result<()> {
    let fleet = bench.fleet(1, 1).await?;
    create(&fleet.operators, 0, 1_700).await?;
    let mut made = 1_700;
    let ip = cluster::own_ip();
    let control = fleet.nodes[0].address;
    let places = Places::start(&bench.program, bench.folder.path(), ip, control, 10)?;
    time::sleep(Duration::from_secs(5)).await;
    let mut points = Vec::new();
    for gap_ms in [u64::MAX, 1_149, 287, 72] {
        let (first, busy, began) = (made, places.processor_time()?, Instant::now());
        while began.elapsed() < SPAN * 2 {
            if gap_ms == u64::MAX {
                time::sleep(SPAN * 2).await;
                continue;
            }
            create(&fleet.operators, made, made + 1).await?;
            made += 1;
            time::sleep(Duration::from_millis(gap_ms)).await;
        }
        let seconds = began.elapsed().as_secs_f64();
        let busy = places.processor_time()?.saturating_sub(busy).as_secs_f64();
        points.push(((made - first) as f64 / seconds, busy * 1e3 / seconds / 10.0));
        println!("  largest resident {} kB", places.resident_bytes()? / 1_000);
    }
    fit::print("processor ms/s of a node", "changes/s", &points);
    Ok(())
}
