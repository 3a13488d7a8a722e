//! Time as the decision code sees it: passed in by the caller, never read.

use std::fmt;
use std::ops;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// A point of elapsed time in one process, in microseconds since an origin of that process.
///
/// Instants of two processes are not comparable and are never sent between them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Instant(pub u64);

impl Instant {
    /// The time from `earlier` to this instant, or zero when `earlier` is later.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl ops::Add<Duration> for Instant {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

/// Calendar time in milliseconds since the Unix epoch.
///
/// Clocks of different instances differ, so it serves records, logs and the
/// age of idempotency keys, and never an ordering between processes.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Wall(pub u64);

impl fmt::Display for Wall {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
