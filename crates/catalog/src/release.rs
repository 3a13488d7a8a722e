//! Releases of quarantined requests.

use serde::Deserialize;
use serde::Serialize;

use shallotrill_model::digest::Digest;
use shallotrill_model::revision::Revision;
use shallotrill_model::service;

/// Most releases that are kept. A quarantine ends by itself, so older releases have no effect.
pub const RETAINED: usize = 1_000;

/// An operator's release of a quarantined request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Release {
    /// Service that the request was for.
    pub service: service::Name,
    /// Digest of the request.
    pub digest: Digest,
    /// Revision of the release; a later quarantine of the same request needs a later release.
    pub revision: Revision,
}
