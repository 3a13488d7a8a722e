//! Parameters of the connections to a backend server.

use std::time::Duration;

use http::HeaderName;

use shallotrill_wire::context;

/// Parameters of the connections.
#[derive(Clone, Debug)]
pub struct Config {
    pub(crate) connect_timeout: Duration,
    pub(crate) user_timeout: Duration,
    pub(crate) idle_max: Duration,
    pub(crate) spare: usize,
    pub(crate) identity: HeaderName,
    pub(crate) echoes: bool,
    pub(crate) not_run: Option<HeaderName>,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(500),
            user_timeout: Duration::from_millis(500),
            idle_max: Duration::from_secs(30),
            spare: 1,
            identity: context::REQUEST,
            echoes: false,
            not_run: None,
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

    /// Sets the header whose value an answer repeats from its request; `shallotrill-request` by default.
    #[must_use]
    pub fn identity(mut self, header: HeaderName) -> Self {
        self.identity = header;
        self
    }

    /// States that every answer repeats the identity, so that one without it is taken for another request's.
    ///
    /// Such a backend server may also end an answer without a length by closing its connection.
    #[must_use]
    pub const fn echoes(mut self, echoes: bool) -> Self {
        self.echoes = echoes;
        self
    }

    /// Sets a header whose presence states that the request did not run; none by default.
    ///
    /// With it, the answers keep all headers that do not concern one connection.
    #[must_use]
    pub fn not_run(mut self, header: HeaderName) -> Self {
        self.not_run = Some(header);
        self
    }
}
