//! Messages of the method that reads claim registers in pages, for a member that copies them after the loss of its disk.

use serde::Deserialize;
use serde::Serialize;

use shallotrill_claim::acceptor::Page;
use shallotrill_claim::epoch::Number;
use shallotrill_claim::key::Key;
use shallotrill_claim::message::Refusal;

/// Name of the method.
pub const METHOD: &str = "claim_copy";

/// Requests the page of registers after a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Epoch of the claim group.
    pub epoch: Number,
    /// Last key of the previous page; `None` requests the first page.
    pub after: Option<Key>,
}

/// A page, or why it was refused.
pub type Reply = Result<Page, Refusal>;
