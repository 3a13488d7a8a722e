//! A stand-in for a sound backend server, and one for its clients.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::fleet;
use crate::fleet::Answer;
use crate::fleet::Record;

/// Interval of the heartbeats (`heartbeatS`).
const HEARTBEAT: Duration = Duration::from_millis(1500);

/// Slots of a backend server.
pub const SLOTS: usize = 11;

/// Ids of the requests that the backend servers of a script have begun to run.
pub type Runs = Arc<Mutex<Vec<String>>>;

/// A backend server. Its listener ends with the process.
pub struct Target {
    pub id: String,
    service: String,
    ip: Ipv4Addr,
    born: u64,
    sequence: AtomicU64,
    pub draining: AtomicBool,
    /// Set to end it: it closes its listener and sends nothing more.
    pub ended: AtomicBool,
    /// Whether it sends heartbeats by itself.
    pub beats: AtomicBool,
    /// Whether its runs are left out of the record.
    pub quiet: AtomicBool,
    running: AtomicUsize,
    record: Record,
    runs: Runs,
}

impl Target {
    /// Starts a backend server at the address of its machine's settings.
    pub fn start(record: &Record, runs: &Runs, ip: Ipv4Addr, id: &str, service: &str) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind((ip, fleet::APP))?;
        listener.set_nonblocking(true)?;
        let target = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            ip,
            born: SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64),
            sequence: AtomicU64::new(0),
            draining: AtomicBool::new(false),
            ended: AtomicBool::new(false),
            beats: AtomicBool::new(true),
            quiet: AtomicBool::new(false),
            running: AtomicUsize::new(0),
            record: record.clone(),
            runs: Arc::clone(runs),
        });
        record.line(&format!("target {id} of {service} starts at {ip}"));
        let accepting = Arc::clone(&target);
        thread::spawn(move || {
            while !accepting.ended.load(Ordering::Relaxed) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let serving = Arc::clone(&accepting);
                        thread::spawn(move || serving.serve(stream));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        let beating = Arc::clone(&target);
        thread::spawn(move || {
            while !beating.ended.load(Ordering::Relaxed) {
                if beating.beats.load(Ordering::Relaxed) {
                    beating.beat();
                }
                thread::sleep(HEARTBEAT);
            }
        });
        Ok(target)
    }

    /// The body of a heartbeat with the next sequence number.
    pub fn heartbeat(&self) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
        let state = if self.draining.load(Ordering::Relaxed) { "draining" } else { "ready" };
        format!(
            "{{\"born\":{},\"address\":\"{}:{}\",\"info\":{{\"service\":\"{}\",\"version\":\"v1\",\"zone\":\"hamilton\",\"slots\":{SLOTS}}},\"status\":{{\"state\":\"{state}\",\"sequence\":{sequence},\"coldRemainingS\":0}}}}",
            self.born,
            self.ip,
            fleet::APP,
            self.service
        )
    }

    /// Sends a heartbeat. Returns whether it was acknowledged.
    pub fn beat(&self) -> bool {
        let body = self.heartbeat();
        self.send_heartbeat(&body)
    }

    pub fn send_heartbeat(&self, body: &str) -> bool {
        self.post(&format!("/api/Instances.Heartbeat/{}", self.id), body)
    }

    fn post(&self, path: &str, body: &str) -> bool {
        let request = format!(
            "POST {path} HTTP/1.1\r\nHost: admin\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
            body.len()
        );
        let answer = fleet::call((self.ip, fleet::ADMIN).into(), request.as_bytes(), Duration::from_secs(1));
        answer.is_ok_and(|answer| answer.status == 200)
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
        let mut bytes = Vec::new();
        while let Some((head, body)) = read_request(&mut stream, &mut bytes) {
            if self.ended.load(Ordering::Relaxed) || self.answer(&mut stream, &head, &body).is_err() {
                return;
            }
        }
    }

    fn load(&self) -> String {
        format!("{},0,{SLOTS},100", self.running.load(Ordering::Relaxed))
    }

    fn answer(&self, stream: &mut TcpStream, head: &str, _body: &[u8]) -> io::Result<()> {
        let path = head.split(' ').nth(1).unwrap_or_default().to_owned();
        if path == "/healthz" {
            let status = if self.draining.load(Ordering::Relaxed) { "503 Service Unavailable" } else { "200 OK" };
            return write!(
                stream,
                "HTTP/1.1 {status}\r\nShallotrill-Instance-Id: {}\r\nShallotrill-Server-Load: {}\r\nContent-Length: 0\r\n\r\n",
                self.id,
                self.load()
            );
        }
        let field = |name: &str| {
            head.lines().skip(1).find_map(|line| {
                let (key, value) = line.split_once(':')?;
                key.eq_ignore_ascii_case(name).then(|| value.trim().to_owned())
            })
        };
        let id = field("shallotrill-attempt-id").unwrap_or_default();
        if field("shallotrill-expected-instance").is_some_and(|expected| expected != self.id) {
            self.record.line(&format!("target {}: request {id} is for another instance: 421", self.id));
            return write!(
                stream,
                "HTTP/1.1 421 Misdirected Request\r\nShallotrill-Attempt-Id: {id}\r\nContent-Length: 0\r\n\r\n"
            );
        }
        if !self.quiet.load(Ordering::Relaxed) {
            self.record.line(&format!("target {}: runs request {id} ({path})", self.id));
        }
        self.runs.lock().unwrap_or_else(|e| e.into_inner()).push(id.clone());
        self.running.fetch_add(1, Ordering::Relaxed);
        let work: u64 = field("x-work-ms").and_then(|ms| ms.parse().ok()).unwrap_or(20);
        thread::sleep(Duration::from_millis(work));
        self.running.fetch_sub(1, Ordering::Relaxed);
        let mut text = format!("the answer to {id}");
        let bytes: usize = field("x-body-bytes").and_then(|bytes| bytes.parse().ok()).unwrap_or(0);
        text.extend(std::iter::repeat_n('.', bytes.saturating_sub(text.len())));
        write!(
            stream,
            "HTTP/1.1 200 OK\r\nShallotrill-Attempt-Id: {id}\r\nShallotrill-Response-Seal: {id}.{}\r\nShallotrill-Server-Load: {}\r\nContent-Length: {}\r\n\r\n{text}",
            text.len(),
            self.load(),
            text.len()
        )
    }
}

/// Reads a request with a length or in chunks; `None` at the end of the connection.
fn read_request(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> Option<(String, Vec<u8>)> {
    let mut chunk = [0; 16 * 1024];
    loop {
        if let Some(split) = bytes.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&bytes[..split]).into_owned();
            let length = head.lines().find_map(|line| {
                let (key, value) = line.split_once(':')?;
                key.eq_ignore_ascii_case("content-length").then(|| value.trim().parse::<usize>().ok())?
            });
            let length = length.unwrap_or(0);
            if bytes.len() >= split + 4 + length {
                let body = bytes[split + 4..split + 4 + length].to_vec();
                bytes.drain(..split + 4 + length);
                return Some((head, body));
            }
        }
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(length) => bytes.extend_from_slice(&chunk[..length]),
        }
    }
}

/// A request of a client on a connection of its own.
pub fn request(
    record: &Record,
    router: SocketAddr,
    (method, path, id): (&str, &str, &str),
    fields: &str,
    limit: Duration,
) -> io::Result<Answer> {
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: jepu9.example\r\nShallotrill-Attempt-Id: {id}\r\nShallotrill-Deadline-Ms: {}\r\n{fields}Content-Length: 0\r\n\r\n",
        limit.as_millis()
    );
    let answer = fleet::call(router, text.as_bytes(), limit + Duration::from_secs(1));
    match &answer {
        Ok(answer) => record.line(&format!("client: {id} at {router}: {} {}", answer.status, answer.text())),
        Err(error) => record.line(&format!("client: {id} at {router}: no answer: {error}")),
    }
    answer
}
