//! Why a request to another node got no answer.

use std::error;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// A request to another node that got no answer.
#[derive(Debug)]
pub enum Failure {
    /// No connection could be opened: the request was not sent.
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
    /// The connection or stream failed after the request was sent, in part or whole.
    Lost {
        /// Address of the node.
        address: SocketAddr,
        /// What the connection reported.
        cause: hyper::Error,
    },
    /// No answer came in time.
    Timeout {
        /// Address of the node.
        address: SocketAddr,
        /// How long was waited.
        waited: Duration,
    },
}

impl Failure {
    /// Whether it is certain that the other node never saw the request.
    pub const fn is_not_sent(&self) -> bool {
        matches!(self, Self::Connect { .. } | Self::NotSent { .. })
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect { address, cause } => {
                write!(f, "no connection to node {address}: {cause}")
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
            Self::Timeout { address, waited } => {
                write!(f, "no answer from node {address} within {waited:?}")
            }
        }
    }
}

impl error::Error for Failure {
    fn source(&self) -> Option<&(dyn error::Error + 'static)> {
        match self {
            Self::Connect { cause, .. } => Some(cause),
            Self::Lost { cause, .. } => Some(cause),
            Self::NotSent { .. } | Self::Timeout { .. } => None,
        }
    }
}
