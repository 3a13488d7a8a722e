//! What a backend server states about itself in its responses and the routers must follow.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use tokio::task::JoinSet;
use tokio::time;

use crate::COMPLETE;
use crate::LEAVING;
use crate::LIMIT_PER_SECOND;
use crate::LIMITED;
use crate::RequestLog;
use crate::announce;
use crate::backend_server;
use crate::fixture;
use crate::get;
use shallotrill_model::class::Class;

/// Requests that each router receives at once.
const REQUESTS_PER_ROUTER: usize = 20;

/// Guards against routers that together send a backend server more than one and a half times the rate that it states.
#[tokio::test]
async fn a_backend_server_receives_more_than_its_stated_limit() {
    let logs: [Arc<RequestLog>; 2] = Default::default();
    let one = backend_server(LIMITED, Arc::clone(&logs[0])).await;
    let two = backend_server(LIMITED, Arc::clone(&logs[1])).await;
    let fixture = fixture(Class::NonIdempotent, &[one, two]).await;
    let received = |log: &RequestLog| log.received.load(Ordering::SeqCst);
    while logs.iter().any(|log| received(log) == 0) {
        assert_eq!(fixture.get("/a/b").await.0, 200);
    }
    let before = logs.each_ref().map(|log| received(log));
    let begin = time::Instant::now();
    let mut requests = JoinSet::new();
    for router in &fixture.routers {
        for _ in 0..REQUESTS_PER_ROUTER {
            let address = router.state().settings.caller_listen;
            requests.spawn(async move { get(address, "/a/b").await.0 });
        }
    }
    let statuses = requests.join_all().await;
    let allowed = 5.0 + 1.5 * LIMIT_PER_SECOND * begin.elapsed().as_secs_f64();
    for (log, before) in logs.iter().zip(before) {
        let sent = received(log) - before;
        assert!(sent as f64 <= allowed, "{sent} requests, {allowed} allowed");
    }
    assert!(statuses.iter().all(|status| [200, 503].contains(status)));
}

/// Guards against requests to a backend server that has stated in a response that it is leaving, although it
/// still announces itself as ready.
#[tokio::test]
async fn a_leaving_backend_server_receives_requests() {
    let (left, other) = (
        Arc::new(RequestLog::default()),
        Arc::new(RequestLog::default()),
    );
    let one = backend_server(COMPLETE, Arc::clone(&other)).await;
    let two = backend_server(LEAVING, Arc::clone(&left)).await;
    let fixture = fixture(Class::NonIdempotent, &[one, two]).await;
    while left.received.load(Ordering::SeqCst) == 0 {
        assert_eq!(fixture.get("/a/b").await.0, 200);
    }
    announce(&fixture.routers[1], 1, 2, false);
    for router in fixture.routers.iter().cycle().take(20) {
        let address = router.state().settings.caller_listen;
        assert_eq!(get(address, "/a/b").await.0, 200);
    }
    assert_eq!(left.received.load(Ordering::SeqCst), 1);
}
