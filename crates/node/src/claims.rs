//! Grants and records of non-idempotent requests.
//!
//! The node at the target asks for a grant after it has a slot and looks again
//! immediately before dispatch whether the grant is current. The answer is
//! recorded before it is given to the caller. The work goes on in a task of its
//! own, because a caller that disconnects must not leave a request without a
//! recorded outcome.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use log::warn;
use tokio::time;

use crate::gate;
use crate::gate::Attempt;
use crate::gate::Sent;
use crate::plan::Plan;
use crate::refuse;
use crate::slot::Slot;
use crate::state::State;
use shallotrill_backend::failure::Failure;
use shallotrill_backend::head::Head;
use shallotrill_claim::change::Change;
use shallotrill_claim::change::Holder;
use shallotrill_claim::grant::Grant;
use shallotrill_claim::grant::Id;
use shallotrill_claim::grant::VALIDITY;
use shallotrill_claim::key::Key;
use shallotrill_claim::proposer;
use shallotrill_claim::proposer::Task;
use shallotrill_claim::record;
use shallotrill_claim::record::Report;
use shallotrill_control_client::claim::Ask;
use shallotrill_control_client::claim::Refusal as ClaimRefusal;
use shallotrill_model::attempt;
use shallotrill_model::digest::Digest;
use shallotrill_model::outcome::Answer;
use shallotrill_model::outcome::Outcome;
use shallotrill_model::outcome::Reason;
use shallotrill_model::outcome::Run;
use shallotrill_wire::body;
use shallotrill_wire::body::Body;
use shallotrill_wire::body::Prefix;
use shallotrill_wire::refusal;
use shallotrill_wire::refusal::Code;
use shallotrill_wire::refusal::Refusal;

/// Longest answer that is stored, in bytes; of longer ones only the status is kept.
const STORED_MAX_BYTES: usize = 64 * 1024;

/// Time beyond the caller's deadline for which the node waits for the answer.
///
/// The caller is told that the request is running; an answer that comes a
/// little later is recorded, which is better for the next retry than an
/// outcome that nobody knows.
const ANSWER_GRACE: Duration = Duration::from_secs(10);

/// Longest time to record an outcome.
const RECORD_LIMIT: Duration = Duration::from_secs(3);

/// Pause between two looks at a running request; it doubles up to the second value.
const LOOK_PAUSE: Duration = Duration::from_millis(20);
const LOOK_PAUSE_MAX: Duration = Duration::from_millis(500);

/// Runs a non-idempotent attempt that has a slot.
///
/// # Errors
///
/// Returns a [`Refusal`] that says whether the request can have run.
pub(crate) async fn run(
    state: &Arc<State>,
    plan: &Arc<Plan>,
    slot: Slot,
    attempt: Attempt,
) -> Result<Response<Body>, Refusal> {
    let work = Work {
        state: Arc::clone(state),
        plan: Arc::clone(plan),
        attempt,
        key: key(plan)?,
        holder: Holder {
            instance: state.identity.instance.clone(),
            incarnation: attempt.incarnation,
        },
    };
    let running = state.tasks.spawn(async move { work.execute(slot).await });
    match time::timeout(plan.left(state.now()), running).await {
        Ok(Ok(result)) => result,
        Ok(Err(error)) => Err(Refusal::unknown(Code::Internal, error.to_string())),
        Err(_) => Err(running_refusal(
            "the deadline passed while the request runs",
        )),
    }
}

fn key(plan: &Plan) -> Result<Key, Refusal> {
    plan.key.clone().ok_or_else(|| {
        let message = "a non-idempotent request reached its target without a key".to_owned();
        Refusal::not_run(Code::KeyMissing, message)
    })
}

fn running_refusal(message: &str) -> Refusal {
    Refusal {
        run: Run::Running,
        ..Refusal::unknown(Code::Running, message.to_owned())
    }
}

struct Work {
    state: Arc<State>,
    plan: Arc<Plan>,
    attempt: Attempt,
    key: Key,
    holder: Holder,
}

impl Work {
    async fn execute(self, slot: Slot) -> Result<Response<Body>, Refusal> {
        let grant = match self.open().await? {
            Opened::Granted(grant) => grant,
            Opened::Answered(answer) => return Ok(stored(&answer)),
        };
        // The last moment before dispatch: a node that was frozen since it asked finds the grant expired.
        if !grant.is_current(self.state.now()) {
            self.record_not_run(Reason::Expired).await;
            let message = "the grant expired before dispatch".to_owned();
            let refusal = Refusal::not_run(Code::Fenced, message);
            return Err(refusal.fenced(self.attempt.number));
        }
        let mut sent = Sent::new(slot, self.attempt.incarnation);
        let limit = self.plan.left(self.state.now()) + ANSWER_GRACE;
        match gate::dispatch(&self.state, &self.plan, &mut sent, self.attempt, limit).await {
            Ok(head) if head.states_not_run() => self.shed(sent, head).await,
            Ok(head) => self.finish(sent, head).await,
            Err(failure) => Err(self.failed(&failure).await),
        }
    }

    async fn open(&self) -> Result<Opened, Refusal> {
        let id = Id(rand::random());
        let asked = self.state.now();
        let open = Change::Open {
            digest: self.plan.content,
            attempt: self.attempt.number,
            holder: self.holder.clone(),
            grant: id,
        };
        let limit = self.plan.left(asked).min(VALIDITY);
        let reply = self.change(open, limit).await;
        self.state.metrics.claimed(matches!(&reply, Ok(Ok(_))));
        match reply {
            Ok(Ok(Report::Granted { attempt, grant })) if grant == id => {
                Ok(Opened::Granted(Grant { id, attempt, asked }))
            }
            Ok(Ok(Report::Outcome { outcome, .. })) => Err(outcome_refusal(&outcome)),
            Ok(Ok(_)) => Err(running_refusal("another attempt holds the grant")),
            Ok(Err(ClaimRefusal::Claim(proposer::Failure::Refused(record::Refusal::Done(
                answer,
            ))))) => Ok(Opened::Answered(answer)),
            Ok(Err(refusal)) => Err(refuse::claim(&refusal)),
            Err(error) => Err(refuse::control(error)),
        }
    }

    /// The backend server states that it did not run the request.
    async fn shed(self, sent: Sent, head: Head) -> Result<Response<Body>, Refusal> {
        drop(sent.answer(&self.state, head));
        let recorded = self.record_not_run(Reason::Refused).await;
        let message = "the backend server refused the request".to_owned();
        let refusal = Refusal::not_run(Code::Overloaded, message);
        Err(if recorded {
            refusal.fenced(self.attempt.number)
        } else {
            refusal
        })
    }

    async fn finish(self, sent: Sent, head: Head) -> Result<Response<Body>, Refusal> {
        let response = sent.answer(&self.state, head);
        let (parts, body) = response.into_parts();
        let body = match body::prefix(body, STORED_MAX_BYTES).await {
            Ok(body) => body,
            Err(error) => {
                self.record_unknown().await;
                return Err(Refusal::unknown(Code::AnswerInvalid, error.to_string()));
            }
        };
        let content_type = parts.headers.get(header::CONTENT_TYPE);
        let content_type = content_type.and_then(|value| value.to_str().ok());
        let (kept, digest) = match &body {
            Prefix::Whole(bytes) => (Some(bytes.to_vec()), *blake3::hash(bytes).as_bytes()),
            Prefix::Longer(_) => (None, [0; 32]),
        };
        let answer = Answer {
            status: parts.status.as_u16(),
            content_type: content_type.unwrap_or_default().to_owned(),
            body: kept,
            digest: Digest(digest),
        };
        let finish = Change::Finish {
            attempt: self.attempt.number,
            holder: self.holder.clone(),
            answer,
        };
        if !self.record(finish).await {
            // The caller still gets the answer, which is true. A retry is told that the request may have run.
            warn!(event = "answer-not-recorded", request = self.plan.request.to_string().as_str(); "no quorum recorded the answer");
        }
        let body = match body {
            Prefix::Whole(bytes) => body::full(bytes),
            Prefix::Longer(rest) => rest,
        };
        Ok(Response::from_parts(parts, body))
    }

    async fn failed(&self, failure: &Failure) -> Refusal {
        let refusal = refuse::backend(failure);
        if failure.is_not_sent() {
            if self.record_not_run(Reason::Refused).await {
                return refusal.fenced(self.attempt.number);
            }
            return refusal;
        }
        self.record_unknown().await;
        refusal
    }

    async fn record_not_run(&self, reason: Reason) -> bool {
        self.record(Change::NotRun {
            digest: self.plan.content,
            attempt: self.attempt.number,
            holder: self.holder.clone(),
            reason,
        })
        .await
    }

    async fn record_unknown(&self) {
        let attempt = self.attempt.number;
        self.record(Change::Lapse { attempt }).await;
    }

    async fn record(&self, change: Change) -> bool {
        matches!(self.change(change, RECORD_LIMIT).await, Ok(Ok(_)))
    }

    async fn change(
        &self,
        change: Change,
        limit: Duration,
    ) -> Result<Result<Report, ClaimRefusal>, String> {
        ask(
            &self.state,
            &self.plan,
            &self.key,
            Task::Change(change),
            limit,
        )
        .await
    }
}

enum Opened {
    Granted(Grant),
    /// The request ran before; this was its answer.
    Answered(Answer),
}

async fn ask(
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

/// What an entry node found out about an attempt that it lost sight of.
#[derive(Debug)]
pub(crate) enum Fate {
    /// The attempt never runs; a later one may.
    Fenced(attempt::Number),
    /// The request has an outcome.
    Settled(Result<Response<Body>, Refusal>),
}

/// Fences an attempt of which the target's node gave no answer, or waits for its outcome.
pub(crate) async fn fence(state: &State, plan: &Plan, attempt: attempt::Number) -> Fate {
    let change = Change::Fence {
        digest: plan.content,
        attempt,
    };
    let key = match key(plan) {
        Ok(key) => key,
        Err(refusal) => return Fate::Settled(Err(refusal)),
    };
    match ask(state, plan, &key, Task::Change(change), RECORD_LIMIT).await {
        Ok(Ok(Report::Outcome {
            outcome: Outcome::NotRun(_),
            ..
        })) => Fate::Fenced(attempt),
        Ok(Ok(Report::Outcome {
            outcome: Outcome::Running,
            ..
        })) => Fate::Settled(follow(state, plan).await),
        Ok(Ok(Report::Outcome { outcome, .. })) => Fate::Settled(settled(&outcome)),
        Ok(Ok(Report::Granted { .. } | Report::Absent)) => {
            Fate::Settled(Err(running_refusal("the attempt may still run")))
        }
        Ok(Err(refusal)) => Fate::Settled(Err(maybe_ran(refuse::claim(&refusal)))),
        Err(message) => Fate::Settled(Err(maybe_ran(refuse::control(message)))),
    }
}

/// Without a fence the attempt may run, whatever the claim group's refusal says of itself.
fn maybe_ran(refusal: Refusal) -> Refusal {
    Refusal {
        run: Run::Unknown,
        ..refusal
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
        match ask(state, plan, &key, Task::Look, left.min(RECORD_LIMIT)).await {
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

fn outcome_refusal(outcome: &Outcome) -> Refusal {
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
            run: Run::Ran,
            ..Refusal::unknown(Code::AnswerNotStored, "the request ran".to_owned())
        },
    }
}

/// The answer to a request that ran before, as it was stored.
fn stored(answer: &Answer) -> Response<Body> {
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
    headers.insert(refusal::RUN, HeaderValue::from_static(Run::Ran.as_str()));
    if missing {
        // The body is absent, which a reader must be able to tell from an empty one.
        let code = HeaderValue::from_static(Code::AnswerNotStored.as_str());
        headers.insert(refusal::ERROR, code);
    }
    response
}
