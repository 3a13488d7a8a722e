//! Case "popular": two backend servers crash, one after the other, while clients ask for the same page.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::server::Server;
use crate::support;
use crate::support::CALLER_PORT;
use crate::support::Deployment;
use crate::support::Network;
use crate::support::Outcome;
use crate::support::Program;
use crate::support::Record;

/// Machines of the service that all clients look at, and of the other service.
const LOOK_UPS: [u8; 3] = [6, 7, 8];
const BOOKINGS: [u8; 2] = [9, 10];
/// Machines whose backend server crashes, one after the other.
const CRASHING: [u8; 2] = [6, 7];
/// Time of the traffic before the first crash.
const CALM: Duration = Duration::from_secs(3);
/// Time from the crash of a server to its next lifetime, and from there to the next crash.
const DOWN_TIME: Duration = Duration::from_secs(2);
const PAUSE: Duration = Duration::from_secs(1);
/// Time of the traffic.
const TRAFFIC: Duration = Duration::from_secs(90);
/// Work of a look-up and of a booking, in milliseconds.
const LOOK_UP_MS: u64 = 60;
const BOOKING_MS: u64 = 78;
/// Clients of each kind of request, and the interval at which each of them has a request.
const CLIENTS: u32 = 12;
const INTERVAL: Duration = Duration::from_millis(90);
/// Time of the traffic whose requests are recorded one by one; later ones are counted by the second.
const DETAILED: Duration = Duration::from_secs(12);
/// Time limit of the clients.
const DEADLINE: Duration = Duration::from_millis(500);
/// A server ends itself after this time, should the case not have ended it.
const LIFETIME_MAX: Duration = Duration::from_secs(110);
/// A kind of request is starved when it is served less than this share of all requests.
const STARVED_SHARE: f64 = 0.25;

/// One backend server that runs as a process of its own and prints what it runs.
struct Backend {
    child: Child,
    name: String,
    record: Record,
}

impl Backend {
    fn start(
        network: Network,
        number: u8,
        service: &str,
        work_ms: u64,
        runs: &Arc<Mutex<u32>>,
        record: &Record,
    ) -> io::Result<Self> {
        let mut child = Command::new(std::env::current_exe()?)
            .args(["server", &network.text(), &number.to_string(), service])
            .arg(work_ms.to_string())
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()?;
        support::remember(child.id());
        let output = child.stdout.take().ok_or(io::ErrorKind::BrokenPipe)?;
        let (reading, runs) = (record.clone(), Arc::clone(runs));
        let began = Instant::now();
        let name = format!("server-{number} of {service}");
        let label = name.clone();
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                if line.starts_with("ran") {
                    *runs.lock().unwrap() += 1;
                    if began.elapsed() < DETAILED {
                        reading.note(&format!("run     {label}: {line}"));
                    }
                } else {
                    reading.line(&format!("server  {label}: {line}"));
                }
            }
        });
        record.line(&format!("start   {name}"));
        Ok(Self {
            child,
            name,
            record: record.clone(),
        })
    }

    fn crash(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        support::forget(self.child.id());
        self.record.line(&format!("crash   {}", self.name));
    }
}

impl Drop for Backend {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        support::forget(self.child.id());
    }
}

/// What became of the requests of one kind.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    sent: u32,
    served: u32,
    refused: u32,
    other: u32,
}

impl Tally {
    fn share(self) -> f64 {
        f64::from(self.served) / f64::from(self.sent.max(1))
    }

    fn minus(self, other: Self) -> Self {
        Self {
            sent: self.sent - other.sent,
            served: self.served - other.served,
            refused: self.refused - other.refused,
            other: self.other - other.other,
        }
    }

    fn plus(self, other: Self) -> Self {
        Self {
            sent: self.sent + other.sent,
            served: self.served + other.served,
            refused: self.refused + other.refused,
            other: self.other + other.other,
        }
    }
}

/// A kind of request.
#[derive(Clone, Copy)]
struct Kind {
    route: &'static str,
    /// Whether every client asks for the same page; otherwise each request has a path of its own.
    same_page: bool,
    number: u32,
}

/// Runs the case.
pub fn run(record: &Record) -> io::Result<Outcome> {
    let services = ["catalogue", "bookings"];
    let routes = [("r-look", "catalogue"), ("r-book", "bookings")];
    let first = support::first_config(&services, &routes);
    let deployment = Deployment::start(record, &first)?;
    let (network, folder) = (deployment.network, &deployment.folder.0);
    let mut routers = Vec::new();
    for (numbers, service) in [(&LOOK_UPS[..], "catalogue"), (&BOOKINGS[..], "bookings")] {
        for number in numbers {
            let mut router = Program::router(*number, service, folder, network, record);
            router.start(true)?;
            routers.push(router);
        }
    }
    let looked_up = Arc::new(Mutex::new(0));
    let booked = Arc::new(Mutex::new(0));
    let start = |number, service: &str| {
        let (work_ms, runs) = match service {
            "catalogue" => (LOOK_UP_MS, &looked_up),
            _ => (BOOKING_MS, &booked),
        };
        Backend::start(network, number, service, work_ms, runs, record)
    };
    let mut catalogue = Vec::new();
    for number in LOOK_UPS {
        catalogue.push(start(number, "catalogue")?);
    }
    let mut bookings = Vec::new();
    for number in BOOKINGS {
        bookings.push(start(number, "bookings")?);
    }
    thread::sleep(Duration::from_secs(4));
    let look = Kind {
        route: "r-look",
        same_page: true,
        number: 1,
    };
    let book = Kind {
        route: "r-book",
        same_page: false,
        number: 2,
    };
    let address = network.address(BOOKINGS[0], CALLER_PORT);
    let began = Instant::now();
    let clients: Vec<_> = [look, book]
        .into_iter()
        .map(|kind| {
            let record = record.clone();
            thread::spawn(move || send(&record, address, kind))
        })
        .collect();
    thread::sleep(CALM);
    if support::has_trouble() {
        for number in CRASHING {
            let index = usize::from(number - LOOK_UPS[0]);
            catalogue[index].crash();
            thread::sleep(DOWN_TIME);
            catalogue[index] = start(number, "catalogue")?;
            thread::sleep(PAUSE);
        }
    }
    record.line("calm    all servers run from now on");
    let mut tallies = Vec::new();
    for client in clients {
        let tally = client.join();
        tallies.push(tally.map_err(|_| io::Error::other("the clients have failed"))?);
    }
    for router in &mut routers {
        if !router.is_running() {
            return Err(io::Error::other("a router has ended by itself"));
        }
    }
    let all = tallies[0].plus(tallies[1]);
    record.line(&format!("clients look-ups of one page: {:?}", tallies[0]));
    record.line(&format!("clients bookings: {:?}", tallies[1]));
    record.line(&format!(
        "ran     {} look-ups and {} bookings",
        looked_up.lock().unwrap(),
        booked.lock().unwrap()
    ));
    record.line(&format!(
        "count   in {:.0} s of traffic {:.1}% of the look-ups are served, {:.1}% of the bookings, {:.1}% of all requests",
        began.elapsed().as_secs_f64(),
        tallies[0].share() * 100.0,
        tallies[1].share() * 100.0,
        all.share() * 100.0
    ));
    if all.served == 0 || tallies[1].share() < 0.9 {
        return Err(io::Error::other("the other kind of request is not served either"));
    }
    Ok(if tallies[0].share() < STARVED_SHARE * all.share() {
        Outcome::Broken
    } else {
        Outcome::Held
    })
}

/// Sends the requests of one kind for the time of the traffic.
fn send(record: &Record, address: SocketAddr, kind: Kind) -> Tally {
    let tally = Mutex::new(Tally::default());
    let start = Instant::now();
    thread::scope(|scope| {
        let counted = &tally;
        scope.spawn(move || {
            let mut before = Tally::default();
            while start.elapsed() < TRAFFIC {
                thread::sleep(Duration::from_secs(1));
                let now = *counted.lock().unwrap();
                record.note(&format!("clients {} in one second: {:?}", kind.route, now.minus(before)));
                before = now;
            }
        });
        for client in 0..CLIENTS {
            let tally = &tally;
            scope.spawn(move || {
                thread::sleep(INTERVAL * client / CLIENTS);
                let mut number = 0;
                while start.elapsed() < TRAFFIC {
                    let sent_at = Instant::now();
                    number += 1;
                    let detailed = start.elapsed() < DETAILED;
                    let result = request(record, address, kind, client, number, detailed);
                    let mut tally = tally.lock().unwrap();
                    *tally = tally.plus(result);
                    drop(tally);
                    thread::sleep(INTERVAL.saturating_sub(sent_at.elapsed()));
                }
            });
        }
    });
    tally.into_inner().unwrap()
}

/// Sends one request and, after a refusal, one more attempt as told by `Retry-After`, for at most a
/// third of the time that is left.
fn request(
    record: &Record,
    address: SocketAddr,
    kind: Kind,
    client: u32,
    number: u32,
    detailed: bool,
) -> Tally {
    let start = Instant::now();
    let mut tally = Tally::default();
    for attempt in 0..2 {
        let left = DEADLINE.saturating_sub(start.elapsed());
        if left.is_zero() {
            break;
        }
        let id = format!("{:02x}{client:04x}{number:08x}{attempt:02x}", kind.number);
        let headers = format!(
            "Host: shop.example\r\nShallotrill-Attempt-Id: {id}\r\nShallotrill-Deadline-Ms: {}\r\n",
            left.as_millis()
        );
        let path = if kind.same_page {
            format!("/{}/available", kind.route)
        } else {
            format!("/{}/{client}-{number}-{attempt}", kind.route)
        };
        let answer = support::call(address, "GET", &path, &headers, "", left);
        let status = answer.as_ref().map_or(0, |response| response.status);
        if detailed {
            record.note(&format!("client  {id} {path}: {status}"));
        }
        tally.sent += 1;
        match status {
            200 => {
                tally.served += 1;
                break;
            }
            503 => tally.refused += 1,
            _ => tally.other += 1,
        }
        let left = DEADLINE.saturating_sub(start.elapsed());
        thread::sleep(left / 3);
    }
    tally
}

/// Runs one backend server until it is killed; prints what it runs.
pub fn serve(arguments: &[String], record: &Record) -> Option<()> {
    let [network, number, service, work_ms] = arguments else {
        return None;
    };
    let network = Network::parse(network)?;
    let work = Duration::from_millis(work_ms.parse().ok()?);
    let server = Server::start(network, number.parse().ok()?, service, work, record).ok()?;
    let mut printed = 0;
    let start = Instant::now();
    while start.elapsed() < LIFETIME_MAX {
        let arrivals = server.arrivals.lock().unwrap().split_off(0);
        for arrival in arrivals {
            printed += 1;
            println!("ran {printed} {} {}", arrival.id, arrival.path);
        }
        thread::sleep(Duration::from_millis(20));
    }
    Some(())
}
