//! Departures of a backend server around a restart of the router beside it.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use tokio::time;

use crate::COMPLETE;
use crate::Fixture;
use crate::POLL_INTERVAL;
use crate::RequestLog;
use crate::WAIT_TIMEOUT;
use crate::announce;
use crate::backend_server;
use crate::fixture;
use crate::settings;
use shallotrill_model::class::Class;
use shallotrill_model::instance;
use shallotrill_router::backend;
use shallotrill_router::departure;
use shallotrill_router::run;

/// When the router beside the backend server restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Restart {
    /// After it has acknowledged the departure.
    After,
    /// Before the departure: it knows no backend server when that deregisters.
    Before,
    /// Before and after it.
    Both,
}

struct Case {
    restart: Restart,
    /// Whether the backend server announces that it drains; otherwise it deregisters.
    drains: bool,
}

/// Guards against requests to a backend server whose departure was acknowledged: its router has restarted and takes
/// an announcement that was sent before the departure and arrives late for a new one.
const CASES: &[Case] = &[
    Case {
        restart: Restart::After,
        drains: false,
    },
    Case {
        restart: Restart::After,
        drains: true,
    },
    Case {
        restart: Restart::Before,
        drains: false,
    },
    Case {
        restart: Restart::Both,
        drains: false,
    },
];

impl Fixture {
    /// Restarts the last router with the same address.
    pub(crate) async fn restart_last(&mut self) {
        let router = self.routers.pop().expect("a router");
        let before = router.state().settings.clone();
        router.stop().await;
        let mut settings = settings(before.backend, before.registries.clone(), 1_000);
        settings.router_listen = before.router_listen;
        let starting = async {
            loop {
                match run::start(settings.clone()).await {
                    Ok(router) => return router,
                    // The address is in use until the connections of the earlier router are closed.
                    Err(run::Error::Listen(_)) => time::sleep(POLL_INTERVAL).await,
                    Err(error) => panic!("{error}"),
                }
            }
        };
        let router = time::timeout(WAIT_TIMEOUT, starting).await;
        self.routers.push(router.expect("the router restarts"));
    }
}

#[tokio::test]
async fn a_departure_outlives_a_restart_of_the_router() {
    for case in CASES {
        let name = format!("{:?}, drains {}", case.restart, case.drains);
        let logs: [Arc<RequestLog>; 2] = Default::default();
        let staying = backend_server(COMPLETE, Arc::clone(&logs[0])).await;
        let leaving = backend_server(COMPLETE, Arc::clone(&logs[1])).await;
        let mut fixture = fixture(Class::NonIdempotent, &[staying, leaving]).await;
        if case.restart != Restart::After {
            fixture.restart_last().await;
            fixture.wait_for_targets(1).await;
        }
        let state = fixture.routers[1].state();
        if case.drains {
            announce(&fixture.routers[1], 1, 3, true);
        } else {
            let left = instance::Name::new("i-1").expect("a valid name");
            backend::deregister(&state, &left, Some(100)).expect("the address is in no other use");
        }
        assert_eq!(departure::confirm(&state).await, Ok(()), "{name}");
        if case.restart != Restart::Before {
            fixture.restart_last().await;
        }
        announce(&fixture.routers[1], 1, 2, false);
        let state = fixture.routers[1].state();
        let restored = async {
            while !state.backend.lock().is_restored() || !state.is_ready() {
                time::sleep(POLL_INTERVAL).await;
            }
        };
        let restored = time::timeout(WAIT_TIMEOUT, restored).await;
        assert!(restored.is_ok(), "{name}: departures are not restored");
        // The next announcement does not help either.
        announce(&fixture.routers[1], 1, 4, false);
        let before = logs[1].received.load(Ordering::SeqCst);
        for _ in 0..20 {
            assert_eq!(fixture.get("/a/b").await.0, 200, "{name}");
        }
        let target = state.announcement().target;
        assert!(target.is_none(), "{name}: {target:?}");
        assert_eq!(logs[1].received.load(Ordering::SeqCst), before, "{name}");
        fixture.stop().await;
    }
}

/// Guards against a departure that is acknowledged although no registry process has stored it.
#[tokio::test]
async fn a_departure_without_registry_processes_is_not_acknowledged() {
    let log = Arc::new(RequestLog::default());
    let one = backend_server(COMPLETE, Arc::clone(&log)).await;
    let fixture = fixture(Class::NonIdempotent, &[one]).await;
    fixture.registry.stop();
    let state = fixture.routers[0].state();
    let left = instance::Name::new("i-0").expect("a valid name");
    backend::deregister(&state, &left, None).expect("the address is in no other use");
    let outcome = departure::confirm(&state).await;
    assert_eq!(outcome.map_err(|unconfirmed| unconfirmed.needed), Err(1));
    assert_eq!(fixture.get("/a/b").await.0, 503);
    assert_eq!(log.received.load(Ordering::SeqCst), 0);
}
