//! Case "replaced": the configuration grows, and then the machines of the core are replaced one after the other.

use std::collections::HashSet;
use std::env;
use std::io;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::support;
use crate::support::Deployment;
use crate::support::Outcome;
use crate::support::Program;
use crate::support::REGISTRIES;
use crate::support::Record;

/// Routes that one change adds: the `count` of a `big_config` in the site file.
const ROUTES_PER_CHANGE: u32 = 460;
/// Changes that add routes.
const CHANGES: u32 = 54;
/// Memory of a core machine: `memory_mb` of the site file.
const MEMORY_KB: u64 = 256 * 1024;
/// Time from the loss of a machine until the one that replaces it starts: the `x` of a `replace_core`.
const REPLACEMENT_DELAY: Duration = Duration::from_secs(1);
/// Time until the next machine is replaced; `catchUpS` is 4 s.
const REPLACEMENT_INTERVAL: Duration = Duration::from_secs(8);
/// Bound of a confirmation: `ackS`, and 3 ms for each route.
const ACK_S: f64 = 4.0 + 0.003 * ROUTES_PER_CHANGE as f64;
/// How long the operator repeats its query at the end: longer than `stabilityWindowS`.
const READ_TIME: Duration = Duration::from_secs(5);
/// Longest wait for the answer to one query.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs the case.
pub fn run(record: &Record) -> io::Result<Outcome> {
    let first = support::first_config(&["catalogue", "bookings"], &[("r-look", "catalogue")]);
    let mut deployment = Deployment::start(record, &first)?;
    let admins = deployment.admins();
    let changes = env::var("CHANGES").ok().and_then(|text| text.parse().ok());
    let changes = changes.unwrap_or(CHANGES);
    let mut acknowledged = vec![String::from("r-look")];
    let mut slowest = 0.0_f64;
    for change in 0..changes {
        let names: Vec<String> = (0..ROUTES_PER_CHANGE)
            .map(|route| format!("r-{change:03}-{route:04}"))
            .collect();
        let items: Vec<String> = names.iter().map(|n| support::long_route(n)).collect();
        let label = format!("{ROUTES_PER_CHANGE} more routes, change {change},");
        let sent = record.now();
        let patience = Duration::from_secs(20);
        let body = support::patch(&items);
        if !support::change_until_accepted(record, &admins, &label, &body, patience) {
            return Err(io::Error::other("a change was not acknowledged"));
        }
        slowest = slowest.max(record.now() - sent);
        acknowledged.extend(names);
    }
    record.line(&format!(
        "count   {} routes are acknowledged; the slowest change took {slowest:.3} s, of {ACK_S:.2} s allowed",
        acknowledged.len()
    ));
    thread::sleep(Duration::from_secs(2));
    let memory = deployment.registries.iter().filter_map(Program::resident_kb).max();
    record.line(&format!(
        "memory  the largest registry process uses {} kB of {MEMORY_KB} kB",
        memory.unwrap_or_default()
    ));
    if memory.is_none_or(|used| used > MEMORY_KB) {
        return Err(io::Error::other("a registry process uses more memory than it has"));
    }
    let (network, folder) = (deployment.network, deployment.folder.0.clone());
    if support::has_trouble() {
        for lost in 1..=REGISTRIES {
            deployment.registries[0].kill();
            deployment.registries.remove(0);
            thread::sleep(REPLACEMENT_DELAY);
            let number = lost + REGISTRIES;
            let mut added = Program::registry(number, &folder, network, record);
            added.set_seeds([lost + 1, lost + 2, lost + 3]);
            added.start(false)?;
            deployment.registries.push(added);
            thread::sleep(REPLACEMENT_INTERVAL - REPLACEMENT_DELAY);
            record.line(&format!("replace registry-{lost} by registry-{number} is done"));
            read_all(record, &deployment.admins(), &acknowledged);
        }
    }
    let start = Instant::now();
    let mut complete = false;
    while start.elapsed() < READ_TIME {
        complete |= read_all(record, &deployment.admins(), &acknowledged);
        thread::sleep(Duration::from_millis(500));
    }
    for registry in &mut deployment.registries {
        if !registry.is_running() {
            return Err(io::Error::other("a registry process has ended by itself"));
        }
    }
    record.line(&format!(
        "count   the acknowledged configuration is read back whole in the last {READ_TIME:?}: {complete}"
    ));
    Ok(if complete {
        Outcome::Held
    } else {
        Outcome::Broken
    })
}

/// Reads back from all registry processes. Returns whether one of them has all routes.
fn read_all(record: &Record, admins: &[SocketAddr], acknowledged: &[String]) -> bool {
    let mut complete = false;
    for admin in admins {
        let headers = "Host: control\r\n";
        let answer = support::call(*admin, "GET", "/api/Config.Get", headers, "", READ_TIMEOUT);
        let text = match answer {
            Ok(response) if response.status == 200 => {
                let config = String::from_utf8_lossy(&response.body).into_owned();
                let names = config.split("\"name\":\"").skip(1);
                let names: HashSet<&str> = names.filter_map(|rest| rest.split('"').next()).collect();
                let present = acknowledged.iter().filter(|n| names.contains(n.as_str()));
                let present = present.count();
                complete |= present == acknowledged.len();
                format!("200, {present} of {} routes", acknowledged.len())
            }
            Ok(response) => response.status.to_string(),
            Err(error) => format!("no answer ({error})"),
        };
        record.line(&format!("read    {admin}: {text}"));
    }
    complete
}
