//! Time types for the decision code, which receives the time as an argument and never reads a clock.

use std::fmt;
use std::ops;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// A monotonic timestamp within one process, in microseconds since an arbitrary origin.
///
/// Instants of different processes are not comparable and are never sent between processes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Instant(pub u64);

impl Instant {
    /// The time elapsed since `earlier`, or zero if `earlier` is later than this instant.
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

impl ops::Sub<Duration> for Instant {
    type Output = Self;

    fn sub(self, duration: Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }
}

/// Wall-clock time, in milliseconds since the Unix epoch.
///
/// The clocks of different instances differ, so this is used only for records,
/// logs and the age of idempotency keys, and never to order events of different
/// processes.
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
