//! Pool of HTTP/2 connections to other nodes.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http2;
use hyper::client::conn::http2::SendRequest;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use log::debug;
use tokio::sync::OnceCell;
use tokio::time;

use crate::failure::Failure;
use crate::flow;
use shallotrill_locks::Mutex;
use shallotrill_locks::Rank;
use shallotrill_model::time::Instant;
use shallotrill_wire::dial;
use shallotrill_wire::listen;
use shallotrill_wire::status;

/// Parameters of a [`Pool`].
#[derive(Clone, Copy, Debug)]
pub struct Config {
    connections: usize,
    connect_timeout: Duration,
    ping_interval: Duration,
    ping_timeout: Duration,
    idle_timeout: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            connections: 2,
            connect_timeout: Duration::from_millis(500),
            ping_interval: Duration::from_millis(250),
            ping_timeout: Duration::from_millis(500),
            idle_timeout: Duration::from_mins(1),
        }
    }
}

impl Config {
    /// Sets the number of connections to each node; 2 by default, so that one lost packet delays only some requests.
    #[must_use]
    pub fn connections(mut self, connections: usize) -> Self {
        self.connections = connections.max(1);
        self
    }

    /// Sets the timeout for opening a connection; 500 ms by default.
    #[must_use]
    pub const fn connect_timeout(mut self, timeout: Duration) -> Self {
        self.connect_timeout = timeout;
        self
    }

    /// Sets the interval of pings while a response is outstanding; 250 ms by default.
    #[must_use]
    pub const fn ping_interval(mut self, interval: Duration) -> Self {
        self.ping_interval = interval;
        self
    }

    /// Sets the time after which an unanswered ping closes the connection; 500 ms by default.
    #[must_use]
    pub const fn ping_timeout(mut self, timeout: Duration) -> Self {
        self.ping_timeout = timeout;
        self
    }

    /// Sets the time after which connections to a node that is no longer called are closed; 60 s by default.
    #[must_use]
    pub const fn idle_timeout(mut self, timeout: Duration) -> Self {
        self.idle_timeout = timeout;
        self
    }
}

type Sender = SendRequest<Full<Bytes>>;

/// The connections to one node. The first request that uses a slot opens its connection; others wait for it.
struct Entry {
    address: SocketAddr,
    slots: Vec<Arc<OnceCell<Sender>>>,
    next: usize,
    last_used: Instant,
}

/// Counters of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Nodes with connection slots.
    pub nodes: usize,
    /// Connections opened since the start of the process.
    pub opened: u64,
    /// Connections found closed and replaced since the start of the process.
    pub replaced: u64,
}

/// Pool of connections to other nodes.
pub struct Pool {
    config: Config,
    /// Sorted by address.
    entries: Mutex<Vec<Entry>>,
    opened: AtomicU64,
    replaced: AtomicU64,
}

impl fmt::Debug for Pool {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Pool")
            .field("config", &self.config)
            .finish_non_exhaustive()
    }
}

impl Pool {
    /// Creates a pool without connections.
    pub const fn new(config: Config) -> Self {
        Self {
            config,
            entries: Mutex::new(Rank::Pool, Vec::new()),
            opened: AtomicU64::new(0),
            replaced: AtomicU64::new(0),
        }
    }

    /// Sends a request to the node at `address` and waits up to `timeout` for the head of the response.
    ///
    /// # Errors
    ///
    /// Returns a [`Failure`] that states whether the request may have arrived.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        timeout: Duration,
        now: Instant,
    ) -> Result<Response<Incoming>, Failure> {
        let sending = self.send_without_timeout(address, request, now);
        match time::timeout(timeout, sending).await {
            Ok(result) => result,
            Err(_) => Err(Failure::Timeout {
                address,
                waited: timeout,
            }),
        }
    }

    async fn send_without_timeout(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        now: Instant,
    ) -> Result<Response<Incoming>, Failure> {
        let first = self.sender(address, now).await?;
        let request = match try_send(first, address, request).await {
            SendOutcome::Done(result) => return result,
            SendOutcome::Unsent(request) => request,
        };
        // The connection was closed while idle. The request was not sent, so it is sent once more on another connection.
        let second = self.sender(address, now).await?;
        match try_send(second, address, request).await {
            SendOutcome::Done(result) => result,
            SendOutcome::Unsent(_) => Err(Failure::NotSent { address }),
        }
    }

    /// Returns a connection to the node, which is opened if the slot is empty.
    async fn sender(&self, address: SocketAddr, now: Instant) -> Result<Sender, Failure> {
        let slot = self.slot(address, now);
        let sender = slot
            .get_or_try_init(|| self.open(address))
            .await
            .map_err(|cause| Failure::Connect { address, cause })?;
        Ok(sender.clone())
    }

    /// Returns the next slot in round-robin order; a slot with a closed connection is replaced by an empty one.
    fn slot(&self, address: SocketAddr, now: Instant) -> Arc<OnceCell<Sender>> {
        let mut entries = self.entries.lock();
        let index = match entries.binary_search_by(|entry| entry.address.cmp(&address)) {
            Ok(index) => index,
            Err(index) => {
                let slots = (0..self.config.connections)
                    .map(|_| Arc::new(OnceCell::new()))
                    .collect();
                let entry = Entry {
                    address,
                    slots,
                    next: 0,
                    last_used: now,
                };
                entries.insert(index, entry);
                index
            }
        };
        let entry = &mut entries[index];
        entry.last_used = now;
        entry.next = (entry.next + 1) % entry.slots.len();
        let slot = &mut entry.slots[entry.next];
        if slot.get().is_some_and(SendRequest::is_closed) {
            *slot = Arc::new(OnceCell::new());
            self.replaced.fetch_add(1, Ordering::Relaxed);
        }
        Arc::clone(slot)
    }

    async fn open(&self, address: SocketAddr) -> Result<Sender, io::Error> {
        let stream = dial::open(address, self.config.connect_timeout).await?;
        listen::configure_stream(&stream, self.config.ping_timeout)?;
        let handshake = http2::Builder::new(TokioExecutor::new())
            .timer(TokioTimer::new())
            .keep_alive_interval(self.config.ping_interval)
            .keep_alive_timeout(self.config.ping_timeout)
            .keep_alive_while_idle(false)
            .initial_stream_window_size(flow::STREAM_WINDOW_BYTES)
            .initial_connection_window_size(flow::CONNECTION_WINDOW_BYTES)
            .max_frame_size(flow::FRAME_BYTES)
            .max_send_buf_size(flow::SEND_BUFFER_BYTES)
            .handshake(TokioIo::new(stream));
        let (sender, connection) = time::timeout(self.config.connect_timeout, handshake)
            .await
            .or(Err(io::Error::from(io::ErrorKind::TimedOut)))?
            .map_err(io::Error::other)?;
        self.opened.fetch_add(1, Ordering::Relaxed);
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                debug!(event = "peer-connection-lost", address = address.to_string().as_str(); "connection to node {address} failed: {error}");
            }
        });
        Ok(sender)
    }

    /// Closes the connections to nodes that were not called within the idle timeout. Returns the number of removed nodes.
    pub fn close_idle(&self, now: Instant) -> usize {
        let mut entries = self.entries.lock();
        let before = entries.len();
        entries.retain(|entry| now.since(entry.last_used) < self.config.idle_timeout);
        before - entries.len()
    }

    /// Counters for the state dump.
    pub fn counts(&self) -> Counts {
        Counts {
            nodes: self.entries.lock().len(),
            opened: self.opened.load(Ordering::Relaxed),
            replaced: self.replaced.load(Ordering::Relaxed),
        }
    }
}

/// Result of sending a request on a connection.
enum SendOutcome {
    Done(Result<Response<Incoming>, Failure>),
    Unsent(Request<Full<Bytes>>),
}

async fn try_send(
    mut sender: Sender,
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> SendOutcome {
    match sender.try_send_request(request).await {
        Ok(response) if status::is_final(response.status()) => SendOutcome::Done(Ok(response)),
        Ok(response) => SendOutcome::Done(Err(Failure::InvalidStatus {
            address,
            status: response.status(),
        })),
        Err(mut error) => match error.take_message() {
            Some(request) => SendOutcome::Unsent(request),
            None => SendOutcome::Done(Err(Failure::Lost {
                address,
                cause: error.into_error(),
            })),
        },
    }
}
