//! Requests that reach a router while it stops.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time;

use crate::COMPLETE;
use crate::RequestLog;
use crate::WAIT_TIMEOUT;
use crate::backend_server;
use crate::fixture;
use shallotrill_model::class::Class;

/// Time from the head of the request to the stop.
const BEFORE_STOP: Duration = Duration::from_millis(100);

/// Time from the stop until the body is complete. The grace period is 2 s, the listeners stop after 0.8 s, and the
/// request may last until 1.4 s after that.
const BODY_DELAY: Duration = Duration::from_millis(1_000);

/// Guards against a request that is complete only late in the grace period, is passed on, and is cut at its end without
/// an answer.
#[tokio::test]
async fn a_late_request_is_cut_at_the_end_of_the_grace_period() {
    let log = Arc::new(RequestLog::default());
    let one = backend_server(COMPLETE, Arc::clone(&log)).await;
    let two = backend_server(COMPLETE, Arc::clone(&log)).await;
    // The target of the stopping router is withdrawn early, so the request is for the other one.
    let mut fixture = fixture(Class::NonIdempotent, &[one, two]).await;
    let router = fixture.routers.pop().expect("a router");
    let address = router.state().settings.caller_listen;
    let mut stream = TcpStream::connect(address).await.expect("connected");
    let stopping = tokio::spawn(async move {
        time::sleep(BEFORE_STOP).await;
        router.stop().await
    });
    // The head arrives as late as the listeners allow, so that the request may outlast the grace period.
    time::sleep(Duration::from_millis(800)).await;
    let head = "GET /a/never HTTP/1.1\r\nHost: host\r\nshallotrill-request: one\r\nContent-Length: 4\r\n\r\nbo";
    stream.write_all(head.as_bytes()).await.expect("sent");
    time::sleep(BEFORE_STOP + BODY_DELAY - Duration::from_millis(800)).await;
    stream.write_all(b"dy").await.expect("sent");
    let mut response = Vec::new();
    let read = time::timeout(WAIT_TIMEOUT, stream.read_to_end(&mut response)).await;
    read.expect("an end").expect("a complete response");
    let response = String::from_utf8_lossy(&response).into_owned();
    assert!(response.starts_with("HTTP/1.1 503 "), "{response:?}");
    assert!(response.contains("retry-after: "), "{response:?}");
    assert_eq!(log.received.load(Ordering::SeqCst), 0);
    assert!(stopping.await.expect("no panic in another thread"));
}
