//! Configuration of the connections to a backend server.

use std::time::Duration;

use http::HeaderName;

use shallotrill_wire::context;

/// Parameters of a [`Pool`](crate::pool::Pool).
#[derive(Clone, Debug)]
pub struct Config {
    pub(crate) connect_timeout: Duration,
    pub(crate) user_timeout: Duration,
    pub(crate) idle_timeout: Duration,
    pub(crate) spare_connections: usize,
    pub(crate) request_id_header: HeaderName,
    pub(crate) echo_required: bool,
    pub(crate) not_run_header: Option<HeaderName>,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(500),
            user_timeout: Duration::from_millis(500),
            idle_timeout: Duration::from_secs(30),
            spare_connections: 1,
            request_id_header: context::REQUEST,
            echo_required: false,
            not_run_header: None,
        }
    }
}

impl Config {
    /// Sets the timeout for opening a connection; 500 ms by default.
    #[must_use]
    pub const fn connect_timeout(mut self, timeout: Duration) -> Self {
        self.connect_timeout = timeout;
        self
    }

    /// Sets the TCP user timeout, the time for which sent bytes may remain unacknowledged; 500 ms by default.
    #[must_use]
    pub const fn user_timeout(mut self, timeout: Duration) -> Self {
        self.user_timeout = timeout;
        self
    }

    /// Sets the time after which an idle connection is not reused; 30 s by default.
    #[must_use]
    pub const fn idle_timeout(mut self, timeout: Duration) -> Self {
        self.idle_timeout = timeout;
        self
    }

    /// Sets the number of idle connections that are opened in advance; 1 by default.
    #[must_use]
    pub const fn spare_connections(mut self, spare_connections: usize) -> Self {
        self.spare_connections = spare_connections;
        self
    }

    /// Sets the header with the request id, which a response repeats from its request; `shallotrill-request` by default.
    #[must_use]
    pub fn request_id_header(mut self, header: HeaderName) -> Self {
        self.request_id_header = header;
        self
    }

    /// Sets whether every response must repeat the request id; false by default.
    ///
    /// If so, a response without the id is treated as the response to another request, and a
    /// response without a length, which ends when its connection closes, is accepted.
    #[must_use]
    pub const fn echo_required(mut self, echo_required: bool) -> Self {
        self.echo_required = echo_required;
        self
    }

    /// Sets a response header whose presence states that the request did not run; none by default.
    ///
    /// If it is set, the `shallotrill-` headers of responses are retained.
    #[must_use]
    pub fn not_run_header(mut self, header: HeaderName) -> Self {
        self.not_run_header = Some(header);
        self
    }
}
