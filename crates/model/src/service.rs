//! Services: what operators create and callers call.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::class;
use crate::name::name;
use crate::region;

name! {
    /// Service name, which is the first label of `Host`.
}

/// The configuration of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Spec {
    /// Name of the service.
    pub name: Name,
    /// Rules that classify its requests.
    pub rules: Vec<class::Rule>,
    /// Maximum number of concurrent requests per target, unless the target announces a lower number.
    pub slots: u32,
    /// Maximum number of connections per target.
    pub connections: u32,
    /// Default request deadline when the caller sets none, in milliseconds.
    pub deadline_ms: u32,
    /// Maximum number of queued requests per target.
    pub queue: u32,
    /// Slot time that one probe consumes, in microseconds.
    pub probe_cost_us: u32,
    /// Share of slot time that probes may use, in parts per million.
    pub probe_budget_ppm: u32,
    /// Retries and hedges allowed per thousand first attempts.
    pub retry_budget_permille: u32,
    /// Number of backend server crashes after which a request is quarantined.
    pub crash_limit: u32,
    /// Quarantine duration, in milliseconds.
    pub quarantine_ms: u32,
    /// Region whose claim group stores the records of non-idempotent requests.
    pub claim_region: region::Name,
    /// Regions in which the service is served; empty means all regions.
    pub regions: Vec<region::Name>,
}

impl Spec {
    /// Creates a service with the defaults listed in `docs/OPERATIONS.md`.
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

    /// Default request deadline when the caller sets none.
    pub const fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms as u64)
    }

    /// Quarantine duration.
    pub const fn quarantine(&self) -> Duration {
        Duration::from_millis(self.quarantine_ms as u64)
    }
}
