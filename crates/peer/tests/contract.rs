//! Connections between nodes, against listeners that fail.

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

/// Waits of the tests end on a condition; this only ends a hung run.
const LIMIT: Duration = Duration::from_secs(20);

/// Longest stop of a listener without requests. Pings find a silent node only after 25 s.
const STOP_LIMIT: Duration = Duration::from_secs(10);

/// What the handler of another node holds and sees.
struct Seen {
    hold: Semaphore,
    arrived: AtomicU64,
    dropped: AtomicU64,
}

/// Counts requests whose work was given up.
struct Guard(Arc<Seen>, bool);

impl Drop for Guard {
    fn drop(&mut self) {
        if !self.1 {
            self.0.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// A body that fails after its first bytes.
struct Broken(bool);

impl http_body::Body for Broken {
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
            Err(body::Error::Timeout(LIMIT))
        }))
    }
}

async fn answer(seen: Arc<Seen>, request: Request<Incoming>) -> Response<Body> {
    seen.arrived.fetch_add(1, Ordering::Relaxed);
    match request.uri().path() {
        "/hold" => {
            let mut guard = Guard(Arc::clone(&seen), false);
            drop(seen.hold.acquire().await);
            guard.1 = true;
            Response::new(body::full(Bytes::from_static(b"held")))
        }
        "/broken" => Response::new(Broken(false).boxed_unsync()),
        path => Response::new(body::full(Bytes::from(path.to_owned()))),
    }
}

struct Other {
    address: SocketAddr,
    seen: Arc<Seen>,
    stop: watch::Sender<bool>,
    stopped: JoinHandle<()>,
}

async fn start() -> Other {
    let any = "127.0.0.1:0".parse().expect("an address");
    let listener = Listener::bind(any).await.expect("a free port");
    let address = listener.address();
    let (stop, stopped) = watch::channel(false);
    let seen = Arc::new(Seen {
        hold: Semaphore::new(0),
        arrived: AtomicU64::new(0),
        dropped: AtomicU64::new(0),
    });
    let answering = Arc::clone(&seen);
    let handler: listener::Handler =
        Arc::new(move |request| Box::pin(answer(Arc::clone(&answering), request)));
    let stopped = tokio::spawn(listener::run(listener, 100, stopped, handler));
    Other {
        address,
        seen,
        stop,
        stopped,
    }
}

/// Sends a request and tells in words how it ended.
async fn ask(pool: &Pool, address: SocketAddr, path: &str, limit: Duration) -> String {
    let request = Request::builder()
        .uri(format!("http://s{path}"))
        .body(Full::new(Bytes::new()))
        .expect("a request");
    match pool.send(address, request, limit, Instant(0)).await {
        Ok(response) => match response.into_body().collect().await {
            Ok(body) => String::from_utf8_lossy(&body.to_bytes()).into_owned(),
            Err(_) => "cut".to_owned(),
        },
        Err(failure) => {
            let not_sent = failure.is_not_sent();
            let name = match failure {
                Failure::Connect { .. } => "connect",
                Failure::NotSent { .. } => "not sent",
                Failure::Lost { .. } => "lost",
                Failure::Timeout { .. } => "timeout",
            };
            format!("{name}, {}", if not_sent { "not run" } else { "unknown" })
        }
    }
}

async fn until(fits: impl Fn() -> bool) {
    let waiting = async {
        while !fits() {
            time::sleep(Duration::from_millis(1)).await;
        }
    };
    time::timeout(LIMIT, waiting).await.expect("a state");
}

/// What a listener of raw bytes does with a connection.
#[derive(Clone, Copy)]
enum Raw {
    /// Does not listen.
    Absent,
    /// Reads and never answers, pings included.
    Silent,
    /// Closes when this many bytes have come: the preface of HTTP/2 has 24, a request more.
    Close(usize),
}

struct Case {
    name: &'static str,
    raw: Raw,
    expected: &'static str,
}

/// Guards against a request taken for not run that may have run, and against one that waits for a dead connection.
const FAILURES: &[Case] = &[
    Case {
        name: "nobody listens",
        raw: Raw::Absent,
        expected: "connect, not run",
    },
    Case {
        name: "pings are not answered",
        raw: Raw::Silent,
        expected: "lost, unknown",
    },
    Case {
        name: "closed after the request",
        raw: Raw::Close(100),
        expected: "lost, unknown",
    },
];

#[tokio::test]
async fn failures() {
    for case in FAILURES {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let raw = case.raw;
        let serving = tokio::spawn(async move {
            let most = match raw {
                Raw::Absent => return,
                Raw::Silent => usize::MAX,
                Raw::Close(most) => most,
            };
            while let Ok((mut stream, _)) = listener.accept().await {
                let (mut read, mut buffer) = (0, [0; 1024]);
                while read < most {
                    match stream.read(&mut buffer).await {
                        Ok(0) | Err(_) => break,
                        Ok(count) => read += count,
                    }
                }
            }
        });
        if let Raw::Absent = raw {
            serving.await.expect("no panic");
        }
        let pool = Pool::new(Config::default());
        let ended = ask(&pool, address, "/", LIMIT).await;
        assert_eq!(ended, case.expected, "{}", case.name);
    }
}

/// Guards against a cut body taken for a whole one, and against the loss of the other streams of the connection.
#[tokio::test]
async fn reset_in_body() {
    let other = start().await;
    let pool = Arc::new(Pool::new(Config::default().connections(1)));
    let (held, address) = (Arc::clone(&pool), other.address);
    let held = tokio::spawn(async move { ask(&held, address, "/hold", LIMIT).await });
    until(|| other.seen.arrived.load(Ordering::Relaxed) == 1).await;
    // The reset may overtake the head of the answer; it is never taken for the end.
    let broken = ask(&pool, address, "/broken", LIMIT).await;
    assert!(
        ["cut", "lost, unknown"].contains(&broken.as_str()),
        "{broken}"
    );
    assert_eq!(ask(&pool, address, "/a", LIMIT).await, "/a");
    other.seen.hold.add_permits(1);
    assert_eq!(held.await.expect("no panic"), "held");
    assert_eq!(pool.counts().opened, 1);
}

/// Guards against answers that reach another request, and against streams beyond the other node's limit that fail.
#[tokio::test]
async fn many_streams() {
    let other = start().await;
    let pool = Arc::new(Pool::new(Config::default()));
    let mut asking = JoinSet::new();
    for number in 0..2_500 {
        let (pool, address) = (Arc::clone(&pool), other.address);
        asking.spawn(async move {
            let path = format!("/{number}");
            (ask(&pool, address, &path, LIMIT).await, path)
        });
    }
    while let Some(ended) = asking.join_next().await {
        let (answer, path) = ended.expect("no panic");
        assert_eq!(answer, path);
    }
    assert_eq!(pool.counts().opened, 2);
}

/// Guards against work that goes on at the other node after its caller went away.
#[tokio::test]
async fn cancellation() {
    let other = start().await;
    let pool = Arc::new(Pool::new(Config::default().connections(1)));
    let (held, address) = (Arc::clone(&pool), other.address);
    let held = tokio::spawn(async move { ask(&held, address, "/hold", LIMIT).await });
    until(|| other.seen.arrived.load(Ordering::Relaxed) == 1).await;
    held.abort();
    until(|| other.seen.dropped.load(Ordering::Relaxed) == 1).await;
    assert_eq!(ask(&pool, address, "/a", LIMIT).await, "/a");
    assert_eq!(pool.counts().opened, 1);
}

/// Guards against a planned stop that cuts requests in flight, and against later ones taken for run.
#[tokio::test]
async fn planned_stop() {
    let other = start().await;
    let pool = Arc::new(Pool::new(Config::default().connections(1)));
    let (held, address) = (Arc::clone(&pool), other.address);
    let held = tokio::spawn(async move { ask(&held, address, "/hold", LIMIT).await });
    until(|| other.seen.arrived.load(Ordering::Relaxed) == 1).await;
    other.stop.send_replace(true);
    let refused = async {
        loop {
            let ended = ask(&pool, address, "/a", LIMIT).await;
            if ended != "/a" {
                return ended;
            }
        }
    };
    let refused = time::timeout(LIMIT, refused).await.expect("a refusal");
    assert!(refused.ends_with("not run"), "{refused}");
    other.seen.hold.add_permits(1);
    assert_eq!(held.await.expect("no panic"), "held");
}

/// Guards against a stop that waits for a node that says nothing more, such as one without power.
#[tokio::test]
async fn a_silent_node_does_not_hold_up_a_stop() {
    let other = start().await;
    let mut silent = TcpStream::connect(other.address).await.expect("connected");
    // The beginning of a connection with empty settings; nothing is answered afterwards.
    silent
        .write_all(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\x00\x04\x00\x00\x00\x00\x00")
        .await
        .expect("sent");
    let mut first = [0];
    silent.read_exact(&mut first).await.expect("settings");
    other.stop.send_replace(true);
    let stopped = time::timeout(STOP_LIMIT, other.stopped).await;
    stopped.expect("it ends in time").expect("no panic");
}
