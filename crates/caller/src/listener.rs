//! The HTTP/1.1 listener for callers.

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

use crate::head::Scan;
use crate::head::Watched;
use shallotrill_wire::body::Body;
use shallotrill_wire::hop::HeadError;
use shallotrill_wire::listen;
use shallotrill_wire::listen::Listener;

/// Unacknowledged bytes to a caller close its connection after this time.
const USER_TIMEOUT: Duration = Duration::from_secs(20);

/// The future of one answer.
pub type Answer = Pin<Box<dyn Future<Output = Response<Body>> + Send>>;

/// The function that answers one request.
pub type Handler = Arc<dyn Fn(Request<Incoming>) -> Answer + Send + Sync>;

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
    /// Sets the most bytes of a request head; 16 KiB by default, at least 8 KiB.
    #[must_use]
    pub fn header_bytes(mut self, bytes: usize) -> Self {
        // hyper refuses smaller buffers.
        self.header_bytes = bytes.max(8 * 1024);
        self
    }

    /// Sets the longest time for a request head to arrive; 5 s by default.
    #[must_use]
    pub const fn header_timeout(mut self, timeout: Duration) -> Self {
        self.header_timeout = timeout;
        self
    }

    /// Sets the most connections open at once; 10,000 by default.
    #[must_use]
    pub const fn connections_max(mut self, connections: usize) -> Self {
        self.connections_max = connections;
        self
    }
}

/// Serves callers until `stop` becomes true and every request in flight is answered.
pub async fn run(
    listener: Listener,
    config: Config,
    stop: watch::Receiver<bool>,
    handler: Handler,
) {
    let watched = stop.clone();
    let serve = move |stream, _| {
        let handler = Arc::clone(&handler);
        connection(stream, config, watched.clone(), handler)
    };
    listener.run(config.connections_max, stop, serve).await;
}

async fn connection(
    stream: TcpStream,
    config: Config,
    mut stop: watch::Receiver<bool>,
    handler: Handler,
) {
    if let Err(error) = listen::tune(&stream, USER_TIMEOUT) {
        debug!(event = "socket-option-failed"; "{error}");
    }
    let scan = Scan::default();
    let verdict = scan.verdict();
    let requests = AtomicU64::new(0);
    let service = service_fn(move |mut request: Request<Incoming>| {
        if verdict.is_ambiguous(requests.fetch_add(1, Ordering::Relaxed)) {
            request.extensions_mut().insert(HeadError::TwoLengths);
        }
        let last = is_last(&request);
        let answer = handler(request);
        async move {
            let mut answer = answer.await;
            if last {
                let close = HeaderValue::from_static("close");
                answer.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<_, Infallible>(answer)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(config.header_timeout)
        .max_buf_size(config.header_bytes)
        .serve_connection(TokioIo::new(Watched::new(stream, scan)), service);
    let mut connection = std::pin::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = listen::stopped(&mut stop) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        report(&error);
    }
}

/// Whether the connection must not carry another request after this one.
///
/// [`Scan`] does not follow chunked bodies. RFC 9112, section 6.1, asks for it
/// where a length is stated too: what an earlier reader may have counted to
/// another request is then never read as one.
fn is_last(request: &Request<Incoming>) -> bool {
    request.headers().contains_key(header::TRANSFER_ENCODING)
}

fn report(error: &hyper::Error) {
    let kind = if error.is_parse() {
        "invalid-http"
    } else if error.is_timeout() {
        "header-timeout"
    } else {
        "connection-lost"
    };
    debug!(event = kind; "{error}");
}

impl fmt::Display for Config {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} bytes of head in {:?}, {} connections",
            self.header_bytes, self.header_timeout, self.connections_max
        )
    }
}
