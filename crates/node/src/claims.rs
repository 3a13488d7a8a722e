//! Grants and records of non-idempotent requests.
//!
//! The node at the target asks for a grant after it has a slot and looks again
//! immediately before dispatch whether the grant is current. The answer is
//! recorded before it is given to the caller. The work goes on in a task of its
//! own, because a caller that disconnects must not leave a request without a
//! recorded outcome.

use std::sync::Arc;
use std::time::Duration;

use http::Response;
use http::header;
use log::warn;
use tokio::time;

use crate::gate;
use crate::gate::Attempt;
use crate::gate::Sent;
use crate::plan::Plan;
use crate::refuse;
use crate::resolution::RECORD_LIMIT;
use crate::resolution::ask;
use crate::resolution::key;
use crate::resolution::outcome_refusal;
use crate::resolution::running_refusal;
use crate::resolution::stored;
use crate::slot::Slot;
use crate::state::State;
use shallotrill_backend::failure::Failure;
use shallotrill_backend::head::Head;
use shallotrill_claim::change::Change;
use shallotrill_claim::change::Holder;
use shallotrill_claim::grant::Grant;
use shallotrill_claim::grant::Id;
use shallotrill_claim::grant::VALIDITY_PERIOD;
use shallotrill_claim::key::Key;
use shallotrill_claim::proposer;
use shallotrill_claim::proposer::Task;
use shallotrill_claim::record;
use shallotrill_claim::record::Report;
use shallotrill_control_client::claim::Refusal as ClaimRefusal;
use shallotrill_model::digest::Digest;
use shallotrill_model::outcome::Answer;
use shallotrill_model::outcome::Reason;
use shallotrill_wire::body;
use shallotrill_wire::body::Body;
use shallotrill_wire::body::Prefix;
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

/// Time before the deadline at which the node gives up waiting for a grant.
///
/// Its refusal then reaches the entry node as a proven not run. At the deadline itself the entry
/// node counted the wait as a failure of the target.
const REFUSAL_MARGIN: Duration = Duration::from_millis(100);

/// How long the node goes on recording an outcome that no quorum took at first.
const LATER_LIMIT: Duration = Duration::from_mins(5);

/// Pause before it is recorded again; it doubles up to the second value.
const LATER_PAUSE: Duration = Duration::from_millis(500);
const LATER_PAUSE_MAX: Duration = Duration::from_secs(10);

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
        grant: Id(rand::random()),
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

struct Work {
    state: Arc<State>,
    plan: Arc<Plan>,
    attempt: Attempt,
    /// Identifier of the grant that this work asks for; other copies of the request have others.
    grant: Id,
    key: Key,
    holder: Holder,
}

impl Work {
    async fn execute(self, slot: Slot) -> Result<Response<Body>, Refusal> {
        let grant = match self.open().await? {
            Opened::Granted(grant) => grant,
            Opened::Answered(answer) => return Ok(stored(&answer)),
        };
        // Asked when a connection is ready and nothing is left to wait for before the request is
        // sent: a node that was frozen since it asked finds the grant expired.
        let is_current = || grant.is_current(self.state.now());
        let mut sent = Sent::new(slot, self.attempt.incarnation);
        let limit = self.plan.left(self.state.now()) + ANSWER_GRACE;
        let dispatched = gate::dispatch(
            &self.state,
            &self.plan,
            &mut sent,
            self.attempt,
            limit,
            &is_current,
        );
        match dispatched.await {
            Ok(head) if head.states_not_run() => self.shed(sent, head).await,
            Ok(head) => self.finish(sent, head).await,
            Err(failure) => Err(self.failed(&failure).await),
        }
    }

    async fn open(&self) -> Result<Opened, Refusal> {
        let id = self.grant;
        let requested_at = self.state.now();
        let open = Change::Open {
            digest: self.plan.content,
            attempt: self.attempt.number,
            holder: self.holder.clone(),
            grant: id,
        };
        let left = self.plan.left(requested_at);
        let limit = left.saturating_sub(REFUSAL_MARGIN).min(VALIDITY_PERIOD);
        let reply = self.change(open, limit).await;
        self.state.metrics.claimed(matches!(&reply, Ok(Ok(_))));
        if !is_decided(&reply) {
            // The grant may still be decided. It is never used, and only this node can prove that.
            self.record_later(self.not_run(Reason::Expired));
        }
        match reply {
            Ok(Ok(Report::Granted { attempt, grant })) if grant == id => {
                Ok(Opened::Granted(Grant {
                    id,
                    attempt,
                    requested_at,
                }))
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
            Prefix::Complete(bytes) => (Some(bytes.to_vec()), *blake3::hash(bytes).as_bytes()),
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
            Prefix::Complete(bytes) => body::full(bytes),
            Prefix::Longer(rest) => rest,
        };
        Ok(Response::from_parts(parts, body))
    }

    async fn failed(&self, failure: &Failure) -> Refusal {
        let refusal = refuse::backend(failure);
        if failure.is_not_sent() {
            let reason = match failure {
                Failure::PermissionExpired => Reason::Expired,
                _ => Reason::Refused,
            };
            if self.record_not_run(reason).await {
                return refusal.fenced(self.attempt.number);
            }
            return refusal;
        }
        self.record_unknown().await;
        refusal
    }

    async fn record_not_run(&self, reason: Reason) -> bool {
        self.record(self.not_run(reason)).await
    }

    fn not_run(&self, reason: Reason) -> Change {
        Change::NotRun {
            digest: self.plan.content,
            attempt: self.attempt.number,
            holder: self.holder.clone(),
            grant: self.grant,
            reason,
        }
    }

    async fn record_unknown(&self) {
        let attempt = self.attempt.number;
        self.record(Change::Lapse { attempt }).await;
    }

    async fn record(&self, change: Change) -> bool {
        let reply = self.change(change.clone(), RECORD_LIMIT).await;
        if !is_decided(&reply) {
            self.record_later(change);
        }
        matches!(reply, Ok(Ok(_)))
    }

    /// Goes on recording an outcome that no quorum took. It ends with the
    /// process, since a planned stop must not wait for control.
    fn record_later(&self, change: Change) {
        let Ok(permit) = Arc::clone(&self.state.recording).try_acquire_owned() else {
            warn!(event = "outcome-not-recorded", request = self.plan.request.to_string().as_str(); "too many outcomes wait for a quorum");
            return;
        };
        let state = Arc::clone(&self.state);
        let plan = Arc::clone(&self.plan);
        let key = self.key.clone();
        drop(tokio::spawn(async move {
            record_until(&state, &plan, &key, change).await;
            drop(permit);
        }));
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

/// Records a change as soon as a quorum takes it, for a limited time.
async fn record_until(state: &State, plan: &Plan, key: &Key, change: Change) {
    let end = state.now() + LATER_LIMIT;
    let mut pause = LATER_PAUSE;
    while state.now() + pause < end {
        // Half of the pause is random, so that the nodes do not come back all at once.
        time::sleep(pause / 2 + pause.mul_f64(rand::random::<f64>() / 2.0)).await;
        pause = (pause * 2).min(LATER_PAUSE_MAX);
        let task = Task::Change(change.clone());
        if is_decided(&ask(state, plan, key, task, RECORD_LIMIT).await) {
            return;
        }
    }
    warn!(event = "outcome-not-recorded", request = plan.request.to_string().as_str(); "no quorum in {LATER_LIMIT:?}");
}

/// Whether the claim group decided on a question, so that asking again gives the same answer.
const fn is_decided(reply: &Result<Result<Report, ClaimRefusal>, String>) -> bool {
    matches!(
        reply,
        Ok(Ok(_)
            | Err(ClaimRefusal::Ahead(_)
                | ClaimRefusal::Claim(
                    proposer::Failure::Refused(_) | proposer::Failure::Expired(_)
                )))
    )
}

enum Opened {
    Granted(Grant),
    /// The request ran before; this was its answer.
    Answered(Answer),
}
