//! Recent requests with their attempts, kept for the `explain` endpoint of operators.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;

use shallotrill_model::attempt;
use shallotrill_model::class::Class;
use shallotrill_model::instance;
use shallotrill_model::partner;
use shallotrill_model::request;
use shallotrill_model::service;
use shallotrill_model::time::Wall;
use shallotrill_routing::choice::Choice;
use shallotrill_wire::refusal::Refusal;

/// Maximum number of requests that are kept.
const ENTRIES_MAX: usize = 2_000;

/// One step in the processing of a request.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    /// A target was chosen.
    Chosen {
        attempt: attempt::Number,
        choice: Arc<Choice>,
    },
    /// An attempt produced no response.
    Failed {
        instance: instance::Name,
        refusal: Refusal,
        after: Duration,
    },
    /// The backend server answered.
    Answered {
        instance: instance::Name,
        status: u16,
        after: Duration,
    },
}

/// A finished request with its steps.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) request: request::Id,
    pub(crate) service: service::Name,
    pub(crate) partner: partner::Name,
    pub(crate) class: Class,
    pub(crate) ended_at: Wall,
    pub(crate) steps: Vec<Step>,
    pub(crate) refusal: Option<Refusal>,
}

/// The last [`ENTRIES_MAX`] requests in the order in which they ended.
#[derive(Debug, Default)]
pub(crate) struct RecentRequests {
    entries: VecDeque<Entry>,
}

impl RecentRequests {
    pub(crate) fn push(&mut self, entry: Entry) {
        if self.entries.len() >= ENTRIES_MAX {
            self.entries.pop_front();
        }
        self.entries.push_back(entry);
    }

    /// Explains the requests with this id, oldest first. Duplicates of one request share its id.
    pub(crate) fn explain(&self, request: request::Id) -> Option<Value> {
        let entries: Vec<Value> = self
            .entries
            .iter()
            .filter(|entry| entry.request == request)
            .map(value)
            .collect();
        (!entries.is_empty()).then_some(Value::Array(entries))
    }
}

fn value(entry: &Entry) -> Value {
    json!({
        "request": entry.request,
        "service": entry.service,
        "partner": entry.partner,
        "class": entry.class,
        "at_ms": entry.ended_at,
        "steps": entry.steps.iter().map(step).collect::<Vec<_>>(),
        "refusal": entry.refusal.as_ref().map(refusal),
    })
}

fn step(step: &Step) -> Value {
    match step {
        Step::Chosen { attempt, choice } => json!({
            "step": "chosen",
            "attempt": attempt,
            "instance": choice.instance,
            "candidates": choice.candidates.iter().map(|candidate| json!({
                "instance": candidate.instance,
                "reason": candidate.reason,
                "score_us": candidate.score,
                "age_us": candidate.age.map(|age| age.as_micros() as u64),
                "estimate": candidate.estimate,
            })).collect::<Vec<_>>(),
        }),
        Step::Failed {
            instance,
            refusal: reason,
            after,
        } => json!({
            "step": "failed",
            "instance": instance,
            "after_us": after.as_micros() as u64,
            "refusal": refusal(reason),
        }),
        Step::Answered {
            instance,
            status,
            after,
        } => json!({
            "step": "answered",
            "instance": instance,
            "after_us": after.as_micros() as u64,
            "status": status,
        }),
    }
}

fn refusal(refusal: &Refusal) -> Value {
    json!({
        "code": refusal.code.as_str(),
        "run": refusal.run,
        "message": refusal.message,
    })
}
