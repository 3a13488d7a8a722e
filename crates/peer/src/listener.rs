//! HTTP/2 listener for other nodes.

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

use crate::flow;
use shallotrill_wire::body;
use shallotrill_wire::body::Body;
use shallotrill_wire::connection::Tracker;
use shallotrill_wire::listen;
use shallotrill_wire::listen::Limit;
use shallotrill_wire::listen::Listener;

/// TCP user timeout: a connection is closed when bytes to the other node remain unacknowledged for this time.
const USER_TIMEOUT: Duration = Duration::from_secs(5);

/// Idle time after which a connection is pinged, so that connections of crashed nodes are closed.
const PING_INTERVAL: Duration = Duration::from_secs(20);

/// Time after which an unanswered ping closes the connection.
const PING_TIMEOUT: Duration = Duration::from_secs(5);

/// Time after a stop until a connection without requests in flight is dropped, even if the other node
/// has not confirmed the shutdown. A node that is suspended or without power never confirms it.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Future of the response to one request.
pub type ResponseFuture = Pin<Box<dyn Future<Output = Response<Body>> + Send>>;

/// Function that handles one forwarded request.
pub type Handler = Arc<dyn Fn(Request<Incoming>) -> ResponseFuture + Send + Sync>;

/// Serves other nodes until `stop` becomes true and the requests in flight have finished.
pub async fn run(
    listener: Listener,
    connections_max: usize,
    stop: watch::Receiver<bool>,
    handler: Handler,
) {
    let connection_stop = stop.clone();
    let serve =
        move |stream, _| connection(stream, connection_stop.clone(), Arc::clone(&handler), None);
    listener.run(connections_max, stop, serve).await;
}

/// Serves other nodes as [`run`] does, and closes idle connections for new ones at the limit.
pub async fn run_within(
    listener: Listener,
    limit: Arc<Limit>,
    stop: watch::Receiver<bool>,
    handler: Handler,
) {
    let connection_stop = stop.clone();
    let serve = move |stream, tracker| {
        let (handler, stop) = (Arc::clone(&handler), connection_stop.clone());
        connection(stream, stop, handler, Some(tracker))
    };
    listener.run_within(limit, stop, serve).await;
}

async fn connection(
    stream: TcpStream,
    mut stop: watch::Receiver<bool>,
    handler: Handler,
    tracker: Option<Arc<Tracker>>,
) {
    if let Err(error) = listen::configure_stream(&stream, USER_TIMEOUT) {
        debug!(event = "socket-option-failed"; "setting the socket options of a peer connection failed: {error}");
    }
    // Each request keeps a clone until its response body has ended.
    let request_guard = Arc::new(());
    let weak_guard = Arc::downgrade(&request_guard);
    let service = service_fn(move |request| {
        let response = handler(request);
        let busy = tracker.as_ref().map(Tracker::begin);
        let guard = (Arc::clone(&request_guard), busy);
        async move {
            let response = response.await;
            Ok::<_, Infallible>(response.map(|body| body::with_guard(body, guard)))
        }
    });
    // The service function itself keeps one reference.
    let is_idle = || weak_guard.strong_count() <= 1;
    let connection = http2::Builder::new(TokioExecutor::new())
        .timer(TokioTimer::new())
        .keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_TIMEOUT)
        .max_concurrent_streams(flow::STREAMS_MAX)
        .initial_stream_window_size(flow::STREAM_WINDOW_BYTES)
        .initial_connection_window_size(flow::CONNECTION_WINDOW_BYTES)
        .max_frame_size(flow::FRAME_BYTES)
        .max_send_buf_size(flow::SEND_BUFFER_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = listen::stopped(&mut stop) => {
            connection.as_mut().graceful_shutdown();
            loop {
                tokio::select! {
                    result = connection.as_mut() => break result,
                    () = time::sleep(CLOSE_TIMEOUT) => if is_idle() { return },
                }
            }
        }
    };
    if let Err(error) = result {
        debug!(event = "peer-connection-lost"; "connection of another node failed: {error}");
    }
}
