//! The HTTP/2 listener for other nodes.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use http::Request;
use http::Response;
use hyper::body::Incoming;
use hyper::server::conn::http2;
use hyper::service::service_fn;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use log::debug;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time;

use shallotrill_wire::body;
use shallotrill_wire::body::Body;
use shallotrill_wire::listen;
use shallotrill_wire::listen::Listener;

/// Unacknowledged bytes to another node close its connection after this time.
const USER_TIMEOUT: Duration = Duration::from_secs(5);

/// A connection without traffic is pinged after this time, so that dead nodes leave no connections behind.
const PING_INTERVAL: Duration = Duration::from_secs(20);

/// An unanswered ping closes the connection after this time.
const PING_TIMEOUT: Duration = Duration::from_secs(5);

/// A connection without a request in flight ends this long after a stop, also when the other node
/// does not confirm its end: one that is suspended or without power never does.
const CLOSE_LIMIT: Duration = Duration::from_millis(500);

/// Most requests of one other node in flight on one connection.
const STREAMS_MAX: u32 = 1_000;

/// The future of one answer.
pub type Answer = Pin<Box<dyn Future<Output = Response<Body>> + Send>>;

/// The function that answers one forwarded request.
pub type Handler = Arc<dyn Fn(Request<Incoming>) -> Answer + Send + Sync>;

/// Serves other nodes until `stop` becomes true and every request in flight is answered.
pub async fn run(
    listener: Listener,
    connections_max: usize,
    stop: watch::Receiver<bool>,
    handler: Handler,
) {
    let watched = stop.clone();
    let serve = move |stream, _| connection(stream, watched.clone(), Arc::clone(&handler));
    listener.run(connections_max, stop, serve).await;
}

async fn connection(stream: TcpStream, mut stop: watch::Receiver<bool>, handler: Handler) {
    if let Err(error) = listen::tune(&stream, USER_TIMEOUT) {
        debug!(event = "socket-option-failed"; "{error}");
    }
    // Each answer holds a copy until its body has ended.
    let flights = Arc::new(());
    let watched = Arc::downgrade(&flights);
    let service = service_fn(move |request| {
        let answer = handler(request);
        let flight = Arc::clone(&flights);
        async move {
            let answer = answer.await;
            Ok::<_, Infallible>(answer.map(|whole| body::holding(whole, flight)))
        }
    });
    // The service itself holds one.
    let is_idle = || watched.strong_count() <= 1;
    let connection = http2::Builder::new(TokioExecutor::new())
        .timer(TokioTimer::new())
        .keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_TIMEOUT)
        .max_concurrent_streams(STREAMS_MAX)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = listen::stopped(&mut stop) => {
            connection.as_mut().graceful_shutdown();
            loop {
                tokio::select! {
                    ended = connection.as_mut() => break ended,
                    () = time::sleep(CLOSE_LIMIT) => if is_idle() { return },
                }
            }
        }
    };
    if let Err(error) = ended {
        debug!(event = "peer-connection-lost"; "{error}");
    }
}
