//! TCP listener with an accept loop and a graceful stop, and the socket options of streams.

use std::error;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use log::info;
use log::warn;
use socket2::SockRef;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use tokio::time;
use tokio_util::task::TaskTracker;

use crate::budget::Budget;
use crate::connection::Tracker;
use shallotrill_limits::connection;
use shallotrill_locks::Mutex;
use shallotrill_locks::Rank;

/// Interval before the next accept after a failed one, so that the loop does not spin when file descriptors are exhausted.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// A listener that could not be opened.
#[derive(Debug)]
pub struct Error {
    /// Requested address.
    pub address: SocketAddr,
    /// Why the listener could not be opened.
    pub cause: io::Error,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "cannot listen on {}: {}", self.address, self.cause)
    }
}

impl error::Error for Error {
    fn source(&self) -> Option<&(dyn error::Error + 'static)> {
        Some(&self.cause)
    }
}

/// A TCP socket that accepts connections.
#[derive(Debug)]
pub struct Listener {
    inner: TcpListener,
    address: SocketAddr,
}

impl Listener {
    /// Opens a listener.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] when the address cannot be listened on.
    pub async fn bind(address: SocketAddr) -> Result<Self, Error> {
        let failed = |cause| Error { address, cause };
        let inner = TcpListener::bind(address).await.map_err(failed)?;
        let address = inner.local_addr().map_err(failed)?;
        Ok(Self { inner, address })
    }

    /// The bound address, with the port that the system chose if port 0 was requested.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Accepts connections until `stop` becomes true, then waits until the open ones are closed.
    ///
    /// `serve` handles one connection. It must watch `stop` itself, because only
    /// it knows when no request of the connection is in flight. At most
    /// `connections_max` connections are open at once; further ones wait in the backlog.
    ///
    /// # Panics
    ///
    /// Never: the semaphore is not closed.
    pub async fn run<F, S>(self, connections_max: usize, mut stop: watch::Receiver<bool>, serve: S)
    where
        F: Future<Output = ()> + Send + 'static,
        S: Fn(TcpStream, SocketAddr) -> F,
    {
        let permits = Arc::new(Semaphore::new(connections_max));
        let tracker = TaskTracker::new();
        loop {
            let permit = tokio::select! {
                () = stopped(&mut stop) => break,
                permit = Arc::clone(&permits).acquire_owned() => permit,
            };
            let permit = permit.expect("the semaphore is not closed");
            let accepted = tokio::select! {
                () = stopped(&mut stop) => break,
                accepted = self.inner.accept() => accepted,
            };
            match accepted {
                Ok((stream, from)) => {
                    let connection = serve(stream, from);
                    tracker.spawn(async move {
                        connection.await;
                        drop(permit);
                    });
                }
                Err(cause) => {
                    warn!(event = "accept-failed", address = self.address.to_string().as_str(); "accepting a connection failed: {cause}");
                    time::sleep(ACCEPT_RETRY_INTERVAL).await;
                }
            }
        }
        drop(self.inner);
        tracker.close();
        tracker.wait().await;
    }
}

/// Interval at which a full listener without an idle connection looks for one again.
const FULL_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Time without a closed connection after which a listener counts as no longer full.
const FULL_PERIOD: Duration = Duration::from_secs(5);

/// Limit on the connections of a listener, with the budget of its process.
#[derive(Debug)]
pub struct Limit {
    name: &'static str,
    connections_max: usize,
    budget: Arc<Budget>,
    open: Mutex<Vec<Arc<Tracker>>>,
    closed: AtomicU64,
    is_full: AtomicBool,
}

impl Limit {
    /// Creates a limit. `name` is that of the listener in log lines and metrics.
    pub fn new(name: &'static str, connections_max: usize, budget: Arc<Budget>) -> Arc<Self> {
        Arc::new(Self {
            name,
            connections_max: connections_max.max(1),
            budget,
            open: Mutex::new(Rank::Report, Vec::new()),
            closed: AtomicU64::new(0),
            is_full: AtomicBool::new(false),
        })
    }

    /// Name of the listener.
    pub const fn name(&self) -> &'static str {
        self.name
    }

    /// Number of open connections.
    pub fn open(&self) -> usize {
        self.open.lock().len()
    }

    /// Number of idle connections that were closed for new ones.
    pub fn closed(&self) -> u64 {
        self.closed.load(Ordering::Relaxed)
    }

    fn close_idle(&self) {
        self.budget.mark_short();
        if !self.is_full.swap(true, Ordering::Relaxed) {
            warn!(event = "connections-cutback", listener = self.name, limit = self.connections_max; "idle and slow connections of this listener are closed for new ones: it has as many as it may have");
        }
        let open = self.open.lock();
        let states: Vec<_> = open.iter().map(|tracker| tracker.state()).collect();
        let chosen = connection::victim(&states, self.connections_max, self.budget.now());
        if let Some(task) = chosen.and_then(|index| open[index].task.get()) {
            self.closed.fetch_add(1, Ordering::Relaxed);
            task.abort();
        }
    }

    /// Waits for a free connection. While there is none, idle connections are closed.
    async fn acquire(&self, permits: &Arc<Semaphore>) -> OwnedSemaphorePermit {
        loop {
            if let Ok(permit) = Arc::clone(permits).try_acquire_owned() {
                return permit;
            }
            self.close_idle();
            let released = Arc::clone(permits).acquire_owned();
            if let Ok(Ok(permit)) = time::timeout(FULL_RETRY_INTERVAL, released).await {
                return permit;
            }
        }
    }

    /// Writes a log line once no connection was closed for new ones for a while, until `stop` becomes true.
    async fn watch(self: Arc<Self>, mut stop: watch::Receiver<bool>) {
        let mut closed = 0;
        loop {
            tokio::select! {
                () = time::sleep(FULL_PERIOD) => {}
                () = stopped(&mut stop) => return,
            }
            let before = std::mem::replace(&mut closed, self.closed());
            if closed == before
                && self.open() < self.connections_max
                && self.is_full.swap(false, Ordering::Relaxed)
            {
                info!(event = "connections-cutback-ended", listener = self.name, closed = closed; "connections of this listener are no longer closed for new ones");
            }
        }
    }
}

/// Removes a connection from the open ones on drop, also when its task is aborted.
struct OpenGuard {
    limit: Arc<Limit>,
    tracker: Arc<Tracker>,
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        let mut open = self.limit.open.lock();
        if let Some(index) = open.iter().position(|t| Arc::ptr_eq(t, &self.tracker)) {
            open.swap_remove(index);
        }
    }
}

impl Listener {
    /// Accepts connections as [`Listener::run`] does, but closes idle ones for new ones at the limit.
    ///
    /// `serve` must mark the connection as busy in its [`Tracker`] while a request is handled.
    pub async fn run_within<F, S>(
        self,
        limit: Arc<Limit>,
        mut stop: watch::Receiver<bool>,
        serve: S,
    ) where
        F: Future<Output = ()> + Send + 'static,
        S: Fn(TcpStream, Arc<Tracker>) -> F,
    {
        let permits = Arc::new(Semaphore::new(limit.connections_max));
        let tasks = TaskTracker::new();
        tokio::spawn(Arc::clone(&limit).watch(stop.clone()));
        loop {
            let accepted = tokio::select! {
                () = stopped(&mut stop) => break,
                accepted = self.inner.accept() => accepted,
            };
            let (stream, from) = match accepted {
                Ok(accepted) => accepted,
                Err(cause) => {
                    warn!(event = "accept-failed", address = self.address.to_string().as_str(); "accepting a connection failed: {cause}");
                    limit.close_idle();
                    time::sleep(ACCEPT_RETRY_INTERVAL).await;
                    continue;
                }
            };
            let permit = tokio::select! {
                () = stopped(&mut stop) => break,
                permit = limit.acquire(&permits) => permit,
            };
            let tracker = Tracker::new(from.ip(), Arc::clone(&limit.budget));
            limit.open.lock().push(Arc::clone(&tracker));
            let guard = OpenGuard {
                limit: Arc::clone(&limit),
                tracker: Arc::clone(&tracker),
            };
            let connection = serve(stream, Arc::clone(&tracker));
            let task = tasks.spawn(async move {
                connection.await;
                drop(guard);
                drop(permit);
            });
            // Set once, directly after the task was created.
            let _ = tracker.task.set(task.abort_handle());
        }
        drop(self.inner);
        tasks.close();
        tasks.wait().await;
    }
}

/// Waits until a stop is requested. A dropped sender counts as a stop.
pub async fn stopped(stop: &mut watch::Receiver<bool>) {
    drop(stop.wait_for(|stop| *stop).await);
}

/// Bytes that the kernel takes from a process before it can send them. Everything behind them can still be
/// sent in another order, such as a small response before the rest of a large one. 16 KiB are 13 ms at 9.8 Mbit/s and
/// 40 ms at 3.3 Mbit/s; the default is up to 4 MiB.
const UNSENT_BYTES: u32 = 16 * 1024;

/// Sets the socket options of a stream: no Nagle delay, few unsent bytes in the kernel, and a TCP user timeout.
///
/// `user_timeout` bounds how long sent bytes may remain unacknowledged. When
/// the network path has silently lost the connection, nothing is acknowledged any
/// more, and without the bound the kernel would retransmit for minutes.
///
/// # Errors
///
/// Returns the error of the system call.
pub fn configure_stream(stream: &TcpStream, user_timeout: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_notsent_lowat(UNSENT_BYTES)?;
    socket.set_tcp_user_timeout(Some(user_timeout))
}
