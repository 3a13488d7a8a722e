//! A connection to one of our processes, opened on demand and replaced when lost.

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

/// Parameters of a link.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    connect_timeout: Duration,
    ping_interval: Duration,
    silence: Duration,
    message_bytes: u32,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_secs(1),
            ping_interval: Duration::from_millis(500),
            silence: Duration::from_millis(1500),
            message_bytes: 64 * 1024 * 1024,
        }
    }
}

impl Config {
    /// Sets the longest time to open a connection; 1 s by default.
    #[must_use]
    pub const fn connect_timeout(mut self, timeout: Duration) -> Self {
        self.connect_timeout = timeout;
        self
    }

    /// Sets the interval of pings; 500 ms by default.
    #[must_use]
    pub const fn ping_interval(mut self, interval: Duration) -> Self {
        self.ping_interval = interval;
        self
    }

    /// Sets the silence after which a connection counts as lost; 1.5 s by default.
    #[must_use]
    pub const fn silence(mut self, silence: Duration) -> Self {
        self.silence = silence;
        self
    }

    /// Sets the longest message in bytes; 64 MiB by default.
    #[must_use]
    pub const fn message_bytes(mut self, bytes: u32) -> Self {
        self.message_bytes = bytes;
        self
    }
}

/// Why a question got no answer.
#[derive(Debug)]
pub enum Failure {
    /// No connection could be opened: the question was not sent.
    Connect(SocketAddr, ClientError),
    /// No connection could be opened in time: the question was not sent.
    ConnectTimeout(SocketAddr),
    /// The connection was lost after the question may have been sent.
    Lost(SocketAddr, ClientError),
    /// No answer came in time.
    Timeout(SocketAddr, Duration),
    /// The other process did not understand the question.
    Refused(SocketAddr, String),
    /// The answer cannot be read.
    Answer(SocketAddr, envelope::Error),
}

impl Failure {
    /// Whether it is certain that the question was not sent.
    pub const fn is_not_sent(&self) -> bool {
        matches!(self, Self::Connect(..) | Self::ConnectTimeout(_))
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect(address, cause) => write!(f, "no connection to {address}: {cause}"),
            Self::ConnectTimeout(address) => write!(f, "no connection to {address} in time"),
            Self::Lost(address, cause) => {
                write!(f, "the connection to {address} was lost: {cause}")
            }
            Self::Timeout(address, limit) => write!(f, "no answer from {address} in {limit:?}"),
            Self::Refused(address, message) => write!(f, "{address} refused: {message}"),
            Self::Answer(address, cause) => {
                write!(f, "the answer of {address} is not readable: {cause}")
            }
        }
    }
}

impl error::Error for Failure {
    fn source(&self) -> Option<&(dyn error::Error + 'static)> {
        match self {
            Self::Connect(_, cause) | Self::Lost(_, cause) => Some(cause),
            Self::Answer(_, cause) => Some(cause),
            Self::ConnectTimeout(_) | Self::Timeout(..) | Self::Refused(..) => None,
        }
    }
}

/// A connection to the process at one address.
pub struct Link {
    address: SocketAddr,
    config: Config,
    place: Mutex<Arc<OnceCell<WsClient>>>,
}

impl fmt::Debug for Link {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Link")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

impl Link {
    /// Makes a link that opens its connection with the first question.
    pub fn new(address: SocketAddr, config: Config) -> Self {
        Self {
            address,
            config,
            place: Mutex::new(Rank::Pool, Arc::new(OnceCell::new())),
        }
    }

    /// Address of the other process.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Asks a question and waits for the answer.
    ///
    /// # Errors
    ///
    /// Returns a [`Failure`] that says whether the question can have arrived.
    pub async fn ask<Q, A>(&self, method: &str, question: &Q, limit: Duration) -> Result<A, Failure>
    where
        Q: Serialize,
        A: DeserializeOwned,
    {
        let place = self.place();
        let client = place.get_or_try_init(|| self.open()).await?;
        let params = [Envelope::seal(question)];
        let asking = client.request::<Envelope, _>(method, params);
        let answer = time::timeout(limit, asking)
            .await
            .or(Err(Failure::Timeout(self.address, limit)))?
            .map_err(|error| self.failure(error, limit))?;
        answer
            .open()
            .map_err(|error| Failure::Answer(self.address, error))
    }

    fn failure(&self, error: ClientError, limit: Duration) -> Failure {
        match error {
            ClientError::Call(object) => Failure::Refused(self.address, object.to_string()),
            ClientError::RequestTimeout => Failure::Timeout(self.address, limit),
            other => Failure::Lost(self.address, other),
        }
    }

    /// The place of the connection; a lost connection is replaced by an empty place.
    fn place(&self) -> Arc<OnceCell<WsClient>> {
        let mut place = self.place.lock();
        if place.get().is_some_and(|client| !client.is_connected()) {
            *place = Arc::new(OnceCell::new());
        }
        Arc::clone(&place)
    }

    async fn open(&self) -> Result<WsClient, Failure> {
        let ping = PingConfig::new()
            .ping_interval(self.config.ping_interval)
            .inactive_limit(self.config.silence)
            .max_failures(1);
        let builder = WsClientBuilder::new()
            .connection_timeout(self.config.connect_timeout)
            .request_timeout(Duration::from_mins(1))
            .max_request_size(self.config.message_bytes)
            .max_response_size(self.config.message_bytes)
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
