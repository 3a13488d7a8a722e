//! Measures the cost of a claim, and of the alternative designs that were not built.
//!
//! Three control processes run inside this process. Each has separate named
//! threads, a journal and a data folder, so that the processor time of each can
//! be distinguished.

use std::fs;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use anyhow::Context;
use anyhow::Result;
use anyhow::bail;
use hdrhistogram::Histogram;
use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt;
use serde_json::Value;
use tokio::runtime::Builder;

use shallotrill_bench::cluster;
use shallotrill_bench::group;
use shallotrill_bench::group::Group;
use shallotrill_bench::http;
use shallotrill_bench::http::Request as HttpRequest;
use shallotrill_catalog::action::Action;
use shallotrill_catalog::command::Command;
use shallotrill_claim::ballot::Ballot;
use shallotrill_claim::change::Change;
use shallotrill_claim::change::Holder;
use shallotrill_claim::epoch::Member;
use shallotrill_claim::epoch::Number;
use shallotrill_claim::grant;
use shallotrill_claim::key::IdempotencyKey;
use shallotrill_claim::key::Key;
use shallotrill_claim::message::Message;
use shallotrill_claim::message::Reply;
use shallotrill_claim::proposer::Task;
use shallotrill_claim::record::Record;
use shallotrill_control_client::claim;
use shallotrill_model::attempt;
use shallotrill_model::command;
use shallotrill_model::digest::Digest;
use shallotrill_model::incarnation::Incarnation;
use shallotrill_model::outcome::Answer;
use shallotrill_model::time::Wall;
use shallotrill_replica::claims;
use shallotrill_replica::forward;
use shallotrill_rpc::link;
use shallotrill_rpc::link::Link;

const HELP: &str = "\
Measures claims: a grant (open) and the record of an answer (finish) count as one.

Usage: claims [--way register|log|lease] [--delay-us N] [--askers N] [--seconds N] [--folder FOLDER]

--way       register (as built), log (the same two changes through the replicated log),
            lease (owner and one replica sync in parallel, one hop)
--delay-us  one-way delay between the control processes (0)
--askers    concurrent claims at each control process (1)
--folder    folder for the journals, on the disk to measure (target/claims)
";

/// Size of the response body that a finish records.
const ANSWER_BYTES: usize = 200;

/// Time limit for one request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Period before the measurement, in which connections are opened and the first journal segments are created.
const WARM_UP: Duration = Duration::from_secs(2);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Design {
    Register,
    Log,
    Lease,
}

#[derive(Clone, Debug)]
struct Options {
    design: Design,
    delay: Duration,
    askers: usize,
    time: Duration,
    folder: String,
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("claims: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn parse_options() -> Result<Option<Options>> {
    let mut options = Options {
        design: Design::Register,
        delay: Duration::ZERO,
        askers: 1,
        time: Duration::from_secs(5),
        folder: "target/claims".to_owned(),
    };
    let mut parser = Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("way") => {
                options.design = match parser.value()?.string()?.as_str() {
                    "register" => Design::Register,
                    "log" => Design::Log,
                    "lease" => Design::Lease,
                    other => bail!("unknown --way '{other}': expected register, log or lease"),
                }
            }
            Arg::Long("delay-us") => {
                options.delay = Duration::from_micros(parser.value()?.parse()?);
            }
            Arg::Long("askers") => options.askers = parser.value()?.parse()?,
            Arg::Long("seconds") => options.time = Duration::from_secs(parser.value()?.parse()?),
            Arg::Long("folder") => options.folder = parser.value()?.string()?,
            Arg::Long("help") => return Ok(None),
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(Some(options))
}

fn run() -> Result<()> {
    let Some(options) = parse_options()? else {
        print!("{HELP}");
        return Ok(());
    };
    let runtime = Builder::new_multi_thread()
        .worker_threads(4)
        .thread_name("asker")
        .enable_all()
        .build()?;
    runtime.block_on(measure(options))
}

async fn measure(options: Options) -> Result<()> {
    fs::create_dir_all(&options.folder)?;
    let folder = tempfile::tempdir_in(&options.folder)?;
    let group = Group::start(cluster::reserve_ip()?, folder.path(), 3, options.delay).await?;
    let group = Arc::new(group);
    ready(&group).await?;
    let leader = leader(&group).await?;
    let warm_up = Options {
        time: WARM_UP,
        ..options.clone()
    };
    run_claims(&group, &warm_up, leader).await?;
    let before = Counters::read(&group).await?;
    let (count, latencies) = run_claims(&group, &options, leader).await?;
    let after = Counters::read(&group).await?;
    report(&options, count, &latencies, &before, &after);
    Ok(())
}

async fn ready(group: &Group) -> Result<()> {
    let end = Instant::now() + Duration::from_secs(30);
    for index in 0..3 {
        while !claim(group.link(index), &new_key()).await.unwrap_or(false) {
            if Instant::now() >= end {
                bail!("control process with index {index} granted no claim within 30 s");
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
    Ok(())
}

/// Runs claims at the control processes, with `askers` tasks at each; returns their number and latencies in microseconds.
async fn run_claims(
    group: &Arc<Group>,
    options: &Options,
    leader: usize,
) -> Result<(u64, Histogram<u64>)> {
    let end = Instant::now() + options.time;
    let mut tasks = Vec::new();
    for index in 0..3 {
        if options.design != Design::Register && index != leader {
            continue;
        }
        for _ in 0..options.askers {
            let group = Arc::clone(group);
            let design = options.design;
            let claiming = async move { run_claims_until(&group, index, design, end).await };
            tasks.push(tokio::spawn(claiming));
        }
    }
    let mut latencies = Histogram::new(3)?;
    for task in tasks {
        latencies.add(task.await??)?;
    }
    Ok((latencies.len(), latencies))
}

async fn run_claims_until(
    group: &Group,
    index: usize,
    design: Design,
    end: Instant,
) -> Result<Histogram<u64>> {
    let mut latencies = Histogram::new(3)?;
    let replica = group
        .address_from(index, (index + 1) % 3)
        .context("no proxy between the owner and its replica")?;
    // The owner's connection to its replica; a connection for each task costs no more than a shared one.
    let replica = Link::new(replica, link::Config::default());
    while Instant::now() < end {
        let started = Instant::now();
        let granted = match design {
            Design::Register => claim(group.link(index), &new_key()).await?,
            Design::Log => log(group.link(index)).await?,
            Design::Lease => lease(group.link(index), &replica, &new_key()).await?,
        };
        if granted {
            latencies.record(started.elapsed().as_micros() as u64)?;
        }
    }
    Ok(latencies)
}

fn new_key() -> Key {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let low = u128::from(rand::random::<u64>() >> 2);
    let id = IdempotencyKey::new(now.as_millis() << 80 | 7 << 76 | 2 << 62 | low);
    Key {
        id: id.expect("version and variant are set"),
        partner: "partner-name".try_into().expect("the name is valid"),
        service: "payments".try_into().expect("the name is valid"),
    }
}

fn changes() -> [Change; 2] {
    let holder = Holder {
        instance: "hamilton-payments-1".try_into().expect("the name is valid"),
        incarnation: Incarnation(1_700_000_000_000_000),
    };
    let attempt = attempt::Number(1);
    let open = Change::Open {
        digest: Digest([7; 32]),
        attempt,
        holder: holder.clone(),
        grant: grant::Id(rand::random()),
    };
    let answer = Answer {
        status: 201,
        content_type: "application/json".to_owned(),
        body: Some(vec![b'x'; ANSWER_BYTES]),
        digest: Digest([9; 32]),
    };
    let finish = Change::Finish {
        attempt,
        holder,
        answer,
    };
    [open, finish]
}

/// Runs a claim at the register of a majority, as a node requests it.
async fn claim(link: &Link, key: &Key) -> Result<bool> {
    for change in changes() {
        let ask = claim::Request {
            region: group::region(),
            key: key.clone(),
            task: Task::Change(change),
        };
        let reply: claim::Reply = link.call(claim::METHOD, &ask, REQUEST_TIMEOUT).await?;
        if reply.is_err() {
            return Ok(false);
        }
    }
    Ok(true)
}

/// Appends two entries to the replicated log, as long as the two records.
async fn log(link: &Link) -> Result<bool> {
    for bytes in [120, 120 + ANSWER_BYTES] {
        let command = Command {
            id: command::Id(rand::random()),
            base: None,
            operator: Arc::from("x".repeat(bytes)),
            at: Wall(0),
            action: Action::Undrain {
                instance: "never-drained".try_into().expect("the name is valid"),
            },
        };
        let ask = forward::Request::Command(command);
        let reply: forward::Reply = link.call(forward::METHOD, &ask, REQUEST_TIMEOUT).await?;
        if reply.is_err() {
            return Ok(false);
        }
    }
    Ok(true)
}

/// Writes two records that the owner and one replica sync in parallel.
async fn lease(owner: &Link, replica: &Link, key: &Key) -> Result<bool> {
    let mut record = None;
    for (counter, change) in changes().into_iter().enumerate() {
        record = Record::apply(record.as_ref(), &change).record;
        let message = Message::Accept {
            key: key.clone(),
            ballot: Ballot {
                epoch: Number(1),
                counter: counter as u64 + 1,
                member: Member(1),
                start: 1,
            },
            record: record
                .clone()
                .context("the change was not applied to the record")?,
        };
        let ask = claims::Request {
            messages: vec![message],
        };
        let (owner_accepted, replica_accepted) =
            tokio::join!(send_accept(owner, &ask), send_accept(replica, &ask));
        if !(owner_accepted? && replica_accepted?) {
            return Ok(false);
        }
    }
    Ok(true)
}

async fn send_accept(link: &Link, ask: &claims::Request) -> Result<bool> {
    let answer: claims::Response = link.call(claims::METHOD, ask, REQUEST_TIMEOUT).await?;
    Ok(answer.replies == [Some(Reply::Accepted)])
}

/// Counters that are read before and after the measurement.
struct Counters {
    /// Processor time in seconds, by thread name.
    processor_times: Vec<(String, f64)>,
    journal: [u64; 3],
    registers: u64,
    memory_bytes: u64,
    wire_bytes: u64,
    read_at: Instant,
}

impl Counters {
    async fn read(group: &Group) -> Result<Self> {
        let mut journal = [0; 3];
        let mut registers = 0;
        let mut memory_bytes = 0;
        for address in group.operators() {
            let state = state(address).await?;
            let claims = &state["claims"];
            let names = ["bytes", "syncs", "sync_us"];
            for (sum, name) in journal.iter_mut().zip(names) {
                *sum += claims["journal"][name].as_u64().unwrap_or_default();
            }
            registers += claims["registers"].as_u64().unwrap_or_default();
            memory_bytes += claims["bytes"].as_u64().unwrap_or_default();
        }
        Ok(Self {
            processor_times: processor_times()?,
            journal,
            registers,
            memory_bytes,
            wire_bytes: group.wire_bytes(),
            read_at: Instant::now(),
        })
    }

    fn seconds(&self, name: &str) -> f64 {
        let matching = self
            .processor_times
            .iter()
            .filter(|(thread, _)| thread.starts_with(name));
        matching.map(|(_, seconds)| seconds).sum()
    }
}

async fn state(address: std::net::SocketAddr) -> Result<Value> {
    let response = http::send(
        address,
        &HttpRequest::get("control", "/v1/state"),
        REQUEST_TIMEOUT,
    )
    .await?;
    Ok(serde_json::from_slice(&response.body)?)
}

async fn leader(group: &Group) -> Result<usize> {
    for (index, address) in group.operators().into_iter().enumerate() {
        let state = state(address).await?;
        if state["log"]["status"]["role"]
            .as_str()
            .is_some_and(|role| role.eq_ignore_ascii_case("leader"))
        {
            return Ok(index);
        }
    }
    bail!("no control process reports the role of leader")
}

/// Reads the processor time of each thread from the scheduler statistics, which count nanoseconds.
fn processor_times() -> Result<Vec<(String, f64)>> {
    let mut threads = Vec::new();
    for entry in fs::read_dir("/proc/self/task")? {
        let path = entry?.path();
        let name = fs::read_to_string(path.join("comm"))?;
        let times = fs::read_to_string(path.join("schedstat"))?;
        let nanos: f64 = times.split_whitespace().next().unwrap_or("0").parse()?;
        threads.push((name.trim().to_owned(), nanos / 1e9));
    }
    Ok(threads)
}

fn report(
    options: &Options,
    count: u64,
    latencies: &Histogram<u64>,
    before: &Counters,
    after: &Counters,
) {
    let claims = count.max(1) as f64;
    let seconds = after.read_at.duration_since(before.read_at).as_secs_f64();
    let us_per_claim = |name: &str| (after.seconds(name) - before.seconds(name)) / claims * 1e6;
    let increase = |index: usize| (after.journal[index] - before.journal[index]) as f64;
    println!(
        "{:?} delay {:?} askers {}: {:.0} claims/s, p50 {} us, p99 {} us",
        options.design,
        options.delay,
        options.askers,
        claims / seconds,
        latencies.value_at_quantile(0.5),
        latencies.value_at_quantile(0.99),
    );
    println!(
        "  processor us/claim: control {:.1} {:.1} {:.1}, journals {:.1}, askers and network {:.1}",
        us_per_claim("control-1"),
        us_per_claim("control-2"),
        us_per_claim("control-3"),
        us_per_claim("journal"),
        us_per_claim("asker"),
    );
    println!(
        "  bytes/claim: disk {:.0} (3 members), wire {:.0}; syncs/claim {:.3}; sync {:.0} us each, {:.0}% of the time of one disk",
        increase(0) / claims,
        (after.wire_bytes - before.wire_bytes) as f64 / claims,
        increase(1) / claims,
        increase(2) / increase(1).max(1.0),
        increase(2) / 3.0 / (seconds * 1e6) * 100.0,
    );
    let registers = (after.registers - before.registers).max(1);
    println!(
        "  memory: {} bytes a register",
        (after.memory_bytes - before.memory_bytes) / registers
    );
}
