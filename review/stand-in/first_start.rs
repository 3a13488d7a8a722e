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

/// Time from the first start to the kill.
const UPTIME: Duration = Duration::from_secs(3);
/// Time from the kill to the restart: "back within a second".
const DOWN_TIME: Duration = Duration::from_millis(700);
/// How long the operator resends the first configuration; `recoveryS` is 15 s and `ackS` 4 s.
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
    let accepted =
        support::change_until_accepted(record, &admins, "first config", &first, PATIENCE);
    for registry in &mut registries {
        if !registry.is_running() {
            return Err(io::Error::other("a registry process has ended by itself"));
        }
    }
    // The read-back at the end of the day: for at least `stabilityWindowS`.
    let started = Instant::now();
    let mut answers = 0;
    while started.elapsed() < Duration::from_secs(4) {
        for admin in &admins {
            let config = support::read_back(*admin);
            let version = config.and_then(|config| support::version(&config, "r-look"));
            answers += u32::from(version == Some(1));
        }
        thread::sleep(Duration::from_millis(200));
    }
    record.line(&format!(
        "count   first configuration accepted: {accepted}; {answers} answers of the read-back have it"
    ));
    Ok(if accepted && answers > 0 {
        Outcome::Held
    } else {
        Outcome::Broken
    })
}
