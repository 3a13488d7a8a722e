//! Bodies of HTTP requests and responses.
//!
//! A response body either ends complete or fails with an [`Error`]. On an error
//! hyper aborts the connection or resets the stream, so the reader cannot
//! mistake a truncated body for a short one.

use std::error;
use std::fmt;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http_body::Body as _;
use http_body::Frame;
use http_body::SizeHint;
use http_body_util::BodyExt;
use http_body_util::Empty;
use http_body_util::Full;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use http_body_util::combinators::UnsyncBoxBody;

/// Boxed request or response body whose errors state why it is incomplete.
pub type Body = UnsyncBoxBody<Bytes, Error>;

/// Why a body is incomplete.
#[derive(Debug)]
pub enum Error {
    /// The connection or stream that carried the body failed.
    Truncated(Box<dyn error::Error + Send + Sync>),
    /// The body was not complete within this time.
    Timeout(Duration),
    /// The body is longer than this limit in bytes.
    TooLarge(usize),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Truncated(cause) => write!(f, "the body was truncated: {cause}"),
            Self::Timeout(limit) => write!(f, "the body was not complete within {limit:?}"),
            Self::TooLarge(limit) => {
                write!(f, "the body is longer than the limit of {limit} bytes")
            }
        }
    }
}

impl error::Error for Error {
    fn source(&self) -> Option<&(dyn error::Error + 'static)> {
        match self {
            Self::Truncated(cause) => Some(cause.as_ref()),
            Self::Timeout(_) | Self::TooLarge(_) => None,
        }
    }
}

/// Creates a body from bytes in memory.
pub fn full(bytes: Bytes) -> Body {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Creates a body without bytes.
pub fn empty() -> Body {
    Empty::new().map_err(|never| match never {}).boxed_unsync()
}

/// Reads a complete body into memory.
///
/// # Errors
///
/// Returns [`Error`] when the body is truncated, longer than `limit_bytes`, or not complete within `timeout`.
pub async fn collect<B>(body: B, limit_bytes: usize, timeout: Duration) -> Result<Bytes, Error>
where
    B: http_body::Body<Data = Bytes>,
    B::Error: Into<Box<dyn error::Error + Send + Sync>>,
{
    if body.size_hint().lower() > limit_bytes as u64 {
        return Err(Error::TooLarge(limit_bytes));
    }
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let limited = Limited::new(body, limit_bytes);
    let collected = tokio::time::timeout(timeout, limited.collect())
        .await
        .or(Err(Error::Timeout(timeout)))?;
    match collected {
        Ok(complete) => Ok(complete.to_bytes()),
        Err(cause) if cause.is::<LengthLimitError>() => Err(Error::TooLarge(limit_bytes)),
        Err(cause) => Err(Error::Truncated(cause)),
    }
}

/// Reads a body to its end without keeping its bytes, so that its connection can be reused.
///
/// # Errors
///
/// Returns [`Error`] when the body is truncated, longer than `limit_bytes`, or not complete within `timeout`. The
/// body is dropped then, which closes its connection.
pub async fn discard(mut body: Body, limit_bytes: usize, timeout: Duration) -> Result<(), Error> {
    if body.size_hint().lower() > limit_bytes as u64 {
        return Err(Error::TooLarge(limit_bytes));
    }
    let reading = async {
        let mut read_bytes = 0;
        while let Some(frame) = body.frame().await {
            read_bytes += frame?.data_ref().map_or(0, Bytes::len);
            if read_bytes > limit_bytes {
                return Err(Error::TooLarge(limit_bytes));
            }
        }
        Ok(())
    };
    tokio::time::timeout(timeout, reading)
        .await
        .or(Err(Error::Timeout(timeout)))?
}

/// Whether a response states where its body ends, so that truncation can be detected.
///
/// A response that is delimited by the close of its connection is not framed: its reader cannot detect missing bytes.
pub fn is_framed<B: http_body::Body>(headers: &http::HeaderMap, body: &B) -> bool {
    body.is_end_stream()
        || body.size_hint().exact().is_some()
        || headers.contains_key(http::header::TRANSFER_ENCODING)
}

/// The exact length of a body in bytes; `None` if it is not known in advance.
pub fn stated_length(body: &Body) -> Option<u64> {
    body.size_hint().exact()
}

/// Result of reading a body up to a limit.
#[derive(Debug)]
pub enum Prefix {
    /// The complete body.
    Complete(Bytes),
    /// The body is longer than the limit; this body yields all bytes, including those already read.
    Longer(Body),
}

/// Reads a body up to a limit; the bytes beyond the limit remain readable.
///
/// # Errors
///
/// Returns [`Error`] when the body fails before the limit is reached.
pub async fn prefix(mut body: Body, limit_bytes: usize) -> Result<Prefix, Error> {
    if body.size_hint().lower() > limit_bytes as u64 {
        return Ok(Prefix::Longer(body));
    }
    let mut buffer = BytesMut::new();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            buffer.extend_from_slice(&data);
        }
        if buffer.len() > limit_bytes {
            let first = Some(buffer.freeze());
            return Ok(Prefix::Longer(Chain { first, rest: body }.boxed_unsync()));
        }
    }
    Ok(Prefix::Complete(buffer.freeze()))
}

/// Bytes that were already read, followed by the rest of their body.
struct Chain {
    first: Option<Bytes>,
    rest: Body,
}

impl http_body::Body for Chain {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        match self.first.take() {
            Some(first) => Poll::Ready(Some(Ok(Frame::data(first)))),
            None => Pin::new(&mut self.rest).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.first.is_none() && self.rest.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let first = self.first.as_ref().map_or(0, Bytes::len) as u64;
        let rest = self.rest.size_hint();
        match rest.exact() {
            Some(rest) => SizeHint::with_exact(first + rest),
            None => SizeHint::default(),
        }
    }
}

/// Attaches a value to a body that is dropped together with the body.
pub fn with_guard<T: Send + Unpin + 'static>(body: Body, guard: T) -> Body {
    GuardedBody { body, guard }.boxed_unsync()
}

struct GuardedBody<T> {
    body: Body,
    #[expect(dead_code, reason = "the guard takes effect when it is dropped")]
    guard: T,
}

impl<T: Unpin> http_body::Body for GuardedBody<T> {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
