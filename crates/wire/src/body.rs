//! Bodies of requests and responses.
//!
//! A response body ends in one of two ways: whole, or with an [`Error`]. An
//! error makes hyper abort the connection or reset the stream, so the reader
//! can never take a cut body for a short one.

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

/// The start of a body, and the rest when the body is longer.
#[derive(Debug)]
pub enum Prefix {
    /// The whole body.
    Whole(Bytes),
    /// The body is longer than the limit; reading this yields all of it.
    Longer(Body),
}

/// Reads a body up to a limit without losing what lies beyond it.
///
/// # Errors
///
/// Returns [`Error`] when the body is cut before the limit is reached.
pub async fn prefix(mut body: Body, limit_bytes: usize) -> Result<Prefix, Error> {
    if body.size_hint().lower() > limit_bytes as u64 {
        return Ok(Prefix::Longer(body));
    }
    let mut read = BytesMut::new();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            read.extend_from_slice(&data);
        }
        if read.len() > limit_bytes {
            let first = Some(read.freeze());
            return Ok(Prefix::Longer(Chain { first, rest: body }.boxed_unsync()));
        }
    }
    Ok(Prefix::Whole(read.freeze()))
}

/// Bytes that were read already, followed by the rest of their body.
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

/// A body that keeps a value until it ends or is dropped.
pub fn holding<T: Send + Unpin + 'static>(body: Body, value: T) -> Body {
    Holding { body, value }.boxed_unsync()
}

struct Holding<T> {
    body: Body,
    #[expect(dead_code, reason = "the value acts when it is dropped")]
    value: T,
}

impl<T: Unpin> http_body::Body for Holding<T> {
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
