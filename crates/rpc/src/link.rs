//! Client side: a connection to another process, opened on demand and replaced when lost.

use std::error;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jsonrpsee::core::client::ClientT;
use jsonrpsee::core::client::Error as ClientError;
use jsonrpsee::ws_client::PingConfig;
use jsonrpsee::ws_client::WsClient;
use jsonrpsee::ws_client::WsClientBuilder;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::OnceCell;
use tokio::time;

use crate::envelope;
use crate::envelope::Envelope;
use shallotrill_locks::Mutex;
use shallotrill_locks::Rank;

/// Timeouts and limits of a link.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    connect_timeout: Duration,
    ping_interval: Duration,
    silence_timeout: Duration,
    message_bytes_max: u32,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_secs(1),
            ping_interval: Duration::from_millis(500),
            silence_timeout: Duration::from_millis(1500),
            message_bytes_max: 64 * 1024 * 1024,
        }
    }
}

impl Config {
    /// Sets the timeout for opening a connection; 1 s by default.
    #[must_use]
    pub const fn connect_timeout(mut self, timeout: Duration) -> Self {
        self.connect_timeout = timeout;
        self
    }

    /// Sets the interval between pings; 500 ms by default.
    #[must_use]
    pub const fn ping_interval(mut self, interval: Duration) -> Self {
        self.ping_interval = interval;
        self
    }

    /// Sets the time without received data after which a connection counts as lost; 1.5 s by default.
    #[must_use]
    pub const fn silence_timeout(mut self, silence_timeout: Duration) -> Self {
        self.silence_timeout = silence_timeout;
        self
    }

    /// Sets the maximum size of a message; 64 MiB by default.
    #[must_use]
    pub const fn message_bytes_max(mut self, bytes: u32) -> Self {
        self.message_bytes_max = bytes;
        self
    }
}

/// Why a request returned no response.
#[derive(Debug)]
pub enum Failure {
    /// No connection could be opened: the request was not sent.
    Connect(SocketAddr, ClientError),
    /// No connection was opened within the timeout: the request was not sent.
    ConnectTimeout(SocketAddr),
    /// The connection was lost after the request may have been sent.
    Lost(SocketAddr, ClientError),
    /// No response was received within the timeout; the request may have been sent.
    Timeout(SocketAddr, Duration),
    /// The other process returned an error, for example because it cannot decode the request.
    Refused(SocketAddr, String),
    /// The response cannot be decoded.
    Response(SocketAddr, envelope::Error),
}

impl Failure {
    /// Returns true when the request was certainly not sent.
    pub const fn is_not_sent(&self) -> bool {
        matches!(self, Self::Connect(..) | Self::ConnectTimeout(_))
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect(address, cause) => write!(f, "cannot connect to {address}: {cause}"),
            Self::ConnectTimeout(address) => write!(f, "connection to {address} timed out"),
            Self::Lost(address, cause) => {
                write!(f, "connection to {address} was lost: {cause}")
            }
            Self::Timeout(address, timeout) => {
                write!(f, "no response from {address} within {timeout:?}")
            }
            Self::Refused(address, message) => {
                write!(f, "{address} refused the request: {message}")
            }
            Self::Response(address, cause) => {
                write!(f, "cannot decode the response of {address}: {cause}")
            }
        }
    }
}

impl error::Error for Failure {
    fn source(&self) -> Option<&(dyn error::Error + 'static)> {
        match self {
            Self::Connect(_, cause) | Self::Lost(_, cause) => Some(cause),
            Self::Response(_, cause) => Some(cause),
            Self::ConnectTimeout(_) | Self::Timeout(..) | Self::Refused(..) => None,
        }
    }
}

/// A connection to the process at one address.
pub struct Link {
    address: SocketAddr,
    config: Config,
    cell: Mutex<Arc<OnceCell<WsClient>>>,
}

impl fmt::Debug for Link {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Link")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

impl Link {
    /// Creates a link that opens its connection with the first request.
    pub fn new(address: SocketAddr, config: Config) -> Self {
        Self {
            address,
            config,
            cell: Mutex::new(Rank::Pool, Arc::new(OnceCell::new())),
        }
    }

    /// Address of the other process.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request and waits for the response.
    ///
    /// # Errors
    ///
    /// Returns a [`Failure`], which shows whether the request may have been received.
    pub async fn call<Q, A>(
        &self,
        method: &str,
        request: &Q,
        timeout: Duration,
    ) -> Result<A, Failure>
    where
        Q: Serialize,
        A: DeserializeOwned,
    {
        let cell = self.cell();
        let client = cell.get_or_try_init(|| self.connect()).await?;
        let params = [Envelope::encode(request)];
        let response = client.request::<Envelope, _>(method, params);
        let response = time::timeout(timeout, response)
            .await
            .or(Err(Failure::Timeout(self.address, timeout)))?
            .map_err(|error| self.failure(error, timeout))?;
        response
            .decode()
            .map_err(|error| Failure::Response(self.address, error))
    }

    fn failure(&self, error: ClientError, timeout: Duration) -> Failure {
        match error {
            ClientError::Call(object) => Failure::Refused(self.address, object.to_string()),
            ClientError::RequestTimeout => Failure::Timeout(self.address, timeout),
            other => Failure::Lost(self.address, other),
        }
    }

    /// Returns the cell of the connection; a lost connection is replaced by an empty cell.
    fn cell(&self) -> Arc<OnceCell<WsClient>> {
        let mut cell = self.cell.lock();
        if cell.get().is_some_and(|client| !client.is_connected()) {
            *cell = Arc::new(OnceCell::new());
        }
        Arc::clone(&cell)
    }

    async fn connect(&self) -> Result<WsClient, Failure> {
        let ping = PingConfig::new()
            .ping_interval(self.config.ping_interval)
            .inactive_limit(self.config.silence_timeout)
            .max_failures(1);
        let builder = WsClientBuilder::new()
            .connection_timeout(self.config.connect_timeout)
            .request_timeout(Duration::from_mins(1))
            .max_request_size(self.config.message_bytes_max)
            .max_response_size(self.config.message_bytes_max)
            .max_concurrent_requests(10_000)
            .enable_ws_ping(ping);
        let url = format!("ws://{}", self.address);
        match time::timeout(self.config.connect_timeout, builder.build(&url)).await {
            Ok(Ok(client)) => Ok(client),
            Ok(Err(cause)) => Err(Failure::Connect(self.address, cause)),
            Err(_) => Err(Failure::ConnectTimeout(self.address)),
        }
    }
}
