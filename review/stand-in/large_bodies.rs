//! Case "large bodies": a few clients send bodies within the limits at once.

use std::io;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::server::Server;
use crate::support;
use crate::support::CALLER_PORT;
use crate::support::Deployment;
use crate::support::KeptConnection;
use crate::support::Outcome;
use crate::support::Program;
use crate::support::Record;

/// Machines of the server and of the clients.
const SERVER: u8 = 6;
const CLIENTS: u8 = 9;
/// Memory of a machine: `memory_mb` of the site file and `memoryMb` of the settings.
const MEMORY_KB: u64 = 260 * 1024;
/// Bodies that are sent at once, and their size: `maxBodyBytes` is 67,108,864.
const UPLOADS: usize = 4;
const UPLOAD_BYTES: usize = 60_000_000;
/// Size of the bodies without the disruption.
const SMALL_UPLOAD_BYTES: usize = 6_000;
/// Clients with kept connections, below the slots of the server.
const LOOKING_UP: u32 = 8;
/// Work of a request: the longest of an unsafe request in the site file.
const WORK: Duration = Duration::from_millis(580);
/// Time limit of all requests.
const TIME_LIMIT: Duration = Duration::from_secs(5);

/// Runs the case.
pub fn run(record: &Record) -> io::Result<Outcome> {
    let first = support::first_config(&["catalogue", "payments"], &[("r-look", "catalogue")]);
    let deployment = Deployment::start(record, &first)?;
    let (network, folder) = (deployment.network, &deployment.folder.0);
    let mut server_router = Program::router(SERVER, "catalogue", folder, network, record);
    let mut client_router = Program::router(CLIENTS, "payments", folder, network, record);
    server_router.start(true)?;
    client_router.start(true)?;
    let work = WORK;
    let server = Server::start(network, SERVER, "catalogue", work, record)?;
    thread::sleep(Duration::from_secs(4));
    let address = network.address(CLIENTS, CALLER_PORT);
    let done = AtomicBool::new(false);
    let closed: Mutex<Vec<String>> = Mutex::new(Vec::new());
    let kills = thread::scope(|scope| {
        let platform =
            scope.spawn(|| watch_memory(record, [&mut server_router, &mut client_router], &done));
        for client in 0..LOOKING_UP {
            let (done, closed) = (&done, &closed);
            scope.spawn(move || {
                let ids = look_up(record, address, client, done);
                closed.lock().unwrap().extend(ids);
            });
        }
        thread::sleep(Duration::from_secs(2));
        let bytes = if support::has_trouble() {
            UPLOAD_BYTES
        } else {
            SMALL_UPLOAD_BYTES
        };
        let uploads: Vec<_> = (0..UPLOADS)
            .map(|n| scope.spawn(move || upload(record, address, n, bytes)))
            .collect();
        for upload in uploads {
            let _ = upload.join();
        }
        thread::sleep(Duration::from_secs(2));
        done.store(true, Ordering::Relaxed);
        platform.join().unwrap_or_default()
    });
    let closed = closed.into_inner().unwrap();
    let arrivals = server.arrivals.lock().unwrap().clone();
    let passed_on = closed
        .iter()
        .filter(|id| arrivals.iter().any(|a| a.id == **id));
    let passed_on = passed_on.count();
    record.line(&format!(
        "count   {kills} processes were killed over their memory limit of {MEMORY_KB} kB; {} kept connections were closed without an answer, {passed_on} of them with a request that had been passed on to {}",
        closed.len(),
        server.id
    ));
    Ok(if passed_on > 3 {
        Outcome::Broken
    } else {
        Outcome::Held
    })
}

/// Does what the platform does: kills a process that uses more than its memory, and starts it again.
fn watch_memory(record: &Record, routers: [&mut Program; 2], done: &AtomicBool) -> u32 {
    let mut routers = routers;
    let mut kills = 0;
    while !done.load(Ordering::Relaxed) {
        for router in &mut routers {
            let Some(resident) = router.resident_kb().filter(|kb| *kb > MEMORY_KB) else {
                continue;
            };
            record.line(&format!(
                "memory  {} uses {resident} kB of {MEMORY_KB}",
                router.name
            ));
            router.kill();
            kills += 1;
            thread::sleep(Duration::from_millis(500));
            if let Err(error) = router.start(false) {
                record.line(&format!("start   {} failed: {error}", router.name));
            }
        }
        thread::sleep(Duration::from_millis(5));
    }
    kills
}

/// Sends look-ups on kept connections. Returns the ids of those whose connection was closed without an answer.
fn look_up(
    record: &Record,
    address: std::net::SocketAddr,
    client: u32,
    done: &AtomicBool,
) -> Vec<String> {
    let mut closed = Vec::new();
    let mut number = 0;
    while !done.load(Ordering::Relaxed) {
        let Ok(mut connection) = KeptConnection::open(address, TIME_LIMIT) else {
            thread::sleep(Duration::from_millis(100));
            continue;
        };
        loop {
            number += 1;
            let id = format!("{client:08x}{number:08x}");
            let headers = format!(
                "Host: shop.example\r\nShallotrill-Attempt-Id: {id}\r\nShallotrill-Deadline-Ms: {}\r\n",
                TIME_LIMIT.as_millis()
            );
            match connection.get(&format!("/r-look/{id}"), &headers) {
                Ok(200) => {}
                Ok(status) => record.line(&format!("clients {id}: {status}")),
                Err(error) => {
                    record.line(&format!("clients {id}: closed without an answer ({error})"));
                    closed.push(id);
                    break;
                }
            }
            if done.load(Ordering::Relaxed) {
                return closed;
            }
        }
    }
    closed
}

/// Sends one request with a body.
fn upload(record: &Record, address: std::net::SocketAddr, number: usize, bytes: usize) {
    let headers = format!(
        "Host: shop.example\r\nShallotrill-Attempt-Id: ffff{number:012x}\r\nShallotrill-Deadline-Ms: {}\r\n",
        TIME_LIMIT.as_millis()
    );
    let body = "a".repeat(bytes);
    let target = format!("/r-look/upload-{number}");
    let sent = record.now();
    let answer = support::call(address, "POST", &target, &headers, &body, TIME_LIMIT);
    let answer = answer.map(|response| response.status);
    record.line(&format!(
        "clients body of {bytes} bytes sent at {sent:.3}: {answer:?}"
    ));
}
