//! What an accepted connection is doing, so that a full listener can close an idle one.

use std::net::IpAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http_body::Frame;
use http_body::SizeHint;
use tokio::task::AbortHandle;

use crate::body::Body;
use crate::body::Error;
use crate::budget::Budget;
use shallotrill_limits::connection::Activity;
use shallotrill_limits::connection::Connection;
use shallotrill_model::time::Instant;

/// An open connection.
#[derive(Debug)]
pub struct Tracker {
    from: IpAddr,
    budget: Arc<Budget>,
    in_flight: AtomicUsize,
    was_used: AtomicBool,
    since: AtomicU64,
    pub(crate) task: OnceLock<AbortHandle>,
}

impl Tracker {
    pub(crate) fn new(from: IpAddr, budget: Arc<Budget>) -> Arc<Self> {
        let since = AtomicU64::new(budget.now().0);
        Arc::new(Self {
            from,
            budget,
            in_flight: AtomicUsize::new(0),
            was_used: AtomicBool::new(false),
            since,
            task: OnceLock::new(),
        })
    }

    /// The budget of the process.
    pub const fn budget(&self) -> &Arc<Budget> {
        &self.budget
    }

    /// Marks the connection as busy until the guard is dropped.
    pub fn begin(self: &Arc<Self>) -> Guard {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        self.was_used.store(true, Ordering::Relaxed);
        Guard(Arc::clone(self))
    }

    pub(crate) fn state(&self) -> Connection {
        Connection {
            from: self.from,
            activity: match self.in_flight.load(Ordering::Relaxed) {
                0 => Activity::Idle,
                _ => Activity::Busy,
            },
            since: Instant(self.since.load(Ordering::Relaxed)),
            was_used: self.was_used.load(Ordering::Relaxed),
        }
    }
}

/// A request that is handled on a connection.
#[derive(Debug)]
pub struct Guard(Arc<Tracker>);

impl Drop for Guard {
    fn drop(&mut self) {
        let since = self.0.budget.now().0;
        self.0.since.store(since, Ordering::Relaxed);
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A response body with the guard of its request.
#[derive(Debug)]
pub struct GuardedBody {
    body: Body,
    #[expect(dead_code, reason = "the guard takes effect when it is dropped")]
    guard: Option<Guard>,
}

impl GuardedBody {
    /// Attaches a guard without a further allocation.
    pub const fn new(body: Body, guard: Option<Guard>) -> Self {
        Self { body, guard }
    }
}

impl http_body::Body for GuardedBody {
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
