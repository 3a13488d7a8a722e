//! Messages of the method that sends messages of the replicated log. They may be lost, duplicated and reordered.

use serde::Deserialize;
use serde::Serialize;

use shallotrill_consensus::message::Message;

/// Name of the method.
pub const METHOD: &str = "log_step";

/// A batch of messages in the order of sending.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Log messages of the batch.
    pub messages: Vec<Message>,
}
