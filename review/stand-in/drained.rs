//! Case "drained": a router restarts after it has confirmed a departure, and a check-in arrives late.

use std::io;
use std::sync::Mutex;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::server::Server;
use crate::support;
use crate::support::CALLER_PORT;
use crate::support::Deployment;
use crate::support::Outcome;
use crate::support::Program;
use crate::support::Record;

/// Machine of the server that leaves, and of another one of its service.
const LEAVING: u8 = 6;
const STAYING: u8 = 7;
/// Machine of the clients.
const CLIENTS: u8 = 9;
/// `drainS` and `stabilityWindowS` of the settings.
const DRAIN_S: f64 = 2.0;
const STABILITY_WINDOW_S: f64 = 3.0;
/// Time from the kill of a process to its restart.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// How late the last check-in arrives.
const LATENESS: Duration = Duration::from_secs(2);
/// How long the server goes on after the confirmation.
const SERVES_ON: Duration = Duration::from_secs(12);
/// Clients that send look-ups at once, and the pause of each between two.
const CLIENT_COUNT: u32 = 8;
const PAUSE: Duration = Duration::from_millis(40);

/// Runs the case.
pub fn run(record: &Record) -> io::Result<Outcome> {
    let services = ["catalogue", "bookings"];
    let first = support::first_config(&services, &[("r-look", "catalogue")]);
    let deployment = Deployment::start(record, &first)?;
    let (network, folder) = (deployment.network, &deployment.folder.0);
    let router = |number, service: &str| Program::router(number, service, folder, network, record);
    let mut leaving_router = router(LEAVING, "catalogue");
    let mut staying_router = router(STAYING, "catalogue");
    let mut client_router = router(CLIENTS, "bookings");
    for router in [&mut leaving_router, &mut staying_router, &mut client_router] {
        router.start(true)?;
    }
    let work = Duration::from_millis(60);
    let leaving = Server::start(network, LEAVING, "catalogue", work, record)?;
    let staying = Server::start(network, STAYING, "catalogue", work, record)?;
    thread::sleep(Duration::from_secs(3));
    let stop_at = record.now() + 4.0;
    send_until(record, &deployment, stop_at);
    let before = leaving.arrivals.lock().unwrap().len();
    record.line(&format!(
        "count   {before} requests reached {} so far",
        leaving.id
    ));
    if before == 0 {
        return Err(io::Error::other("the server that leaves got no request"));
    }
    // The last check-in is sent now and delivered late.
    leaving.beats.store(false, Ordering::Relaxed);
    thread::sleep(Duration::from_millis(1_600));
    let late = leaving.check_in("ready");
    record.line(&format!(
        "beat    {} sends a check-in that will arrive late: {late}",
        leaving.id
    ));
    let status = leaving.deregister()?;
    let confirmed = record.now();
    record.line(&format!("leave   {} deregisters: {status}", leaving.id));
    if status != 200 {
        return Err(io::Error::other("the departure was not confirmed"));
    }
    let mut in_touch_from = confirmed;
    thread::scope(|scope| {
        let deployment = &deployment;
        scope.spawn(move || {
            send_until(record, deployment, confirmed + SERVES_ON.as_secs_f64());
        });
        if support::has_trouble() {
            leaving_router.kill();
            thread::sleep(RESTART_DELAY);
            leaving_router.start(false)?;
            in_touch_from = record.now() + STABILITY_WINDOW_S;
            thread::sleep(LATENESS - RESTART_DELAY);
            let status = leaving.send_check_in(&late);
            record.line(&format!(
                "beat    the check-in of {} arrives late: {status:?}",
                leaving.id
            ));
        }
        Ok::<(), io::Error>(())
    })?;
    let counted_from = in_touch_from.max(confirmed + DRAIN_S);
    let arrivals = leaving.arrivals.lock().unwrap().clone();
    let after = arrivals.iter().filter(|a| a.at > counted_from);
    for arrival in after.clone().take(10) {
        record.line(&format!(
            "ran     {} ran {} {} at {:.3}",
            leaving.id, arrival.id, arrival.path, arrival.at
        ));
    }
    record.line(&format!(
        "count   {} requests reached {} later than {DRAIN_S} s after its confirmation at {confirmed:.3}, with all machines in touch from {in_touch_from:.3}; {} reached {}",
        after.count(),
        leaving.id,
        staying.arrivals.lock().unwrap().len(),
        staying.id,
    ));
    let broken = arrivals.iter().any(|a| a.at > counted_from);
    Ok(if broken {
        Outcome::Broken
    } else {
        Outcome::Held
    })
}

/// Sends look-ups from all clients.
fn send_until(record: &Record, deployment: &Deployment, until: f64) {
    let address = deployment.network.address(CLIENTS, CALLER_PORT);
    let answers: Mutex<Vec<(u16, u32)>> = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for client in 0..CLIENT_COUNT {
            let answers = &answers;
            scope.spawn(move || {
                let mut number = 0;
                while record.now() < until {
                    number += 1;
                    let id = format!("{:06x}{client:02x}{number:08x}", (until * 100.0) as u32);
                    let headers = format!(
                        "Host: shop.example\r\nShallotrill-Attempt-Id: {id}\r\nShallotrill-Deadline-Ms: 1000\r\n"
                    );
                    let path = format!("/r-look/{client}-{number}");
                    let timeout = Duration::from_secs(1);
                    let answer = support::call(address, "GET", &path, &headers, "", timeout);
                    let status = answer.map_or(0, |response| response.status);
                    let mut answers = answers.lock().unwrap();
                    match answers.iter_mut().find(|(known, _)| *known == status) {
                        Some((_, count)) => *count += 1,
                        None => answers.push((status, 1)),
                    }
                    drop(answers);
                    thread::sleep(PAUSE);
                }
            });
        }
    });
    let answers = answers.into_inner().unwrap();
    record.line(&format!(
        "clients look-ups answered, by status: {answers:?}"
    ));
}
