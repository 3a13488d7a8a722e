//! Failures of requests to the backend server.

use std::error;
use std::fmt;
use std::io;
use std::time::Duration;

use http::StatusCode;

/// Why a request to the backend server received no valid response head.
#[derive(Debug)]
pub enum Failure {
    /// No backend server has announced itself; nothing was sent.
    Absent,
    /// All connections are in use; nothing was sent.
    Exhausted {
        /// Number of open connections.
        open: usize,
    },
    /// No connection could be opened; nothing was sent.
    Connect(io::Error),
    /// The connection closed before any byte of the request was sent.
    NotSent,
    /// The permission to send the request expired before a connection was ready.
    PermissionExpired,
    /// The connection closed after the request was sent partly or completely.
    Lost(hyper::Error),
    /// No response arrived in time; the connection was closed, which cancels the request.
    Timeout(Duration),
    /// The response does not state where it ends, so truncation could not be detected; it is discarded.
    Unframed,
    /// The response contains the id of another request.
    MismatchedResponse,
    /// The response switches the protocol, which was not requested.
    ProtocolSwitched,
    /// The status is not one of a response; everything received is discarded.
    InvalidStatus(StatusCode),
    /// No response arrived while later requests on other connections were answered; the connection was closed.
    Silent(Duration),
}

impl Failure {
    /// Whether it is certain that the backend server never saw the request.
    pub const fn is_not_sent(&self) -> bool {
        matches!(
            self,
            Self::Absent
                | Self::Exhausted { .. }
                | Self::Connect(_)
                | Self::NotSent
                | Self::PermissionExpired
        )
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Absent => f.write_str("no backend server has announced itself here"),
            Self::Exhausted { open } => write!(f, "all {open} backend connections are in use"),
            Self::Connect(cause) => write!(f, "cannot connect to the backend server: {cause}"),
            Self::PermissionExpired => f.write_str(
                "the permission to send the request expired before a connection was ready",
            ),
            Self::NotSent => f.write_str(
                "the connection to the backend server closed before the request was sent",
            ),
            Self::Lost(cause) => {
                write!(f, "the connection to the backend server was lost: {cause}")
            }
            Self::Timeout(timeout) => write!(f, "no backend response within {timeout:?}"),
            Self::Unframed => f.write_str("the response has neither length nor transfer coding"),
            Self::MismatchedResponse => {
                f.write_str("the response contains the id of another request")
            }
            Self::ProtocolSwitched => f.write_str("the response switches the protocol"),
            Self::InvalidStatus(status) => {
                write!(
                    f,
                    "the status {} is not that of a response",
                    status.as_str()
                )
            }
            Self::Silent(waited) => write!(
                f,
                "no response within {waited:?} while requests on other connections were answered"
            ),
        }
    }
}

impl error::Error for Failure {
    fn source(&self) -> Option<&(dyn error::Error + 'static)> {
        match self {
            Self::Connect(cause) => Some(cause),
            Self::Lost(cause) => Some(cause),
            _ => None,
        }
    }
}
