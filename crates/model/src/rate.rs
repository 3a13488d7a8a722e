//! Rates of requests.

use std::fmt;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Thousandths of a request per second in one request per second.
const MILLIHERTZ_PER_HERTZ: f64 = 1_000.0;

/// Interval between the requests of a rate of one millihertz, in microseconds.
const MILLIHERTZ_INTERVAL_US: u64 = 1_000_000_000;

/// Requests per second, in steps of a thousandth.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Rate {
    millihertz: u32,
}

impl Rate {
    /// Creates a rate from thousandths of a request per second.
    pub const fn from_millihertz(millihertz: u32) -> Self {
        Self { millihertz }
    }

    /// Creates a rate from requests per second, rounded down; `None` when the number is negative or not finite.
    pub fn from_per_second(requests: f64) -> Option<Self> {
        let valid = requests.is_finite() && requests >= 0.0;
        valid.then_some(Self {
            millihertz: (requests * MILLIHERTZ_PER_HERTZ) as u32,
        })
    }

    /// Thousandths of a request per second.
    pub const fn millihertz(self) -> u32 {
        self.millihertz
    }

    /// Time between two requests, rounded up to a microsecond; `None` when the rate is zero.
    pub fn interval(self) -> Option<Duration> {
        let millihertz = u64::from(self.millihertz);
        (millihertz > 0).then(|| Duration::from_micros(MILLIHERTZ_INTERVAL_US.div_ceil(millihertz)))
    }

    /// Requests per second.
    pub fn per_second(self) -> f64 {
        f64::from(self.millihertz) / MILLIHERTZ_PER_HERTZ
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.per_second())
    }
}
