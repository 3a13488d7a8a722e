//! One registry process, one router and a stand-in of a backend server on loopback addresses.

use std::fs;
use std::fs::File;
use std::io;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use serde_json::Value;
use serde_json::json;
use tempfile::TempDir;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::time;

/// Memory in the settings of both processes, and the bound that is checked.
pub const MEMORY_MB: u64 = 64;

/// Descriptors in the settings of most cases.
pub const DESCRIPTORS: usize = 256;

/// `maxBodyBytes` of the configuration.
pub const BODY_BYTES: usize = 1024 * 1024;

/// Longest time for a check to succeed. It is far beyond every time limit of the product, so a
/// check that fails does not depend on the speed of the machine.
const PATIENCE: Duration = Duration::from_secs(20);

const SAMPLE_INTERVAL: Duration = Duration::from_millis(5);
const SLOTS: usize = 64;

/// Addresses of the two processes.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    network: u8,
}

impl Addresses {
    fn new() -> Self {
        // Concurrent runs of different worktrees use different networks.
        let network = (std::process::id() % 250) as u8;
        Self { network }
    }

    const fn ip(self, host: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, 77, self.network, host))
    }

    pub const fn operator(self) -> SocketAddr {
        SocketAddr::new(self.ip(1), 8_620)
    }

    pub const fn registry(self) -> SocketAddr {
        SocketAddr::new(self.ip(1), 7_600)
    }

    pub const fn callers(self) -> SocketAddr {
        SocketAddr::new(self.ip(2), 8_629)
    }

    pub const fn routers(self) -> SocketAddr {
        SocketAddr::new(self.ip(2), 8_624)
    }

    pub const fn ready(self) -> SocketAddr {
        SocketAddr::new(self.ip(2), 8_625)
    }

    pub const fn admin(self) -> SocketAddr {
        SocketAddr::new(self.ip(2), 8_620)
    }

    const fn backend(self) -> SocketAddr {
        SocketAddr::new(self.ip(2), 8_628)
    }

    /// Source address of requests that are not part of a crowd.
    const fn ordinary(self) -> SocketAddr {
        SocketAddr::new(self.ip(3), 0)
    }
}

/// A process under test and the peaks of its use.
struct Process {
    name: &'static str,
    child: Child,
    /// Descriptors in its settings, and the bound that is checked.
    descriptors_max: usize,
    descriptors: Arc<AtomicUsize>,
    stop: Arc<AtomicBool>,
    sampler: Option<JoinHandle<()>>,
}

impl Process {
    fn start(name: &'static str, folder: &Path, settings: &Value) -> io::Result<Self> {
        let path = folder.join(format!("{name}.json"));
        fs::write(&path, settings.to_string())?;
        let log = File::create(folder.join(format!("{name}.log")))?;
        let child = Command::new(env!("CARGO_BIN_EXE_shallotrill"))
            .arg("platform")
            .env_clear()
            .env("SHALLOTRILL_NODE_FILE", path)
            .env("RUST_BACKTRACE", "1")
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        let descriptors = Arc::new(AtomicUsize::new(0));
        let stop = Arc::new(AtomicBool::new(false));
        let (peak, stopped, id) = (Arc::clone(&descriptors), Arc::clone(&stop), child.id());
        let sampler = thread::spawn(move || {
            while !stopped.load(Ordering::Relaxed) {
                let open = fs::read_dir(format!("/proc/{id}/fd")).map_or(0, Iterator::count);
                peak.fetch_max(open, Ordering::Relaxed);
                thread::sleep(SAMPLE_INTERVAL);
            }
        });
        Ok(Self {
            name,
            child,
            descriptors_max: settings["limits"]["maxFds"].as_u64().unwrap_or(0) as usize,
            descriptors,
            stop,
            sampler: Some(sampler),
        })
    }

    fn reset_peaks(&self) {
        self.descriptors.store(0, Ordering::Relaxed);
        // Writing 5 sets the peak to the memory in use. It fails only if the process has exited, which is checked.
        let _ = fs::write(format!("/proc/{}/clear_refs", self.child.id()), "5");
    }

    /// A field of the memory status in kB; `None` if the process has exited.
    fn status_kb(&self, field: &str) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find_map(|l| l.strip_prefix(field))?;
        line.trim().trim_end_matches(" kB").parse().ok()
    }

    fn check(&mut self) -> (String, Vec<String>) {
        let name = self.name;
        if let Ok(Some(status)) = self.child.try_wait() {
            return (
                format!("{name} ended"),
                vec![format!("{name} ended: {status}")],
            );
        }
        let peak_kb = self.status_kb("VmHWM:").unwrap_or(u64::MAX);
        let open = self.descriptors.load(Ordering::Relaxed);
        let mut failures = Vec::new();
        if peak_kb > MEMORY_MB * 1024 {
            failures.push(format!(
                "{name} used {peak_kb} kB of {} kB",
                MEMORY_MB * 1024
            ));
        }
        let most = self.descriptors_max;
        if open > most {
            failures.push(format!("{name} had {open} of {most} descriptors open"));
        }
        (format!("{name} {peak_kb} kB {open} fd"), failures)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        let _ = self.child.kill();
        let _ = self.child.wait();
        if let Some(sampler) = self.sampler.take() {
            let _ = sampler.join();
        }
    }
}

/// The processes under test, with the tasks of the stand-in.
pub struct Fixture {
    pub addresses: Addresses,
    registry: Process,
    router: Process,
    tasks: Vec<tokio::task::JoinHandle<()>>,
    folder: TempDir,
    discarded: bool,
}

impl Fixture {
    /// Starts everything with this number of descriptors in the settings, and waits until an ordinary request is answered.
    pub async fn start(descriptors: usize) -> io::Result<Self> {
        let addresses = Addresses::new();
        let folder = tempfile::tempdir()?;
        let mut shared = json!({
            "nodeName": "n",
            "zone": "zone-0",
            "region": "waikato",
            "peerPortRange": [7_600, 7_615],
            "seeds": [addresses.operator().to_string()],
            "bootstrap": true,
            "faultTolerance": {"machines": 0, "zones": 0, "regions": 0},
            "bounds": ["graceS=6", "drainS=2", "retryBudgetRatio=0.2", "budgetSlack=60", "budgetWindowS=10"],
            "limits": {"memoryMb": MEMORY_MB, "maxFds": descriptors},
        });
        shared["ip"] = json!(addresses.ip(1));
        shared["listenAddrs"] = json!({"admin": addresses.operator().to_string()});
        shared["dataDir"] = json!(folder.path().join("data"));
        fs::create_dir_all(folder.path().join("data"))?;
        let registry = Process::start("registry", folder.path(), &shared)?;
        shared["ip"] = json!(addresses.ip(2));
        shared["dataDir"] = Value::Null;
        shared["appAddr"] = json!(addresses.backend().to_string());
        shared["service"] = json!("lending");
        shared["listenAddrs"] = json!({
            "inbound": addresses.routers().to_string(),
            "outbound": addresses.callers().to_string(),
            "ready": addresses.ready().to_string(),
            "admin": addresses.admin().to_string(),
        });
        let router = Process::start("router", folder.path(), &shared)?;
        let listener = listen(addresses.backend()).await?;
        let tasks = vec![
            tokio::spawn(serve(listener)),
            tokio::spawn(announce(addresses)),
        ];
        let mut fixture = Self {
            addresses,
            registry,
            router,
            tasks,
            folder,
            discarded: false,
        };
        let patch = configuration(descriptors).to_string();
        let request = post("/api/Config.Patch", &patch);
        for (to, request, what) in [
            (addresses.operator(), request.as_str(), "configuration"),
            (addresses.callers(), ORDINARY, "first request"),
        ] {
            if let Err(error) = fixture.answered(to, request, what).await {
                let logs = fixture.keep_logs();
                return Err(io::Error::other(format!("{error}; logs: {logs}")));
            }
        }
        Ok(fixture)
    }

    /// Whether the processes must be replaced before the next case: one failed, or memory is still in use.
    pub fn must_be_replaced(&self) -> bool {
        let over = |process: &Process| {
            let resident_kb = process.status_kb("VmRSS:").unwrap_or(u64::MAX);
            resident_kb > MEMORY_MB * 1024 / 2
        };
        self.discarded || over(&self.router) || over(&self.registry)
    }

    /// Marks the processes as not to be used for another case.
    pub const fn discard(&mut self) {
        self.discarded = true;
    }

    pub fn reset_peaks(&self) {
        self.router.reset_peaks();
        self.registry.reset_peaks();
    }

    /// Sends a request until it is answered with 200.
    async fn answered(&self, to: SocketAddr, request: &str, what: &str) -> io::Result<()> {
        let from = self.addresses.ordinary();
        let deadline = time::Instant::now() + PATIENCE;
        loop {
            let sent = time::timeout(Duration::from_secs(3), send(from, to, request)).await;
            let last = match sent {
                Ok(Ok(200)) => return Ok(()),
                Ok(Ok(status)) => format!("status {status}"),
                Ok(Err(error)) => error.to_string(),
                Err(_) => "no response".to_owned(),
            };
            if time::Instant::now() >= deadline {
                return Err(io::Error::other(format!("{what} not answered: {last}")));
            }
            time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Sends a complete body of the maximum size until it is answered with 200.
    pub async fn upload(&self) -> io::Result<()> {
        let request = post("/upload/", &"u".repeat(BODY_BYTES));
        let request = request.replacen(
            "host: n",
            "host: shop.example\r\nshallotrill-attempt-id: u",
            1,
        );
        self.answered(self.addresses.callers(), &request, "upload")
            .await
    }

    /// Checks both processes while the crowd is still connected. Returns what was measured, and the failures.
    pub async fn check(&mut self) -> (String, Vec<String>) {
        let addresses = self.addresses;
        let mut failures = Vec::new();
        for (to, request, what) in [
            (addresses.callers(), ORDINARY, "ordinary request"),
            (addresses.ready(), READY, "readiness check"),
            (addresses.operator(), QUERY, "operator's query"),
        ] {
            if let Err(error) = self.answered(to, request, what).await {
                failures.push(error.to_string());
            }
        }
        let (router, router_failures) = self.router.check();
        let (registry, registry_failures) = self.registry.check();
        failures.extend(router_failures);
        failures.extend(registry_failures);
        (format!("{router}, {registry}"), failures)
    }

    /// Stops everything and waits until the addresses are free.
    pub async fn stop(mut self) {
        for task in std::mem::take(&mut self.tasks) {
            task.abort();
            let _ = task.await;
        }
    }

    /// Keeps the logs of the processes and returns their folder.
    pub fn keep_logs(&mut self) -> String {
        self.folder.disable_cleanup(true);
        self.folder.path().display().to_string()
    }
}

impl Drop for Fixture {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

const ORDINARY: &str = "GET /work/ordinary HTTP/1.1\r\nhost: shop.example\r\nshallotrill-attempt-id: ordinary\r\nconnection: close\r\n\r\n";
const READY: &str = "GET /api/readyz HTTP/1.1\r\nhost: n\r\nconnection: close\r\n\r\n";
const QUERY: &str = "GET /api/Config.Get HTTP/1.1\r\nhost: n\r\nconnection: close\r\n\r\n";

fn post(path: &str, body: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: n\r\ncontent-type: application/json\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// The configuration. A process with more descriptors may have more connections to the backend server.
fn configuration(descriptors: usize) -> Value {
    let item = |kind: &str, name: &str, spec: Value| json!({"type": kind, "metadata": {"name": name, "version": 1}, "spec": spec});
    let route = |prefix: &str, timeout_s: f64| json!({"host": "shop.example", "prefix": prefix, "kind": "safe", "timeoutS": timeout_s, "maxAttempts": 3, "service": "lending"});
    let service =
        json!({"healthPath": "/healthz", "maxConnections": descriptors * 100 / DESCRIPTORS});
    let limits = json!({"maxHeaderBytes": 16_384, "maxBodyBytes": BODY_BYTES, "headerTimeoutS": 3, "idleTimeoutS": 15});
    let resources = [
        item("routes", "work", route("/work/", 2.5)),
        item("routes", "upload", route("/upload/", 10.0)),
        item("services", "lending", service),
        json!({"type": "limits", "metadata": {"version": 1}, "spec": limits}),
    ];
    json!({"upsert": {"resources": resources}})
}

/// Sends a request on a new connection and returns the status of its response.
async fn send(from: SocketAddr, to: SocketAddr, request: &str) -> io::Result<u16> {
    let socket = TcpSocket::new_v4()?;
    socket.bind(from)?;
    let mut stream = socket.connect(to).await?;
    stream.write_all(request.as_bytes()).await?;
    let mut response = Vec::new();
    stream.read_to_end(&mut response).await?;
    let head = String::from_utf8_lossy(&response[..response.len().min(64)]);
    let status = head.split(' ').nth(1).and_then(|s| s.parse().ok());
    status.ok_or_else(|| io::Error::other("no response head"))
}

/// Announces the stand-in every 500 ms, as backend servers do.
async fn announce(addresses: Addresses) {
    let born = SystemTime::now().duration_since(UNIX_EPOCH);
    let born = born.map_or(0, |since| since.as_millis() as u64);
    for sequence in 0_u64.. {
        let body = json!({
            "address": addresses.backend().to_string(),
            "born": born,
            "info": {"service": "lending", "slots": SLOTS},
            "status": {"state": "ready", "sequence": sequence, "coldRemainingS": 0},
        });
        let request = post("/api/Instances.Heartbeat/lending-0", &body.to_string());
        let sent = send(addresses.ordinary(), addresses.admin(), &request);
        let _ = time::timeout(Duration::from_secs(2), sent).await;
        time::sleep(Duration::from_millis(500)).await;
    }
}

/// Opens the listener of the stand-in, once the kernel has closed that of an earlier fixture.
async fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let deadline = time::Instant::now() + PATIENCE;
    loop {
        match TcpListener::bind(address).await {
            Err(error)
                if error.kind() == io::ErrorKind::AddrInUse && time::Instant::now() < deadline =>
            {
                time::sleep(Duration::from_millis(50)).await;
            }
            bound => return bound,
        }
    }
}

async fn serve(listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(answer(stream));
    }
}

/// Answers the requests of one connection. The responses of paths that contain `large` have [`BODY_BYTES`].
async fn answer(mut stream: TcpStream) -> io::Result<()> {
    let mut received = Vec::new();
    loop {
        let head_end = loop {
            if let Some(end) = received.windows(4).position(|w| w == b"\r\n\r\n") {
                break end + 4;
            }
            if stream.read_buf(&mut received).await? == 0 {
                return Ok(());
            }
        };
        let head = String::from_utf8_lossy(&received[..head_end]).into_owned();
        let field = |name: &str| {
            let line = head.lines().find_map(|l| l.strip_prefix(name));
            line.unwrap_or_default().trim().to_owned()
        };
        let mut body_bytes = field("content-length:").parse::<usize>().unwrap_or(0);
        received.drain(..head_end);
        while body_bytes > 0 {
            let taken = body_bytes.min(received.len());
            received.drain(..taken);
            body_bytes -= taken;
            if body_bytes > 0 && stream.read_buf(&mut received).await? == 0 {
                return Ok(());
            }
        }
        let path = head.split(' ').nth(1).unwrap_or_default();
        let length = if path.contains("large") {
            BODY_BYTES
        } else {
            3
        };
        let response = format!(
            "HTTP/1.1 200 OK\r\ncontent-length: {length}\r\nshallotrill-server-load: 0,0,{SLOTS},100\r\nshallotrill-instance-id: lending-0\r\nshallotrill-attempt-id: {}\r\nshallotrill-response-seal: s\r\n\r\n",
            field("shallotrill-attempt-id:")
        );
        stream.write_all(response.as_bytes()).await?;
        stream.write_all(&vec![b'r'; length]).await?;
    }
}
