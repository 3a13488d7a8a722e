//! Client side of a connection to another process, which is opened on demand.

use std::error;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::BufReader;
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::time;

use crate::frame;
use crate::message::Reply;
use crate::message::Request;
use shallotrill_wire::dial;
use shallotrill_wire::listen;

/// Maximum time for opening a connection. Also its `TCP_USER_TIMEOUT`: the time after which an open connection with
/// unacknowledged bytes is closed.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a call did not get a reply.
#[derive(Debug)]
pub enum Error {
    /// The connection could not be opened.
    Connect(io::Error),
    /// The request could not be sent, or the reply could not be read.
    Frame(frame::Error),
    /// No reply arrived in time; contains the time limit.
    Timeout(Duration),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect(cause) => write!(f, "no connection: {cause}"),
            Self::Frame(cause) => cause.fmt(f),
            Self::Timeout(timeout) => write!(f, "no reply received within {timeout:?}"),
        }
    }
}

impl error::Error for Error {}

/// A reusable connection that carries one call at a time.
#[derive(Debug)]
pub struct Link {
    address: SocketAddr,
    stream: Mutex<Option<BufReader<TcpStream>>>,
}

impl Link {
    /// Creates a link to `address`. It connects when the first call is made.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            stream: Mutex::new(None),
        }
    }

    /// Address of the other process.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request and waits for its reply. The time limit includes the wait for earlier calls on the link.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] when there is no reply. The request may have been executed nevertheless.
    pub async fn call(&self, request: &Request, timeout: Duration) -> Result<Reply, Error> {
        time::timeout(timeout, self.exchange(request))
            .await
            .unwrap_or(Err(Error::Timeout(timeout)))
    }

    async fn exchange(&self, request: &Request) -> Result<Reply, Error> {
        let mut idle_stream = self.stream.lock().await;
        // Takes the stream out, so that an aborted call does not leave behind a stream with an outstanding reply.
        let mut stream = match idle_stream.take() {
            Some(stream) => stream,
            None => self.open().await?,
        };
        frame::write(&mut stream, request)
            .await
            .map_err(Error::Frame)?;
        let reply = frame::read(&mut stream).await.map_err(Error::Frame)?;
        *idle_stream = Some(stream);
        Ok(reply)
    }

    async fn open(&self) -> Result<BufReader<TcpStream>, Error> {
        let stream = dial::open(self.address, CONNECT_TIMEOUT)
            .await
            .map_err(Error::Connect)?;
        listen::configure_stream(&stream, CONNECT_TIMEOUT).map_err(Error::Connect)?;
        Ok(BufReader::new(stream))
    }
}
