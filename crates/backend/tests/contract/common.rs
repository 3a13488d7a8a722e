//! Test helpers: a backend server that sends raw bytes, and a pool connected to it.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time;

use shallotrill_backend::config::Config;
use shallotrill_backend::failure::Failure;
use shallotrill_backend::pool::Counts;
use shallotrill_backend::pool::OnSilence;
use shallotrill_backend::pool::Pool;

/// Timeout of a hung test; waits otherwise end when their condition holds.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Size of one write of [`FollowUp::Flood`].
const FLOOD_BLOCK_BYTES: usize = 64 * 1024;

pub const ID: &str = "0000000000000000000000000000000a";

/// Action of the server on its first connection after it has sent the scripted response.
#[derive(Clone, Copy, Debug)]
pub enum FollowUp {
    /// Serves further requests.
    Serve,
    Close,
    Reset,
    /// Reads until the client closes, then counts that.
    Hold,
    /// Sends these bytes after a pause, with no request outstanding.
    SendUnsolicited(&'static str),
    /// Sends these bytes again and again until the client closes, then counts that.
    Flood(&'static str),
    /// Sends one byte at a time with this pause until the client closes, then counts that.
    Trickle(Duration),
}

/// Counters of the server.
#[derive(Debug, Default)]
pub struct Observed {
    pub connections: usize,
    pub requests: usize,
    pub closed: usize,
}

pub struct Server {
    pub pool: Arc<Pool>,
    pub observed: Arc<Mutex<Observed>>,
}

/// Starts a server that sends `first` for the first request of its first connection and `next` for all others.
pub async fn start(
    config: Config,
    connections_max: usize,
    first: &'static str,
    follow_up: FollowUp,
) -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let observed = Arc::new(Mutex::new(Observed::default()));
    let recorded = Arc::clone(&observed);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let number = {
                let mut observed = recorded.lock().expect("no panic");
                observed.connections += 1;
                observed.connections
            };
            let script = (number == 1).then_some((first, follow_up));
            tokio::spawn(serve(stream, script, Arc::clone(&recorded)));
        }
    });
    let pool = Arc::new(Pool::new(config));
    pool.connect_to(address, true, connections_max);
    Server { pool, observed }
}

async fn serve(
    mut stream: TcpStream,
    script: Option<(&'static str, FollowUp)>,
    observed: Arc<Mutex<Observed>>,
) {
    if let Some((first, follow_up)) = script {
        if !read_head(&mut stream).await {
            return;
        }
        observed.lock().expect("no panic").requests += 1;
        stream.write_all(first.as_bytes()).await.expect("written");
        match follow_up {
            FollowUp::Serve => {}
            FollowUp::Close => return,
            FollowUp::Reset => {
                // Unread data or a linger of zero make the kernel reset the connection.
                time::sleep(Duration::from_millis(20)).await;
                let linger = Some(Duration::ZERO);
                SockRef::from(&stream).set_linger(linger).expect("set");
                return;
            }
            FollowUp::Hold => {
                while read_head(&mut stream).await {}
                observed.lock().expect("no panic").closed += 1;
                return;
            }
            FollowUp::Flood(bytes) => {
                let block = bytes.repeat(FLOOD_BLOCK_BYTES / bytes.len());
                while stream.write_all(block.as_bytes()).await.is_ok() {}
                observed.lock().expect("no panic").closed += 1;
                return;
            }
            FollowUp::Trickle(pause) => {
                while stream.write_all(b"a").await.is_ok() {
                    time::sleep(pause).await;
                }
                observed.lock().expect("no panic").closed += 1;
                return;
            }
            FollowUp::SendUnsolicited(bytes) => {
                time::sleep(Duration::from_millis(20)).await;
                let _ = stream.write_all(bytes.as_bytes()).await;
            }
        }
    }
    while read_head(&mut stream).await {
        observed.lock().expect("no panic").requests += 1;
        let next = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nnext";
        if stream.write_all(next).await.is_err() {
            return;
        }
    }
}

/// Reads one request head; false when the connection ends. Requests of the tests have no body.
async fn read_head(stream: &mut TcpStream) -> bool {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte).await {
            Ok(1) => head.push(byte[0]),
            _ => return false,
        }
    }
    true
}

impl Server {
    /// Sends a request and describes its outcome as text.
    pub async fn send(&self, method: Method, timeout: Duration, on_silence: OnSilence) -> String {
        send(&self.pool, method, timeout, on_silence).await
    }

    /// Waits until `matches` returns true for the counters of the pool.
    pub async fn wait_for_counts(&self, matches: impl Fn(Counts) -> bool) -> Counts {
        let waiting = async {
            while !matches(self.pool.counts()) {
                time::sleep(Duration::from_millis(1)).await;
            }
        };
        let reached = time::timeout(TEST_TIMEOUT, waiting).await;
        let counts = self.pool.counts();
        assert!(
            reached.is_ok(),
            "the expected counters were not reached: {counts:?}"
        );
        counts
    }
}

pub async fn send(
    pool: &Arc<Pool>,
    method: Method,
    timeout: Duration,
    on_silence: OnSilence,
) -> String {
    send_if(pool, method, timeout, on_silence, true).await
}

pub async fn send_if(
    pool: &Arc<Pool>,
    method: Method,
    timeout: Duration,
    on_silence: OnSilence,
    may_send: bool,
) -> String {
    let request = Request::builder()
        .method(method)
        .uri("/")
        .header("host", "s")
        .header("shallotrill-request", ID)
        .body(Full::new(Bytes::new()))
        .expect("a request");
    let allowed = move || may_send;
    let sending = pool.dispatch_if(request, timeout, on_silence, &allowed);
    let head = match sending.await {
        Ok(head) => head,
        Err(failure) => return failure_name(&failure).to_owned(),
    };
    let response = head.into_response(Box::new(|_| {}));
    let status = response.status().as_u16();
    match response.into_body().collect().await {
        Ok(body) => format!("{status} {}", String::from_utf8_lossy(&body.to_bytes())),
        Err(_) => format!("{status} truncated"),
    }
}

fn failure_name(failure: &Failure) -> &'static str {
    match failure {
        Failure::Absent => "absent",
        Failure::Exhausted { .. } => "exhausted",
        Failure::Connect(_) => "connect",
        Failure::NotSent => "not sent",
        Failure::PermissionExpired => "withdrawn",
        Failure::Lost(_) => "lost",
        Failure::Timeout(_) => "timeout",
        Failure::Unframed => "unframed",
        Failure::MismatchedResponse => "crossed",
        Failure::ProtocolSwitched => "switched",
        Failure::InvalidStatus(_) => "invalid",
        Failure::Silent(_) => "silent",
    }
}
