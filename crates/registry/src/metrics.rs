//! Metrics of a registry process.

use prometheus::IntGauge;

use shallotrill_process::holders::Holders;
use shallotrill_process::metrics::Counters;
use shallotrill_process::metrics::Error;
use shallotrill_process::metrics::LabelSet;
use shallotrill_process::metrics::Registry;

/// The metrics of a registry process.
#[derive(Debug)]
pub struct Metrics {
    /// Registry that encodes the metrics.
    pub registry: Registry,
    changes: Counters,
    /// Whether this process is a voter, as 0 or 1.
    pub votes: IntGauge,
    /// Number of replicas that must accept a change.
    pub quorum: IntGauge,
    /// Number of announced routers.
    pub routers: IntGauge,
    /// Number of items with an accepted proposal that is not known to be committed.
    pub uncommitted: IntGauge,
    /// What the process keeps for others.
    pub holders: Holders,
}

impl Metrics {
    /// Registers the metrics.
    ///
    /// # Errors
    ///
    /// Returns an error when a name is not valid.
    pub fn new() -> Result<Self, Error> {
        let registry = Registry::new();
        Ok(Self {
            changes: registry.counters(
                "shallotrill_registry_changes_total",
                "Changes of operators by outcome.",
                LabelSet::new("outcome", 4),
            )?,
            votes: registry.gauge("shallotrill_registry_votes", "Whether this process votes.")?,
            quorum: registry.gauge(
                "shallotrill_registry_quorum",
                "Replicas that must accept a change.",
            )?,
            routers: registry.gauge(
                "shallotrill_registry_routers",
                "Routers that have announced themselves.",
            )?,
            uncommitted: registry.gauge(
                "shallotrill_registry_unsettled",
                "Items whose last proposal is not known to be settled.",
            )?,
            holders: Holders::new(&registry, "registry")?,
            registry,
        })
    }

    /// Counts a change by its outcome.
    pub fn record_change(&self, outcome: &str) {
        self.changes.of(outcome).inc();
    }
}
