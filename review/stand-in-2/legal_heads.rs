//! Legal requests whose heads have many fields, one at a time, in calm.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::Outcome;
use crate::fleet;
use crate::fleet::Fleet;
use crate::fleet::Machine;
use crate::fleet::Operator;
use crate::fleet::Record;
use crate::target;
use crate::target::Runs;
use crate::target::Target;

/// Requests of each form. The rule allows 5 and one in 500 of all.
const REQUESTS: usize = 40;

/// Refusals that the rule allows: 5, and one in 500 of all requests.
const ALLOWED: usize = 5;

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
    for (host, service) in [(11, "catalogue"), (12, "catalogue"), (13, "bookings"), (14, "bookings")] {
        side.push(fleet.machine(&format!("side-{host}"), host, Some(service)).map_err(text)?);
        Target::start(record, &runs, fleet.ip(host), &format!("i-{host}"), service).map_err(text)?;
    }
    for machine in core.iter_mut().chain(&mut side) {
        machine.start().map_err(text)?;
    }
    let all: Vec<SocketAddr> = core.iter().map(Machine::admin).collect();
    thread::sleep(Duration::from_secs(1));
    let first = operator.order(&all, "POST", "/api/Config.Patch", &fleet::first_config(7), Duration::from_secs(10));
    if first.is_none_or(|answer| answer.status != 200) {
        return Err("the first config was not accepted".to_owned());
    }
    thread::sleep(Duration::from_secs(4));
    // `maxHeaderBytes` of the config is 16,384.
    let short: String = (0..150).map(|number| format!("f{number}: 1\r\n")).collect();
    let long: String = (0..60).map(|number| format!("f{number}: {}\r\n", "a".repeat(240))).collect();
    let forms = if trouble { [("many", short), ("large", long)] } else { [("plain", String::new()), ("field", "f: 1\r\n".to_owned())] };
    let mut denied = 0;
    for (label, fields) in &forms {
        record.line(&format!("{REQUESTS} requests with {} bytes of further fields each", fields.len()));
        for number in 0..REQUESTS {
            let router = side[number % 2].outbound();
            let id = format!("{label}-{number}");
            let answer = target::request(record, router, ("POST", "/order/a", &id), fields, Duration::from_secs(2));
            denied += usize::from(answer.is_ok_and(|answer| matches!(answer.status, 300..=499) && ![408, 421, 429].contains(&answer.status)));
            thread::sleep(Duration::from_millis(50));
        }
    }
    let run = runs.lock().unwrap_or_else(|e| e.into_inner()).len();
    record.line(&format!("{denied} of {} proper requests were ended with a 3xx or 4xx, {run} ran at a target", 2 * REQUESTS));
    Ok(denied <= ALLOWED)
}
