//! HTTP/1.1 listener for callers.

use std::convert::Infallible;
use std::fmt;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::HeaderValue;
use http::Request;
use http::Response;
use http::header;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use log::debug;
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::head::HeadScanner;
use crate::head::ScannedStream;
use shallotrill_wire::body::Body;
use shallotrill_wire::connection::GuardedBody;
use shallotrill_wire::connection::Tracker;
use shallotrill_wire::hop::HeadError;
use shallotrill_wire::listen;
use shallotrill_wire::listen::Limit;
use shallotrill_wire::listen::Listener;
use shallotrill_wire::progress;

/// TCP user timeout: a connection is closed when bytes to the caller remain unacknowledged for this time.
const USER_TIMEOUT: Duration = Duration::from_secs(20);

/// Future of the response to one request.
pub type ResponseFuture = Pin<Box<dyn Future<Output = Response<Body>> + Send>>;

/// Function that handles one request.
pub type Handler = Arc<dyn Fn(Request<Incoming>) -> ResponseFuture + Send + Sync>;

/// Limits of the listener.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    header_bytes: usize,
    header_timeout: Duration,
    connections_max: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            header_timeout: Duration::from_secs(5),
            connections_max: 10_000,
        }
    }
}

impl Config {
    /// Sets the maximum size of a request head; 16 KiB by default, at least 8 KiB.
    #[must_use]
    pub fn header_bytes(mut self, bytes: usize) -> Self {
        // hyper refuses smaller buffers.
        self.header_bytes = bytes.max(8 * 1024);
        self
    }

    /// Sets the time within which a request head must arrive; 5 s by default.
    #[must_use]
    pub const fn header_timeout(mut self, timeout: Duration) -> Self {
        self.header_timeout = timeout;
        self
    }

    /// Sets the maximum number of open connections; 10,000 by default.
    #[must_use]
    pub const fn connections_max(mut self, connections: usize) -> Self {
        self.connections_max = connections;
        self
    }
}

/// Serves callers until `stop` becomes true and the requests in flight have finished.
pub async fn run(
    listener: Listener,
    config: Config,
    stop: watch::Receiver<bool>,
    handler: Handler,
) {
    let connection_stop = stop.clone();
    let serve = move |stream, _| {
        let handler = Arc::clone(&handler);
        connection(stream, config, connection_stop.clone(), handler, None)
    };
    listener.run(config.connections_max, stop, serve).await;
}

/// Serves callers as [`run`] does, with the limit and budget of the process instead of the limit of the configuration.
pub async fn run_within(
    listener: Listener,
    config: Config,
    limit: Arc<Limit>,
    stop: watch::Receiver<bool>,
    handler: Handler,
) {
    let connection_stop = stop.clone();
    let serve = move |stream, tracker| {
        let (handler, stop) = (Arc::clone(&handler), connection_stop.clone());
        connection(stream, config, stop, handler, Some(tracker))
    };
    listener.run_within(limit, stop, serve).await;
}

async fn connection(
    stream: TcpStream,
    config: Config,
    mut stop: watch::Receiver<bool>,
    handler: Handler,
    tracker: Option<Arc<Tracker>>,
) {
    if let Err(error) = listen::configure_stream(&stream, USER_TIMEOUT) {
        debug!(event = "socket-option-failed"; "setting the socket options of a caller connection failed: {error}");
    }
    let scanner = HeadScanner::default();
    let verdict = scanner.verdict();
    let arrivals = scanner.arrivals();
    let requests = AtomicU64::new(0);
    let budget = tracker.as_ref().map(|t| Arc::clone(t.budget()));
    let service = service_fn(move |mut request: Request<Incoming>| {
        if verdict.is_ambiguous(requests.fetch_add(1, Ordering::Relaxed)) {
            request.extensions_mut().insert(HeadError::TwoLengths);
        }
        if let Some(arrival) = arrivals.next() {
            request.extensions_mut().insert(arrival);
        }
        let closes = must_close(&request);
        let guard = tracker.as_ref().map(Tracker::begin);
        let response = handler(request);
        async move {
            let mut response = response.await;
            if closes {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<_, Infallible>(response.map(|body| GuardedBody::new(body, guard)))
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(config.header_timeout)
        .max_buf_size(config.header_bytes)
        .serve_connection(
            TokioIo::new(ScannedStream::new(
                progress::Stream::new(stream, budget),
                scanner,
            )),
            service,
        );
    let mut connection = std::pin::pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = listen::stopped(&mut stop) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        log_connection_error(&error);
    }
}

/// Whether the connection must not carry another request after this one.
///
/// [`HeadScanner`] does not parse chunked bodies, so it cannot find the head of the
/// next request. RFC 9112, section 6.1, requires the close if the request has a
/// length too: bytes that an upstream intermediary may have attributed to the body
/// are then never parsed as a request.
fn must_close(request: &Request<Incoming>) -> bool {
    request.headers().contains_key(header::TRANSFER_ENCODING)
}

fn log_connection_error(error: &hyper::Error) {
    let event = if error.is_parse() {
        "invalid-http"
    } else if error.is_timeout() {
        "header-timeout"
    } else {
        "connection-lost"
    };
    debug!(event = event; "connection of a caller failed: {error}");
}

impl fmt::Display for Config {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "heads of at most {} bytes within {:?}, at most {} connections",
            self.header_bytes, self.header_timeout, self.connections_max
        )
    }
}
