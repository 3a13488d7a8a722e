//! The HTTP server for operators.

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

/// Most bytes of a request's body. Statements are one line; the longest names and paths fit many times.
const BODY_BYTES_MAX: usize = 64 * 1024;

/// How the server runs.
#[derive(Clone, Debug)]
pub struct Config {
    listen: SocketAddr,
    body_bytes_max: usize,
    logger: slog::Logger,
}

impl Config {
    /// Listens on `listen` and discards the library's logs.
    pub fn new(listen: SocketAddr) -> Self {
        Self {
            listen,
            body_bytes_max: BODY_BYTES_MAX,
            logger: slog::Logger::root(slog::Discard, slog::o!()),
        }
    }

    /// Sets the most bytes of a request's body; more is answered with 400, the status of the library.
    #[must_use]
    pub const fn body_bytes_max(mut self, bytes: usize) -> Self {
        self.body_bytes_max = bytes;
        self
    }

    /// Sets where the library's logs go.
    #[must_use]
    pub fn logger(mut self, logger: slog::Logger) -> Self {
        self.logger = logger;
        self
    }
}

/// A statement with its origin.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The statement.
    pub statement: Statement,
    /// Id of the command; always there when the statement changes something.
    pub command: Option<command::Id>,
    /// Name of the operator.
    pub operator: String,
}

/// The answer to a statement when it is ready.
pub type Reply = Pin<Box<dyn Future<Output = Result<ResultTable, Failure>> + Send>>;

/// What the server calls.
pub struct Handlers {
    /// Runs a statement. It runs to its end also when the operator disconnects.
    pub statement: Box<dyn Fn(Order) -> Reply + Send + Sync>,
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
        /// What the library says.
        reason: String,
    },
    /// The server did not close as asked.
    Close(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Endpoint(reason) => write!(f, "an endpoint could not be registered: {reason}"),
            Self::Bind { listen, reason } => {
                write!(
                    f,
                    "the operator address {listen} could not be bound: {reason}"
                )
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
        // A command whose operator disconnects still gets its outcome recorded.
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
    /// The address that the server listens on, with the port that the system chose.
    pub fn address(&self) -> SocketAddr {
        self.server.local_addr()
    }

    /// Accepts no more requests and waits for those in flight.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Close`] when the server had ended by itself.
    pub async fn close(self) -> Result<(), Error> {
        self.server.close().await.map_err(Error::Close)
    }
}
