//! Opening of TCP connections without waiting for the kernel to retransmit a lost SYN.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::net::TcpStream;
use tokio::time;

/// Interval after which another attempt is started in parallel to the pending ones. The kernel retransmits
/// a lost SYN only after 1 s, which would delay a process that has just started.
const ATTEMPT_INTERVAL: Duration = Duration::from_millis(200);

/// Opens a connection within `timeout`.
///
/// # Errors
///
/// Returns the error of the first attempt that fails, or `TimedOut` after `timeout`.
pub async fn open(address: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    race(|| TcpStream::connect(address), timeout).await
}

/// Starts attempts at a fixed interval until one of them finishes, and returns its result.
///
/// # Errors
///
/// Returns the error of the attempt that finishes first, or `TimedOut` after `timeout`.
pub async fn race<T, F>(mut connect: impl FnMut() -> F, timeout: Duration) -> io::Result<T>
where
    F: Future<Output = io::Result<T>>,
{
    let mut attempts = FuturesUnordered::new();
    let racing = async {
        loop {
            attempts.push(connect());
            tokio::select! {
                Some(result) = attempts.next() => return result,
                () = time::sleep(ATTEMPT_INTERVAL) => {}
            }
        }
    };
    time::timeout(timeout, racing)
        .await
        .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}
