//! Parameters of the connections to a backend server.

use std::time::Duration;

/// Parameters of the connections.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    pub(crate) connect_timeout: Duration,
    pub(crate) user_timeout: Duration,
    pub(crate) idle_max: Duration,
    pub(crate) spare: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(500),
            user_timeout: Duration::from_millis(500),
            idle_max: Duration::from_secs(30),
            spare: 1,
        }
    }
}

impl Config {
    /// Sets the longest time to open a connection; 500 ms by default.
    #[must_use]
    pub const fn connect_timeout(mut self, timeout: Duration) -> Self {
        self.connect_timeout = timeout;
        self
    }

    /// Sets how long sent bytes may stay unacknowledged; 500 ms by default.
    #[must_use]
    pub const fn user_timeout(mut self, timeout: Duration) -> Self {
        self.user_timeout = timeout;
        self
    }

    /// Sets the time after which an idle connection is not used again; 30 s by default.
    #[must_use]
    pub const fn idle_max(mut self, idle: Duration) -> Self {
        self.idle_max = idle;
        self
    }

    /// Sets the idle connections kept ahead of need; 1 by default.
    #[must_use]
    pub const fn spare(mut self, spare: usize) -> Self {
        self.spare = spare;
        self
    }
}
