//! Measures the memory of two router processes that carry large responses to slow readers.
//!
//! `downloads [READERS] [SECONDS] [RATE] [LINK]` starts a registry process and a
//! backend server in its own process and two routers as child processes. Each
//! reader requests a response of 8 MiB from the first router and reads it at RATE
//! bytes per second, 20,000 by default; the target is beside the second router.
//! Small requests on the same path are timed meanwhile. LINK limits the path
//! between the routers to this number of bits per second; 0 is no limit.

use std::env;
use std::fs;
use std::net::SocketAddr;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use mimalloc::MiMalloc;
use tempfile::TempDir;
use tokio::io::AsyncBufReadExt;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::io::BufReader;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::process::Child;
use tokio::process::Command;
use tokio::time;

use shallotrill_items::item::Content;
use shallotrill_items::item::Item;
use shallotrill_items::item::Key;
use shallotrill_items::item::Kind;
use shallotrill_items::route::Route;
use shallotrill_items::route::Service;
use shallotrill_items::route::Share;
use shallotrill_limits::process::Limits;
use shallotrill_model::class::Class;
use shallotrill_model::instance;
use shallotrill_model::region;
use shallotrill_model::service;
use shallotrill_model::zone;
use shallotrill_process::clock::Clock;
use shallotrill_registry::propose;
use shallotrill_registry::run as registry;
use shallotrill_router::backend;
use shallotrill_router::backend::ServerAnnouncement;
use shallotrill_router::names::Names;
use shallotrill_router::run;
use shallotrill_router::settings::Settings;

/// The allocator of the product.
#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

const LARGE_BYTES: usize = 8 * 1024 * 1024;
/// Bytes that the relay on the path between the routers passes on at once.
const LINK_BYTES: usize = 4 * 1024;
/// Bytes that a fast reader reads at once.
const READ_BYTES: usize = 64 * 1024;

const POLL_INTERVAL: Duration = Duration::from_millis(100);
const SMALL_REQUESTS: usize = 20;
const SMALL_TIMEOUT: Duration = Duration::from_secs(5);
const ROUTE_TIMEOUT: Duration = Duration::from_mins(1);
const STARTUP_TIMEOUT: Duration = Duration::from_secs(20);

fn service_name() -> Result<service::Name> {
    Ok(service::Name::new("catalogue")?)
}

fn main() -> Result<()> {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()?;
    if arguments.first().is_some_and(|role| role == "router") {
        return runtime.block_on(router(&arguments[1..]));
    }
    let number = |index: usize, default| {
        let argument = arguments.get(index);
        argument.map_or(Ok(default), |text| text.parse())
    };
    runtime.block_on(measure(
        number(0, 100)?,
        number(1, 10)?,
        number(2, 20_000)?,
        number(3, 0)?,
    ))
}

/// Runs a router until the standard input ends. Prints its addresses for callers and for other routers.
async fn router(arguments: &[String]) -> Result<()> {
    let [registry, server, announces, advertised] = arguments else {
        anyhow::bail!("four arguments are required");
    };
    let router = run::start(Settings {
        caller_listen: "127.0.0.1:0".parse()?,
        router_listen: "127.0.0.1:0".parse()?,
        advertised: advertised.parse().ok(),
        backend: server.parse()?,
        service: service_name()?,
        zone: zone::Name::new("bodo")?,
        region: region::Name::new("nordland")?,
        registries: vec![registry.parse()?],
        retry_permille: 200,
        retry_slack: 200,
        retry_window: Duration::from_secs(10),
        grace_period: Duration::from_secs(2),
        limits: Limits::default(),
        second_attempt_permille: 0,
        names: Names::default(),
        clock: Clock::start(),
    })
    .await?;
    if announces == "target" {
        let announcement = ServerAnnouncement {
            instance: instance::Name::new("i-0")?,
            service: service_name()?,
            start_time_ms: 100,
            sequence: 1,
            draining: false,
            slots: 1_000,
            warm_up_remaining: Some(Duration::ZERO),
        };
        backend::announce(&router.state(), announcement).context("the announcement is refused")?;
    }
    let state = router.state();
    let addresses = &state.settings;
    println!("{} {}", addresses.caller_listen, addresses.router_listen);
    tokio::io::stdin().read_to_end(&mut Vec::new()).await?;
    Ok(())
}

fn items() -> Result<Vec<Item>> {
    let named = |kind, name: &str, content: Content| Item {
        key: Key {
            kind,
            name: name.into(),
        },
        version: 1,
        content,
        document: "".into(),
    };
    let service = Service {
        health_path: "/healthz".into(),
        connections: 1_220,
        warm_up: None,
    };
    let route = Route {
        host: "host".into(),
        prefix: "/a/".into(),
        class: Class::Idempotent,
        timeout: ROUTE_TIMEOUT,
        objective: ROUTE_TIMEOUT,
        priority: 0,
        attempts: 1,
        shares: vec![Share {
            service: service_name()?,
            weight: 1,
        }],
        public: false,
    };
    Ok(vec![
        named(Kind::Service, "catalogue", Content::Service(service)),
        named(Kind::Route, "r", Content::Route(route)),
    ])
}

async fn backend_server(sent: Arc<AtomicUsize>) -> Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, Arc::clone(&sent)));
        }
    });
    Ok(address)
}

async fn serve(mut stream: TcpStream, sent: Arc<AtomicUsize>) -> Result<()> {
    stream.set_nodelay(true)?;
    loop {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(stream.read_u8().await?);
        }
        let head = String::from_utf8_lossy(&head).into_owned();
        let id = head
            .lines()
            .find_map(|line| line.strip_prefix("shallotrill-request: "));
        let id = id.unwrap_or_default();
        let length = if head.starts_with("GET /a/large") {
            LARGE_BYTES
        } else {
            4
        };
        let response = format!(
            "HTTP/1.1 200 OK\r\nshallotrill-request: {id}\r\nshallotrill-seal: s\r\nContent-Length: {length}\r\n\r\n"
        );
        stream.write_all(response.as_bytes()).await?;
        let block = vec![b'x'; length.min(4_096)];
        for _ in 0..length / block.len() {
            stream.write_all(&block).await?;
            sent.fetch_add(block.len(), Ordering::SeqCst);
        }
    }
}

async fn start_router(
    registry: SocketAddr,
    server: SocketAddr,
    role: &str,
    advertised: &str,
) -> Result<(Child, SocketAddr, SocketAddr)> {
    let (registry, server) = (registry.to_string(), server.to_string());
    let mut child = Command::new(env::current_exe()?)
        .args(["router", &registry, &server, role, advertised])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .kill_on_drop(true)
        .spawn()?;
    let output = child.stdout.take().context("an output")?;
    let line = BufReader::new(output).lines().next_line().await?;
    let line = line.context("the router has ended")?;
    let (callers, routers) = line.split_once(' ').context("two addresses")?;
    Ok((child, callers.parse()?, routers.parse()?))
}

/// Opens a connection with small buffers, which are under way on a link.
fn small_buffers() -> Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(16 * 1024)?;
    socket.set_send_buffer_size(16 * 1024)?;
    Ok(socket)
}

/// Passes connections on to `address`, each direction of each connection with this number of bits per second.
async fn relay(listener: TcpListener, address: SocketAddr, bits: usize) -> Result<()> {
    loop {
        let (near, _) = listener.accept().await?;
        near.set_nodelay(true)?;
        let far = small_buffers()?.connect(address).await?;
        far.set_nodelay(true)?;
        let (near_reader, near_writer) = near.into_split();
        let (far_reader, far_writer) = far.into_split();
        tokio::spawn(pass(near_reader, far_writer, bits));
        tokio::spawn(pass(far_reader, near_writer, bits));
    }
}

async fn pass(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, bits: usize) -> Result<()> {
    let mut buffer = vec![0; LINK_BYTES];
    let mut free_at = time::Instant::now();
    loop {
        let read = from.read(&mut buffer).await?;
        if read == 0 {
            return Ok(());
        }
        to.write_all(&buffer[..read]).await?;
        let duration = Duration::from_secs_f64(read as f64 * 8.0 / bits as f64);
        free_at = free_at.max(time::Instant::now()) + duration;
        time::sleep_until(free_at).await;
    }
}

/// Opens a connection with a small receive buffer and sends a request.
async fn request(address: SocketAddr, path: &str) -> Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(16 * 1024)?;
    let mut stream = socket.connect(address).await?;
    let head = format!(
        "GET {path} HTTP/1.1\r\nHost: host\r\nshallotrill-request: one\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await?;
    Ok(stream)
}

async fn small(address: SocketAddr) -> Result<Option<Duration>> {
    let begin = time::Instant::now();
    let reading = async {
        let mut stream = request(address, "/a/small").await?;
        let mut response = String::new();
        stream.read_to_string(&mut response).await?;
        Ok::<_, anyhow::Error>(response.ends_with("xxxx"))
    };
    match time::timeout(SMALL_TIMEOUT, reading).await {
        Ok(complete) => Ok(complete?.then(|| begin.elapsed())),
        Err(_) => Ok(None),
    }
}

async fn read_slowly(address: SocketAddr, rate: usize) -> Result<()> {
    let mut stream = request(address, "/a/large").await?;
    let mut buffer = vec![0; READ_BYTES.min(rate / 10)];
    loop {
        let read = stream.read(&mut buffer).await?;
        if read == 0 {
            return Ok(());
        }
        time::sleep(Duration::from_secs_f64(read as f64 / rate as f64)).await;
    }
}

/// A field of `/proc/PID/status` in kB.
fn memory_kb(child: &Child, field: &str) -> Result<u64> {
    let id = child.id().context("a running process")?;
    let status = fs::read_to_string(format!("/proc/{id}/status"))?;
    let line = status.lines().find_map(|line| line.strip_prefix(field));
    let value = line.context("the field is missing")?;
    Ok(value
        .trim_start_matches(':')
        .trim()
        .trim_end_matches(" kB")
        .parse()?)
}

async fn measure(readers: usize, seconds: usize, rate: usize, link: usize) -> Result<()> {
    let folder = TempDir::new()?;
    let registry = registry::start(shallotrill_registry::settings::Settings {
        listen: "127.0.0.1:0".parse()?,
        advertised: None,
        first_start: true,
        seeds: Vec::new(),
        zones: Vec::new(),
        limits: Limits::default(),
        tolerated_disks: 0,
        folder: folder.path().to_owned(),
        clock: Clock::start(),
    })
    .await?;
    let state = registry.state();
    let accepted = propose::change(&state, &items()?).await;
    anyhow::ensure!(accepted.is_ok(), "the configuration is refused");
    let sent = Arc::new(AtomicUsize::new(0));
    let server = backend_server(Arc::clone(&sent)).await?;
    let listen = state.settings.listen;
    let link_end = TcpListener::bind("127.0.0.1:0").await?;
    let advertised = match link {
        0 => "-".to_owned(),
        _ => link_end.local_addr()?.to_string(),
    };
    let (target, _, routers) = start_router(listen, server, "target", &advertised).await?;
    if link > 0 {
        tokio::spawn(relay(link_end, routers, link));
    }
    let (entry, address, _) = start_router(listen, server, "entry", "-").await?;
    let ready = async {
        while !matches!(small(address).await, Ok(Some(_))) {
            time::sleep(POLL_INTERVAL).await;
        }
    };
    time::timeout(STARTUP_TIMEOUT, ready).await?;
    let children = [("entry", &entry), ("target", &target)];
    for (name, child) in children {
        println!("{name}: {} kB before", memory_kb(child, "VmRSS")?);
    }
    for _ in 0..readers {
        tokio::spawn(read_slowly(address, rate));
    }
    time::sleep(Duration::from_secs(seconds as u64)).await;
    let mut times = Vec::new();
    for _ in 0..SMALL_REQUESTS {
        times.push(small(address).await?);
    }
    for (name, child) in children {
        println!("{name}: {} kB at the peak", memory_kb(child, "VmHWM")?);
    }
    let held = sent.load(Ordering::SeqCst) / readers.max(1);
    println!("{held} bytes of each response taken from the backend server");
    let failed = times.iter().filter(|time| time.is_none()).count();
    times.sort();
    let (middle, slowest) = (times[SMALL_REQUESTS / 2], times[SMALL_REQUESTS - 1]);
    println!(
        "small requests: {failed} of {SMALL_REQUESTS} not answered, median {middle:?}, slowest {slowest:?}"
    );
    registry.stop();
    Ok(())
}
