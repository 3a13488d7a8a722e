//! The client of the operators' interface.

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

/// Most bytes of an answer. A list of 22,000 targets is below 8 MiB at 300 bytes a row.
const ANSWER_BYTES_MAX: usize = 64 << 20;

/// Most hints to a leader that one statement follows, so that two processes that name each other end it.
const HINTS_MAX: usize = 3;

/// Sends statements to control processes.
#[derive(Clone, Debug)]
pub struct Client {
    addresses: Vec<SocketAddr>,
    timeout: Duration,
}

/// Why there is no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// A control process understood the statement and refused it or failed.
    Refused {
        /// The control process.
        address: SocketAddr,
        /// What it said.
        failure: Failure,
    },
    /// No control process could answer. The statement may have been accepted if one of the tries was sent.
    Unavailable {
        /// The tries in their order; none when no address is known.
        tries: Vec<Try>,
    },
}

/// A try at one control process that led to no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Try {
    /// The control process.
    pub address: SocketAddr,
    /// What happened.
    pub cause: Cause,
}

/// Why a try led to no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Cause {
    /// No connection was opened, so nothing was sent.
    Connect(String),
    /// The connection failed after the request may have been sent.
    Broken(String),
    /// The time was over after the request may have been sent.
    Timeout,
    /// The response is not one of this interface.
    Form {
        /// HTTP status of the response.
        status: u16,
    },
    /// The control process cannot answer, but another one may.
    Elsewhere(Failure),
}

impl Cause {
    /// Whether the control process may have accepted the statement, or may still do so.
    pub const fn is_open(&self) -> bool {
        match self {
            Self::Connect(_) => false,
            Self::Elsewhere(failure) => failure.is_open(),
            Self::Broken(_) | Self::Timeout | Self::Form { .. } => true,
        }
    }
}

impl Error {
    /// The exit code of the command line.
    pub const fn exit_code(&self) -> u8 {
        match self {
            Self::Refused { failure, .. } => failure.exit_code(),
            Self::Unavailable { .. } => 3,
        }
    }

    /// Whether a change may have been accepted although there is no answer.
    pub fn is_open(&self) -> bool {
        match self {
            Self::Refused { failure, .. } => failure.is_open(),
            Self::Unavailable { tries } => tries.iter().any(|one| one.cause.is_open()),
        }
    }
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect(reason) => write!(f, "no connection: {reason}"),
            Self::Broken(reason) => write!(f, "connection lost: {reason}"),
            Self::Timeout => write!(f, "no response in time"),
            Self::Form { status } => write!(f, "unexpected response with status {status}"),
            Self::Elsewhere(failure) => write!(f, "{failure}"),
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused { address, failure } => {
                write!(f, "{address}: {}: {failure}", failure.code())
            }
            Self::Unavailable { tries } if tries.is_empty() => {
                write!(f, "no address of a control process is known")
            }
            Self::Unavailable { tries } => {
                write!(f, "no control process could answer")?;
                let mut tries = tries.iter();
                tries.try_for_each(|one| write!(f, "; {}: {}", one.address, one.cause))
            }
        }
    }
}

impl error::Error for Error {}

impl Client {
    /// Makes a client that tries `addresses` in this order, within `timeout` for each statement.
    pub const fn new(addresses: Vec<SocketAddr>, timeout: Duration) -> Self {
        Self { addresses, timeout }
    }

    /// Sends a statement until a control process answers it or refuses it.
    ///
    /// All tries carry the same command id, so a change that a lost try has
    /// made is answered and not made again.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Refused`] for a refusal that holds everywhere, and
    /// [`Error::Unavailable`] when no control process could answer in time.
    pub async fn send(&self, request: &wire::Request) -> Result<ResultTable, Error> {
        let end = Instant::now() + self.timeout;
        let body = encode(request);
        let mut queue = self.addresses.clone();
        queue.reverse();
        let mut hints = HINTS_MAX;
        let mut tries: Vec<Try> = Vec::new();
        while let Some(address) = queue.pop() {
            // Each address left gets an equal share, so a silent first one leaves time for the others.
            let left = end.saturating_duration_since(Instant::now());
            let share = left / u32::try_from(queue.len() + 1).unwrap_or(u32::MAX);
            let failure = match attempt(address, &body, share).await {
                Ok(Ok(answer)) => return Ok(answer),
                Ok(Err(failure)) if !failure.is_elsewhere() => {
                    return Err(Error::Refused { address, failure });
                }
                Ok(Err(failure)) => Cause::Elsewhere(failure),
                Err(cause) => cause,
            };
            if let Some(leader) = leader(&failure).filter(|_| hints > 0) {
                hints -= 1;
                queue.retain(|other| *other != leader);
                queue.push(leader);
            }
            tries.push(Try {
                address,
                cause: failure,
            });
        }
        Err(Error::Unavailable { tries })
    }
}

fn encode(request: &wire::Request) -> Bytes {
    let text = serde_json::to_vec(request).expect("a request of strings is always encoded");
    Bytes::from(text)
}

const fn leader(cause: &Cause) -> Option<SocketAddr> {
    match cause {
        Cause::Elsewhere(Failure::NotLeader { leader }) => *leader,
        _ => None,
    }
}

type Outcome = Result<ResultTable, Failure>;

async fn attempt(address: SocketAddr, body: &Bytes, limit: Duration) -> Result<Outcome, Cause> {
    let end = time::Instant::now() + limit;
    let stream = match time::timeout_at(end, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return Err(Cause::Connect(error.to_string())),
        Err(_) => return Err(Cause::Connect("no connection in time".to_owned())),
    };
    match time::timeout_at(end, exchange(address, stream, body.clone())).await {
        Ok(outcome) => outcome,
        Err(_) => Err(Cause::Timeout),
    }
}

async fn exchange(address: SocketAddr, stream: TcpStream, body: Bytes) -> Result<Outcome, Cause> {
    let broken = |error: hyper::Error| Cause::Broken(error.to_string());
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.map_err(broken)?;
    // The task ends when the sender is dropped or the peer closes.
    let driver = tokio::spawn(connection);
    let request = Request::post(wire::STATEMENTS)
        .header(header::HOST, address.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .header(header::CONNECTION, "close")
        .body(Full::new(body))
        .map_err(|error| Cause::Connect(error.to_string()))?;
    let response = sender.send_request(request).await.map_err(broken);
    let outcome = match response {
        Ok(response) => read(response).await,
        Err(cause) => Err(cause),
    };
    driver.abort();
    outcome
}

async fn read(response: Response<Incoming>) -> Result<Outcome, Cause> {
    let status = response.status();
    let body = Limited::new(response.into_body(), ANSWER_BYTES_MAX);
    let collected = body.collect().await;
    let bytes = collected
        .map_err(|error| Cause::Broken(error.to_string()))?
        .to_bytes();
    let form = Cause::Form {
        status: status.as_u16(),
    };
    if status == StatusCode::OK {
        return serde_json::from_slice(&bytes).map(Ok).or(Err(form));
    }
    serde_json::from_slice(&bytes).map(Err).or(Err(form))
}
