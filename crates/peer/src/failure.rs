//! Failures of requests to another node.

use std::error;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use http::StatusCode;

/// Why a request to another node received no response.
#[derive(Debug)]
pub enum Failure {
    /// No connection could be opened; the request was not sent.
    Connect {
        /// Address of the node.
        address: SocketAddr,
        /// Why the connection could not be opened.
        cause: io::Error,
    },
    /// The connection failed before any byte of the request was sent.
    NotSent {
        /// Address of the node.
        address: SocketAddr,
    },
    /// The connection or stream failed after the request was sent partly or completely.
    Lost {
        /// Address of the node.
        address: SocketAddr,
        /// Error of the connection or stream.
        cause: hyper::Error,
    },
    /// The status is not one of a response; everything received is discarded.
    InvalidStatus {
        /// Address of the node.
        address: SocketAddr,
        /// Status that was received.
        status: StatusCode,
    },
    /// No response arrived in time.
    Timeout {
        /// Address of the node.
        address: SocketAddr,
        /// Time that the request waited.
        waited: Duration,
    },
}

impl Failure {
    /// Whether it is certain that the other node did not receive the request.
    pub const fn is_not_sent(&self) -> bool {
        matches!(self, Self::Connect { .. } | Self::NotSent { .. })
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect { address, cause } => {
                write!(f, "cannot connect to node {address}: {cause}")
            }
            Self::NotSent { address } => {
                write!(
                    f,
                    "the connection to node {address} closed before the request was sent"
                )
            }
            Self::Lost { address, cause } => {
                write!(f, "the connection to node {address} was lost: {cause}")
            }
            Self::InvalidStatus { address, status } => {
                let status = status.as_str();
                write!(
                    f,
                    "the status {status} from node {address} is not that of a response"
                )
            }
            Self::Timeout { address, waited } => {
                write!(f, "no response from node {address} within {waited:?}")
            }
        }
    }
}

impl error::Error for Failure {
    fn source(&self) -> Option<&(dyn error::Error + 'static)> {
        match self {
            Self::Connect { cause, .. } => Some(cause),
            Self::Lost { cause, .. } => Some(cause),
            Self::NotSent { .. } | Self::InvalidStatus { .. } | Self::Timeout { .. } => None,
        }
    }
}
