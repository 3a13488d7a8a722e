//! Messages of the method that sends claim messages to the acceptor of another member.

use serde::Deserialize;
use serde::Serialize;

use shallotrill_claim::message::Message;
use shallotrill_claim::message::Reply;

/// Name of the method.
pub const METHOD: &str = "claim_step";

/// A batch of messages about any keys, answered together after one disk sync.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Claim messages of the batch.
    pub messages: Vec<Message>,
}

/// Response to a batch: one reply for each message, or `None` where the acceptor must not reply.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Response {
    /// Replies in the order of the messages.
    pub replies: Vec<Option<Reply>>,
}
