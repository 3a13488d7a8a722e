//! Questions to the claim group of a region.

use serde::Deserialize;
use serde::Serialize;

use shallotrill_claim::key::Key;
use shallotrill_claim::proposer::Failure;
use shallotrill_claim::proposer::Task;
use shallotrill_claim::record::Report;
use shallotrill_model::region;

/// Name of the method.
pub const METHOD: &str = "claim_ask";

/// A question about one key. It can be repeated: changes are idempotent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// Region whose claim group keeps the key.
    pub region: region::Name,
    /// The key.
    pub key: Key,
    /// What is asked.
    pub task: Task,
}

/// Why a question was not decided.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// The register did not allow it, or no quorum was reached.
    Claim(Failure),
    /// The control process knows no claim group of the region.
    NoGroup,
    /// The control process has no seat in the claim group.
    NotMember,
    /// The control process belongs to this other region, whose claim group does not keep the key.
    Region(region::Name),
    /// The key says that it was issued this many milliseconds in the future.
    Ahead(u64),
    /// The control process has not yet counted its start on its disk.
    Starting,
}

/// The answer.
pub type Reply = Result<Report, Refusal>;
