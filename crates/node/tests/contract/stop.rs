//! Tests of the graceful stop of a node.

use std::future;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time;

use crate::common;
use crate::common::WAIT_TIMEOUT;

struct Case {
    name: &'static str,
    path: &'static str,
    drain: Duration,
    /// Whether the backend server answers.
    answered: bool,
    /// Whether an immediate stop is requested after the graceful stop.
    forced: bool,
}

/// Guards against a stop that aborts requests in flight, and against one that never ends.
const STOPS: &[Case] = &[
    Case {
        name: "requests in flight finish",
        path: "/hold",
        drain: WAIT_TIMEOUT,
        answered: true,
        forced: false,
    },
    Case {
        name: "a response in the middle of its body finishes",
        path: "/stream",
        drain: WAIT_TIMEOUT,
        answered: true,
        forced: false,
    },
    Case {
        name: "the drain limit passes",
        path: "/hold",
        drain: Duration::from_millis(200),
        answered: false,
        forced: false,
    },
    Case {
        name: "an immediate stop is requested",
        path: "/stream",
        drain: WAIT_TIMEOUT,
        answered: false,
        forced: true,
    },
];

#[tokio::test]
async fn stops() {
    for case in STOPS {
        let fixture = common::start(common::spec(), case.drain).await;
        let caller = fixture.caller();
        let sent = format!("GET {} HTTP/1.1\r\nhost: s\r\n\r\n", case.path);
        let response = tokio::spawn(async move { common::send_raw(caller, &sent).await });
        fixture
            .wait_until(4, |_| fixture.backend.held.load(Ordering::Relaxed) == 1)
            .await;
        let backend = Arc::clone(&fixture.backend);
        let forced = case.forced;
        let stopping = tokio::spawn(fixture.node.stop(async move {
            if !forced {
                future::pending::<()>().await;
            }
        }));
        let refused = async {
            while TcpStream::connect(caller).await.is_ok() {
                time::sleep(Duration::from_millis(5)).await;
            }
        };
        time::timeout(WAIT_TIMEOUT, refused)
            .await
            .expect("the listener closes");
        if case.answered {
            backend.hold.add_permits(1);
        }
        let finished = time::timeout(WAIT_TIMEOUT, stopping)
            .await
            .expect("the node stops");
        assert_eq!(
            finished.expect("the task does not panic"),
            case.answered,
            "{}",
            case.name
        );
        if case.answered {
            let answer = response.await.expect("the task does not panic");
            assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
            let end = match case.path {
                "/hold" => "done",
                // The last chunk shows that the response is complete. Its head may have been sent before the stop.
                _ => "4\r\ndone\r\n0\r\n\r\n",
            };
            assert!(answer.ends_with(end), "{answer}");
            let announces_close = answer.contains("connection: close");
            assert!(announces_close || case.path == "/stream", "{answer}");
        }
        assert_eq!(backend.held.load(Ordering::Relaxed), 1, "{}", case.name);
    }
}
