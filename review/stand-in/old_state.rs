//! Case "old state": a minority misses a change, one of the others loses its disk, the rest are down.

use std::io;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::server::Server;
use crate::support;
use crate::support::CALLER_PORT;
use crate::support::Deployment;
use crate::support::Outcome;
use crate::support::Program;
use crate::support::Record;

/// Registry processes that miss the change.
const MINORITY: [u8; 2] = [1, 2];
/// Registry process that acknowledges the change and then loses its disk.
const WIPED: u8 = 3;
/// Registry processes that acknowledge the change and are then down.
const DARK: [u8; 2] = [4, 5];
/// How long they are down: the `for_s` of a `node_kill` of two core machines in the site file.
const DARK_TIME: Duration = Duration::from_secs(7);
/// Time from the confirmation until the disruption goes on. It is shorter than the 0.9 s after which a
/// proposer opens another connection: its bytes would wait in the buffers of the process that stands
/// still, whereas a cut or a loss of power loses them.
const PAUSE: Duration = Duration::from_millis(600);
/// `stabilityWindowS` of the settings.
const STABILITY_WINDOW: Duration = Duration::from_secs(3);
/// `configApplyS` and `maxSkewS` of the settings together, in seconds: the bound also when the core counts as unstable.
const APPLY_S: f64 = 7.0;
/// Machines of the old and the new service of the route, and the machine that is added.
const OLD_SERVICE: u8 = 6;
const NEW_SERVICE: u8 = 7;
const ADDED: u8 = 9;
/// Route that the change moves, and its version after it.
const ROUTE: &str = "r-moving";
const VERSION: u64 = 7;

/// Runs the case.
pub fn run(record: &Record) -> io::Result<Outcome> {
    let services = ["catalogue", "bookings", "payments"];
    let first = support::first_config(&services, &[(ROUTE, "catalogue")]);
    let mut deployment = Deployment::start(record, &first)?;
    let network = deployment.network;
    let folder = deployment.folder.0.clone();
    let router = |number, service: &str| Program::router(number, service, &folder, network, record);
    let mut old_router = router(OLD_SERVICE, "catalogue");
    let mut new_router = router(NEW_SERVICE, "bookings");
    let mut added_router = router(ADDED, "payments");
    old_router.start(true)?;
    new_router.start(true)?;
    let work = Duration::from_millis(60);
    let old = Server::start(network, OLD_SERVICE, "catalogue", work, record)?;
    let new = Server::start(network, NEW_SERVICE, "bookings", work, record)?;
    let all: Vec<u8> = (1..=support::REGISTRIES).collect();
    if !deployment.wait_for(&all, ROUTE, 1, Duration::from_secs(10)) {
        return Err(io::Error::other("the first configuration is not read back"));
    }
    thread::sleep(Duration::from_secs(3));
    let trouble = support::has_trouble();
    if trouble {
        for number in MINORITY {
            deployment.registry(number).freeze();
        }
    }
    thread::sleep(Duration::from_millis(500));
    let change = support::patch(&[support::route(ROUTE, VERSION, "bookings", 1.0)]);
    let majority: Vec<_> = deployment.admins()[2..].to_vec();
    let patience = Duration::from_secs(10);
    let label = format!("{ROUTE} moves to bookings, version {VERSION},");
    if !support::change_until_accepted(record, &majority, &label, &change, patience) {
        return Err(io::Error::other("the change was not acknowledged"));
    }
    let confirmed = record.now();
    if !deployment.wait_for(&[3, 4, 5], ROUTE, VERSION, Duration::from_secs(5)) {
        return Err(io::Error::other("the majority does not have the change"));
    }
    record.line(&format!(
        "read    registry-3, 4 and 5 have {ROUTE} version {VERSION}"
    ));
    thread::sleep(PAUSE);
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
    added_router.start(false)?;
    let dark_since = Instant::now();
    let mut older = 0;
    let mut asked = 0;
    let mut statuses = Vec::new();
    while dark_since.elapsed() < DARK_TIME {
        if dark_since.elapsed() < STABILITY_WINDOW {
            older += read_all(record, &deployment);
            thread::sleep(Duration::from_millis(400));
            continue;
        }
        asked += 1;
        statuses.push(look_up(&deployment, asked));
        thread::sleep(Duration::from_millis(40));
    }
    older += read_all(record, &deployment);
    record.line(&format!(
        "clients {asked} requests on {ROUTE} at the added machine, at least {STABILITY_WINDOW:?} after the last event, answers: {statuses:?}"
    ));
    let late = |server: &Server| {
        let arrivals = server.arrivals.lock().unwrap();
        arrivals
            .iter()
            .filter(|a| a.at > confirmed + APPLY_S)
            .count()
    };
    let (old_runs, new_runs) = (late(&old), late(&new));
    record.line(&format!(
        "ran     later than {APPLY_S} s after the confirmation at {confirmed:.3}: {old_runs} at {} of the old service, {new_runs} at {} of the new one; in all {} and {}",
        old.id,
        new.id,
        runs(&old),
        runs(&new)
    ));
    if trouble {
        for number in DARK {
            deployment.registry(number).start(false)?;
        }
    }
    // When all machines are back, the acknowledged version is there again.
    let settled = deployment.wait_for(&all, ROUTE, VERSION, Duration::from_secs(15));
    record.line(&format!(
        "read    all have {ROUTE} version {VERSION} within 15 s of the return: {settled}"
    ));
    record.line(&format!(
        "count   {old_runs} requests run by the old service later than {APPLY_S} s after the confirmation; beside it {older} answers 200 with {ROUTE} older than the acknowledged version {VERSION}"
    ));
    Ok(if old_runs > 0 || !settled {
        Outcome::Broken
    } else {
        Outcome::Held
    })
}

fn runs(server: &Arc<Server>) -> usize {
    server.arrivals.lock().unwrap().len()
}

/// Sends one request at the added machine. Returns its status, zero without an answer.
fn look_up(deployment: &Deployment, number: u32) -> u16 {
    let address = deployment.network.address(ADDED, CALLER_PORT);
    let headers = format!(
        "Host: shop.example\r\nShallotrill-Attempt-Id: {number:016x}\r\nShallotrill-Deadline-Ms: 1000\r\n"
    );
    let path = format!("/{ROUTE}/{number}");
    let answer = support::call(address, "GET", &path, &headers, "", Duration::from_secs(1));
    answer.map_or(0, |response| response.status)
}

/// Reads back from all registry processes. Returns the number of answers with an older version.
fn read_all(record: &Record, deployment: &Deployment) -> usize {
    let mut older = 0;
    for registry in &deployment.registries {
        let Some(config) = support::read_back(registry.admin()) else {
            record.line(&format!("read    {}: no 200", registry.name));
            continue;
        };
        let version = support::version(&config, ROUTE);
        record.line(&format!(
            "read    {}: 200, {ROUTE} version {version:?}",
            registry.name
        ));
        older += usize::from(version.is_none_or(|version| version < VERSION));
    }
    older
}
