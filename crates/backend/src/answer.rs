//! The body of an answer, which returns its connection and reports how it ended.

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

/// How an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Every byte was passed on.
    Whole,
    /// The connection failed, or the deadline passed, before the end.
    Cut,
    /// The reader lost interest before the end.
    Dropped,
}

/// Called once with the way in which an answer ended.
pub type Finish = Box<dyn FnOnce(End) + Send>;

/// The body of an answer.
///
/// A connection goes back to its pool only when its answer has been read whole.
/// In every other case it is closed, which also cancels the request.
pub struct Answer {
    inner: Incoming,
    deadline: Pin<Box<Sleep>>,
    limit: Duration,
    connection: Option<Connection>,
    pool: Arc<Pool>,
    finish: Option<Finish>,
}

impl fmt::Debug for Answer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Answer")
            .field("inner", &self.inner)
            .field("limit", &self.limit)
            .finish_non_exhaustive()
    }
}

impl Answer {
    pub(crate) fn new(
        inner: Incoming,
        limit: Duration,
        connection: Connection,
        pool: Arc<Pool>,
        finish: Finish,
    ) -> Self {
        let mut answer = Self {
            inner,
            deadline: Box::pin(time::sleep(limit)),
            limit,
            connection: Some(connection),
            pool,
            finish: Some(finish),
        };
        if answer.inner.is_end_stream() {
            answer.end(End::Whole);
        }
        answer
    }

    fn end(&mut self, end: End) {
        if let Some(connection) = self.connection.take() {
            match end {
                End::Whole => self.pool.give_back(connection),
                End::Cut | End::Dropped => self.pool.close(connection),
            }
        }
        if let Some(finish) = self.finish.take() {
            finish(end);
        }
    }
}

impl Body for Answer {
    type Data = Bytes;
    type Error = body::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, body::Error>>> {
        match Pin::new(&mut self.inner).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => {
                if self.inner.is_end_stream() {
                    self.end(End::Whole);
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(error))) => {
                self.end(End::Cut);
                Poll::Ready(Some(Err(body::Error::Cut(Box::new(error)))))
            }
            Poll::Ready(None) => {
                self.end(End::Whole);
                Poll::Ready(None)
            }
            Poll::Pending if self.deadline.as_mut().poll(cx).is_ready() => {
                self.end(End::Cut);
                Poll::Ready(Some(Err(body::Error::Timeout(self.limit))))
            }
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

impl Drop for Answer {
    fn drop(&mut self) {
        self.end(End::Dropped);
    }
}
