//! Estimates of the memory that the configuration takes. The capacity measurements derive the cost per object
//! from them.

use serde::Serialize;

use shallotrill_model::class;
use shallotrill_model::region;
use shallotrill_model::service;

/// Size of the two reference counts of an `Arc`.
const ARC_COUNTS_BYTES: usize = 16;

/// Estimated memory of each part in bytes, without the overhead of the allocator.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Usage {
    /// Services with their rules and names.
    pub services_bytes: usize,
    /// Vectors of objects with their origins.
    pub entries_bytes: usize,
    /// Log of removed objects.
    pub removals_bytes: usize,
    /// History of accepted changes.
    pub history_bytes: usize,
    /// Cache of replies to commands.
    #[serde(rename = "sent_bytes")]
    pub reply_cache_bytes: usize,
}

impl Usage {
    /// Sum over all parts.
    pub const fn bytes(&self) -> usize {
        self.services_bytes
            + self.entries_bytes
            + self.removals_bytes
            + self.history_bytes
            + self.reply_cache_bytes
    }
}

/// Estimate of the memory that a service takes, in bytes.
pub fn service(spec: &service::Spec) -> usize {
    let text_bytes = |text: &str| ARC_COUNTS_BYTES + text.len();
    let rules = spec
        .rules
        .iter()
        .map(|rule| text_bytes(&rule.method) + text_bytes(&rule.path));
    let regions = spec
        .regions
        .iter()
        .map(|region| text_bytes(region.as_str()));
    let vectors = spec.rules.capacity() * size_of::<class::Rule>()
        + spec.regions.capacity() * size_of::<region::Name>();
    let names = text_bytes(spec.name.as_str()) + text_bytes(spec.claim_region.as_str());
    let inline = ARC_COUNTS_BYTES + size_of::<service::Spec>();
    inline + names + vectors + rules.sum::<usize>() + regions.sum::<usize>()
}
