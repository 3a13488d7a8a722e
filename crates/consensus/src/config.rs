//! Configuration of a replica: timeouts, limits and the first members.

use std::time::Duration;

use crate::member::Peer;
use crate::member::Set;

/// Parameters of a replica.
#[derive(Clone, Debug)]
pub struct Config {
    pub(crate) own: Peer,
    pub(crate) members: Set,
    pub(crate) election_timeout: Duration,
    pub(crate) heartbeat_interval: Duration,
    pub(crate) batch_bytes_max: usize,
    pub(crate) in_flight_appends_max: usize,
    pub(crate) pending_bytes_max: usize,
    pub(crate) seed: u64,
}

impl Config {
    /// Creates the parameters of the replica `own`. `members` is the first configuration; it is empty for
    /// a replica that joins a running group.
    pub fn new(own: Peer, members: Set, seed: u64) -> Self {
        Self {
            own,
            members,
            election_timeout: Duration::from_secs(1),
            heartbeat_interval: Duration::from_millis(150),
            batch_bytes_max: 256 * 1024,
            in_flight_appends_max: 16,
            pending_bytes_max: 16 * 1024 * 1024,
            seed,
        }
    }

    /// Sets the shortest election timeout; each timeout is random between this and twice this value.
    #[must_use]
    pub fn election_timeout(mut self, timeout: Duration) -> Self {
        self.election_timeout = timeout;
        self
    }

    /// Sets the interval between the heartbeats of a leader.
    #[must_use]
    pub fn heartbeat_interval(mut self, interval: Duration) -> Self {
        self.heartbeat_interval = interval;
        self
    }

    /// Sets the maximum size of the entries or snapshot bytes in one message; a larger entry is sent alone.
    #[must_use]
    pub fn batch_bytes_max(mut self, bytes: usize) -> Self {
        self.batch_bytes_max = bytes.max(1);
        self
    }

    /// Sets the maximum number of appends in flight to a peer.
    #[must_use]
    pub fn in_flight_appends_max(mut self, appends: usize) -> Self {
        self.in_flight_appends_max = appends.max(1);
        self
    }

    /// Sets the maximum size of uncommitted entries; a leader refuses proposals beyond it.
    #[must_use]
    pub fn pending_bytes_max(mut self, bytes: usize) -> Self {
        self.pending_bytes_max = bytes;
        self
    }
}
