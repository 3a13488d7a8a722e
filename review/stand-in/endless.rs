//! Case "endless": a backend server refuses requests with answers whose bodies do not end.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::server::Refusals;
use crate::server::Server;
use crate::support;
use crate::support::CALLER_PORT;
use crate::support::Deployment;
use crate::support::KeptConnection;
use crate::support::Outcome;
use crate::support::Program;
use crate::support::Record;

/// Machines of the service; the server of the last one gets into trouble, and the clients are there too.
const MACHINES: [u8; 3] = [6, 7, 8];
const TROUBLED: u8 = 8;
/// Memory of a machine: `memory_mb` of the site file and `memoryMb` of the settings.
const MEMORY_KB: u64 = 260 * 1024;
/// Clients with kept connections, who send their next request when they have an answer: about 60 a
/// second, 20 for each server; in the site file it is 44.
const CLIENTS: u32 = 24;
/// Work of a request: the most for a look-up in the site file.
const WORK: Duration = Duration::from_millis(360);
/// Time limit of the requests.
const TIME_LIMIT: Duration = Duration::from_secs(2);
/// How long the server is in trouble.
const TROUBLE: Duration = Duration::from_secs(5);

/// Runs the case.
pub fn run(record: &Record) -> io::Result<Outcome> {
    let first = support::first_config(&["catalogue"], &[("r-look", "catalogue")]);
    let deployment = Deployment::start(record, &first)?;
    let (network, folder) = (deployment.network, &deployment.folder.0);
    let mut routers = Vec::new();
    let mut servers = Vec::new();
    for number in MACHINES {
        let mut router = Program::router(number, "catalogue", folder, network, record);
        router.start(true)?;
        routers.push(router);
        servers.push(Server::start(network, number, "catalogue", WORK, record)?);
    }
    thread::sleep(Duration::from_secs(4));
    let address = network.address(TROUBLED, CALLER_PORT);
    let done = AtomicBool::new(false);
    let statuses = Mutex::new(BTreeMap::new());
    let closed = Mutex::new(Vec::new());
    let kills = thread::scope(|scope| {
        let platform = scope.spawn(|| keep_within_memory(record, &mut routers, &done));
        for client in 0..CLIENTS {
            let (done, statuses, closed) = (&done, &statuses, &closed);
            scope.spawn(move || look_up(record, address, client, done, statuses, closed));
        }
        thread::sleep(Duration::from_secs(3));
        let troubled = &servers[2];
        let refusals = if support::has_trouble() {
            Refusals::Endless
        } else {
            Refusals::Short
        };
        troubled.refuse(refusals);
        record.line(&format!("server  {} refuses requests now: {refusals:?}", troubled.id));
        thread::sleep(TROUBLE);
        troubled.refuse(Refusals::None);
        record.line(&format!("server  {} serves requests again", troubled.id));
        thread::sleep(Duration::from_secs(2));
        done.store(true, Ordering::Relaxed);
        platform.join().unwrap_or_default()
    });
    let statuses = statuses.into_inner().unwrap();
    record.line(&format!("clients look-ups answered, by status: {statuses:?}"));
    record.line(&format!(
        "server  {} refused {} requests",
        servers[2].id,
        servers[2].refused()
    ));
    let closed: Vec<String> = closed.into_inner().unwrap();
    for server in &servers {
        for arrival in server.arrivals.lock().unwrap().iter() {
            record.note(&format!("ran     {} ran {} at {:.3}", server.id, arrival.id, arrival.at));
        }
    }
    let passed_on = closed.iter().filter(|id| ran(&servers[..2], id)).count();
    record.line(&format!(
        "count   {kills} processes were killed over their memory limit of {MEMORY_KB} kB; {} kept connections were closed without an answer, {passed_on} of them with a request that had been passed on to one of the two sound servers",
        closed.len()
    ));
    Ok(if passed_on > 3 {
        Outcome::Broken
    } else {
        Outcome::Held
    })
}

fn ran(sound: &[Arc<Server>], id: &str) -> bool {
    let has = |server: &Arc<Server>| server.arrivals.lock().unwrap().iter().any(|a| a.id == id);
    sound.iter().any(has)
}

/// Kills processes that use more memory than their machine has, and starts them again, as the platform does.
fn keep_within_memory(record: &Record, routers: &mut [Program], done: &AtomicBool) -> u32 {
    let mut kills = 0;
    let mut peaks = vec![0; routers.len()];
    while !done.load(Ordering::Relaxed) {
        for (router, peak) in routers.iter_mut().zip(&mut peaks) {
            let used = router.resident_kb().unwrap_or(0);
            *peak = used.max(*peak);
            if used <= MEMORY_KB {
                continue;
            }
            record.line(&format!("memory  {} uses {used} kB of {MEMORY_KB}", router.name));
            router.kill();
            kills += 1;
            thread::sleep(Duration::from_millis(500));
            if let Err(error) = router.start(false) {
                record.line(&format!("start   {} failed: {error}", router.name));
            }
        }
        thread::sleep(Duration::from_millis(5));
    }
    record.line(&format!("memory  peaks of the routers in kB: {peaks:?}"));
    kills
}

/// Sends look-ups on kept connections and notes those whose connection was closed without an answer.
fn look_up(
    record: &Record,
    address: SocketAddr,
    client: u32,
    done: &AtomicBool,
    statuses: &Mutex<BTreeMap<u16, u32>>,
    closed: &Mutex<Vec<String>>,
) {
    let mut number = 0;
    while !done.load(Ordering::Relaxed) {
        let Ok(mut connection) = KeptConnection::open(address, TIME_LIMIT) else {
            thread::sleep(Duration::from_millis(100));
            continue;
        };
        // Whether the connection has carried an answer, so that it is a kept one.
        let mut kept = false;
        while !done.load(Ordering::Relaxed) {
            number += 1;
            let id = format!("{client:08x}{number:08x}");
            let headers = format!(
                "Host: shop.example\r\nShallotrill-Attempt-Id: {id}\r\nShallotrill-Deadline-Ms: {}\r\n",
                TIME_LIMIT.as_millis()
            );
            match connection.get(&format!("/r-look/{id}"), &headers) {
                Ok(status) => {
                    kept = true;
                    record.note(&format!("client  {id}: {status}"));
                    *statuses.lock().unwrap().entry(status).or_insert(0) += 1;
                    if status != 200 {
                        thread::sleep(Duration::from_millis(100));
                    }
                }
                Err(error) => {
                    record.line(&format!(
                        "client  {id}: closed without an answer ({error}), kept connection: {kept}"
                    ));
                    if kept {
                        closed.lock().unwrap().push(id);
                    }
                    break;
                }
            }
        }
    }
}
