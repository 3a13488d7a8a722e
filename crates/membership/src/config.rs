//! Parameters of a table.

use std::time::Duration;

/// Times and bounds of a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    pub(crate) heartbeat: Duration,
    pub(crate) lease: Duration,
    pub(crate) grace: Duration,
    pub(crate) tombstone: Duration,
    pub(crate) batch: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_secs(1),
            lease: Duration::from_secs(3),
            grace: Duration::from_secs(2),
            tombstone: Duration::from_mins(10),
            batch: 4_096,
        }
    }
}

impl Config {
    /// Sets the time between two renewals of a node.
    #[must_use]
    pub const fn heartbeat(mut self, heartbeat: Duration) -> Self {
        self.heartbeat = heartbeat;
        self
    }

    /// Sets the time after the last renewal at which a lease expires.
    #[must_use]
    pub const fn lease(mut self, lease: Duration) -> Self {
        self.lease = lease;
        self
    }

    /// Sets the time beyond a lease in which the nodes of a dead owner may renew elsewhere.
    #[must_use]
    pub const fn grace(mut self, grace: Duration) -> Self {
        self.grace = grace;
        self
    }

    /// Sets how long a removed row is kept, which bounds the age of a reader that gets differences.
    #[must_use]
    pub const fn tombstone(mut self, tombstone: Duration) -> Self {
        self.tombstone = tombstone;
        self
    }

    /// Sets the most rows that one call of `expire` removes.
    #[must_use]
    pub const fn batch(mut self, rows: usize) -> Self {
        self.batch = rows;
        self
    }

    /// The time after the last renewal at which a lease expires.
    pub const fn lease_length(&self) -> Duration {
        self.lease
    }

    /// The age up to which news of another control process proves contact.
    ///
    /// A process that is cut off has last heard from the others when it last
    /// heard from its nodes. Its first lease lapses up to one heartbeat before
    /// a whole lease time has passed since then, so older news proves nothing.
    pub const fn contact_window(&self) -> Duration {
        self.lease.saturating_sub(self.heartbeat)
    }
}
