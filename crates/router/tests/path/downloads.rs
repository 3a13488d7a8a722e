//! Large responses from a backend server through the router beside it and that of the caller.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::time;

use crate::Fixture;
use crate::POLL_INTERVAL;
use crate::WAIT_TIMEOUT;
use crate::fixture;
use crate::header;
use crate::items;
use crate::read_head;
use crate::service_name;
use crate::settings;
use shallotrill_items::item::Content;
use shallotrill_model::class::Class;
use shallotrill_registry::propose;
use shallotrill_router::run;
use shallotrill_router::run::Router;

const BLOCK_BYTES: usize = 16 * 1024;

/// Blocks of a complete response of 8 MiB.
const BLOCKS: usize = 512;

/// Blocks after which a response ends early: more than an entry buffers to be able to repeat a request.
const EARLY_BLOCKS: usize = 100;

/// Send buffer of the backend server, which would otherwise grow with the settings of the machine.
const SEND_BUFFER_BYTES: u32 = 64 * 1024;

/// Bytes that leave the backend server for a caller that reads nothing: what the routers and the sockets hold.
const UNREAD_BYTES_MAX: usize = 2 * 1024 * 1024;

/// Interval after which a number of bytes that has not changed counts as final.
const STABLE_INTERVAL: Duration = Duration::from_millis(200);

struct Case {
    name: &'static str,
    /// Whether the response states its length, and is chunked otherwise.
    stated: bool,
    /// Blocks that the backend server sends before it closes the connection.
    blocks: usize,
    complete: bool,
}

/// Guards against a large response that is altered or that looks complete although it has ended early.
const CASES: &[Case] = &[
    Case {
        name: "complete, with its length",
        stated: true,
        blocks: BLOCKS,
        complete: true,
    },
    Case {
        name: "complete, chunked",
        stated: false,
        blocks: BLOCKS,
        complete: true,
    },
    Case {
        name: "cut, with its length",
        stated: true,
        blocks: EARLY_BLOCKS,
        complete: false,
    },
    Case {
        name: "cut, chunked",
        stated: false,
        blocks: EARLY_BLOCKS,
        complete: false,
    },
];

/// Sends a large response and counts its bytes.
async fn respond(
    mut stream: TcpStream,
    stated: bool,
    blocks: usize,
    sent: &AtomicUsize,
) -> Option<()> {
    let head = read_head(&mut stream).await?;
    if head.starts_with("GET /healthz") {
        let healthy = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        return stream.write_all(healthy).await.ok();
    }
    let id = header(&head, "shallotrill-request").unwrap_or_default();
    let framing = if stated {
        format!("Content-Length: {}", BLOCKS * BLOCK_BYTES)
    } else {
        "Transfer-Encoding: chunked".to_owned()
    };
    let head = format!(
        "HTTP/1.1 200 OK\r\nshallotrill-request: {id}\r\nshallotrill-seal: s\r\n{framing}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.ok()?;
    for number in 0..blocks {
        let block = block(number);
        if !stated {
            let size = format!("{BLOCK_BYTES:x}\r\n");
            stream.write_all(size.as_bytes()).await.ok()?;
        }
        stream.write_all(&block).await.ok()?;
        if !stated {
            stream.write_all(b"\r\n").await.ok()?;
        }
        sent.fetch_add(BLOCK_BYTES, Ordering::SeqCst);
    }
    if !stated && blocks == BLOCKS {
        stream.write_all(b"0\r\n\r\n").await.ok()?;
    }
    Some(())
}

/// The bytes of a block, which differ from those of other blocks.
fn block(number: usize) -> Vec<u8> {
    let text = format!("{number:016}");
    text.repeat(BLOCK_BYTES / text.len()).into_bytes()
}

fn backend_server(stated: bool, blocks: usize, sent: Arc<AtomicUsize>) -> SocketAddr {
    let socket = TcpSocket::new_v4().expect("a socket");
    let bound = socket.set_send_buffer_size(SEND_BUFFER_BYTES);
    bound.expect("a bounded buffer");
    let any_port = "127.0.0.1:0".parse().expect("an address");
    socket.bind(any_port).expect("a free port");
    let listener = socket.listen(16).expect("a listener");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let sent = Arc::clone(&sent);
            tokio::spawn(async move { respond(stream, stated, blocks, &sent).await });
        }
    });
    address
}

/// Starts a router without a backend server of its own, so that its requests go through another router.
async fn entry(fixture: &Fixture) -> Router {
    let before = fixture.routers[0].state().settings.clone();
    let router = run::start(settings(before.backend, before.registries.clone(), 1_000)).await;
    let router = router.expect("a router");
    let state = router.state();
    let known = async {
        while !state.is_ready() || state.routing.lock().target_count(&service_name()) == 0 {
            time::sleep(POLL_INTERVAL).await;
        }
    };
    let known = time::timeout(WAIT_TIMEOUT, known).await;
    assert!(known.is_ok(), "the target is not known");
    router
}

async fn request(router: &Router) -> TcpStream {
    let address = router.state().settings.caller_listen;
    let mut stream = TcpStream::connect(address).await.expect("connected");
    let head = "GET /a/large HTTP/1.1\r\nHost: host\r\nshallotrill-request: one\r\nConnection: close\r\n\r\n";
    stream.write_all(head.as_bytes()).await.expect("sent");
    stream
}

/// Removes the chunked coding; `None` when the last chunk is missing.
fn decode(mut rest: &[u8]) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let end = rest.windows(2).position(|window| window == b"\r\n")?;
        let size = std::str::from_utf8(&rest[..end]).ok()?;
        let size = usize::from_str_radix(size, 16).ok()?;
        if size == 0 {
            return Some(body);
        }
        body.extend_from_slice(rest.get(end + 2..end + 2 + size)?);
        rest = rest.get(end + 2 + size + 2..)?;
    }
}

#[tokio::test]
async fn a_large_response_is_whole_or_does_not_look_complete() {
    let expected: Vec<u8> = (0..BLOCKS).flat_map(block).collect();
    for case in CASES {
        let one = backend_server(case.stated, case.blocks, Arc::default());
        let fixture = fixture(Class::NonIdempotent, &[one]).await;
        let entry = entry(&fixture).await;
        let mut stream = request(&entry).await;
        let mut read = Vec::new();
        let reading = time::timeout(WAIT_TIMEOUT, stream.read_to_end(&mut read)).await;
        // A connection that is reset does not look complete either.
        let closed = reading.expect("an end").is_ok();
        let end = read.windows(4).position(|window| window == b"\r\n\r\n");
        let end = end.expect("a response head") + 4;
        let head = String::from_utf8_lossy(&read[..end]).into_owned();
        assert!(head.starts_with("HTTP/1.1 200 "), "{}: {head}", case.name);
        let body = match header(&head, "content-length") {
            Some(length) => {
                let length: usize = length.parse().expect("a number");
                let whole = read.len() - end == length;
                whole.then(|| read[end..].to_vec())
            }
            None => decode(&read[end..]),
        };
        assert_eq!(body.is_some(), case.complete, "{}", case.name);
        if case.complete {
            assert!(closed, "{}", case.name);
            assert!(body.as_ref() == Some(&expected), "{}: altered", case.name);
        }
    }
}

/// Guards against a response that the routers keep in memory because its caller does not read it.
#[tokio::test]
async fn a_caller_that_does_not_read_stops_the_backend_server() {
    let sent = Arc::new(AtomicUsize::new(0));
    let one = backend_server(true, BLOCKS, Arc::clone(&sent));
    let fixture = fixture(Class::NonIdempotent, &[one]).await;
    let entry = entry(&fixture).await;
    let stream = request(&entry).await;
    let stable = async {
        loop {
            let before = sent.load(Ordering::SeqCst);
            time::sleep(STABLE_INTERVAL).await;
            if before > 0 && sent.load(Ordering::SeqCst) == before {
                return before;
            }
        }
    };
    let sent = time::timeout(WAIT_TIMEOUT, stable).await.expect("an end");
    assert!(sent <= UNREAD_BYTES_MAX, "{sent} bytes");
    drop(stream);
}

/// Guards against callers that read slowly and with that take all slots of a backend server that works on nothing.
#[tokio::test]
async fn a_slow_reader_does_not_hold_a_slot() {
    let one = backend_server(true, BLOCKS, Arc::default());
    let fixture = fixture(Class::NonIdempotent, &[one]).await;
    set_timeout(&fixture, WAIT_TIMEOUT * 2).await;
    let state = fixture.routers[0].state();
    let mut streams = Vec::new();
    // The backend server has four slots.
    for _ in 0..8 {
        let mut stream = request(&fixture.routers[0]).await;
        let started = time::timeout(WAIT_TIMEOUT, stream.read_u8()).await;
        started.expect("a response in time").expect("a response");
        streams.push(stream);
    }
    let released = async {
        loop {
            let now = state.now();
            let mut backend = state.backend.lock();
            let server = backend.current.as_mut().expect("a backend server");
            if server.gate.report(now).in_flight == 0 {
                return;
            }
            drop(backend);
            time::sleep(POLL_INTERVAL).await;
        }
    };
    let released = time::timeout(WAIT_TIMEOUT, released).await;
    assert!(released.is_ok(), "the slots are in use");
    let counts = state.pool.counts();
    assert_eq!(counts.open - counts.idle, streams.len(), "{counts:?}");
    // A response continues without its slot.
    let mut read = Vec::new();
    let reading = streams.remove(0);
    let mut reading = reading.take((BLOCKS * BLOCK_BYTES) as u64);
    let whole = time::timeout(WAIT_TIMEOUT, reading.read_to_end(&mut read)).await;
    assert!(whole.is_ok_and(|read| read.is_ok()));
    assert_eq!(read.len(), BLOCKS * BLOCK_BYTES);
}

/// Changes the timeout of the route and waits until the first router applies it.
async fn set_timeout(fixture: &Fixture, timeout: Duration) {
    let mut items = items(Class::NonIdempotent);
    for item in &mut items {
        item.version = 2;
        if let Content::Route(route) = &mut item.content {
            route.timeout = timeout;
            route.objective = timeout;
        }
    }
    let changed = propose::change(&fixture.registry.state(), &items).await;
    changed.expect("the change is accepted");
    let state = fixture.routers[0].state();
    let applied = || {
        let table = state.items();
        let rule = table.find("host", "/a/large");
        rule.is_some_and(|rule| rule.route.timeout == timeout)
    };
    let waiting = async {
        while !applied() {
            time::sleep(POLL_INTERVAL).await;
        }
    };
    let waiting = time::timeout(WAIT_TIMEOUT, waiting).await;
    assert!(waiting.is_ok(), "the change is not applied");
}
