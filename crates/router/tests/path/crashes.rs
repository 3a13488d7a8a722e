//! Requests that crash the backend servers that run them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time;

use crate::EMPTY;
use crate::POLL_INTERVAL;
use crate::Reply;
use crate::RequestLog;
use crate::TRUNCATED;
use crate::WAIT_TIMEOUT;
use crate::fixture;
use crate::header;
use crate::read_head;
use shallotrill_model::class::Class;
use shallotrill_model::instance;
use shallotrill_model::service;
use shallotrill_router::backend;
use shallotrill_router::backend::ServerAnnouncement;

/// Time for which a crashed backend server is down: longer than the check of its router takes.
const DOWN_PERIOD: Duration = Duration::from_millis(400);

/// Time between the last byte that a backend server sends and its crash.
const CRASH_DELAY: Duration = Duration::from_millis(20);

struct Case {
    name: &'static str,
    /// What the backend server sends before it crashes.
    reply: Reply,
}

/// Guards against a request that crashes backend servers and is sent to them without end.
const CASES: &[Case] = &[
    Case {
        name: "crash before the response",
        reply: EMPTY,
    },
    Case {
        name: "crash after the head of the response",
        reply: TRUNCATED,
    },
];

#[tokio::test]
async fn a_request_that_crashes_backend_servers_is_held_back() {
    for case in CASES {
        let log = Arc::new(RequestLog::default());
        let one = crashing_server(case.reply, Arc::clone(&log)).await;
        let fixture = fixture(Class::NonIdempotent, &[one]).await;
        for crashes in 1..=2_u64 {
            let run = async {
                // A backend server that has just started is not reachable at once.
                while log.received.load(Ordering::SeqCst) < crashes as usize {
                    fixture.get("/a/b").await;
                }
            };
            let run = time::timeout(WAIT_TIMEOUT, run).await;
            assert!(run.is_ok(), "{}: request {crashes} does not run", case.name);
            let state = fixture.routers[0].state();
            let seen = || state.crashes.lock().records(state.now()).len();
            let seen = async {
                while seen() < crashes as usize {
                    time::sleep(POLL_INTERVAL).await;
                }
            };
            let seen = time::timeout(WAIT_TIMEOUT, seen).await;
            assert!(seen.is_ok(), "{}: crash {crashes} is not noted", case.name);
            time::sleep(DOWN_PERIOD).await;
            let announcement = ServerAnnouncement {
                instance: instance::Name::new("i-0").expect("a valid name"),
                service: service::Name::new("catalogue").expect("a valid name"),
                start_time_ms: 100 + crashes,
                sequence: 1,
                draining: false,
                slots: 4,
                warm_up_remaining: Some(Duration::ZERO),
            };
            backend::announce(&state, announcement).expect("the change is accepted");
            fixture.wait_for_targets(1).await;
        }
        let quarantined = &fixture.routers[0].state().metrics.quarantined;
        let before = quarantined.get();
        assert_eq!(fixture.get("/a/b").await.0, 503, "{}", case.name);
        assert_eq!(quarantined.get(), before + 1, "{}", case.name);
        assert_eq!(log.received.load(Ordering::SeqCst), 2, "{}", case.name);
    }
}

/// A backend server that crashes after each reply: its connections end, and its port refuses new ones for a while.
async fn crashing_server(reply: Reply, log: Arc<RequestLog>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let mut listener = listener;
        loop {
            let (crash, mut crashed) = mpsc::channel(1);
            let mut connections = JoinSet::new();
            while crashed.try_recv().is_err() {
                tokio::select! {
                    Ok((stream, _)) = listener.accept() => {
                        connections.spawn(serve(stream, reply, Arc::clone(&log), crash.clone()));
                    }
                    _ = crashed.recv() => break,
                }
            }
            drop(listener);
            connections.shutdown().await;
            time::sleep(DOWN_PERIOD).await;
            listener = TcpListener::bind(address).await.expect("the same port");
        }
    });
    address
}

async fn serve(mut stream: TcpStream, reply: Reply, log: Arc<RequestLog>, crash: mpsc::Sender<()>) {
    while let Some(head) = read_head(&mut stream).await {
        if head.starts_with("GET /healthz") {
            let healthy = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
            if stream.write_all(healthy).await.is_err() {
                return;
            }
            continue;
        }
        log.received.fetch_add(1, Ordering::SeqCst);
        let id = header(&head, "shallotrill-request").unwrap_or_default();
        let text = reply.replace("{id}", id);
        let sent = stream.write_all(text.as_bytes()).await;
        time::sleep(CRASH_DELAY).await;
        if sent.is_ok() && crash.send(()).await.is_err() {
            return;
        }
    }
}
