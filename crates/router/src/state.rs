//! Shared state of a router.

use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use tokio::sync::Notify;
use tokio::sync::Semaphore;
use tokio::sync::watch;

use crate::allotment;
use crate::backend;
use crate::backend::Backend;
use crate::backend::ServerState;
use crate::crashes::Crashes;
use crate::follow::RegistryViews;
use crate::grace::Grace;
use crate::metrics::Metrics;
use crate::outlook;
use crate::second;
use crate::settings::Settings;
use shallotrill_backend::pool;
use shallotrill_feed::message::Announcement;
use shallotrill_items::split::WeightedSplit;
use shallotrill_items::table::ActiveRoute;
use shallotrill_items::table::Table;
use shallotrill_locks::Mutex;
use shallotrill_model::incarnation::Incarnation;
use shallotrill_model::instance;
use shallotrill_model::service;
use shallotrill_model::time::Instant;
use shallotrill_peer::pool as peer_pool;
use shallotrill_process::clock::Clock;
use shallotrill_process::log::Quota;
use shallotrill_retry::budget;
use shallotrill_retry::budget::Budget;
use shallotrill_routing::table;
use shallotrill_wire::budget as wire_budget;
use shallotrill_wire::listen::Limit;

/// Share of the allowed retries that this router uses. A retried request repeats its nested calls,
/// which count as retries too, but the router that receives a nested call cannot tell that its
/// parent was retried.
const RETRY_SHARE: f64 = 0.5;

/// Weighted round robin over the services of one version of a route.
#[derive(Clone, Debug)]
pub struct RouteSplit {
    route: Arc<str>,
    version: u64,
    split: WeightedSplit,
}

/// Limits of the listeners of a router.
#[derive(Debug)]
pub struct Listeners {
    /// Of callers.
    pub callers: Arc<Limit>,
    /// Of other routers.
    pub routers: Arc<Limit>,
    /// Of readiness checks.
    pub ready: Arc<Limit>,
    /// Of announcements.
    pub admin: Arc<Limit>,
}

/// Shared state. Lock order: `items`, `views`, `splits`, `routing`, `backend`, `budgets` or `allotments`,
/// `crashes`.
pub struct State {
    /// Settings of this router.
    pub settings: Settings,
    /// Distinguishes this process from earlier ones on the same instance: its start time.
    pub session: u64,
    /// Clock of the process.
    pub clock: Clock,
    /// The items in force.
    pub items: Mutex<Arc<Table>>,
    /// Round robin of routes with several services, sorted by route name.
    pub splits: Mutex<Vec<RouteSplit>>,
    /// Since when items are being read from a registry process; no other lock is held with it.
    pub items_read_since: Mutex<Option<Instant>>,
    /// Announcements that each registry process reports.
    pub views: Mutex<RegistryViews>,
    /// Targets with their load estimates.
    pub routing: Mutex<table::Table>,
    /// State of the local backend server.
    pub backend: Mutex<Backend>,
    /// Notified when a request waits at the gate only for the pace of the backend server.
    pub pace_changed: Notify,
    /// Number of routers that share the limits of all routers.
    pub router_count: AtomicUsize,
    /// Retry budget of each service, sorted by name.
    pub budgets: Mutex<Vec<(service::Name, Budget)>>,
    /// Permits of responses that continue without a slot because their readers are slow.
    pub slow_responses: Semaphore,
    /// Credit of the workspaces with an allotment that are in use here.
    pub allotments: Mutex<allotment::Table>,
    /// Notified when credit has arrived or a registry process has not replied to a request for it.
    pub credit_changed: Notify,
    /// What targets stated about their room; no other lock is held with it.
    pub outlooks: Mutex<outlook::Table>,
    /// Response times and second attempts of each service; no other lock is held with it.
    pub seconds: Mutex<second::Table>,
    /// Crash records and quarantine.
    pub crashes: Mutex<Crashes>,
    /// A check is running whether the backend server has crashed.
    pub crash_check_running: AtomicBool,
    /// Metrics of this router.
    pub metrics: Metrics,
    /// Rate limit of log lines for requests with a usual response.
    pub routine_log_quota: Quota,
    /// Connections to the backend server.
    pub pool: Arc<pool::Pool>,
    /// The connection for probes of the backend server.
    pub probes: Arc<pool::Pool>,
    /// Connections to other routers.
    pub routers: peer_pool::Pool,
    /// Sequence number of the announcement; increases with each change that the registries must be sent.
    pub published: watch::Sender<u64>,
    /// Set when the process starts to stop.
    pub grace: OnceLock<Grace>,
    /// Set when the target of this router is withdrawn because the process stops.
    pub withdrawn: AtomicBool,
    /// Memory that is kept for others.
    pub memory: Arc<wire_budget::Budget>,
    /// Limits of the listeners.
    pub listeners: Listeners,
    /// Source of unique numbers.
    pub numbers: AtomicU64,
}

impl std::fmt::Debug for State {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("State")
            .field("settings", &self.settings)
            .finish_non_exhaustive()
    }
}

impl State {
    /// The current time.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// A number that no other call has returned.
    pub fn unique_number(&self) -> u64 {
        self.numbers.fetch_add(1, Ordering::Relaxed)
    }

    /// The items in force.
    pub fn items(&self) -> Arc<Table> {
        Arc::clone(&self.items.lock())
    }

    /// The next service of a route by weighted round robin; `None` while no service has a weight.
    pub fn next_service(&self, rule: &ActiveRoute) -> Option<service::Name> {
        let shares = &rule.route.shares;
        if let [only] = shares.as_slice() {
            return (only.weight > 0).then(|| only.service.clone());
        }
        let mut splits = self.splits.lock();
        let index = splits.binary_search_by(|split| split.route.cmp(&rule.name));
        let new_split = || RouteSplit {
            route: Arc::clone(&rule.name),
            version: rule.version,
            split: WeightedSplit::new(shares, rand::random()),
        };
        let index = match index {
            Ok(index) if splits[index].version == rule.version => index,
            Ok(index) => {
                splits[index] = new_split();
                index
            }
            Err(index) => {
                splits.insert(index, new_split());
                index
            }
        };
        let share = splits[index].split.next(shares)?;
        Some(share.service.clone())
    }

    /// Whether the process is stopping.
    pub fn is_stopping(&self) -> bool {
        self.grace.get().is_some()
    }

    /// Whether callers should send requests here.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && !self.items().is_empty()
    }

    /// Increments the sequence number of the announcement, which wakes the tasks that send it to the
    /// registry processes.
    pub fn publish(&self) {
        self.published.send_modify(|sequence| *sequence += 1);
    }

    /// The current announcement for the registries.
    pub fn announcement(&self) -> Announcement {
        let sequence = *self.published.borrow();
        Announcement {
            router: self.settings.address(),
            session: self.session,
            sequence,
            target: backend::target(self),
            crashes: self.crashes.lock().records(self.now()),
        }
    }

    /// Counts a request that is sent to the local backend server.
    pub fn record_backend_request(&self, instance: &instance::Name, incarnation: Incarnation) {
        let limit = {
            let mut backend = self.backend.lock();
            let server = backend.matching(instance, incarnation);
            server.map(ServerState::record_request).unwrap_or_default()
        };
        self.metrics.record_backend_request(limit);
    }

    /// Counts a first attempt towards the retry budget of a service.
    pub fn record_first_attempt(&self, service: &service::Name) {
        self.with_budget(service, Budget::earn);
    }

    /// Spends a token of the retry budget of a service. Returns false when it is exhausted.
    pub fn try_spend_retry_token(&self, service: &service::Name) -> bool {
        let now = self.now();
        let spent = self.with_budget(service, |budget| budget.spend(now).is_ok());
        let counter = if spent {
            &self.metrics.retries
        } else {
            &self.metrics.retries_refused
        };
        counter.inc();
        spent
    }

    /// Adjusts the retry budgets to the number of routers that share the limit.
    pub fn configure_budgets(&self) {
        let config = self.retry_config();
        for (_, budget) in self.budgets.lock().iter_mut() {
            budget.configure(config);
        }
    }

    /// The part of the limit of all routers that this one may use.
    fn retry_config(&self) -> budget::Config {
        let settings = &self.settings;
        let limit = budget::Limit {
            permille: (f64::from(settings.retry_permille) * RETRY_SHARE) as u32,
            slack: settings.retry_slack,
            window: settings.retry_window,
        };
        budget::Config::share(limit, self.router_count.load(Ordering::Relaxed))
    }

    fn with_budget<T>(
        &self,
        service: &service::Name,
        operation: impl FnOnce(&mut Budget) -> T,
    ) -> T {
        let mut budgets = self.budgets.lock();
        let index = match budgets.binary_search_by(|(name, _)| name.cmp(service)) {
            Ok(index) => index,
            Err(index) => {
                let budget = Budget::new(self.retry_config(), self.now());
                budgets.insert(index, (service.clone(), budget));
                index
            }
        };
        operation(&mut budgets[index].1)
    }
}
