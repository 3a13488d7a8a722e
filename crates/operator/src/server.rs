//! HTTP server for operators.

use std::error;
use std::fmt;
use std::net::SocketAddr;
use std::pin::Pin;

use dropshot::ApiDescription;
use dropshot::ConfigDropshot;
use dropshot::HandlerTaskMode;
use dropshot::HttpServer;
use dropshot::ServerBuilder;

use crate::api;
use crate::failure::Failure;
use shallotrill_language::Statement;
use shallotrill_language::result_table::ResultTable;
use shallotrill_model::command;

/// Maximum size of a request body. A statement is one line; the limit leaves ample room for the longest names and paths.
const BODY_BYTES_MAX: usize = 64 * 1024;

/// Listen address, limits and logger of the server.
#[derive(Clone, Debug)]
pub struct Config {
    listen: SocketAddr,
    body_bytes_max: usize,
    logger: slog::Logger,
}

impl Config {
    /// Creates a configuration that listens on `listen` and discards the logs of the HTTP library.
    pub fn new(listen: SocketAddr) -> Self {
        Self {
            listen,
            body_bytes_max: BODY_BYTES_MAX,
            logger: slog::Logger::root(slog::Discard, slog::o!()),
        }
    }

    /// Sets the maximum size of a request body; larger requests receive status 400, which the HTTP library uses.
    #[must_use]
    pub const fn body_bytes_max(mut self, bytes: usize) -> Self {
        self.body_bytes_max = bytes;
        self
    }

    /// Sets the logger of the HTTP library.
    #[must_use]
    pub fn logger(mut self, logger: slog::Logger) -> Self {
        self.logger = logger;
        self
    }
}

/// A parsed statement with its command id and operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatementRequest {
    /// The statement.
    pub statement: Statement,
    /// Id of the command; always set when the statement changes the configuration.
    pub command: Option<command::Id>,
    /// Name of the operator.
    pub operator: String,
}

/// Future of the result of a statement.
pub type Reply = Pin<Box<dyn Future<Output = Result<ResultTable, Failure>> + Send>>;

/// Functions that the server calls to handle requests.
pub struct Handlers {
    /// Executes a statement. The future runs to completion even when the operator disconnects.
    pub statement: Box<dyn Fn(StatementRequest) -> Reply + Send + Sync>,
    /// Dumps the state.
    pub state: Box<dyn Fn() -> serde_json::Value + Send + Sync>,
    /// Encodes the metrics as text.
    pub metrics: Box<dyn Fn() -> String + Send + Sync>,
}

impl fmt::Debug for Handlers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Handlers").finish_non_exhaustive()
    }
}

/// Why the server could not start or close.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// An endpoint could not be registered.
    Endpoint(String),
    /// The address could not be bound.
    Bind {
        /// The address.
        listen: SocketAddr,
        /// Error text of the HTTP library.
        reason: String,
    },
    /// The server did not close cleanly.
    Close(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Endpoint(reason) => write!(f, "cannot register an operator endpoint: {reason}"),
            Self::Bind { listen, reason } => {
                write!(f, "cannot bind the operator address {listen}: {reason}")
            }
            Self::Close(reason) => write!(f, "the operator server did not close: {reason}"),
        }
    }
}

impl error::Error for Error {}

/// A running server.
pub struct Server {
    server: HttpServer<Handlers>,
}

impl fmt::Debug for Server {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let address = self.server.local_addr();
        f.debug_struct("Server").field("address", &address).finish()
    }
}

/// Starts a server.
///
/// # Errors
///
/// Returns [`Error::Bind`] when the address cannot be bound.
///
/// # Panics
///
/// Panics outside a Tokio runtime.
pub fn start(config: Config, handlers: Handlers) -> Result<Server, Error> {
    let mut api = ApiDescription::new();
    api::register(&mut api).map_err(|error| Error::Endpoint(error.to_string()))?;
    let dropshot = ConfigDropshot {
        bind_address: config.listen,
        default_request_body_max_bytes: config.body_bytes_max,
        // The outcome of a command is recorded even when its operator disconnects.
        default_handler_task_mode: HandlerTaskMode::Detached,
        ..ConfigDropshot::default()
    };
    let server = ServerBuilder::new(api, handlers, config.logger)
        .config(dropshot)
        .start()
        .map_err(|error| Error::Bind {
            listen: config.listen,
            reason: error.to_string(),
        })?;
    Ok(Server { server })
}

impl Server {
    /// Listen address, with the port that the system assigned.
    pub fn address(&self) -> SocketAddr {
        self.server.local_addr()
    }

    /// Stops accepting requests and waits for those in flight.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Close`] when the server had already stopped with an error.
    pub async fn close(self) -> Result<(), Error> {
        self.server.close().await.map_err(Error::Close)
    }
}
