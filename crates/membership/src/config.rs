//! Configuration of the table of a control process.

use std::time::Duration;

/// Intervals and limits of a [`crate::table::Table`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    pub(crate) heartbeat_interval: Duration,
    pub(crate) lease_period: Duration,
    pub(crate) grace_period: Duration,
    pub(crate) tombstone_retention_period: Duration,
    pub(crate) expiry_batch_max: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_secs(1),
            lease_period: Duration::from_secs(3),
            grace_period: Duration::from_secs(2),
            tombstone_retention_period: Duration::from_mins(10),
            expiry_batch_max: 4_096,
        }
    }
}

impl Config {
    /// Sets the interval at which a node renews its lease.
    #[must_use]
    pub const fn heartbeat_interval(mut self, heartbeat_interval: Duration) -> Self {
        self.heartbeat_interval = heartbeat_interval;
        self
    }

    /// Sets the time after the last renewal at which a lease is overdue, so that [`crate::table::Table::expire`] may expire it.
    #[must_use]
    pub const fn lease_period(mut self, lease_period: Duration) -> Self {
        self.lease_period = lease_period;
        self
    }

    /// Sets the time beyond the lease period in which the nodes of a crashed owner may renew their leases elsewhere.
    #[must_use]
    pub const fn grace_period(mut self, grace_period: Duration) -> Self {
        self.grace_period = grace_period;
        self
    }

    /// Sets how long a removed row is kept. A reader whose version is older receives a snapshot.
    #[must_use]
    pub const fn tombstone_retention_period(
        mut self,
        tombstone_retention_period: Duration,
    ) -> Self {
        self.tombstone_retention_period = tombstone_retention_period;
        self
    }

    /// Sets the maximum number of rows that one call of [`crate::table::Table::expire`] removes.
    #[must_use]
    pub const fn expiry_batch_max(mut self, rows: usize) -> Self {
        self.expiry_batch_max = rows;
        self
    }

    /// The time after the last renewal at which a lease is overdue.
    pub const fn configured_lease_period(&self) -> Duration {
        self.lease_period
    }

    /// The age up to which the last message from another control process counts as contact.
    ///
    /// A partitioned process loses contact with the other processes and with its nodes at
    /// the same time. A node may have renewed its lease one heartbeat interval before the
    /// partition, so the first lease becomes overdue `lease_period - heartbeat_interval` after
    /// the partition began. A message older than that may predate the partition.
    pub const fn contact_window(&self) -> Duration {
        self.lease_period.saturating_sub(self.heartbeat_interval)
    }
}
