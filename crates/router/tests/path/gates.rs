//! What a request meets on its way to a backend server: the retry budget, the gate and the check before the send.

use std::future;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::task::Poll;
use std::time::Duration;

use tokio::time;

use crate::COMPLETE;
use crate::POLL_INTERVAL;
use crate::RequestLog;
use crate::SHED;
use crate::WAIT_TIMEOUT;
use crate::announce;
use crate::backend_server;
use crate::fixture;
use crate::fixture_with_retries;
use crate::service_name;
use shallotrill_limits::outlook::Decision;
use shallotrill_limits::outlook::Request;
use shallotrill_model::class::Class;
use shallotrill_model::incarnation::Incarnation;
use shallotrill_model::instance;
use shallotrill_model::load::Outlook;
use shallotrill_model::load::Step;
use shallotrill_model::time::Instant;
use shallotrill_router::backend;
use shallotrill_router::forwarded::Denial;
use shallotrill_router::forwarded::Forwarded;
use shallotrill_router::run::Router;
use shallotrill_router::serve;
use shallotrill_router::serve::BufferedRequest;
use shallotrill_router::slot;

/// Guards against retries beyond the budget: with none allowed, a request that one backend server sheds is not
/// sent to the other one.
#[tokio::test]
async fn no_request_is_retried_without_budget() {
    let log = Arc::new(RequestLog::default());
    let one = backend_server(SHED, Arc::clone(&log)).await;
    let two = backend_server(SHED, Arc::clone(&log)).await;
    let fixture = fixture_with_retries(Class::Idempotent, &[one, two], 0).await;
    assert_eq!(fixture.get("/a/b").await.0, 503);
    assert_eq!(log.received.load(Ordering::SeqCst), 1);
}

/// Guards against routers that each take the retry limit of all of them.
#[tokio::test]
async fn routers_know_how_many_share_the_retry_limit() {
    let log = Arc::new(RequestLog::default());
    let one = backend_server(COMPLETE, Arc::clone(&log)).await;
    let fixture = fixture(Class::Idempotent, &[one, one, one]).await;
    for router in &fixture.routers {
        let state = router.state();
        let counted = async {
            while state.router_count.load(Ordering::SeqCst) != 3 {
                time::sleep(POLL_INTERVAL).await;
            }
        };
        let counted = time::timeout(WAIT_TIMEOUT, counted).await;
        assert!(counted.is_ok(), "{:?}", state.router_count);
    }
}

struct WithdrawalCase {
    name: &'static str,
    /// What happens to the backend server after the request has been admitted and before its connection is ready.
    withdraw: fn(&Router),
}

/// Guards against a request that is sent to a backend server that has been withdrawn since the request was admitted.
const WITHDRAWAL_CASES: &[WithdrawalCase] = &[
    WithdrawalCase {
        name: "it drains",
        withdraw: |router| announce(router, 0, 2, true),
    },
    WithdrawalCase {
        name: "it has left",
        withdraw: |router| {
            let name = instance::Name::new("i-0").expect("a valid name");
            backend::deregister(&router.state(), &name, None)
                .expect("the address is in no other use");
        },
    },
    WithdrawalCase {
        name: "another one has taken its place",
        withdraw: |router| announce(router, 1, 1, false),
    },
];

#[tokio::test]
async fn an_admitted_request_is_not_sent_to_a_withdrawn_backend_server() {
    for case in WITHDRAWAL_CASES {
        let log = Arc::new(RequestLog::default());
        let one = backend_server(COMPLETE, Arc::clone(&log)).await;
        let fixture = fixture(Class::NonIdempotent, &[one]).await;
        let router = &fixture.routers[0];
        let state = router.state();
        let message = BufferedRequest {
            method: http::Method::GET,
            path: http::uri::PathAndQuery::from_static("/a/b"),
            headers: http::HeaderMap::new(),
            body: bytes::Bytes::new(),
        };
        let forwarded = forwarded(false);
        let mut running = Box::pin(serve::run(&state, message, &forwarded));
        // The first poll admits the request and starts to connect to the backend server.
        assert!(is_pending(&mut running).await, "{}", case.name);
        (case.withdraw)(router);
        let denial = time::timeout(WAIT_TIMEOUT, running).await.expect("an end");
        assert_eq!(denial.err(), Some(Denial::Gone), "{}", case.name);
        assert_eq!(log.received.load(Ordering::SeqCst), 0, "{}", case.name);
    }
}

/// Polls a future once and returns whether it has not ended.
async fn is_pending<F: Future + Unpin>(future: &mut F) -> bool {
    future::poll_fn(|cx| Poll::Ready(Pin::new(&mut *future).poll(cx).is_pending())).await
}

/// Context of a request for the backend server `i-0`, which may start within a millisecond for its objective.
fn forwarded(last_gate: bool) -> Forwarded {
    forwarded_to("i-0", last_gate)
}

fn forwarded_to(name: &str, last_gate: bool) -> Forwarded {
    Forwarded {
        instance: instance::Name::new(name).expect("a valid name"),
        incarnation: Incarnation(100),
        service: service_name(),
        caller: service_name(),
        workspace: None,
        remaining: Duration::from_mins(1),
        start_within: Duration::from_millis(1),
        objective: Duration::from_millis(2),
        priority: 0,
        class: Class::NonIdempotent,
        last_gate,
        host: "host".into(),
    }
}

/// Guards against a request that its last gate refuses although a slot becomes free within its time.
#[tokio::test]
async fn the_last_gate_lets_a_request_start_late() {
    let log = Arc::new(RequestLog::default());
    let one = backend_server(COMPLETE, Arc::clone(&log)).await;
    let fixture = fixture(Class::NonIdempotent, &[one]).await;
    let state = fixture.routers[0].state();
    let mut slots = Vec::new();
    while let Ok(slot) = slot::admit(&state, &forwarded(false)).await {
        slots.push(slot);
    }
    assert!(!slots.is_empty());
    let last_gate = forwarded(true);
    let mut waiting = Box::pin(slot::admit(&state, &last_gate));
    assert!(is_pending(&mut waiting).await);
    drop(slots);
    let admitted = time::timeout(WAIT_TIMEOUT, waiting).await.expect("an end");
    assert!(admitted.is_ok());
}

/// Guards against a request that is refused by every gate because none of them knows that it is the last one.
#[tokio::test]
async fn the_only_target_accepts_a_request_although_its_machine_is_slow() {
    const SLOWNESS_PERCENT: u32 = 400;
    let log = Arc::new(RequestLog::default());
    let one = backend_server(COMPLETE, Arc::clone(&log)).await;
    let fixture = fixture(Class::NonIdempotent, &[one]).await;
    let state = fixture.routers[0].state();
    // A report from the future does not become too old during the test.
    let reported_at = state.now() + WAIT_TIMEOUT;
    if let Some(server) = &mut state.backend.lock().current {
        server.record_slowness(SLOWNESS_PERCENT, reported_at);
    }
    assert_eq!(fixture.get("/a/b").await.0, 200);
    assert_eq!(log.received.load(Ordering::SeqCst), 1);
}

/// Guards against a request that is sent again to a backend server that has refused it: a refusal that the
/// backend server repeats later would be taken for the response to the second sending, which may be running.
#[tokio::test]
async fn a_refused_request_is_sent_to_the_same_backend_server_again() {
    let (refusing, full) = (
        Arc::new(RequestLog::default()),
        Arc::new(RequestLog::default()),
    );
    let one = backend_server(SHED, Arc::clone(&refusing)).await;
    let two = backend_server(COMPLETE, Arc::clone(&full)).await;
    let fixture = fixture(Class::NonIdempotent, &[one, two]).await;
    let state = fixture.routers[1].state();
    let mut slots = Vec::new();
    while let Ok(slot) = slot::admit(&state, &forwarded_to("i-1", false)).await {
        slots.push(slot);
    }
    assert_eq!(fixture.get("/a/b").await.0, 503);
    assert_eq!(refusing.received.load(Ordering::SeqCst), 1);
    assert_eq!(full.received.load(Ordering::SeqCst), 0);
}

/// Guards against a request that is sent although its target has stated that it cannot start in time, and against a
/// kind of request of which none is sent.
#[tokio::test]
async fn a_request_without_room_is_refused_without_a_hop() {
    let log = Arc::new(RequestLog::default());
    let one = backend_server(COMPLETE, Arc::clone(&log)).await;
    let fixture = fixture(Class::NonIdempotent, &[one]).await;
    let state = fixture.routers[0].state();
    let full = Outlook::new([Step {
        priority_max: u8::MAX,
        wait_us: 60_000_000,
    }]);
    let name = instance::Name::new("i-0").expect("a valid name");
    for (status, received) in [(200, 1), (503, 1)] {
        // A statement from the future does not become too old during the test.
        let stated_at = state.now() + WAIT_TIMEOUT;
        let mut outlooks = state.outlooks.lock();
        let statements = outlooks.of(&service_name());
        statements.record(&name, Some(full.clone()), stated_at);
        drop(outlooks);
        assert_eq!(fixture.get("/a/b").await.0, status);
        assert_eq!(log.received.load(Ordering::SeqCst), received);
    }
    assert_eq!(state.metrics.refused_without_room.get(), 1);
}

/// Guards against statements that do not arrive with the denial of another router.
#[tokio::test]
async fn a_denial_states_when_there_will_be_room() {
    let log = Arc::new(RequestLog::default());
    let one = backend_server(COMPLETE, Arc::clone(&log)).await;
    let two = backend_server(COMPLETE, Arc::clone(&log)).await;
    let fixture = fixture(Class::NonIdempotent, &[one, two]).await;
    let (entry, target) = (fixture.routers[0].state(), fixture.routers[1].state());
    announce(&fixture.routers[0], 0, 2, true);
    let mut slots = Vec::new();
    while let Ok(slot) = slot::admit(&target, &forwarded_to("i-1", false)).await {
        slots.push(slot);
    }
    assert_eq!(fixture.get("/a/b").await.0, 503);
    let request = Request {
        priority: u8::MAX,
        start_within: Duration::ZERO,
        targets: 1,
        is_first: true,
    };
    let mut outlooks = entry.outlooks.lock();
    let statements = outlooks.of(&service_name());
    // The time of the first instant does not make a statement too old.
    let [_, second] = [(); 2].map(|()| statements.decide(&request, Instant(0)));
    assert!(matches!(second, Decision::Refuse(_)), "{second:?}");
}
