//! Connections to other nodes.

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
use shallotrill_locks::Mutex;
use shallotrill_locks::Rank;
use shallotrill_model::time::Instant;
use shallotrill_wire::dial;
use shallotrill_wire::listen;

/// Parameters of the connections.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    connections: usize,
    connect_timeout: Duration,
    ping_interval: Duration,
    ping_timeout: Duration,
    idle: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            connections: 2,
            connect_timeout: Duration::from_millis(500),
            ping_interval: Duration::from_millis(250),
            ping_timeout: Duration::from_millis(500),
            idle: Duration::from_mins(1),
        }
    }
}

impl Config {
    /// Sets the connections to each node; 2 by default, so that one lost packet delays only some requests.
    #[must_use]
    pub fn connections(mut self, connections: usize) -> Self {
        self.connections = connections.max(1);
        self
    }

    /// Sets the longest time to open a connection; 500 ms by default.
    #[must_use]
    pub const fn connect_timeout(mut self, timeout: Duration) -> Self {
        self.connect_timeout = timeout;
        self
    }

    /// Sets the pause after which a connection that owes an answer is pinged; 250 ms by default.
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
    pub const fn idle(mut self, idle: Duration) -> Self {
        self.idle = idle;
        self
    }
}

type Sender = SendRequest<Full<Bytes>>;

/// The connections to one node. A place is filled by the first request that needs it; others wait for that one.
struct Entry {
    address: SocketAddr,
    places: Vec<Arc<OnceCell<Sender>>>,
    next: usize,
    used: Instant,
}

/// Counters of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Nodes with at least one place in use.
    pub nodes: usize,
    /// Connections opened since the start.
    pub opened: u64,
    /// Connections found closed and replaced since the start.
    pub replaced: u64,
}

/// Connections to other nodes.
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
    /// Makes a pool without connections.
    pub const fn new(config: Config) -> Self {
        Self {
            config,
            entries: Mutex::new(Rank::Pool, Vec::new()),
            opened: AtomicU64::new(0),
            replaced: AtomicU64::new(0),
        }
    }

    /// Sends a request to the node at `address` and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// Returns a [`Failure`] that says whether the request can have arrived.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        limit: Duration,
        now: Instant,
    ) -> Result<Response<Incoming>, Failure> {
        let sending = self.send_unlimited(address, request, now);
        match time::timeout(limit, sending).await {
            Ok(result) => result,
            Err(_) => Err(Failure::Timeout {
                address,
                waited: limit,
            }),
        }
    }

    async fn send_unlimited(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        now: Instant,
    ) -> Result<Response<Incoming>, Failure> {
        let first = self.sender(address, now).await?;
        let request = match try_send(first, address, request).await {
            Sent::Done(result) => return result,
            Sent::Unsent(request) => request,
        };
        // The connection closed while idle. The request was not sent, so one more connection may carry it.
        let second = self.sender(address, now).await?;
        match try_send(second, address, request).await {
            Sent::Done(result) => result,
            Sent::Unsent(_) => Err(Failure::NotSent { address }),
        }
    }

    /// A connection to the node, opened if there is none.
    async fn sender(&self, address: SocketAddr, now: Instant) -> Result<Sender, Failure> {
        let place = self.place(address, now);
        let sender = place
            .get_or_try_init(|| self.open(address))
            .await
            .map_err(|cause| Failure::Connect { address, cause })?;
        Ok(sender.clone())
    }

    /// The place whose turn it is; a closed connection in it is replaced by an empty place.
    fn place(&self, address: SocketAddr, now: Instant) -> Arc<OnceCell<Sender>> {
        let mut entries = self.entries.lock();
        let index = match entries.binary_search_by(|entry| entry.address.cmp(&address)) {
            Ok(index) => index,
            Err(index) => {
                let places = (0..self.config.connections)
                    .map(|_| Arc::new(OnceCell::new()))
                    .collect();
                let entry = Entry {
                    address,
                    places,
                    next: 0,
                    used: now,
                };
                entries.insert(index, entry);
                index
            }
        };
        let entry = &mut entries[index];
        entry.used = now;
        entry.next = (entry.next + 1) % entry.places.len();
        let place = &mut entry.places[entry.next];
        if place.get().is_some_and(SendRequest::is_closed) {
            *place = Arc::new(OnceCell::new());
            self.replaced.fetch_add(1, Ordering::Relaxed);
        }
        Arc::clone(place)
    }

    async fn open(&self, address: SocketAddr) -> Result<Sender, io::Error> {
        let stream = dial::open(address, self.config.connect_timeout).await?;
        listen::tune(&stream, self.config.ping_timeout)?;
        let handshake = http2::Builder::new(TokioExecutor::new())
            .timer(TokioTimer::new())
            .keep_alive_interval(self.config.ping_interval)
            .keep_alive_timeout(self.config.ping_timeout)
            .keep_alive_while_idle(false)
            .handshake(TokioIo::new(stream));
        let (sender, connection) = time::timeout(self.config.connect_timeout, handshake)
            .await
            .or(Err(io::Error::from(io::ErrorKind::TimedOut)))?
            .map_err(io::Error::other)?;
        self.opened.fetch_add(1, Ordering::Relaxed);
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                debug!(event = "peer-connection-lost", address = address.to_string().as_str(); "{error}");
            }
        });
        Ok(sender)
    }

    /// Closes the connections to nodes that were not called for a while. Returns how many nodes were dropped.
    pub fn close_idle(&self, now: Instant) -> usize {
        let mut entries = self.entries.lock();
        let before = entries.len();
        entries.retain(|entry| now.since(entry.used) < self.config.idle);
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

/// What became of a request that was given to a connection.
enum Sent {
    Done(Result<Response<Incoming>, Failure>),
    Unsent(Request<Full<Bytes>>),
}

async fn try_send(mut sender: Sender, address: SocketAddr, request: Request<Full<Bytes>>) -> Sent {
    match sender.try_send_request(request).await {
        Ok(response) => Sent::Done(Ok(response)),
        Err(mut error) => match error.take_message() {
            Some(request) => Sent::Unsent(request),
            None => Sent::Done(Err(Failure::Lost {
                address,
                cause: error.into_error(),
            })),
        },
    }
}
