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
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::time;

use crate::config::Config;
use crate::silence::Sequence;
use shallotrill_wire::listen;

/// Maximum size of the read buffer of a connection, and with it of a response head. The default of hyper is 408 KiB,
/// which a hundred responses with slow readers fill.
const READ_BUFFER_BYTES: usize = 64 * 1024;

/// Receive buffer of the socket. The kernel lets it grow to several megabytes for a response that is read slowly, which
/// count as memory of the process in a container. The backend server is on the same instance, so little is under way.
const RECEIVE_BUFFER_BYTES: usize = 64 * 1024;

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
    SockRef::from(&stream).set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(READ_BUFFER_BYTES)
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
