//! Parameters of a replica.

use std::time::Duration;

use crate::member::Peer;
use crate::member::Set;

/// Parameters of a replica.
#[derive(Clone, Debug)]
pub struct Config {
    pub(crate) own: Peer,
    pub(crate) members: Set,
    pub(crate) election: Duration,
    pub(crate) heartbeat: Duration,
    pub(crate) batch_bytes: usize,
    pub(crate) window: usize,
    pub(crate) pending_bytes: usize,
    pub(crate) seed: u64,
}

impl Config {
    /// Parameters of the replica `own`; `members` is the first configuration, empty for one that joins a running group.
    pub fn new(own: Peer, members: Set, seed: u64) -> Self {
        Self {
            own,
            members,
            election: Duration::from_secs(1),
            heartbeat: Duration::from_millis(150),
            batch_bytes: 256 * 1024,
            window: 16,
            pending_bytes: 16 * 1024 * 1024,
            seed,
        }
    }

    /// Sets the shortest election timeout; the timeout in use is random between this and twice this.
    #[must_use]
    pub fn election(mut self, timeout: Duration) -> Self {
        self.election = timeout;
        self
    }

    /// Sets the interval between heartbeats of a leader.
    #[must_use]
    pub fn heartbeat(mut self, interval: Duration) -> Self {
        self.heartbeat = interval;
        self
    }

    /// Sets the largest size of entries or snapshot bytes in one message; a larger entry goes alone.
    #[must_use]
    pub fn batch_bytes(mut self, bytes: usize) -> Self {
        self.batch_bytes = bytes.max(1);
        self
    }

    /// Sets how many appends may be unanswered at a peer.
    #[must_use]
    pub fn window(mut self, appends: usize) -> Self {
        self.window = appends.max(1);
        self
    }

    /// Sets how many bytes of uncommitted entries a leader holds before it refuses proposals.
    #[must_use]
    pub fn pending_bytes(mut self, bytes: usize) -> Self {
        self.pending_bytes = bytes;
        self
    }
}
