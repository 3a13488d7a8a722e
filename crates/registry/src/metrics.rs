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
    evacuation_orders: Counters,
    /// Number of evacuated zones.
    pub evacuated_zones: IntGauge,
    /// Whether this process is a voter, as 0 or 1.
    pub votes: IntGauge,
    /// Number of voters in the list that this process knows.
    pub voters: IntGauge,
    /// Number of replicas that must accept a change.
    pub quorum: IntGauge,
    /// Number of announced routers.
    pub routers: IntGauge,
    credit: Counters,
    /// Number of workspaces with an allotment.
    pub allotments: IntGauge,
    /// Whether this process may grant credit.
    pub authority: IntGauge,
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
            evacuation_orders: registry.counters(
                "shallotrill_registry_evacuation_orders_total",
                "Orders to start or end an evacuation by outcome.",
                LabelSet::new("outcome", 3),
            )?,
            evacuated_zones: registry.gauge(
                "shallotrill_registry_evacuated_zones",
                "Availability zones that are evacuated.",
            )?,
            votes: registry.gauge("shallotrill_registry_votes", "Whether this process votes.")?,
            voters: registry.gauge(
                "shallotrill_registry_voters",
                "Voters in the list that this process knows.",
            )?,
            quorum: registry.gauge(
                "shallotrill_registry_quorum",
                "Replicas that must accept a change.",
            )?,
            routers: registry.gauge(
                "shallotrill_registry_routers",
                "Routers that have announced themselves.",
            )?,
            credit: registry.counters(
                "shallotrill_registry_credit_total",
                "Units of credit that routers requested, by outcome.",
                LabelSet::new("outcome", 4),
            )?,
            allotments: registry.gauge(
                "shallotrill_registry_allotments",
                "Workspaces with an allotment.",
            )?,
            authority: registry.gauge(
                "shallotrill_registry_allotment_authority",
                "1 if this process may grant credit of allotments: it has been in contact with a quorum of the voters.",
            )?,
            uncommitted: registry.gauge(
                "shallotrill_registry_unsettled",
                "Items whose last proposal is not known to be settled.",
            )?,
            holders: Holders::new(&registry, "registry")?,
            registry,
        })
    }

    /// Counts an order to start or end an evacuation by its outcome.
    pub fn record_evacuation_order(&self, outcome: &str) {
        self.evacuation_orders.of(outcome).inc();
    }

    /// Counts units of credit by their outcome.
    pub fn record_credit(&self, outcome: &str, units: u32) {
        if units > 0 {
            self.credit.of(outcome).inc_by(u64::from(units));
        }
    }

    /// Counts a change by its outcome.
    pub fn record_change(&self, outcome: &str) {
        self.changes.of(outcome).inc();
    }
}
