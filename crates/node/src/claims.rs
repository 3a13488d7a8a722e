//! Grants and records of non-idempotent requests.
//!
//! The node at the target requests a grant after it has a slot and checks
//! immediately before dispatch that the grant is current. The response is
//! recorded before it is sent to the caller. The attempt runs in a separate
//! task, because a request must get a recorded outcome even if its caller
//! disconnects.

use std::sync::Arc;
use std::time::Duration;

use http::Response;
use http::header;
use log::warn;
use tokio::time;

use crate::gate;
use crate::gate::Attempt;
use crate::gate::BackendRequest;
use crate::plan::Plan;
use crate::refuse;
use crate::resolution::RECORD_TIMEOUT;
use crate::resolution::call_claim_group;
use crate::resolution::outcome_refusal;
use crate::resolution::required_key;
use crate::resolution::running_refusal;
use crate::resolution::stored_response;
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

/// Maximum size of a response body that is stored; of a larger one only status and content type are stored.
const STORED_BODY_MAX_BYTES: usize = 64 * 1024;

/// Time after the caller's deadline for which the node still waits for the response.
///
/// At the deadline the caller is notified that the request is running. A
/// response within this period is recorded, so that the next retry gets it
/// instead of an unknown outcome.
const RESPONSE_GRACE_PERIOD: Duration = Duration::from_secs(10);

/// Time before the deadline at which the node stops waiting for a grant.
///
/// The refusal then reaches the entry node in time as proven not run. If the node waited until the
/// deadline, the entry node would time out first and count that as a failure of the target.
const REFUSAL_MARGIN: Duration = Duration::from_millis(100);

/// Time for which the node retries to record an outcome that no quorum accepted.
const RECORD_RETRY_TIMEOUT: Duration = Duration::from_mins(5);

/// Interval before the outcome is recorded again; it doubles up to the maximum.
const RECORD_RETRY_INTERVAL: Duration = Duration::from_millis(500);
const RECORD_RETRY_INTERVAL_MAX: Duration = Duration::from_secs(10);

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
    let claimed = ClaimedAttempt {
        state: Arc::clone(state),
        plan: Arc::clone(plan),
        attempt,
        grant: Id(rand::random()),
        key: required_key(plan)?,
        holder: Holder {
            instance: state.identity.instance.clone(),
            incarnation: attempt.incarnation,
        },
    };
    let running = state
        .tasks
        .spawn(async move { claimed.execute(slot).await });
    match time::timeout(plan.remaining(state.now()), running).await {
        Ok(Ok(result)) => result,
        Ok(Err(error)) => Err(Refusal::unknown(Code::Internal, error.to_string())),
        Err(_) => Err(running_refusal(
            "the deadline passed while the request was running",
        )),
    }
}

struct ClaimedAttempt {
    state: Arc<State>,
    plan: Arc<Plan>,
    attempt: Attempt,
    /// Identifier of the grant that this attempt requests; unique for each attempt.
    grant: Id,
    key: Key,
    holder: Holder,
}

impl ClaimedAttempt {
    async fn execute(self, slot: Slot) -> Result<Response<Body>, Refusal> {
        let grant = match self.request_grant().await? {
            GrantResult::Granted(grant) => grant,
            GrantResult::Answered(answer) => return Ok(stored_response(&answer)),
        };
        // Evaluated when a connection is ready, immediately before the request is sent: a node that
        // was suspended since it requested the grant finds the grant expired.
        let is_current = || grant.is_current(self.state.now());
        let mut local_request = BackendRequest::new(slot, self.attempt.incarnation);
        let timeout = self.plan.remaining(self.state.now()) + RESPONSE_GRACE_PERIOD;
        let dispatched = gate::dispatch(
            &self.state,
            &self.plan,
            &mut local_request,
            self.attempt,
            timeout,
            &is_current,
        );
        match dispatched.await {
            Ok(head) if head.states_not_run() => self.record_shed(local_request, head).await,
            Ok(head) => self.record_response(local_request, head).await,
            Err(failure) => Err(self.record_failure(&failure).await),
        }
    }

    async fn request_grant(&self) -> Result<GrantResult, Refusal> {
        let id = self.grant;
        let requested_at = self.state.now();
        let open = Change::Open {
            digest: self.plan.content,
            attempt: self.attempt.number,
            holder: self.holder.clone(),
            grant: id,
        };
        let remaining = self.plan.remaining(requested_at);
        let timeout = remaining
            .saturating_sub(REFUSAL_MARGIN)
            .min(VALIDITY_PERIOD);
        let reply = self.apply_change(open, timeout).await;
        self.state.metrics.claimed(matches!(&reply, Ok(Ok(_))));
        if !is_decided(&reply) {
            // The grant may still be decided. This node never uses it, and only this node can prove that.
            self.record_in_background(self.not_run(Reason::Expired));
        }
        match reply {
            Ok(Ok(Report::Granted { attempt, grant })) if grant == id => {
                Ok(GrantResult::Granted(Grant {
                    id,
                    attempt,
                    requested_at,
                }))
            }
            Ok(Ok(Report::Outcome { outcome, .. })) => Err(outcome_refusal(&outcome)),
            Ok(Ok(_)) => Err(running_refusal("another attempt holds the grant")),
            Ok(Err(ClaimRefusal::Claim(proposer::Failure::Refused(record::Refusal::Done(
                answer,
            ))))) => Ok(GrantResult::Answered(answer)),
            Ok(Err(refusal)) => Err(refuse::claim(&refusal)),
            Err(error) => Err(refuse::control(error)),
        }
    }

    /// Records that the backend server reported the request as not run.
    async fn record_shed(
        self,
        local_request: BackendRequest,
        head: Head,
    ) -> Result<Response<Body>, Refusal> {
        drop(local_request.into_response(&self.state, head));
        let recorded = self.record_not_run(Reason::Refused).await;
        let message = "the backend server reported the request as not run".to_owned();
        let refusal = Refusal::not_run(Code::Overloaded, message);
        Err(if recorded {
            refusal.fenced(self.attempt.number)
        } else {
            refusal
        })
    }

    async fn record_response(
        self,
        local_request: BackendRequest,
        head: Head,
    ) -> Result<Response<Body>, Refusal> {
        let response = local_request.into_response(&self.state, head);
        let (parts, body) = response.into_parts();
        let body = match body::prefix(body, STORED_BODY_MAX_BYTES).await {
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
            // The caller still gets the correct response. A retry is refused because the request may have run.
            warn!(event = "answer-not-recorded", request = self.plan.request.to_string().as_str(); "no quorum recorded the response");
        }
        let body = match body {
            Prefix::Complete(bytes) => body::full(bytes),
            Prefix::Longer(rest) => rest,
        };
        Ok(Response::from_parts(parts, body))
    }

    async fn record_failure(&self, failure: &Failure) -> Refusal {
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
        let reply = self.apply_change(change.clone(), RECORD_TIMEOUT).await;
        if !is_decided(&reply) {
            self.record_in_background(change);
        }
        matches!(reply, Ok(Ok(_)))
    }

    /// Retries in the background to record an outcome that no quorum accepted.
    /// A graceful stop does not wait for it, since control may be unreachable.
    fn record_in_background(&self, change: Change) {
        let Ok(permit) = Arc::clone(&self.state.recording_permits).try_acquire_owned() else {
            warn!(event = "outcome-not-recorded", request = self.plan.request.to_string().as_str(); "the outcome was not recorded because too many outcomes wait for a quorum");
            return;
        };
        let state = Arc::clone(&self.state);
        let plan = Arc::clone(&self.plan);
        let key = self.key.clone();
        drop(tokio::spawn(async move {
            retry_record(&state, &plan, &key, change).await;
            drop(permit);
        }));
    }

    async fn apply_change(
        &self,
        change: Change,
        timeout: Duration,
    ) -> Result<Result<Report, ClaimRefusal>, String> {
        call_claim_group(
            &self.state,
            &self.plan,
            &self.key,
            Task::Change(change),
            timeout,
        )
        .await
    }
}

/// Retries a change until the claim group decides on it or the timeout passes.
async fn retry_record(state: &State, plan: &Plan, key: &Key, change: Change) {
    let end = state.now() + RECORD_RETRY_TIMEOUT;
    let mut interval = RECORD_RETRY_INTERVAL;
    while state.now() + interval < end {
        // Half of the interval is random, so that the nodes do not all retry at once.
        time::sleep(interval / 2 + interval.mul_f64(rand::random::<f64>() / 2.0)).await;
        interval = (interval * 2).min(RECORD_RETRY_INTERVAL_MAX);
        let task = Task::Change(change.clone());
        if is_decided(&call_claim_group(state, plan, key, task, RECORD_TIMEOUT).await) {
            return;
        }
    }
    warn!(event = "outcome-not-recorded", request = plan.request.to_string().as_str(); "the outcome was not recorded because no quorum accepted it within {RECORD_RETRY_TIMEOUT:?}");
}

/// Whether the claim group decided on a request, so that repeating it gives the same result.
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

enum GrantResult {
    Granted(Grant),
    /// The request ran before; this is its stored answer.
    Answered(Answer),
}
