//! The whole path: a registry process, two routers, and a backend server that misbehaves.

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
use tokio::net::TcpStream;
use tokio::time;

use shallotrill_feed::message::Request;
use shallotrill_items::item::Content;
use shallotrill_items::item::Item;
use shallotrill_items::item::Key;
use shallotrill_items::item::Kind;
use shallotrill_items::route::Route;
use shallotrill_items::route::Service;
use shallotrill_items::route::Share;
use shallotrill_model::class::Class;
use shallotrill_model::instance;
use shallotrill_model::region;
use shallotrill_model::service;
use shallotrill_model::zone;
use shallotrill_process::clock::Clock;
use shallotrill_registry::members;
use shallotrill_registry::propose;
use shallotrill_registry::run as registry;
use shallotrill_router::backend;
use shallotrill_router::backend::Announcement;
use shallotrill_router::names::Names;
use shallotrill_router::run::Router;
use shallotrill_router::settings::Settings;

/// Longest wait for something that must happen.
const LIMIT: Duration = Duration::from_secs(30);

/// Pause between two looks at a state that no notification tells.
const LOOK: Duration = Duration::from_millis(20);

/// Time limit of the routes.
const TIMEOUT: Duration = Duration::from_millis(1_500);

/// Work of a request for `/a/slow`: longer than the notice of a stop, shorter than its grace.
const WORK: Duration = Duration::from_millis(1_100);

/// What the backend server does with a request; `{id}` stands for the request's identity.
type Reply = &'static str;

const WHOLE: Reply = "HTTP/1.1 200 OK\r\nshallotrill-request: {id}\r\nshallotrill-seal: s\r\nContent-Length: 4\r\n\r\nbody";
const UNSEALED: Reply =
    "HTTP/1.1 200 OK\r\nshallotrill-request: {id}\r\nContent-Length: 4\r\n\r\nbody";
const CROSSED: Reply = "HTTP/1.1 200 OK\r\nshallotrill-request: other\r\nshallotrill-seal: s\r\nContent-Length: 4\r\n\r\nbody";
const NAMELESS: Reply = "HTTP/1.1 200 OK\r\nshallotrill-seal: s\r\nContent-Length: 4\r\n\r\nbody";
const CUT: Reply = "HTTP/1.1 200 OK\r\nshallotrill-request: {id}\r\nshallotrill-seal: s\r\nContent-Length: 9\r\n\r\nbody";
const ENCODED: Reply = "HTTP/1.1 200 OK\r\nshallotrill-request: {id}\r\nshallotrill-seal: s\r\nContent-Encoding: gzip\r\nContent-Length: 4\r\n\r\nbody";
const GARBAGE: Reply = "\u{1}\u{2}nonsense\r\n\r\n";
const NOTHING: Reply = "";
const SHED: Reply = "HTTP/1.1 503 x\r\nshallotrill-request: {id}\r\nshallotrill-backend-not-run: full\r\nContent-Length: 0\r\n\r\n";
const FAILED: Reply = "HTTP/1.1 500 x\r\nshallotrill-request: {id}\r\nshallotrill-seal: s\r\nContent-Length: 0\r\n\r\n";
const BARE_503: Reply = "HTTP/1.1 503 x\r\nshallotrill-request: {id}\r\nContent-Length: 0\r\n\r\n";
const LENGTHLESS: Reply = "HTTP/1.1 200 OK\r\nshallotrill-request: {id}\r\nshallotrill-seal: s\r\nConnection: close\r\n\r\nbody";

struct Case {
    name: &'static str,
    class: Class,
    reply: Reply,
    status: u16,
    body: &'static str,
    /// How often the request may reach the backend servers.
    runs: &'static [usize],
}

/// Guards against a success that is not the backend server's, a second run of a non-idempotent
/// request, and a refusal that promises "not run" without proof.
const CASES: &[Case] = &[
    Case {
        name: "whole",
        class: Class::NonIdempotent,
        reply: WHOLE,
        status: 200,
        body: "body",
        runs: &[1],
    },
    Case {
        name: "without a length",
        class: Class::NonIdempotent,
        reply: LENGTHLESS,
        status: 200,
        body: "body",
        runs: &[1],
    },
    Case {
        name: "a success without a seal",
        class: Class::NonIdempotent,
        reply: UNSEALED,
        status: 502,
        body: "",
        runs: &[1],
    },
    Case {
        name: "another request's answer",
        class: Class::NonIdempotent,
        reply: CROSSED,
        status: 502,
        body: "",
        runs: &[1],
    },
    Case {
        name: "an answer without identity",
        class: Class::NonIdempotent,
        reply: NAMELESS,
        status: 502,
        body: "",
        runs: &[1],
    },
    Case {
        name: "an encoded answer",
        class: Class::NonIdempotent,
        reply: ENCODED,
        status: 502,
        body: "",
        runs: &[1],
    },
    Case {
        name: "a cut answer",
        class: Class::NonIdempotent,
        reply: CUT,
        status: 502,
        body: "",
        runs: &[1],
    },
    Case {
        name: "bytes that are no answer",
        class: Class::NonIdempotent,
        reply: GARBAGE,
        status: 502,
        body: "",
        runs: &[1],
    },
    Case {
        name: "closed without an answer",
        class: Class::NonIdempotent,
        reply: NOTHING,
        status: 502,
        body: "",
        runs: &[1],
    },
    Case {
        name: "closed without an answer, idempotent",
        class: Class::Idempotent,
        reply: NOTHING,
        status: 502,
        body: "",
        runs: &[1, 2],
    },
    Case {
        name: "stated not to have run",
        class: Class::NonIdempotent,
        reply: SHED,
        status: 503,
        body: "",
        runs: &[1, 2],
    },
    Case {
        name: "a failure of the backend server",
        class: Class::NonIdempotent,
        reply: FAILED,
        status: 500,
        body: "",
        runs: &[1],
    },
];

#[derive(Default)]
struct Count {
    arrived: AtomicUsize,
    /// The head of the latest request.
    head: Mutex<String>,
}

/// A backend server that gives one reply to every request.
async fn backend_server(reply: Reply, count: Arc<Count>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, reply, Arc::clone(&count)));
        }
    });
    address
}

async fn serve(mut stream: TcpStream, reply: Reply, count: Arc<Count>) {
    while let Some(head) = read_head(&mut stream).await {
        if head.starts_with("GET /healthz") {
            let healthy = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
            if stream.write_all(healthy).await.is_err() {
                return;
            }
            continue;
        }
        head.clone_into(&mut count.head.lock().expect("no panic"));
        count.arrived.fetch_add(1, Ordering::SeqCst);
        if head.starts_with("GET /a/slow") {
            time::sleep(WORK).await;
        }
        if head.starts_with("GET /a/never") {
            time::sleep(LIMIT).await;
        }
        let id = header(&head, "shallotrill-request").unwrap_or_default();
        let text = reply.replace("{id}", id);
        let sent = stream.write_all(text.as_bytes()).await;
        if sent.is_err() || reply != WHOLE && reply != SHED && reply != FAILED {
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

struct Scene {
    routers: Vec<Router>,
    registry: registry::Registry,
    _folder: TempDir,
}

fn service_name() -> service::Name {
    service::Name::new("catalogue").expect("a name")
}

async fn scene(class: Class, backends: &[SocketAddr]) -> Scene {
    let folder = TempDir::new().expect("a folder");
    let registry = registry::start(shallotrill_registry::settings::Settings {
        listen: "127.0.0.1:0".parse().expect("an address"),
        advertised: None,
        seeds: Vec::new(),
        tolerated_disks: 0,
        first_start: true,
        folder: folder.path().to_owned(),
        clock: Clock::start(),
    })
    .await
    .expect("a registry process");
    let state = registry.state();
    propose::change(&state, &items(class))
        .await
        .expect("accepted");
    let mut routers = Vec::new();
    for (number, &address) in backends.iter().enumerate() {
        let router = shallotrill_router::run::start(Settings {
            caller_listen: "127.0.0.1:0".parse().expect("an address"),
            router_listen: "127.0.0.1:0".parse().expect("an address"),
            advertised: None,
            backend: address,
            service: service_name(),
            zone: zone::Name::new("bodo").expect("a name"),
            region: region::Name::new("nordland").expect("a name"),
            registries: vec![state.settings.listen],
            retry_permille: 1_000,
            retry_slack: 1_000,
            grace: Duration::from_secs(2),
            names: Names::default(),
            clock: Clock::start(),
        })
        .await
        .expect("a router");
        announce(&router, number, 1, false);
        routers.push(router);
    }
    let scene = Scene {
        routers,
        registry,
        _folder: folder,
    };
    scene.wait_for_targets(backends.len()).await;
    scene
}

fn announce(router: &Router, number: usize, sequence: u64, draining: bool) {
    let announcement = Announcement {
        instance: instance::Name::new(&format!("i-{number}")).expect("a name"),
        service: service_name(),
        born: 100,
        sequence,
        draining,
        slots: 4,
        cold: Duration::ZERO,
    };
    backend::announce(&router.state(), announcement).expect("accepted");
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
    };
    vec![
        named(Kind::Service, "catalogue", Content::Service(service)),
        named(Kind::Route, "r", Content::Route(route)),
    ]
}

impl Scene {
    async fn wait_for_targets(&self, number: usize) {
        let waiting = async {
            for router in &self.routers {
                let state = router.state();
                let known = || state.routing.lock().target_count(&service_name());
                while known() != number || !state.is_ready() {
                    time::sleep(LOOK).await;
                }
            }
        };
        time::timeout(LIMIT, waiting).await.expect("all are known");
    }

    /// Sends a request to the first router; returns status and body.
    async fn ask(&self, path: &str) -> (u16, String) {
        ask(self.routers[0].state().settings.caller_listen, path).await
    }

    async fn stop(self) {
        self.registry.stop();
        for router in self.routers {
            router.stop().await;
        }
    }
}

async fn ask(address: SocketAddr, path: &str) -> (u16, String) {
    ask_within(address, path, 1_500).await
}

async fn ask_within(address: SocketAddr, path: &str, deadline_ms: u64) -> (u16, String) {
    let mut stream = TcpStream::connect(address).await.expect("connected");
    let request = format!(
        "GET {path} HTTP/1.1\r\nHost: host\r\nshallotrill-request: one\r\n\
             shallotrill-deadline-ms: {deadline_ms}\r\nshallotrill-caller: forged\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await.expect("sent");
    let mut answer = Vec::new();
    let read = stream.read_to_end(&mut answer);
    let read = time::timeout(LIMIT, read).await.expect("answered");
    read.expect("a whole answer");
    let answer = String::from_utf8_lossy(&answer).into_owned();
    let (head, body) = answer.split_once("\r\n\r\n").expect("a head");
    let status = head.split(' ').nth(1).and_then(|s| s.parse().ok());
    if status == Some(503) {
        assert!(header(head, "retry-after").is_some(), "{head}");
    }
    assert!(!head.contains("shallotrill-forwarded"), "{head}");
    assert!(!head.contains("shallotrill-denial"), "{head}");
    (status.expect("a status"), body.to_owned())
}

#[tokio::test]
async fn answers_are_the_backend_servers() {
    for case in CASES {
        let count = Arc::new(Count::default());
        let one = backend_server(case.reply, Arc::clone(&count)).await;
        let two = backend_server(case.reply, Arc::clone(&count)).await;
        let scene = scene(case.class, &[one, two]).await;
        let (status, body) = scene.ask("/a/b").await;
        assert_eq!(status, case.status, "{}: {body}", case.name);
        if status == 200 {
            assert_eq!(body, case.body, "{}", case.name);
        }
        let runs = count.arrived.load(Ordering::SeqCst);
        assert!(case.runs.contains(&runs), "{}: {runs} runs", case.name);
    }
}

/// Guards against a bare 503 of a backend server that is passed on as a promise of this system,
/// and against its repetition: without a statement it may have run.
#[tokio::test]
async fn a_bare_503_is_no_promise() {
    let count = Arc::new(Count::default());
    let one = backend_server(BARE_503, Arc::clone(&count)).await;
    let scene = scene(Class::NonIdempotent, &[one]).await;
    let (status, _) = scene.ask("/a/b").await;
    assert_eq!(status, 502);
    assert_eq!(count.arrived.load(Ordering::SeqCst), 1);
}

/// Guards against a request for a route that does not exist, and a path that leaves its prefix.
#[tokio::test]
async fn other_paths_have_no_route() {
    let count = Arc::new(Count::default());
    let one = backend_server(WHOLE, Arc::clone(&count)).await;
    let scene = scene(Class::Idempotent, &[one]).await;
    for path in ["/", "/a", "/b/a/", "/A/b"] {
        assert_eq!(scene.ask(path).await.0, 404, "{path}");
    }
    assert_eq!(count.arrived.load(Ordering::SeqCst), 0);
}

/// Guards against requests at a backend server whose drain was acknowledged, from any router.
#[tokio::test]
async fn a_draining_backend_server_gets_nothing() {
    let (drained, other) = (Arc::new(Count::default()), Arc::new(Count::default()));
    let one = backend_server(WHOLE, Arc::clone(&drained)).await;
    let two = backend_server(WHOLE, Arc::clone(&other)).await;
    let scene = scene(Class::NonIdempotent, &[two, one]).await;
    announce(&scene.routers[1], 1, 2, true);
    // At once, before any other router can know.
    for _ in 0..20 {
        assert_eq!(scene.ask("/a/b").await.0, 200);
    }
    assert_eq!(drained.arrived.load(Ordering::SeqCst), 0);
    assert_eq!(other.arrived.load(Ordering::SeqCst), 20);
}

/// Guards against a request that is refused because several targets are gone at once, although another one is free.
#[tokio::test]
async fn unreachable_targets_are_passed_over() {
    const GONE: usize = 5;
    // The first choices differ from scene to scene.
    for _ in 0..6 {
        let count = Arc::new(Count::default());
        let one = backend_server(WHOLE, Arc::clone(&count)).await;
        let scene = scene(Class::NonIdempotent, &[one]).await;
        let known = scene.routers[0].state().announcement();
        for number in 0..GONE {
            // Nothing listens on a port that was given back.
            let port = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
            let router = port.local_addr().expect("an address");
            drop(port);
            let mut gone = known.clone();
            gone.router = router;
            let target = gone.target.as_mut().expect("a target");
            target.address = router;
            target.instance = instance::Name::new(&format!("gone-{number}")).expect("a name");
            let request = Request::Announce(gone);
            members::answer(&scene.registry.state(), &request).await;
        }
        scene.wait_for_targets(GONE + 1).await;
        assert_eq!(scene.ask("/a/b").await.0, 200);
        assert_eq!(count.arrived.load(Ordering::SeqCst), 1);
    }
}

/// Guards against a stop that cuts a request, and against new callers at a router that stops.
#[tokio::test]
async fn a_stop_is_graceful() {
    let count = Arc::new(Count::default());
    let one = backend_server(WHOLE, Arc::clone(&count)).await;
    let scene = scene(Class::NonIdempotent, &[one]).await;
    let state = scene.routers[0].state();
    assert!(state.is_ready());
    assert_eq!(scene.ask("/a/b").await.0, 200);
    scene.stop().await;
    assert!(!state.is_ready());
}

/// Guards against a request that is cut off because its router stops.
#[tokio::test]
async fn a_stop_lets_requests_in_flight_finish() {
    let count = Arc::new(Count::default());
    let one = backend_server(WHOLE, Arc::clone(&count)).await;
    let mut scene = scene(Class::NonIdempotent, &[one]).await;
    let router = scene.routers.pop().expect("a router");
    let address = router.state().settings.caller_listen;
    let asking = tokio::spawn(async move { ask(address, "/a/slow").await });
    let arrived = async {
        while count.arrived.load(Ordering::SeqCst) == 0 {
            time::sleep(LOOK).await;
        }
    };
    time::timeout(LIMIT, arrived).await.expect("it arrives");
    assert!(router.stop().await);
    assert_eq!(asking.await.expect("no panic").0, 200);
}

/// Guards against a backend server that gets another request, more time than the caller has, or a
/// forged origin.
#[tokio::test]
async fn the_backend_server_gets_what_was_sent() {
    let count = Arc::new(Count::default());
    let one = backend_server(WHOLE, Arc::clone(&count)).await;
    let scene = scene(Class::Idempotent, &[one]).await;
    assert_eq!(scene.ask("/a/b?c=d%20e").await.0, 200);
    let head = count.head.lock().expect("no panic").clone();
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
    let left = header(&head, "shallotrill-deadline-ms").and_then(|ms| ms.parse::<u64>().ok());
    assert!(left.is_some_and(|ms| (1..=1_500).contains(&ms)), "{head}");
}

struct Bound {
    name: &'static str,
    class: Class,
    /// Time that the caller gives; the route has [`TIMEOUT`].
    deadline_ms: u64,
}

/// Guards against a request that outlasts its route's timeout or its caller's patience.
const BOUNDS: &[Bound] = &[
    Bound {
        name: "the route's timeout is the smaller",
        class: Class::NonIdempotent,
        deadline_ms: 60_000,
    },
    Bound {
        name: "the route's timeout is the smaller, idempotent",
        class: Class::Idempotent,
        deadline_ms: 60_000,
    },
    Bound {
        name: "the caller's time is the smaller",
        class: Class::NonIdempotent,
        deadline_ms: 300,
    },
];

#[tokio::test]
async fn no_request_outlasts_its_time() {
    for case in BOUNDS {
        let count = Arc::new(Count::default());
        let one = backend_server(WHOLE, Arc::clone(&count)).await;
        let scene = scene(case.class, &[one]).await;
        let address = scene.routers[0].state().settings.caller_listen;
        let begin = time::Instant::now();
        let (status, _) = ask_within(address, "/a/never", case.deadline_ms).await;
        assert_eq!(status, 504, "{}", case.name);
        let allowed = TIMEOUT.min(Duration::from_millis(case.deadline_ms));
        // A busy machine may be late; a missing bound lasts until the backend server ends.
        assert!(begin.elapsed() < allowed + LIMIT / 4, "{}", case.name);
        assert_eq!(count.arrived.load(Ordering::SeqCst), 1, "{}", case.name);
    }
}
