//! A stand-in for a backend server.
//!
//! The stand-in serves HTTP/1.1 with a configured number of slots and service
//! time and announces itself to its node. Requests to its control path make it
//! slow, fail fast, shed load or drain. On a configured path it crashes.

use std::convert::Infallible;
use std::fs::File;
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1 as client;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::task::AbortHandle;
use tokio::time;

use crate::noise;
use crate::noise::NORMAL_PERMILLE;

const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);

/// How a stand-in handles requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u32)]
pub enum Mode {
    /// Responds after the service time.
    Normal = 0,
    /// Responds with 500 at once.
    FailFast = 1,
    /// Responds with 503 and `Retry-After` at once.
    Shed = 2,
    /// Responds as in `Normal` and announces that it drains.
    Drain = 3,
}

impl Mode {
    fn from_number(number: u32) -> Self {
        match number {
            1 => Self::FailFast,
            2 => Self::Shed,
            3 => Self::Drain,
            _ => Self::Normal,
        }
    }
}

/// Configuration of a stand-in backend server.
#[derive(Clone, Debug)]
pub struct Config {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Announce address of the local node; `None` means that nothing is announced.
    pub node: Option<SocketAddr>,
    /// Service name in announcements and responses.
    pub service: String,
    /// Concurrent requests; further requests wait in the stand-in.
    pub slots: u32,
    /// Service time of one request.
    pub service_time: Duration,
    /// Path on which the process exits, to simulate a request that crashes its server.
    pub crash_path: Option<String>,
    /// File to which the idempotency key of each request is appended before the request runs.
    pub journal: Option<PathBuf>,
}

/// A running stand-in backend server.
#[derive(Debug)]
pub struct Backend {
    address: SocketAddr,
    state: Arc<State>,
}

#[derive(Debug)]
struct State {
    config: Config,
    slots: Semaphore,
    mode: AtomicU32,
    service_us: AtomicU64,
    started: AtomicU64,
    executed: AtomicU64,
    /// Factor on the service time, in thousandths.
    slowdown_permille: AtomicU64,
    noise: Mutex<Option<AbortHandle>>,
    start_id: String,
    journal: Option<File>,
}

impl Backend {
    /// Starts listening and announcing on the current runtime.
    ///
    /// # Errors
    ///
    /// Returns the error of the system when the address cannot be listened on.
    pub async fn start(config: Config) -> std::io::Result<Self> {
        let listener = TcpListener::bind(config.listen).await?;
        let address = listener.local_addr()?;
        let open = |path| File::options().create(true).append(true).open(path);
        let journal = config.journal.as_ref().map(open).transpose()?;
        let state = Arc::new(State {
            journal,
            slots: Semaphore::new(config.slots as usize),
            mode: AtomicU32::new(Mode::Normal as u32),
            service_us: AtomicU64::new(config.service_time.as_micros() as u64),
            started: AtomicU64::new(0),
            executed: AtomicU64::new(0),
            slowdown_permille: AtomicU64::new(NORMAL_PERMILLE),
            noise: Mutex::new(None),
            start_id: format!("{:032x}", rand::random::<u128>()),
            config,
        });
        tokio::spawn(accept(listener, Arc::clone(&state)));
        if let Some(node) = state.config.node {
            tokio::spawn(announce(Arc::clone(&state), address, node));
        }
        Ok(Self { address, state })
    }

    /// Address that it listens on, with the port that the system chose for port 0.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes how further requests are handled.
    pub fn set_mode(&self, mode: Mode) {
        self.state.mode.store(mode as u32, Ordering::Relaxed);
    }

    /// Changes the service time of further requests.
    pub fn set_service_time(&self, time: Duration) {
        let micros = time.as_micros() as u64;
        self.state.service_us.store(micros, Ordering::Relaxed);
    }

    /// Number of requests that ran to completion.
    pub fn executed(&self) -> u64 {
        self.state.executed.load(Ordering::Relaxed)
    }
}

async fn accept(listener: TcpListener, state: Arc<State>) {
    while let Ok((stream, _)) = listener.accept().await {
        let state = Arc::clone(&state);
        tokio::spawn(async move {
            let _ = stream.set_nodelay(true);
            let service = service_fn(move |request| {
                let state = Arc::clone(&state);
                async move { Ok::<_, Infallible>(handle(&state, request).await) }
            });
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            // A caller that disconnects ends its connection with an error, which does not affect other connections.
            drop(connection.await);
        });
    }
}

async fn handle(state: &Arc<State>, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let path = request.uri().path().to_owned();
    if path == "/standin" {
        return handle_control(state, request).await;
    }
    if path == "/health" {
        return respond(StatusCode::OK, b"ok");
    }
    if state.config.crash_path.as_deref() == Some(path.as_str()) {
        std::process::exit(3);
    }
    match Mode::from_number(state.mode.load(Ordering::Relaxed)) {
        Mode::FailFast => return respond(StatusCode::INTERNAL_SERVER_ERROR, b"failed\n"),
        Mode::Shed => {
            let mut response = respond(StatusCode::SERVICE_UNAVAILABLE, b"shed\n");
            let after = http::HeaderValue::from_static("1");
            response
                .headers_mut()
                .insert(http::header::RETRY_AFTER, after);
            return response;
        }
        Mode::Normal | Mode::Drain => {}
    }
    let method = request.method().clone();
    let key = request.headers().get("idempotency-key");
    let key = key.and_then(|key| key.to_str().ok()).map(str::to_owned);
    let Ok(body) = request.into_body().collect().await else {
        return respond(StatusCode::BAD_REQUEST, b"request body truncated\n");
    };
    let Ok(_slot) = state.slots.acquire().await else {
        return respond(StatusCode::INTERNAL_SERVER_ERROR, b"slots closed\n");
    };
    if let (Some(journal), Some(key)) = (&state.journal, &key) {
        // Each key is appended by a single write, so the line is kept when the process is killed.
        let mut journal: &File = journal;
        if journal.write_all(format!("{key}\n").as_bytes()).is_err() {
            return respond(StatusCode::INTERNAL_SERVER_ERROR, b"journal not written\n");
        }
    }
    state.started.fetch_add(1, Ordering::Relaxed);
    let micros = state.service_us.load(Ordering::Relaxed);
    let micros = micros * state.slowdown_permille.load(Ordering::Relaxed) / NORMAL_PERMILLE;
    if micros > 0 {
        // Even a sleep of zero lasts until the next timer tick, up to 1 ms.
        time::sleep(Duration::from_micros(micros)).await;
    }
    let count = state.executed.fetch_add(1, Ordering::Relaxed) + 1;
    let text = json!({
        "service": state.config.service,
        "method": method.as_str(),
        "path": path,
        "bytes": body.to_bytes().len(),
        "execution": count,
        "server": state.start_id,
    });
    let mut response = respond(StatusCode::OK, format!("{text}\n").as_bytes());
    let json = http::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, json);
    response
}

/// Replaces the running speed variation; `None` restores the normal speed.
fn set_variation(state: &Arc<State>, variation: Option<noise::Variation>) {
    let mut noise = state.noise.lock().unwrap_or_else(PoisonError::into_inner);
    if let Some(running) = noise.take() {
        running.abort();
    }
    state
        .slowdown_permille
        .store(NORMAL_PERMILLE, Ordering::Relaxed);
    let Some(variation) = variation else { return };
    let varied = Arc::clone(state);
    let set_slowdown = move |factor| varied.slowdown_permille.store(factor, Ordering::Relaxed);
    *noise = Some(tokio::spawn(noise::run(variation, set_slowdown)).abort_handle());
}

/// Reports how many requests got a slot, and how many of these were not cancelled.
fn counters(state: &State) -> Response<Full<Bytes>> {
    let text = json!({
        "started": state.started.load(Ordering::Relaxed),
        "executed": state.executed.load(Ordering::Relaxed),
    });
    respond(StatusCode::OK, text.to_string().as_bytes())
}

/// Handles the control path: `GET /standin` returns the counters; `POST /standin?noise=7`, `POST /standin?cold-ms=3000`, `POST /standin?mode=fail-fast` and `POST /standin?service-us=20000` change the behaviour.
async fn handle_control(state: &Arc<State>, request: Request<Incoming>) -> Response<Full<Bytes>> {
    if request.method() == Method::GET {
        return counters(state);
    }
    if request.method() != Method::POST {
        return respond(StatusCode::METHOD_NOT_ALLOWED, b"GET or POST\n");
    }
    let query = request.uri().query().unwrap_or_default().to_owned();
    for (key, value) in query.split('&').filter_map(|pair| pair.split_once('=')) {
        match (key, value) {
            ("mode", "normal") => state.mode.store(Mode::Normal as u32, Ordering::Relaxed),
            ("mode", "fail-fast") => state.mode.store(Mode::FailFast as u32, Ordering::Relaxed),
            ("mode", "shed") => state.mode.store(Mode::Shed as u32, Ordering::Relaxed),
            ("mode", "drain") => state.mode.store(Mode::Drain as u32, Ordering::Relaxed),
            ("noise", seed) => match seed.parse() {
                Ok(0) => set_variation(state, None),
                Ok(seed) => set_variation(state, Some(noise::Variation::Neighbour { seed })),
                Err(_) => return respond(StatusCode::BAD_REQUEST, b"noise is a seed or 0\n"),
            },
            ("cold-ms", millis) => match millis.parse() {
                Ok(millis) => set_variation(
                    state,
                    Some(noise::Variation::Cold(Duration::from_millis(millis))),
                ),
                Err(_) => return respond(StatusCode::BAD_REQUEST, b"cold-ms is a number\n"),
            },
            ("service-us", micros) => match micros.parse() {
                Ok(micros) => state.service_us.store(micros, Ordering::Relaxed),
                Err(_) => return respond(StatusCode::BAD_REQUEST, b"service-us is a number\n"),
            },
            _ => return respond(StatusCode::BAD_REQUEST, b"unknown key or value\n"),
        }
    }
    drop(request.into_body().collect().await);
    respond(StatusCode::OK, b"done\n")
}

fn respond(status: StatusCode, body: &[u8]) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::copy_from_slice(body)));
    *response.status_mut() = status;
    response
}

async fn announce(state: Arc<State>, address: SocketAddr, node: SocketAddr) {
    loop {
        let mode = Mode::from_number(state.mode.load(Ordering::Relaxed));
        let announcement = json!({
            "service": state.config.service,
            "address": address.to_string(),
            "slots": state.config.slots,
            "state": if mode == Mode::Drain { "draining" } else { "ready" },
            "start": state.start_id,
            "probe": "/health",
        });
        // The node may not have started yet; the next announcement is sent after the interval.
        drop(send(node, &announcement.to_string()).await);
        time::sleep(ANNOUNCE_INTERVAL).await;
    }
}

async fn send(node: SocketAddr, body: &str) -> Result<StatusCode, Box<dyn std::error::Error>> {
    let stream = TcpStream::connect(node).await?;
    let (mut sender, connection) = client::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    let request = Request::builder()
        .method(Method::PUT)
        .uri("/v1/announce")
        .header(http::header::HOST, node.to_string())
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body.to_owned())))?;
    let response = sender.send_request(request).await?;
    Ok(response.status())
}
