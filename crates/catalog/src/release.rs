//! Releases of requests from quarantine by operators.

use serde::Deserialize;
use serde::Serialize;

use shallotrill_model::digest::Digest;
use shallotrill_model::revision::Revision;
use shallotrill_model::service;

/// Maximum number of releases that are retained. A quarantine expires, so older releases have no effect.
pub const RELEASES_MAX: usize = 1_000;

/// An operator's release of a quarantined request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Release {
    /// Service that the request was sent to.
    pub service: service::Name,
    /// Digest of the request.
    pub digest: Digest,
    /// Revision of the release. It ends only earlier quarantines of the request; a later one needs another release.
    pub revision: Revision,
}
