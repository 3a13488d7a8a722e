//! Callers beside the routers.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use tokio::time;

use crate::layout;
use crate::ledger;
use crate::ledger::End;
use crate::ledger::Kind;
use crate::ledger::Sent;
use crate::operator::ROUTES;
use crate::plan::Process;
use crate::run::Scene;
use shallotrill_bench::http::Connection;
use shallotrill_bench::http::Failure;
use shallotrill_bench::http::Request as HttpRequest;
use shallotrill_bench::http::Response;

/// Pause between two requests of one caller.
const PAUSE_MS: std::ops::Range<u64> = 10..120;

/// Time that a caller waits.
const LIMIT_MS: std::ops::Range<u64> = 400..2_000;

/// A caller looks on for this time after its limit, so that a late answer is seen.
const LATE: Duration = Duration::from_secs(2);

/// Share of requests whose caller closes its connection early.
const LEAVE_SHARE: f64 = 0.03;

/// When such a caller leaves.
const LEAVE_MS: std::ops::Range<u64> = 1..60;

/// Longest body of a request.
const BODY_BYTES: std::ops::Range<usize> = 0..3_000;

/// A request and what the ledger knows it by.
#[derive(Debug)]
pub struct Request {
    /// Its identity.
    pub identity: Arc<str>,
    ask: HttpRequest,
    limit: Duration,
}

/// Makes a request on a route and notes it as sent.
pub fn request(scene: &Scene, random: &mut Pcg64, router: Process, route: usize) -> Request {
    let route = &ROUTES[route];
    let identity = Arc::<str>::from(format!("{:032x}", random.random::<u128>()));
    let limit = random.random_range(LIMIT_MS);
    let path = format!("{}{:04x}", route.prefix, random.random::<u16>());
    let (method, body) = match route.kind {
        Kind::Idempotent => (http::Method::GET, String::new()),
        Kind::NonIdempotent => {
            let size = random.random_range(BODY_BYTES);
            (http::Method::POST, "b".repeat(size))
        }
    };
    let content = format!("{method} {path} {body}");
    let mut ask = HttpRequest::get(route.host, &path);
    ask.method = method;
    ask.body = body.into();
    ask.headers = vec![
        ("shallotrill-attempt-id", identity.to_string()),
        ("shallotrill-deadline-ms", limit.to_string()),
    ];
    scene.ledger.lock().sent.insert(
        Arc::clone(&identity),
        Sent {
            router,
            kind: route.kind,
            content: Arc::from(content),
            at: scene.now(),
            limit,
            end: None,
        },
    );
    Request {
        identity,
        ask,
        limit: Duration::from_millis(limit),
    }
}

/// Sends a request on a connection that is kept, opening it when there is none.
///
/// Returns the answer, if a whole one came.
pub async fn send(
    scene: &Scene,
    connection: &mut Option<Connection>,
    router: Process,
    request: &Request,
    leave_after: Option<Duration>,
) -> Option<Response> {
    let mut open = if let Some(open) = connection.take() {
        open
    } else {
        let address = scene.layout.at(router, layout::OUTBOUND);
        let opened = time::timeout(request.limit, Connection::open(address)).await;
        let Ok(Ok(open)) = opened else {
            note(scene, request, End::NotSent);
            return None;
        };
        open
    };
    let limit = leave_after.unwrap_or(request.limit + LATE);
    let sent = time::timeout(limit, open.send(&request.ask)).await;
    match sent {
        Ok(Ok(answer)) => {
            let named = answer.header("shallotrill-response-seal");
            let status = answer.status.as_u16();
            let end = End::Answer {
                status,
                seal: (!named.is_empty()).then(|| Arc::from(named)),
                expected: ledger::seal(&request.identity, status, &answer.body),
            };
            note(scene, request, end);
            if answer.header("connection") != "close" {
                *connection = Some(open);
            }
            Some(answer)
        }
        Ok(Err(Failure::Connect(_))) => {
            note(scene, request, End::NotSent);
            None
        }
        Ok(Err(_)) => {
            note(scene, request, End::Lost);
            None
        }
        // Dropping the connection closes it.
        Err(_) if leave_after.is_some() => {
            note(scene, request, End::Left);
            None
        }
        Err(_) => {
            note(scene, request, End::Silent);
            None
        }
    }
}

fn note(scene: &Scene, request: &Request, end: End) {
    let at = scene.now();
    scene.ledger.lock().end(&request.identity, at, end);
}

/// Sends requests one after another until the callers are told to stop.
pub async fn run(scene: Arc<Scene>, router: Process, seed: u64) {
    let mut random = Pcg64::seed_from_u64(seed);
    let mut connection = None;
    while !*scene.calm.borrow() {
        let route = random.random_range(0..ROUTES.len());
        let request = request(&scene, &mut random, router, route);
        let leave = random
            .random_bool(LEAVE_SHARE)
            .then(|| Duration::from_millis(random.random_range(LEAVE_MS)));
        send(&scene, &mut connection, router, &request, leave).await;
        let pause = random.random_range(PAUSE_MS);
        time::sleep(Duration::from_millis(pause)).await;
    }
}
