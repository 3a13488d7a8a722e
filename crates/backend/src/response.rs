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
use tokio::task::AbortHandle;
use tokio::time;
use tokio::time::Sleep;

use crate::connection::Connection;
use crate::pool::Pool;
use shallotrill_locks::Mutex;
use shallotrill_locks::Rank;
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

/// A response is watched by a task from the frame on after which more than this is missing. Shorter ones fit into the
/// buffers between the backend server and the reader, so their end does not depend on the reader.
const WATCHED_BYTES: u64 = 32 * 1024;

/// What is released when a response ends.
struct Held {
    connection: Connection,
    pool: Arc<Pool>,
    finish: Finish,
}

impl Held {
    fn release(self, end: End) {
        match end {
            End::Complete => self.pool.release(self.connection),
            End::Truncated | End::Dropped => self.pool.close(self.connection),
        }
        (self.finish)(end);
    }
}

/// The body of a backend server's response.
///
/// The connection is returned to its pool only after the response has been read
/// completely. Otherwise it is closed, which also cancels the request.
pub struct ResponseBody {
    inner: Incoming,
    deadline: Pin<Box<Sleep>>,
    timeout: Duration,
    held: Option<Held>,
    /// Set for a long response: what it holds is released at the deadline even if the reader has stopped reading and
    /// this body is not polled any more.
    watched: Option<Watched>,
}

/// What a long response holds, shared with the task that releases it at the deadline.
struct Watched {
    held: Arc<Mutex<Option<Held>>>,
    task: AbortHandle,
}

impl Drop for Watched {
    fn drop(&mut self) {
        self.task.abort();
    }
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
            held: Some(Held {
                connection,
                pool,
                finish,
            }),
            watched: None,
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
        let watched = self.watched.take();
        let watched = watched.and_then(|watched| watched.held.lock().take());
        if let Some(held) = self.held.take().or(watched) {
            held.release(end);
        }
    }

    /// Releases what a long response holds at its deadline, unless it ends before.
    fn watch(&mut self) {
        let size = self.inner.size_hint();
        if size.exact().is_some_and(|missing| missing <= WATCHED_BYTES) {
            return;
        }
        let Some(held) = self.held.take() else {
            return;
        };
        let held = Arc::new(Mutex::new(Rank::Report, Some(held)));
        let deadline = self.deadline.deadline();
        let shared = Arc::clone(&held);
        let task = tokio::spawn(async move {
            time::sleep_until(deadline).await;
            let held = shared.lock().take();
            if let Some(held) = held {
                held.release(End::Truncated);
            }
        });
        self.watched = Some(Watched {
            held,
            task: task.abort_handle(),
        });
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
                self.watch();
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
