//! Large responses on a connection between nodes.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
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
use tokio::sync::watch;
use tokio::time;

use shallotrill_model::time::Instant;
use shallotrill_peer::listener;
use shallotrill_peer::pool::Config;
use shallotrill_peer::pool::Pool;
use shallotrill_wire::body;
use shallotrill_wire::listen::Listener;

/// Timeout of a response that must arrive.
const TEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval after which a number of bytes that has not changed counts as final. The test would accept too many bytes
/// after a shorter one, and never refuse a correct number.
const STABLE_INTERVAL: Duration = Duration::from_millis(200);

/// Large responses whose readers have stopped.
const STALLED: usize = 50;

/// Bytes of one frame of the large body.
const BLOCK_BYTES: usize = 16 * 1024;

/// Bytes of a stalled response that both nodes and the sockets between them hold, at most.
const STALLED_BYTES_MAX: usize = 192 * 1024;

/// A body without end that counts the bytes that were taken from it.
struct Endless(Arc<AtomicUsize>);

impl http_body::Body for Endless {
    type Data = Bytes;
    type Error = body::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, body::Error>>> {
        self.0.fetch_add(BLOCK_BYTES, Ordering::SeqCst);
        let block = Bytes::from_static(&[b'x'; BLOCK_BYTES]);
        Poll::Ready(Some(Ok(Frame::data(block))))
    }
}

/// Starts a node that responds to `/large` without end and counts the bytes of these responses.
async fn start() -> (SocketAddr, Arc<AtomicUsize>, watch::Sender<bool>) {
    let any = "127.0.0.1:0".parse().expect("an address");
    let listener = Listener::bind(any).await.expect("a free port");
    let address = listener.address();
    let (stop, stopped) = watch::channel(false);
    let taken = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&taken);
    let handler: listener::Handler = Arc::new(move |request: Request<Incoming>| {
        let counter = Arc::clone(&counter);
        Box::pin(async move {
            Response::new(match request.uri().path() {
                "/large" => Endless(counter).boxed_unsync(),
                path => body::full(Bytes::from(path.to_owned())),
            })
        })
    });
    tokio::spawn(listener::run(listener, 100, stopped, handler));
    (address, taken, stop)
}

async fn send(pool: &Pool, address: SocketAddr, path: &str) -> Response<Incoming> {
    let request = Request::builder()
        .uri(format!("http://s{path}"))
        .body(Full::new(Bytes::new()))
        .expect("a request");
    pool.send(address, request, TEST_TIMEOUT, Instant(0))
        .await
        .expect("a response")
}

async fn final_count(counter: &AtomicUsize) -> usize {
    loop {
        let before = counter.load(Ordering::SeqCst);
        time::sleep(STABLE_INTERVAL).await;
        if counter.load(Ordering::SeqCst) == before {
            return before;
        }
    }
}

/// Guards against readers that stop and with that block the other responses on their connection, and against large
/// responses that fill the memory of the two nodes.
#[tokio::test]
async fn stalled_readers_block_only_their_own_responses() {
    let (address, taken, _stop) = start().await;
    let pool = Pool::new(Config::default().connections(1));
    let mut stalled = Vec::new();
    for _ in 0..STALLED {
        stalled.push(send(&pool, address, "/large").await);
    }
    let held = final_count(&taken).await / STALLED;
    let small = send(&pool, address, "/small").await.into_body().collect();
    let small = time::timeout(TEST_TIMEOUT, small).await;
    let small = small.expect("the small response arrives");
    assert_eq!(small.expect("complete").to_bytes(), "/small");
    assert!(held <= STALLED_BYTES_MAX, "{held} bytes of each response");
    drop(stalled);
}
