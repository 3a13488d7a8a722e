//! What a node owes the record of a request that it does not run.
//!
//! A question to open an attempt that got no answer may have been decided all
//! the same. The node never dispatches on it, so it takes the grant back;
//! otherwise the request would look as if it ran. A caller that is told "not
//! run" may take another key, so an earlier attempt under the same key counts too.

use std::sync::Arc;
use std::time::Duration;

use http::Response;
use tokio::time;

use crate::claims;
use crate::claims::Fate;
use crate::plan::Plan;
use crate::state::State;
use shallotrill_claim::change::Change;
use shallotrill_claim::key::Key;
use shallotrill_claim::proposer::Failure;
use shallotrill_claim::proposer::Task;
use shallotrill_claim::record::Report;
use shallotrill_control_client::claim;
use shallotrill_model::attempt;
use shallotrill_model::class::Class;
use shallotrill_model::outcome::Outcome;
use shallotrill_model::outcome::Reason;
use shallotrill_model::outcome::Run;
use shallotrill_wire::body::Body;
use shallotrill_wire::refusal::Code;
use shallotrill_wire::refusal::Refusal;

/// Longest time for one question.
const ASK_LIMIT: Duration = Duration::from_secs(3);

/// Longest time that a refusal waits for the word of the claim group.
const CONFIRM_LIMIT: Duration = Duration::from_millis(500);

/// Below the time limit of a planned stop, which waits for it. Control reports the request as unknown after it.
const LIMIT: Duration = Duration::from_secs(20);

/// Pause after a question without an answer; it doubles up to the second value.
const PAUSE: Duration = Duration::from_millis(100);
const PAUSE_MAX: Duration = Duration::from_secs(5);

/// Answer of the claim group, or the reason why there is none.
type Reply = Result<claim::Reply, String>;

/// Whether the question is settled, so that it cannot take effect later.
pub(crate) const fn is_decided(reply: &Reply) -> bool {
    matches!(
        reply,
        Ok(Ok(_)
            | Err(claim::Refusal::Claim(
                Failure::Refused(_) | Failure::Expired(_)
            )))
    )
}

/// Takes back the attempt that `open` asked for and that is not dispatched.
pub(crate) async fn run(state: Arc<State>, plan: Arc<Plan>, key: Key, open: Change) {
    let end = state.now() + LIMIT;
    let mut pause = PAUSE;
    while state.now() < end {
        if attempt(&state, &plan, &key, &open).await {
            return;
        }
        time::sleep(pause).await;
        pause = (pause * 2).min(PAUSE_MAX);
    }
}

/// Whether the attempt is known to be taken back, or decided in another way.
async fn attempt(state: &State, plan: &Plan, key: &Key, open: &Change) -> bool {
    let Change::Open {
        digest,
        attempt,
        holder,
        grant,
    } = open
    else {
        return true;
    };
    let ask = |change| claims::ask(state, plan, key, Task::Change(change), ASK_LIMIT);
    let fence = Change::Fence {
        digest: *digest,
        attempt: *attempt,
    };
    let fenced = ask(fence).await;
    if !is_running(&fenced) {
        return is_decided(&fenced);
    }
    // Two copies of a request at this node have the same holder. The grant tells which of them is open.
    let reopened = ask(open.clone()).await;
    match &reopened {
        Ok(Ok(Report::Granted { grant: own, .. })) if own == grant => {}
        _ => return is_decided(&reopened),
    }
    let not_run = Change::NotRun {
        digest: *digest,
        attempt: *attempt,
        holder: holder.clone(),
        reason: Reason::Expired,
    };
    is_decided(&ask(not_run).await)
}

const fn is_running(reply: &Reply) -> bool {
    matches!(
        reply,
        Ok(Ok(Report::Outcome {
            outcome: Outcome::Running,
            ..
        }))
    )
}

/// Checks before a caller is told "not run" that no earlier attempt under the key ran.
///
/// When no control process answers, the refusal stands for this attempt alone.
pub(crate) async fn confirm(
    state: &State,
    plan: &Plan,
    number: attempt::Number,
    refusal: Refusal,
) -> Result<Response<Body>, Refusal> {
    let about_key = matches!(
        refusal.code,
        Code::KeyReused | Code::KeyExpired | Code::Fenced | Code::ClaimUnavailable
    );
    let key = match &plan.key {
        Some(key) if plan.class == Class::NonIdempotent => key,
        _ => return Err(refusal),
    };
    if refusal.run != Run::NotRun || about_key {
        return Err(refusal);
    }
    match claims::ask(state, plan, key, Task::Look, CONFIRM_LIMIT).await {
        Ok(Ok(Report::Outcome {
            outcome: Outcome::Running | Outcome::Unknown | Outcome::Answer(_),
            ..
        })) => match claims::fence(state, plan, number).await {
            Fate::Fenced(_) => Err(refusal),
            Fate::Settled(result) => result,
        },
        _ => Err(refusal),
    }
}
