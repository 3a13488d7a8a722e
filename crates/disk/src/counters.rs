//! Counters of a journal for metrics.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Counters since the journal was opened.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Accepted frames.
    pub appends: u64,
    /// Syncs of frames.
    pub syncs: u64,
    /// Bytes of frames written.
    pub bytes: u64,
    /// Total duration of these syncs in microseconds.
    pub sync_us: u64,
}

#[derive(Debug, Default)]
pub(crate) struct AtomicCounters {
    appends: AtomicU64,
    syncs: AtomicU64,
    bytes: AtomicU64,
    sync_us: AtomicU64,
}

impl AtomicCounters {
    pub(crate) fn record_append(&self) {
        self.appends.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn record_write(&self, bytes: usize) {
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(crate) fn record_sync(&self, duration: Duration) {
        self.syncs.fetch_add(1, Ordering::Relaxed);
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        self.sync_us.fetch_add(micros, Ordering::Relaxed);
    }

    pub(crate) fn load(&self) -> Counters {
        Counters {
            appends: self.appends.load(Ordering::Relaxed),
            syncs: self.syncs.load(Ordering::Relaxed),
            bytes: self.bytes.load(Ordering::Relaxed),
            sync_us: self.sync_us.load(Ordering::Relaxed),
        }
    }
}
