//! A connection to another process, opened when it is needed.

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

/// Longest time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a call got no reply.
#[derive(Debug)]
pub enum Error {
    /// No connection could be opened.
    Connect(io::Error),
    /// The frames failed.
    Frame(frame::Error),
    /// No reply came in time; holds the time limit.
    Timeout(Duration),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect(cause) => write!(f, "no connection: {cause}"),
            Self::Frame(cause) => cause.fmt(f),
            Self::Timeout(limit) => write!(f, "no reply within {limit:?}"),
        }
    }
}

impl error::Error for Error {}

/// A connection that carries one call at a time.
#[derive(Debug)]
pub struct Link {
    address: SocketAddr,
    stream: Mutex<Option<BufReader<TcpStream>>>,
}

impl Link {
    /// A link that is not connected yet.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            stream: Mutex::new(None),
        }
    }

    /// The other end.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request and waits for its reply, `limit` at most, the wait for earlier calls included.
    ///
    /// # Errors
    ///
    /// Returns [`Error`]; the request may have been carried out all the same.
    pub async fn call(&self, request: &Request, limit: Duration) -> Result<Reply, Error> {
        time::timeout(limit, self.exchange(request))
            .await
            .unwrap_or(Err(Error::Timeout(limit)))
    }

    async fn exchange(&self, request: &Request) -> Result<Reply, Error> {
        let mut place = self.stream.lock().await;
        // Taken out, so that a call that is cut short leaves no stream with a reply outstanding.
        let mut stream = match place.take() {
            Some(stream) => stream,
            None => self.open().await?,
        };
        frame::write(&mut stream, request)
            .await
            .map_err(Error::Frame)?;
        let reply = frame::read(&mut stream).await.map_err(Error::Frame)?;
        *place = Some(stream);
        Ok(reply)
    }

    async fn open(&self) -> Result<BufReader<TcpStream>, Error> {
        let stream = dial::open(self.address, CONNECT_TIMEOUT)
            .await
            .map_err(Error::Connect)?;
        listen::tune(&stream, CONNECT_TIMEOUT).map_err(Error::Connect)?;
        Ok(BufReader::new(stream))
    }
}
