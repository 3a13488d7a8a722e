//! Messages to the acceptor of claims at another member.

use serde::Deserialize;
use serde::Serialize;

use shallotrill_claim::message::Message;
use shallotrill_claim::message::Reply;

/// Name of the method.
pub const METHOD: &str = "claim_step";

/// Messages about any keys, answered together after one sync.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// The messages.
    pub messages: Vec<Message>,
}

/// One reply for each message, or nothing where none may be given.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The replies in the order of the messages.
    pub replies: Vec<Option<Reply>>,
}
