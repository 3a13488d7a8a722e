//! Pages of claim registers for a member that copies after the loss of a disk.

use serde::Deserialize;
use serde::Serialize;

use shallotrill_claim::acceptor::Page;
use shallotrill_claim::epoch::Number;
use shallotrill_claim::key::Key;
use shallotrill_claim::message::Refusal;

/// Name of the method.
pub const METHOD: &str = "claim_copy";

/// Asks for the registers after a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// Epoch of the group.
    pub epoch: Number,
    /// Last key of the page before.
    pub after: Option<Key>,
}

/// A page or the reason for none.
pub type Reply = Result<Page, Refusal>;
