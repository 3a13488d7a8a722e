//! Converts refusals and failures of other packages to refusals for callers.

use std::time::Duration;

use shallotrill_backend::failure::Failure as BackendFailure;
use shallotrill_claim::proposer;
use shallotrill_claim::record;
use shallotrill_control_client::claim;
use shallotrill_limits::ticket;
use shallotrill_model::outcome::ExecutionStatus;
use shallotrill_peer::failure::Failure as PeerFailure;
use shallotrill_routing::choice;
use shallotrill_wire::refusal::Code;
use shallotrill_wire::refusal::Refusal;

/// Time after which a caller may retry a service whose targets are overloaded or missing.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Converts a refusal of the gate: proven not run.
pub(crate) fn gate(refusal: ticket::Refusal) -> Refusal {
    let code = match refusal {
        ticket::Refusal::Full { .. } | ticket::Refusal::Displaced => Code::Overloaded,
        ticket::Refusal::TooLate { .. } => Code::TooLate,
        ticket::Refusal::Draining => Code::Draining,
        ticket::Refusal::Cancelled | ticket::Refusal::Duplicate => Code::Internal,
    };
    Refusal::not_run(code, refusal.to_string()).retry_after(RETRY_AFTER)
}

/// Converts a refusal of routing to choose a target: proven not run.
pub(crate) fn choice(refusal: &choice::Refusal) -> Refusal {
    Refusal::not_run(Code::NoTarget, refusal.to_string()).retry_after(RETRY_AFTER)
}

/// Converts a request to the target's node that got no response.
pub(crate) fn peer(failure: &PeerFailure) -> Refusal {
    let message = failure.to_string();
    match failure {
        PeerFailure::Connect { .. } | PeerFailure::NotSent { .. } => {
            Refusal::not_run(Code::ConnectFailed, message)
        }
        PeerFailure::Lost { .. } => Refusal::unknown(Code::ConnectionLost, message),
        PeerFailure::InvalidStatus { .. } => Refusal::unknown(Code::AnswerInvalid, message),
        PeerFailure::Timeout { .. } => Refusal::unknown(Code::DeadlineExceeded, message),
    }
}

/// Converts a request to the backend server that got no complete response.
pub(crate) fn backend(failure: &BackendFailure) -> Refusal {
    let message = failure.to_string();
    let code = match failure {
        BackendFailure::Absent => Code::WrongTarget,
        BackendFailure::Exhausted { .. } => Code::Overloaded,
        BackendFailure::Connect(_) | BackendFailure::NotSent => Code::ConnectFailed,
        BackendFailure::PermissionExpired => Code::Fenced,
        BackendFailure::Lost(_) | BackendFailure::Silent(_) => Code::ConnectionLost,
        BackendFailure::Timeout(_) => Code::DeadlineExceeded,
        BackendFailure::Unframed
        | BackendFailure::MismatchedResponse
        | BackendFailure::ProtocolSwitched
        | BackendFailure::InvalidStatus(_) => Code::AnswerInvalid,
    };
    if failure.is_not_sent() {
        Refusal::not_run(code, message)
    } else {
        Refusal::unknown(code, message)
    }
}

/// Converts a claim that was not granted.
///
/// Only the target's node can dispatch this attempt, and it does not without a
/// grant, so each refusal proves that the attempt did not run. Where an earlier
/// attempt caused the refusal, `run` describes that earlier attempt.
pub(crate) fn claim(refusal: &claim::Refusal) -> Refusal {
    let failure = match refusal {
        claim::Refusal::Claim(failure) => failure,
        claim::Refusal::NoGroup
        | claim::Refusal::NotMember
        | claim::Refusal::Region(_)
        | claim::Refusal::Starting => {
            let message =
                "the control process cannot currently serve claims of the service".to_owned();
            return Refusal::not_run(Code::ClaimUnavailable, message).retry_after(RETRY_AFTER);
        }
        claim::Refusal::Ahead(ahead_ms) => {
            let message = format!("the key was issued {ahead_ms} ms in the future");
            return Refusal::not_run(Code::KeyInvalid, message);
        }
    };
    let message = failure.to_string();
    match failure {
        proposer::Failure::Refused(refusal) => record(refusal),
        // The record was removed, so the outcome of attempts before the key expired is unknown.
        proposer::Failure::Expired(_) => Refusal::unknown(Code::KeyExpired, message),
        proposer::Failure::Full => Refusal::not_run(Code::ClaimFull, message),
        proposer::Failure::Conflict { .. }
        | proposer::Failure::Epoch(_)
        | proposer::Failure::NoQuorum { .. } => {
            Refusal::not_run(Code::ClaimUnavailable, message).retry_after(RETRY_AFTER)
        }
    }
}

fn record(refusal: &record::Refusal) -> Refusal {
    let message = refusal.to_string();
    match refusal {
        record::Refusal::KeyReused(_) => Refusal::not_run(Code::KeyReused, message),
        record::Refusal::Fenced(attempt) => {
            Refusal::not_run(Code::Fenced, message).fenced(*attempt)
        }
        record::Refusal::Open { .. } => Refusal {
            run: ExecutionStatus::Running,
            ..Refusal::unknown(Code::Running, message)
        },
        record::Refusal::Done(_) => Refusal {
            run: ExecutionStatus::Ran,
            ..Refusal::unknown(Code::Internal, message)
        },
        record::Refusal::Unknown(_) => Refusal::unknown(Code::OutcomeUnknown, message),
        record::Refusal::NoGrant | record::Refusal::Attempt(_) => {
            Refusal::not_run(Code::Internal, message)
        }
    }
}

/// Converts a claim that no control process answered.
pub(crate) fn control(message: String) -> Refusal {
    Refusal::not_run(Code::ClaimUnavailable, message).retry_after(RETRY_AFTER)
}
