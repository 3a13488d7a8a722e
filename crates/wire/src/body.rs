//! Bodies of requests and responses.
//!
//! A response body ends in one of two ways: whole, or with an [`Error`]. An
//! error makes hyper abort the connection or reset the stream, so the reader
//! can never take a cut body for a short one.

use std::error;
use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use http_body::Body as _;
use http_body_util::BodyExt;
use http_body_util::Empty;
use http_body_util::Full;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use http_body_util::combinators::UnsyncBoxBody;

/// A response body.
pub type Body = UnsyncBoxBody<Bytes, Error>;

/// Why a body did not end whole.
#[derive(Debug)]
pub enum Error {
    /// The connection or stream that carried the body failed.
    Cut(Box<dyn error::Error + Send + Sync>),
    /// No bytes came within the time limit.
    Timeout(Duration),
    /// The body is longer than what is allowed; holds the limit in bytes.
    Large(usize),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Cut(cause) => write!(f, "the body ended before its end: {cause}"),
            Self::Timeout(limit) => write!(f, "no bytes of the body came within {limit:?}"),
            Self::Large(limit) => write!(f, "the body is longer than {limit} bytes"),
        }
    }
}

impl error::Error for Error {
    fn source(&self) -> Option<&(dyn error::Error + 'static)> {
        match self {
            Self::Cut(cause) => Some(cause.as_ref()),
            Self::Timeout(_) | Self::Large(_) => None,
        }
    }
}

/// A body that is complete in memory.
pub fn full(bytes: Bytes) -> Body {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// A body without bytes.
pub fn empty() -> Body {
    Empty::new().map_err(|never| match never {}).boxed_unsync()
}

/// Reads a whole body into memory.
///
/// # Errors
///
/// Returns [`Error`] when the body is cut, longer than `limit_bytes`, or not complete within `limit`.
pub async fn collect<B>(body: B, limit_bytes: usize, limit: Duration) -> Result<Bytes, Error>
where
    B: http_body::Body<Data = Bytes>,
    B::Error: Into<Box<dyn error::Error + Send + Sync>>,
{
    if body.size_hint().lower() > limit_bytes as u64 {
        return Err(Error::Large(limit_bytes));
    }
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let limited = Limited::new(body, limit_bytes);
    let collected = tokio::time::timeout(limit, limited.collect())
        .await
        .or(Err(Error::Timeout(limit)))?;
    match collected {
        Ok(whole) => Ok(whole.to_bytes()),
        Err(cause) if cause.is::<LengthLimitError>() => Err(Error::Large(limit_bytes)),
        Err(cause) => Err(Error::Cut(cause)),
    }
}

/// Whether the bytes of a response are framed, so that a cut can be told from the end.
///
/// A response that ends with its connection is not: its reader cannot know whether bytes are missing.
pub fn is_framed<B: http_body::Body>(headers: &http::HeaderMap, body: &B) -> bool {
    body.is_end_stream()
        || body.size_hint().exact().is_some()
        || headers.contains_key(http::header::TRANSFER_ENCODING)
}

/// The largest length that a body states, or nothing when it states none.
pub fn stated_length(body: &Body) -> Option<u64> {
    body.size_hint().exact()
}
