//! Patches: new values of some fields of a service.

use serde::Deserialize;
use serde::Serialize;

use shallotrill_model::region;
use shallotrill_model::service;

/// New values of some fields of a service; `None` leaves a field unchanged.
///
/// The claim region cannot be changed: another claim group would not know the
/// requests that the first one recorded, so they could run twice.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Patch {
    /// Maximum number of requests that one target runs concurrently.
    pub slots: Option<u32>,
    /// Maximum number of connections to one target.
    pub connections: Option<u32>,
    /// Default deadline of a request, used when the caller sets none, in milliseconds.
    pub deadline_ms: Option<u32>,
    /// Maximum number of requests that wait for one target.
    pub queue: Option<u32>,
    /// Slot time that one probe costs, in microseconds.
    pub probe_cost_us: Option<u32>,
    /// Share of slot time that probes may use, in millionths.
    pub probe_budget_ppm: Option<u32>,
    /// Additional attempts allowed for each thousand first attempts.
    pub retry_budget_permille: Option<u32>,
    /// Crashes after which a request is quarantined.
    pub crash_limit: Option<u32>,
    /// Length of a quarantine, in milliseconds.
    pub quarantine_ms: Option<u32>,
    /// Regions that serve the service; empty means all.
    pub regions: Option<Vec<region::Name>>,
}

impl Patch {
    /// Whether no field has a new value.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    /// Returns a copy of the service with the new values.
    pub fn apply(&self, spec: &service::Spec) -> service::Spec {
        let mut spec = spec.clone();
        let fields = [
            (&mut spec.slots, self.slots),
            (&mut spec.connections, self.connections),
            (&mut spec.deadline_ms, self.deadline_ms),
            (&mut spec.queue, self.queue),
            (&mut spec.probe_cost_us, self.probe_cost_us),
            (&mut spec.probe_budget_ppm, self.probe_budget_ppm),
            (&mut spec.retry_budget_permille, self.retry_budget_permille),
            (&mut spec.crash_limit, self.crash_limit),
            (&mut spec.quarantine_ms, self.quarantine_ms),
        ];
        for (field, value) in fields {
            if let Some(value) = value {
                *field = value;
            }
        }
        if let Some(regions) = &self.regions {
            spec.regions.clone_from(regions);
        }
        spec
    }
}
