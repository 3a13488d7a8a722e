//! Starts and stops the node role.

use std::error;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use log::info;
use log::warn;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time;

use crate::cache;
use crate::dump;
use crate::entry;
use crate::forwarded;
use crate::local;
use crate::metrics::Metrics;
use crate::probe;
use crate::routes;
use crate::state::Identity;
use crate::state::Limits;
use crate::state::Parts;
use crate::state::State;
use crate::sync;
use shallotrill_backend::announce;
use shallotrill_backend::announce::Handlers;
use shallotrill_backend::config::Config;
use shallotrill_backend::pool;
use shallotrill_caller::listener;
use shallotrill_control_client::client::Client;
use shallotrill_control_client::client::Endpoint;
use shallotrill_model::request;
use shallotrill_peer::listener as peer_listener;
use shallotrill_peer::pool as peer_pool;
use shallotrill_process::clock::Clock;
use shallotrill_process::log as process_log;
use shallotrill_process::metrics;
use shallotrill_process::process::ProcessMetadata;
use shallotrill_process::settings::Settings;
use shallotrill_process::settings::node;
use shallotrill_routing::policy;
use shallotrill_routing::policy::Policy;
use shallotrill_rpc::link;
use shallotrill_wire::listen;
use shallotrill_wire::listen::Listener;

/// Timeout for the body of a request to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum number of connections from other nodes.
const PEER_CONNECTIONS_MAX: usize = 50_000;

/// Interval of periodic maintenance: probes, idle connections, expired tokens, unconfirmed targets.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout for the last heartbeat to control after the drain, and for closing the announce server.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(1);

/// Failure to start a node.
#[derive(Debug)]
pub enum Error {
    /// The caller or peer address could not be bound.
    Listen(listen::Error),
    /// The announce address could not be bound.
    Announce(announce::Error),
    /// The metrics could not be registered.
    Metrics(metrics::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen(cause) => cause.fmt(f),
            Self::Announce(cause) => cause.fmt(f),
            Self::Metrics(cause) => cause.fmt(f),
        }
    }
}

impl error::Error for Error {
    fn source(&self) -> Option<&(dyn error::Error + 'static)> {
        match self {
            Self::Listen(cause) => Some(cause),
            Self::Announce(cause) => Some(cause),
            Self::Metrics(cause) => Some(cause),
        }
    }
}

/// Addresses of a running node; a configured port 0 is replaced by the port that the system assigned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// Address for callers.
    pub caller: SocketAddr,
    /// Address for other nodes.
    pub peer: SocketAddr,
    /// Address for the backend server and operators.
    pub announce: SocketAddr,
}

/// A running node, which [`Node::stop`] stops.
pub struct Node {
    addresses: Addresses,
    state: Arc<State>,
    announce: announce::Server,
    listeners: Vec<JoinHandle<()>>,
    loops: Vec<JoinHandle<()>>,
    heartbeat: JoinHandle<()>,
    stop_listeners: watch::Sender<bool>,
    stop_loops: watch::Sender<bool>,
    drain_limit: Duration,
}

impl fmt::Debug for Node {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Node")
            .field("addresses", &self.addresses)
            .finish_non_exhaustive()
    }
}

/// Starts a node.
///
/// # Errors
///
/// Returns [`Error`] when an address cannot be bound or the metrics cannot be registered.
pub async fn start(settings: &Settings, node: &node::Settings) -> Result<Node, Error> {
    let callers = Listener::bind(node.caller_listen)
        .await
        .map_err(Error::Listen)?;
    let others = Listener::bind(node.peer_listen)
        .await
        .map_err(Error::Listen)?;
    let state = Arc::new(state(settings, node, others.address())?);
    if let Some(view) = node.cache_folder.as_deref().and_then(cache::load) {
        *state.catalog.lock() = view;
    }
    let log = process_log::slog_logger();
    let announce =
        announce::start(node.announce_listen, handlers(&state), &log).map_err(Error::Announce)?;
    let addresses = Addresses {
        caller: callers.address(),
        peer: others.address(),
        announce: announce.local_addr(),
    };
    let (stop_listeners, stopped) = watch::channel(false);
    let (stop_loops, loops_stopped) = watch::channel(false);
    let listeners = vec![
        tokio::spawn(listener::run(
            callers,
            listener::Config::default()
                .header_bytes(node.header_limit_bytes)
                .header_timeout(node.header_timeout)
                .connections_max(node.call_connections_max),
            stopped.clone(),
            caller_handler(&state),
        )),
        tokio::spawn(peer_listener::run(
            others,
            PEER_CONNECTIONS_MAX,
            stopped,
            peer_handler(&state),
        )),
    ];
    let heartbeat = tokio::spawn(sync::heartbeat(Arc::clone(&state), loops_stopped.clone()));
    let loops = vec![
        tokio::spawn(sync::feed(Arc::clone(&state), loops_stopped.clone())),
        tokio::spawn(maintain(Arc::clone(&state), loops_stopped)),
    ];
    info!(
        event = "node-started",
        caller = addresses.caller.to_string().as_str(),
        peer = addresses.peer.to_string().as_str(),
        announce = addresses.announce.to_string().as_str();
        "the node accepts requests"
    );
    Ok(Node {
        addresses,
        state,
        announce,
        listeners,
        loops,
        heartbeat,
        stop_listeners,
        stop_loops,
        drain_limit: node.drain_timeout,
    })
}

fn state(settings: &Settings, node: &node::Settings, peer: SocketAddr) -> Result<State, Error> {
    let clock = Clock::start();
    let session = clock.wall().0;
    let endpoints: Vec<Endpoint> = node
        .control
        .iter()
        .map(|control| Endpoint {
            address: control.address,
            zone: control.zone.clone(),
        })
        .collect();
    let identity = Identity {
        instance: settings.instance.clone(),
        zone: settings.zone.clone(),
        region: settings.region.clone(),
        address: node.peer_advertise.unwrap_or(peer),
        session,
    };
    let spread = rand::random();
    Ok(State::new(Parts {
        control: Client::new(&endpoints, &settings.zone, spread, link::Config::default()),
        limits: Limits {
            body_bytes: node.body_limit_bytes,
            body_timeout: BODY_TIMEOUT,
        },
        policy: policy(node.routing_policy),
        cache: node.cache_folder.clone(),
        clock,
        process: ProcessMetadata::start(env!("CARGO_PKG_VERSION")),
        metrics: Metrics::new().map_err(Error::Metrics)?,
        peers: peer_pool::Pool::new(peer_pool::Config::default()),
        backend: Arc::new(pool::Pool::new(Config::default())),
        identity,
    }))
}

const fn policy(setting: node::Policy) -> Policy {
    match setting {
        node::Policy::Scored => policy::SCORED,
        node::Policy::Random => policy::RANDOM,
        node::Policy::RoundRobin => policy::ROUND_ROBIN,
        node::Policy::LeastInFlight => policy::LEAST_IN_FLIGHT,
    }
}

fn caller_handler(state: &Arc<State>) -> listener::Handler {
    let state = Arc::clone(state);
    Arc::new(move |request| Box::pin(entry::handle(Arc::clone(&state), request)))
}

fn peer_handler(state: &Arc<State>) -> peer_listener::Handler {
    let state = Arc::clone(state);
    Arc::new(move |request| Box::pin(forwarded::handle(Arc::clone(&state), request)))
}

fn handlers(state: &Arc<State>) -> Handlers {
    let announcing = Arc::clone(state);
    let dumping = Arc::clone(state);
    let explaining = Arc::clone(state);
    let measuring = Arc::clone(state);
    Handlers {
        announce: Box::new(move |announcement| local::announce(&announcing, &announcement)),
        state: Box::new(move || dump::state(&dumping)),
        explain: Box::new(move |text| {
            let request: request::Id = text.parse().ok()?;
            explaining.explain.lock().explain(request)
        }),
        metrics: Box::new(move || measuring.metrics.registry.text().unwrap_or_default()),
    }
}

/// Runs periodic maintenance until `stop`.
async fn maintain(state: Arc<State>, mut stop: watch::Receiver<bool>) {
    loop {
        tokio::select! {
            () = time::sleep(MAINTENANCE_INTERVAL) => {}
            () = listen::stopped(&mut stop) => return,
        }
        probe::probe_if_due(&state).await;
        let now = state.now();
        state.peers.close_idle(now);
        state.services.lock().ledger.expire(now);
        let removed = state.targets.lock().view.expire_unconfirmed(now);
        if removed {
            routes::apply_to_routing(&state);
        }
    }
}

impl Node {
    /// Addresses on which the node listens.
    pub const fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Stops gracefully: refuses new requests as not run, waits for requests in flight, then leaves control.
    ///
    /// `force` ends the wait early. Returns whether every request in flight finished.
    pub async fn stop(self, force: impl Future<Output = ()>) -> bool {
        info!(event = "node-stopping"; "the node stops: new requests are refused, requests in flight finish");
        self.state.stopping.store(true, Ordering::Relaxed);
        {
            let now = self.state.now();
            let mut local = self.state.local.lock();
            local.stopping = true;
            local.update_draining(now);
        }
        self.state.report_due.notify_one();
        self.stop_listeners.send_replace(true);
        let state = Arc::clone(&self.state);
        let listeners = self.listeners;
        let drained = async {
            for listener in listeners {
                drop(listener.await);
            }
            state.tasks.close();
            state.tasks.wait().await;
        };
        let finished = tokio::select! {
            () = drained => true,
            () = time::sleep(self.drain_limit) => false,
            () = force => false,
        };
        if !finished {
            let running = self
                .state
                .local
                .lock()
                .server
                .as_ref()
                .map_or(0, |server| server.running.len());
            warn!(event = "requests-cut", at_backend_server = running; "requests in flight are aborted, because the drain limit passed or an immediate stop was requested");
        }
        self.stop_loops.send_replace(true);
        drop(time::timeout(LEAVE_TIMEOUT, self.heartbeat).await);
        for task in self.loops {
            task.abort();
        }
        drop(time::timeout(LEAVE_TIMEOUT, self.announce.close()).await);
        info!(event = "node-stopped", whole = finished; "the node stopped");
        finished
    }
}
