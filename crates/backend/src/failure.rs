//! Why a request to the backend server got no whole answer.

use std::error;
use std::fmt;
use std::io;
use std::time::Duration;

/// A request that the backend server did not answer.
#[derive(Debug)]
pub enum Failure {
    /// No backend server has announced itself: nothing was sent.
    Absent,
    /// All connections are in use: nothing was sent.
    Exhausted {
        /// Connections open.
        open: usize,
    },
    /// No connection could be opened: nothing was sent.
    Connect(io::Error),
    /// The connection closed before any byte of the request was sent.
    NotSent,
    /// The permission to send the request expired before a connection was ready.
    Withdrawn,
    /// The connection closed after the request was sent, in part or whole.
    Lost(hyper::Error),
    /// No answer came in time; the connection was closed, which cancels the request.
    Timeout(Duration),
    /// The end of the answer cannot be told from a cut, so the answer is not passed on.
    Unframed,
    /// The answer names another request.
    Crossed,
    /// The answer changes the protocol, which was not asked for.
    Switched,
    /// No answer came while later requests on other connections were answered; the connection was closed.
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
                | Self::Withdrawn
        )
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Absent => f.write_str("no backend server has announced itself here"),
            Self::Exhausted { open } => write!(f, "all {open} connections are in use"),
            Self::Connect(cause) => write!(f, "no connection to the backend server: {cause}"),
            Self::Withdrawn => f.write_str("the permission to send the request expired"),
            Self::NotSent => f.write_str("the connection closed before the request was sent"),
            Self::Lost(cause) => {
                write!(f, "the connection to the backend server was lost: {cause}")
            }
            Self::Timeout(limit) => write!(f, "no answer within {limit:?}"),
            Self::Unframed => f.write_str("the answer states neither its length nor a coding"),
            Self::Crossed => f.write_str("the answer names another request"),
            Self::Switched => f.write_str("the answer changes the protocol"),
            Self::Silent(waited) => write!(
                f,
                "no answer within {waited:?} while other connections were answered"
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
