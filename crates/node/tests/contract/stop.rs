//! The planned stop of a node.

use std::future;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time;

use crate::common;
use crate::common::LIMIT;

struct Case {
    name: &'static str,
    path: &'static str,
    drain: Duration,
    /// Whether the backend server answers.
    answered: bool,
    /// Whether the stop is asked for again.
    again: bool,
}

/// Guards against a stop that cuts requests off, and against one that never ends.
const STOPS: &[Case] = &[
    Case {
        name: "requests in flight finish",
        path: "/hold",
        drain: LIMIT,
        answered: true,
        again: false,
    },
    Case {
        name: "an answer in the middle of its body finishes",
        path: "/stream",
        drain: LIMIT,
        answered: true,
        again: false,
    },
    Case {
        name: "the limit passes",
        path: "/hold",
        drain: Duration::from_millis(200),
        answered: false,
        again: false,
    },
    Case {
        name: "the stop is asked for again",
        path: "/stream",
        drain: LIMIT,
        answered: false,
        again: true,
    },
];

#[tokio::test]
async fn stops() {
    for case in STOPS {
        let site = common::start(common::spec(), case.drain).await;
        let caller = site.caller();
        let sent = format!("GET {} HTTP/1.1\r\nhost: s\r\n\r\n", case.path);
        let asking = tokio::spawn(async move { common::exchange(caller, &sent).await });
        site.settle(4, |_| site.backend.held.load(Ordering::Relaxed) == 1)
            .await;
        let backend = Arc::clone(&site.backend);
        let again = case.again;
        let stopping = tokio::spawn(site.node.stop(async move {
            if !again {
                future::pending::<()>().await;
            }
        }));
        let refused = async {
            while TcpStream::connect(caller).await.is_ok() {
                time::sleep(Duration::from_millis(5)).await;
            }
        };
        time::timeout(LIMIT, refused).await.expect("no new callers");
        if case.answered {
            backend.hold.add_permits(1);
        }
        let whole = time::timeout(LIMIT, stopping).await.expect("an end");
        assert_eq!(whole.expect("no panic"), case.answered, "{}", case.name);
        if case.answered {
            let answer = asking.await.expect("no panic");
            assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
            let end = match case.path {
                "/hold" => "done",
                // The last chunk shows that the answer is whole. Its head may have gone before the stop.
                _ => "4\r\ndone\r\n0\r\n\r\n",
            };
            assert!(answer.ends_with(end), "{answer}");
            let told = answer.contains("connection: close");
            assert!(told || case.path == "/stream", "{answer}");
        }
        assert_eq!(backend.held.load(Ordering::Relaxed), 1, "{}", case.name);
    }
}
