//! Bodies of HTTP requests and responses.
//!
//! A response body either ends complete or fails with an [`Error`]. On an error
//! hyper aborts the connection or resets the stream, so the reader cannot
//! mistake a truncated body for a short one.

use std::error;
use std::fmt;
use std::pin::Pin;
use std::sync::Arc;
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
use tokio::time;
use tokio::time::Instant;

use crate::budget::Arrival;
use crate::budget::Budget;
use crate::budget::Refusal;
use shallotrill_limits::memory::Kind;

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
    /// The budget of the process does not allow to hold it.
    Refused(Refusal),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Truncated(cause) => write!(f, "the body was truncated: {cause}"),
            Self::Timeout(limit) => write!(f, "the body was not complete within {limit:?}"),
            Self::TooLarge(limit) => {
                write!(f, "the body is longer than the limit of {limit} bytes")
            }
            Self::Refused(refusal) => write!(f, "the body is refused: {refusal}"),
        }
    }
}

impl error::Error for Error {
    fn source(&self) -> Option<&(dyn error::Error + 'static)> {
        match self {
            Self::Truncated(cause) => Some(cause.as_ref()),
            Self::Timeout(_) | Self::TooLarge(_) | Self::Refused(_) => None,
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

/// A body of up to this size that arrives in one piece is part of the read buffer of its connection.
const IN_BUFFER_BYTES: usize = 16 * 1024;

/// Interval of the check whether a body progresses.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// Reads a complete body into memory that is taken from a budget as the body arrives.
///
/// # Errors
///
/// Returns [`Error`] in the cases of [`collect`], and when there is no memory or the body arrives too slowly.
pub async fn collect_within<B>(
    mut body: B,
    limit_bytes: usize,
    timeout: Duration,
    (budget, kind): (&Arc<Budget>, Kind),
) -> Result<Bytes, Error>
where
    B: http_body::Body<Data = Bytes> + Unpin,
    B::Error: Into<Box<dyn error::Error + Send + Sync>>,
{
    let size = body.size_hint();
    if size.lower() > limit_bytes as u64 {
        return Err(Error::TooLarge(limit_bytes));
    }
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let expected_bytes = size.exact().map_or(limit_bytes, |bytes| bytes as usize);
    let started = Instant::now();
    let deadline = started + timeout;
    let mut check_at = started + PROGRESS_INTERVAL;
    let mut arrival: Option<Arrival> = None;
    loop {
        let frame = tokio::select! {
            biased;
            () = ended(arrival.as_ref()) => return Err(Error::Refused(Refusal::NoRoom)),
            frame = time::timeout_at(deadline.min(check_at), body.frame()) => frame,
        };
        let frame = match frame {
            Ok(Some(frame)) => frame.map_err(|cause| Error::Truncated(cause.into()))?,
            Ok(None) => return Ok(arrival.map_or_else(Bytes::new, Arrival::finish)),
            Err(_) if Instant::now() >= deadline => return Err(Error::Timeout(timeout)),
            Err(_) => {
                check_at += PROGRESS_INTERVAL;
                let arrived = arrival.as_ref().map_or(0, Arrival::len) as u64;
                if budget.rule().is_too_slow(arrived, started.elapsed()) {
                    return Err(Error::Refused(Refusal::TooSlow));
                }
                continue;
            }
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let arrival = match &mut arrival {
            Some(arrival) => arrival,
            None if data.len() <= IN_BUFFER_BYTES && body.is_end_stream() => return Ok(data),
            none => none.insert(budget.hold(kind, expected_bytes).map_err(Error::Refused)?),
        };
        if arrival.len() + data.len() > limit_bytes {
            return Err(Error::TooLarge(limit_bytes));
        }
        arrival.push(&data).await.map_err(Error::Refused)?;
    }
}

async fn ended(arrival: Option<&Arrival>) {
    match arrival {
        Some(arrival) => arrival.ended().notified().await,
        None => std::future::pending().await,
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
