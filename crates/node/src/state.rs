//! The shared tables of a node.
//!
//! Each table has one ranked lock. None is held across an await.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::sync::Semaphore;
use tokio_util::task::TaskTracker;

use crate::explain;
use crate::local::Local;
use crate::metrics::Metrics;
use crate::routes;
use crate::shared::Shared;
use crate::sync;
use shallotrill_backend::pool;
use shallotrill_catalog::view;
use shallotrill_control_client::client::Client;
use shallotrill_locks::Mutex;
use shallotrill_locks::Rank;
use shallotrill_membership::view::View as Membership;
use shallotrill_model::instance;
use shallotrill_model::region;
use shallotrill_model::request;
use shallotrill_model::revision::Revision;
use shallotrill_model::service;
use shallotrill_model::time::Instant;
use shallotrill_model::zone;
use shallotrill_peer::pool::Pool as Peers;
use shallotrill_process::clock::Clock;
use shallotrill_process::process::Process;
use shallotrill_retry::budget;
use shallotrill_retry::containment;
use shallotrill_retry::latency::Window;
use shallotrill_retry::ledger::Ledger;
use shallotrill_routing::config::Config as RoutingConfig;
use shallotrill_routing::policy::Policy;
use shallotrill_routing::table::Table as Routing;

/// Most outcomes that wait for a quorum. Each holds a plan, and a node without control must not grow without limit.
const RECORDING_MAX: usize = 1_000;

/// Length of a target's lease; the view keeps unconfirmed targets for this time after a switch.
const LEASE: Duration = Duration::from_secs(3);

/// Span of the latency window that hedging reads.
const LATENCY_SPAN: Duration = Duration::from_secs(10);

/// A service whose last call is older than this is no longer of interest.
const INTEREST: Duration = Duration::from_mins(10);

/// Most requests at the backend server whose nested calls may have retry tokens.
const LEDGER_MAX: usize = 10_000;

/// Who this node is.
#[derive(Clone, Debug)]
pub(crate) struct Identity {
    pub(crate) instance: instance::Name,
    pub(crate) zone: zone::Name,
    pub(crate) region: region::Name,
    /// Address that other nodes connect to.
    pub(crate) address: SocketAddr,
    /// Rises with each start of the process.
    pub(crate) session: u64,
}

/// Limits from the settings.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Limits {
    pub(crate) body_bytes: usize,
    pub(crate) body_timeout: Duration,
}

/// Budgets and measurements of one service.
#[derive(Debug)]
pub(crate) struct Budget {
    pub(crate) retry: budget::Budget,
    pub(crate) latency: Window,
    pub(crate) containment: containment::Table,
    configured: (u32, u32, u32),
}

/// Budgets of all services, and the tokens of the calls that run at the backend server.
#[derive(Debug)]
pub(crate) struct Budgets {
    /// Sorted by service.
    pub(crate) services: Vec<(service::Name, Budget)>,
    pub(crate) ledger: Ledger,
}

/// A service that is called through this node, with its last call.
#[derive(Clone, Debug)]
pub(crate) struct Interest {
    pub(crate) service: service::Name,
    pub(crate) called: Instant,
    /// Whether control has told this node the targets of the service.
    pub(crate) informed: bool,
}

/// Targets known to this node, and the services that it wants them for.
#[derive(Debug)]
pub(crate) struct Targets {
    pub(crate) view: Membership,
    /// Sorted by service.
    pub(crate) interest: Vec<Interest>,
    /// Services whose targets the view follows, sorted: the interest of the last pull that was answered.
    pub(crate) followed: Vec<service::Name>,
    /// Whether a difference did not fit, so that the next pull needs a snapshot.
    pub(crate) misfit: bool,
    /// What routing was told, sorted by instance.
    pub(crate) applied: Vec<routes::Applied>,
}

/// Everything that the workers of a node share.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) identity: Identity,
    pub(crate) limits: Limits,
    pub(crate) clock: Clock,
    pub(crate) process: Process,
    pub(crate) catalog: Mutex<view::View>,
    pub(crate) targets: Mutex<Targets>,
    pub(crate) shared: Mutex<Shared>,
    pub(crate) routing: Mutex<Routing>,
    pub(crate) local: Mutex<Local>,
    pub(crate) budgets: Mutex<Budgets>,
    pub(crate) explain: Mutex<explain::Ring>,
    pub(crate) peers: Peers,
    pub(crate) backend: Arc<pool::Pool>,
    pub(crate) control: Client,
    pub(crate) metrics: Metrics,
    /// Wakes the heartbeat: something changed that control should know at once.
    pub(crate) changed: Notify,
    /// Wakes the feed: the interest grew.
    pub(crate) interested: Notify,
    /// Wakes requests that wait for targets of their service.
    pub(crate) arrived: Notify,
    /// Folder for the last configuration.
    pub(crate) cache: Option<PathBuf>,
    pub(crate) stopping: AtomicBool,
    /// Time at which control last answered, in microseconds; zero before the first time.
    pub(crate) contact: AtomicU64,
    /// Crash facts that control does not have yet are kept in `sync`.
    pub(crate) sync: Mutex<sync::Pending>,
    /// Work that goes on when its caller disconnects; a stop waits for it.
    pub(crate) tasks: TaskTracker,
    /// Places for outcomes that wait for a quorum of a claim group.
    pub(crate) recording: Arc<Semaphore>,
    next: AtomicU64,
}

/// What [`State::new`] is made of.
#[derive(Debug)]
pub(crate) struct Parts {
    pub(crate) identity: Identity,
    pub(crate) limits: Limits,
    pub(crate) policy: Policy,
    pub(crate) clock: Clock,
    pub(crate) process: Process,
    pub(crate) control: Client,
    pub(crate) metrics: Metrics,
    pub(crate) peers: Peers,
    pub(crate) backend: Arc<pool::Pool>,
    pub(crate) cache: Option<PathBuf>,
}

impl State {
    pub(crate) fn new(parts: Parts) -> Self {
        let identity = parts.identity;
        let routing =
            RoutingConfig::new(identity.region.clone(), identity.zone.clone()).policy(parts.policy);
        let targets = Targets {
            view: Membership::new(LEASE),
            interest: Vec::new(),
            followed: Vec::new(),
            misfit: false,
            applied: Vec::new(),
        };
        let budgets = Budgets {
            services: Vec::new(),
            ledger: Ledger::new(LEDGER_MAX),
        };
        Self {
            catalog: Mutex::new(Rank::Catalog, view::View::default()),
            targets: Mutex::new(Rank::Membership, targets),
            shared: Mutex::new(Rank::Join, Shared::default()),
            routing: Mutex::new(Rank::Routing, Routing::new(routing)),
            local: Mutex::new(Rank::Gate, Local::default()),
            budgets: Mutex::new(Rank::Budget, budgets),
            explain: Mutex::new(Rank::Explain, explain::Ring::default()),
            sync: Mutex::new(Rank::Report, sync::Pending::default()),
            identity,
            limits: parts.limits,
            clock: parts.clock,
            process: parts.process,
            peers: parts.peers,
            backend: parts.backend,
            control: parts.control,
            metrics: parts.metrics,
            changed: Notify::new(),
            interested: Notify::new(),
            arrived: Notify::new(),
            cache: parts.cache,
            stopping: AtomicBool::new(false),
            contact: AtomicU64::new(0),
            tasks: TaskTracker::new(),
            recording: Arc::new(Semaphore::new(RECORDING_MAX)),
            next: AtomicU64::new(1),
        }
    }

    pub(crate) fn now(&self) -> Instant {
        self.clock.now()
    }

    /// A number that is used once in this process.
    pub(crate) fn unique(&self) -> u64 {
        self.next.fetch_add(1, Ordering::Relaxed)
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Whether no configuration has reached this node since it started, so that it cannot say which services exist.
    pub(crate) fn is_unconfigured(&self) -> bool {
        self.catalog.lock().revision == Revision(0)
    }

    /// The configuration of a service as in force here.
    pub(crate) fn service(&self, name: &service::Name) -> Option<Arc<service::Spec>> {
        self.catalog.lock().service(name).cloned()
    }

    /// Runs `f` on the budgets of a service, which are made at its first call.
    pub(crate) fn budget<T>(&self, spec: &service::Spec, f: impl FnOnce(&mut Budget) -> T) -> T {
        let now = self.now();
        let services = &mut self.budgets.lock().services;
        let index = match services.binary_search_by(|(name, _)| name.cmp(&spec.name)) {
            Ok(index) => index,
            Err(index) => {
                services.insert(index, (spec.name.clone(), Budget::new(spec, now)));
                index
            }
        };
        let budget = &mut services[index].1;
        budget.configure(spec);
        f(budget)
    }

    /// Notes that a service is called here, so that the feed brings its targets.
    pub(crate) fn want(&self, service: &service::Name) {
        let called = self.now();
        let mut targets = self.targets.lock();
        let found = targets
            .interest
            .binary_search_by(|interest| interest.service.cmp(service));
        match found {
            Ok(index) => targets.interest[index].called = called,
            Err(index) => {
                let interest = Interest {
                    service: service.clone(),
                    called,
                    informed: false,
                };
                targets.interest.insert(index, interest);
                drop(targets);
                self.interested.notify_one();
            }
        }
    }

    /// Whether the targets of a service were told to this node, so that none being known means that there is none.
    pub(crate) fn is_informed(&self, service: &service::Name) -> bool {
        let targets = self.targets.lock();
        let found = targets
            .interest
            .binary_search_by(|interest| interest.service.cmp(service));
        found.is_ok_and(|index| targets.interest[index].informed)
    }

    /// Forgets services that have not been called for a while.
    pub(crate) fn forget_unused(&self) {
        let now = self.now();
        let mut targets = self.targets.lock();
        targets
            .interest
            .retain(|interest| now.since(interest.called) < INTEREST);
    }

    /// Time since control last answered; nothing before the first time.
    pub(crate) fn contact_age(&self) -> Option<Duration> {
        match self.contact.load(Ordering::Relaxed) {
            0 => None,
            micros => Some(self.now().since(Instant(micros))),
        }
    }
}

impl Budget {
    fn new(spec: &service::Spec, now: Instant) -> Self {
        let containment = containment::Config::default()
            .crash_limit(spec.crash_limit)
            .quarantine(spec.quarantine());
        Self {
            retry: budget::Budget::new(retry_config(spec), now),
            latency: Window::new(LATENCY_SPAN, now),
            containment: containment::Table::new(containment),
            configured: settings(spec),
        }
    }

    /// Follows a change of the service's settings. Facts about crashes are learned anew from control.
    fn configure(&mut self, spec: &service::Spec) {
        if self.configured == settings(spec) {
            return;
        }
        self.configured = settings(spec);
        self.retry.configure(retry_config(spec));
        let containment = containment::Config::default()
            .crash_limit(spec.crash_limit)
            .quarantine(spec.quarantine());
        self.containment = containment::Table::new(containment);
    }
}

const fn settings(spec: &service::Spec) -> (u32, u32, u32) {
    (
        spec.retry_budget_permille,
        spec.crash_limit,
        spec.quarantine_ms,
    )
}

fn retry_config(spec: &service::Spec) -> budget::Config {
    budget::Config::default().permille(spec.retry_budget_permille)
}

/// A new request identifier.
pub(crate) fn request_id() -> request::Id {
    request::Id(rand::random())
}
