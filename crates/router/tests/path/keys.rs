//! Keys of workspaces: who is refused, and what the backend server receives.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time;

use crate::COMPLETE;
use crate::RequestLog;
use crate::WAIT_TIMEOUT;
use crate::backend_server;
use crate::fixture;
use crate::header;
use shallotrill_items::item::Content;
use shallotrill_items::item::Item;
use shallotrill_items::item::Key;
use shallotrill_items::item::Kind;
use shallotrill_items::route::Route;
use shallotrill_items::workspace::Digest;
use shallotrill_items::workspace::Workspace;
use shallotrill_model::class::Class;
use shallotrill_registry::propose;

struct Case {
    name: &'static str,
    path: &'static str,
    /// Header lines of the request besides the usual ones.
    headers: &'static str,
    status: u16,
    /// Workspace that the backend server is told.
    workspace: Option<&'static str>,
}

/// Guards against a request that runs without the key of a workspace or for another workspace, and against a key that
/// reaches a backend server.
const CASES: &[Case] = &[
    Case {
        name: "a key of a workspace",
        path: "/a/b",
        headers: "shallotrill-key: k1\r\n",
        status: 200,
        workspace: Some("one"),
    },
    Case {
        name: "another workspace, and a forged name",
        path: "/a/b",
        headers: "shallotrill-key: k2\r\nshallotrill-workspace: one\r\n",
        status: 200,
        workspace: Some("two"),
    },
    Case {
        name: "an unknown key",
        path: "/a/b",
        headers: "shallotrill-key: k3\r\n",
        status: 401,
        workspace: None,
    },
    Case {
        name: "no key, and a forged name",
        path: "/a/b",
        headers: "shallotrill-workspace: one\r\n",
        status: 401,
        workspace: None,
    },
    Case {
        name: "a public route with a forged name and a key",
        path: "/p/b",
        headers: "shallotrill-key: k1\r\nshallotrill-workspace: one\r\n",
        status: 200,
        workspace: None,
    },
    Case {
        name: "an unknown key on a path without a route",
        path: "/c",
        headers: "shallotrill-key: k3\r\n",
        status: 404,
        workspace: None,
    },
    Case {
        name: "a body that never ends, without a key",
        path: "/a/b",
        headers: "Content-Length: 1000\r\n",
        status: 401,
        workspace: None,
    },
];

fn workspace(name: &str, version: u64, keys: &[&str]) -> Item {
    let mut keys: Vec<Digest> = keys.iter().map(|k| Digest::of(k.as_bytes())).collect();
    keys.sort();
    Item {
        key: Key {
            kind: Kind::Workspace,
            name: name.into(),
        },
        version,
        content: Content::Workspace(Workspace {
            keys,
            priority: 0,
            allotment: None,
        }),
        document: "".into(),
    }
}

/// The public route `/p/` beside the route `/a/` of the fixture.
fn public_route() -> Item {
    let known = crate::items(Class::Idempotent).swap_remove(1);
    let Content::Route(route) = known.content else {
        panic!("a route is expected");
    };
    Item {
        key: Key {
            kind: Kind::Route,
            name: "p".into(),
        },
        version: 1,
        content: Content::Route(Route {
            prefix: "/p/".into(),
            public: true,
            ..route
        }),
        document: "".into(),
    }
}

/// Sends a request on a connection that stays open; returns its status.
async fn send(stream: &mut TcpStream, path: &str, headers: &str) -> u16 {
    let request = format!(
        "GET {path} HTTP/1.1\r\nHost: host\r\nshallotrill-request: one\r\nshallotrill-deadline-ms: 1500\r\n{headers}\r\n"
    );
    stream.write_all(request.as_bytes()).await.expect("sent");
    let mut response = vec![0; 4096];
    let read = time::timeout(WAIT_TIMEOUT, stream.read(&mut response));
    let length = read.await.expect("in time").expect("a response");
    let text = String::from_utf8_lossy(&response[..length]).into_owned();
    let status = text.split(' ').nth(1).and_then(|s| s.parse().ok());
    status.expect("a response status")
}

#[tokio::test]
async fn requests_need_the_key_of_a_workspace() {
    let log = Arc::new(RequestLog::default());
    let one = backend_server(COMPLETE, Arc::clone(&log)).await;
    let fixture = fixture(Class::Idempotent, &[one]).await;
    let change = [
        workspace("one", 1, &["k1"]),
        workspace("two", 1, &["k2"]),
        public_route(),
    ];
    let change = propose::change(&fixture.registry.state(), &change).await;
    change.expect("the change is accepted");
    let state = fixture.routers[0].state();
    let address = state.settings.caller_listen;
    wait_for(&|| {
        state.items().workspaces().len() == 2 && state.items().find("host", "/p/").is_some()
    })
    .await;
    for case in CASES {
        let before = log.received.load(Ordering::SeqCst);
        let mut stream = TcpStream::connect(address).await.expect("connected");
        let status = send(&mut stream, case.path, case.headers).await;
        assert_eq!(status, case.status, "{}", case.name);
        let ran = log.received.load(Ordering::SeqCst) - before;
        assert_eq!(ran, usize::from(case.status == 200), "{}", case.name);
        if ran > 0 {
            let head = log.head.lock().expect("no panic in another thread").clone();
            let told = header(&head, "shallotrill-workspace");
            assert_eq!(told, case.workspace, "{}: {head}", case.name);
            assert_eq!(header(&head, "shallotrill-key"), None, "{head}");
        }
    }
}

/// Guards against a key that stays valid on open connections after it was taken away.
#[tokio::test]
async fn a_key_that_is_taken_away_is_refused_on_open_connections() {
    let log = Arc::new(RequestLog::default());
    let one = backend_server(COMPLETE, Arc::clone(&log)).await;
    let fixture = fixture(Class::Idempotent, &[one]).await;
    let registry = fixture.registry.state();
    let change = [workspace("one", 1, &["k1", "k2"])];
    propose::change(&registry, &change).await.expect("accepted");
    let state = fixture.routers[0].state();
    wait_for(&|| state.items().requires_key()).await;
    let mut stream = TcpStream::connect(state.settings.caller_listen)
        .await
        .expect("connected");
    let key = "shallotrill-key: k1\r\n";
    assert_eq!(send(&mut stream, "/a/b", key).await, 200);
    let change = [workspace("one", 2, &["k2"])];
    propose::change(&registry, &change).await.expect("accepted");
    wait_for(&|| state.items().workspace_of(Digest::of(b"k1")).is_none()).await;
    assert_eq!(send(&mut stream, "/a/b", key).await, 401);
}

async fn wait_for(condition: &(dyn Fn() -> bool + Sync)) {
    let waiting = async {
        while !condition() {
            time::sleep(crate::POLL_INTERVAL).await;
        }
    };
    time::timeout(WAIT_TIMEOUT, waiting)
        .await
        .expect("the condition comes true");
}
