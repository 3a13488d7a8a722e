//! Messages of the method that identifies another control process and the group that it belongs to.

use serde::Deserialize;
use serde::Serialize;

use shallotrill_consensus::member::Peer;
use shallotrill_consensus::member::Set;
use shallotrill_model::instance;
use shallotrill_model::region;
use shallotrill_model::zone;

/// Name of the method.
pub const METHOD: &str = "member_hello";

/// Identification of the sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// The sender as a peer.
    pub own: Peer,
}

/// Identification of the receiver.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// The receiver as a peer.
    pub own: Peer,
    /// Instance of the receiver.
    pub instance: instance::Name,
    /// Availability zone of the receiver.
    pub zone: zone::Name,
    /// Region of the receiver.
    pub region: region::Name,
    /// Members of the receiver's group: the current ones, or the stored initial ones before its replica
    /// is started. Empty if the process joins an existing group without a vote; `None` if its disk
    /// belongs to no group.
    pub formed: Option<Set>,
}
