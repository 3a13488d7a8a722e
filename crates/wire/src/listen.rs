//! The accept loop of a listener, with a graceful stop.

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

/// Pause after a failed accept, so that exhausted file descriptors do not turn the loop into a busy one.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// A listener that could not be opened.
#[derive(Debug)]
pub struct Error {
    /// Address that was asked for.
    pub address: SocketAddr,
    /// Why it could not be opened.
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

/// An open listener.
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

    /// The address that callers reach, with the port that the system chose if none was asked for.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Accepts connections until `stop` becomes true, then waits for those that are open.
    ///
    /// `serve` handles one connection and watches `stop` itself, because only
    /// it knows when a connection has nothing in flight. At most
    /// `connections_max` are open at once; further ones wait in the backlog.
    ///
    /// # Panics
    ///
    /// Never: the semaphore is not closed.
    pub async fn run<F, S>(self, connections_max: usize, mut stop: watch::Receiver<bool>, serve: S)
    where
        F: Future<Output = ()> + Send + 'static,
        S: Fn(TcpStream, SocketAddr) -> F,
    {
        let places = Arc::new(Semaphore::new(connections_max));
        let tracker = TaskTracker::new();
        loop {
            let place = tokio::select! {
                () = stopped(&mut stop) => break,
                place = Arc::clone(&places).acquire_owned() => place,
            };
            let place = place.expect("the semaphore is not closed");
            let accepted = tokio::select! {
                () = stopped(&mut stop) => break,
                accepted = self.inner.accept() => accepted,
            };
            match accepted {
                Ok((stream, from)) => {
                    let connection = serve(stream, from);
                    tracker.spawn(async move {
                        connection.await;
                        drop(place);
                    });
                }
                Err(cause) => {
                    warn!(event = "accept-failed", address = self.address.to_string().as_str(); "{cause}");
                    time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
        drop(self.inner);
        tracker.close();
        tracker.wait().await;
    }
}

/// Waits until a stop is asked for. A sender that is gone counts as a stop.
pub async fn stopped(stop: &mut watch::Receiver<bool>) {
    drop(stop.wait_for(|stop| *stop).await);
}

/// Sets the options of a stream between two of our processes or to a backend server.
///
/// `user_timeout` bounds how long sent bytes may stay unacknowledged: a path
/// that has silently lost the connection never acknowledges, and the kernel
/// then closes it instead of retransmitting for minutes.
///
/// # Errors
///
/// Returns the error of the system call.
pub fn tune(stream: &TcpStream, user_timeout: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(user_timeout))
}
