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

/// Time from the stop until the head of the request is sent. The grace period is 2 s, and the listeners stop after 0.8 s.
const HEAD_AFTER: Duration = Duration::from_millis(700);

/// Time from the head until the body is complete. The request may last for 1.5 s from its head, and requests are aborted
/// 1.8 s after the stop.
const BODY_AFTER: Duration = Duration::from_millis(400);

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
    let stopping = tokio::spawn(async move { router.stop().await });
    time::sleep(HEAD_AFTER).await;
    let head = "GET /a/never HTTP/1.1\r\nHost: host\r\nshallotrill-request: one\r\nContent-Length: 4\r\n\r\nbo";
    stream.write_all(head.as_bytes()).await.expect("sent");
    time::sleep(BODY_AFTER).await;
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
