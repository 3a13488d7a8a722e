//! Determines the outcome of a non-idempotent request from the records of its claim group.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use tokio::time;

use crate::plan::Plan;
use crate::refuse;
use crate::state::State;
use shallotrill_claim::change::Change;
use shallotrill_claim::key::Key;
use shallotrill_claim::proposer::Task;
use shallotrill_claim::record::Report;
use shallotrill_control_client::claim::Refusal as ClaimRefusal;
use shallotrill_control_client::claim::Request;
use shallotrill_model::attempt;
use shallotrill_model::outcome::Answer;
use shallotrill_model::outcome::ExecutionStatus;
use shallotrill_model::outcome::Outcome;
use shallotrill_wire::body;
use shallotrill_wire::body::Body;
use shallotrill_wire::refusal;
use shallotrill_wire::refusal::Code;
use shallotrill_wire::refusal::Refusal;

/// Timeout of one request to the claim group about an outcome.
pub(crate) const RECORD_TIMEOUT: Duration = Duration::from_secs(3);

/// Interval at which the record of a running request is polled; it doubles up to the maximum.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const POLL_INTERVAL_MAX: Duration = Duration::from_millis(500);

/// Sends a task about a key to the claim group of the service.
pub(crate) async fn call_claim_group(
    state: &State,
    plan: &Plan,
    key: &Key,
    task: Task,
    timeout: Duration,
) -> Result<Result<Report, ClaimRefusal>, String> {
    let request = Request {
        region: plan.service.claim_region.clone(),
        key: key.clone(),
        task,
    };
    let reply = state.control.claim(&request, timeout).await;
    reply.map_err(|error| error.to_string())
}

pub(crate) fn required_key(plan: &Plan) -> Result<Key, Refusal> {
    plan.key.clone().ok_or_else(|| {
        let message = "a non-idempotent request reached its target without a key".to_owned();
        Refusal::not_run(Code::KeyMissing, message)
    })
}

pub(crate) fn running_refusal(message: &str) -> Refusal {
    Refusal {
        run: ExecutionStatus::Running,
        ..Refusal::unknown(Code::Running, message.to_owned())
    }
}

/// Result of resolving an attempt that ended without a response.
#[derive(Debug)]
pub(crate) enum Resolution {
    /// The attempt can no longer run; a later attempt may.
    Fenced(attempt::Number),
    /// The request has an outcome or may still get one, so no further attempt is made.
    Decided(Result<Response<Body>, Refusal>),
}

/// Fences an attempt that the target's node did not answer, or waits for its outcome.
pub(crate) async fn fence(state: &State, plan: &Plan, attempt: attempt::Number) -> Resolution {
    let change = Change::Fence {
        digest: plan.content,
        attempt,
    };
    let key = match required_key(plan) {
        Ok(key) => key,
        Err(refusal) => return Resolution::Decided(Err(refusal)),
    };
    match call_claim_group(state, plan, &key, Task::Change(change), RECORD_TIMEOUT).await {
        Ok(Ok(Report::Outcome {
            attempt: fenced,
            outcome: Outcome::NotRun(_),
        })) => Resolution::Fenced(fenced.max(attempt)),
        Ok(Ok(Report::Outcome {
            outcome: Outcome::Running,
            ..
        })) => Resolution::Decided(wait_for_outcome(state, plan).await),
        Ok(Ok(Report::Outcome { outcome, .. })) => Resolution::Decided(outcome_response(&outcome)),
        Ok(Ok(Report::Granted { .. } | Report::Absent)) => Resolution::Decided(Err(
            running_refusal("the attempt was not fenced and may still run"),
        )),
        Ok(Err(refusal)) => {
            let refusal = refuse::claim(&refusal);
            // A request never gets a grant under a key that belongs to a request with another content.
            Resolution::Decided(Err(match refusal.code {
                Code::KeyReused => refusal,
                _ => possibly_run(refusal),
            }))
        }
        Err(message) => Resolution::Decided(Err(possibly_run(refuse::control(message)))),
    }
}

/// Marks a refusal as possibly run: an attempt that was not fenced may still run, even if the claim group refused the fence.
fn possibly_run(refusal: Refusal) -> Refusal {
    Refusal {
        run: ExecutionStatus::Unknown,
        ..refusal
    }
}

/// Verifies that `not-run` holds for the whole request and not only for this attempt.
///
/// A gate that refuses a repeated request does not know the first one, which may have run.
pub(crate) async fn confirm_not_run(
    state: &State,
    plan: &Plan,
    refusal: Refusal,
) -> Result<Response<Body>, Refusal> {
    // `Fenced` and `ClaimFull` come from the claim group itself and need no check. After any other refusal,
    // also when the claim group was unreachable, the claim group is queried: an earlier attempt may have run,
    // and only its record proves that it did not.
    let proven = matches!(refusal.code, Code::Fenced | Code::ClaimFull);
    let Some(key) = &plan.key else {
        return Err(refusal);
    };
    if proven || refusal.code.is_final() || refusal.run != ExecutionStatus::NotRun {
        return Err(refusal);
    }
    let timeout = plan.remaining(state.now()).min(RECORD_TIMEOUT);
    match call_claim_group(state, plan, key, Task::Read, timeout).await {
        Ok(Ok(
            Report::Absent
            | Report::Outcome {
                outcome: Outcome::NotRun(_),
                ..
            },
        )) => Err(refusal),
        Ok(Ok(Report::Outcome {
            outcome: Outcome::Running,
            ..
        })) => wait_for_outcome(state, plan).await,
        Ok(Ok(Report::Outcome { outcome, .. })) => outcome_response(&outcome),
        Ok(Ok(Report::Granted { .. }) | Err(_)) | Err(_) => Err(possibly_run(refusal)),
    }
}

/// Polls until a request that runs under another attempt has an outcome, or the deadline passes.
pub(crate) async fn wait_for_outcome(
    state: &State,
    plan: &Plan,
) -> Result<Response<Body>, Refusal> {
    let key = required_key(plan)?;
    let mut interval = POLL_INTERVAL;
    loop {
        let remaining = plan.remaining(state.now());
        if remaining <= interval {
            return Err(running_refusal(
                "the request is running under an earlier attempt",
            ));
        }
        time::sleep(interval).await;
        interval = (interval * 2).min(POLL_INTERVAL_MAX);
        match call_claim_group(state, plan, &key, Task::Read, remaining.min(RECORD_TIMEOUT)).await {
            Ok(
                Ok(Report::Outcome {
                    outcome: Outcome::Running,
                    ..
                })
                | Err(_),
            )
            | Err(_) => {}
            Ok(Ok(Report::Outcome { outcome, .. })) => return outcome_response(&outcome),
            Ok(Ok(Report::Granted { .. } | Report::Absent)) => {
                return Err(running_refusal(
                    "the request is running under an earlier attempt",
                ));
            }
        }
    }
}

fn outcome_response(outcome: &Outcome) -> Result<Response<Body>, Refusal> {
    match outcome {
        Outcome::Answer(answer) => Ok(stored_response(answer)),
        other => Err(outcome_refusal(other)),
    }
}

pub(crate) fn outcome_refusal(outcome: &Outcome) -> Refusal {
    match outcome {
        Outcome::Running => running_refusal("the request is running"),
        Outcome::NotRun(reason) => {
            Refusal::not_run(Code::Fenced, format!("the request did not run: {reason:?}"))
        }
        Outcome::Unknown => {
            let message = "the request may have run and is not executed again".to_owned();
            Refusal::unknown(Code::OutcomeUnknown, message)
        }
        Outcome::Answer(_) => Refusal {
            run: ExecutionStatus::Ran,
            ..Refusal::unknown(Code::AnswerNotStored, "the request ran".to_owned())
        },
    }
}

/// Builds the response to a request that ran before from its stored answer.
pub(crate) fn stored_response(answer: &Answer) -> Response<Body> {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    let body = answer.body.clone().map(Bytes::from);
    let missing = body.is_none();
    let mut response = Response::new(body::full(body.unwrap_or_default()));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    if let Ok(value) = HeaderValue::from_str(&answer.content_type)
        && !answer.content_type.is_empty()
    {
        headers.insert(header::CONTENT_TYPE, value);
    }
    headers.insert(
        refusal::RUN,
        HeaderValue::from_static(ExecutionStatus::Ran.as_str()),
    );
    if missing {
        // The error header distinguishes a body that was not stored from an empty one.
        let code = HeaderValue::from_static(Code::AnswerNotStored.as_str());
        headers.insert(refusal::ERROR, code);
    }
    response
}
