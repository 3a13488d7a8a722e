//! Client of a node's HTTP interface, for explanations of routing decisions.

use std::error;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpStream;
use tokio::time;

use shallotrill_model::request;

/// Maximum size of an explanation.
const EXPLANATION_BYTES_MAX: usize = 4 << 20;

/// Why a node returned no explanation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The node has no explanation of the request; it stores recent ones only.
    Unknown(SocketAddr),
    /// The node could not be reached or the connection failed, for this reason.
    Unreachable(SocketAddr, String),
    /// The response is not valid for a node; contains its HTTP status.
    Invalid(SocketAddr, u16),
    /// The node did not respond within the timeout.
    Timeout(SocketAddr),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unknown(address) => write!(f, "{address}: no explanation of this request"),
            Self::Unreachable(address, reason) => write!(f, "{address}: {reason}"),
            Self::Invalid(address, status) => {
                write!(f, "{address}: unexpected response with status {status}")
            }
            Self::Timeout(address) => write!(f, "{address}: no response within the timeout"),
        }
    }
}

impl error::Error for Error {}

/// Requests the routing explanation of a recent request from the node with this announce address.
///
/// # Errors
///
/// Returns [`Error`] when the node has no explanation or does not respond within `timeout`.
pub async fn explain(
    address: SocketAddr,
    request: request::Id,
    timeout: Duration,
) -> Result<Value, Error> {
    let response = fetch(address, request);
    time::timeout(timeout, response)
        .await
        .unwrap_or(Err(Error::Timeout(address)))
}

async fn fetch(address: SocketAddr, request: request::Id) -> Result<Value, Error> {
    let unreachable = |error: &dyn error::Error| Error::Unreachable(address, error.to_string());
    let stream = TcpStream::connect(address)
        .await
        .map_err(|e| unreachable(&e))?;
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.map_err(|e| unreachable(&e))?;
    let connection_task = tokio::spawn(connection);
    let request = Request::get(format!("/v1/explain/{request}"))
        .header(header::HOST, address.to_string())
        .header(header::CONNECTION, "close")
        .body(Full::new(Bytes::new()))
        .map_err(|e| unreachable(&e))?;
    let response = sender
        .send_request(request)
        .await
        .map_err(|e| unreachable(&e))?;
    let status = response.status();
    let body = Limited::new(response.into_body(), EXPLANATION_BYTES_MAX);
    let body = body
        .collect()
        .await
        .map_err(|e| unreachable(&*e))?
        .to_bytes();
    connection_task.abort();
    match status {
        StatusCode::OK => serde_json::from_slice(&body).or(Err(Error::Invalid(address, 200))),
        StatusCode::NOT_FOUND => Err(Error::Unknown(address)),
        other => Err(Error::Invalid(address, other.as_u16())),
    }
}
