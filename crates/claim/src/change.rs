//! The changes that can be proposed for a register.

use serde::Deserialize;
use serde::Serialize;

use crate::grant;
use shallotrill_model::attempt;
use shallotrill_model::digest::Digest;
use shallotrill_model::incarnation::Incarnation;
use shallotrill_model::instance;
use shallotrill_model::outcome::Answer;
use shallotrill_model::outcome::Reason;

/// The process that may dispatch an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Holder {
    /// Instance of the target's node.
    pub instance: instance::Name,
    /// Incarnation of the target.
    pub incarnation: Incarnation,
}

/// An operator's decision on an attempt with an unknown outcome.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Decision {
    /// The attempt ran; resent requests get this response.
    Done(Answer),
    /// The attempt did not run; a later attempt may.
    NotRun,
}

/// A change of one register.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Change {
    /// Requests a grant.
    Open {
        /// Digest of the content of the request.
        digest: Digest,
        /// Attempt to be granted.
        attempt: attempt::Number,
        /// Process that will dispatch it.
        holder: Holder,
        /// Identifier of the grant.
        grant: grant::Id,
    },
    /// Records the response.
    Finish {
        /// Attempt that ran.
        attempt: attempt::Number,
        /// Process that dispatched it.
        holder: Holder,
        /// The response.
        answer: Answer,
    },
    /// States that the holder never dispatched the attempt and never will.
    NotRun {
        /// Digest of the content of the request.
        digest: Digest,
        /// Attempt that did not run.
        attempt: attempt::Number,
        /// Process that would have dispatched it.
        holder: Holder,
        /// Grant that was requested for it. Duplicate requests at one node request grants for the same
        /// attempt, and one of them must not give up the grant of another.
        grant: grant::Id,
        /// Why it did not run.
        reason: Reason,
    },
    /// Forbids an attempt and all lower ones, unless the attempt has a grant.
    Fence {
        /// Digest of the content of the request.
        digest: Digest,
        /// Highest attempt that is forbidden.
        attempt: attempt::Number,
    },
    /// States that the grant expired by elapsed time and that its holder does not answer.
    Lapse {
        /// Attempt whose grant expired.
        attempt: attempt::Number,
    },
    /// An operator's decision on an unknown attempt.
    Settle {
        /// Attempt that is decided; a delayed duplicate of the decision must not apply to a later attempt.
        attempt: attempt::Number,
        /// The decision.
        decision: Decision,
    },
}
