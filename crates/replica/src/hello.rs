//! Who another control process is, and whether it already belongs to a group.

use serde::Deserialize;
use serde::Serialize;

use shallotrill_consensus::member::Peer;
use shallotrill_consensus::member::Set;
use shallotrill_model::instance;
use shallotrill_model::region;
use shallotrill_model::zone;

/// Name of the method.
pub const METHOD: &str = "member_hello";

/// The question.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// Who asks.
    pub own: Peer,
}

/// The answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// Who answers.
    pub own: Peer,
    /// Its instance.
    pub instance: instance::Name,
    /// Its availability zone.
    pub zone: zone::Name,
    /// Its region.
    pub region: region::Name,
    /// The members of the group that it belongs to, if it has joined one on this disk.
    pub formed: Option<Set>,
}
