//! A backend server of raw bytes, and a pool connected to it.

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

/// Waits of the tests end on a condition; this only ends a hung run.
pub const LIMIT: Duration = Duration::from_secs(20);

pub const ID: &str = "0000000000000000000000000000000a";

/// What the server does on its first connection after the first request arrived.
#[derive(Clone, Copy, Debug)]
pub enum Then {
    /// Goes on with further requests.
    Serve,
    Close,
    Reset,
    /// Reads until the client closes, then notes that.
    Hold,
    /// Sends these bytes after a pause, with no request outstanding.
    Extra(&'static str),
}

/// What the server saw.
#[derive(Debug, Default)]
pub struct Seen {
    pub connections: usize,
    pub requests: usize,
    pub closed: usize,
}

pub struct Server {
    pub pool: Arc<Pool>,
    pub seen: Arc<Mutex<Seen>>,
}

/// Starts a server whose first connection answers its first request with `first`; all else is answered `next`.
pub async fn start(config: Config, limit: usize, first: &'static str, then: Then) -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let seen = Arc::new(Mutex::new(Seen::default()));
    let noted = Arc::clone(&seen);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let number = {
                let mut seen = noted.lock().expect("no panic");
                seen.connections += 1;
                seen.connections
            };
            let script = (number == 1).then_some((first, then));
            tokio::spawn(serve(stream, script, Arc::clone(&noted)));
        }
    });
    let pool = Arc::new(Pool::new(config));
    pool.connect_to(address, true, limit);
    Server { pool, seen }
}

async fn serve(
    mut stream: TcpStream,
    script: Option<(&'static str, Then)>,
    seen: Arc<Mutex<Seen>>,
) {
    if let Some((first, then)) = script {
        if !read(&mut stream).await {
            return;
        }
        seen.lock().expect("no panic").requests += 1;
        stream.write_all(first.as_bytes()).await.expect("written");
        match then {
            Then::Serve => {}
            Then::Close => return,
            Then::Reset => {
                // Unread data or a linger of zero make the kernel reset the connection.
                time::sleep(Duration::from_millis(20)).await;
                let linger = Some(Duration::ZERO);
                SockRef::from(&stream).set_linger(linger).expect("set");
                return;
            }
            Then::Hold => {
                while read(&mut stream).await {}
                seen.lock().expect("no panic").closed += 1;
                return;
            }
            Then::Extra(bytes) => {
                time::sleep(Duration::from_millis(20)).await;
                let _ = stream.write_all(bytes.as_bytes()).await;
            }
        }
    }
    while read(&mut stream).await {
        seen.lock().expect("no panic").requests += 1;
        let next = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nnext";
        if stream.write_all(next).await.is_err() {
            return;
        }
    }
}

/// Reads one head; requests of the tests have no body.
async fn read(stream: &mut TcpStream) -> bool {
    let mut read = Vec::new();
    let mut byte = [0];
    while !read.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte).await {
            Ok(1) => read.push(byte[0]),
            _ => return false,
        }
    }
    true
}

impl Server {
    /// Sends a request and tells in words how it ended.
    pub async fn ask(&self, method: Method, limit: Duration, on_silence: OnSilence) -> String {
        ask(&self.pool, method, limit, on_silence).await
    }

    /// Waits until the counters fit.
    pub async fn settle(&self, fits: impl Fn(Counts) -> bool) -> Counts {
        let waiting = async {
            while !fits(self.pool.counts()) {
                time::sleep(Duration::from_millis(1)).await;
            }
        };
        let settled = time::timeout(LIMIT, waiting).await;
        let counts = self.pool.counts();
        assert!(settled.is_ok(), "{counts:?}");
        counts
    }
}

pub async fn ask(
    pool: &Arc<Pool>,
    method: Method,
    limit: Duration,
    on_silence: OnSilence,
) -> String {
    ask_if(pool, method, limit, on_silence, true).await
}

pub async fn ask_if(
    pool: &Arc<Pool>,
    method: Method,
    limit: Duration,
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
    let sending = pool.dispatch_if(request, limit, on_silence, &allowed);
    let head = match sending.await {
        Ok(head) => head,
        Err(failure) => return name(&failure).to_owned(),
    };
    let answer = head.answer(Box::new(|_| {}));
    let status = answer.status().as_u16();
    match answer.into_body().collect().await {
        Ok(body) => format!("{status} {}", String::from_utf8_lossy(&body.to_bytes())),
        Err(_) => format!("{status} cut"),
    }
}

fn name(failure: &Failure) -> &'static str {
    match failure {
        Failure::Absent => "absent",
        Failure::Exhausted { .. } => "exhausted",
        Failure::Connect(_) => "connect",
        Failure::NotSent => "not sent",
        Failure::Withdrawn => "withdrawn",
        Failure::Lost(_) => "lost",
        Failure::Timeout(_) => "timeout",
        Failure::Unframed => "unframed",
        Failure::Crossed => "crossed",
        Failure::Switched => "switched",
        Failure::Silent(_) => "silent",
    }
}
