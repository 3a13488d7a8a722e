//! Requests that a caller sends before earlier ones on the same connection are answered.

use std::convert::Infallible;
use std::future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
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
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::io::AsyncWriteExt;
use tokio::io::ReadBuf;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use tokio::time;

use shallotrill_caller::ahead::Arrival;
use shallotrill_caller::ahead::READ_AHEAD_BYTES_MAX;
use shallotrill_caller::head::HeadScanner;
use shallotrill_caller::head::ScannedStream;
use shallotrill_caller::listener;
use shallotrill_wire::body;
use shallotrill_wire::body::Body;
use shallotrill_wire::listen::Listener;

/// Timeout of a hung test; waits otherwise end when their condition holds.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Length of the response to `/long`.
const LONG_BYTES: usize = 4 * 1024 * 1024;

/// Bytes that one connection may hold for requests whose turn has not come: one read of hyper and the read-ahead.
const HELD_BYTES_MAX: usize = 8 * 1024 + READ_AHEAD_BYTES_MAX;

/// What the handler observes.
#[derive(Default)]
struct Log {
    /// Paths of the requests, in the order in which they started.
    started: Mutex<Vec<String>>,
    running: AtomicUsize,
    running_max: AtomicUsize,
}

impl Log {
    fn started(&self) -> Vec<String> {
        self.started.lock().expect("no panic").clone()
    }

    async fn wait_for(&self, path: &str) {
        let waiting = async {
            while !self.started().iter().any(|started| started == path) {
                time::sleep(Duration::from_millis(1)).await;
            }
        };
        let started = time::timeout(TEST_TIMEOUT, waiting).await;
        assert!(started.is_ok(), "{path} does not start");
    }
}

/// A body that fails after its first bytes have been sent.
struct FailingBody {
    polls: usize,
}

impl http_body::Body for FailingBody {
    type Data = Bytes;
    type Error = body::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, body::Error>>> {
        self.polls += 1;
        match self.polls {
            1 => Poll::Ready(Some(Ok(Frame::data(Bytes::from_static(b"half"))))),
            2 => {
                cx.waker().wake_by_ref();
                Poll::Pending
            }
            _ => Poll::Ready(Some(Err(body::Error::Timeout(TEST_TIMEOUT)))),
        }
    }
}

struct Fixture {
    address: SocketAddr,
    log: Arc<Log>,
    gate: Arc<Semaphore>,
    stop: watch::Sender<bool>,
}

async fn handle(request: Request<Incoming>, log: Arc<Log>, gate: Arc<Semaphore>) -> Response<Body> {
    let path = request.uri().path().to_owned();
    log.started.lock().expect("no panic").push(path.clone());
    let running = log.running.fetch_add(1, Ordering::SeqCst) + 1;
    log.running_max.fetch_max(running, Ordering::SeqCst);
    drop(request.into_body().collect().await);
    let body = match path.as_str() {
        "/hold" => {
            drop(gate.acquire().await);
            body::full(Bytes::from(path))
        }
        "/cut" => FailingBody { polls: 0 }.boxed_unsync(),
        "/long" => body::full(Bytes::from("x".repeat(LONG_BYTES))),
        _ => {
            // Later requests would overtake earlier ones if several of them ran at once.
            let number = path.trim_start_matches('/').parse::<u64>().unwrap_or(0);
            time::sleep(Duration::from_millis(10_u64.saturating_sub(number))).await;
            body::full(Bytes::from(path))
        }
    };
    log.running.fetch_sub(1, Ordering::SeqCst);
    Response::new(body)
}

async fn start() -> Fixture {
    let any = "127.0.0.1:0".parse().expect("an address");
    let listener = Listener::bind(any).await.expect("a free port");
    let address = listener.address();
    let (stop, stopped) = watch::channel(false);
    let log = Arc::new(Log::default());
    let gate = Arc::new(Semaphore::new(0));
    let (handler_log, handler_gate) = (Arc::clone(&log), Arc::clone(&gate));
    let handler: listener::Handler = Arc::new(move |request| {
        let (log, gate) = (Arc::clone(&handler_log), Arc::clone(&handler_gate));
        Box::pin(handle(request, log, gate))
    });
    tokio::spawn(listener::run(
        listener,
        listener::Config::default(),
        stopped,
        handler,
    ));
    Fixture {
        address,
        log,
        gate,
        stop,
    }
}

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: s\r\n\r\n")
}

async fn read_to_end(stream: &mut TcpStream) -> Vec<u8> {
    let mut read = Vec::new();
    let reading = async {
        let mut buffer = vec![0; 64 * 1024];
        while let Ok(count @ 1..) = stream.read(&mut buffer).await {
            read.extend_from_slice(&buffer[..count]);
        }
    };
    let ended = time::timeout(TEST_TIMEOUT, reading).await;
    assert!(ended.is_ok(), "the connection stays open");
    read
}

/// Guards against responses that are swapped, mixed or returned in another order than that of the requests, and
/// against a request that starts although the response before it may still close the connection.
#[tokio::test]
async fn responses_are_whole_and_in_order() {
    let fixture = start().await;
    let mut stream = TcpStream::connect(fixture.address)
        .await
        .expect("connected");
    let mut sent: String = (0..10).map(|number| get(&format!("/{number}"))).collect();
    sent.push_str("GET /10 HTTP/1.1\r\nHost: s\r\nConnection: close\r\n\r\n");
    stream.write_all(sent.as_bytes()).await.expect("sent");
    let read = String::from_utf8(read_to_end(&mut stream).await).expect("text");
    let responses: Vec<&str> = read.split("HTTP/1.1 200 OK\r\n").skip(1).collect();
    assert_eq!(responses.len(), 11, "{read}");
    for (number, response) in responses.iter().enumerate() {
        let end = format!("\r\n\r\n/{number}");
        assert!(response.ends_with(&end), "{number}: {response}");
    }
    assert_eq!(fixture.log.running_max.load(Ordering::SeqCst), 1);
}

struct CloseCase {
    name: &'static str,
    first: &'static str,
    /// End of what the caller receives.
    end: &'static str,
}

/// Guards against a request that runs although the response before it closed the connection: its sender takes it for
/// not read and sends it again.
const CLOSES: &[CloseCase] = &[
    CloseCase {
        name: "the response ends early",
        first: "GET /cut HTTP/1.1\r\nHost: s\r\n\r\n",
        end: "half\r\n",
    },
    CloseCase {
        name: "the request closes the connection",
        first: "GET /1 HTTP/1.1\r\nHost: s\r\nConnection: close\r\n\r\n",
        end: "/1",
    },
    CloseCase {
        name: "the request has a chunked body",
        first: "POST /1 HTTP/1.1\r\nHost: s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        end: "/1",
    },
];

#[tokio::test]
async fn nothing_runs_after_a_close() {
    for case in CLOSES {
        let fixture = start().await;
        let mut stream = TcpStream::connect(fixture.address)
            .await
            .expect("connected");
        let sent = format!("{}{}", case.first, get("/behind").repeat(3));
        stream.write_all(sent.as_bytes()).await.expect("sent");
        let read = read_to_end(&mut stream).await;
        let read = String::from_utf8_lossy(&read);
        assert!(read.ends_with(case.end), "{}: {read}", case.name);
        assert_eq!(fixture.log.started().len(), 1, "{}", case.name);
    }
}

/// Guards against a request behind others that runs after its router has begun to close the connection.
#[tokio::test]
async fn nothing_runs_behind_the_last_request_of_a_stopping_listener() {
    let fixture = start().await;
    let mut stream = TcpStream::connect(fixture.address)
        .await
        .expect("connected");
    let sent = format!("{}{}", get("/hold"), get("/behind").repeat(3));
    stream.write_all(sent.as_bytes()).await.expect("sent");
    fixture.log.wait_for("/hold").await;
    fixture.stop.send_replace(true);
    // The listener does not accept any more when it has noticed the stop, and its connections notice it no later.
    let refused = async {
        while TcpStream::connect(fixture.address).await.is_ok() {
            time::sleep(Duration::from_millis(1)).await;
        }
    };
    let refused = time::timeout(TEST_TIMEOUT, refused).await;
    assert!(refused.is_ok(), "the listener still accepts");
    fixture.gate.add_permits(1);
    let read = String::from_utf8(read_to_end(&mut stream).await).expect("text");
    assert!(read.ends_with("\r\n\r\n/hold"), "{read}");
    assert_eq!(fixture.log.started(), ["/hold"]);
}

/// Guards against a response whose end is lost because the kernel resets a connection that is closed with unread bytes.
#[tokio::test]
async fn the_last_response_is_whole_although_requests_behind_it_are_not_read() {
    let fixture = start().await;
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(16 * 1024).expect("set");
    let stream = socket.connect(fixture.address).await.expect("connected");
    let (mut reader, mut writer) = stream.into_split();
    let first = "GET /long HTTP/1.1\r\nHost: s\r\nConnection: close\r\n\r\n";
    let sent = format!("{first}{}", get("/behind").repeat(10_000));
    let writing = tokio::spawn(async move {
        // The listener does not read everything.
        let _ = writer.write_all(sent.as_bytes()).await;
        writer
    });
    fixture.log.wait_for("/long").await;
    let mut read = 0;
    let mut buffer = vec![0; 64 * 1024];
    while let Ok(count @ 1..) = reader.read(&mut buffer).await {
        read += count;
        time::sleep(Duration::from_millis(2)).await;
    }
    assert!(read > LONG_BYTES, "{read} bytes of {LONG_BYTES}");
    drop(writing.await.expect("no panic"));
    assert_eq!(fixture.log.started(), ["/long"]);
}

/// A stream with requests without end, which counts the bytes that are read from it.
struct Endless(Arc<AtomicUsize>);

impl AsyncRead for Endless {
    fn poll_read(
        self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let request = get("/1");
        while buffer.remaining() >= request.len() {
            buffer.put_slice(request.as_bytes());
            self.0.fetch_add(request.len(), Ordering::SeqCst);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Endless {
    fn poll_write(
        self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Poll::Ready(Ok(bytes.len()))
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

/// Guards against requests without end behind a slow one that fill the memory.
#[tokio::test]
async fn the_bytes_read_ahead_are_bounded() {
    let read = Arc::new(AtomicUsize::new(0));
    let stream = ScannedStream::new(Endless(Arc::clone(&read)), HeadScanner::default());
    let service = service_fn(|_| future::pending::<Result<Response<Body>, Infallible>>());
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let mut polls = 0;
    future::poll_fn(|cx| {
        polls += 1;
        assert!(connection.as_mut().poll(cx).is_pending());
        cx.waker().wake_by_ref();
        if polls > 1_000 {
            Poll::Ready(())
        } else {
            Poll::Pending
        }
    })
    .await;
    let read = read.load(Ordering::SeqCst);
    assert!((1..=HELD_BYTES_MAX).contains(&read), "{read} bytes");
}

/// Lets the other tasks run until each of them waits.
async fn run_others() {
    for _ in 0..20 {
        tokio::task::yield_now().await;
    }
}

/// Guards against a request whose deadline begins when the requests before it have ended, because its bytes were left
/// in the socket until then.
#[tokio::test]
async fn the_arrival_of_a_request_is_recorded_while_another_one_runs() {
    let (mut client, server) = tokio::io::duplex(64 * 1024);
    let scanner = HeadScanner::default();
    let arrivals = scanner.arrivals();
    let gate = Arc::new(Semaphore::new(0));
    let recorded: Arc<Mutex<Vec<Arrival>>> = Arc::default();
    let (held, log) = (Arc::clone(&gate), Arc::clone(&recorded));
    tokio::spawn(async move {
        let service = service_fn(|request: Request<Incoming>| {
            let arrival = arrivals.next().expect("an arrival for each request");
            log.lock().expect("no panic").push(arrival);
            let held = Arc::clone(&held);
            async move {
                if request.uri().path() == "/hold" {
                    drop(held.acquire().await);
                }
                Ok::<_, Infallible>(Response::new(body::empty()))
            }
        });
        let stream = TokioIo::new(ScannedStream::new(server, scanner));
        http1::Builder::new()
            .serve_connection(stream, service)
            .await
    });
    let mut before = vec![time::Instant::now()];
    for path in ["/hold", "/1", "/2", "/3"] {
        // An empty line before a request is not part of it.
        let sent = format!("\r\n{}", get(path));
        client.write_all(sent.as_bytes()).await.expect("sent");
        run_others().await;
        before.push(time::Instant::now());
    }
    gate.add_permits(1);
    let answered = async {
        while recorded.lock().expect("no panic").len() < 4 {
            time::sleep(Duration::from_millis(1)).await;
        }
    };
    let answered = time::timeout(TEST_TIMEOUT, answered).await;
    assert!(answered.is_ok(), "not all requests are handled");
    for (number, arrival) in recorded.lock().expect("no panic").iter().enumerate() {
        let range = before[number]..=before[number + 1];
        assert!(range.contains(&arrival.0), "request {number}");
    }
}
