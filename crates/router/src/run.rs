//! Starts and stops the router role.

use std::error;
use std::fmt;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use log::info;
use log::warn;
use tokio::sync::Notify;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time;

use crate::allotment;
use crate::backend::Backend;
use crate::crashes::Crashes;
use crate::entry;
use crate::follow;
use crate::follow::RegistryViews;
use crate::grace::Grace;
use crate::metrics::Metrics;
use crate::outlook;
use crate::pacer;
use crate::probe;
use crate::second;
use crate::serve;
use crate::settings::Settings;
use crate::state::Listeners;
use crate::state::State;
use shallotrill_backend::config::Config;
use shallotrill_backend::pool;
use shallotrill_caller::listener;
use shallotrill_items::table;
use shallotrill_limits::connection::Shares;
use shallotrill_limits::process::Limits;
use shallotrill_locks::Mutex;
use shallotrill_locks::Rank;
use shallotrill_peer::listener as peer_listener;
use shallotrill_peer::pool as peer_pool;
use shallotrill_process::log::Quota;
use shallotrill_process::metrics;
use shallotrill_routing::config;
use shallotrill_routing::table as routing;
use shallotrill_wire::budget::Budget;
use shallotrill_wire::listen;
use shallotrill_wire::listen::Limit;
use shallotrill_wire::listen::Listener;

/// Maximum size of a request head.
const HEADER_BYTES_MAX: usize = 64 * 1024;

/// Longest time for a request head to arrive, including the idle time between two requests. It is
/// longer than the idle timeouts that operators configure, so that the router never closes a
/// connection on which a caller is sending a request.
const HEADER_TIMEOUT: Duration = Duration::from_mins(2);

/// Least maximum size of a request head, above the 16 KiB that operators configure.
const HEADER_BYTES_MIN: usize = 20 * 1024;

/// Part of the memory for the buffers of callers' connections.
const BUFFERS_PERCENT: u64 = 10;

/// Buffers of the maximum size of a head that a connection may use while a body arrives: one being filled, one
/// split off as a frame, and the last one of each until it is freed.
const BUFFERS_PER_CONNECTION: u64 = 4;

/// Part of the descriptors that responses without a slot may keep for their connections to the backend server. It is
/// taken from the fifth that listeners leave to control, targets and files.
const SLOW_RESPONSES_DIVISOR: usize = 16;

/// Interval of the periodic maintenance.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(500);

/// Share of the grace period after which the listeners stop. Before that, the platform must have
/// noticed that this router is not ready: it checks every second and needs two responses.
const LISTEN_SHARE: f64 = 0.4;

/// Share of the grace period after which the target of this router is withdrawn. Slightly less than
/// [`LISTEN_SHARE`]: other routers are notified of the withdrawal within milliseconds, so the target
/// can stay in use until shortly before the listeners stop.
const WITHDRAW_SHARE: f64 = 0.3;

/// Share of the grace period after which requests in flight are aborted.
const ABORT_SHARE: f64 = 0.9;

/// A connection to another router with a pending response is pinged after this time without bytes.
const PING_INTERVAL: Duration = Duration::from_millis(500);

/// A connection to another router is closed when a ping stays unanswered for this long; a busy
/// router needs up to a second to answer.
const PING_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Warm-up time of a target that reports none.
const WARM_UP_PERIOD: Duration = Duration::from_secs(3);

/// Half-life of the weight of a reported latency; interference on shared machines lasts some
/// hundred milliseconds.
const LATENCY_HALF_LIFE: Duration = Duration::from_millis(300);

/// Half-life of a load report as a share of the median latency of the service: the requests of a report
/// have mostly ended after about one latency.
const LOAD_LATENCY_SHARE: f64 = 1.0;

/// Half-life of the failure rate of a target without requests; faults of a few seconds are common.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(2);

/// Log lines per second for requests with a usual response. The lines of all others are written.
const ROUTINE_LINES_PER_SECOND: u32 = 10;

/// Why a router could not be started.
#[derive(Debug)]
pub enum Error {
    /// A listener cannot be bound to its address.
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
/// Returns [`Error`] when a listener cannot be bound or the metrics cannot be registered.
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
    let entry_state = Arc::clone(&state);
    let serve_state = Arc::clone(&state);
    let listeners = vec![
        tokio::spawn(listener::run_within(
            callers,
            listener::Config::default()
                .header_bytes(header_bytes(&state.settings.limits))
                .header_timeout(HEADER_TIMEOUT),
            Arc::clone(&state.listeners.callers),
            stopped.clone(),
            Arc::new(move |request| Box::pin(entry::handle(Arc::clone(&entry_state), request))),
        )),
        tokio::spawn(peer_listener::run_within(
            routers,
            Arc::clone(&state.listeners.routers),
            stopped,
            Arc::new(move |request| Box::pin(serve::handle(Arc::clone(&serve_state), request))),
        )),
    ];
    state.views.lock().set_seeds(&registries);
    follow::follow(&state, &registries, &loops_stopped);
    tokio::spawn(probe::run(Arc::clone(&state), loops_stopped.clone()));
    tokio::spawn(pacer::run(Arc::clone(&state), loops_stopped.clone()));
    tokio::spawn(Arc::clone(&state.memory).watch(loops_stopped.clone()));
    tokio::spawn(maintain(Arc::clone(&state), loops_stopped));
    info!(
        event = "router-started",
        callers = state.settings.caller_listen.to_string().as_str(),
        routers = state.settings.router_listen.to_string().as_str();
        "router is listening for callers and other routers"
    );
    Ok(Router {
        state,
        listeners,
        stop_listeners,
        stop_loops,
    })
}

/// Up to this many targets in the local availability zone, every choice considers another zone
/// too. One or two of three are often slow at the same moment on shared machines.
const LOCAL_TARGETS_MAX: usize = 3;

/// Preferred targets of a service in the local availability zone. With eight, each of them answers often
/// enough for its report to be of use, and a target is in the subsets of many routers.
const LOCAL_SUBSET_TARGETS: usize = 8;

/// Preferred targets of a service in each other availability zone.
const OTHER_SUBSET_TARGETS: usize = 2;

/// Maximum size of a request head: smaller where the memory is small for the number of connections.
fn header_bytes(limits: &Limits) -> usize {
    let connections = Shares::router(limits.descriptors).callers.max(1) as u64;
    let buffers = connections * BUFFERS_PER_CONNECTION;
    let share = limits.memory_bytes * BUFFERS_PERCENT / 100 / buffers;
    (share as usize).clamp(HEADER_BYTES_MIN, HEADER_BYTES_MAX)
}

fn listeners(limits: &Limits, memory: &Arc<Budget>) -> Listeners {
    let shares = Shares::router(limits.descriptors);
    let limit = |name, connections| Limit::new(name, connections, Arc::clone(memory));
    Listeners {
        callers: limit("callers", shares.callers),
        routers: limit("routers", shares.processes),
        ready: limit("ready", shares.calls),
        admin: limit("admin", shares.calls),
    }
}

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
        .warm_up_period(WARM_UP_PERIOD)
        .latency_band(1.0)
        .latency_half_life(LATENCY_HALF_LIFE)
        .load_latency_share(LOAD_LATENCY_SHARE)
        .cross_zone_share(1.0)
        .local_zone_targets(LOCAL_TARGETS_MAX)
        .subset(config::Subset {
            key: subset_key(&settings),
            local: LOCAL_SUBSET_TARGETS,
            other: OTHER_SUBSET_TARGETS,
        })
        .failure_half_life(FAILURE_HALF_LIFE)
        .last_resort(true);
    let (published, _) = watch::channel(0);
    let memory = Budget::new(settings.limits.memory_bytes);
    let listeners = listeners(&settings.limits, &memory);
    Ok(State {
        session,
        clock,
        items: Mutex::new(Rank::Catalog, Arc::new(table::Table::default())),
        splits: Mutex::new(Rank::Join, Vec::new()),
        items_read_since: Mutex::new(Rank::Join, None),
        views: Mutex::new(Rank::Membership, RegistryViews::default()),
        routing: Mutex::new(Rank::Routing, routing::Table::new(choice)),
        backend: Mutex::new(Rank::Gate, Backend::default()),
        pace_changed: Notify::new(),
        router_count: AtomicUsize::new(1),
        budgets: Mutex::new(Rank::Budget, Vec::new()),
        slow_responses: Semaphore::new(settings.limits.descriptors / SLOW_RESPONSES_DIVISOR),
        allotments: Mutex::new(Rank::Budget, allotment::Table::default()),
        credit_changed: Notify::new(),
        seconds: Mutex::new(Rank::Pool, second::Table::default()),
        outlooks: Mutex::new(Rank::Pool, outlook::Table::default()),
        crashes: Mutex::new(Rank::Report, Crashes::default()),
        crash_check_running: AtomicBool::new(false),
        metrics: Metrics::new()?,
        routine_log_quota: Quota::new(ROUTINE_LINES_PER_SECOND),
        pool: Arc::new(pool::Pool::new(connections)),
        probes: Arc::new(pool::Pool::new(probes)),
        routers: peer_pool::Pool::new(routers),
        published,
        grace: OnceLock::new(),
        withdrawn: AtomicBool::new(false),
        memory,
        listeners,
        numbers: AtomicU64::new(0),
        settings,
    })
}

/// Key by which this router ranks targets; the same after a restart, so that its connections stay useful.
fn subset_key(settings: &Settings) -> u64 {
    let mut hasher = DefaultHasher::new();
    settings.address().hash(&mut hasher);
    hasher.finish()
}

/// Runs the periodic maintenance: closes idle connections, applies expired views and updates gauges.
async fn maintain(state: Arc<State>, mut stop: watch::Receiver<bool>) {
    loop {
        tokio::select! {
            () = time::sleep(MAINTENANCE_INTERVAL) => {}
            () = listen::stopped(&mut stop) => return,
        }
        state.routers.close_idle(state.now());
        // Counting the connections also closes those that have been idle for long.
        let _ = state.pool.counts();
        follow::apply_targets(&state);
        state.configure_budgets();
        allotment::maintain(&state);
        let suppressed = state.routine_log_quota.suppressed();
        state.metrics.log_suppressed.set(metrics::count(suppressed));
        let reachable = state.views.lock().reachable_registries(state.now());
        state.metrics.registries.set(metrics::count(reachable));
        let limits = &state.listeners;
        let all = [
            &limits.callers,
            &limits.routers,
            &limits.ready,
            &limits.admin,
        ];
        state.metrics.holders.set(&state.memory, &all);
    }
}

impl Router {
    /// The shared state, for the interfaces of backend servers and of the platform.
    pub fn state(&self) -> Arc<State> {
        Arc::clone(&self.state)
    }

    /// Replaces the seeds by those of a changed configuration, and starts to follow them.
    pub fn set_seeds(&self, registries: &[SocketAddr]) {
        self.state.views.lock().set_seeds(registries);
        follow::follow(&self.state, registries, &self.stop_loops.subscribe());
    }

    /// Stops gracefully. Returns whether every request in flight finished.
    ///
    /// Callers and other routers are first notified that this router stops, while it still serves;
    /// then its connections are closed as they become idle.
    pub async fn stop(self) -> bool {
        info!(event = "router-stopping"; "router is no longer ready and stops within its grace period");
        let grace_period = self.state.settings.grace_period;
        let listens = grace_period.mul_f64(LISTEN_SHARE);
        let aborts = grace_period.mul_f64(ABORT_SHARE);
        let grace = Grace::new(self.state.now(), listens, aborts);
        self.state.grace.get_or_init(|| grace);
        let started = time::Instant::now();
        time::sleep(grace_period.mul_f64(WITHDRAW_SHARE)).await;
        self.state.withdrawn.store(true, Ordering::Relaxed);
        self.state.publish();
        time::sleep_until(started + listens).await;
        self.stop_listeners.send_replace(true);
        let finished = async {
            for listener in self.listeners {
                if let Err(error) = listener.await {
                    warn!(event = "listener-failed"; "listener task panicked or was cancelled: {error}");
                }
            }
        };
        let abort_at = started + aborts;
        let complete = time::timeout_at(abort_at, finished).await.is_ok();
        self.stop_loops.send_replace(true);
        info!(event = "router-stopped", whole = complete; "router has stopped");
        complete
    }
}
