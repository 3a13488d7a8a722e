//! A machine of the core is replaced, the new one first, while it freezes and the others lose power by turns.

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

/// Length of the freeze and of the loss of power; the days of the site files have up to 7.1 s and 7.0 s.
const LOSS: Duration = Duration::from_secs(7);

/// `recoveryS`.
const RECOVERY: Duration = Duration::from_secs(15);

pub fn run(record: &Record, trouble: bool) -> Outcome {
    let text = |e: std::io::Error| e.to_string();
    let fleet = Fleet::new(record.clone()).map_err(text)?;
    let operator = Operator { record: record.clone() };
    let mut core: Vec<Machine> = Vec::new();
    for host in 1..=6 {
        core.push(fleet.machine(&format!("core-{host}"), host, None).map_err(text)?);
    }
    for machine in &mut core[..5] {
        machine.start().map_err(text)?;
    }
    let admin: Vec<SocketAddr> = core.iter().map(Machine::admin).collect();
    thread::sleep(Duration::from_secs(1));
    let send = |to: &[SocketAddr], body: &str, limit| {
        let answer = operator.order(to, "POST", "/api/Config.Patch", body, limit);
        answer.is_some_and(|answer| answer.status == 200)
    };
    if !send(&admin[..5], &fleet::first_config(7), Duration::from_secs(10)) {
        return Err("the first config was not accepted".to_owned());
    }
    thread::sleep(Duration::from_secs(1));
    for machine in &mut core {
        machine.bootstrap = false;
    }
    record.line("planned: core-6 is added with an empty disk, to replace core-5");
    core[5].start().map_err(text)?;
    thread::sleep(Duration::from_secs(1));
    if trouble {
        record.line("disruption: core-1 and core-2 lose power, core-6 freezes");
        core[0].kill();
        core[1].kill();
        core[5].signal("STOP");
    }
    let frozen = Instant::now();
    // Two operators bring the same version of one route, with other content.
    let first = fleet::patch(&[fleet::route("r-order", "/order/", "unsafe", "catalogue", 9, 2.0)]);
    let second = fleet::patch(&[fleet::route("r-order", "/order/", "unsafe", "bookings", 9, 1.5)]);
    if !send(&admin[2..5], &first, Duration::from_secs(5)) {
        core[5].signal("CONT");
        return Err("the first change was not accepted".to_owned());
    }
    record.line("the change to service catalogue, version 9, is acknowledged");
    thread::sleep(Duration::from_millis(500));
    record.line("planned: core-5 gets SIGTERM and is gone for good");
    core[4].signal("TERM");
    thread::sleep(Duration::from_secs(1));
    core[4].kill();
    thread::sleep(LOSS.saturating_sub(frozen.elapsed()));
    let mut lost = Instant::now();
    if trouble {
        record.line("core-1 and core-2 are back with their disks, core-6 wakes; disruption: core-3 and core-4 lose power");
        core[2].kill();
        core[3].kill();
        lost = Instant::now();
        core[0].start().map_err(text)?;
        core[1].start().map_err(text)?;
        core[5].signal("CONT");
    }
    // The second operator tries until it gets a clear answer.
    let mut twice = false;
    while lost.elapsed() < LOSS - Duration::from_secs(1) && !twice {
        let body = operator.once(admin[0], "POST", "/api/Config.Patch", &second);
        match body.map(|answer| answer.status) {
            Some(200) => twice = true,
            Some(409) => break,
            _ => thread::sleep(Duration::from_millis(300)),
        }
    }
    if twice {
        record.line("the change to service bookings, also version 9, is acknowledged");
    }
    let shown = operator.once(admin[0], "GET", "/api/Config.Get", "");
    if let Some(answer) = shown.filter(|answer| answer.status == 200) {
        record.line(&format!("core-1 shows r-order: {}", order_route(&answer.text())));
    }
    thread::sleep(LOSS.saturating_sub(lost.elapsed()));
    if trouble {
        record.line("core-3 and core-4 are back, with their disks");
        core[2].start().map_err(text)?;
        core[3].start().map_err(text)?;
    }
    thread::sleep(RECOVERY);
    let mut held = !twice;
    for index in [0, 1, 2, 3, 5] {
        let read = operator.order(&admin[index..=index], "GET", "/api/Config.Get", "", Duration::from_secs(5));
        let read = read.map(|answer| order_route(&answer.text())).unwrap_or_default();
        record.line(&format!("at the end core-{} shows r-order: {read}", index + 1));
        held &= read.contains("\"service\":\"catalogue\"") && read.contains("\"version\":9");
    }
    Ok(held)
}

/// The item of the route `r-order` in a config.
fn order_route(config: &str) -> String {
    let Some(name) = config.find("\"name\":\"r-order\"") else {
        return "missing".to_owned();
    };
    let start = config[..name].rfind("{\"metadata\"").unwrap_or(0);
    let end = config[name..].find("\"type\"").map_or(config.len(), |at| name + at);
    config[start..end].to_owned()
}
