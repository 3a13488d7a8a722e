//! Outcomes of a non-idempotent request, and whether a failed request ran.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::digest::Digest;

/// Whether a request that was answered with an error ran at a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ExecutionStatus {
    /// It is proven that it did not run and will not run.
    NotRun,
    /// It may still be running.
    Running,
    /// Nobody can say whether it ran.
    Unknown,
    /// It ran.
    Ran,
}

impl ExecutionStatus {
    /// The value of the `shallotrill-run` header.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Running => "running",
            Self::Unknown => "unknown",
            Self::Ran => "ran",
        }
    }
}

impl fmt::Display for ExecutionStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Why a non-idempotent request is proven not to have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The target's node refused it before dispatch.
    Refused,
    /// Its grant expired before dispatch.
    Expired,
    /// Its attempt was fenced before it was granted.
    Fenced,
    /// The idempotency key is older than the retention.
    KeyExpired,
    /// The idempotency key was used with another content.
    KeyReused,
    /// No quorum of the claim group was reachable.
    NoQuorum,
    /// The claim group has no space for new records.
    Full,
}

/// A stored answer to a non-idempotent request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Value of the content type, empty when there was none.
    pub content_type: String,
    /// The body, or nothing when it was longer than what is stored.
    pub body: Option<Vec<u8>>,
    /// Digest of the body.
    pub digest: Digest,
}

/// What is known of a non-idempotent request. There are only these four.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// It ran, and this was the answer.
    Answer(Answer),
    /// An attempt holds a grant and may still finish.
    Running,
    /// It did not run, and no delayed copy of its attempts can run.
    NotRun(Reason),
    /// It may have run; it is never run again unless an operator settles it.
    Unknown,
}
