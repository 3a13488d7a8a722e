//! Connections to the backend server.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http::response::Parts;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use log::debug;
use tokio::net::TcpStream;
use tokio::time;

use crate::answer::Answer;
use crate::answer::Finish;
use crate::failure::Failure;
use shallotrill_locks::Mutex;
use shallotrill_locks::Rank;
use shallotrill_model::outcome::Run;
use shallotrill_wire::body;
use shallotrill_wire::body::Body;
use shallotrill_wire::context;
use shallotrill_wire::hop;
use shallotrill_wire::listen;
use shallotrill_wire::refusal;

/// An idle connection that is not ready within this time after its answer ended is closed.
const READY_TIMEOUT: Duration = Duration::from_millis(20);

/// Parameters of the connections.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    connect_timeout: Duration,
    user_timeout: Duration,
    idle_max: Duration,
    spare: usize,
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

/// A connection in use by one request.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    generation: u64,
    fresh: bool,
    idle_since: time::Instant,
}

impl fmt::Debug for Connection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Connection")
            .field("generation", &self.generation)
            .finish_non_exhaustive()
    }
}

#[derive(Default)]
struct State {
    address: Option<SocketAddr>,
    /// Rises when the backend server is replaced; connections of a lower generation are closed.
    generation: u64,
    limit: usize,
    open: usize,
    opening: usize,
    idle: Vec<Connection>,
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
}

/// The connections to one backend server.
pub struct Pool {
    config: Config,
    state: Mutex<State>,
}

impl fmt::Debug for Pool {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Pool")
            .field("config", &self.config)
            .finish_non_exhaustive()
    }
}

/// The head of an answer; its body is still at the backend server.
pub struct Head {
    parts: Parts,
    not_run: bool,
    incoming: Incoming,
    left: Duration,
    connection: Connection,
    pool: Arc<Pool>,
}

impl fmt::Debug for Head {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Head")
            .field("status", &self.parts.status)
            .finish_non_exhaustive()
    }
}

impl Head {
    /// The status of the answer.
    pub const fn status(&self) -> StatusCode {
        self.parts.status
    }

    /// Whether the backend server states that it did not run the request.
    ///
    /// A backend server that sheds load may say so with `shallotrill-run: not-run`
    /// on its answer; without that, an error answer proves nothing.
    pub const fn states_not_run(&self) -> bool {
        self.not_run
    }

    /// The whole answer. `finish` is called once, when its body has ended in one way or another.
    pub fn answer(self, finish: Finish) -> Response<Body> {
        let answer = Answer::new(self.incoming, self.left, self.connection, self.pool, finish);
        Response::from_parts(self.parts, answer.boxed_unsync())
    }
}

/// What a request finds in the pool.
enum Found {
    Idle(Connection),
    /// A place for one more connection was taken; the request opens it.
    Open(SocketAddr, u64),
}

impl Pool {
    /// Makes a pool that refuses requests until [`Pool::connect_to`] names a backend server.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            state: Mutex::new(Rank::Pool, State::default()),
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

    /// Counters for the state dump.
    pub fn counts(&self) -> Counts {
        let state = self.state.lock();
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
    ) -> Result<Head, Failure> {
        let started = time::Instant::now();
        let identity = request.headers().get(context::REQUEST).cloned();
        let (response, lease) = match time::timeout(limit, self.exchange(request)).await {
            Ok(exchanged) => exchanged?,
            Err(_) => return Err(Failure::Timeout(limit)),
        };
        let (mut parts, incoming) = response.into_parts();
        if !body::is_framed(&parts.headers, &incoming) {
            return Err(Failure::Unframed);
        }
        let echoed = parts.headers.get(context::REQUEST);
        if echoed.is_some() && echoed != identity.as_ref() {
            return Err(Failure::Crossed);
        }
        let not_run = states_not_run(&parts);
        hop::strip(&mut parts.headers);
        hop::strip_own(&mut parts.headers);
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
    ) -> Result<(Response<Incoming>, Lease<'_>), Failure> {
        loop {
            let mut lease = self.take().await?;
            let fresh = lease.connection().fresh;
            let sent = lease.connection().sender.try_send_request(request).await;
            match sent {
                Ok(response) => return Ok((response, lease)),
                Err(mut error) => match error.take_message() {
                    // The connection closed while it was idle: the request was not sent.
                    Some(unsent) if !fresh => request = unsent,
                    Some(_) => return Err(Failure::NotSent),
                    None => return Err(Failure::Lost(error.into_error())),
                },
            }
        }
    }

    /// Takes an idle connection or opens one.
    async fn take(self: &Arc<Self>) -> Result<Lease<'_>, Failure> {
        loop {
            match self.find()? {
                Found::Idle(connection) => {
                    self.open_spare();
                    let mut lease = Lease::new(self, connection);
                    let ready = lease.connection().sender.ready();
                    if let Ok(Ok(())) = time::timeout(READY_TIMEOUT, ready).await {
                        return Ok(lease);
                    }
                }
                Found::Open(address, generation) => {
                    let place = Place { pool: self };
                    let connection = self.open(address, generation).await;
                    let connection = connection.map_err(Failure::Connect)?;
                    place.keep();
                    self.open_spare();
                    return Ok(Lease::new(self, connection));
                }
            }
        }
    }

    fn find(&self) -> Result<Found, Failure> {
        let mut state = self.state.lock();
        let address = state.address.ok_or(Failure::Absent)?;
        while let Some(connection) = state.idle.pop() {
            if self.is_usable(&connection, state.generation) {
                return Ok(Found::Idle(connection));
            }
            state.open -= 1;
        }
        if state.open >= state.limit {
            return Err(Failure::Exhausted { open: state.open });
        }
        state.open += 1;
        state.counts.waited += 1;
        Ok(Found::Open(address, state.generation))
    }

    fn is_usable(&self, connection: &Connection, generation: u64) -> bool {
        connection.generation == generation
            && !connection.sender.is_closed()
            && connection.idle_since.elapsed() < self.config.idle_max
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
            pool.state.lock().opening -= 1;
            match opened {
                Ok(connection) => pool.give_back(connection),
                Err(error) => {
                    pool.state.lock().open -= 1;
                    debug!(event = "spare-connection-failed"; "{error}");
                }
            }
        });
    }

    async fn open(&self, address: SocketAddr, generation: u64) -> Result<Connection, io::Error> {
        let connecting = TcpStream::connect(address);
        let stream = time::timeout(self.config.connect_timeout, connecting)
            .await
            .or(Err(io::Error::from(io::ErrorKind::TimedOut)))??;
        listen::tune(&stream, self.config.user_timeout)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                debug!(event = "backend-connection-lost"; "{error}");
            }
        });
        self.state.lock().counts.opened += 1;
        Ok(Connection {
            sender,
            generation,
            fresh: true,
            idle_since: time::Instant::now(),
        })
    }

    /// Takes back a connection whose answer was read whole.
    pub(crate) fn give_back(&self, mut connection: Connection) {
        connection.fresh = false;
        connection.idle_since = time::Instant::now();
        let mut state = self.state.lock();
        if connection.generation == state.generation && !connection.sender.is_closed() {
            state.idle.push(connection);
        } else {
            state.open -= 1;
        }
    }

    /// Closes a connection that may owe an answer.
    pub(crate) fn close(&self, connection: Connection) {
        drop(connection);
        let mut state = self.state.lock();
        state.open -= 1;
        state.counts.closed_in_use += 1;
    }
}

/// A success cannot claim that it did not run.
fn states_not_run(parts: &Parts) -> bool {
    let stated = parts.headers.get(refusal::RUN);
    stated.is_some_and(|run| run.as_bytes() == Run::NotRun.as_str().as_bytes())
        && (parts.status.is_client_error() || parts.status.is_server_error())
}

impl State {
    fn drop_idle(&mut self) {
        self.open -= self.idle.len();
        self.idle.clear();
    }
}

/// A place counted as open while its connection is being opened; given up on drop.
struct Place<'pool> {
    pool: &'pool Pool,
}

impl Place<'_> {
    fn keep(self) {
        std::mem::forget(self);
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.pool.state.lock().open -= 1;
    }
}

/// A connection that is closed on drop unless it is released to an answer.
struct Lease<'pool> {
    pool: &'pool Pool,
    connection: Option<Connection>,
}

impl<'pool> Lease<'pool> {
    const fn new(pool: &'pool Pool, connection: Connection) -> Self {
        Self {
            pool,
            connection: Some(connection),
        }
    }

    fn connection(&mut self) -> &mut Connection {
        self.connection.as_mut().expect("present until release")
    }

    fn release(mut self) -> Connection {
        self.connection.take().expect("present until release")
    }
}

impl Drop for Lease<'_> {
    fn drop(&mut self) {
        if let Some(connection) = self.connection.take() {
            self.pool.close(connection);
        }
    }
}
