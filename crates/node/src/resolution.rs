//! What became of a non-idempotent request, from the records of its claim group.

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
use shallotrill_control_client::claim::Ask;
use shallotrill_control_client::claim::Refusal as ClaimRefusal;
use shallotrill_model::attempt;
use shallotrill_model::outcome::Answer;
use shallotrill_model::outcome::ExecutionStatus;
use shallotrill_model::outcome::Outcome;
use shallotrill_wire::body;
use shallotrill_wire::body::Body;
use shallotrill_wire::refusal;
use shallotrill_wire::refusal::Code;
use shallotrill_wire::refusal::Refusal;

/// Longest time to record an outcome.
pub(crate) const RECORD_LIMIT: Duration = Duration::from_secs(3);

/// Pause between two looks at a running request; it doubles up to the second value.
const LOOK_PAUSE: Duration = Duration::from_millis(20);
const LOOK_PAUSE_MAX: Duration = Duration::from_millis(500);

/// Asks the claim group of the service about a key.
pub(crate) async fn ask(
    state: &State,
    plan: &Plan,
    key: &Key,
    task: Task,
    limit: Duration,
) -> Result<Result<Report, ClaimRefusal>, String> {
    let ask = Ask {
        region: plan.service.claim_region.clone(),
        key: key.clone(),
        task,
    };
    let reply = state.control.claim(&ask, limit).await;
    reply.map_err(|error| error.to_string())
}

pub(crate) fn key(plan: &Plan) -> Result<Key, Refusal> {
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

/// What an entry node found out about an attempt that it lost sight of.
#[derive(Debug)]
pub(crate) enum Resolution {
    /// The attempt never runs; a later one may.
    Fenced(attempt::Number),
    /// The request has an outcome.
    Settled(Result<Response<Body>, Refusal>),
}

/// Fences an attempt of which the target's node gave no answer, or waits for its outcome.
pub(crate) async fn fence(state: &State, plan: &Plan, attempt: attempt::Number) -> Resolution {
    let change = Change::Fence {
        digest: plan.content,
        attempt,
    };
    let key = match key(plan) {
        Ok(key) => key,
        Err(refusal) => return Resolution::Settled(Err(refusal)),
    };
    match ask(state, plan, &key, Task::Change(change), RECORD_LIMIT).await {
        Ok(Ok(Report::Outcome {
            attempt: fenced,
            outcome: Outcome::NotRun(_),
        })) => Resolution::Fenced(fenced.max(attempt)),
        Ok(Ok(Report::Outcome {
            outcome: Outcome::Running,
            ..
        })) => Resolution::Settled(follow(state, plan).await),
        Ok(Ok(Report::Outcome { outcome, .. })) => Resolution::Settled(settled(&outcome)),
        Ok(Ok(Report::Granted { .. } | Report::Absent)) => {
            Resolution::Settled(Err(running_refusal("the attempt may still run")))
        }
        Ok(Err(refusal)) => {
            let refusal = refuse::claim(&refusal);
            // This content never gets a grant under a key that belongs to another content.
            Resolution::Settled(Err(match refusal.code {
                Code::KeyReused => refusal,
                _ => maybe_ran(refusal),
            }))
        }
        Err(message) => Resolution::Settled(Err(maybe_ran(refuse::control(message)))),
    }
}

/// Without a fence the attempt may run, whatever the claim group's refusal says of itself.
fn maybe_ran(refusal: Refusal) -> Refusal {
    Refusal {
        run: ExecutionStatus::Unknown,
        ..refusal
    }
}

/// Looks whether "not run" holds for the request, and not only for this sending of it.
///
/// A gate that refuses a resent request knows nothing of the first one, which may have run.
pub(crate) async fn confirm(
    state: &State,
    plan: &Plan,
    refusal: Refusal,
) -> Result<Response<Body>, Refusal> {
    // The claim group has proved these. Where it was not reachable it is asked once more: an earlier
    // sending of the request may have run, and only its record can say that it did not.
    let asked = matches!(refusal.code, Code::Fenced | Code::ClaimFull);
    let Some(key) = &plan.key else {
        return Err(refusal);
    };
    if asked || refusal.code.is_final() || refusal.run != ExecutionStatus::NotRun {
        return Err(refusal);
    }
    let limit = plan.left(state.now()).min(RECORD_LIMIT);
    match ask(state, plan, key, Task::Read, limit).await {
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
        })) => follow(state, plan).await,
        Ok(Ok(Report::Outcome { outcome, .. })) => settled(&outcome),
        Ok(Ok(Report::Granted { .. }) | Err(_)) | Err(_) => Err(maybe_ran(refusal)),
    }
}

/// Waits until a request that runs elsewhere has an outcome, or the deadline passes.
pub(crate) async fn follow(state: &State, plan: &Plan) -> Result<Response<Body>, Refusal> {
    let key = key(plan)?;
    let mut pause = LOOK_PAUSE;
    loop {
        let left = plan.left(state.now());
        if left <= pause {
            return Err(running_refusal(
                "the request is running under an earlier attempt",
            ));
        }
        time::sleep(pause).await;
        pause = (pause * 2).min(LOOK_PAUSE_MAX);
        match ask(state, plan, &key, Task::Read, left.min(RECORD_LIMIT)).await {
            Ok(
                Ok(Report::Outcome {
                    outcome: Outcome::Running,
                    ..
                })
                | Err(_),
            )
            | Err(_) => {}
            Ok(Ok(Report::Outcome { outcome, .. })) => return settled(&outcome),
            Ok(Ok(Report::Granted { .. } | Report::Absent)) => {
                return Err(running_refusal(
                    "the request is running under an earlier attempt",
                ));
            }
        }
    }
}

fn settled(outcome: &Outcome) -> Result<Response<Body>, Refusal> {
    match outcome {
        Outcome::Answer(answer) => Ok(stored(answer)),
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
            let message = "the request may have run and is not run again".to_owned();
            Refusal::unknown(Code::OutcomeUnknown, message)
        }
        Outcome::Answer(_) => Refusal {
            run: ExecutionStatus::Ran,
            ..Refusal::unknown(Code::AnswerNotStored, "the request ran".to_owned())
        },
    }
}

/// The answer to a request that ran before, as it was stored.
pub(crate) fn stored(answer: &Answer) -> Response<Body> {
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
        // The body is absent, which a reader must be able to tell from an empty one.
        let code = HeaderValue::from_static(Code::AnswerNotStored.as_str());
        headers.insert(refusal::ERROR, code);
    }
    response
}
