//! Reading of requests that arrive while earlier ones of their connection are in progress.
//!
//! hyper handles the requests of a connection one after the other and does not
//! read from its stream while it holds bytes of a later request. The time for
//! which a request has waited could not be known then, so its bytes are read
//! when they arrive, up to the limits below.

use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Buf;
use bytes::BytesMut;
use tokio::io::AsyncRead;
use tokio::io::ReadBuf;
use tokio::time;
use tokio::time::Instant;
use tokio::time::Sleep;

use shallotrill_locks::Mutex;
use shallotrill_locks::Rank;

/// Maximum number of bytes of one connection that are read before hyper asks for them.
pub const READ_AHEAD_BYTES_MAX: usize = 16 * 1024;

/// Number of waiting requests from which a connection is not read ahead. A request behind so many others
/// is late when its turn comes: sixteen times the shortest work of a target, 40 ms, exceeds every objective
/// below 640 ms.
pub const WAITING_REQUESTS_MAX: usize = 16;

/// Bytes read at once.
const CHUNK_BYTES: usize = 4 * 1024;

/// Longest time for which the bytes of a closed connection are read and discarded. The kernel resets a connection that
/// is closed with unread bytes, and the end of the last response is lost with it. This covers what a caller has sent
/// before it learns of the close, also when a packet is lost.
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of bytes that are read and discarded after the last response.
const LINGER_BYTES_MAX: usize = 1024 * 1024;

/// Time at which the first byte of a request arrived; an extension of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival(pub Instant);

/// Arrival times of the requests of a connection whose heads are complete and that have not been handled.
#[derive(Clone, Debug)]
pub struct Arrivals(Arc<Mutex<VecDeque<Arrival>>>);

impl Default for Arrivals {
    fn default() -> Self {
        Self(Arc::new(Mutex::new(Rank::Pool, VecDeque::new())))
    }
}

impl Arrivals {
    /// Records the next request.
    pub(crate) fn push(&self, arrival: Arrival) {
        self.0.lock().push_back(arrival);
    }

    /// Removes the arrival of the next request to handle. Requests are handled in the order of their arrival.
    pub fn next(&self) -> Option<Arrival> {
        self.0.lock().pop_front()
    }

    fn waiting(&self) -> usize {
        self.0.lock().len()
    }
}

/// The end of the received bytes, which is reported after the bytes before it.
#[derive(Debug)]
enum End {
    Closed,
    /// Contains `None` once the error has been reported.
    Failed(Option<io::Error>),
}

/// Bytes that were read ahead.
#[derive(Debug, Default)]
pub(crate) struct ReadAhead {
    bytes: BytesMut,
    end: Option<End>,
    /// Time since which nothing has been read ahead because a limit is reached. Bytes that are read afterwards may have
    /// arrived at any time since then, so they count from here.
    paused_since: Option<Instant>,
    arrivals: Arrivals,
    linger: Option<Pin<Box<Sleep>>>,
    /// Bytes discarded since the last response.
    discarded_bytes: usize,
}

impl ReadAhead {
    pub(crate) fn new(arrivals: Arrivals) -> Self {
        Self {
            arrivals,
            ..Self::default()
        }
    }

    /// Reads what has arrived, up to the limits, and passes it to `scan` with the time of its arrival.
    pub(crate) fn fill<S: AsyncRead + Unpin>(
        &mut self,
        cx: &mut Context<'_>,
        stream: &mut S,
        mut scan: impl FnMut(&[u8], Instant),
    ) {
        while self.end.is_none() {
            let room = READ_AHEAD_BYTES_MAX - self.bytes.len();
            if room == 0 || self.arrivals.waiting() >= WAITING_REQUESTS_MAX {
                self.paused_since.get_or_insert_with(Instant::now);
                return;
            }
            let mut chunk = [0; CHUNK_BYTES];
            let mut buffer = ReadBuf::new(&mut chunk[..room.min(CHUNK_BYTES)]);
            match Pin::new(&mut *stream).poll_read(cx, &mut buffer) {
                Poll::Pending => return,
                Poll::Ready(Ok(())) if buffer.filled().is_empty() => self.end = Some(End::Closed),
                Poll::Ready(Ok(())) => {
                    scan(buffer.filled(), self.arrived());
                    self.bytes.extend_from_slice(buffer.filled());
                }
                Poll::Ready(Err(error)) => self.end = Some(End::Failed(Some(error))),
            }
        }
    }

    /// Time at which bytes that are read now arrived, or the earliest time at which they may have.
    pub(crate) fn arrived(&mut self) -> Instant {
        self.paused_since.take().unwrap_or_else(Instant::now)
    }

    /// Moves bytes that were read ahead to `buffer`; `None` when there are none and the stream has not ended.
    pub(crate) fn take(&mut self, buffer: &mut ReadBuf<'_>) -> Option<io::Result<()>> {
        if self.bytes.is_empty() {
            return match self.end.as_mut()? {
                End::Closed => Some(Ok(())),
                End::Failed(error) => Some(Err(taken(error))),
            };
        }
        let length = self.bytes.len().min(buffer.remaining());
        buffer.put_slice(&self.bytes[..length]);
        self.bytes.advance(length);
        if self.bytes.is_empty() {
            // An idle connection holds no buffer.
            self.bytes = BytesMut::new();
        }
        Some(Ok(()))
    }

    /// Fails once the connection has failed, although bytes before the failure have not been taken: nobody receives a
    /// response any more.
    pub(crate) fn check(&mut self) -> io::Result<()> {
        match &mut self.end {
            Some(End::Failed(error)) => Err(taken(error)),
            _ => Ok(()),
        }
    }

    /// Whether [`ReadAhead::poll_linger`] has begun.
    pub(crate) const fn is_lingering(&self) -> bool {
        self.linger.is_some()
    }

    /// Reads and discards what the caller still sends after the last response, until it closes or a limit is reached.
    pub(crate) fn poll_linger<S: AsyncRead + Unpin>(
        &mut self,
        cx: &mut Context<'_>,
        stream: &mut S,
    ) -> Poll<()> {
        self.bytes = BytesMut::new();
        if self.end.is_some() {
            return Poll::Ready(());
        }
        let mut has_read = self.linger.is_some() || self.arrivals.waiting() > 0;
        loop {
            let mut chunk = [0; CHUNK_BYTES];
            let mut buffer = ReadBuf::new(&mut chunk);
            match Pin::new(&mut *stream).poll_read(cx, &mut buffer) {
                Poll::Ready(Ok(())) if !buffer.filled().is_empty() => {
                    has_read = true;
                    self.discarded_bytes += buffer.filled().len();
                    if self.discarded_bytes > LINGER_BYTES_MAX {
                        return Poll::Ready(());
                    }
                }
                Poll::Ready(_) => return Poll::Ready(()),
                // A caller that sends nothing ahead is not waited for.
                Poll::Pending if !has_read => return Poll::Ready(()),
                Poll::Pending => break,
            }
        }
        let linger = self
            .linger
            .get_or_insert_with(|| Box::pin(time::sleep(LINGER_TIMEOUT)));
        linger.as_mut().poll(cx)
    }
}

/// The error of the stream the first time, and one of the same meaning afterwards.
fn taken(error: &mut Option<io::Error>) -> io::Error {
    let reset = || io::Error::from(io::ErrorKind::ConnectionReset);
    error.take().unwrap_or_else(reset)
}
