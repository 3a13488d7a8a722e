//! Accounting of the memory that a process keeps for others.
//!
//! The budget is a share of the memory in the settings of the process. Each kind of holder may take
//! up to its own limit, and only while the whole use is under a second limit. That one is lower for
//! requests than for messages between processes, so requests cannot take the part kept for control.
//! The buffers of requests are in the other part of the memory, that of the process and its
//! connections, and have only a limit of their own.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use shallotrill_model::time::Instant;

/// What memory is kept for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Body of a caller's request.
    Body,
    /// Body of a request that another router has forwarded.
    Forwarded,
    /// Body of a call of an operator or a backend server.
    Call,
    /// Message of another process.
    Message,
    /// Buffers of a caller's request in progress and of its response, without its body.
    Request,
}

impl Kind {
    /// All kinds, in the order of their indices.
    pub const ALL: [Self; 5] = [
        Self::Body,
        Self::Forwarded,
        Self::Call,
        Self::Message,
        Self::Request,
    ];

    /// Name of the kind in log lines and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Body => "body",
            Self::Forwarded => "forwarded",
            Self::Call => "call",
            Self::Message => "message",
            Self::Request => "request",
        }
    }

    const fn index(self) -> usize {
        self as usize
    }

    /// Limits of this kind as percentages of the memory of the process: on its own use, and on the
    /// use of all kinds at which it may still take.
    ///
    /// A router with 160 MB has room for one body of 64 MiB, the largest that operators configure:
    /// 40%. Up to half of the memory is held in total; the other half is for the tables of the
    /// process and the buffers of its connections. Of that half, requests in progress may take 26 MB:
    /// a router with 160 MB and as many idle callers as it may have uses 53 MB.
    const fn percentages(self) -> (u64, u64) {
        match self {
            Self::Request => (16, 100),
            Self::Body | Self::Forwarded => (40, 40),
            Self::Call => (20, 45),
            Self::Message => (40, 50),
        }
    }

    /// Whether what this kind takes counts towards the use of all kinds.
    const fn is_shared(self) -> bool {
        !matches!(self, Self::Request)
    }
}

/// Memory of a process whose settings state none: that of the smallest instance with a router.
pub const MEMORY_DEFAULT_BYTES: u64 = 160 * 1024 * 1024;

/// Memory that a process needs for its code, its tables and the buffers of its connections, whatever its limit is.
const PROCESS_BYTES: u64 = 42 * 1024 * 1024;

/// The use by kind. Taking and giving back are lock-free, because they occur on the path of requests.
#[derive(Debug)]
pub struct Budget {
    memory_bytes: u64,
    used: AtomicU64,
    used_by_kind: [AtomicU64; Kind::ALL.len()],
}

impl Budget {
    /// Creates the budget of a process with this memory.
    ///
    /// Half of the memory is enough for the process itself only from twice `PROCESS_BYTES`; of less memory, what
    /// remains beside that is budgeted, and at least a quarter.
    pub fn new(memory_bytes: u64) -> Self {
        let beside_process = memory_bytes.saturating_sub(PROCESS_BYTES);
        let held_max = beside_process.max(memory_bytes / 4);
        Self {
            memory_bytes: memory_bytes.min(2 * held_max),
            used: AtomicU64::new(0),
            used_by_kind: Default::default(),
        }
    }

    /// Takes memory; returns whether there is room.
    pub fn take(&self, kind: Kind, bytes: u64) -> bool {
        let fits = self.take_always(kind, bytes);
        if !fits {
            self.give_back(kind, bytes);
        }
        fits
    }

    /// Takes memory that is in use whether there is room or not, as that of a response that has arrived. Returns whether
    /// there was room; without it, others are refused until enough is given back.
    pub fn take_always(&self, kind: Kind, bytes: u64) -> bool {
        let (own, total) = self.limits(kind);
        let own_used = &self.used_by_kind[kind.index()];
        let own_after = own_used.fetch_add(bytes, Ordering::Relaxed) + bytes;
        let shared = if kind.is_shared() { bytes } else { 0 };
        let after = self.used.fetch_add(shared, Ordering::Relaxed) + shared;
        own_after <= own && after <= total
    }

    /// Gives taken memory back.
    pub fn give_back(&self, kind: Kind, bytes: u64) {
        self.used_by_kind[kind.index()].fetch_sub(bytes, Ordering::Relaxed);
        if kind.is_shared() {
            self.used.fetch_sub(bytes, Ordering::Relaxed);
        }
    }

    /// Whether this much could be taken now.
    pub fn has_room(&self, kind: Kind, bytes: u64) -> bool {
        let (own, total) = self.limits(kind);
        self.used(kind) + bytes <= own && self.used.load(Ordering::Relaxed) + bytes <= total
    }

    /// Memory that a kind holds.
    pub fn used(&self, kind: Kind) -> u64 {
        self.used_by_kind[kind.index()].load(Ordering::Relaxed)
    }

    /// The largest use of a kind.
    pub const fn limit(&self, kind: Kind) -> u64 {
        self.limits(kind).0
    }

    const fn limits(&self, kind: Kind) -> (u64, u64) {
        let (own, total) = kind.percentages();
        let memory = self.memory_bytes;
        (memory * own / 100, memory * total / 100)
    }
}

/// Time without a refusal after which a cutback has ended.
const CUTBACK_PERIOD: Duration = Duration::from_secs(5);

/// Refusals of one kind of holder, for one log line when they begin and one when they end.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cutback {
    last: Option<Instant>,
    refusals: u64,
}

impl Cutback {
    /// Records a refusal; returns whether a cutback begins with it.
    pub const fn refuse(&mut self, now: Instant) -> bool {
        let begins = self.last.is_none();
        self.last = Some(now);
        self.refusals += 1;
        begins
    }

    /// Ends a cutback without recent refusals; returns the number of its refusals.
    pub fn end(&mut self, now: Instant) -> Option<u64> {
        if now.since(self.last?) < CUTBACK_PERIOD {
            return None;
        }
        let refusals = self.refusals;
        *self = Self::default();
        Some(refusals)
    }
}
