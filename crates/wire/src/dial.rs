//! Opens connections without waiting for the kernel to repeat a lost packet.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::net::TcpStream;
use tokio::time;

/// Pause before a further try is started beside those that hang. The kernel repeats a lost opening
/// packet only after 1 s, in which a process that has just started would wait for nothing.
const AGAIN: Duration = Duration::from_millis(200);

/// Opens a connection within `limit`.
///
/// # Errors
///
/// Returns the error of the first try that fails, or that the time is up.
pub async fn open(address: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    first(|| TcpStream::connect(address), limit).await
}

/// The first of several tries that ends; each is started some time after the one before.
///
/// # Errors
///
/// Returns the error of the try that ends first, or that the time is up.
pub async fn first<T, F>(mut dial: impl FnMut() -> F, limit: Duration) -> io::Result<T>
where
    F: Future<Output = io::Result<T>>,
{
    let mut tries = FuturesUnordered::new();
    let racing = async {
        loop {
            tries.push(dial());
            tokio::select! {
                Some(ended) = tries.next() => return ended,
                () = time::sleep(AGAIN) => {}
            }
        }
    };
    time::timeout(limit, racing)
        .await
        .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}
