//! Tests of connections between nodes with listeners that fail.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body::Frame;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;
use tokio::time;

use shallotrill_model::time::Instant;
use shallotrill_peer::failure::Failure;
use shallotrill_peer::listener;
use shallotrill_peer::pool::Config;
use shallotrill_peer::pool::Pool;
use shallotrill_wire::body;
use shallotrill_wire::body::Body;
use shallotrill_wire::listen::Listener;

/// Timeout of a hung test; waits otherwise end when their condition holds.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Maximum duration of the stop of a listener without requests. Pings detect an unresponsive node only after 25 s.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);

/// State of the handler of another node: a gate for held requests, and counters.
struct HandlerState {
    gate: Semaphore,
    arrived: AtomicU64,
    dropped: AtomicU64,
}

/// Counts handlers that were dropped before they finished.
struct DropCounter(Arc<HandlerState>, bool);

impl Drop for DropCounter {
    fn drop(&mut self) {
        if !self.1 {
            self.0.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// A body that fails after its first bytes.
struct FailingBody(bool);

impl http_body::Body for FailingBody {
    type Data = Bytes;
    type Error = body::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, body::Error>>> {
        let first = !std::mem::replace(&mut self.0, true);
        Poll::Ready(Some(if first {
            Ok(Frame::data(Bytes::from_static(b"half")))
        } else {
            Err(body::Error::Timeout(TEST_TIMEOUT))
        }))
    }
}

async fn handle(state: Arc<HandlerState>, request: Request<Incoming>) -> Response<Body> {
    state.arrived.fetch_add(1, Ordering::Relaxed);
    match request.uri().path() {
        "/hold" => {
            let mut guard = DropCounter(Arc::clone(&state), false);
            drop(state.gate.acquire().await);
            guard.1 = true;
            Response::new(body::full(Bytes::from_static(b"held")))
        }
        "/broken" => Response::new(FailingBody(false).boxed_unsync()),
        path => Response::new(body::full(Bytes::from(path.to_owned()))),
    }
}

struct OtherNode {
    address: SocketAddr,
    state: Arc<HandlerState>,
    stop: watch::Sender<bool>,
    stopped: JoinHandle<()>,
}

async fn start() -> OtherNode {
    let any = "127.0.0.1:0".parse().expect("an address");
    let listener = Listener::bind(any).await.expect("a free port");
    let address = listener.address();
    let (stop, stopped) = watch::channel(false);
    let state = Arc::new(HandlerState {
        gate: Semaphore::new(0),
        arrived: AtomicU64::new(0),
        dropped: AtomicU64::new(0),
    });
    let handler_state = Arc::clone(&state);
    let handler: listener::Handler =
        Arc::new(move |request| Box::pin(handle(Arc::clone(&handler_state), request)));
    let stopped = tokio::spawn(listener::run(listener, 100, stopped, handler));
    OtherNode {
        address,
        state,
        stop,
        stopped,
    }
}

/// Sends a request and describes its outcome as text.
async fn send(pool: &Pool, address: SocketAddr, path: &str, timeout: Duration) -> String {
    let request = Request::builder()
        .uri(format!("http://s{path}"))
        .body(Full::new(Bytes::new()))
        .expect("a request");
    match pool.send(address, request, timeout, Instant(0)).await {
        Ok(response) => match response.into_body().collect().await {
            Ok(body) => String::from_utf8_lossy(&body.to_bytes()).into_owned(),
            Err(_) => "truncated".to_owned(),
        },
        Err(failure) => {
            let not_sent = failure.is_not_sent();
            let name = match failure {
                Failure::Connect { .. } => "connect",
                Failure::NotSent { .. } => "not sent",
                Failure::Lost { .. } => "lost",
                Failure::InvalidStatus { .. } => "invalid",
                Failure::Timeout { .. } => "timeout",
            };
            format!("{name}, {}", if not_sent { "not run" } else { "unknown" })
        }
    }
}

async fn wait_until(condition: impl Fn() -> bool) {
    let waiting = async {
        while !condition() {
            time::sleep(Duration::from_millis(1)).await;
        }
    };
    time::timeout(TEST_TIMEOUT, waiting)
        .await
        .expect("the condition must become true");
}

/// Behaviour of a raw TCP listener.
#[derive(Clone, Copy)]
enum RawListener {
    /// Does not listen.
    Absent,
    /// Reads but sends nothing, not even responses to pings.
    Silent,
    /// Closes after this number of bytes. The preface of HTTP/2 has 24 bytes; a request needs more.
    Close(usize),
}

struct Case {
    name: &'static str,
    listener: RawListener,
    expected: &'static str,
}

/// Guards against a request that is reported as not run but may have run, and against one that waits for an
/// unresponsive connection.
const FAILURES: &[Case] = &[
    Case {
        name: "connection refused",
        listener: RawListener::Absent,
        expected: "connect, not run",
    },
    Case {
        name: "pings are not answered",
        listener: RawListener::Silent,
        expected: "lost, unknown",
    },
    Case {
        name: "closed after the request",
        listener: RawListener::Close(100),
        expected: "lost, unknown",
    },
];

#[tokio::test]
async fn failures() {
    for case in FAILURES {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let behaviour = case.listener;
        let serving = tokio::spawn(async move {
            let bytes_max = match behaviour {
                RawListener::Absent => return,
                RawListener::Silent => usize::MAX,
                RawListener::Close(bytes_max) => bytes_max,
            };
            while let Ok((mut stream, _)) = listener.accept().await {
                let (mut read, mut buffer) = (0, [0; 1024]);
                while read < bytes_max {
                    match stream.read(&mut buffer).await {
                        Ok(0) | Err(_) => break,
                        Ok(count) => read += count,
                    }
                }
            }
        });
        if let RawListener::Absent = behaviour {
            serving.await.expect("no panic");
        }
        let pool = Pool::new(Config::default());
        let ended = send(&pool, address, "/", TEST_TIMEOUT).await;
        assert_eq!(ended, case.expected, "{}", case.name);
    }
}

/// Guards against a truncated body that is accepted as complete, and against the loss of other streams of the connection.
#[tokio::test]
async fn reset_in_body() {
    let other = start().await;
    let pool = Arc::new(Pool::new(Config::default().connections(1)));
    let (held, address) = (Arc::clone(&pool), other.address);
    let held = tokio::spawn(async move { send(&held, address, "/hold", TEST_TIMEOUT).await });
    wait_until(|| other.state.arrived.load(Ordering::Relaxed) == 1).await;
    // The reset may overtake the head of the response, but must not be treated as the end of the body.
    let broken = send(&pool, address, "/broken", TEST_TIMEOUT).await;
    assert!(
        ["truncated", "lost, unknown"].contains(&broken.as_str()),
        "{broken}"
    );
    assert_eq!(send(&pool, address, "/a", TEST_TIMEOUT).await, "/a");
    other.state.gate.add_permits(1);
    assert_eq!(held.await.expect("no panic"), "held");
    assert_eq!(pool.counts().opened, 1);
}

/// Guards against responses that are delivered to another request, and against failures of streams beyond the limit of
/// the other node.
#[tokio::test]
async fn many_streams() {
    let other = start().await;
    let pool = Arc::new(Pool::new(Config::default()));
    let mut sending = JoinSet::new();
    for number in 0..2_500 {
        let (pool, address) = (Arc::clone(&pool), other.address);
        sending.spawn(async move {
            let path = format!("/{number}");
            (send(&pool, address, &path, TEST_TIMEOUT).await, path)
        });
    }
    while let Some(ended) = sending.join_next().await {
        let (outcome, path) = ended.expect("no panic");
        assert_eq!(outcome, path);
    }
    assert_eq!(pool.counts().opened, 2);
}

/// Guards against a request that continues to run at the other node after its sender has cancelled it.
#[tokio::test]
async fn cancellation() {
    let other = start().await;
    let pool = Arc::new(Pool::new(Config::default().connections(1)));
    let (held, address) = (Arc::clone(&pool), other.address);
    let held = tokio::spawn(async move { send(&held, address, "/hold", TEST_TIMEOUT).await });
    wait_until(|| other.state.arrived.load(Ordering::Relaxed) == 1).await;
    held.abort();
    wait_until(|| other.state.dropped.load(Ordering::Relaxed) == 1).await;
    assert_eq!(send(&pool, address, "/a", TEST_TIMEOUT).await, "/a");
    assert_eq!(pool.counts().opened, 1);
}

/// Guards against a graceful stop that aborts requests in flight, and against later requests that are not reported as
/// not run.
#[tokio::test]
async fn graceful_stop() {
    let other = start().await;
    let pool = Arc::new(Pool::new(Config::default().connections(1)));
    let (held, address) = (Arc::clone(&pool), other.address);
    let held = tokio::spawn(async move { send(&held, address, "/hold", TEST_TIMEOUT).await });
    wait_until(|| other.state.arrived.load(Ordering::Relaxed) == 1).await;
    other.stop.send_replace(true);
    let refused = async {
        loop {
            let ended = send(&pool, address, "/a", TEST_TIMEOUT).await;
            if ended != "/a" {
                return ended;
            }
        }
    };
    let refused = time::timeout(TEST_TIMEOUT, refused)
        .await
        .expect("a later request must be refused");
    assert!(refused.ends_with("not run"), "{refused}");
    other.state.gate.add_permits(1);
    assert_eq!(held.await.expect("no panic"), "held");
}

/// Guards against a stop that waits for an unresponsive node, such as one without power.
#[tokio::test]
async fn an_unresponsive_node_does_not_delay_a_stop() {
    let other = start().await;
    let mut silent = TcpStream::connect(other.address).await.expect("connected");
    // Connection preface with empty settings; nothing is sent afterwards.
    silent
        .write_all(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\x00\x04\x00\x00\x00\x00\x00")
        .await
        .expect("sent");
    let mut first = [0];
    silent.read_exact(&mut first).await.expect("settings");
    other.stop.send_replace(true);
    let stopped = time::timeout(STOP_TIMEOUT, other.stopped).await;
    stopped
        .expect("the listener must stop in time")
        .expect("no panic");
}
