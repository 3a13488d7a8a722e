//! Second attempts for slow responses.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time;

use crate::COMPLETE;
use crate::RequestLog;
use crate::WAIT_TIMEOUT;
use crate::fixture_with;
use crate::header;
use crate::read_head;
use crate::service_name;
use shallotrill_model::class::Class;
use shallotrill_model::instance;
use shallotrill_model::load::Outlook;
use shallotrill_model::load::Pace;
use shallotrill_model::load::Step;
use shallotrill_model::rate::Rate;
use shallotrill_router::state::State;

/// Second attempts allowed for each thousand requests, where any are.
const PERMILLE: u32 = 100;

struct Case {
    name: &'static str,
    class: Class,
    permille: u32,
    /// What the router knows before the request.
    prepare: fn(&State),
    /// Status and number of requests at the backend servers, of which the first is never answered.
    expected: (u16, usize),
}

/// Guards against a request that waits for a slow target although a second attempt is allowed, and against a second
/// attempt where none is: by default, of a request that may not be repeated, in overload, and at a target that states a
/// limit.
const CASES: &[Case] = &[
    Case {
        name: "a second attempt is allowed",
        class: Class::Idempotent,
        permille: PERMILLE,
        prepare: |_| {},
        expected: (200, 2),
    },
    Case {
        name: "not set",
        class: Class::Idempotent,
        permille: 0,
        prepare: |_| {},
        expected: (504, 1),
    },
    Case {
        name: "not to be repeated",
        class: Class::NonIdempotent,
        permille: PERMILLE,
        prepare: |_| {},
        expected: (504, 1),
    },
    Case {
        name: "in overload",
        class: Class::Idempotent,
        permille: PERMILLE,
        prepare: |state| {
            let waiting = Outlook::new([Step {
                priority_max: u8::MAX,
                wait_us: 1,
            }]);
            // A statement from the future does not become too old during the test.
            let stated_at = state.now() + WAIT_TIMEOUT;
            let mut outlooks = state.outlooks.lock();
            for name in names() {
                let waiting = Some(waiting.clone());
                outlooks
                    .of(&service_name())
                    .record(&name, waiting, stated_at);
            }
        },
        expected: (504, 1),
    },
    Case {
        name: "the targets state a limit",
        class: Class::Idempotent,
        permille: PERMILLE,
        prepare: |state| {
            let pace = Pace {
                rate: Rate::from_millihertz(1_000_000),
                wait_us: 0,
            };
            let now = state.now();
            for name in names() {
                state.routing.lock().apply_pace(&name, Some(pace), now);
            }
        },
        expected: (504, 1),
    },
];

fn names() -> [instance::Name; 2] {
    ["i-0", "i-1"].map(|name| instance::Name::new(name).expect("a valid name"))
}

/// Starts a backend server that does not answer the first request of all that share `log`, and signals when its
/// connection is closed.
async fn backend_server(log: Arc<RequestLog>, closed: Arc<Notify>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, Arc::clone(&log), Arc::clone(&closed)));
        }
    });
    address
}

async fn serve(mut stream: TcpStream, log: Arc<RequestLog>, closed: Arc<Notify>) {
    let mut is_unanswered = false;
    while let Some(head) = read_head(&mut stream).await {
        let mut reply = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".to_owned();
        if !head.starts_with("GET /healthz") {
            if log.received.fetch_add(1, Ordering::SeqCst) == 0 {
                is_unanswered = true;
                continue;
            }
            let id = header(&head, "shallotrill-request").unwrap_or_default();
            reply = COMPLETE.replace("{id}", id);
        }
        if stream.write_all(reply.as_bytes()).await.is_err() {
            break;
        }
    }
    if is_unanswered {
        closed.notify_one();
    }
}

#[tokio::test]
async fn slow_requests_get_a_second_attempt_where_it_is_allowed() {
    for case in CASES {
        let (log, closed) = (Arc::new(RequestLog::default()), Arc::new(Notify::new()));
        let one = backend_server(Arc::clone(&log), Arc::clone(&closed)).await;
        let two = backend_server(Arc::clone(&log), Arc::clone(&closed)).await;
        let fixture = fixture_with(case.class, &[one, two], &|settings| {
            settings.second_attempt_permille = case.permille;
        })
        .await;
        let state = fixture.routers[0].state();
        let now = state.now();
        let mut seconds = state.seconds.lock();
        for _ in 0..40 {
            let service = seconds.of(&service_name(), PERMILLE, now);
            service.record_request();
            service.record_latency(Duration::from_millis(1), now);
        }
        drop(seconds);
        for _ in 0..4 {
            // Earns the retry that the second attempt is charged as.
            state.record_first_attempt(&service_name());
        }
        (case.prepare)(&state);
        let (status, _) = fixture.get("/a/b").await;
        let received = log.received.load(Ordering::SeqCst);
        assert_eq!((status, received), case.expected, "{}", case.name);
        // The attempt that is not needed is cancelled at its target.
        let cancelled = time::timeout(WAIT_TIMEOUT, closed.notified()).await;
        assert!(cancelled.is_ok(), "{}", case.name);
        fixture.stop().await;
    }
}
