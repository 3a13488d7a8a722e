//! Pool of connections to the backend server.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::response::Parts;
use http_body_util::Full;
use hyper::body::Incoming;
use log::debug;
use tokio::sync::Notify;
use tokio::time;

use crate::config::Config;
use crate::connection;
use crate::connection::Connection;
use crate::failure::Failure;
use crate::head::Head;
use crate::lease::Lease;
use crate::lease::SlotReservation;
use crate::silence::Sequence;
use crate::silence::SilenceDetector;
use shallotrill_locks::Mutex;
use shallotrill_locks::Rank;
use shallotrill_model::outcome::ExecutionStatus;
use shallotrill_wire::body;
use shallotrill_wire::hop;
use shallotrill_wire::refusal;
use shallotrill_wire::status;

/// Time for an idle connection to become ready after its response has ended; it is closed otherwise.
const READY_TIMEOUT: Duration = Duration::from_millis(20);

/// Share of the backend server's `Keep-Alive` timeout for which an idle connection is reused.
const IDLE_SHARE: f64 = 0.7;

struct State {
    address: Option<SocketAddr>,
    /// Incremented when the backend server is replaced; connections of earlier generations are closed.
    generation: u64,
    limit: usize,
    open: usize,
    opening: usize,
    /// Ordered by the time of last use.
    idle: Vec<Connection>,
    idle_timeout: Duration,
    sequence: Sequence,
    silence: SilenceDetector,
    counts: Counts,
}

/// Counters of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Open connections, including those that are being opened.
    pub open: usize,
    /// Open connections that carry no request.
    pub idle: usize,
    /// Maximum number of open connections.
    pub limit: usize,
    /// Connections opened since the start.
    pub opened: u64,
    /// Requests that had to wait for a connection to be opened.
    pub waited: u64,
    /// Connections closed with a response outstanding.
    pub closed_in_use: u64,
    /// Connections closed because they were unresponsive while others worked.
    pub silent: u64,
}

/// Pool of connections to one backend server.
pub struct Pool {
    config: Config,
    state: Mutex<State>,
    /// Wakes requests that wait for a spare connection that is being opened.
    opened: Notify,
}

impl fmt::Debug for Pool {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Pool")
            .field("config", &self.config)
            .finish_non_exhaustive()
    }
}

/// Result of the attempt to acquire a connection.
enum Acquisition {
    Idle(Connection),
    /// A slot was reserved; the request opens a connection to the address, of the given generation.
    Open(SocketAddr, u64),
    /// No slot is free, but a spare connection is being opened and will be idle soon.
    Wait,
}

/// How to handle a request whose connection appears to be unresponsive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OnSilence {
    /// Fails the request: it is idempotent and can be sent again.
    GiveUp,
    /// Waits until the timeout of the request, because it is not sent again.
    Wait,
}

impl Pool {
    /// Creates a pool that refuses requests until [`Pool::connect_to`] sets a backend server.
    pub fn new(config: Config) -> Self {
        let state = State {
            address: None,
            generation: 0,
            limit: 0,
            open: 0,
            opening: 0,
            idle: Vec::new(),
            idle_timeout: config.idle_timeout,
            sequence: Sequence::default(),
            silence: SilenceDetector::new(time::Instant::now()),
            counts: Counts::default(),
        };
        Self {
            config,
            state: Mutex::new(Rank::Pool, state),
            opened: Notify::new(),
        }
    }

    /// Sets the backend server and the maximum number of connections to it. Connections to an earlier one are closed.
    pub fn connect_to(&self, address: SocketAddr, restarted: bool, limit: usize) {
        let mut state = self.state.lock();
        state.limit = limit.max(1);
        if restarted || state.address != Some(address) {
            state.address = Some(address);
            state.generation += 1;
            state.drop_idle();
        }
    }

    /// Removes the backend server; requests are refused until one is set again.
    pub fn disconnect(&self) {
        let mut state = self.state.lock();
        state.address = None;
        state.generation += 1;
        state.drop_idle();
    }

    /// Closes idle connections that must not be reused, and returns the counters.
    pub fn counts(&self) -> Counts {
        let mut state = self.state.lock();
        let (generation, before) = (state.generation, state.idle.len());
        let idle_timeout = state.idle_timeout;
        state
            .idle
            .retain(|connection| Self::is_usable(connection, generation, idle_timeout));
        state.open -= before - state.idle.len();
        Counts {
            open: state.open,
            idle: state.idle.len(),
            limit: state.limit,
            ..state.counts
        }
    }

    /// Sends a request to the backend server and waits for the head of its response.
    ///
    /// # Errors
    ///
    /// Returns a [`Failure`] that states whether the backend server may have received the request.
    pub async fn dispatch(
        self: &Arc<Self>,
        request: Request<Full<Bytes>>,
        timeout: Duration,
        on_silence: OnSilence,
    ) -> Result<Head, Failure> {
        self.dispatch_if(request, timeout, on_silence, &|| true)
            .await
    }

    /// Sends a request as [`Pool::dispatch`] does, provided that `may_send` returns true when a connection is ready.
    ///
    /// The check is made late because a permission to send can expire while a connection is opened.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::PermissionExpired`] when `may_send` returns false, and otherwise the errors of [`Pool::dispatch`].
    pub async fn dispatch_if(
        self: &Arc<Self>,
        request: Request<Full<Bytes>>,
        timeout: Duration,
        on_silence: OnSilence,
        may_send: &(dyn Fn() -> bool + Send + Sync),
    ) -> Result<Head, Failure> {
        let started = time::Instant::now();
        let request_id = request
            .headers()
            .get(&self.config.request_id_header)
            .cloned();
        let exchange = self.exchange(request, on_silence, may_send);
        let (response, lease) = match time::timeout(timeout, exchange).await {
            Ok(exchanged) => exchanged?,
            Err(_) => return Err(Failure::Timeout(timeout)),
        };
        let (mut parts, incoming) = response.into_parts();
        if parts.status.is_informational() {
            return Err(Failure::ProtocolSwitched);
        }
        if !status::is_final(parts.status) {
            return Err(Failure::InvalidStatus(parts.status));
        }
        if !self.config.echo_required && !body::is_framed(&parts.headers, &incoming) {
            return Err(Failure::Unframed);
        }
        let echoed = parts.headers.get(&self.config.request_id_header);
        if (echoed.is_some() || self.config.echo_required) && echoed != request_id.as_ref() {
            return Err(Failure::MismatchedResponse);
        }
        let not_run = match &self.config.not_run_header {
            Some(header) => parts.headers.contains_key(header),
            None => states_not_run(&parts),
        };
        let mut connection = lease.release();
        // A backend server may repeat a refusal, and only the id shows which request it belongs to.
        connection.reusable = !not_run || echoed.is_some();
        self.update_idle_timeout(&parts);
        hop::strip_hop_by_hop(&mut parts.headers);
        if self.config.not_run_header.is_none() {
            hop::strip_protocol_headers(&mut parts.headers);
        }
        Ok(Head {
            parts,
            not_run,
            incoming,
            remaining: timeout.saturating_sub(started.elapsed()),
            connection,
            pool: Arc::clone(self),
        })
    }

    async fn exchange(
        self: &Arc<Self>,
        mut request: Request<Full<Bytes>>,
        on_silence: OnSilence,
        may_send: &(dyn Fn() -> bool + Send + Sync),
    ) -> Result<(Response<Incoming>, Lease<'_>), Failure> {
        loop {
            let mut lease = self.acquire().await?;
            if !may_send() {
                self.release(lease.release());
                return Err(Failure::PermissionExpired);
            }
            lease.set_sent(true);
            let connection = lease.connection();
            let (is_new, sequence) = (connection.is_new, connection.sequence);
            let sent = connection.sender.try_send_request(request);
            let sent = match on_silence {
                OnSilence::GiveUp => self.await_response(sequence, sent).await?,
                OnSilence::Wait => sent.await,
            };
            match sent {
                Ok(response) => return Ok((response, lease)),
                Err(mut error) => match error.take_message() {
                    Some(unsent) => {
                        lease.set_sent(false);
                        if is_new {
                            return Err(Failure::NotSent);
                        }
                        // The connection closed while it was idle: the request was not sent.
                        request = unsent;
                    }
                    None => return Err(Failure::Lost(error.into_error())),
                },
            }
        }
    }

    /// Waits for a response until it arrives or its connection is found unresponsive.
    async fn await_response<T>(
        &self,
        sequence: Sequence,
        response: impl Future<Output = T>,
    ) -> Result<T, Failure> {
        let started = time::Instant::now();
        let mut response = std::pin::pin!(response);
        loop {
            let wait = self
                .state
                .lock()
                .silence
                .suspicion_timeout(time::Instant::now());
            if let Ok(response) = time::timeout(wait, response.as_mut()).await {
                return Ok(response);
            }
            let now = time::Instant::now();
            let waited = now.duration_since(started);
            let mut state = self.state.lock();
            if state.silence.is_silent(sequence, waited, now) {
                state.counts.silent += 1;
                return Err(Failure::Silent(waited));
            }
        }
    }

    /// Acquires an idle connection or opens a new one.
    async fn acquire(self: &Arc<Self>) -> Result<Lease<'_>, Failure> {
        loop {
            let opened = self.opened.notified();
            match self.try_acquire()? {
                Acquisition::Idle(connection) => {
                    self.open_spare();
                    let mut lease = Lease::new(self, connection);
                    let ready = lease.connection().sender.ready();
                    if let Ok(Ok(())) = time::timeout(READY_TIMEOUT, ready).await {
                        self.assign_sequence(lease.connection());
                        return Ok(lease);
                    }
                }
                Acquisition::Open(address, generation) => {
                    let reservation = SlotReservation::new(self);
                    let connection = self.open(address, generation).await;
                    let mut connection = connection.map_err(Failure::Connect)?;
                    reservation.commit();
                    self.assign_sequence(&mut connection);
                    self.open_spare();
                    return Ok(Lease::new(self, connection));
                }
                Acquisition::Wait => opened.await,
            }
        }
    }

    /// Applies the idle timeout of the backend server, if the response states it.
    fn update_idle_timeout(&self, parts: &Parts) {
        let stated = parts
            .headers
            .get("keep-alive")
            .and_then(|v| v.to_str().ok());
        let Some(seconds) = stated.and_then(keep_alive_seconds) else {
            return;
        };
        // Idle connections are closed well before the backend server would close them, possibly during a request.
        let idle_timeout = Duration::from_secs(seconds).mul_f64(IDLE_SHARE);
        self.state.lock().idle_timeout = idle_timeout.min(self.config.idle_timeout);
    }

    /// Assigns the next sequence number to the request that the connection will carry.
    fn assign_sequence(&self, connection: &mut Connection) {
        let mut state = self.state.lock();
        state.sequence.0 += 1;
        connection.sequence = state.sequence;
        connection.dispatched_at = time::Instant::now();
    }

    fn try_acquire(&self) -> Result<Acquisition, Failure> {
        let mut state = self.state.lock();
        let address = state.address.ok_or(Failure::Absent)?;
        let generation = state.generation;
        // The least recently used connections are at the front; connections are reused from the back.
        let idle_timeout = state.idle_timeout;
        let usable =
            |connection: &Connection| Self::is_usable(connection, generation, idle_timeout);
        if state.idle.first().is_some_and(|first| !usable(first)) {
            state.idle.remove(0);
            state.open -= 1;
        }
        while let Some(connection) = state.idle.pop() {
            if usable(&connection) {
                return Ok(Acquisition::Idle(connection));
            }
            state.open -= 1;
        }
        if state.open >= state.limit {
            if state.opening > 0 {
                return Ok(Acquisition::Wait);
            }
            return Err(Failure::Exhausted { open: state.open });
        }
        state.open += 1;
        state.counts.waited += 1;
        Ok(Acquisition::Open(address, generation))
    }

    fn is_usable(connection: &Connection, generation: u64, idle_timeout: Duration) -> bool {
        connection.generation == generation
            && !connection.sender.is_closed()
            && connection.idle_since.elapsed() < idle_timeout
    }

    /// Opens a spare connection when too few are idle, so that a request does not wait the 1 ms that opening takes.
    fn open_spare(self: &Arc<Self>) {
        let (address, generation) = {
            let mut state = self.state.lock();
            let enough = state.idle.len() + state.opening >= self.config.spare_connections;
            let Some(address) = state.address else { return };
            if enough || state.open >= state.limit {
                return;
            }
            state.open += 1;
            state.opening += 1;
            (address, state.generation)
        };
        let pool = Arc::clone(self);
        tokio::spawn(async move {
            let opened = pool.open(address, generation).await;
            match opened {
                Ok(connection) => pool.release(connection),
                Err(error) => {
                    pool.release_slot();
                    debug!(event = "spare-connection-failed"; "opening a spare connection to {address} failed: {error}");
                }
            }
            pool.state.lock().opening -= 1;
            pool.opened.notify_waiters();
        });
    }

    async fn open(&self, address: SocketAddr, generation: u64) -> Result<Connection, io::Error> {
        let connection = connection::open(&self.config, address, generation).await?;
        self.state.lock().counts.opened += 1;
        Ok(connection)
    }

    /// Returns a connection without an outstanding response to the pool.
    pub(crate) fn release(&self, mut connection: Connection) {
        connection.is_new = false;
        let now = time::Instant::now();
        connection.idle_since = now;
        let mut state = self.state.lock();
        // A new spare connection has carried no request.
        if connection.sequence != Sequence::default() {
            let latency = now.duration_since(connection.dispatched_at);
            state
                .silence
                .record_response(connection.sequence, latency, now);
        }
        let usable = connection.reusable && !connection.sender.is_closed();
        if connection.generation == state.generation && usable {
            state.idle.push(connection);
        } else {
            state.open -= 1;
        }
    }

    /// Releases the slot of a connection that was not opened or has no response outstanding.
    pub(crate) fn release_slot(&self) {
        self.state.lock().open -= 1;
    }

    /// Closes a connection that may have a response outstanding.
    pub(crate) fn close(&self, connection: Connection) {
        drop(connection);
        let mut state = self.state.lock();
        state.open -= 1;
        state.counts.closed_in_use += 1;
    }
}

/// The timeout in seconds that a `Keep-Alive` header states.
fn keep_alive_seconds(value: &str) -> Option<u64> {
    let mut parameters = value.split(',').filter_map(|p| p.split_once('='));
    let timeout = parameters.find(|(name, _)| name.trim().eq_ignore_ascii_case("timeout"));
    timeout.and_then(|(_, seconds)| seconds.trim().parse().ok())
}

/// Whether an error response states that the request did not run. The statement is ignored on a successful response.
fn states_not_run(parts: &Parts) -> bool {
    let stated = parts.headers.get(refusal::RUN);
    stated.is_some_and(|run| run.as_bytes() == ExecutionStatus::NotRun.as_str().as_bytes())
        && (parts.status.is_client_error() || parts.status.is_server_error())
}

impl State {
    fn drop_idle(&mut self) {
        self.open -= self.idle.len();
        self.idle.clear();
    }
}
