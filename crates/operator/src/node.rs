//! Questions of an operator to a node.

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

/// Most bytes of an explanation.
const EXPLANATION_BYTES_MAX: usize = 4 << 20;

/// Why a node gave no explanation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The node keeps nothing of the request; it keeps recent ones only.
    Unknown(SocketAddr),
    /// The node could not be reached; holds the reason.
    Unreachable(SocketAddr, String),
    /// The answer is not one of a node; holds its status.
    Form(SocketAddr, u16),
    /// No answer came in time.
    Timeout(SocketAddr),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unknown(address) => write!(f, "{address}: nothing is kept of this request"),
            Self::Unreachable(address, reason) => write!(f, "{address}: {reason}"),
            Self::Form(address, status) => {
                write!(f, "{address}: unexpected response with status {status}")
            }
            Self::Timeout(address) => write!(f, "{address}: no response in time"),
        }
    }
}

impl error::Error for Error {}

/// Asks the node with this announce address how a recent request was routed.
///
/// # Errors
///
/// Returns [`Error`] when the node keeps nothing of it or does not answer within `limit`.
pub async fn explain(
    address: SocketAddr,
    request: request::Id,
    limit: Duration,
) -> Result<Value, Error> {
    let asking = ask(address, request);
    time::timeout(limit, asking)
        .await
        .unwrap_or(Err(Error::Timeout(address)))
}

async fn ask(address: SocketAddr, request: request::Id) -> Result<Value, Error> {
    let failed = |error: &dyn error::Error| Error::Unreachable(address, error.to_string());
    let stream = TcpStream::connect(address).await.map_err(|e| failed(&e))?;
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.map_err(|e| failed(&e))?;
    let driver = tokio::spawn(connection);
    let request = Request::get(format!("/v1/explain/{request}"))
        .header(header::HOST, address.to_string())
        .header(header::CONNECTION, "close")
        .body(Full::new(Bytes::new()))
        .map_err(|e| failed(&e))?;
    let response = sender.send_request(request).await.map_err(|e| failed(&e))?;
    let status = response.status();
    let body = Limited::new(response.into_body(), EXPLANATION_BYTES_MAX);
    let body = body.collect().await.map_err(|e| failed(&*e))?.to_bytes();
    driver.abort();
    match status {
        StatusCode::OK => serde_json::from_slice(&body).or(Err(Error::Form(address, 200))),
        StatusCode::NOT_FOUND => Err(Error::Unknown(address)),
        other => Err(Error::Form(address, other.as_u16())),
    }
}
