//! Case "old state": a minority misses a change, one of the others loses its disk, the rest are down.

use std::io;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::support;
use crate::support::Deployment;
use crate::support::Outcome;
use crate::support::Record;

/// Registry processes that miss the change.
const MINORITY: [u8; 2] = [1, 2];
/// Registry process that acknowledges the change and then loses its disk.
const WIPED: u8 = 3;
/// Registry processes that acknowledge the change and are then down.
const DARK: [u8; 2] = [4, 5];
/// How long they are down: the dose of `for_s` of `core_cut` in the site file.
const DARK_TIME: Duration = Duration::from_millis(5_500);

/// Runs the case.
pub fn run(record: &Record) -> io::Result<Outcome> {
    let first = support::first_config(&["catalogue", "bookings"], &[("r-moving", "catalogue")]);
    let mut deployment = Deployment::start(record, &first)?;
    let all: Vec<u8> = (1..=support::REGISTRIES).collect();
    if !deployment.wait_for(&all, "r-moving", 1, Duration::from_secs(10)) {
        return Err(io::Error::other("the first configuration is not read back"));
    }
    let trouble = support::has_trouble();
    if trouble {
        for number in MINORITY {
            deployment.registry(number).freeze();
        }
    }
    thread::sleep(Duration::from_millis(500));
    let change = support::patch(&[support::route("r-moving", 7, "bookings", 1.0)]);
    let majority: Vec<_> = deployment.admins()[2..].to_vec();
    let patience = Duration::from_secs(10);
    if !support::change_until_accepted(record, &majority, "r-moving version 7", &change, patience) {
        return Err(io::Error::other("the change was not acknowledged"));
    }
    if !deployment.wait_for(&[3, 4, 5], "r-moving", 7, Duration::from_secs(5)) {
        return Err(io::Error::other(
            "the change is not read back at the majority",
        ));
    }
    record.line("read    registry 3, 4, 5 have r-moving version 7");
    if trouble {
        deployment.registry(WIPED).kill();
        for number in DARK {
            deployment.registry(number).kill();
        }
        deployment.registry(WIPED).lose_disk()?;
        for number in MINORITY {
            deployment.registry(number).thaw();
        }
        deployment.registry(WIPED).start(false)?;
    }
    let mut older = 0;
    let dark_until = Instant::now() + DARK_TIME;
    while Instant::now() < dark_until {
        older += read_all(record, &deployment, 7);
        thread::sleep(Duration::from_millis(250));
    }
    if trouble {
        for number in DARK {
            deployment.registry(number).start(false)?;
        }
    }
    // The read-back at the end of the day, when all machines are back.
    let settled = deployment.wait_for(&all, "r-moving", 7, Duration::from_secs(15));
    record.line(&format!(
        "read    all have r-moving version 7 within 15 s of the return: {settled}"
    ));
    record.line(&format!(
        "count   {older} answers 200 with r-moving older than the acknowledged version 7"
    ));
    Ok(if older > 0 || !settled {
        Outcome::Broken
    } else {
        Outcome::Held
    })
}

/// Reads back from all registry processes. Returns the number of answers with an older version.
fn read_all(record: &Record, deployment: &Deployment, acknowledged: u64) -> usize {
    let mut older = 0;
    for registry in &deployment.registries {
        let Some(config) = support::read_back(registry.admin()) else {
            record.line(&format!("read    {}: no 200", registry.name));
            continue;
        };
        let version = support::version(&config, "r-moving");
        record.line(&format!(
            "read    {}: 200, r-moving version {version:?}",
            registry.name
        ));
        older += usize::from(version.is_none_or(|version| version < acknowledged));
    }
    older
}
