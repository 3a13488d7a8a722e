//! One connection to the backend server.

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

/// A connection in use by one request.
pub struct Connection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    pub(crate) generation: u64,
    pub(crate) fresh: bool,
    pub(crate) idle_since: time::Instant,
    /// The request that it carries, and when that was dispatched.
    pub(crate) sequence: Sequence,
    pub(crate) dispatched: time::Instant,
}

impl fmt::Debug for Connection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Connection")
            .field("generation", &self.generation)
            .finish_non_exhaustive()
    }
}

/// Opens a connection of a generation.
pub(crate) async fn open(
    config: &Config,
    address: SocketAddr,
    generation: u64,
) -> Result<Connection, io::Error> {
    let connecting = TcpStream::connect(address);
    let stream = time::timeout(config.connect_timeout, connecting)
        .await
        .or(Err(io::Error::from(io::ErrorKind::TimedOut)))??;
    listen::tune(&stream, config.user_timeout)?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            debug!(event = "backend-connection-lost"; "{error}");
        }
    });
    let now = time::Instant::now();
    Ok(Connection {
        sender,
        generation,
        fresh: true,
        idle_since: now,
        sequence: Sequence::default(),
        dispatched: now,
    })
}
