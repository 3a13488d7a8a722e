//! A sound backend server: answers requests, checks in at the router beside it and deregisters.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::support;
use crate::support::ADMIN_PORT;
use crate::support::BACKEND_PORT;
use crate::support::Network;
use crate::support::Record;

/// Slots of a server, as in the site file.
const SLOTS: u32 = 11;
/// Interval of the check-ins: `heartbeatS` of the settings.
const BEAT_INTERVAL: Duration = Duration::from_millis(1_500);

/// A request that reached the server.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Seconds since the start of the run.
    pub at: f64,
    /// Id of the client attempt.
    pub id: String,
    /// Path of the request.
    pub path: String,
}

/// How a server refuses requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusals {
    /// It runs them.
    None,
    /// With a whole answer.
    Short,
    /// With an answer whose body does not end until the connection is closed.
    Endless,
}

/// Bytes of one piece of a body that does not end.
const PIECE_BYTES: usize = 64 * 1024;
/// Time from one piece to the next: 80 MB a second on a connection.
const PIECE_INTERVAL: Duration = Duration::from_micros(800);

/// How a server refuses requests now, and how many it has refused.
#[derive(Clone, Copy, Debug)]
struct Refusing {
    how: Refusals,
    refused: u32,
}

/// A running backend server.
pub struct Server {
    /// Its id.
    pub id: String,
    service: String,
    address: SocketAddr,
    router: SocketAddr,
    born: u64,
    sequence: AtomicU64,
    work: Duration,
    /// Whether it sends check-ins.
    pub beats: AtomicBool,
    refusals: Mutex<Refusing>,
    /// Requests that it ran.
    pub arrivals: Mutex<Vec<Arrival>>,
    record: Record,
}

impl Server {
    /// Starts the server of the machine `number`; its check-ins begin at once.
    pub fn start(
        network: Network,
        number: u8,
        service: &str,
        work: Duration,
        record: &Record,
    ) -> io::Result<Arc<Self>> {
        let address = network.address(number, BACKEND_PORT);
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let server = Arc::new(Self {
            id: format!(
                "i-{number}{:08x}",
                now.clone().unwrap_or_default().subsec_nanos()
            ),
            service: service.to_owned(),
            address,
            router: network.address(number, ADMIN_PORT),
            born: now.unwrap_or_default().as_millis() as u64,
            sequence: AtomicU64::new(0),
            work,
            beats: AtomicBool::new(true),
            refusals: Mutex::new(Refusing {
                how: Refusals::None,
                refused: 0,
            }),
            arrivals: Mutex::new(Vec::new()),
            record: record.clone(),
        });
        let listener = TcpListener::bind(address)?;
        let accepting = Arc::clone(&server);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = Arc::clone(&accepting);
                thread::spawn(move || server.serve(stream));
            }
        });
        let beating = Arc::clone(&server);
        thread::spawn(move || {
            while beating.beats.load(Ordering::Relaxed) {
                let body = beating.check_in("ready");
                let _ = beating.send_check_in(&body);
                thread::sleep(BEAT_INTERVAL);
            }
        });
        record.line(&format!(
            "server  {} of {service} listens on {address}",
            server.id
        ));
        Ok(server)
    }

    /// Changes how the server refuses requests.
    pub fn refuse(&self, refusals: Refusals) {
        self.refusals.lock().unwrap().how = refusals;
    }

    /// Number of requests that it has refused.
    pub fn refused(&self) -> u32 {
        self.refusals.lock().unwrap().refused
    }

    /// How the next request is refused, if it is.
    fn next_refusal(&self) -> Refusals {
        let mut refusing = self.refusals.lock().unwrap();
        if refusing.how != Refusals::None {
            refusing.refused += 1;
        }
        refusing.how
    }

    /// Refuses one request. Returns `None` when the connection is closed.
    fn refuse_one(&self, refusals: Refusals, id: &str, mut writer: &TcpStream) -> Option<()> {
        let head = format!(
            "HTTP/1.1 503 Service Unavailable\r\nShallotrill-Attempt-Id: {id}\r\nShallotrill-Not-Executed: 1\r\n"
        );
        if refusals == Refusals::Short {
            let answer = format!("{head}Content-Length: 5\r\n\r\nfull\n");
            return writer.write_all(answer.as_bytes()).ok();
        }
        let answer = format!("{head}Transfer-Encoding: chunked\r\n\r\n");
        writer.write_all(answer.as_bytes()).ok()?;
        let piece = format!("{PIECE_BYTES:x}\r\n{}\r\n", "x".repeat(PIECE_BYTES));
        loop {
            writer.write_all(piece.as_bytes()).ok()?;
            thread::sleep(PIECE_INTERVAL);
        }
    }

    /// The body of the next check-in.
    pub fn check_in(&self, state: &str) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        format!(
            "{{\"born\":{},\"address\":\"{}\",\"info\":{{\"service\":\"{}\",\"version\":\"v1\",\
             \"zone\":\"zone-0\",\"slots\":{SLOTS}}},\"status\":{{\"state\":\"{state}\",\
             \"sequence\":{sequence},\"coldRemainingS\":0}}}}",
            self.born, self.address, self.service
        )
    }

    /// Delivers a check-in. Returns its status.
    pub fn send_check_in(&self, body: &str) -> io::Result<u16> {
        let path = format!("/api/Instances.Heartbeat/{}", self.id);
        let timeout = Duration::from_secs(1);
        let response = support::call(
            self.router,
            "POST",
            &path,
            support::JSON_HEADERS,
            body,
            timeout,
        )?;
        Ok(response.status)
    }

    /// Deregisters. Returns the status.
    pub fn deregister(&self) -> io::Result<u16> {
        let path = format!("/api/Instances.Deregister/{}", self.id);
        let timeout = Duration::from_secs(1);
        let response = support::call(
            self.router,
            "POST",
            &path,
            support::JSON_HEADERS,
            "{}",
            timeout,
        )?;
        Ok(response.status)
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(writer) = stream.try_clone() else {
            return;
        };
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while self.serve_one(&mut reader, &writer).is_some() {}
    }

    fn serve_one(&self, reader: &mut BufReader<TcpStream>, mut writer: &TcpStream) -> Option<()> {
        let mut lines = Vec::new();
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let line = line.trim_end().to_owned();
            if line.is_empty() {
                break;
            }
            lines.push(line);
        }
        let header = |name: &str| {
            lines.iter().skip(1).find_map(|line| {
                let (key, value) = line.split_once(':')?;
                key.eq_ignore_ascii_case(name)
                    .then(|| value.trim().to_owned())
            })
        };
        let length = header("content-length")
            .and_then(|l| l.parse().ok())
            .unwrap_or(0);
        let mut body = vec![0; length];
        reader.read_exact(&mut body).ok()?;
        let path = lines.first()?.split(' ').nth(1)?.to_owned();
        let load = format!("Shallotrill-Server-Load: 1,0,{SLOTS},100\r\n");
        let answer = if path == "/healthz" {
            format!(
                "HTTP/1.1 200 OK\r\nShallotrill-Instance-Id: {}\r\n{load}Content-Length: 0\r\n\r\n",
                self.id
            )
        } else {
            let id = header("shallotrill-attempt-id").unwrap_or_default();
            if header("shallotrill-expected-instance").is_some_and(|expected| expected != self.id) {
                format!(
                    "HTTP/1.1 421 Misdirected\r\nShallotrill-Attempt-Id: {id}\r\nShallotrill-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                )
            } else {
                let refusals = self.next_refusal();
                if refusals != Refusals::None {
                    return self.refuse_one(refusals, &id, writer);
                }
                let at = self.record.now();
                self.arrivals.lock().unwrap().push(Arrival {
                    at,
                    id: id.clone(),
                    path,
                });
                thread::sleep(self.work);
                format!(
                    "HTTP/1.1 200 OK\r\nShallotrill-Attempt-Id: {id}\r\nShallotrill-Response-Seal: {}.{id}\r\n{load}Content-Length: 3\r\n\r\nok\n",
                    self.id
                )
            }
        };
        writer.write_all(answer.as_bytes()).ok()
    }
}
