//! The path of a request from end to end: a registry process, routers, and backend servers that misbehave.

mod ahead;
mod allotments;
mod cold;
mod crashes;
mod departures;
mod downloads;
mod endless;
mod gates;
mod keys;
mod limits;
mod second;
mod stops;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tempfile::TempDir;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::time;

use shallotrill_feed::message::Announcement;
use shallotrill_feed::message::Request;
use shallotrill_items::item::Content;
use shallotrill_items::item::Item;
use shallotrill_items::item::Key;
use shallotrill_items::item::Kind;
use shallotrill_items::route::Route;
use shallotrill_items::route::Service;
use shallotrill_items::route::Share;
use shallotrill_limits::process::Limits;
use shallotrill_model::class::Class;
use shallotrill_model::instance;
use shallotrill_model::region;
use shallotrill_model::service;
use shallotrill_model::zone;
use shallotrill_process::clock::Clock;
use shallotrill_registry::members;
use shallotrill_registry::propose;
use shallotrill_registry::run as registry;
use shallotrill_registry::state::State as RegistryState;
use shallotrill_router::backend;
use shallotrill_router::backend::ServerAnnouncement;
use shallotrill_router::names::Names;
use shallotrill_router::run::Router;
use shallotrill_router::settings::Settings;

/// Longest wait for a condition that must come true.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval at which a state without notifications is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Interval at which announcements are renewed; their leases end after 3.5 s.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);

/// Timeout of the routes.
const TIMEOUT: Duration = Duration::from_millis(1_500);

/// Duration of a request for `/a/slow`: longer than a stopping router listens, shorter than its grace period.
const SLOW_REQUEST_DURATION: Duration = Duration::from_millis(1_100);

/// Limit that [`LIMITED`] states, in requests per second.
const LIMIT_PER_SECOND: f64 = 5.0;

/// Bytes with which the backend server responds; `{id}` is replaced by the id of the request.
type Reply = &'static str;

const COMPLETE: Reply = "HTTP/1.1 200 OK\r\nshallotrill-request: {id}\r\nshallotrill-seal: s\r\nContent-Length: 4\r\n\r\nbody";
const UNSEALED: Reply =
    "HTTP/1.1 200 OK\r\nshallotrill-request: {id}\r\nContent-Length: 4\r\n\r\nbody";
const OTHER_ID: Reply = "HTTP/1.1 200 OK\r\nshallotrill-request: other\r\nshallotrill-seal: s\r\nContent-Length: 4\r\n\r\nbody";
const NO_ID: Reply = "HTTP/1.1 200 OK\r\nshallotrill-seal: s\r\nContent-Length: 4\r\n\r\nbody";
const TRUNCATED: Reply = "HTTP/1.1 200 OK\r\nshallotrill-request: {id}\r\nshallotrill-seal: s\r\nContent-Length: 9\r\n\r\nbody";
const ENCODED: Reply = "HTTP/1.1 200 OK\r\nshallotrill-request: {id}\r\nshallotrill-seal: s\r\nContent-Encoding: gzip\r\nContent-Length: 4\r\n\r\nbody";
const NOT_HTTP: Reply = "\u{1}\u{2}nonsense\r\n\r\n";
const TRUNCATED_HEAD: Reply =
    "HTTP/1.1 200 OK\r\nshallotrill-request: {id}\r\nshallotrill-seal: s\r\nConte";
const HEAD_WITHOUT_END: Reply =
    "HTTP/1.1 200 OK\r\nshallotrill-request: {id}\r\nshallotrill-seal: s\r\n";
const TRUNCATED_STATUS: Reply = "HTTP/1.1 200";
const EMPTY: Reply = "";
const SHED: Reply = "HTTP/1.1 503 x\r\nshallotrill-request: {id}\r\nshallotrill-backend-not-run: full\r\nContent-Length: 0\r\n\r\n";
const FAILED: Reply = "HTTP/1.1 500 x\r\nshallotrill-request: {id}\r\nshallotrill-seal: s\r\nContent-Length: 0\r\n\r\n";
const BARE_503: Reply = "HTTP/1.1 503 x\r\nshallotrill-request: {id}\r\nContent-Length: 0\r\n\r\n";
const LIMITED: Reply = "HTTP/1.1 200 OK\r\nshallotrill-request: {id}\r\nshallotrill-seal: s\r\nshallotrill-backend-limit: 5\r\nContent-Length: 4\r\n\r\nbody";
const LEAVING: Reply = "HTTP/1.1 200 OK\r\nshallotrill-request: {id}\r\nshallotrill-seal: s\r\nshallotrill-backend-leaving: 1\r\nContent-Length: 4\r\n\r\nbody";
const COLD: Reply = "HTTP/1.1 200 OK\r\nshallotrill-request: {id}\r\nshallotrill-seal: s\r\nshallotrill-backend-cold-ms: 20000\r\nContent-Length: 4\r\n\r\nbody";
const STATUS_000: Reply = "HTTP/1.1 000 x\r\nshallotrill-request: {id}\r\nshallotrill-seal: s\r\nContent-Length: 4\r\n\r\nbody";
const STATUS_700: Reply = "HTTP/1.1 700 x\r\nshallotrill-request: {id}\r\nshallotrill-seal: s\r\nContent-Length: 4\r\n\r\nbody";
const SHED_700: Reply = "HTTP/1.1 700 x\r\nshallotrill-request: {id}\r\nshallotrill-backend-not-run: full\r\nContent-Length: 0\r\n\r\n";
const FINAL_100: Reply =
    "HTTP/1.1 100 x\r\nshallotrill-request: {id}\r\nshallotrill-seal: s\r\n\r\n";
const NO_LENGTH: Reply = "HTTP/1.1 200 OK\r\nshallotrill-request: {id}\r\nshallotrill-seal: s\r\nConnection: close\r\n\r\nbody";

/// Replies after which the backend server keeps the connection open.
const KEPT_OPEN: &[Reply] = &[COMPLETE, SHED, FAILED, LIMITED, LEAVING, COLD];

struct Case {
    name: &'static str,
    class: Class,
    reply: Reply,
    status: u16,
    body: &'static str,
    /// Allowed numbers of requests at the backend servers.
    runs: &'static [usize],
}

/// Guards against a successful response that the backend server did not create, a second run of a
/// non-idempotent request, and a 503 for a request that may have run.
const CASES: &[Case] = &[
    Case {
        name: "complete response",
        class: Class::NonIdempotent,
        reply: COMPLETE,
        status: 200,
        body: "body",
        runs: &[1],
    },
    Case {
        name: "no content length, ended by the close",
        class: Class::NonIdempotent,
        reply: NO_LENGTH,
        status: 200,
        body: "body",
        runs: &[1],
    },
    Case {
        name: "a successful response without a seal",
        class: Class::NonIdempotent,
        reply: UNSEALED,
        status: 502,
        body: "",
        runs: &[1],
    },
    Case {
        name: "the response to another request",
        class: Class::NonIdempotent,
        reply: OTHER_ID,
        status: 502,
        body: "",
        runs: &[1],
    },
    Case {
        name: "a response without a request id",
        class: Class::NonIdempotent,
        reply: NO_ID,
        status: 502,
        body: "",
        runs: &[1],
    },
    Case {
        name: "a response with a content encoding",
        class: Class::NonIdempotent,
        reply: ENCODED,
        status: 502,
        body: "",
        runs: &[1],
    },
    Case {
        name: "a truncated response",
        class: Class::NonIdempotent,
        reply: TRUNCATED,
        status: 502,
        body: "",
        runs: &[1],
    },
    Case {
        name: "bytes that are not HTTP",
        class: Class::NonIdempotent,
        reply: NOT_HTTP,
        status: 502,
        body: "",
        runs: &[1],
    },
    Case {
        name: "status 000",
        class: Class::NonIdempotent,
        reply: STATUS_000,
        status: 502,
        body: "",
        runs: &[1],
    },
    Case {
        name: "status 700",
        class: Class::NonIdempotent,
        reply: STATUS_700,
        status: 502,
        body: "",
        runs: &[1],
    },
    Case {
        name: "status 700, idempotent",
        class: Class::Idempotent,
        reply: STATUS_700,
        status: 502,
        body: "",
        runs: &[1, 2],
    },
    Case {
        name: "status 700 with the not-run header",
        class: Class::NonIdempotent,
        reply: SHED_700,
        status: 502,
        body: "",
        runs: &[1],
    },
    Case {
        name: "a final 100",
        class: Class::NonIdempotent,
        reply: FINAL_100,
        status: 502,
        body: "",
        runs: &[1],
    },
    Case {
        name: "closed in the middle of a header",
        class: Class::NonIdempotent,
        reply: TRUNCATED_HEAD,
        status: 502,
        body: "",
        runs: &[1],
    },
    Case {
        name: "closed in the middle of a header, idempotent",
        class: Class::Idempotent,
        reply: TRUNCATED_HEAD,
        status: 502,
        body: "",
        runs: &[1, 2],
    },
    Case {
        name: "closed between two headers",
        class: Class::NonIdempotent,
        reply: HEAD_WITHOUT_END,
        status: 502,
        body: "",
        runs: &[1],
    },
    Case {
        name: "closed in the status line",
        class: Class::NonIdempotent,
        reply: TRUNCATED_STATUS,
        status: 502,
        body: "",
        runs: &[1],
    },
    Case {
        name: "closed without a response",
        class: Class::NonIdempotent,
        reply: EMPTY,
        status: 502,
        body: "",
        runs: &[1],
    },
    Case {
        name: "closed without a response, idempotent",
        class: Class::Idempotent,
        reply: EMPTY,
        status: 502,
        body: "",
        runs: &[1, 2],
    },
    Case {
        name: "refused with the not-run header",
        class: Class::NonIdempotent,
        reply: SHED,
        status: 503,
        body: "",
        runs: &[1, 2],
    },
    Case {
        name: "a server error",
        class: Class::NonIdempotent,
        reply: FAILED,
        status: 500,
        body: "",
        runs: &[1],
    },
];

#[derive(Default)]
struct RequestLog {
    received: AtomicUsize,
    /// Head of the latest request.
    head: Mutex<String>,
}

/// Starts a backend server that gives the same reply to every request.
async fn backend_server(reply: Reply, log: Arc<RequestLog>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, reply, Arc::clone(&log)));
        }
    });
    address
}

async fn serve(mut stream: TcpStream, reply: Reply, log: Arc<RequestLog>) {
    while let Some(head) = read_head(&mut stream).await {
        if head.starts_with("GET /healthz") {
            let healthy = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
            if stream.write_all(healthy).await.is_err() {
                return;
            }
            continue;
        }
        head.clone_into(&mut log.head.lock().expect("no panic in another thread"));
        log.received.fetch_add(1, Ordering::SeqCst);
        if head.starts_with("GET /a/slow") {
            time::sleep(SLOW_REQUEST_DURATION).await;
        }
        if head.starts_with("GET /a/never") {
            time::sleep(WAIT_TIMEOUT).await;
        }
        let id = header(&head, "shallotrill-request").unwrap_or_default();
        let text = reply.replace("{id}", id);
        let sent = stream.write_all(text.as_bytes()).await;
        if sent.is_err() || !KEPT_OPEN.contains(&reply) {
            return;
        }
    }
}

async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n\r\n") {
        let byte = stream.read_u8().await.ok()?;
        bytes.push(byte);
    }
    Some(String::from_utf8_lossy(&bytes).into_owned())
}

fn header<'head>(head: &'head str, name: &str) -> Option<&'head str> {
    let lines = head.lines().filter_map(|line| line.split_once(": "));
    let mut named = lines.filter(|(key, _)| key.eq_ignore_ascii_case(name));
    named.next().map(|(_, value)| value)
}

struct Fixture {
    routers: Vec<Router>,
    registry: registry::Registry,
    _folder: TempDir,
}

fn service_name() -> service::Name {
    service::Name::new("catalogue").expect("a valid name")
}

async fn fixture(class: Class, backends: &[SocketAddr]) -> Fixture {
    fixture_with_retries(class, backends, 1_000).await
}

/// Starts a fixture whose routers may retry `retry_permille` of a thousand requests and as many in each window.
async fn fixture_with_retries(
    class: Class,
    backends: &[SocketAddr],
    retry_permille: u32,
) -> Fixture {
    fixture_with(class, backends, &|settings| {
        settings.retry_permille = retry_permille;
        settings.retry_slack = retry_permille;
    })
    .await
}

/// Starts a fixture whose routers have changed settings.
async fn fixture_with(
    class: Class,
    backends: &[SocketAddr],
    change_settings: &dyn Fn(&mut Settings),
) -> Fixture {
    let folder = TempDir::new().expect("a temporary folder");
    let registry = start_registry(&folder, Vec::new()).await;
    let state = registry.state();
    propose::change(&state, &items(class))
        .await
        .expect("the change is accepted");
    let mut routers = Vec::new();
    for (number, &address) in backends.iter().enumerate() {
        let mut settings = settings(address, vec![state.settings.listen], 1_000);
        change_settings(&mut settings);
        let router = shallotrill_router::run::start(settings)
            .await
            .expect("a router");
        announce(&router, number, 1, false);
        routers.push(router);
    }
    let fixture = Fixture {
        routers,
        registry,
        _folder: folder,
    };
    fixture.wait_for_targets(backends.len()).await;
    fixture
}

/// Settings of a router beside the backend server at `backend`.
fn settings(backend: SocketAddr, registries: Vec<SocketAddr>, retry_permille: u32) -> Settings {
    Settings {
        caller_listen: "127.0.0.1:0".parse().expect("an address"),
        router_listen: "127.0.0.1:0".parse().expect("an address"),
        advertised: None,
        backend,
        service: service_name(),
        zone: zone::Name::new("bodo").expect("a valid name"),
        region: region::Name::new("nordland").expect("a valid name"),
        registries,
        retry_permille,
        retry_slack: retry_permille,
        retry_window: Duration::from_secs(10),
        limits: Limits::default(),
        second_attempt_permille: 0,
        grace_period: Duration::from_secs(2),
        names: Names::default(),
        clock: Clock::start(),
    }
}

async fn start_registry(folder: &TempDir, seeds: Vec<SocketAddr>) -> registry::Registry {
    registry::start(shallotrill_registry::settings::Settings {
        listen: "127.0.0.1:0".parse().expect("an address"),
        advertised: None,
        first_start: seeds.is_empty(),
        limits: Limits::default(),
        seeds,
        zones: vec![zone::Name::new("bodo").expect("a valid name")],
        tolerated_disks: 0,
        folder: folder.path().to_owned(),
        clock: Clock::start(),
    })
    .await
    .expect("a registry process")
}

fn announce(router: &Router, number: usize, sequence: u64, draining: bool) {
    let announcement = ServerAnnouncement {
        instance: instance::Name::new(&format!("i-{number}")).expect("a valid name"),
        service: service_name(),
        start_time_ms: 100,
        sequence,
        draining,
        slots: 4,
        warm_up_remaining: Some(Duration::ZERO),
    };
    backend::announce(&router.state(), announcement).expect("the change is accepted");
}

fn items(class: Class) -> Vec<Item> {
    let named = |kind, name: &str, content: Content| Item {
        key: Key {
            kind,
            name: name.into(),
        },
        version: 1,
        content,
        document: "".into(),
    };
    let service = Service {
        health_path: "/healthz".into(),
        connections: 10,
        warm_up: None,
    };
    let route = Route {
        host: "host".into(),
        prefix: "/a/".into(),
        class,
        timeout: TIMEOUT,
        objective: TIMEOUT,
        priority: 0,
        attempts: 2,
        shares: vec![Share {
            service: service_name(),
            weight: 1,
        }],
        public: false,
    };
    vec![
        named(Kind::Service, "catalogue", Content::Service(service)),
        named(Kind::Route, "r", Content::Route(route)),
    ]
}

impl Fixture {
    async fn wait_for_targets(&self, number: usize) {
        let waiting = async {
            for router in &self.routers {
                let state = router.state();
                let known = || state.routing.lock().target_count(&service_name());
                while known() != number || !state.is_ready() {
                    time::sleep(POLL_INTERVAL).await;
                }
            }
        };
        time::timeout(WAIT_TIMEOUT, waiting)
            .await
            .expect("all targets are known to all routers");
    }

    /// Sends a request to the first router; returns status and body.
    async fn get(&self, path: &str) -> (u16, String) {
        get(self.routers[0].state().settings.caller_listen, path).await
    }

    async fn stop(self) {
        self.registry.stop();
        for router in self.routers {
            router.stop().await;
        }
    }
}

async fn get(address: SocketAddr, path: &str) -> (u16, String) {
    get_with_deadline(address, path, 1_500).await
}

async fn get_with_deadline(address: SocketAddr, path: &str, deadline_ms: u64) -> (u16, String) {
    let mut stream = TcpStream::connect(address).await.expect("connected");
    let request = format!(
        "GET {path} HTTP/1.1\r\nHost: host\r\nshallotrill-request: one\r\n\
             shallotrill-deadline-ms: {deadline_ms}\r\nshallotrill-caller: forged\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await.expect("sent");
    let mut response = Vec::new();
    let read = stream.read_to_end(&mut response);
    let read = time::timeout(WAIT_TIMEOUT, read)
        .await
        .expect("a response in time");
    read.expect("a complete response");
    let response = String::from_utf8_lossy(&response).into_owned();
    let (head, body) = response.split_once("\r\n\r\n").expect("a response head");
    let status = head.split(' ').nth(1).and_then(|s| s.parse().ok());
    if status == Some(503) {
        let retry_after = header(head, "retry-after").and_then(|s| s.parse::<f64>().ok());
        assert!(retry_after.is_some_and(|s| s > 0.0), "{head}");
    }
    assert!(!head.contains("shallotrill-forwarded"), "{head}");
    assert!(!head.contains("shallotrill-denial"), "{head}");
    (status.expect("a response status"), body.to_owned())
}

#[tokio::test]
async fn only_responses_of_the_backend_server_are_passed_on() {
    for case in CASES {
        let log = Arc::new(RequestLog::default());
        let one = backend_server(case.reply, Arc::clone(&log)).await;
        let two = backend_server(case.reply, Arc::clone(&log)).await;
        let fixture = fixture(case.class, &[one, two]).await;
        let (status, body) = fixture.get("/a/b").await;
        assert_eq!(status, case.status, "{}: {body}", case.name);
        if status == 200 {
            assert_eq!(body, case.body, "{}", case.name);
        }
        let runs = log.received.load(Ordering::SeqCst);
        assert!(case.runs.contains(&runs), "{}: {runs} runs", case.name);
    }
}

/// Guards against a 503 without the not-run header that is passed on to the caller or retried: the
/// request may have run.
#[tokio::test]
async fn a_503_without_the_not_run_header_is_not_passed_on() {
    let log = Arc::new(RequestLog::default());
    let one = backend_server(BARE_503, Arc::clone(&log)).await;
    let fixture = fixture(Class::NonIdempotent, &[one]).await;
    let (status, _) = fixture.get("/a/b").await;
    assert_eq!(status, 502);
    assert_eq!(log.received.load(Ordering::SeqCst), 1);
}

/// Guards against a request that is routed although its path is outside the prefix of every route.
#[tokio::test]
async fn paths_outside_a_route_are_not_found() {
    let log = Arc::new(RequestLog::default());
    let one = backend_server(COMPLETE, Arc::clone(&log)).await;
    let fixture = fixture(Class::Idempotent, &[one]).await;
    for path in ["/", "/a", "/b/a/", "/A/b"] {
        assert_eq!(fixture.get(path).await.0, 404, "{path}");
    }
    assert_eq!(log.received.load(Ordering::SeqCst), 0);
}

/// Guards against requests that any router sends to a backend server whose drain was acknowledged.
#[tokio::test]
async fn a_draining_backend_server_receives_no_requests() {
    let (drained, other) = (
        Arc::new(RequestLog::default()),
        Arc::new(RequestLog::default()),
    );
    let one = backend_server(COMPLETE, Arc::clone(&drained)).await;
    let two = backend_server(COMPLETE, Arc::clone(&other)).await;
    let fixture = fixture(Class::NonIdempotent, &[two, one]).await;
    announce(&fixture.routers[1], 1, 2, true);
    // Immediately, before other routers are notified of the drain.
    for _ in 0..20 {
        assert_eq!(fixture.get("/a/b").await.0, 200);
    }
    assert_eq!(drained.received.load(Ordering::SeqCst), 0);
    assert_eq!(other.received.load(Ordering::SeqCst), 20);
}

/// Guards against a request that is refused because several targets are unreachable, although another one is free.
#[tokio::test]
async fn unreachable_targets_are_skipped() {
    const UNREACHABLE: usize = 5;
    // The order of the choices is random, so the test is repeated.
    for _ in 0..6 {
        let log = Arc::new(RequestLog::default());
        let one = backend_server(COMPLETE, Arc::clone(&log)).await;
        let fixture = fixture(Class::NonIdempotent, &[one]).await;
        let known = fixture.routers[0].state().announcement();
        // A socket that is bound and does not listen refuses connections and keeps its port from others.
        let ports: Vec<TcpSocket> = (0..UNREACHABLE).map(|_| bound_socket()).collect();
        let announcements = ports.iter().enumerate().map(|(number, port)| {
            let router = port.local_addr().expect("an address");
            let mut unreachable = known.clone();
            unreachable.router = router;
            let target = unreachable.target.as_mut().expect("a target");
            target.address = router;
            target.instance = instance::Name::new(&format!("gone-{number}")).expect("a valid name");
            unreachable
        });
        let renewal = tokio::spawn(renew(fixture.registry.state(), announcements.collect()));
        fixture.wait_for_targets(UNREACHABLE + 1).await;
        assert_eq!(fixture.get("/a/b").await.0, 200);
        assert_eq!(log.received.load(Ordering::SeqCst), 1);
        renewal.abort();
    }
}

fn bound_socket() -> TcpSocket {
    let socket = TcpSocket::new_v4().expect("a socket");
    let any_port = "127.0.0.1:0".parse().expect("an address");
    socket.bind(any_port).expect("a free port");
    socket
}

/// Announces routers and renews their leases, as they do themselves while they run.
async fn renew(registry: Arc<RegistryState>, announcements: Vec<Announcement>) {
    loop {
        for announcement in &announcements {
            let request = Request::Announce(announcement.clone());
            members::handle(&registry, &request).await;
        }
        time::sleep(RENEWAL_INTERVAL).await;
    }
}

/// Guards against a router that reports that it is ready after it was stopped.
#[tokio::test]
async fn a_stopped_router_is_not_ready() {
    let log = Arc::new(RequestLog::default());
    let one = backend_server(COMPLETE, Arc::clone(&log)).await;
    let fixture = fixture(Class::NonIdempotent, &[one]).await;
    let state = fixture.routers[0].state();
    assert!(state.is_ready());
    assert_eq!(fixture.get("/a/b").await.0, 200);
    fixture.stop().await;
    assert!(!state.is_ready());
}

/// Guards against a request that is aborted because its router stops.
#[tokio::test]
async fn a_stop_lets_requests_in_flight_finish() {
    let log = Arc::new(RequestLog::default());
    let one = backend_server(COMPLETE, Arc::clone(&log)).await;
    let mut fixture = fixture(Class::NonIdempotent, &[one]).await;
    let router = fixture.routers.pop().expect("a router");
    let address = router.state().settings.caller_listen;
    let response = tokio::spawn(async move { get(address, "/a/slow").await });
    let received = async {
        while log.received.load(Ordering::SeqCst) == 0 {
            time::sleep(POLL_INTERVAL).await;
        }
    };
    time::timeout(WAIT_TIMEOUT, received)
        .await
        .expect("the request reaches the backend server");
    assert!(router.stop().await);
    assert_eq!(response.await.expect("no panic in another thread").0, 200);
}

/// Guards against a request that is altered on its way, a deadline later than the caller's, and a
/// caller header that the caller forged.
#[tokio::test]
async fn the_backend_server_receives_the_request_unaltered() {
    let log = Arc::new(RequestLog::default());
    let one = backend_server(COMPLETE, Arc::clone(&log)).await;
    let fixture = fixture(Class::Idempotent, &[one]).await;
    assert_eq!(fixture.get("/a/b?c=d%20e").await.0, 200);
    let head = log.head.lock().expect("no panic in another thread").clone();
    assert!(head.starts_with("GET /a/b?c=d%20e HTTP/1.1\r\n"), "{head}");
    assert_eq!(header(&head, "host"), Some("host"), "{head}");
    assert_eq!(header(&head, "shallotrill-request"), Some("one"), "{head}");
    assert_eq!(header(&head, "shallotrill-expected"), Some("i-0"), "{head}");
    assert_eq!(
        header(&head, "shallotrill-caller"),
        Some("catalogue"),
        "{head}"
    );
    assert_eq!(header(&head, "shallotrill-forwarded"), None, "{head}");
    let remaining = header(&head, "shallotrill-deadline-ms").and_then(|ms| ms.parse::<u64>().ok());
    assert!(
        remaining.is_some_and(|ms| (1..=1_500).contains(&ms)),
        "{head}"
    );
}

struct DeadlineCase {
    name: &'static str,
    class: Class,
    /// Deadline that the caller sends; the route has [`TIMEOUT`].
    deadline_ms: u64,
}

/// Guards against a request that exceeds the timeout of its route or the deadline of its caller.
const DEADLINES: &[DeadlineCase] = &[
    DeadlineCase {
        name: "the route's timeout is shorter",
        class: Class::NonIdempotent,
        deadline_ms: 60_000,
    },
    DeadlineCase {
        name: "the route's timeout is shorter, idempotent",
        class: Class::Idempotent,
        deadline_ms: 60_000,
    },
    DeadlineCase {
        name: "the caller's deadline is shorter",
        class: Class::NonIdempotent,
        deadline_ms: 300,
    },
];

#[tokio::test]
async fn requests_end_at_their_deadline() {
    for case in DEADLINES {
        let log = Arc::new(RequestLog::default());
        let one = backend_server(COMPLETE, Arc::clone(&log)).await;
        let fixture = fixture(case.class, &[one]).await;
        let address = fixture.routers[0].state().settings.caller_listen;
        let begin = time::Instant::now();
        let (status, _) = get_with_deadline(address, "/a/never", case.deadline_ms).await;
        assert_eq!(status, 504, "{}", case.name);
        let allowed = TIMEOUT.min(Duration::from_millis(case.deadline_ms));
        // The margin allows for a busy machine; without the timeout the request lasts until the
        // backend server responds.
        assert!(
            begin.elapsed() < allowed + WAIT_TIMEOUT / 4,
            "{}",
            case.name
        );
        assert_eq!(log.received.load(Ordering::SeqCst), 1, "{}", case.name);
    }
}

/// Guards against targets that only a silent registry process reports and that stay in use, for example those that
/// have left since it was cut off.
#[tokio::test]
async fn targets_that_only_a_silent_registry_process_reports_are_dropped() {
    let log = Arc::new(RequestLog::default());
    let one = backend_server(COMPLETE, Arc::clone(&log)).await;
    let fixture = fixture(Class::NonIdempotent, &[one]).await;
    let state = fixture.routers[0].state();
    let folder = TempDir::new().expect("a temporary folder");
    let second = start_registry(&folder, vec![fixture.registry.state().settings.listen]).await;
    let followed = async {
        while state.views.lock().reachable_registries(state.now()) < 2 {
            time::sleep(POLL_INTERVAL).await;
        }
    };
    let followed = time::timeout(WAIT_TIMEOUT, followed).await;
    assert!(
        followed.is_ok(),
        "the second registry process is not followed"
    );
    let mut other = state.announcement();
    other.router = "127.0.0.1:9".parse().expect("an address");
    let target = other.target.as_mut().expect("a target");
    target.instance = instance::Name::new("i-9").expect("a valid name");
    let renewal = tokio::spawn(renew(fixture.registry.state(), vec![other]));
    fixture.wait_for_targets(2).await;
    renewal.abort();
    fixture.registry.stop();
    fixture.wait_for_targets(1).await;
    second.stop();
}
