//! Memory of a process that is kept for others: bodies and messages take from it as they arrive.

use std::error;
use std::fmt;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http_body::Frame;
use http_body::SizeHint;
use http_body_util::BodyExt;
use log::info;
use log::warn;
use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time;

use crate::body;
use crate::body::Body;
use crate::listen;
use shallotrill_limits::holder;
use shallotrill_limits::memory;
use shallotrill_limits::memory::Cutback;
use shallotrill_limits::memory::Kind;
use shallotrill_limits::progress;
use shallotrill_limits::progress::Rule;
use shallotrill_locks::Mutex;
use shallotrill_locks::Rank;
use shallotrill_model::time::Instant;

/// Size of the segments in which bytes are kept while they arrive.
const SEGMENT_BYTES: usize = 64 * 1024;

/// Size of the smallest segment.
const SEGMENT_BYTES_MIN: usize = 4 * 1024;

/// Longest wait for an ended holder to release its memory.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(100);

/// Time after a refusal for which memory or descriptors count as short.
const SHORT_PERIOD: Duration = Duration::from_secs(2);

/// Interval of the check whether a cutback has ended.
const WATCH_INTERVAL: Duration = Duration::from_secs(1);

/// Why memory could not be taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// There is no room, or the holder was ended for others.
    NoRoom,
    /// The bytes arrived too slowly.
    TooSlow,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NoRoom => "there is no memory for it",
            Self::TooSlow => "its bytes arrive too slowly",
        })
    }
}

impl error::Error for Refusal {}

/// The budget of one process.
#[derive(Debug)]
pub struct Budget {
    memory: memory::Budget,
    /// Holders whose bytes are still arriving, with their kind. No other lock is held with it, `cutbacks` or `spare`.
    arrivals: Mutex<holder::Table<(Kind, Arc<Notify>)>>,
    cutbacks: Mutex<[Cutback; Kind::ALL.len()]>,
    /// Segments that were released, for reuse by all threads. The allocator would keep them apart by thread, and
    /// under a crowd on seven threads a process then used almost twice the memory of its segments.
    spare: Mutex<Vec<Vec<u8>>>,
    refusals: [AtomicU64; Kind::ALL.len()],
    /// Notified when memory is released.
    released: Notify,
    /// Until when memory or descriptors count as short.
    short_until: AtomicU64,
    started: time::Instant,
}

impl Budget {
    /// Creates the budget of a process with this memory.
    pub fn new(memory_bytes: u64) -> Arc<Self> {
        Arc::new(Self {
            memory: memory::Budget::new(memory_bytes),
            arrivals: Mutex::new(Rank::Report, holder::Table::default()),
            cutbacks: Mutex::new(Rank::Report, Default::default()),
            spare: Mutex::new(Rank::Report, Vec::new()),
            refusals: Default::default(),
            released: Notify::new(),
            short_until: AtomicU64::new(0),
            started: time::Instant::now(),
        })
    }

    /// The time since the start, for decisions.
    pub fn now(&self) -> Instant {
        Instant(self.started.elapsed().as_micros() as u64)
    }

    /// Bytes that a kind holds.
    pub fn used(&self, kind: Kind) -> u64 {
        self.memory.used(kind)
    }

    /// Refusals of a kind since the start.
    pub fn refusals(&self, kind: Kind) -> u64 {
        self.refusals[kind as usize].load(Ordering::Relaxed)
    }

    /// Makes the stricter rule of progress apply for a while, because memory or descriptors are short.
    pub fn mark_short(&self) {
        let until = self.now() + SHORT_PERIOD;
        self.short_until.fetch_max(until.0, Ordering::Relaxed);
    }

    /// The rule of progress that applies now.
    pub fn rule(&self) -> Rule {
        if self.now().0 < self.short_until.load(Ordering::Relaxed) {
            progress::SHORT
        } else {
            progress::NORMAL
        }
    }

    /// Starts to hold arriving bytes. `expected_bytes` is their number, or the most that it may be.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal::NoRoom`] when not even a small body has room.
    pub fn hold(self: &Arc<Self>, kind: Kind, expected_bytes: usize) -> Result<Arrival, Refusal> {
        if !self.memory.has_room(kind, SEGMENT_BYTES as u64) {
            self.end_worst(kind);
            return Err(Refusal::NoRoom);
        }
        let ended = Arc::new(Notify::new());
        let now = self.now();
        let id = self.arrivals.lock().add((kind, Arc::clone(&ended)), now);
        Ok(Arrival {
            permit: Permit {
                budget: Arc::clone(self),
                kind,
                bytes: 0,
            },
            id,
            ended,
            expected_bytes,
            segments: Vec::new(),
            arrived_bytes: 0,
        })
    }

    /// Takes memory that is in use at once, such as the buffers of a request. Waits a short time for an arriving holder to
    /// release memory when there is no room.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal::NoRoom`] when there is no room after that.
    pub async fn reserve(self: &Arc<Self>, kind: Kind, bytes: u64) -> Result<Permit, Refusal> {
        let mut permit = Permit {
            budget: Arc::clone(self),
            kind,
            bytes: 0,
        };
        if permit.grow(bytes) {
            return Ok(permit);
        }
        let mut released = std::pin::pin!(self.released.notified());
        released.as_mut().enable();
        self.end_worst(kind);
        // The outcome is whether there is room now.
        drop(time::timeout(RELEASE_TIMEOUT, released).await);
        if permit.grow(bytes) {
            Ok(permit)
        } else {
            Err(Refusal::NoRoom)
        }
    }

    /// Records that a kind is short of memory, and ends the holder that holds the most for the longest.
    fn end_worst(&self, kind: Kind) {
        self.mark_short();
        self.refusals[kind as usize].fetch_add(1, Ordering::Relaxed);
        let now = self.now();
        let begins = self.cutbacks.lock()[kind as usize].refuse(now);
        if begins {
            warn!(event = "memory-cutback", kind = kind.as_str(), held_bytes = self.used(kind), limit_bytes = self.memory.limit(kind); "holders of this kind are refused or ended: their part of the memory is in use");
        }
        // The buffers of a request are released with its own body, so ending another kind would free none of them.
        let releases =
            |holder: &(Kind, Arc<Notify>)| kind != Kind::Request || holder.0 == Kind::Body;
        if let Some((_, (_, ended))) = self.arrivals.lock().end_worst_of(now, releases) {
            ended.notify_one();
        }
    }

    /// Frees half of the spare segments, so that they do not outlast a crowd.
    fn free_spare(&self) {
        let mut spare = self.spare.lock();
        let kept = spare.len() / 2;
        let freed = spare.split_off(kept);
        drop(spare);
        drop(freed);
    }

    /// Frees spare segments and writes a log line for each cutback that ends, until `stop` becomes true.
    pub async fn watch(self: Arc<Self>, mut stop: watch::Receiver<bool>) {
        loop {
            tokio::select! {
                () = time::sleep(WATCH_INTERVAL) => {}
                () = listen::stopped(&mut stop) => return,
            }
            self.free_spare();
            let now = self.now();
            for kind in Kind::ALL {
                let ended = self.cutbacks.lock()[kind as usize].end(now);
                if let Some(refusals) = ended {
                    info!(event = "memory-cutback-ended", kind = kind.as_str(), refusals = refusals, held_bytes = self.used(kind); "holders of this kind are accepted again");
                }
            }
        }
    }
}

/// Taken memory, which is released on drop.
#[derive(Debug)]
pub struct Permit {
    budget: Arc<Budget>,
    kind: Kind,
    bytes: u64,
}

impl Permit {
    fn grow(&mut self, bytes: u64) -> bool {
        let taken = self.budget.memory.take(self.kind, bytes);
        if taken {
            self.bytes += bytes;
        }
        taken
    }

    /// Adds memory that is in use whether there is room or not. Without room, slow transfers are ended sooner.
    pub fn extend(&mut self, bytes: u64) {
        if !self.budget.memory.take_always(self.kind, bytes) {
            self.budget.mark_short();
        }
        self.bytes += bytes;
    }
}

/// A body that keeps a permit until it is dropped.
struct PermittedBody {
    body: Body,
    #[expect(dead_code, reason = "the permit takes effect when it is dropped")]
    permit: Permit,
}

impl http_body::Body for PermittedBody {
    type Data = Bytes;
    type Error = body::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, body::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Keeps a permit until a body has been sent or dropped.
pub fn with_permit(body: Body, permit: Permit) -> Body {
    PermittedBody { body, permit }.boxed_unsync()
}

impl Drop for Permit {
    fn drop(&mut self) {
        if self.bytes > 0 {
            self.budget.memory.give_back(self.kind, self.bytes);
            self.budget.released.notify_waiters();
        }
    }
}

/// Bytes in memory with their permit.
struct Held {
    bytes: Vec<u8>,
    #[expect(dead_code, reason = "the permit takes effect when it is dropped")]
    permit: Permit,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Bytes that are still arriving.
///
/// They are kept in segments, so that only what has arrived uses memory and nothing is copied while they
/// arrive. An allocation of the stated length could use all of its memory at once.
#[derive(Debug)]
pub struct Arrival {
    permit: Permit,
    id: holder::Id,
    ended: Arc<Notify>,
    expected_bytes: usize,
    segments: Vec<Vec<u8>>,
    arrived_bytes: usize,
}

impl Arrival {
    /// Number of bytes that have arrived.
    pub const fn len(&self) -> usize {
        self.arrived_bytes
    }

    /// Whether nothing has arrived.
    pub const fn is_empty(&self) -> bool {
        self.arrived_bytes == 0
    }

    /// Notified when this holder is ended for others.
    pub fn ended(&self) -> Arc<Notify> {
        Arc::clone(&self.ended)
    }

    /// Appends bytes. Waits a short time for another holder to release memory when there is no room.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal::NoRoom`] when there is no room after that.
    pub async fn push(&mut self, mut bytes: &[u8]) -> Result<(), Refusal> {
        while !bytes.is_empty() {
            let segment = self.segment().await?;
            let spare = segment.capacity() - segment.len();
            let (part, rest) = bytes.split_at(spare.min(bytes.len()));
            segment.extend_from_slice(part);
            self.arrived_bytes += part.len();
            bytes = rest;
        }
        Ok(())
    }

    /// Reads the next bytes of a stream, as many as have room in the current segment and at most `bytes_max`.
    ///
    /// # Errors
    ///
    /// Returns an error of kind `OutOfMemory` when there is no room, and the error of the stream.
    pub async fn read_from<S>(&mut self, stream: &mut S, bytes_max: usize) -> io::Result<usize>
    where
        S: AsyncRead + Unpin,
    {
        let no_room = |refusal: Refusal| io::Error::new(io::ErrorKind::OutOfMemory, refusal);
        let segment = self.segment().await.map_err(no_room)?;
        let spare = segment.capacity() - segment.len();
        let mut part = stream.take(spare.min(bytes_max) as u64);
        let read = part.read_buf(segment).await?;
        self.arrived_bytes += read;
        Ok(read)
    }

    /// The segment that takes the next bytes; it has room for some.
    async fn segment(&mut self) -> Result<&mut Vec<u8>, Refusal> {
        let is_full = self
            .segments
            .last()
            .is_none_or(|last| last.len() == last.capacity());
        if is_full {
            let missing = self.expected_bytes.saturating_sub(self.arrived_bytes);
            let size = missing.clamp(SEGMENT_BYTES_MIN, SEGMENT_BYTES);
            self.take(size as u64).await?;
            let bytes = self.permit.bytes;
            self.permit.budget.arrivals.lock().set_bytes(self.id, bytes);
            let spare = if size == SEGMENT_BYTES {
                self.permit.budget.spare.lock().pop()
            } else {
                None
            };
            let segment = spare.unwrap_or_else(|| Vec::with_capacity(size));
            self.segments.push(segment);
        }
        self.segments.last_mut().ok_or(Refusal::NoRoom)
    }

    async fn take(&mut self, bytes: u64) -> Result<(), Refusal> {
        if self.permit.grow(bytes) {
            return Ok(());
        }
        let budget = Arc::clone(&self.permit.budget);
        let mut released = std::pin::pin!(budget.released.notified());
        released.as_mut().enable();
        budget.end_worst(self.permit.kind);
        tokio::select! {
            _ = time::timeout(RELEASE_TIMEOUT, released) => {}
            () = self.ended.notified() => return Err(Refusal::NoRoom),
        }
        if self.permit.grow(bytes) {
            Ok(())
        } else {
            Err(Refusal::NoRoom)
        }
    }

    /// The complete bytes in one piece. Their memory is released when the last reference to them is dropped.
    ///
    /// Each segment is freed as soon as it is copied, and pages of the copy use memory once they are
    /// written, so the copy needs no room of its own.
    pub fn finish(mut self) -> Bytes {
        let mut segments = std::mem::take(&mut self.segments);
        let bytes = if segments.len() <= 1 {
            segments.pop().unwrap_or_default()
        } else {
            let mut bytes = Vec::with_capacity(self.arrived_bytes);
            for segment in segments {
                bytes.extend_from_slice(&segment);
            }
            bytes
        };
        let permit = Permit {
            budget: Arc::clone(&self.permit.budget),
            kind: self.permit.kind,
            bytes: std::mem::take(&mut self.permit.bytes),
        };
        Bytes::from_owner(Held { bytes, permit })
    }
}

impl Drop for Arrival {
    fn drop(&mut self) {
        if !self.segments.is_empty() {
            let mut spare = self.permit.budget.spare.lock();
            for mut segment in self.segments.drain(..) {
                if segment.capacity() == SEGMENT_BYTES {
                    segment.clear();
                    spare.push(segment);
                }
            }
        }
        self.permit.budget.arrivals.lock().remove(self.id);
    }
}
