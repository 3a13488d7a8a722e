//! Case "first start": all registry processes are killed before the first configuration arrives.

use std::io;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::support;
use crate::support::Folder;
use crate::support::Network;
use crate::support::Outcome;
use crate::support::Program;
use crate::support::Record;

/// Time from a start to the next step; longer than `stabilityWindowS`.
const UPTIME: Duration = Duration::from_millis(3_200);
/// Time from the kill to the restart: "back within a second".
const DOWN_TIME: Duration = Duration::from_millis(700);
/// Bound of the confirmation: `ackS`, and 3 ms for the one route.
const ACK_BOUND: Duration = Duration::from_millis(4_003);
/// How long the operator resends the first configuration.
const PATIENCE: Duration = Duration::from_secs(40);

/// Runs the case.
pub fn run(record: &Record) -> io::Result<Outcome> {
    let folder = Folder::create()?;
    let network = Network::draw()?;
    let mut registries: Vec<Program> = (1..=support::REGISTRIES)
        .map(|n| Program::registry(n, &folder.0, network, record))
        .collect();
    for registry in &mut registries {
        registry.start(true)?;
    }
    thread::sleep(UPTIME);
    if support::has_trouble() {
        for registry in &mut registries {
            registry.kill();
        }
        thread::sleep(DOWN_TIME);
        for registry in &mut registries {
            registry.start(false)?;
        }
        thread::sleep(UPTIME);
    }
    let admins: Vec<_> = registries.iter().map(Program::admin).collect();
    let first = support::first_config(&["catalogue"], &[("r-look", "catalogue")]);
    // The last event at a core machine is older than `stabilityWindowS`, so the core is stable.
    let sent = Instant::now();
    let accepted =
        support::change_until_accepted(record, &admins, "first config", &first, PATIENCE);
    let took = sent.elapsed();
    for registry in &mut registries {
        if !registry.is_running() {
            return Err(io::Error::other("a registry process has ended by itself"));
        }
    }
    let mut empty = 0;
    for admin in &admins {
        let config = support::read_back(*admin).unwrap_or_default();
        record.line(&format!("read    {admin}: {config}"));
        empty += u32::from(support::version(&config, "r-look").is_none());
    }
    record.line(&format!(
        "count   first configuration confirmed: {accepted}, after {:.3} s; read back without it at {empty} processes",
        took.as_secs_f64()
    ));
    Ok(if accepted && took <= ACK_BOUND {
        Outcome::Held
    } else {
        Outcome::Broken
    })
}
