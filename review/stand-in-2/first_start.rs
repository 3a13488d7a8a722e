//! All processes of the core are killed once before the first config.

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

/// Time for which the operator sends the first config after the restart: several times `ackS`, which is 4.
const PATIENCE: Duration = Duration::from_secs(30);

pub fn run(record: &Record, trouble: bool) -> Outcome {
    let text = |e: std::io::Error| e.to_string();
    let fleet = Fleet::new(record.clone()).map_err(text)?;
    let operator = Operator { record: record.clone() };
    let mut core: Vec<Machine> = Vec::new();
    for host in 1..=5 {
        core.push(fleet.machine(&format!("core-{host}"), host, None).map_err(text)?);
    }
    for machine in &mut core {
        machine.start().map_err(text)?;
    }
    thread::sleep(Duration::from_secs(3));
    if trouble {
        record.line("disruption: all processes of the core are killed and are back within a second, with their disks");
        core.iter_mut().for_each(Machine::kill);
        thread::sleep(Duration::from_millis(700));
        for machine in &mut core {
            machine.bootstrap = false;
            machine.start().map_err(text)?;
        }
    }
    thread::sleep(Duration::from_secs(4));
    let all: Vec<SocketAddr> = core.iter().map(Machine::admin).collect();
    let started = Instant::now();
    let answer = operator.order(&all, "POST", "/api/Config.Patch", &fleet::first_config(7), PATIENCE);
    let accepted = answer.is_some_and(|answer| answer.status == 200);
    let after = started.elapsed().as_secs_f64();
    record.line(&format!("the first config was {} after {after:.1} s", if accepted { "acknowledged" } else { "not acknowledged" }));
    if core.iter_mut().any(Machine::has_ended) {
        return Err("a process ended by itself".to_owned());
    }
    Ok(accepted)
}
