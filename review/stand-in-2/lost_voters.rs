//! A disk is lost and copied back. Later two more disks are lost while the other machines lose power.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Outcome;
use crate::fleet;
use crate::fleet::Fleet;
use crate::fleet::Machine;
use crate::fleet::Operator;
use crate::fleet::Record;

/// Time from the return of the first lost disk to the final fault. `catchUpS` is 4.
const CALM: Duration = Duration::from_secs(12);

/// `recoveryS`, and as much again for slow machines.
const RECOVERY: Duration = Duration::from_secs(30);

pub fn run(record: &Record, trouble: bool) -> Outcome {
    let fleet = Fleet::new(record.clone()).map_err(|e| e.to_string())?;
    let operator = Operator { record: record.clone() };
    let mut core: Vec<Machine> = Vec::new();
    for host in 1..=5 {
        core.push(fleet.machine(&format!("core-{host}"), host, None).map_err(|e| e.to_string())?);
    }
    let mut failed = |machine: &mut Machine| machine.start().map_err(|e| e.to_string());
    for machine in &mut core {
        failed(machine)?;
    }
    let all: Vec<SocketAddr> = core.iter().map(Machine::admin).collect();
    thread::sleep(Duration::from_secs(1));
    let first = operator.order(&all, "POST", "/api/Config.Patch", &fleet::first_config(7), Duration::from_secs(10));
    if first.is_none_or(|answer| answer.status != 200) {
        return Err("the first config was not accepted".to_owned());
    }
    thread::sleep(Duration::from_secs(1));
    for machine in &mut core {
        machine.bootstrap = false;
    }
    if trouble {
        record.line("disruption: core-1 loses power and its disk, and is back after 1 s");
        core[0].kill();
        core[0].wipe().map_err(|e| e.to_string())?;
        thread::sleep(Duration::from_secs(1));
        core[0].start().map_err(|e| e.to_string())?;
    }
    thread::sleep(CALM);
    let read = operator.order(&all, "GET", "/api/Config.Get", "", Duration::from_secs(5));
    if read.is_none_or(|answer| !answer.text().contains("r-order")) {
        return Err("the config was not readable in calm".to_owned());
    }
    record.line("final fault: all machines of the core lose power");
    for machine in &mut core {
        machine.kill();
    }
    if trouble {
        record.line("final fault: core-4 and core-5 lose their disks too");
        for machine in &mut core[3..] {
            machine.wipe().map_err(|e| e.to_string())?;
        }
    }
    thread::sleep(Duration::from_millis(600));
    for machine in &mut core {
        machine.start().map_err(|e| e.to_string())?;
    }
    let back = Instant::now();
    while back.elapsed() < RECOVERY {
        let read = operator.order(&all, "GET", "/api/Config.Get", "", Duration::from_secs(2));
        if read.is_some_and(|answer| answer.status == 200 && answer.text().contains("r-order")) {
            record.line("the acknowledged config is read back");
            return Ok(true);
        }
        thread::sleep(Duration::from_millis(500));
    }
    if core.iter_mut().any(Machine::has_ended) {
        return Err("a process ended by itself".to_owned());
    }
    record.line(&format!("no machine has shown a config for {RECOVERY:?} after all were back"));
    Ok(false)
}
