//! Connections to the backend server.

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
use crate::lease::Place;
use crate::silence::Evidence;
use crate::silence::Sequence;
use shallotrill_locks::Mutex;
use shallotrill_locks::Rank;
use shallotrill_model::outcome::ExecutionStatus;
use shallotrill_wire::body;
use shallotrill_wire::hop;
use shallotrill_wire::refusal;

/// An idle connection that is not ready within this time after its answer ended is closed.
const READY_TIMEOUT: Duration = Duration::from_millis(20);

/// Part of the stated idle timeout of the backend server for which an idle connection is used.
const IDLE_SHARE: f64 = 0.7;

struct State {
    address: Option<SocketAddr>,
    /// Rises when the backend server is replaced; connections of a lower generation are closed.
    generation: u64,
    limit: usize,
    open: usize,
    opening: usize,
    /// In the order of their last use.
    idle: Vec<Connection>,
    idle_max: Duration,
    sequence: Sequence,
    evidence: Evidence,
    counts: Counts,
}

/// Counters of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Connections open, those that are being opened included.
    pub open: usize,
    /// Connections open and unused.
    pub idle: usize,
    /// Most connections that may be open.
    pub limit: usize,
    /// Connections opened since the start.
    pub opened: u64,
    /// Requests that had to wait for a connection to be opened.
    pub waited: u64,
    /// Connections closed with an answer outstanding.
    pub closed_in_use: u64,
    /// Connections found silent while others worked.
    pub silent: u64,
}

/// The connections to one backend server.
pub struct Pool {
    config: Config,
    state: Mutex<State>,
    /// Wakes requests that wait for a connection that is being opened ahead of need.
    opened: Notify,
}

impl fmt::Debug for Pool {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Pool")
            .field("config", &self.config)
            .finish_non_exhaustive()
    }
}

/// What a request finds in the pool.
enum Found {
    Idle(Connection),
    /// A place for one more connection was taken; the request opens it.
    Open(SocketAddr, u64),
    /// No place is left, and a connection that is being opened ahead of need is soon idle.
    Wait,
}

/// What becomes of a request when its connection seems silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OnSilence {
    /// It is given up: it is idempotent and can be sent again.
    GiveUp,
    /// It is waited for until its time limit, because it is not sent again.
    Wait,
}

impl Pool {
    /// Makes a pool that refuses requests until [`Pool::connect_to`] names a backend server.
    pub fn new(config: Config) -> Self {
        let state = State {
            address: None,
            generation: 0,
            limit: 0,
            open: 0,
            opening: 0,
            idle: Vec::new(),
            idle_max: config.idle_max,
            sequence: Sequence::default(),
            evidence: Evidence::new(time::Instant::now()),
            counts: Counts::default(),
        };
        Self {
            config,
            state: Mutex::new(Rank::Pool, state),
            opened: Notify::new(),
        }
    }

    /// Names the backend server and the most connections to it. Connections to an earlier one are closed.
    pub fn connect_to(&self, address: SocketAddr, restarted: bool, limit: usize) {
        let mut state = self.state.lock();
        state.limit = limit.max(1);
        if restarted || state.address != Some(address) {
            state.address = Some(address);
            state.generation += 1;
            state.drop_idle();
        }
    }

    /// Forgets the backend server: requests are refused until it is named again.
    pub fn disconnect(&self) {
        let mut state = self.state.lock();
        state.address = None;
        state.generation += 1;
        state.drop_idle();
    }

    /// Closes idle connections that are not to be used again, and returns the counters.
    pub fn counts(&self) -> Counts {
        let mut state = self.state.lock();
        let (generation, before) = (state.generation, state.idle.len());
        let idle_max = state.idle_max;
        state
            .idle
            .retain(|connection| Self::is_usable(connection, generation, idle_max));
        state.open -= before - state.idle.len();
        Counts {
            open: state.open,
            idle: state.idle.len(),
            limit: state.limit,
            ..state.counts
        }
    }

    /// Sends a request to the backend server and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// Returns a [`Failure`] that says whether the backend server can have seen the request.
    pub async fn dispatch(
        self: &Arc<Self>,
        request: Request<Full<Bytes>>,
        limit: Duration,
        on_silence: OnSilence,
    ) -> Result<Head, Failure> {
        self.dispatch_if(request, limit, on_silence, &|| true).await
    }

    /// Sends a request as [`Pool::dispatch`] does, if `may_send` still allows it when a connection is ready.
    ///
    /// Opening a connection takes time, in which a permission to send can expire.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Withdrawn`] when it does not, and else what [`Pool::dispatch`] returns.
    pub async fn dispatch_if(
        self: &Arc<Self>,
        request: Request<Full<Bytes>>,
        limit: Duration,
        on_silence: OnSilence,
        may_send: &(dyn Fn() -> bool + Send + Sync),
    ) -> Result<Head, Failure> {
        let started = time::Instant::now();
        let identity = request.headers().get(&self.config.identity).cloned();
        let exchange = self.exchange(request, on_silence, may_send);
        let (response, lease) = match time::timeout(limit, exchange).await {
            Ok(exchanged) => exchanged?,
            Err(_) => return Err(Failure::Timeout(limit)),
        };
        let (mut parts, incoming) = response.into_parts();
        if parts.status.is_informational() {
            return Err(Failure::Switched);
        }
        if !self.config.echoes && !body::is_framed(&parts.headers, &incoming) {
            return Err(Failure::Unframed);
        }
        let echoed = parts.headers.get(&self.config.identity);
        if (echoed.is_some() || self.config.echoes) && echoed != identity.as_ref() {
            return Err(Failure::Crossed);
        }
        let not_run = match &self.config.not_run {
            Some(header) => parts.headers.contains_key(header),
            None => states_not_run(&parts),
        };
        self.note_idle_limit(&parts);
        hop::strip(&mut parts.headers);
        if self.config.not_run.is_none() {
            hop::strip_own(&mut parts.headers);
        }
        Ok(Head {
            parts,
            not_run,
            incoming,
            left: limit.saturating_sub(started.elapsed()),
            connection: lease.release(),
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
            let mut lease = self.take().await?;
            if !may_send() {
                self.give_back(lease.release());
                return Err(Failure::Withdrawn);
            }
            lease.set_sent(true);
            let connection = lease.connection();
            let (fresh, sequence) = (connection.fresh, connection.sequence);
            let sent = connection.sender.try_send_request(request);
            let sent = match on_silence {
                OnSilence::GiveUp => self.watch(sequence, sent).await?,
                OnSilence::Wait => sent.await,
            };
            match sent {
                Ok(response) => return Ok((response, lease)),
                Err(mut error) => match error.take_message() {
                    Some(unsent) => {
                        lease.set_sent(false);
                        if fresh {
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

    /// Waits for an answer until it comes or its connection is found silent.
    async fn watch<T>(
        &self,
        sequence: Sequence,
        answer: impl Future<Output = T>,
    ) -> Result<T, Failure> {
        let started = time::Instant::now();
        let mut answer = std::pin::pin!(answer);
        loop {
            let wait = self.state.lock().evidence.wait(time::Instant::now());
            if let Ok(answer) = time::timeout(wait, answer.as_mut()).await {
                return Ok(answer);
            }
            let now = time::Instant::now();
            let waited = now.duration_since(started);
            let mut state = self.state.lock();
            if state.evidence.is_silent(sequence, waited, now) {
                state.counts.silent += 1;
                return Err(Failure::Silent(waited));
            }
        }
    }

    /// Takes an idle connection or opens one.
    async fn take(self: &Arc<Self>) -> Result<Lease<'_>, Failure> {
        loop {
            let opened = self.opened.notified();
            match self.find()? {
                Found::Idle(connection) => {
                    self.open_spare();
                    let mut lease = Lease::new(self, connection);
                    let ready = lease.connection().sender.ready();
                    if let Ok(Ok(())) = time::timeout(READY_TIMEOUT, ready).await {
                        self.start(lease.connection());
                        return Ok(lease);
                    }
                }
                Found::Open(address, generation) => {
                    let place = Place::new(self);
                    let connection = self.open(address, generation).await;
                    let mut connection = connection.map_err(Failure::Connect)?;
                    place.keep();
                    self.start(&mut connection);
                    self.open_spare();
                    return Ok(Lease::new(self, connection));
                }
                Found::Wait => opened.await,
            }
        }
    }

    /// Takes the time after which the backend server closes idle connections, if the answer states it.
    fn note_idle_limit(&self, parts: &Parts) {
        let stated = parts
            .headers
            .get("keep-alive")
            .and_then(|v| v.to_str().ok());
        let Some(seconds) = stated.and_then(keep_alive_seconds) else {
            return;
        };
        // A connection is given up well before the other end closes it under a request.
        let limit = Duration::from_secs(seconds).mul_f64(IDLE_SHARE);
        self.state.lock().idle_max = limit.min(self.config.idle_max);
    }

    /// Numbers the request that a connection is to carry.
    fn start(&self, connection: &mut Connection) {
        let mut state = self.state.lock();
        state.sequence.0 += 1;
        connection.sequence = state.sequence;
        connection.dispatched = time::Instant::now();
    }

    fn find(&self) -> Result<Found, Failure> {
        let mut state = self.state.lock();
        let address = state.address.ok_or(Failure::Absent)?;
        let generation = state.generation;
        // The connections at the front were unused for longest; use takes from the back.
        let idle_max = state.idle_max;
        let usable = |connection: &Connection| Self::is_usable(connection, generation, idle_max);
        if state.idle.first().is_some_and(|first| !usable(first)) {
            state.idle.remove(0);
            state.open -= 1;
        }
        while let Some(connection) = state.idle.pop() {
            if usable(&connection) {
                return Ok(Found::Idle(connection));
            }
            state.open -= 1;
        }
        if state.open >= state.limit {
            if state.opening > 0 {
                return Ok(Found::Wait);
            }
            return Err(Failure::Exhausted { open: state.open });
        }
        state.open += 1;
        state.counts.waited += 1;
        Ok(Found::Open(address, generation))
    }

    fn is_usable(connection: &Connection, generation: u64, idle_max: Duration) -> bool {
        connection.generation == generation
            && !connection.sender.is_closed()
            && connection.idle_since.elapsed() < idle_max
    }

    /// Opens a connection ahead of need when none is idle, so that its 1 ms is not on a request's path.
    fn open_spare(self: &Arc<Self>) {
        let (address, generation) = {
            let mut state = self.state.lock();
            let enough = state.idle.len() + state.opening >= self.config.spare;
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
                Ok(connection) => pool.give_back(connection),
                Err(error) => {
                    pool.give_up();
                    debug!(event = "spare-connection-failed"; "{error}");
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

    /// Takes back a connection whose answer was read whole.
    pub(crate) fn give_back(&self, mut connection: Connection) {
        connection.fresh = false;
        let now = time::Instant::now();
        connection.idle_since = now;
        let mut state = self.state.lock();
        // A connection opened ahead of need has carried nothing.
        if connection.sequence != Sequence::default() {
            let latency = now.duration_since(connection.dispatched);
            state.evidence.answered(connection.sequence, latency, now);
        }
        if connection.generation == state.generation && !connection.sender.is_closed() {
            state.idle.push(connection);
        } else {
            state.open -= 1;
        }
    }

    /// Gives up a place whose connection was not opened or carries nothing.
    pub(crate) fn give_up(&self) {
        self.state.lock().open -= 1;
    }

    /// Closes a connection that may owe an answer.
    pub(crate) fn close(&self, connection: Connection) {
        drop(connection);
        let mut state = self.state.lock();
        state.open -= 1;
        state.counts.closed_in_use += 1;
    }
}

/// The timeout that a `Keep-Alive` header states.
fn keep_alive_seconds(value: &str) -> Option<u64> {
    let mut parameters = value.split(',').filter_map(|p| p.split_once('='));
    let timeout = parameters.find(|(name, _)| name.trim().eq_ignore_ascii_case("timeout"));
    timeout.and_then(|(_, seconds)| seconds.trim().parse().ok())
}

/// A success cannot claim that it did not run.
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
