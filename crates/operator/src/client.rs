//! Client of the HTTP interface for operators, with failover between control processes.

use std::error;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time;

use crate::failure::Failure;
use crate::wire;
use shallotrill_language::result_table::ResultTable;

/// Maximum size of a response body. A list of 22,000 targets is below 8 MiB at 300 bytes a row.
const RESPONSE_BYTES_MAX: usize = 64 << 20;

/// Maximum number of leader hints followed for one statement, so that two processes that name each other cause no loop.
const LEADER_HINTS_MAX: usize = 3;

/// Sends statements to control processes.
#[derive(Clone, Debug)]
pub struct Client {
    addresses: Vec<SocketAddr>,
    timeout: Duration,
}

/// Why a statement returned no result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// A control process refused the statement or failed to execute it.
    Refused {
        /// The control process.
        address: SocketAddr,
        /// The refusal or failure.
        failure: Failure,
    },
    /// No control process returned a result. The statement may have been accepted if it was sent in one of the attempts.
    Unavailable {
        /// The attempts in their order; empty when no address is configured.
        attempts: Vec<FailedAttempt>,
    },
}

/// An attempt at one control process that returned no result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FailedAttempt {
    /// The control process.
    pub address: SocketAddr,
    /// Why the attempt returned no result.
    pub cause: Cause,
}

/// Why an attempt returned no result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Cause {
    /// No connection was opened, so nothing was sent.
    Connect(String),
    /// The connection failed after the request may have been sent.
    ConnectionLost(String),
    /// The timeout expired after the request may have been sent.
    Timeout,
    /// The response is not valid for this interface.
    InvalidResponse {
        /// HTTP status of the response.
        status: u16,
    },
    /// The control process cannot execute the statement, but another one may.
    Retryable(Failure),
}

impl Cause {
    /// Returns true when the control process may have accepted the statement, or may still accept it.
    pub const fn may_be_accepted(&self) -> bool {
        match self {
            Self::Connect(_) => false,
            Self::Retryable(failure) => failure.may_be_accepted(),
            Self::ConnectionLost(_) | Self::Timeout | Self::InvalidResponse { .. } => true,
        }
    }
}

impl Error {
    /// Exit code of `shallotctl`.
    pub const fn exit_code(&self) -> u8 {
        match self {
            Self::Refused { failure, .. } => failure.exit_code(),
            Self::Unavailable { .. } => 3,
        }
    }

    /// Returns true when a change may have been accepted although no result was received.
    pub fn may_be_accepted(&self) -> bool {
        match self {
            Self::Refused { failure, .. } => failure.may_be_accepted(),
            Self::Unavailable { attempts } => {
                attempts.iter().any(|one| one.cause.may_be_accepted())
            }
        }
    }
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect(reason) => write!(f, "no connection: {reason}"),
            Self::ConnectionLost(reason) => write!(f, "connection lost: {reason}"),
            Self::Timeout => write!(f, "no response within the timeout"),
            Self::InvalidResponse { status } => write!(f, "unexpected status {status}"),
            Self::Retryable(failure) => write!(f, "{failure}"),
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused { address, failure } => {
                write!(f, "{address}: {}: {failure}", failure.code())
            }
            Self::Unavailable { attempts } if attempts.is_empty() => {
                write!(f, "no address of a control process is configured")
            }
            Self::Unavailable { attempts } => {
                write!(f, "no control process could execute the statement")?;
                let mut attempts = attempts.iter();
                attempts
                    .try_for_each(|attempt| write!(f, "; {}: {}", attempt.address, attempt.cause))
            }
        }
    }
}

impl error::Error for Error {}

impl Client {
    /// Creates a client that tries `addresses` in this order; `timeout` applies to all attempts of a statement together.
    pub const fn new(addresses: Vec<SocketAddr>, timeout: Duration) -> Self {
        Self { addresses, timeout }
    }

    /// Sends a statement to one control process after another until one returns a result or a final refusal.
    ///
    /// All attempts carry the same command id. If an earlier attempt was
    /// accepted although its response was lost, a later one returns the recorded
    /// reply and does not apply the change again.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Refused`] for a refusal that is the same at every control
    /// process, and [`Error::Unavailable`] when none returned a result within the timeout.
    pub async fn send(&self, request: &wire::Request) -> Result<ResultTable, Error> {
        let deadline = Instant::now() + self.timeout;
        let body = encode(request);
        let mut queue = self.addresses.clone();
        queue.reverse();
        let mut hints = LEADER_HINTS_MAX;
        let mut attempts: Vec<FailedAttempt> = Vec::new();
        while let Some(address) = queue.pop() {
            // Each remaining address gets an equal share of the remaining time, so that an unresponsive
            // process leaves time for the others.
            let remaining = deadline.saturating_duration_since(Instant::now());
            let share = remaining / u32::try_from(queue.len() + 1).unwrap_or(u32::MAX);
            let failure = match attempt(address, &body, share).await {
                Ok(Ok(table)) => return Ok(table),
                Ok(Err(failure)) if !failure.is_retryable() => {
                    return Err(Error::Refused { address, failure });
                }
                Ok(Err(failure)) => Cause::Retryable(failure),
                Err(cause) => cause,
            };
            if let Some(leader) = leader(&failure).filter(|_| hints > 0) {
                hints -= 1;
                queue.retain(|other| *other != leader);
                queue.push(leader);
            }
            attempts.push(FailedAttempt {
                address,
                cause: failure,
            });
        }
        Err(Error::Unavailable { attempts })
    }
}

fn encode(request: &wire::Request) -> Bytes {
    let text = serde_json::to_vec(request).expect("a request of strings can always be encoded");
    Bytes::from(text)
}

const fn leader(cause: &Cause) -> Option<SocketAddr> {
    match cause {
        Cause::Retryable(Failure::NotLeader { leader }) => *leader,
        _ => None,
    }
}

type Outcome = Result<ResultTable, Failure>;

async fn attempt(address: SocketAddr, body: &Bytes, timeout: Duration) -> Result<Outcome, Cause> {
    let deadline = time::Instant::now() + timeout;
    let stream = match time::timeout_at(deadline, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return Err(Cause::Connect(error.to_string())),
        Err(_) => return Err(Cause::Connect("connection timed out".to_owned())),
    };
    match time::timeout_at(deadline, exchange(address, stream, body.clone())).await {
        Ok(outcome) => outcome,
        Err(_) => Err(Cause::Timeout),
    }
}

async fn exchange(address: SocketAddr, stream: TcpStream, body: Bytes) -> Result<Outcome, Cause> {
    let connection_lost = |error: hyper::Error| Cause::ConnectionLost(error.to_string());
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.map_err(connection_lost)?;
    // The task ends when the sender is dropped or the peer closes.
    let connection_task = tokio::spawn(connection);
    let request = Request::post(wire::STATEMENTS)
        .header(header::HOST, address.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .header(header::CONNECTION, "close")
        .body(Full::new(body))
        .map_err(|error| Cause::Connect(error.to_string()))?;
    let response = sender.send_request(request).await.map_err(connection_lost);
    let outcome = match response {
        Ok(response) => read(response).await,
        Err(cause) => Err(cause),
    };
    connection_task.abort();
    outcome
}

async fn read(response: Response<Incoming>) -> Result<Outcome, Cause> {
    let status = response.status();
    let body = Limited::new(response.into_body(), RESPONSE_BYTES_MAX);
    let collected = body.collect().await;
    let bytes = collected
        .map_err(|error| Cause::ConnectionLost(error.to_string()))?
        .to_bytes();
    let invalid_response = Cause::InvalidResponse {
        status: status.as_u16(),
    };
    if status == StatusCode::OK {
        return serde_json::from_slice(&bytes)
            .map(Ok)
            .or(Err(invalid_response));
    }
    serde_json::from_slice(&bytes)
        .map(Err)
        .or(Err(invalid_response))
}
