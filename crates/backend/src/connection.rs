//! HTTP/1.1 connection to the backend server.

use std::fmt;
use std::io;
use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use log::debug;
use tokio::net::TcpStream;
use tokio::time;

use crate::config::Config;
use crate::silence::Sequence;
use shallotrill_wire::listen;

/// A connection that carries at most one request at a time.
pub struct Connection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    pub(crate) generation: u64,
    pub(crate) is_new: bool,
    /// False when bytes that arrive later could be taken for the response to another request.
    pub(crate) reusable: bool,
    pub(crate) idle_since: time::Instant,
    /// Latest request on the connection and the time of its dispatch.
    pub(crate) sequence: Sequence,
    pub(crate) dispatched_at: time::Instant,
}

impl fmt::Debug for Connection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Connection")
            .field("generation", &self.generation)
            .finish_non_exhaustive()
    }
}

/// Largest read buffer of a connection, and so the largest head of a response. With the default of hyper, about
/// 400 KiB, 64 responses whose callers read slowly used 80 MB.
const BUFFER_BYTES_MAX: usize = 64 * 1024;

/// Opens a connection and performs the HTTP handshake.
pub(crate) async fn open(
    config: &Config,
    address: SocketAddr,
    generation: u64,
) -> Result<Connection, io::Error> {
    let connecting = TcpStream::connect(address);
    let stream = time::timeout(config.connect_timeout, connecting)
        .await
        .or(Err(io::Error::from(io::ErrorKind::TimedOut)))??;
    listen::configure_stream(&stream, config.user_timeout)?;
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(BUFFER_BYTES_MAX)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            debug!(event = "backend-connection-lost"; "connection to the backend server at {address} failed: {error}");
        }
    });
    let now = time::Instant::now();
    Ok(Connection {
        sender,
        generation,
        is_new: true,
        reusable: true,
        idle_since: now,
        sequence: Sequence::default(),
        dispatched_at: now,
    })
}
