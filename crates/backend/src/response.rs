//! Response body that releases its connection when it ends and reports how it ended.

use std::fmt;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;
use hyper::body::Incoming;
use tokio::time;
use tokio::time::Sleep;

use crate::connection::Connection;
use crate::pool::Pool;
use shallotrill_wire::body;

/// How a response ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// All bytes were passed to the reader.
    Complete,
    /// The connection failed or the deadline expired before the end.
    Truncated,
    /// The reader dropped the body before the end.
    Dropped,
}

/// Callback that is called once when the response has ended.
pub type Finish = Box<dyn FnOnce(End) + Send>;

/// The body of a backend server's response.
///
/// The connection is returned to its pool only after the response has been read
/// completely. Otherwise it is closed, which also cancels the request.
pub struct ResponseBody {
    inner: Incoming,
    deadline: Pin<Box<Sleep>>,
    timeout: Duration,
    connection: Option<Connection>,
    pool: Arc<Pool>,
    finish: Option<Finish>,
}

impl fmt::Debug for ResponseBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ResponseBody")
            .field("inner", &self.inner)
            .field("timeout", &self.timeout)
            .finish_non_exhaustive()
    }
}

impl ResponseBody {
    pub(crate) fn new(
        inner: Incoming,
        timeout: Duration,
        connection: Connection,
        pool: Arc<Pool>,
        finish: Finish,
    ) -> Self {
        let mut body = Self {
            inner,
            deadline: Box::pin(time::sleep(timeout)),
            timeout,
            connection: Some(connection),
            pool,
            finish: Some(finish),
        };
        if body.inner.is_end_stream() {
            body.end(End::Complete);
        }
        body
    }

    fn time_out(&mut self) -> Poll<Option<Result<Frame<Bytes>, body::Error>>> {
        self.end(End::Truncated);
        Poll::Ready(Some(Err(body::Error::Timeout(self.timeout))))
    }

    fn end(&mut self, end: End) {
        if let Some(connection) = self.connection.take() {
            match end {
                End::Complete => self.pool.release(connection),
                End::Truncated | End::Dropped => self.pool.close(connection),
            }
        }
        if let Some(finish) = self.finish.take() {
            finish(end);
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = body::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, body::Error>>> {
        match Pin::new(&mut self.inner).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) if self.inner.is_end_stream() => {
                self.end(End::Complete);
                Poll::Ready(Some(Ok(frame)))
            }
            // An endless body whose reader is slower than its sender is never pending, so the deadline
            // is checked here too.
            Poll::Ready(Some(Ok(frame))) if self.deadline.as_mut().poll(cx).is_pending() => {
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Ok(_))) => self.time_out(),
            Poll::Ready(Some(Err(error))) => {
                self.end(End::Truncated);
                Poll::Ready(Some(Err(body::Error::Truncated(Box::new(error)))))
            }
            Poll::Ready(None) => {
                self.end(End::Complete);
                Poll::Ready(None)
            }
            Poll::Pending if self.deadline.as_mut().poll(cx).is_ready() => self.time_out(),
            Poll::Pending => Poll::Pending,
        }
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

impl Drop for ResponseBody {
    fn drop(&mut self) {
        self.end(End::Dropped);
    }
}
