//! A disk is lost and copied back. Later two more disks are lost while all other machines lose power.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Outcome;
use crate::fleet;
use crate::fleet::Fleet;
use crate::fleet::Machine;
use crate::fleet::Operator;
use crate::fleet::Record;
use crate::target;
use crate::target::Runs;
use crate::target::Target;

/// Time from the return of the first lost disk to the final fault. `catchUpS` is 4.
const CALM: Duration = Duration::from_secs(12);

/// `recoveryS`.
const RECOVERY: Duration = Duration::from_secs(15);

/// Requests that are sent before the final fault, and again after the recovery.
const REQUESTS: usize = 20;

pub fn run(record: &Record, trouble: bool) -> Outcome {
    let text = |e: std::io::Error| e.to_string();
    let fleet = Fleet::new(record.clone()).map_err(text)?;
    let operator = Operator { record: record.clone() };
    let runs: Runs = Arc::new(Mutex::new(Vec::new()));
    let mut core: Vec<Machine> = Vec::new();
    for host in 1..=5 {
        core.push(fleet.machine(&format!("core-{host}"), host, None).map_err(text)?);
    }
    let mut side: Vec<Machine> = Vec::new();
    for host in 11..=12 {
        side.push(fleet.machine(&format!("side-{host}"), host, Some("catalogue")).map_err(text)?);
        let id = format!("i-{host}");
        Target::start(record, &runs, fleet.ip(host), &id, "catalogue").map_err(text)?;
    }
    for machine in core.iter_mut().chain(&mut side) {
        machine.start().map_err(text)?;
    }
    let all: Vec<SocketAddr> = core.iter().map(Machine::admin).collect();
    let routers: Vec<SocketAddr> = side.iter().map(Machine::outbound).collect();
    thread::sleep(Duration::from_secs(1));
    let first = operator.order(&all, "POST", "/api/Config.Patch", &fleet::first_config(7), Duration::from_secs(10));
    if first.is_none_or(|answer| answer.status != 200) {
        return Err("the first config was not accepted".to_owned());
    }
    record.line("the config is acknowledged");
    thread::sleep(Duration::from_secs(3));
    for machine in core.iter_mut().chain(&mut side) {
        machine.bootstrap = false;
    }
    if trouble {
        record.line("disruption: core-1 loses power and its disk, and is back after 1 s");
        core[0].kill();
        core[0].wipe().map_err(text)?;
        thread::sleep(Duration::from_secs(1));
        core[0].start().map_err(text)?;
    }
    thread::sleep(CALM);
    let served_before = served(record, &routers, "before");
    let read = operator.order(&all, "GET", "/api/Config.Get", "", Duration::from_secs(5));
    if served_before * 4 < REQUESTS || read.is_none_or(|answer| !answer.text().contains("r-order")) {
        return Err("the system did not serve in calm".to_owned());
    }
    record.line("final fault: all machines lose power");
    for machine in core.iter_mut().chain(&mut side) {
        machine.kill();
    }
    if trouble {
        record.line("final fault: core-4 and core-5 lose their disks too");
        for machine in &mut core[3..] {
            machine.wipe().map_err(text)?;
        }
    }
    thread::sleep(Duration::from_millis(600));
    for machine in core.iter_mut().chain(&mut side) {
        machine.start().map_err(text)?;
    }
    let back = Instant::now();
    thread::sleep(RECOVERY);
    record.line("recoveryS after all machines are back");
    let served_after = served(record, &routers, "after");
    record.line(&format!("served: {served_before} of {REQUESTS} before the final fault, {served_after} of {REQUESTS} after the recovery"));
    // The operator asks repeatedly, for longer than `stabilityWindowS`.
    let mut read_back = false;
    while !read_back && back.elapsed() < RECOVERY * 2 {
        let read = operator.order(&all, "GET", "/api/Config.Get", "", Duration::from_secs(3));
        read_back = read.is_some_and(|answer| answer.status == 200 && answer.text().contains("r-order"));
    }
    record.line(if read_back { "the acknowledged config is read back" } else { "no config is read back" });
    if core.iter_mut().chain(&mut side).any(Machine::has_ended) {
        return Err("a process ended by itself".to_owned());
    }
    Ok(read_back && served_after * 4 >= REQUESTS)
}

/// Sends requests to all routers in turn. Returns how many were answered with success.
fn served(record: &Record, routers: &[SocketAddr], label: &str) -> usize {
    let mut served = 0;
    for number in 0..REQUESTS {
        let id = format!("{label}-{number}");
        let router = routers[number % routers.len()];
        let answer = target::request(record, router, ("GET", "/look/a", &id), "", Duration::from_secs(1));
        let sealed = |answer: &fleet::Answer| answer.status == 200 && answer.header("shallotrill-response-seal").is_some();
        served += usize::from(answer.is_ok_and(|answer| sealed(&answer)));
    }
    served
}
