//! Estimates of the memory that the configuration takes, from which slopes are measured.

use serde::Serialize;

use shallotrill_model::class;
use shallotrill_model::region;
use shallotrill_model::service;

/// Two reference counts in front of each shared value.
const COUNTS_BYTES: usize = 16;

/// Estimated bytes by part, without the overhead of the allocator.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Usage {
    /// Services with their rules and names.
    pub services_bytes: usize,
    /// Tables of objects and origins.
    pub entries_bytes: usize,
    /// Removed objects.
    pub removals_bytes: usize,
    /// Latest changes.
    pub history_bytes: usize,
    /// Replies to commands.
    pub sent_bytes: usize,
}

impl Usage {
    /// All parts.
    pub const fn bytes(&self) -> usize {
        self.services_bytes
            + self.entries_bytes
            + self.removals_bytes
            + self.history_bytes
            + self.sent_bytes
    }
}

/// Estimate of the memory that a service takes.
pub fn service(spec: &service::Spec) -> usize {
    let text = |text: &str| COUNTS_BYTES + text.len();
    let rules = spec
        .rules
        .iter()
        .map(|rule| text(&rule.method) + text(&rule.path));
    let regions = spec.regions.iter().map(|region| text(region.as_str()));
    let vectors = spec.rules.capacity() * size_of::<class::Rule>()
        + spec.regions.capacity() * size_of::<region::Name>();
    let names = text(spec.name.as_str()) + text(spec.claim_region.as_str());
    let inline = COUNTS_BYTES + size_of::<service::Spec>();
    inline + names + vectors + rules.sum::<usize>() + regions.sum::<usize>()
}
