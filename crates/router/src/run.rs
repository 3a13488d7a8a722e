//! Starts and stops the router role.

use std::error;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use log::info;
use log::warn;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time;

use crate::backend::Backend;
use crate::crashes::Crashes;
use crate::entry;
use crate::follow;
use crate::follow::Views;
use crate::metrics::Metrics;
use crate::probe;
use crate::serve;
use crate::settings::Settings;
use crate::state::State;
use shallotrill_backend::config::Config;
use shallotrill_backend::pool;
use shallotrill_caller::listener;
use shallotrill_items::table;
use shallotrill_locks::Mutex;
use shallotrill_locks::Rank;
use shallotrill_peer::listener as peer_listener;
use shallotrill_peer::pool as peer_pool;
use shallotrill_process::log::Quota;
use shallotrill_process::metrics;
use shallotrill_routing::config;
use shallotrill_routing::table as routing;
use shallotrill_wire::listen;
use shallotrill_wire::listen::Listener;

/// Longest head of a request.
const HEADER_BYTES: usize = 64 * 1024;

/// Longest time for a head to arrive, the time between two requests included. Above the idle
/// times that operators configure, so that a caller's request never meets a close.
const HEADER_TIMEOUT: Duration = Duration::from_mins(2);

/// Most connections of callers.
const CALLERS_MAX: usize = 1_800;

/// Most connections of other routers.
const ROUTERS_MAX: usize = 1_000;

/// Interval of the work that no event triggers.
const UPKEEP: Duration = Duration::from_millis(500);

/// Part of the grace in which callers learn that this router stops; the platform asks each second
/// and needs two answers.
const NOTICE_SHARE: f64 = 0.4;

/// Part of the grace after which other routers are told that the target here is out of use. They
/// learn it within milliseconds, so it stays in use for most of the callers' notice.
const WITHDRAW_SHARE: f64 = 0.3;

/// Part of the grace after which requests in flight are given up.
const END_SHARE: f64 = 0.9;

/// A connection to another router that owes an answer is pinged after this time without bytes.
const PING_INTERVAL: Duration = Duration::from_millis(500);

/// An unanswered ping closes a connection to another router; a busy one needs up to a second to answer.
const PING_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time until a target without one is warm.
const WARM_UP: Duration = Duration::from_secs(3);

/// A reported latency counts for half after this time; noise on shared machines lasts some hundred milliseconds.
const LATENCY_HALF_LIFE: Duration = Duration::from_millis(300);

/// The failure rate of a target that gets no requests halves in this time; faults of a few seconds are common.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(2);

/// Lines a second for requests that were answered as usual. All others are written.
const ROUTINE_LINES: u32 = 10;

/// Why a router could not be started.
#[derive(Debug)]
pub enum Error {
    /// An address cannot be listened on.
    Listen(listen::Error),
    /// The metrics could not be registered.
    Metrics(metrics::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen(cause) => cause.fmt(f),
            Self::Metrics(cause) => cause.fmt(f),
        }
    }
}

impl error::Error for Error {}

/// A running router.
#[derive(Debug)]
pub struct Router {
    state: Arc<State>,
    listeners: Vec<JoinHandle<()>>,
    stop_listeners: watch::Sender<bool>,
    stop_loops: watch::Sender<bool>,
}

/// Starts a router.
///
/// # Errors
///
/// Returns [`Error`] when an address cannot be listened on.
pub async fn start(mut settings: Settings) -> Result<Router, Error> {
    let bind = async |address| Listener::bind(address).await.map_err(Error::Listen);
    let callers = bind(settings.caller_listen).await?;
    let routers = bind(settings.router_listen).await?;
    settings.caller_listen = callers.address();
    settings.router_listen = routers.address();
    let registries = settings.registries.clone();
    let state = Arc::new(state(settings).map_err(Error::Metrics)?);
    let (stop_listeners, stopped) = watch::channel(false);
    let (stop_loops, loops_stopped) = watch::channel(false);
    let entering = Arc::clone(&state);
    let serving = Arc::clone(&state);
    let listeners = vec![
        tokio::spawn(listener::run(
            callers,
            listener::Config::default()
                .header_bytes(HEADER_BYTES)
                .header_timeout(HEADER_TIMEOUT)
                .connections_max(CALLERS_MAX),
            stopped.clone(),
            Arc::new(move |request| Box::pin(entry::answer(Arc::clone(&entering), request))),
        )),
        tokio::spawn(peer_listener::run(
            routers,
            ROUTERS_MAX,
            stopped,
            Arc::new(move |request| Box::pin(serve::answer(Arc::clone(&serving), request))),
        )),
    ];
    follow::meet(&state, &registries, &loops_stopped);
    tokio::spawn(probe::run(Arc::clone(&state), loops_stopped.clone()));
    tokio::spawn(upkeep(Arc::clone(&state), loops_stopped));
    info!(
        event = "router-started",
        callers = state.settings.caller_listen.to_string().as_str(),
        routers = state.settings.router_listen.to_string().as_str();
        ""
    );
    Ok(Router {
        state,
        listeners,
        stop_listeners,
        stop_loops,
    })
}

/// Targets in the own availability zone up to which every choice considers another zone too. One
/// or two of three are often slow at the same moment on shared machines.
const OWN_ZONE: usize = 3;

fn state(settings: Settings) -> Result<State, metrics::Error> {
    let clock = settings.clock;
    let session = clock.wall().0;
    let names = &settings.names;
    let connections = Config::default()
        .spare_connections(0)
        .request_id_header(names.request.clone())
        .echo_required(true)
        .not_run_header(names.not_run.clone());
    let probes = Config::default()
        .spare_connections(0)
        .not_run_header(names.not_run.clone());
    let routers = peer_pool::Config::default()
        .connections(1)
        .ping_interval(PING_INTERVAL)
        .ping_timeout(PING_TIMEOUT);
    let choice = config::Config::new(settings.region.clone(), settings.zone.clone())
        .warm_up_period(WARM_UP)
        .latency_band(1.0)
        .latency_half_life(LATENCY_HALF_LIFE)
        .cross_zone_share(1.0)
        .local_zone_targets(OWN_ZONE)
        .failure_half_life(FAILURE_HALF_LIFE)
        .last_resort(true);
    let (published, _) = watch::channel(0);
    Ok(State {
        session,
        clock,
        items: Mutex::new(Rank::Catalog, Arc::new(table::Table::default())),
        splits: Mutex::new(Rank::Join, Vec::new()),
        reading: Mutex::new(Rank::Join, None),
        views: Mutex::new(Rank::Membership, Views::default()),
        routing: Mutex::new(Rank::Routing, routing::Table::new(choice)),
        backend: Mutex::new(Rank::Gate, Backend::default()),
        budgets: Mutex::new(Rank::Budget, Vec::new()),
        crashes: Mutex::new(Rank::Report, Crashes::default()),
        checking: AtomicBool::new(false),
        metrics: Metrics::new()?,
        routine: Quota::new(ROUTINE_LINES),
        pool: Arc::new(pool::Pool::new(connections)),
        probes: Arc::new(pool::Pool::new(probes)),
        routers: peer_pool::Pool::new(routers),
        published,
        stopping: AtomicBool::new(false),
        withdrawn: AtomicBool::new(false),
        numbers: AtomicU64::new(0),
        settings,
    })
}

/// Does the work that no event triggers.
async fn upkeep(state: Arc<State>, mut stop: watch::Receiver<bool>) {
    loop {
        tokio::select! {
            () = time::sleep(UPKEEP) => {}
            () = listen::stopped(&mut stop) => return,
        }
        state.routers.close_idle(state.now());
        // Closes connections that were idle for long.
        let _ = state.pool.counts();
        follow::apply_targets(&state);
        let left_out = state.routine.left_out();
        state.metrics.log_left_out.set(metrics::count(left_out));
        let heard = state.views.lock().heard_lately(state.now());
        state.metrics.registries.set(metrics::count(heard));
    }
}

impl Router {
    /// The state, for the interfaces of backend servers and of the platform.
    pub fn state(&self) -> Arc<State> {
        Arc::clone(&self.state)
    }

    /// Follows other registry processes from now on.
    pub fn reseed(&self, registries: &[SocketAddr]) {
        follow::meet(&self.state, registries, &self.stop_loops.subscribe());
    }

    /// Stops gracefully. Returns whether every request in flight finished.
    ///
    /// Callers and other routers learn first that this router stops, while it still serves;
    /// then its connections close as they become idle.
    pub async fn stop(self) -> bool {
        info!(event = "router-stopping"; "");
        self.state.stopping.store(true, Ordering::Relaxed);
        let grace = self.state.settings.grace;
        let started = time::Instant::now();
        time::sleep(grace.mul_f64(WITHDRAW_SHARE)).await;
        self.state.withdrawn.store(true, Ordering::Relaxed);
        self.state.publish();
        time::sleep_until(started + grace.mul_f64(NOTICE_SHARE)).await;
        self.stop_listeners.send_replace(true);
        let finished = async {
            for listener in self.listeners {
                if let Err(error) = listener.await {
                    warn!(event = "listener-failed"; "{error}");
                }
            }
        };
        let end = started + grace.mul_f64(END_SHARE);
        let whole = time::timeout_at(end, finished).await.is_ok();
        self.stop_loops.send_replace(true);
        info!(event = "router-stopped", whole = whole; "");
        whole
    }
}
