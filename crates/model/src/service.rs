//! Services: what operators create and callers call.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::class;
use crate::name::name;
use crate::region;

name! {
    /// Name of a service, the first label of `Host`.
}

/// The configuration of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Spec {
    /// Name of the service.
    pub name: Name,
    /// Classes of its requests.
    pub rules: Vec<class::Rule>,
    /// Requests that one target runs at once unless its announcement states less.
    pub slots: u32,
    /// Most connections to one target.
    pub connections: u32,
    /// Time limit of a request when the caller states none, in milliseconds.
    pub deadline_ms: u32,
    /// Most requests that wait at one target.
    pub queue: u32,
    /// Slot time that one probe costs, in microseconds.
    pub probe_cost_us: u32,
    /// Share of slot time that probes may use, in millionths.
    pub probe_budget_ppm: u32,
    /// Copies allowed for each thousand first attempts.
    pub retry_budget_permille: u32,
    /// Crashes of backend servers after which a request is quarantined.
    pub crash_limit: u32,
    /// Length of a quarantine, in milliseconds.
    pub quarantine_ms: u32,
    /// Region whose claim group keeps the records of non-idempotent requests.
    pub claim_region: region::Name,
    /// Regions that serve the service; empty means all.
    pub regions: Vec<region::Name>,
}

impl Spec {
    /// A service with the defaults that `docs/OPERATIONS.md` lists.
    pub fn new(name: Name, claim_region: region::Name) -> Self {
        Self {
            name,
            rules: Vec::new(),
            slots: 10,
            connections: 250,
            deadline_ms: 2_000,
            queue: 40,
            probe_cost_us: 6_000,
            probe_budget_ppm: 10_000,
            retry_budget_permille: 100,
            crash_limit: 2,
            quarantine_ms: 600_000,
            claim_region,
            regions: Vec::new(),
        }
    }

    /// Time limit of a request when the caller states none.
    pub const fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms as u64)
    }

    /// Length of a quarantine.
    pub const fn quarantine(&self) -> Duration {
        Duration::from_millis(self.quarantine_ms as u64)
    }
}
