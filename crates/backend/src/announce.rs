//! HTTP interface of the node for its backend server, operators and the platform.
//!
//! A backend server announces itself here; the repeated announcement is also
//! its heartbeat. The same address serves the state dump, explanations of
//! recent requests and metrics.

use std::error;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use dropshot::ApiDescription;
use dropshot::Body;
use dropshot::ClientErrorStatusCode;
use dropshot::ConfigDropshot;
use dropshot::HttpError;
use dropshot::HttpResponseOk;
use dropshot::HttpServer;
use dropshot::Path;
use dropshot::RequestContext;
use dropshot::ServerBuilder;
use dropshot::TypedBody;
use dropshot::endpoint;
use http::Response;
use http::header;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;
use slog::Logger;

/// Maximum size of an announcement.
const BODY_MAX_BYTES: usize = 16 * 1024;

/// State that a backend server reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Accepts requests but is still warming up.
    Starting,
    /// Accepts requests.
    Ready,
    /// Finishes its requests and accepts no new ones.
    Draining,
}

/// An announcement of a backend server, repeated at least once a second.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Name of the service.
    pub service: String,
    /// Address on which the backend server accepts HTTP/1.1 requests from its node.
    pub address: String,
    /// Maximum number of requests that the backend server runs concurrently.
    pub slots: u32,
    /// Current state of the backend server.
    pub state: State,
    /// Any text that differs between two starts of the backend server, such as its start time.
    pub start: String,
    /// Path of the health endpoint; without a path the backend server is never probed.
    #[serde(default)]
    pub probe: Option<String>,
}

/// Response to an accepted announcement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Accepted {
    /// Incarnation number of the backend server.
    pub incarnation: u64,
    /// The announcement must be repeated within this time, in milliseconds.
    pub valid_ms: u64,
    /// Whether a control process has registered the backend server.
    pub registered: bool,
}

/// Why an announcement was refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// A field has a value that is not allowed.
    Invalid {
        /// Name of the field.
        field: &'static str,
        /// Description of the allowed values.
        allowed: String,
    },
    /// The node is stopping.
    Stopping,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Invalid { field, allowed } => write!(f, "the field {field} must be {allowed}"),
            Self::Stopping => f.write_str("the node is stopping"),
        }
    }
}

impl error::Error for Refusal {}

/// Handles an announcement.
pub type Announce = Box<dyn Fn(Announcement) -> Result<Accepted, Refusal> + Send + Sync>;

/// Explains the request with the given identifier; `None` if it is not known any more.
pub type Explain = Box<dyn Fn(&str) -> Option<serde_json::Value> + Send + Sync>;

/// Functions that handle the requests to the interface.
pub struct Handlers {
    /// Handles an announcement.
    pub announce: Announce,
    /// Creates the state dump.
    pub state: Box<dyn Fn() -> serde_json::Value + Send + Sync>,
    /// Explains a recent request; `None` if it is not known any more.
    pub explain: Explain,
    /// Creates the metrics in the text format of Prometheus.
    pub metrics: Box<dyn Fn() -> String + Send + Sync>,
}

impl fmt::Debug for Handlers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Handlers").finish_non_exhaustive()
    }
}

/// Error for an interface that could not be started.
#[derive(Debug)]
pub struct Error {
    /// Requested address.
    pub address: SocketAddr,
    /// Why the interface could not be started.
    pub cause: dropshot::BuildError,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "cannot listen on {}: {}", self.address, self.cause)
    }
}

impl error::Error for Error {
    fn source(&self) -> Option<&(dyn error::Error + 'static)> {
        Some(&self.cause)
    }
}

/// Handle of the running interface.
pub type Server = HttpServer<Arc<Handlers>>;

/// Starts the interface on `address`.
///
/// # Errors
///
/// Returns [`Error`] when the address cannot be listened on.
///
/// # Panics
///
/// Panics when two endpoints have the same method and path, which is a programming error.
pub fn start(address: SocketAddr, handlers: Handlers, log: &Logger) -> Result<Server, Error> {
    let mut api = ApiDescription::new();
    let registered = api
        .register(announce)
        .and_then(|()| api.register(state))
        .and_then(|()| api.register(explain))
        .and_then(|()| api.register(metrics));
    registered.expect("endpoints have distinct methods and paths");
    let config = ConfigDropshot {
        bind_address: address,
        default_request_body_max_bytes: BODY_MAX_BYTES,
        ..ConfigDropshot::default()
    };
    ServerBuilder::new(api, Arc::new(handlers), log.clone())
        .config(config)
        .start()
        .map_err(|cause| Error { address, cause })
}

/// Handles an announcement of the local backend server.
#[endpoint { method = PUT, path = "/v1/announce" }]
async fn announce(
    context: RequestContext<Arc<Handlers>>,
    body: TypedBody<Announcement>,
) -> Result<HttpResponseOk<Accepted>, HttpError> {
    let accepted = (context.context().announce)(body.into_inner());
    accepted.map(HttpResponseOk).map_err(|refusal| {
        let (code, status) = match refusal {
            Refusal::Invalid { .. } => ("announcement-invalid", ClientErrorStatusCode::BAD_REQUEST),
            Refusal::Stopping => ("stopping", ClientErrorStatusCode::CONFLICT),
        };
        HttpError::for_client_error(Some(code.to_owned()), status, refusal.to_string())
    })
}

/// Returns the state dump of the node.
#[endpoint { method = GET, path = "/v1/state" }]
async fn state(
    context: RequestContext<Arc<Handlers>>,
) -> Result<HttpResponseOk<serde_json::Value>, HttpError> {
    Ok(HttpResponseOk((context.context().state)()))
}

/// Path parameters of an explanation.
#[derive(Deserialize, JsonSchema)]
struct ExplainPath {
    /// Identifier of the request, 32 hexadecimal digits.
    request: String,
}

/// Explains the routing of a recent request.
#[endpoint { method = GET, path = "/v1/explain/{request}" }]
async fn explain(
    context: RequestContext<Arc<Handlers>>,
    path: Path<ExplainPath>,
) -> Result<HttpResponseOk<serde_json::Value>, HttpError> {
    let request = path.into_inner().request;
    match (context.context().explain)(&request) {
        Some(explanation) => Ok(HttpResponseOk(explanation)),
        None => Err(HttpError::for_client_error(
            Some("request-unknown".to_owned()),
            ClientErrorStatusCode::NOT_FOUND,
            format!(
                "this node has no record of request {request}; it records recent requests only"
            ),
        )),
    }
}

/// Returns the metrics in the text format of Prometheus.
#[endpoint { method = GET, path = "/metrics" }]
async fn metrics(context: RequestContext<Arc<Handlers>>) -> Result<Response<Body>, HttpError> {
    let text = (context.context().metrics)();
    Response::builder()
        .header(header::CONTENT_TYPE, "text/plain; version=0.0.4")
        .body(Body::from(text))
        .map_err(|error| HttpError::for_internal_error(error.to_string()))
}
