//! Shared state of a router.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use tokio::sync::watch;

use crate::backend;
use crate::backend::Backend;
use crate::crashes::Crashes;
use crate::follow::Views;
use crate::metrics::Metrics;
use crate::settings::Settings;
use shallotrill_backend::pool;
use shallotrill_feed::message::Announcement;
use shallotrill_items::split::WeightedSplit;
use shallotrill_items::table::ActiveRoute;
use shallotrill_items::table::Table;
use shallotrill_locks::Mutex;
use shallotrill_model::service;
use shallotrill_model::time::Instant;
use shallotrill_peer::pool as peer_pool;
use shallotrill_process::clock::Clock;
use shallotrill_process::log::Quota;
use shallotrill_retry::budget;
use shallotrill_retry::budget::Budget;
use shallotrill_routing::table;

/// Part of the allowed copies that this router itself sends: calls made by a repeated
/// request count as repeats too and cannot be told from others where they begin.
const RETRY_SHARE: f64 = 0.5;

/// Routers that are assumed to share the slack, since none knows how many there are.
const SLACK_ROUTERS: u32 = 20;

/// The turns of the services of one version of a route.
#[derive(Clone, Debug)]
pub struct Turns {
    route: Arc<str>,
    version: u64,
    split: WeightedSplit,
}

/// Shared state. Lock order: `items`, `views`, `splits`, `routing`, `backend`, `budgets`, `crashes`.
pub struct State {
    /// The settings.
    pub settings: Settings,
    /// Tells this process from an earlier one on the same instance.
    pub session: u64,
    /// The clock.
    pub clock: Clock,
    /// What is in force.
    pub items: Mutex<Arc<Table>>,
    /// The turns of routes with several services, sorted by name.
    pub splits: Mutex<Vec<Turns>>,
    /// Since when the first items are being read from a registry process; held alone.
    pub reading: Mutex<Option<Instant>>,
    /// What each registry process says of the targets.
    pub views: Mutex<Views>,
    /// Load estimates of the targets.
    pub routing: Mutex<table::Table>,
    /// The backend server beside this router.
    pub backend: Mutex<Backend>,
    /// Copies that may be sent, one budget for each service, sorted by name.
    pub budgets: Mutex<Vec<(service::Name, Budget)>>,
    /// Requests that crash backend servers.
    pub crashes: Mutex<Crashes>,
    /// A backend server that dropped a connection is being called.
    pub checking: AtomicBool,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Bounds the lines of requests that were answered as usual.
    pub routine: Quota,
    /// Connections to the backend server.
    pub pool: Arc<pool::Pool>,
    /// The connection for probes of the backend server.
    pub probes: Arc<pool::Pool>,
    /// Connections to other routers.
    pub routers: peer_pool::Pool,
    /// Rises with each change that the registries must know.
    pub published: watch::Sender<u64>,
    /// Becomes true when the process stops.
    pub stopping: AtomicBool,
    /// Becomes true when the target here is out of use because the process stops.
    pub withdrawn: AtomicBool,
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
    /// The present time.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// A number that no other call has returned.
    pub fn unique(&self) -> u64 {
        self.numbers.fetch_add(1, Ordering::Relaxed)
    }

    /// What is in force.
    pub fn items(&self) -> Arc<Table> {
        Arc::clone(&self.items.lock())
    }

    /// The service whose turn it is for a route; nothing while none has a weight.
    pub fn draw(&self, rule: &ActiveRoute) -> Option<service::Name> {
        let shares = &rule.route.shares;
        if let [only] = shares.as_slice() {
            return (only.weight > 0).then(|| only.service.clone());
        }
        let mut splits = self.splits.lock();
        let at = splits.binary_search_by(|turns| turns.route.cmp(&rule.name));
        let fresh = || Turns {
            route: Arc::clone(&rule.name),
            version: rule.version,
            split: WeightedSplit::new(shares, rand::random()),
        };
        let at = match at {
            Ok(at) if splits[at].version == rule.version => at,
            Ok(at) => {
                splits[at] = fresh();
                at
            }
            Err(at) => {
                splits.insert(at, fresh());
                at
            }
        };
        let share = splits[at].split.next(shares)?;
        Some(share.service.clone())
    }

    /// Whether the process stops.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Whether callers should send requests here.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && !self.items().is_empty()
    }

    /// Tells the registries of a change.
    pub fn publish(&self) {
        self.published.send_modify(|sequence| *sequence += 1);
    }

    /// What the registries are told.
    pub fn announcement(&self) -> Announcement {
        let sequence = *self.published.borrow();
        Announcement {
            router: self.settings.address(),
            session: self.session,
            sequence,
            target: backend::target(self),
            crashes: self.crashes.lock().facts(self.now()),
        }
    }

    /// Counts a first attempt for a service.
    pub fn earn(&self, service: &service::Name) {
        self.with_budget(service, Budget::earn);
    }

    /// Takes the token for one copy. Returns whether there was one.
    pub fn spend(&self, service: &service::Name) -> bool {
        let now = self.now();
        let spent = self.with_budget(service, |budget| budget.spend(now).is_ok());
        let counter = if spent {
            &self.metrics.copies
        } else {
            &self.metrics.copies_refused
        };
        counter.inc();
        spent
    }

    fn with_budget<T>(&self, service: &service::Name, use_it: impl FnOnce(&mut Budget) -> T) -> T {
        let mut budgets = self.budgets.lock();
        let at = match budgets.binary_search_by(|(name, _)| name.cmp(service)) {
            Ok(at) => at,
            Err(at) => {
                let config = budget::Config::default()
                    .permille((f64::from(self.settings.retry_permille) * RETRY_SHARE) as u32)
                    .floor_per_second(0)
                    .burst((self.settings.retry_slack / SLACK_ROUTERS).max(1));
                budgets.insert(at, (service.clone(), Budget::new(config, self.now())));
                at
            }
        };
        use_it(&mut budgets[at].1)
    }
}
