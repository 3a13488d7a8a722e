//! Streaming estimate of a latency quantile in bounded memory.

use std::mem;
use std::time::Duration;

use shallotrill_model::time::Instant;

/// Buckets for each doubling of the latency; 8 bound the relative error by 12.5%.
const PER_DOUBLING: usize = 8;

/// Buckets reach from 1 µs to 2^32 µs (71 minutes); longer latencies share the last one.
const BUCKETS: usize = 32 * PER_DOUBLING;

/// Fewest samples for an estimate; a p95 of fewer than 20 samples is their maximum.
const SAMPLES_MIN: u64 = 20;

#[derive(Clone, Debug)]
struct Half {
    counts: Vec<u32>,
    total: u64,
}

impl Half {
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

/// Latencies of the last one to two spans, as counts in exponential buckets (2 KiB).
#[derive(Clone, Debug)]
pub struct Window {
    span: Duration,
    began: Instant,
    present: Half,
    past: Half,
}

impl Window {
    /// Makes an empty window that forgets after between one and two `span`s.
    pub fn new(span: Duration, now: Instant) -> Self {
        Self {
            span,
            began: now,
            present: Half::new(),
            past: Half::new(),
        }
    }

    /// Adds the latency of a successful request.
    pub fn record(&mut self, latency: Duration, now: Instant) {
        self.rotate(now);
        let count = &mut self.present.counts[bucket(latency)];
        *count = count.saturating_add(1);
        self.present.total += 1;
    }

    /// The upper bound of the bucket that holds the quantile, or nothing while samples are few.
    pub fn quantile(&mut self, permille: u32, now: Instant) -> Option<Duration> {
        self.rotate(now);
        let total = self.present.total + self.past.total;
        if total < SAMPLES_MIN {
            return None;
        }
        let rank = (total * u64::from(permille)).div_ceil(1_000).max(1);
        let mut seen = 0;
        for index in 0..BUCKETS {
            seen += u64::from(self.present.counts[index]) + u64::from(self.past.counts[index]);
            if seen >= rank {
                return Some(Duration::from_micros(upper(index)));
            }
        }
        None
    }

    /// The latency after which a request is hedged.
    pub fn p95(&mut self, now: Instant) -> Option<Duration> {
        self.quantile(950, now)
    }

    fn rotate(&mut self, now: Instant) {
        let age = now.since(self.began);
        if age < self.span {
            return;
        }
        mem::swap(&mut self.present, &mut self.past);
        self.present.clear();
        if age >= self.span * 2 {
            self.past.clear();
        }
        self.began = now;
    }
}

fn bucket(latency: Duration) -> usize {
    let micros = u64::try_from(latency.as_micros())
        .unwrap_or(u64::MAX)
        .max(1);
    let doubling = micros.ilog2() as usize;
    let offset = (u128::from(micros - (1 << doubling)) * PER_DOUBLING as u128) >> doubling;
    (doubling * PER_DOUBLING + offset as usize).min(BUCKETS - 1)
}

fn upper(index: usize) -> u64 {
    let doubling = index / PER_DOUBLING;
    let offset = (index % PER_DOUBLING) as u64 + 1;
    (1 << doubling) + ((offset << doubling).div_ceil(PER_DOUBLING as u64))
}
