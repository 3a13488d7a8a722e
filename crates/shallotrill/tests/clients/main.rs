//! Clients that misbehave, against real processes with lowered limits.
//!
//! Each case sends one crowd to one address. While the crowd is still connected, the processes must
//! live, their peak of memory and descriptors must be under the limits of their settings, and an
//! ordinary request, a readiness check and an operator's query must be answered. No times are checked.

mod crowd;
mod fixture;

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::runtime::Builder;
use tokio::runtime::Runtime;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time;

use crowd::Conduct;
use fixture::Addresses;
use fixture::BODY_BYTES;
use fixture::DESCRIPTORS;
use fixture::Fixture;

/// Only one crowd is sent at a time.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// Longest time that a crowd is given to send. A process that does not read makes its clients wait.
const SEND_TIME: Duration = Duration::from_millis(2_500);

/// Time for the process to take what was sent before it is checked. A shorter one only makes a case easier to pass.
const fn settle_time(conduct: Conduct, place: Place) -> Duration {
    match (conduct, place) {
        // A reader gives its slot to the next one after 250 ms.
        (Conduct::SlowReader, Place::Upload) => Duration::from_secs(4),
        // A million small chunks wait in the buffers of the kernel and take a debug build seconds to read.
        (Conduct::Chunks, _) => Duration::from_millis(2_500),
        (Conduct::Streams(_), _) => Duration::from_secs(1),
        _ => Duration::from_millis(300),
    }
}

/// Where a crowd sends its requests.
#[derive(Clone, Copy, Debug)]
enum Place {
    Route,
    /// A route whose time limit leaves time for large bodies and responses.
    Upload,
    NoRoute,
    Ready,
    Admin,
    Operator,
    /// Port for requests of other routers.
    Routers,
    /// Port of the registry process for messages of other processes.
    Registry,
}

impl Place {
    const fn of(self, addresses: Addresses) -> (SocketAddr, &'static str) {
        match self {
            Self::Route => (addresses.callers(), "/work/"),
            Self::Upload => (addresses.callers(), "/upload/"),
            Self::NoRoute => (addresses.callers(), "/nothing/"),
            Self::Ready => (addresses.ready(), "/api/readyz"),
            Self::Admin => (addresses.admin(), "/api/Instances.Heartbeat/lending-9"),
            Self::Operator => (addresses.operator(), "/api/Config.Patch"),
            Self::Routers => (addresses.routers(), "/work/"),
            Self::Registry => (addresses.registry(), "/"),
        }
    }
}

const BODIES: [Place; 5] = [
    Place::Upload,
    Place::NoRoute,
    Place::Ready,
    Place::Admin,
    Place::Operator,
];

const HTTP: [Place; 5] = [
    Place::Route,
    Place::NoRoute,
    Place::Ready,
    Place::Admin,
    Place::Operator,
];

const ALL: [Place; 7] = [
    Place::Route,
    Place::NoRoute,
    Place::Ready,
    Place::Admin,
    Place::Operator,
    Place::Routers,
    Place::Registry,
];

async fn send_crowd(
    fixture: &mut Fixture,
    place: Place,
    conduct: Conduct,
    clients: usize,
) -> (String, Vec<String>) {
    let (to, path) = place.of(fixture.addresses);
    fixture.reset_peaks();
    let mut tasks = JoinSet::new();
    let (sent, mut all_sent) = mpsc::channel::<()>(1);
    for _ in 0..clients {
        tasks.spawn(crowd::client(to, path, conduct, sent.clone()));
    }
    drop(sent);
    // Some processes stop reading on purpose, so this may time out.
    let _ = time::timeout(SEND_TIME, all_sent.recv()).await;
    time::sleep(settle_time(conduct, place)).await;
    fixture.check().await
}

fn runtime() -> Runtime {
    let runtime = Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build();
    runtime.expect("a runtime can be built")
}

/// Sends a crowd to each of the places, one after another, and panics with all failures.
fn run(conduct: Conduct, clients: usize, places: &[Place]) {
    run_with(DESCRIPTORS, conduct, clients, places);
}

fn run_with(descriptors: usize, conduct: Conduct, clients: usize, places: &[Place]) {
    let _guard = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let runtime = runtime();
    let failures = runtime.block_on(async {
        let mut fixture = Fixture::start(descriptors)
            .await
            .expect("the processes start");
        let mut all_failures = Vec::new();
        for &place in places {
            // What an earlier crowd left behind must not be counted in this case.
            if fixture.must_be_replaced() {
                fixture.stop().await;
                fixture = Fixture::start(descriptors)
                    .await
                    .expect("the processes start");
            }
            let (measured, failures) = send_crowd(&mut fixture, place, conduct, clients).await;
            println!("{clients} x {conduct:?} at {place:?}: {measured}");
            if !failures.is_empty() {
                let logs = fixture.keep_logs();
                fixture.discard();
                all_failures.push(format!(
                    "{conduct:?} at {place:?}: {failures:?}; logs: {logs}"
                ));
            }
        }
        all_failures
    });
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Guards against bodies of legal size that together take all memory.
#[test]
fn whole_bodies_that_stop_short() {
    run(Conduct::Whole, 100, &BODIES);
}

/// Descriptors of the cases in which the buffers of all connections together exceed the memory.
const MANY_DESCRIPTORS: usize = 1_024;

/// Guards against read buffers of connections that take more memory than the bodies that arrive through them.
#[test]
fn short_bodies_on_many_connections() {
    let places = [Place::Upload];
    run_with(MANY_DESCRIPTORS, Conduct::Short(36_000), 430, &places);
}

/// Guards against buffers of responses that take all memory while their readers are slow.
#[test]
fn slow_readers_on_many_connections() {
    run_with(MANY_DESCRIPTORS, Conduct::SlowReader, 430, &[Place::Upload]);
}

/// Guards against bodies whose pieces are kept with more memory than their bytes.
#[test]
fn bodies_in_pieces_that_stop_short() {
    run(Conduct::Pieces, 100, &BODIES);
}

/// Guards against chunks whose bookkeeping takes many times the memory of their bytes.
#[test]
fn bodies_in_chunks_that_stop_short() {
    run(Conduct::Chunks, 48, &BODIES);
}

/// Guards against reading a body whose stated length is over the limit.
#[test]
fn bodies_over_the_limit_with_length() {
    run(Conduct::OverWithLength(20 * BODY_BYTES), 20, &HTTP);
}

/// Guards against buffering a body without a stated length beyond the limit.
#[test]
fn bodies_over_the_limit_in_chunks() {
    run(Conduct::OverInChunks(10 * BODY_BYTES), 20, &HTTP);
}

/// Guards against heads of legal size whose fields take more memory than their bytes.
#[test]
fn heads_of_many_fields() {
    run(Conduct::Fields(3_000), 150, &HTTP);
}

/// Guards against responses that are kept for a client that sends requests ahead and reads nothing.
#[test]
fn requests_ahead_without_reading() {
    run(Conduct::Ahead(300), 100, &HTTP);
}

/// Guards against readers that hold a response, a slot and a descriptor each.
#[test]
fn slow_readers() {
    run(Conduct::SlowReader, 200, &[Place::Route, Place::NoRoute]);
}

/// Guards against limits that refuse a single request inside the configured ones.
#[test]
fn the_largest_legal_body_is_served() {
    let _guard = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let runtime = runtime();
    let failures = runtime.block_on(async {
        let mut fixture = Fixture::start(DESCRIPTORS)
            .await
            .expect("the processes start");
        fixture.upload().await.expect("the body is accepted");
        let (measured, failures) = fixture.check().await;
        println!("a body of {BODY_BYTES} bytes: {measured}");
        failures
    });
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Guards against bodies that arrive for ever.
#[test]
fn slow_bodies() {
    run(Conduct::SlowBody, 300, &HTTP);
}

/// Guards against heads that arrive for ever.
#[test]
fn slow_heads() {
    run(Conduct::SlowHead, 300, &HTTP);
}

/// Guards against connections without requests that take all descriptors.
#[test]
fn half_open_connections() {
    run(Conduct::HalfOpen, 400, &ALL);
}

/// Guards against bodies of forwarded requests that together take all memory.
#[test]
fn forwarded_bodies_that_stop_short() {
    run(Conduct::Streams(50), 4, &[Place::Routers]);
}

/// Guards against frames between processes that are kept although they do not end.
#[test]
fn frames_that_stop_short() {
    run(Conduct::Frame(4 * BODY_BYTES), 40, &[Place::Registry]);
}
