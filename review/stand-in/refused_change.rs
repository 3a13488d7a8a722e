//! Case "refused change": two operators send changes of one version at once, and they share one route.

use std::io;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::support;
use crate::support::Deployment;
use crate::support::Outcome;
use crate::support::Record;

/// Statuses that end a call of an operator immediately.
const REFUSALS: [u16; 5] = [400, 409, 412, 413, 422];
/// Races of two operators, one after the other.
const RACES: u64 = 6;
/// Pairs of changes in a race: the largest `count` of `config_race` in the site files.
const PAIRS: u64 = 4;
/// Time from one pair to the next: the `gap_s` of `config_race` in the site file. Proposals that were
/// interrupted are repaired within 0.6 s.
const GAP: Duration = Duration::from_millis(1_200);
/// Longest time by which the second operator is later, as a share of the time that the first change
/// takes alone. The pairs sweep it in equal steps from zero.
const LATENESS_MAX: f64 = 1.0;
/// Routes of the large change: the `count` of `big_config` in the site file.
const ROUTES: usize = 350;

/// Runs the case.
pub fn run(record: &Record) -> io::Result<Outcome> {
    let services = ["catalogue", "bookings", "payments"];
    let first = support::first_config(&services, &[("r-shared", "catalogue")]);
    let deployment = Deployment::start(record, &first)?;
    let all: Vec<u8> = (1..=support::REGISTRIES).collect();
    if !deployment.wait_for(&all, "r-shared", 1, Duration::from_secs(10)) {
        return Err(io::Error::other("the first configuration is not read back"));
    }
    let admins = deployment.admins();
    let mut alone = Duration::ZERO;
    for version in [3, 4, 5, 6] {
        let started = Instant::now();
        if support::change(record, admins[0], "large change", &large(version)) != Some(200) {
            return Err(io::Error::other("the large change was not acknowledged"));
        }
        alone += started.elapsed() / 4;
        thread::sleep(Duration::from_millis(500));
    }
    record.line(&format!(
        "alone   the large change takes {alone:?} alone, mean of 4"
    ));
    let (mut refused, mut broken) = (0, 0);
    for pair in 0..RACES * PAIRS {
        let version = 10 + 7 * pair;
        let place = pair as usize % admins.len();
        let targets = [admins[place], admins[(place + 2) % admins.len()]];
        let lateness = LATENESS_MAX * pair as f64 / (RACES * PAIRS) as f64;
        let statuses = send_pair(record, version, targets, alone.mul_f64(lateness));
        thread::sleep(GAP);
        if !statuses[0].is_some_and(|status| REFUSALS.contains(&status)) {
            continue;
        }
        refused += 1;
        let mut counts = Vec::new();
        for admin in &admins {
            let config = support::read_back(*admin).unwrap_or_default();
            // The product writes the keys of an object in alphabetical order without spaces.
            let is_in_force =
                |n: &usize| config.contains(&format!("\"name\":\"r-{n}\",\"version\":{version}}}"));
            counts.push((0..ROUTES).filter(is_in_force).count());
        }
        let is_broken = counts.iter().any(|count| *count > 0);
        broken += u32::from(is_broken);
        record.line(&format!(
            "read    version {version} was refused; of its {ROUTES} other routes the registry processes show in force: {counts:?}{}",
            if is_broken { " BROKEN" } else { "" }
        ));
    }
    record.line(&format!(
        "count   {refused} of {} large changes were refused, and {broken} of these came into force in part",
        RACES * PAIRS
    ));
    Ok(if broken > 0 {
        Outcome::Broken
    } else {
        Outcome::Held
    })
}

/// The change of the first operator: the shared route and many more.
fn large(version: u64) -> String {
    let mut items = vec![support::route("r-shared", version, "bookings", 1.0)];
    let routes = (0..ROUTES).map(|n| support::route(&format!("r-{n}"), version, "bookings", 1.0));
    items.extend(routes);
    support::patch(&items)
}

/// Sends two changes of one version to two processes and returns their statuses. Without the
/// disruption the second one is sent after the answer to the first.
fn send_pair(
    record: &Record,
    version: u64,
    targets: [SocketAddr; 2],
    offset: Duration,
) -> [Option<u16>; 2] {
    let small = support::patch(&[support::route("r-shared", version, "payments", 1.0)]);
    let send_large = || {
        let label = format!("r-shared and {ROUTES} routes, version {version},");
        support::change(record, targets[0], &label, &large(version))
    };
    let send_small = || {
        let label = format!("r-shared alone, version {version},");
        support::change(record, targets[1], &label, &small)
    };
    if !support::has_trouble() {
        return [send_large(), send_small()];
    }
    thread::scope(|scope| {
        let first = scope.spawn(send_large);
        thread::sleep(offset);
        let second = send_small();
        [first.join().unwrap_or_default(), second]
    })
}
