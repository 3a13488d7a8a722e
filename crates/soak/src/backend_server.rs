//! Simulated backend servers, which run inside the process of the soak test.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::Mutex;
use tokio::sync::Semaphore;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;
use tokio::time;

use crate::history;
use crate::history::Arrival;
use crate::history::Limit;
use crate::history::Statement;
use crate::layout;
use crate::plan::ProcessIndex;
use crate::run::RunContext;
use shallotrill_bench::http as client;
use shallotrill_bench::http::Request as HttpRequest;

/// Maximum number of requests that a backend server executes concurrently.
const SLOTS: usize = 6;

/// Maximum number of requests that wait for a slot.
const QUEUE_MAX: usize = 4;

/// Interval of announcements.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum time to wait for the acknowledgement of an announcement.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);

/// Execution time of a request without slowdown, in milliseconds.
const WORK_MS: std::ops::Range<u64> = 5..60;

/// Time that a departing backend server continues to serve requests after its departure was acknowledged or [`DEPARTURE_TIMEOUT`] has passed.
const DEPARTURE_PERIOD: Duration = Duration::from_secs(3);

/// Time after which a backend server departs without an acknowledgement.
const DEPARTURE_TIMEOUT: Duration = Duration::from_secs(8);

/// Time between the end of one incarnation and the start of the next.
const DOWNTIME: Duration = Duration::from_millis(800);

/// Size of response bodies. Larger ones would only increase the number of reads.
const BODY_BYTES: std::ops::Range<usize> = 1..6_000;

/// One incarnation of a backend server.
#[derive(Debug)]
struct ServerProcess {
    identity: Arc<str>,
    service: Arc<str>,
    started_at_ms: u64,
    sequence: AtomicU64,
    slots: Semaphore,
    waiting: AtomicU32,
    leaving: AtomicBool,
}

/// An incarnation and its tasks.
#[derive(Debug)]
struct RunningServer {
    server: Arc<ServerProcess>,
    serve_task: JoinHandle<()>,
    heartbeat_task: JoinHandle<()>,
}

/// The simulated backend server of one router.
#[derive(Debug)]
pub struct BackendServer {
    router: ProcessIndex,
    /// Factor applied to the execution time of requests.
    slowdown_factor: AtomicU32,
    /// Limit that it states, in requests in a thousand seconds; zero without one.
    limit_millihertz: AtomicU32,
    starts: AtomicU64,
    /// The current incarnation; `None` while there is none.
    running: Mutex<Option<RunningServer>>,
    /// Held while one incarnation is replaced by the next, so that concurrent faults replace it one after another.
    replacement: Mutex<()>,
}

impl BackendServer {
    /// Creates the backend server of a router without starting it.
    pub fn new(router: ProcessIndex) -> Self {
        Self {
            router,
            slowdown_factor: AtomicU32::new(1),
            limit_millihertz: AtomicU32::new(0),
            starts: AtomicU64::new(0),
            running: Mutex::new(None),
            replacement: Mutex::new(()),
        }
    }

    /// Sets the factor applied to the execution time of requests.
    pub fn set_slowdown(&self, factor: u32) {
        self.slowdown_factor.store(factor, Ordering::Relaxed);
    }

    /// States a limit in all responses for a time, unless it states one already.
    pub async fn state_limit(&self, run_context: &RunContext, millihertz: u32, duration: Duration) {
        let running = self.running.lock().await;
        let Some(instance) = running.as_ref().map(|r| Arc::clone(&r.server.identity)) else {
            return;
        };
        drop(running);
        let limit = &self.limit_millihertz;
        let stated = limit.compare_exchange(0, millihertz, Ordering::Relaxed, Ordering::Relaxed);
        if stated.is_err() {
            return;
        }
        let index = {
            let mut history = run_context.history.lock();
            history.limits.push(Limit {
                instance,
                millihertz,
                from_ms: run_context.now(),
                until_ms: u64::MAX,
            });
            history.limits.len() - 1
        };
        time::sleep(duration).await;
        run_context.history.lock().limits[index].until_ms = run_context.now();
        self.limit_millihertz.store(0, Ordering::Relaxed);
    }

    /// States in all responses that it is leaving, continues to announce itself as ready for a
    /// while, and restarts as a new incarnation.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system when the address is in use.
    pub async fn leave_unannounced(
        self: &Arc<Self>,
        run_context: &Arc<RunContext>,
    ) -> std::io::Result<()> {
        let _replacement = self.replacement.lock().await;
        if let Some(running) = self.running.lock().await.as_ref() {
            running.server.leaving.store(true, Ordering::Relaxed);
        }
        time::sleep(DEPARTURE_PERIOD * 2).await;
        self.stop().await;
        time::sleep(DOWNTIME).await;
        self.start(run_context).await
    }

    fn statement(&self, server: &ServerProcess) -> Statement {
        let millihertz = self.limit_millihertz.load(Ordering::Relaxed);
        Statement {
            limit_millihertz: (millihertz > 0).then_some(millihertz),
            leaving: server.leaving.load(Ordering::Relaxed),
        }
    }

    /// Starts a new incarnation.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system when the address is in use.
    pub async fn start(self: &Arc<Self>, run_context: &Arc<RunContext>) -> std::io::Result<()> {
        let number = self.starts.fetch_add(1, Ordering::Relaxed);
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let server = Arc::new(ServerProcess {
            identity: Arc::from(format!("target-{}-{number}", self.router)),
            service: layout::service(self.router),
            started_at_ms: since_epoch.map_or(0, |since| since.as_millis() as u64),
            sequence: AtomicU64::new(0),
            slots: Semaphore::new(SLOTS),
            waiting: AtomicU32::new(0),
            leaving: AtomicBool::new(false),
        });
        let address = run_context
            .layout
            .address(self.router, layout::BACKEND_PORT);
        let listener = TcpListener::bind(address).await?;
        let serve_task = tokio::spawn(serve(
            listener,
            Arc::clone(self),
            Arc::clone(&server),
            Arc::clone(run_context),
        ));
        let heartbeat_task = tokio::spawn(send_heartbeats(
            Arc::clone(self),
            Arc::clone(&server),
            Arc::clone(run_context),
        ));
        *self.running.lock().await = Some(RunningServer {
            server,
            serve_task,
            heartbeat_task,
        });
        Ok(())
    }

    async fn stop(&self) {
        if let Some(running) = self.running.lock().await.take() {
            running.heartbeat_task.abort();
            running.serve_task.abort();
            // The address is free once the task is finished.
            drop(running.serve_task.await);
        }
    }

    /// Crashes and restarts as a new incarnation.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system when the address is in use.
    pub async fn crash(self: &Arc<Self>, run_context: &Arc<RunContext>) -> std::io::Result<()> {
        let _replacement = self.replacement.lock().await;
        self.stop().await;
        time::sleep(DOWNTIME).await;
        self.start(run_context).await
    }

    /// Shuts down in an orderly way and restarts as a new incarnation.
    ///
    /// With `notice` the server announces that it drains, and deregisters at the end. Otherwise it
    /// deregisters at once. In both cases it continues to serve requests for `DEPARTURE_PERIOD`.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system when the address is in use.
    pub async fn shut_down(
        self: &Arc<Self>,
        run_context: &Arc<RunContext>,
        notice: bool,
    ) -> std::io::Result<()> {
        let _replacement = self.replacement.lock().await;
        let server = {
            let running = self.running.lock().await;
            let Some(running) = running.as_ref() else {
                return Ok(());
            };
            running.heartbeat_task.abort();
            running.server.leaving.store(true, Ordering::Relaxed);
            Arc::clone(&running.server)
        };
        let deadline = time::Instant::now() + DEPARTURE_TIMEOUT;
        loop {
            let acknowledged = if notice {
                self.announce(&server, run_context, "draining").await
            } else {
                self.deregister(&server, run_context).await
            };
            if acknowledged {
                let acknowledged_at = run_context.now();
                let mut history = run_context.history.lock();
                history.departures.push((
                    Arc::clone(&server.identity),
                    acknowledged_at,
                    self.router,
                ));
                break;
            }
            if time::Instant::now() >= deadline {
                break;
            }
            time::sleep(HEARTBEAT_INTERVAL).await;
        }
        time::sleep(DEPARTURE_PERIOD).await;
        if notice {
            self.deregister(&server, run_context).await;
        }
        self.stop().await;
        time::sleep(DOWNTIME).await;
        self.start(run_context).await
    }

    async fn post(&self, run_context: &RunContext, path: &str, body: String) -> bool {
        let address = run_context.layout.address(self.router, layout::ADMIN_PORT);
        let mut request = HttpRequest::post("admin", path, "", &body);
        request.headers = vec![("content-type", "application/json".to_owned())];
        let response = client::send(address, &request, HEARTBEAT_TIMEOUT).await;
        response.is_ok_and(|response| response.status.is_success())
    }

    async fn announce(
        &self,
        server: &ServerProcess,
        run_context: &RunContext,
        state: &str,
    ) -> bool {
        let sequence = server.sequence.fetch_add(1, Ordering::Relaxed);
        let body = json!({
            "address": run_context.layout.address(self.router, layout::BACKEND_PORT).to_string(),
            "born": server.started_at_ms,
            "info": {"service": &*server.service, "version": "v1", "zone": "zone", "slots": SLOTS},
            "status": {"state": state, "sequence": sequence, "coldRemainingS": 0},
        });
        let path = format!("/api/Instances.Heartbeat/{}", server.identity);
        self.post(run_context, &path, body.to_string()).await
    }

    async fn deregister(&self, server: &ServerProcess, run_context: &RunContext) -> bool {
        let path = format!("/api/Instances.Deregister/{}", server.identity);
        let body = json!({"born": server.started_at_ms}).to_string();
        self.post(run_context, &path, body).await
    }
}

async fn send_heartbeats(
    backend_server: Arc<BackendServer>,
    server: Arc<ServerProcess>,
    run_context: Arc<RunContext>,
) {
    loop {
        backend_server
            .announce(&server, &run_context, "ready")
            .await;
        time::sleep(HEARTBEAT_INTERVAL).await;
    }
}

/// Accepts connections until the task is aborted, which also closes all connections.
async fn serve(
    listener: TcpListener,
    backend_server: Arc<BackendServer>,
    server: Arc<ServerProcess>,
    run_context: Arc<RunContext>,
) {
    let mut connections = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        while connections.try_join_next().is_some() {}
        let (backend_server, server, run_context) = (
            Arc::clone(&backend_server),
            Arc::clone(&server),
            Arc::clone(&run_context),
        );
        connections.spawn(async move {
            drop(stream.set_nodelay(true));
            let service = service_fn(move |request| {
                let (backend_server, server, run_context) = (
                    Arc::clone(&backend_server),
                    Arc::clone(&server),
                    Arc::clone(&run_context),
                );
                async move {
                    Ok::<_, Infallible>(
                        handle(&backend_server, &server, &run_context, request).await,
                    )
                }
            });
            // An error only means that the router closed the connection.
            drop(
                http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await,
            );
        });
    }
}

async fn handle(
    backend_server: &BackendServer,
    server: &ServerProcess,
    run_context: &RunContext,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let header = |name: &str| {
        let value = request.headers().get(name);
        let text = value.and_then(|value| value.to_str().ok());
        text.unwrap_or_default().to_owned()
    };
    let identity = Arc::<str>::from(header("shallotrill-attempt-id"));
    let expected = header("shallotrill-expected-instance");
    let caller = Arc::<str>::from(header("shallotrill-caller-service"));
    let workspace = Arc::<str>::from(header("shallotrill-tenant"));
    let has_key = request.headers().contains_key("shallotrill-credential");
    let remaining_ms = header("shallotrill-deadline-ms").parse::<u64>().ok();
    let path = request.uri().path().to_owned();
    if path == "/healthz" {
        let mut response = response_with_load(server, StatusCode::OK, Bytes::new());
        insert_header(&mut response, "shallotrill-instance-id", &server.identity);
        insert_statement(&mut response, backend_server.statement(server));
        return response;
    }
    let method = request.method().clone();
    let Ok(body) = request.into_body().collect().await else {
        return refuse(server, StatusCode::BAD_REQUEST);
    };
    let body = String::from_utf8_lossy(&body.to_bytes()).into_owned();
    let permit = server.slots.try_acquire();
    let queue_full =
        permit.is_err() && server.waiting.load(Ordering::Relaxed) as usize >= QUEUE_MAX;
    let wrong_target = !expected.is_empty() && expected != *server.identity;
    let executed = !wrong_target && !queue_full && !identity.is_empty();
    let arrival_index = {
        let mut history = run_context.history.lock();
        history.arrivals.push(Arrival {
            request: Arc::clone(&identity),
            instance: Arc::clone(&server.identity),
            service: Arc::clone(&server.service),
            caller,
            workspace,
            has_key,
            content: Arc::from(format!("{method} {path} {body}")),
            at_ms: run_context.now(),
            remaining_ms,
            executed,
            response: None,
            statement: Statement::default(),
        });
        history.arrivals.len() - 1
    };
    if wrong_target {
        return refuse(server, StatusCode::MISDIRECTED_REQUEST);
    }
    if !executed {
        let mut response = refuse(server, StatusCode::SERVICE_UNAVAILABLE);
        insert_statement(&mut response, backend_server.statement(server));
        return response;
    }
    let _permit = if let Ok(permit) = permit {
        permit
    } else {
        server.waiting.fetch_add(1, Ordering::Relaxed);
        let permit = server.slots.acquire().await;
        server.waiting.fetch_sub(1, Ordering::Relaxed);
        match permit {
            Ok(permit) => permit,
            Err(_) => return refuse(server, StatusCode::SERVICE_UNAVAILABLE),
        }
    };
    let factor = u64::from(backend_server.slowdown_factor.load(Ordering::Relaxed));
    let work = Duration::from_millis(rand::random_range(WORK_MS) * factor);
    let remaining = Duration::from_millis(remaining_ms.unwrap_or(u64::MAX));
    time::sleep(work.min(remaining)).await;
    let (status, size) = if work > remaining {
        (StatusCode::GATEWAY_TIMEOUT, 1)
    } else {
        (StatusCode::OK, rand::random_range(BODY_BYTES))
    };
    let body = Bytes::from(vec![b'a' + rand::random_range(0..26); size]);
    let seal = history::seal(&identity, status.as_u16(), &body);
    let statement = backend_server.statement(server);
    {
        let arrival = &mut run_context.history.lock().arrivals[arrival_index];
        arrival.response = Some((status.as_u16(), Arc::clone(&seal)));
        arrival.statement = statement;
    }
    let mut response = response_with_load(server, status, body);
    insert_header(&mut response, "shallotrill-attempt-id", &identity);
    insert_header(&mut response, "shallotrill-response-seal", &seal);
    insert_statement(&mut response, statement);
    response
}

fn insert_statement(response: &mut Response<Full<Bytes>>, statement: Statement) {
    if let Some(millihertz) = statement.limit_millihertz {
        let limit = (f64::from(millihertz) / 1_000.0).to_string();
        insert_header(response, "server-limit", &limit);
    }
    if statement.leaving {
        insert_header(response, "server-leaving", "1");
    }
}

fn response_with_load(
    server: &ServerProcess,
    status: StatusCode,
    body: Bytes,
) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    let running = SLOTS - server.slots.available_permits();
    let waiting = server.waiting.load(Ordering::Relaxed);
    let load = format!("{running},{waiting},{SLOTS},100");
    insert_header(&mut response, "shallotrill-server-load", &load);
    response
}

fn refuse(server: &ServerProcess, status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = response_with_load(server, status, Bytes::new());
    insert_header(&mut response, "shallotrill-not-executed", "1");
    response
}

fn insert_header(response: &mut Response<Full<Bytes>>, name: &'static str, value: &str) {
    if let Ok(value) = value.parse() {
        response.headers_mut().insert(name, value);
    }
}
