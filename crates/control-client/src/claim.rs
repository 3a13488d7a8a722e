//! Messages of the method that sends a claim task to the claim group of a region.

use serde::Deserialize;
use serde::Serialize;

use shallotrill_claim::key::Key;
use shallotrill_claim::proposer::Failure;
use shallotrill_claim::proposer::Task;
use shallotrill_claim::record::Report;
use shallotrill_model::region;

/// Name of the method.
pub const METHOD: &str = "claim_ask";

/// A task about one key. It can be repeated, since changes are idempotent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Region whose claim group keeps the key.
    pub region: region::Name,
    /// Key of the claim.
    pub key: Key,
    /// Task for the claim group.
    pub task: Task,
}

/// Why a task was not decided.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// The register refused the task, or no quorum was reached.
    Claim(Failure),
    /// The control process knows no claim group of the region.
    NoGroup,
    /// The control process has no seat in the claim group.
    NotMember,
    /// The control process belongs to this other region, whose claim group does not keep the key.
    Region(region::Name),
    /// The key states an issue time this many milliseconds in the future.
    Ahead(u64),
    /// The control process has not yet stored its start number on its disk.
    Starting,
}

/// The claim group's report, or why it made no decision.
pub type Reply = Result<Report, Refusal>;
