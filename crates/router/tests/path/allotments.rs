//! Requests of workspaces with an allotment, from the entry of a router to a registry process and a backend server.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time;

use crate::COMPLETE;
use crate::Fixture;
use crate::POLL_INTERVAL;
use crate::Reply;
use crate::RequestLog;
use crate::SHED;
use crate::WAIT_TIMEOUT;
use crate::backend_server;
use crate::fixture;
use crate::header;
use shallotrill_items::item::Content;
use shallotrill_items::item::Item;
use shallotrill_items::item::Key;
use shallotrill_items::item::Kind;
use shallotrill_items::workspace::Allotment;
use shallotrill_items::workspace::Digest;
use shallotrill_items::workspace::Workspace;
use shallotrill_model::class::Class;
use shallotrill_model::rate::Rate;
use shallotrill_registry::propose;
use shallotrill_router::names::Names;

const WORKSPACE_KEY: &str = "key-of-w";

/// An allotment that no test uses up, whatever the time that it takes.
const LARGE: Option<(u32, u32)> = Some((100_000, 100_000));
const NOTHING: Option<(u32, u32)> = Some((0, 0));

fn workspace(version: u64, allotment: Option<(u32, u32)>) -> Item {
    let allotment = allotment.map(|(rate, burst)| Allotment {
        rate: Rate::from_millihertz(rate * 1_000),
        burst,
    });
    Item {
        key: Key {
            kind: Kind::Workspace,
            name: "w".into(),
        },
        version,
        content: Content::Workspace(Workspace {
            keys: vec![Digest::of(WORKSPACE_KEY.as_bytes())],
            priority: 0,
            allotment,
        }),
        document: "".into(),
    }
}

/// Sends a request of the workspace; returns the status and `Retry-After`.
async fn send(address: SocketAddr) -> (u16, Option<f64>) {
    let mut stream = TcpStream::connect(address).await.expect("connected");
    let credential = Names::default().credential;
    let request = format!(
        "GET /a/b HTTP/1.1\r\nHost: host\r\n{credential}: {WORKSPACE_KEY}\r\nshallotrill-request: one\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await.expect("sent");
    let mut response = Vec::new();
    let read = stream.read_to_end(&mut response);
    let read = time::timeout(WAIT_TIMEOUT, read).await;
    read.expect("a response in time").expect("a response");
    let response = String::from_utf8_lossy(&response).into_owned();
    let (head, _) = response.split_once("\r\n\r\n").expect("a response head");
    let status = head.split(' ').nth(1).and_then(|s| s.parse().ok());
    let retry_after = header(head, "retry-after").and_then(|s| s.parse().ok());
    (status.expect("a response status"), retry_after)
}

impl Fixture {
    async fn change(&self, version: u64, allotment: Option<(u32, u32)>) {
        let items = [workspace(version, allotment)];
        let changed = propose::change(&self.registry.state(), &items).await;
        changed.expect("the change is accepted");
    }

    fn entry(&self) -> SocketAddr {
        self.routers[0].state().settings.caller_listen
    }

    /// Sends requests until one has this status.
    async fn wait_for_status(&self, status: u16) {
        let waiting = async {
            while send(self.entry()).await.0 != status {
                time::sleep(POLL_INTERVAL).await;
            }
        };
        let reached = time::timeout(WAIT_TIMEOUT, waiting).await;
        assert!(reached.is_ok(), "no request has the status {status}");
    }

    fn metric(&self, line: &str) -> bool {
        let state = self.routers[0].state();
        let text = state.metrics.registry.text().expect("metrics");
        text.lines().any(|l| l.starts_with(line))
    }
}

async fn started(reply: Reply, allotment: Option<(u32, u32)>) -> (Fixture, Arc<RequestLog>) {
    let log = Arc::new(RequestLog::default());
    let one = backend_server(reply, Arc::clone(&log)).await;
    let fixture = fixture(Class::Idempotent, &[one]).await;
    fixture.change(1, allotment).await;
    (fixture, log)
}

/// Guards against requests beyond the allotment that reach a backend server, also after the limit was lowered, and
/// against refusals that do not promise that the request has not run.
#[tokio::test]
async fn requests_beyond_the_allotment_are_refused() {
    let (fixture, log) = started(COMPLETE, LARGE).await;
    fixture.wait_for_status(200).await;
    fixture.change(2, NOTHING).await;
    fixture.wait_for_status(429).await;
    let before = log.received.load(Ordering::SeqCst);
    for _ in 0..5 {
        let (status, retry_after) = send(fixture.entry()).await;
        assert_eq!(status, 429);
        assert!(retry_after.is_some_and(|s| s > 0.0), "{retry_after:?}");
    }
    assert_eq!(log.received.load(Ordering::SeqCst), before);
    fixture.change(3, LARGE).await;
    fixture.wait_for_status(200).await;
}

/// Guards against requests that are admitted or held back for long while no owner can be reached.
#[tokio::test]
async fn requests_are_refused_without_an_owner() {
    let (fixture, log) = started(COMPLETE, NOTHING).await;
    fixture.wait_for_status(429).await;
    // Requests are admitted until the router knows of the workspace.
    let before = log.received.load(Ordering::SeqCst);
    fixture.registry.stop();
    fixture.wait_for_status(503).await;
    let (status, retry_after) = send(fixture.entry()).await;
    assert_eq!(status, 503);
    assert!(retry_after.is_some_and(|s| s > 0.0), "{retry_after:?}");
    assert_eq!(log.received.load(Ordering::SeqCst), before);
}

/// Guards against credit that is lost when a request is refused as not run.
#[tokio::test]
async fn a_request_that_is_not_run_returns_its_unit() {
    let (fixture, _) = started(SHED, LARGE).await;
    fixture.wait_for_status(503).await;
    let waiting = async {
        while !fixture.metric("shallotrill_router_allotment_total{decision=\"returned\"}") {
            send(fixture.entry()).await;
        }
    };
    let returned = time::timeout(WAIT_TIMEOUT, waiting).await;
    assert!(returned.is_ok(), "no unit is returned");
}

/// Guards against messages and look-ups for workspaces without an allotment.
#[tokio::test]
async fn a_workspace_without_an_allotment_needs_no_credit() {
    let (fixture, _) = started(COMPLETE, None).await;
    fixture.wait_for_status(200).await;
    assert_eq!(send(fixture.entry()).await.0, 200);
    assert!(fixture.metric("shallotrill_router_credit_requests_total 0"));
    assert!(!fixture.metric("shallotrill_router_allotment_total"));
}
