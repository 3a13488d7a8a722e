//! Callers, which send requests through the router on their machine.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use tokio::time;

use crate::history;
use crate::history::Idempotency;
use crate::history::Outcome;
use crate::history::SentRequest;
use crate::layout;
use crate::operator::ROUTES;
use crate::plan::ProcessIndex;
use crate::run::RunContext;
use crate::workspaces;
use shallotrill_bench::http::Connection;
use shallotrill_bench::http::Failure;
use shallotrill_bench::http::Request as HttpRequest;
use shallotrill_bench::http::Response;

/// Time between two requests of one caller, in milliseconds.
const REQUEST_INTERVAL_MS: std::ops::Range<u64> = 10..120;

/// Time limit of a request, in milliseconds.
const REQUEST_TIMEOUT_MS: std::ops::Range<u64> = 400..2_000;

/// Time that a caller waits beyond its time limit, so that a late response is recorded.
const LATE_RESPONSE_PERIOD: Duration = Duration::from_secs(2);

/// Share of requests whose caller closes its connection early.
const DISCONNECT_SHARE: f64 = 0.03;

/// Time after which such a caller closes its connection, in milliseconds.
const DISCONNECT_AFTER_MS: std::ops::Range<u64> = 1..60;

/// Size of request bodies.
const BODY_BYTES: std::ops::Range<usize> = 0..3_000;

/// A request with its id in the history.
#[derive(Debug)]
pub struct TrackedRequest {
    /// Id of the request in the history.
    pub identity: Arc<str>,
    http_request: HttpRequest,
    timeout: Duration,
}

/// Creates a random request for a route, with a key of a workspace, and records it as sent.
pub fn new_request(
    run_context: &RunContext,
    random: &mut Pcg64,
    router: ProcessIndex,
    route: usize,
    key: &'static str,
) -> TrackedRequest {
    let route = &ROUTES[route];
    let identity = Arc::<str>::from(format!("{:032x}", random.random::<u128>()));
    let timeout_ms = random.random_range(REQUEST_TIMEOUT_MS);
    let path = format!("{}{:04x}", route.prefix, random.random::<u16>());
    let (method, body) = match route.idempotency {
        Idempotency::Idempotent => (http::Method::GET, String::new()),
        Idempotency::NonIdempotent => {
            let size = random.random_range(BODY_BYTES);
            (http::Method::POST, "b".repeat(size))
        }
    };
    let content = format!("{method} {path} {body}");

    let mut http_request = HttpRequest::get(route.host, &path);
    http_request.method = method;
    http_request.body = body.into();
    http_request.headers = vec![
        ("shallotrill-attempt-id", identity.to_string()),
        ("shallotrill-deadline-ms", timeout_ms.to_string()),
        ("shallotrill-credential", key.to_owned()),
    ];
    run_context.history.lock().requests.insert(
        Arc::clone(&identity),
        SentRequest {
            router,
            idempotency: route.idempotency,
            content: Arc::from(content),
            key,
            public: route.public,
            at_ms: run_context.now(),
            timeout_ms,
            outcome: None,
        },
    );
    TrackedRequest {
        identity,
        http_request,
        timeout: Duration::from_millis(timeout_ms),
    }
}

/// Sends a request on a persistent connection, which is opened if there is none, and records its outcome.
///
/// Returns the response if it was complete.
pub async fn send(
    run_context: &RunContext,
    connection: &mut Option<Connection>,
    router: ProcessIndex,
    request: &TrackedRequest,
    disconnect_after: Option<Duration>,
) -> Option<Response> {
    let mut open = if let Some(open) = connection.take() {
        open
    } else {
        let address = run_context.layout.address(router, layout::CALLER_PORT);
        let opened = time::timeout(request.timeout, Connection::open(address)).await;
        let Ok(Ok(open)) = opened else {
            record_outcome(run_context, request, Outcome::NotSent);
            return None;
        };
        open
    };
    let timeout = disconnect_after.unwrap_or(request.timeout + LATE_RESPONSE_PERIOD);
    let sent = time::timeout(timeout, open.send(&request.http_request)).await;
    match sent {
        Ok(Ok(answer)) => {
            let seal = answer.header("shallotrill-response-seal");
            let status = answer.status.as_u16();
            let outcome = Outcome::Response {
                status,
                seal: (!seal.is_empty()).then(|| Arc::from(seal)),
                expected: history::seal(&request.identity, status, &answer.body),
            };
            record_outcome(run_context, request, outcome);
            if answer.header("connection") != "close" {
                *connection = Some(open);
            }
            Some(answer)
        }
        Ok(Err(Failure::Connect(_))) => {
            record_outcome(run_context, request, Outcome::NotSent);
            None
        }
        Ok(Err(_)) => {
            record_outcome(run_context, request, Outcome::Lost);
            None
        }
        // Dropping the connection closes it.
        Err(_) if disconnect_after.is_some() => {
            record_outcome(run_context, request, Outcome::Left);
            None
        }
        Err(_) => {
            record_outcome(run_context, request, Outcome::Silent);
            None
        }
    }
}

fn record_outcome(run_context: &RunContext, request: &TrackedRequest, outcome: Outcome) {
    let at_ms = run_context.now();
    run_context
        .history
        .lock()
        .record_outcome(&request.identity, at_ms, outcome);
}

/// Sends requests one after another until the run stops the callers.
pub async fn run(run_context: Arc<RunContext>, router: ProcessIndex, seed: u64) {
    let mut random = Pcg64::seed_from_u64(seed);
    let mut connection = None;
    while !*run_context.callers_stopped.borrow() {
        let route = random.random_range(0..ROUTES.len());
        let key = workspaces::random_key(&mut random);
        let request = new_request(&run_context, &mut random, router, route, key);
        let disconnect_after = random
            .random_bool(DISCONNECT_SHARE)
            .then(|| Duration::from_millis(random.random_range(DISCONNECT_AFTER_MS)));
        send(
            &run_context,
            &mut connection,
            router,
            &request,
            disconnect_after,
        )
        .await;
        let interval_ms = random.random_range(REQUEST_INTERVAL_MS);
        time::sleep(Duration::from_millis(interval_ms)).await;
    }
}
