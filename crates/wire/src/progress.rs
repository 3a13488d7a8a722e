//! A stream that fails when its peer reads too slowly.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::time;
use tokio::time::Instant;
use tokio::time::Sleep;

use crate::budget::Budget;

/// Interval of the check while a write is pending.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// A stream whose writes must progress at the least rate of the [`Budget`].
///
/// Only the time in which a write is pending is counted, and nothing is allocated before a write is.
#[derive(Debug)]
pub struct Stream<S> {
    inner: S,
    budget: Option<Arc<Budget>>,
    pending_since: Option<Instant>,
    /// Pending time before `pending_since`, and the bytes written since that time was zero.
    pending: Duration,
    written: u64,
    check: Option<Pin<Box<Sleep>>>,
}

impl<S> Stream<S> {
    /// Wraps a stream; without a budget, nothing is checked.
    pub const fn new(inner: S, budget: Option<Arc<Budget>>) -> Self {
        Self {
            inner,
            budget,
            pending_since: None,
            pending: Duration::ZERO,
            written: 0,
            check: None,
        }
    }

    fn record(
        &mut self,
        polled: Poll<io::Result<usize>>,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<usize>> {
        let Some(budget) = &self.budget else {
            return polled;
        };
        let now = Instant::now;
        match &polled {
            Poll::Ready(result) => {
                if let Some(since) = self.pending_since.take() {
                    self.pending += since.elapsed();
                }
                if !self.pending.is_zero() {
                    self.written += result.as_ref().map_or(0, |bytes| *bytes as u64);
                }
                polled
            }
            Poll::Pending => {
                let since = *self.pending_since.get_or_insert_with(now);
                let pending = self.pending + since.elapsed();
                let rule = budget.rule();
                if rule.is_too_slow(self.written, pending) {
                    let reason = "the client reads too slowly";
                    return Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, reason)));
                }
                if pending > rule.grace() * 2 {
                    self.pending_since = Some(now());
                    self.pending = Duration::ZERO;
                    self.written = 0;
                }
                let check = self
                    .check
                    .get_or_insert_with(|| Box::pin(time::sleep(CHECK_INTERVAL)));
                while check.as_mut().poll(cx).is_ready() {
                    check.as_mut().reset(now() + CHECK_INTERVAL);
                }
                Poll::Pending
            }
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Stream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(cx, buffer)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Stream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write(cx, bytes);
        self.record(polled, cx)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write_vectored(cx, slices);
        self.record(polled, cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}
