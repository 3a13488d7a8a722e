//! Outcomes of non-idempotent requests, and whether a failed request was executed.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::digest::Digest;

/// Whether a request that received an error response was executed by a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ExecutionStatus {
    /// The request provably was not executed and will not be.
    NotRun,
    /// The request may still be executing.
    Running,
    /// It cannot be determined whether the request was executed.
    Unknown,
    /// The request was executed.
    Ran,
}

impl ExecutionStatus {
    /// Value of the `shallotrill-run` header.
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

/// Why an attempt of a non-idempotent request was not executed, or is not granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The target's node refused it before dispatch.
    Refused,
    /// Its grant expired before dispatch.
    Expired,
    /// Its attempt was fenced before a grant was issued.
    Fenced,
    /// The idempotency key is older than the retention period, so no further attempt is granted; an attempt made
    /// before the key expired may have run.
    KeyExpired,
    /// The idempotency key was already used with different content.
    KeyReused,
    /// No quorum of the claim group was reachable.
    NoQuorum,
    /// The claim group has no capacity for new records.
    Full,
}

/// The stored response to a non-idempotent request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `Content-Type` header, or empty if the response had none.
    pub content_type: String,
    /// The body, or `None` if it exceeded the size limit for stored bodies.
    pub body: Option<Vec<u8>>,
    /// Digest of the body.
    pub digest: Digest,
}

/// The recorded outcome of a non-idempotent request; one of exactly four.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The request was executed and returned this response.
    Answer(Answer),
    /// An attempt has a grant and may still complete.
    Running,
    /// The request was not executed, and no delayed duplicate of its attempts can be.
    NotRun(Reason),
    /// The request may have been executed; it is never retried unless an operator resolves it (`settle`).
    Unknown,
}
