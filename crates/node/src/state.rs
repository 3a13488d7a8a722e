//! Tables that the workers of a node share.
//!
//! Each table has one ranked lock. No lock is held across an await.

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
use crate::shared::CoalescedRequests;
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
use shallotrill_process::process::ProcessMetadata;
use shallotrill_retry::budget;
use shallotrill_retry::containment;
use shallotrill_retry::latency::Window;
use shallotrill_retry::ledger::Ledger;
use shallotrill_routing::config::Config as RoutingConfig;
use shallotrill_routing::policy::Policy;
use shallotrill_routing::table::Table as Routing;

/// Maximum number of outcomes that wait for a quorum. Each keeps a plan in memory, which must stay bounded while control is unreachable.
const RECORDING_MAX: usize = 1_000;

/// Lease of a target. The view keeps unconfirmed targets for this time after a switch of the control process.
const LEASE_PERIOD: Duration = Duration::from_secs(3);

/// Length of the latency window that hedging reads.
const LATENCY_WINDOW_PERIOD: Duration = Duration::from_secs(10);

/// Time after the last call to a service for which the feed still includes its targets.
const INTEREST_RETENTION_PERIOD: Duration = Duration::from_mins(10);

/// Maximum number of requests at the backend server whose nested calls may have retry tokens.
const LEDGER_ENTRIES_MAX: usize = 10_000;

/// Identity of this node.
#[derive(Clone, Debug)]
pub(crate) struct Identity {
    pub(crate) instance: instance::Name,
    pub(crate) zone: zone::Name,
    pub(crate) region: region::Name,
    /// Address that other nodes connect to.
    pub(crate) address: SocketAddr,
    /// Increases with each start of the process.
    pub(crate) session: u64,
}

/// Limits from the settings.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Limits {
    pub(crate) body_bytes: usize,
    pub(crate) body_timeout: Duration,
}

/// Retry budget, latencies and crash containment of one service.
#[derive(Debug)]
pub(crate) struct ServiceState {
    pub(crate) retry_budget: budget::Budget,
    pub(crate) latency: Window,
    pub(crate) containment: containment::Table,
    applied_settings: (u32, u32, u32),
}

/// State of all called services, and the retry tokens of the requests that run at the backend server.
#[derive(Debug)]
pub(crate) struct Services {
    /// Sorted by service.
    pub(crate) services: Vec<(service::Name, ServiceState)>,
    pub(crate) ledger: Ledger,
}

/// A service that callers call through this node.
#[derive(Clone, Debug)]
pub(crate) struct Interest {
    pub(crate) service: service::Name,
    pub(crate) called: Instant,
    /// Whether control has sent the targets of the service to this node.
    pub(crate) synced: bool,
}

/// Targets known to this node, and the services whose targets it needs.
#[derive(Debug)]
pub(crate) struct Targets {
    pub(crate) view: Membership,
    /// Sorted by service.
    pub(crate) interest: Vec<Interest>,
    /// Services whose targets the view contains, sorted: the interest of the last answered pull.
    pub(crate) followed: Vec<service::Name>,
    /// Whether a difference could not be applied, so that the next pull requests a snapshot.
    pub(crate) snapshot_needed: bool,
    /// Targets that routing was last given, sorted by instance.
    pub(crate) applied: Vec<routes::AppliedTarget>,
}

/// State that all workers of a node share.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) identity: Identity,
    pub(crate) limits: Limits,
    pub(crate) clock: Clock,
    pub(crate) process: ProcessMetadata,
    pub(crate) catalog: Mutex<view::View>,
    pub(crate) targets: Mutex<Targets>,
    pub(crate) coalesced: Mutex<CoalescedRequests>,
    pub(crate) routing: Mutex<Routing>,
    pub(crate) local: Mutex<Local>,
    pub(crate) services: Mutex<Services>,
    pub(crate) explain: Mutex<explain::RecentRequests>,
    pub(crate) peers: Peers,
    pub(crate) backend: Arc<pool::Pool>,
    pub(crate) control: Client,
    pub(crate) metrics: Metrics,
    /// Wakes the heartbeat after a change that control must learn at once.
    pub(crate) report_due: Notify,
    /// Wakes the feed after a service was added to the interest.
    pub(crate) interest_added: Notify,
    /// Wakes requests that wait for targets of their service.
    pub(crate) targets_changed: Notify,
    /// Folder for the cached configuration; `None` disables the cache.
    pub(crate) cache: Option<PathBuf>,
    pub(crate) stopping: AtomicBool,
    /// Time at which control last answered, in microseconds; zero before the first answer.
    pub(crate) last_contact: AtomicU64,
    /// State of the synchronization with control, including crash records that control does not have yet.
    pub(crate) sync: Mutex<sync::ControlSync>,
    /// Tasks that continue when their caller disconnects; a graceful stop waits for them.
    pub(crate) tasks: TaskTracker,
    /// Permits for outcomes that wait for a quorum of a claim group.
    pub(crate) recording_permits: Arc<Semaphore>,
    next_unique: AtomicU64,
}

/// Arguments of [`State::new`].
#[derive(Debug)]
pub(crate) struct Parts {
    pub(crate) identity: Identity,
    pub(crate) limits: Limits,
    pub(crate) policy: Policy,
    pub(crate) clock: Clock,
    pub(crate) process: ProcessMetadata,
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
            view: Membership::new(LEASE_PERIOD),
            interest: Vec::new(),
            followed: Vec::new(),
            snapshot_needed: false,
            applied: Vec::new(),
        };
        let services = Services {
            services: Vec::new(),
            ledger: Ledger::new(LEDGER_ENTRIES_MAX),
        };
        Self {
            catalog: Mutex::new(Rank::Catalog, view::View::default()),
            targets: Mutex::new(Rank::Membership, targets),
            coalesced: Mutex::new(Rank::Join, CoalescedRequests::default()),
            routing: Mutex::new(Rank::Routing, Routing::new(routing)),
            local: Mutex::new(Rank::Gate, Local::default()),
            services: Mutex::new(Rank::Budget, services),
            explain: Mutex::new(Rank::Explain, explain::RecentRequests::default()),
            sync: Mutex::new(Rank::Report, sync::ControlSync::default()),
            identity,
            limits: parts.limits,
            clock: parts.clock,
            process: parts.process,
            peers: parts.peers,
            backend: parts.backend,
            control: parts.control,
            metrics: parts.metrics,
            report_due: Notify::new(),
            interest_added: Notify::new(),
            targets_changed: Notify::new(),
            cache: parts.cache,
            stopping: AtomicBool::new(false),
            last_contact: AtomicU64::new(0),
            tasks: TaskTracker::new(),
            recording_permits: Arc::new(Semaphore::new(RECORDING_MAX)),
            next_unique: AtomicU64::new(1),
        }
    }

    pub(crate) fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Returns a number that is unique in this process.
    pub(crate) fn unique(&self) -> u64 {
        self.next_unique.fetch_add(1, Ordering::Relaxed)
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Whether this node has had no configuration since it started, so that it does not know which services exist.
    pub(crate) fn is_unconfigured(&self) -> bool {
        self.catalog.lock().revision == Revision(0)
    }

    /// Configuration of a service that is in force at this node.
    pub(crate) fn service(&self, name: &service::Name) -> Option<Arc<service::Spec>> {
        self.catalog.lock().service(name).cloned()
    }

    /// Runs `f` on the state of a service, which is created at its first call.
    pub(crate) fn with_service_state<T>(
        &self,
        spec: &service::Spec,
        f: impl FnOnce(&mut ServiceState) -> T,
    ) -> T {
        let now = self.now();
        let services = &mut self.services.lock().services;
        let index = match services.binary_search_by(|(name, _)| name.cmp(&spec.name)) {
            Ok(index) => index,
            Err(index) => {
                services.insert(index, (spec.name.clone(), ServiceState::new(spec, now)));
                index
            }
        };
        let service = &mut services[index].1;
        service.configure(spec);
        f(service)
    }

    /// Adds a service to the interest, so that the feed includes its targets.
    pub(crate) fn register_interest(&self, service: &service::Name) {
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
                    synced: false,
                };
                targets.interest.insert(index, interest);
                drop(targets);
                self.interest_added.notify_one();
            }
        }
    }

    /// Whether control has sent the targets of a service, so that an empty list means that the service has no targets.
    pub(crate) fn is_synced(&self, service: &service::Name) -> bool {
        let targets = self.targets.lock();
        let found = targets
            .interest
            .binary_search_by(|interest| interest.service.cmp(service));
        found.is_ok_and(|index| targets.interest[index].synced)
    }

    /// Removes services that were not called within [`INTEREST_RETENTION_PERIOD`].
    pub(crate) fn expire_interest(&self) {
        let now = self.now();
        let mut targets = self.targets.lock();
        targets
            .interest
            .retain(|interest| now.since(interest.called) < INTEREST_RETENTION_PERIOD);
    }

    /// Time since control last answered; `None` before the first answer.
    pub(crate) fn contact_age(&self) -> Option<Duration> {
        match self.last_contact.load(Ordering::Relaxed) {
            0 => None,
            micros => Some(self.now().since(Instant(micros))),
        }
    }
}

impl ServiceState {
    fn new(spec: &service::Spec, now: Instant) -> Self {
        let containment = containment::Config::default()
            .crash_limit(spec.crash_limit)
            .quarantine(spec.quarantine());
        Self {
            retry_budget: budget::Budget::new(retry_config(spec), now),
            latency: Window::new(LATENCY_WINDOW_PERIOD, now),
            containment: containment::Table::new(containment),
            applied_settings: settings(spec),
        }
    }

    /// Applies changed settings of the service. Crash records are received again from control.
    fn configure(&mut self, spec: &service::Spec) {
        if self.applied_settings == settings(spec) {
            return;
        }
        self.applied_settings = settings(spec);
        self.retry_budget.configure(retry_config(spec));
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

/// Generates a random request identifier.
pub(crate) fn request_id() -> request::Id {
    request::Id(rand::random())
}
