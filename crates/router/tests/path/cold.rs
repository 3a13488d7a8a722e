//! Cold backend servers, and the evacuation of a zone.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time;

use crate::COLD;
use crate::COMPLETE;
use crate::Fixture;
use crate::POLL_INTERVAL;
use crate::RequestLog;
use crate::WAIT_TIMEOUT;
use crate::backend_server;
use crate::fixture;
use crate::get;
use crate::items;
use shallotrill_items::evacuation::Order;
use shallotrill_items::item::Content;
use shallotrill_items::route::WarmUp;
use shallotrill_items::table::Table;
use shallotrill_model::class::Class;
use shallotrill_model::rate::Rate;
use shallotrill_registry::evacuations;
use shallotrill_registry::propose;

const ZONE: &str = "bodo";

/// Rate of a cold backend server, in requests per second.
const COLD_PER_SECOND: u32 = 5;

/// Requests that each router receives at once.
const REQUESTS_PER_ROUTER: usize = 20;

impl Fixture {
    /// Waits until the items in force at all routers meet a condition.
    async fn wait_for_items(&self, is_met: impl Fn(&Table) -> bool) {
        let waiting = async {
            for router in &self.routers {
                while !is_met(&router.state().items()) {
                    time::sleep(POLL_INTERVAL).await;
                }
            }
        };
        let waited = time::timeout(WAIT_TIMEOUT, waiting).await;
        waited.expect("all routers have the items");
    }

    async fn order(&self, order: Order) {
        let ordered = evacuations::order(&self.registry.state(), order, ZONE).await;
        ordered.expect("the order is acknowledged");
        let is_evacuated = order == Order::Start;
        self.wait_for_items(|items| items.evacuated_zones().is_empty() != is_evacuated)
            .await;
    }
}

/// Guards against routers that together send a backend server more than it accepts while it is cold.
#[tokio::test]
async fn a_cold_backend_server_receives_more_than_it_accepts() {
    let logs: [Arc<RequestLog>; 2] = Default::default();
    let one = backend_server(COLD, Arc::clone(&logs[0])).await;
    let two = backend_server(COLD, Arc::clone(&logs[1])).await;
    let fixture = fixture(Class::NonIdempotent, &[one, two]).await;
    let mut service = items(Class::NonIdempotent).remove(0);
    service.version = 2;
    if let Content::Service(content) = &mut service.content {
        content.warm_up = Some(WarmUp {
            period: Duration::from_secs(30),
            rate: Rate::from_millihertz(COLD_PER_SECOND * 1_000),
        });
    }
    let changed = propose::change(&fixture.registry.state(), &[service]).await;
    changed.expect("the change is accepted");
    let has_rate = |items: &Table| {
        let service = items.service(&crate::service_name());
        service.is_some_and(|service| service.warm_up.is_some())
    };
    fixture.wait_for_items(has_rate).await;
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
    let allowed = 8.0 + 1.5 * f64::from(COLD_PER_SECOND) * begin.elapsed().as_secs_f64().max(1.0);
    for (log, before) in logs.iter().zip(before) {
        let sent = received(log) - before;
        assert!(sent as f64 <= allowed, "{sent} requests, {allowed} allowed");
    }
    assert!(statuses.iter().all(|status| [200, 503].contains(status)));
    assert!(statuses.contains(&503), "the rate is exceeded");
}

/// Guards against a request that reaches a backend server in an evacuated zone, also when it is the only zone and
/// after a restart of a router, and against a zone that takes no requests after the end of its evacuation.
#[tokio::test]
async fn a_backend_server_in_an_evacuated_zone_receives_requests() {
    let logs: [Arc<RequestLog>; 2] = Default::default();
    let one = backend_server(COMPLETE, Arc::clone(&logs[0])).await;
    let two = backend_server(COMPLETE, Arc::clone(&logs[1])).await;
    let mut fixture = fixture(Class::NonIdempotent, &[one, two]).await;
    assert_eq!(fixture.get("/a/b").await.0, 200);
    fixture.order(Order::Start).await;
    let received = |logs: &[Arc<RequestLog>; 2]| {
        let counts = logs.iter().map(|log| log.received.load(Ordering::SeqCst));
        counts.sum::<usize>()
    };
    let before = received(&logs);
    for _ in 0..5 {
        assert_eq!(fixture.get("/a/b").await.0, 503);
    }
    fixture.restart_last().await;
    crate::announce(&fixture.routers[1], 1, 2, false);
    fixture.wait_for_items(|items| !items.is_empty()).await;
    for router in fixture.routers.iter().cycle().take(6) {
        let address = router.state().settings.caller_listen;
        assert_eq!(get(address, "/a/b").await.0, 503);
    }
    assert_eq!(received(&logs), before);
    let refusals = &fixture.routers[0].state().metrics.evacuation.refusals;
    assert!(refusals.get() > 0);
    fixture.order(Order::Finish).await;
    fixture.wait_for_targets(2).await;
    for router in &fixture.routers {
        let address = router.state().settings.caller_listen;
        assert_eq!(get(address, "/a/b").await.0, 200);
    }
}
