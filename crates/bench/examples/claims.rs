//! What a claim costs, and what the ways that were not chosen would cost.
//!
//! Three control processes run here, each with its own threads, journal and
//! disk folder, so that the time of their threads can be told apart.

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
use shallotrill_bench::http::Ask as HttpAsk;
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
--askers    claims under way at once at each control process (1)
--folder    folder for the journals, on the disk that is to be measured (target/claims)
";

/// Bytes of the answer that a finish records.
const ANSWER_BYTES: usize = 200;

/// Longest wait for one question.
const LIMIT: Duration = Duration::from_secs(5);

/// Time before the measurement, for connections and the first segments.
const WARM_UP: Duration = Duration::from_secs(2);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    Register,
    Log,
    Lease,
}

#[derive(Clone, Debug)]
struct Options {
    way: Way,
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

fn options() -> Result<Option<Options>> {
    let mut options = Options {
        way: Way::Register,
        delay: Duration::ZERO,
        askers: 1,
        time: Duration::from_secs(5),
        folder: "target/claims".to_owned(),
    };
    let mut parser = Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("way") => {
                options.way = match parser.value()?.string()?.as_str() {
                    "register" => Way::Register,
                    "log" => Way::Log,
                    "lease" => Way::Lease,
                    other => bail!("unknown way {other}"),
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
    let Some(options) = options()? else {
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
    let group = Group::start(cluster::own_ip(), folder.path(), 3, options.delay).await?;
    let group = Arc::new(group);
    ready(&group).await?;
    let lead = leader(&group).await?;
    let warm = Options {
        time: WARM_UP,
        ..options.clone()
    };
    round(&group, &warm, lead).await?;
    let before = Facts::read(&group).await?;
    let (count, times) = round(&group, &options, lead).await?;
    let after = Facts::read(&group).await?;
    report(&options, count, &times, &before, &after);
    Ok(())
}

async fn ready(group: &Group) -> Result<()> {
    let end = Instant::now() + Duration::from_secs(30);
    for index in 0..3 {
        while !claim(group.link(index), &key()).await.unwrap_or(false) {
            if Instant::now() >= end {
                bail!("no claim group");
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
    Ok(())
}

/// Asks at all control processes at once, from `askers` tasks at each.
async fn round(
    group: &Arc<Group>,
    options: &Options,
    lead: usize,
) -> Result<(u64, Histogram<u64>)> {
    let end = Instant::now() + options.time;
    let mut tasks = Vec::new();
    for index in 0..3 {
        if options.way != Way::Register && index != lead {
            continue;
        }
        for _ in 0..options.askers {
            let group = Arc::clone(group);
            let way = options.way;
            let asking = async move { ask_until(&group, index, way, end).await };
            tasks.push(tokio::spawn(asking));
        }
    }
    let mut times = Histogram::new(3)?;
    for task in tasks {
        times.add(task.await??)?;
    }
    Ok((times.len(), times))
}

async fn ask_until(group: &Group, index: usize, way: Way, end: Instant) -> Result<Histogram<u64>> {
    let mut times = Histogram::new(3)?;
    let replica = group
        .address_from(index, (index + 1) % 3)
        .context("the processes are connected")?;
    // The owner's connection to its replica; one for each asker costs no more than a shared one.
    let replica = Link::new(replica, link::Config::default());
    while Instant::now() < end {
        let begun = Instant::now();
        let done = match way {
            Way::Register => claim(group.link(index), &key()).await?,
            Way::Log => log(group.link(index)).await?,
            Way::Lease => lease(group.link(index), &replica, &key()).await?,
        };
        if done {
            times.record(begun.elapsed().as_micros() as u64)?;
        }
    }
    Ok(times)
}

fn key() -> Key {
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

/// The register at a majority, as a node asks for it.
async fn claim(link: &Link, key: &Key) -> Result<bool> {
    for change in changes() {
        let ask = claim::Request {
            region: group::region(),
            key: key.clone(),
            task: Task::Change(change),
        };
        let reply: claim::Reply = link.call(claim::METHOD, &ask, LIMIT).await?;
        if reply.is_err() {
            return Ok(false);
        }
    }
    Ok(true)
}

/// Two entries of the replicated log, as long as the two records.
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
        let reply: forward::Reply = link.call(forward::METHOD, &ask, LIMIT).await?;
        if reply.is_err() {
            return Ok(false);
        }
    }
    Ok(true)
}

/// Two writes that the owner and one replica sync in parallel.
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
            record: record.clone().context("the change applies")?,
        };
        let ask = claims::Request {
            messages: vec![message],
        };
        let (own, other) = tokio::join!(accepted(owner, &ask), accepted(replica, &ask));
        if !(own? && other?) {
            return Ok(false);
        }
    }
    Ok(true)
}

async fn accepted(link: &Link, ask: &claims::Request) -> Result<bool> {
    let answer: claims::Response = link.call(claims::METHOD, ask, LIMIT).await?;
    Ok(answer.replies == [Some(Reply::Accepted)])
}

/// What is read before and after.
struct Facts {
    /// Seconds of processor time of the threads of each name.
    processor: Vec<(String, f64)>,
    journal: [u64; 3],
    registers: u64,
    memory: u64,
    wire: u64,
    at: Instant,
}

impl Facts {
    async fn read(group: &Group) -> Result<Self> {
        let mut journal = [0; 3];
        let mut registers = 0;
        let mut memory = 0;
        for address in group.operators() {
            let state = state(address).await?;
            let claims = &state["claims"];
            let names = ["bytes", "syncs", "sync_us"];
            for (sum, name) in journal.iter_mut().zip(names) {
                *sum += claims["journal"][name].as_u64().unwrap_or_default();
            }
            registers += claims["registers"].as_u64().unwrap_or_default();
            memory += claims["bytes"].as_u64().unwrap_or_default();
        }
        Ok(Self {
            processor: processor()?,
            journal,
            registers,
            memory,
            wire: group.wire_bytes(),
            at: Instant::now(),
        })
    }

    fn seconds(&self, name: &str) -> f64 {
        let of = self
            .processor
            .iter()
            .filter(|(thread, _)| thread.starts_with(name));
        of.map(|(_, seconds)| seconds).sum()
    }
}

async fn state(address: std::net::SocketAddr) -> Result<Value> {
    let answer = http::send(address, &HttpAsk::get("control", "/v1/state"), LIMIT).await?;
    Ok(serde_json::from_slice(&answer.body)?)
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
    bail!("no leader")
}

/// Processor time by thread, from the scheduler's own count in nanoseconds.
fn processor() -> Result<Vec<(String, f64)>> {
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

fn report(options: &Options, count: u64, times: &Histogram<u64>, before: &Facts, after: &Facts) {
    let claims = count.max(1) as f64;
    let seconds = after.at.duration_since(before.at).as_secs_f64();
    let each = |name: &str| (after.seconds(name) - before.seconds(name)) / claims * 1e6;
    let grown = |index: usize| (after.journal[index] - before.journal[index]) as f64;
    println!(
        "{:?} delay {:?} askers {}: {:.0} claims/s, p50 {} us, p99 {} us",
        options.way,
        options.delay,
        options.askers,
        claims / seconds,
        times.value_at_quantile(0.5),
        times.value_at_quantile(0.99),
    );
    println!(
        "  processor us/claim: control {:.1} {:.1} {:.1}, journals {:.1}, askers and network {:.1}",
        each("control-1"),
        each("control-2"),
        each("control-3"),
        each("journal"),
        each("asker"),
    );
    println!(
        "  bytes/claim: disk {:.0} (3 members), wire {:.0}; syncs/claim {:.3}; sync {:.0} us each, {:.0}% of the time of one disk",
        grown(0) / claims,
        (after.wire - before.wire) as f64 / claims,
        grown(1) / claims,
        grown(2) / grown(1).max(1.0),
        grown(2) / 3.0 / (seconds * 1e6) * 100.0,
    );
    let held = (after.registers - before.registers).max(1);
    println!(
        "  memory: {} bytes a register",
        (after.memory - before.memory) / held
    );
}
