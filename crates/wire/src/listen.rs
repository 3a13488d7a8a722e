//! TCP listener with an accept loop and a graceful stop, and the socket options of streams.

use std::error;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use log::warn;
use socket2::SockRef;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use tokio::time;
use tokio_util::task::TaskTracker;

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
