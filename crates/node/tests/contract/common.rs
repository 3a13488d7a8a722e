//! Fixture: a node, its local backend server, and callers that send raw HTTP.

use std::convert::Infallible;
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Request;
use http::Response;
use http_body::Frame;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use serde_json::json;
use tempfile::TempDir;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time;

use shallotrill_catalog::view::View;
use shallotrill_model::class::Class;
use shallotrill_model::class::Rule;
use shallotrill_model::instance;
use shallotrill_model::region;
use shallotrill_model::revision::Revision;
use shallotrill_model::service;
use shallotrill_model::zone;
use shallotrill_node::run;
use shallotrill_node::run::Node;
use shallotrill_process::settings::Role;
use shallotrill_process::settings::Settings;
use shallotrill_process::settings::node;
use shallotrill_wire::body;
use shallotrill_wire::body::Body;

/// Timeout of each wait for a condition, so that a hung test fails.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Backend server of the test, with counters of its requests and switches for its behaviour.
#[derive(Debug)]
pub struct Backend {
    pub address: SocketAddr,
    /// Requests to `/hold`, and the second half of `/stream`, wait for a permit.
    pub hold: Arc<Semaphore>,
    /// Requests to `/hold` and `/stream` that arrived.
    pub held: AtomicU64,
    /// Requests to `/hold` whose connection closed before their response.
    pub aborted: AtomicU64,
    pub probes: AtomicU64,
    pub failing: AtomicBool,
    /// Whether the responses to probes have bodies without end.
    pub endless: AtomicBool,
    /// Bytes of these bodies, and how many of them the node has closed.
    pub endless_bytes: Arc<AtomicU64>,
    pub endless_closed: Arc<AtomicU64>,
    /// Retry tokens of each request to `/chain/`, with the number in its path.
    pub tokens: Mutex<Vec<(u32, u32)>>,
    /// Address for nested calls.
    pub caller: Mutex<Option<SocketAddr>>,
}

/// A response body whose frames come from a channel.
struct ChannelBody(mpsc::Receiver<Bytes>);

impl http_body::Body for ChannelBody {
    type Data = Bytes;
    type Error = body::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, body::Error>>> {
        let polled = self.0.poll_recv(cx);
        polled.map(|piece| piece.map(|piece| Ok(Frame::data(piece))))
    }
}

/// Counts a request as aborted if it is dropped before the flag is set.
struct AbortCounter<'count>(&'count AtomicU64, bool);

impl Drop for AbortCounter<'_> {
    fn drop(&mut self) {
        if !self.1 {
            self.0.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl Backend {
    async fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port is free");
        let backend = Arc::new(Self {
            address: listener.local_addr().expect("the address is valid"),
            hold: Arc::new(Semaphore::new(0)),
            held: AtomicU64::new(0),
            aborted: AtomicU64::new(0),
            probes: AtomicU64::new(0),
            failing: AtomicBool::new(false),
            endless: AtomicBool::new(false),
            endless_bytes: Arc::default(),
            endless_closed: Arc::default(),
            tokens: Mutex::default(),
            caller: Mutex::default(),
        });
        let serving = Arc::clone(&backend);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let backend = Arc::clone(&serving);
                let service = service_fn(move |request| {
                    let backend = Arc::clone(&backend);
                    async move { Ok::<_, Infallible>(backend.answer(request).await) }
                });
                let serving = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
                tokio::spawn(async move { drop(serving.await) });
            }
        });
        backend
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        let mut response = Response::new(body::full(Bytes::from_static(b"done")));
        if path == "/health" {
            self.probes.fetch_add(1, Ordering::Relaxed);
            if self.failing.load(Ordering::Relaxed) {
                *response.status_mut() = http::StatusCode::INTERNAL_SERVER_ERROR;
            }
            if self.endless.load(Ordering::Relaxed) {
                *response.body_mut() = self.endless_body();
            }
        } else if path == "/hold" {
            self.held.fetch_add(1, Ordering::Relaxed);
            let mut counter = AbortCounter(&self.aborted, false);
            drop(self.hold.acquire().await);
            counter.1 = true;
        } else if let Some(name) = path.strip_prefix("/header/") {
            let value = request.headers()[format!("shallotrill-{name}")].as_bytes();
            *response.body_mut() = body::full(Bytes::copy_from_slice(value));
        } else if path == "/stream" {
            self.held.fetch_add(1, Ordering::Relaxed);
            *response.body_mut() = self.stream();
        } else if let Some(level) = path.strip_prefix("/chain/") {
            let level: u32 = level.parse().expect("the text is a number");
            self.call_nested(level, request.headers()).await;
        }
        response
    }

    /// A body that goes on until the node closes it.
    fn endless_body(&self) -> Body {
        const CHUNK: &[u8] = &[0; 16 * 1024];
        let (sender, receiver) = mpsc::channel(1);
        let bytes = Arc::clone(&self.endless_bytes);
        let closed = Arc::clone(&self.endless_closed);
        tokio::spawn(async move {
            while sender.send(Bytes::from_static(CHUNK)).await.is_ok() {
                bytes.fetch_add(CHUNK.len() as u64, Ordering::Relaxed);
            }
            closed.fetch_add(1, Ordering::Relaxed);
        });
        ChannelBody(receiver).boxed_unsync()
    }

    /// A body whose second half waits for a permit.
    fn stream(&self) -> Body {
        let (sender, receiver) = mpsc::channel(2);
        let hold = Arc::clone(&self.hold);
        tokio::spawn(async move {
            drop(sender.send(Bytes::from_static(b"first")).await);
            drop(hold.acquire().await);
            drop(sender.send(Bytes::from_static(b"done")).await);
        });
        ChannelBody(receiver).boxed_unsync()
    }

    /// Sends the next call of a chain with the headers of the current one, as a backend server does.
    async fn call_nested(&self, level: u32, headers: &HeaderMap) {
        let text = |name: &str| {
            headers[name]
                .to_str()
                .expect("the header is text")
                .to_owned()
        };
        let tokens = text("shallotrill-retry-tokens")
            .parse()
            .expect("the text is a number");
        self.tokens
            .lock()
            .expect("the lock is not poisoned")
            .push((level, tokens));
        let caller = *self.caller.lock().expect("the lock is not poisoned");
        let (Some(caller), true) = (caller, level > 1) else {
            return;
        };
        let mut copied = String::new();
        for name in ["request", "depth", "retry-tokens", "attempt", "deadline-ms"] {
            let name = format!("shallotrill-{name}");
            writeln!(copied, "{name}: {}\r", text(&name)).expect("a write to a string succeeds");
        }
        let answer = get(caller, &format!("/chain/{}", level - 1), &copied).await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
}

pub struct Fixture {
    pub node: Node,
    pub backend: Arc<Backend>,
    _folder: TempDir,
}

/// The service of the tests: every GET is idempotent.
pub fn spec() -> service::Spec {
    let name = service::Name::new("s").expect("the name is valid");
    let mut spec = service::Spec::new(name, region::Name::new("r").expect("the name is valid"));
    spec.deadline_ms = 15_000;
    spec.slots = 4;
    spec.rules.push(Rule {
        method: Arc::from("GET"),
        path: Arc::from("/"),
        class: Class::Idempotent,
        priority: 0,
        join: false,
    });
    spec
}

/// Starts a node without control, with the service in its configuration cache and a backend server that announced itself once.
pub async fn start(spec: service::Spec, drain: Duration) -> Fixture {
    start_with(spec, drain, Vec::new()).await
}

pub async fn start_with(
    spec: service::Spec,
    drain: Duration,
    control: Vec<node::Control>,
) -> Fixture {
    let slots = spec.slots;
    let folder = TempDir::new().expect("the folder is created");
    store(folder.path(), spec);
    let any = "127.0.0.1:0".parse().expect("the address is valid");
    let role = node::Settings {
        caller_listen: any,
        peer_listen: any,
        peer_advertise: None,
        announce_listen: any,
        control,
        cache_folder: Some(folder.path().to_owned()),
        drain_timeout: drain,
        workers: 1,
        header_limit_bytes: 16_384,
        body_limit_bytes: 1 << 20,
        header_timeout: Duration::from_secs(5),
        call_connections_max: 100,
        routing_policy: node::Policy::Scored,
    };
    let settings = Settings {
        instance: instance::Name::new("i").expect("the name is valid"),
        zone: zone::Name::new("z").expect("the name is valid"),
        region: region::Name::new("r").expect("the name is valid"),
        log: log::LevelFilter::Off,
        role: Role::Node(role.clone()),
    };
    let node = run::start(&settings, &role).await.expect("the node starts");
    let backend = Backend::start().await;
    *backend.caller.lock().expect("the lock is not poisoned") = Some(node.addresses().caller);
    let fixture = Fixture {
        node,
        backend,
        _folder: folder,
    };
    fixture.announce(slots).await;
    fixture
}

fn store(folder: &Path, spec: service::Spec) {
    let view = View {
        revision: Revision(7),
        services: vec![Arc::new(spec)],
        ..View::default()
    };
    let configuration = serde_json::to_string(&view).expect("the view serializes");
    let file = json!({
        "version": 1,
        "digest": blake3::hash(configuration.as_bytes()).to_string(),
        "configuration": configuration,
    });
    std::fs::write(folder.join("configuration.json"), file.to_string())
        .expect("the file is written");
}

impl Fixture {
    pub fn caller(&self) -> SocketAddr {
        self.node.addresses().caller
    }

    /// Announces the backend server with this many slots.
    pub async fn announce(&self, slots: u32) {
        announce(self.node.addresses().announce, self.backend.address, slots).await;
    }

    /// Announces the backend server until the returned set is dropped.
    pub fn keep_announcing(&self, slots: u32) -> JoinSet<()> {
        let (node, backend) = (self.node.addresses().announce, self.backend.address);
        let mut announcing = JoinSet::new();
        announcing.spawn(async move {
            loop {
                announce(node, backend, slots).await;
                time::sleep(Duration::from_millis(500)).await;
            }
        });
        announcing
    }

    pub async fn get(&self, path: &str) -> String {
        get(self.caller(), path, "").await
    }

    /// Reads the state dump.
    pub async fn dump(&self) -> Value {
        let sent = "GET /v1/state HTTP/1.1\r\nhost: n\r\nconnection: close\r\n\r\n";
        let answer = send_raw(self.node.addresses().announce, sent).await;
        let (_, body) = answer
            .split_once("\r\n\r\n")
            .expect("the response has a body");
        serde_json::from_str(body).expect("the state dump is JSON")
    }

    /// Waits until the state dump satisfies `condition`, and keeps announcing the backend server meanwhile.
    pub async fn wait_until(&self, slots: u32, condition: impl Fn(&Value) -> bool) -> Value {
        let waiting = async {
            loop {
                let dump = self.dump().await;
                if condition(&dump) {
                    return dump;
                }
                self.announce(slots).await;
                time::sleep(Duration::from_millis(20)).await;
            }
        };
        time::timeout(WAIT_TIMEOUT, waiting)
            .await
            .expect("the state dump satisfies the condition")
    }
}

async fn announce(node: SocketAddr, backend: SocketAddr, slots: u32) {
    let announcement = json!({
        "service": "s",
        "address": backend.to_string(),
        "slots": slots,
        "state": "ready",
        "start": "first",
        "probe": "/health",
    })
    .to_string();
    let sent = format!(
        "PUT /v1/announce HTTP/1.1\r\nhost: n\r\nconnection: close\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{announcement}",
        announcement.len()
    );
    let answer = send_raw(node, &sent).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

/// Sends a GET on a new connection and returns the complete response.
pub async fn get(address: SocketAddr, path: &str, headers: &str) -> String {
    let sent = format!("GET {path} HTTP/1.1\r\nhost: s\r\nconnection: close\r\n{headers}\r\n");
    send_raw(address, &sent).await
}

pub async fn send_raw(address: SocketAddr, sent: &str) -> String {
    let sending = async {
        let mut stream = TcpStream::connect(address)
            .await
            .expect("the connection is accepted");
        stream
            .write_all(sent.as_bytes())
            .await
            .expect("the request is written");
        let mut read = Vec::new();
        let _ = stream.read_to_end(&mut read).await;
        String::from_utf8_lossy(&read).into_owned()
    };
    time::timeout(WAIT_TIMEOUT, sending)
        .await
        .expect("the connection closes")
}
