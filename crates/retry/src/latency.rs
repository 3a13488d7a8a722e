//! Streaming estimate of latency quantiles in bounded memory.
//!
//! The p95 of a service's latency determines when a slow request is hedged.

use std::mem;
use std::time::Duration;

use shallotrill_model::time::Instant;

/// Number of buckets for each doubling of the latency; 8 limit the relative error to 12.5%.
const BUCKETS_PER_DOUBLING: usize = 8;

/// Number of buckets: they cover 1 µs to 2^32 µs (71 minutes), and longer latencies share the last one.
const BUCKETS: usize = 32 * BUCKETS_PER_DOUBLING;

/// Minimum number of samples for an estimate; the p95 of fewer than 20 samples is only their maximum.
const SAMPLES_MIN: u64 = 20;

#[derive(Clone, Debug)]
struct Histogram {
    counts: Vec<u32>,
    total: u64,
}

impl Histogram {
    fn new() -> Self {
        Self {
            counts: vec![0; BUCKETS],
            total: 0,
        }
    }

    fn clear(&mut self) {
        self.counts.fill(0);
        self.total = 0;
    }
}

/// Latencies of the last one to two spans, counted in two histograms with exponential buckets (2 KiB).
#[derive(Clone, Debug)]
pub struct Window {
    span: Duration,
    current_start: Instant,
    current: Histogram,
    previous: Histogram,
}

impl Window {
    /// Creates an empty window that discards a sample after one to two `span`s.
    pub fn new(span: Duration, now: Instant) -> Self {
        Self {
            span,
            current_start: now,
            current: Histogram::new(),
            previous: Histogram::new(),
        }
    }

    /// Records the latency of a successful request.
    pub fn record(&mut self, latency: Duration, now: Instant) {
        self.rotate(now);
        let count = &mut self.current.counts[bucket_index(latency)];
        *count = count.saturating_add(1);
        self.current.total += 1;
    }

    /// Upper bound of the bucket that contains the quantile; `None` when there are too few samples.
    pub fn quantile(&mut self, permille: u32, now: Instant) -> Option<Duration> {
        self.rotate(now);
        let total = self.current.total + self.previous.total;
        if total < SAMPLES_MIN {
            return None;
        }
        let rank = (total * u64::from(permille)).div_ceil(1_000).max(1);
        let mut cumulative = 0;
        for index in 0..BUCKETS {
            cumulative +=
                u64::from(self.current.counts[index]) + u64::from(self.previous.counts[index]);
            if cumulative >= rank {
                return Some(Duration::from_micros(bucket_upper_us(index)));
            }
        }
        None
    }

    /// The 95th percentile, after which a request is hedged; `None` when there are too few samples.
    pub fn p95(&mut self, now: Instant) -> Option<Duration> {
        self.quantile(950, now)
    }

    fn rotate(&mut self, now: Instant) {
        let age = now.since(self.current_start);
        if age < self.span {
            return;
        }
        mem::swap(&mut self.current, &mut self.previous);
        self.current.clear();
        if age >= self.span * 2 {
            self.previous.clear();
        }
        self.current_start = now;
    }
}

fn bucket_index(latency: Duration) -> usize {
    let micros = u64::try_from(latency.as_micros())
        .unwrap_or(u64::MAX)
        .max(1);
    let doubling = micros.ilog2() as usize;
    let offset = (u128::from(micros - (1 << doubling)) * BUCKETS_PER_DOUBLING as u128) >> doubling;
    (doubling * BUCKETS_PER_DOUBLING + offset as usize).min(BUCKETS - 1)
}

fn bucket_upper_us(index: usize) -> u64 {
    let doubling = index / BUCKETS_PER_DOUBLING;
    let offset = (index % BUCKETS_PER_DOUBLING) as u64 + 1;
    (1 << doubling) + ((offset << doubling).div_ceil(BUCKETS_PER_DOUBLING as u64))
}
