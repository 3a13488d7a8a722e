//! The least rate at which a client must send or read.

use std::time::Duration;

/// Least rate and the time before it applies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rule {
    grace: Duration,
    bytes_per_second: u64,
}

/// In normal operation. Clients inside the configured limits send and read far faster: the slowest
/// readers known read 20 kB/s, and a request has at most a few seconds for its body.
pub const NORMAL: Rule = Rule {
    grace: Duration::from_secs(10),
    bytes_per_second: 256,
};

/// While memory or descriptors are short.
pub const SHORT: Rule = Rule {
    grace: Duration::from_secs(1),
    bytes_per_second: 4_096,
};

impl Rule {
    /// The time before the rule applies.
    pub const fn grace(&self) -> Duration {
        self.grace
    }

    /// Whether a transfer that has moved `bytes` within `elapsed` is too slow. The time in which the
    /// peer cannot move bytes, because it waits for this process, must not be counted.
    pub fn is_too_slow(&self, bytes: u64, elapsed: Duration) -> bool {
        let Some(counted) = elapsed.checked_sub(self.grace) else {
            return false;
        };
        let least = u128::from(self.bytes_per_second) * counted.as_millis() / 1_000;
        u128::from(bytes) <= least
    }
}
