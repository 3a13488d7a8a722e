//! Invariants of the system, and the checks that find violations in the history of a run.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use crate::history::Arrival;
use crate::history::Change;
use crate::history::DisturbanceKind;
use crate::history::History;
use crate::history::Idempotency;
use crate::history::Outcome;
use crate::history::SentRequest;
use crate::layout;
use crate::statements;
use crate::workspaces;

/// Tolerance added to each time limit for bytes in transit and a loaded machine.
pub const SLACK_MS: u64 = 1_000;

/// Time after the end of a disturbance during which its effects are excused.
pub const DISTURBANCE_EFFECT_MS: u64 = 3_000;

/// Time after the disconnect of a caller from which arrivals of its request count as late.
const DISCONNECT_GRACE_PERIOD_MS: u64 = 500;

/// Number of late arrivals that are tolerated in a run: a request may already be in transit when its caller disconnects.
const LATE_ARRIVALS_MAX: usize = 3;

/// An invariant that the system guarantees.
#[derive(Clone, Copy, Debug)]
pub struct Invariant {
    /// Name in reports.
    pub name: &'static str,
    /// The invariant as a sentence.
    pub text: &'static str,
    /// Returns a description of each violation.
    pub check: fn(&History) -> Vec<String>,
}

/// All invariants.
pub const INVARIANTS: &[Invariant] = &[
    Invariant {
        name: "at-most-once",
        text: "a non-idempotent request is executed at most once",
        check: at_most_once,
    },
    Invariant {
        name: "true-refusals",
        text: "a request that was refused with 408, 421, 429 or 503 was not executed and never will be, unless it is idempotent",
        check: true_refusals,
    },
    Invariant {
        name: "own-answers",
        text: "a response is complete, unchanged from the backend server, and belongs to the request",
        check: own_answers,
    },
    Invariant {
        name: "as-sent",
        text: "a backend server receives only requests that a caller sent, unchanged and with the caller's service",
        check: as_sent,
    },
    Invariant {
        name: "allowed-service",
        text: "a request is executed by a service to which some configuration routes it",
        check: allowed_service,
    },
    Invariant {
        name: "drains",
        text: "a backend server receives no request once its departure has had time to take effect",
        check: departures,
    },
    Invariant {
        name: "stated-departures",
        text: "a backend server receives no request from a router that has passed on that it is leaving",
        check: statements::leaving,
    },
    Invariant {
        name: "stated-limits",
        text: "a backend server receives no more requests than the limit that it states allows",
        check: statements::limits,
    },
    Invariant {
        name: "graceful-stops",
        text: "a router that is stopped gracefully responds to all requests that it has forwarded",
        check: graceful_stops,
    },
    Invariant {
        name: "callers-that-left",
        text: "a request whose caller has disconnected is not forwarded",
        check: callers_that_left,
    },
    Invariant {
        name: "time-left",
        text: "a backend server is given no more time than the caller has remaining",
        check: time_left,
    },
    Invariant {
        name: "copies",
        text: "further attempts of requests stay within the retry budget of their service",
        check: further_attempts,
    },
    Invariant {
        name: "own-workspace",
        text: "a request is executed for the workspace that holds its key, and the key reaches no backend server",
        check: workspaces::own_workspace,
    },
    Invariant {
        name: "revoked-keys",
        text: "a key that was taken away is refused once the change has had time to take effect",
        check: workspaces::revoked_keys,
    },
    Invariant {
        name: "allotments",
        text: "a workspace gets no more requests than its allotment allows",
        check: workspaces::allotments,
    },
    Invariant {
        name: "accepted-changes",
        text: "an acknowledged change is in force at the end, unless a higher version is",
        check: accepted_changes,
    },
];

/// All violated invariants: name and description.
pub fn violated_invariants(history: &History) -> Vec<(&'static str, String)> {
    let found = INVARIANTS.iter().flat_map(|invariant| {
        let violations = (invariant.check)(history);
        violations.into_iter().map(|text| (invariant.name, text))
    });
    history.failures.iter().cloned().chain(found).collect()
}

fn executions(history: &History) -> BTreeMap<&str, Vec<&Arrival>> {
    let mut executions: BTreeMap<&str, Vec<&Arrival>> = BTreeMap::new();
    for arrival in history.arrivals.iter().filter(|arrival| arrival.executed) {
        executions
            .entry(&arrival.request)
            .or_default()
            .push(arrival);
    }
    executions
}

fn non_idempotent(history: &History) -> impl Iterator<Item = (&Arc<str>, &SentRequest)> {
    let sent = history.requests.iter();
    sent.filter(|(_, sent)| sent.idempotency == Idempotency::NonIdempotent)
}

fn at_most_once(history: &History) -> Vec<String> {
    let executions = executions(history);
    let violations = non_idempotent(history).filter_map(|(request, _)| {
        let executions = executions
            .get(&**request)
            .filter(|executions| executions.len() > 1)?;
        let executed_by: Vec<String> = executions
            .iter()
            .map(|r| format!("{}@{}", r.instance, r.at_ms))
            .collect();
        Some(format!(
            "{request} was executed more than once: {}",
            executed_by.join(", ")
        ))
    });
    violations.collect()
}

fn true_refusals(history: &History) -> Vec<String> {
    let executions = executions(history);
    let violations = non_idempotent(history).filter_map(|(request, sent)| {
        let Some((
            at_ms,
            Outcome::Response {
                status: status @ (408 | 421 | 429 | 503),
                ..
            },
        )) = &sent.outcome
        else {
            return None;
        };
        let execution = executions.get(&**request)?.first()?;
        Some(format!(
            "{request} was refused with {status} at {at_ms}, but was executed by {} at {}",
            execution.instance, execution.at_ms
        ))
    });
    violations.collect()
}

fn own_answers(history: &History) -> Vec<String> {
    let executions = executions(history);
    let violations = history.requests.iter().filter_map(|(request, sent)| {
        let Some((
            at_ms,
            Outcome::Response {
                status,
                seal,
                expected,
            },
        )) = &sent.outcome
        else {
            return None;
        };
        let is_known_seal = |seal: &Arc<str>| {
            let executions = executions.get(&**request).into_iter().flatten();
            let mut responses = executions.filter_map(|execution| execution.response.as_ref());
            responses.any(|(sent_status, created)| sent_status == status && created == seal)
        };
        let reason = match seal {
            Some(seal) if !is_known_seal(seal) => {
                "has a seal that no backend server created for it"
            }
            Some(seal) if seal != expected => {
                "has a body that differs from the one that the backend server sent"
            }
            None if (200..300).contains(status) => "reports success without a seal",
            _ => return None,
        };
        Some(format!(
            "the response {status} to {request} at {at_ms} {reason}"
        ))
    });
    violations.collect()
}

fn as_sent(history: &History) -> Vec<String> {
    let violations = history.arrivals.iter().filter_map(|arrival| {
        let request = &arrival.request;
        let Some(sent) = history.requests.get(request) else {
            return Some(format!(
                "{} received {request}, which no caller sent",
                arrival.instance
            ));
        };
        if sent.content != arrival.content {
            return Some(format!(
                "{request} was sent as '{}' and arrived as '{}'",
                sent.content, arrival.content
            ));
        }
        let caller = layout::service(sent.router);
        (arrival.caller != caller).then(|| {
            format!(
                "{request} was sent by {caller} and arrived with the caller service '{}'",
                arrival.caller
            )
        })
    });
    violations.collect()
}

fn allowed_service(history: &History) -> Vec<String> {
    let executed = history.arrivals.iter().filter(|arrival| arrival.executed);
    let violations = executed.filter_map(|arrival| {
        let path = arrival.content.split(' ').nth(1).unwrap_or_default();
        let mut changes = history
            .changes
            .iter()
            .filter(|c| path.starts_with(&*c.prefix));
        let allowed = changes.any(|change| {
            let services = change.content.iter().flatten();
            change.sent_at_ms <= arrival.at_ms
                && services.into_iter().any(|s| *s == arrival.service)
        });
        (!allowed).then(|| {
            format!(
                "{} for {path} was executed by {}, to which no configuration routed it",
                arrival.request, arrival.service
            )
        })
    });
    violations.collect()
}

fn departures(history: &History) -> Vec<String> {
    let violations = history
        .departures
        .iter()
        .flat_map(|(instance, at_ms, router)| {
            let effective_at = at_ms + layout::DRAIN_TIMEOUT_MS + SLACK_MS;
            let executions = history
                .arrivals
                .iter()
                .filter(move |a| a.executed && a.instance == *instance);
            // Excludes requests that were sent before the departure took effect and arrived late because the router was suspended.
            let executions = executions.filter(move |a| {
                let from_ms = a.at_ms.saturating_sub(DISTURBANCE_EFFECT_MS);
                a.at_ms > effective_at
                    && !history.is_disturbed(*router, DisturbanceKind::Pause, from_ms, a.at_ms)
            });
            executions.map(move |a| {
            format!(
                "{} was executed at {} by {instance}, whose departure was acknowledged at {at_ms}",
                a.request, a.at_ms
            )
        })
        });
    violations.collect()
}

fn graceful_stops(history: &History) -> Vec<String> {
    let executions = executions(history);
    let violations = history.requests.iter().filter_map(|(request, sent)| {
        let Some((at_ms, Outcome::Lost)) = &sent.outcome else {
            return None;
        };
        // With another disturbance, the stop may not be the cause of the loss.
        let undisturbed =
            history.is_undisturbed(sent.at_ms.saturating_sub(DISTURBANCE_EFFECT_MS), *at_ms);
        let stopping = history.is_disturbed(sent.router, DisturbanceKind::Stop, sent.at_ms, *at_ms);
        let in_time = *at_ms < sent.at_ms + sent.timeout_ms;
        let execution = executions.get(&**request)?.first()?;
        (undisturbed && stopping && in_time).then(|| {
            format!(
                "{request} was lost at {at_ms} after its execution began at {}",
                execution.at_ms
            )
        })
    });
    violations.collect()
}

fn callers_that_left(history: &History) -> Vec<String> {
    let violations = history.arrivals.iter().filter_map(|arrival| {
        let sent = history.requests.get(&arrival.request)?;
        let Some((disconnected_at, Outcome::Left)) = sent.outcome else {
            return None;
        };
        let from_ms = disconnected_at.saturating_sub(DISTURBANCE_EFFECT_MS);
        let is_late = arrival.at_ms > disconnected_at + DISCONNECT_GRACE_PERIOD_MS
            && history.is_undisturbed(from_ms, arrival.at_ms);
        is_late.then(|| {
            format!(
                "{} arrived at {}, but its caller disconnected at {disconnected_at}",
                arrival.request, arrival.at_ms
            )
        })
    });
    let violations: Vec<String> = violations.collect();
    if violations.len() > LATE_ARRIVALS_MAX {
        violations
    } else {
        Vec::new()
    }
}

fn time_left(history: &History) -> Vec<String> {
    let violations = history.arrivals.iter().filter_map(|arrival| {
        let sent = history.requests.get(&arrival.request)?;
        let Some(remaining_ms) = arrival.remaining_ms else {
            return Some(format!(
                "{} arrived without its remaining time",
                arrival.request
            ));
        };
        (remaining_ms > sent.timeout_ms).then(|| {
            format!(
                "{} arrived with {remaining_ms} ms remaining, but its caller allowed {} ms",
                arrival.request, sent.timeout_ms
            )
        })
    });
    violations.collect()
}

fn further_attempts(history: &History) -> Vec<String> {
    let mut violations = Vec::new();
    for service in layout::SERVICES {
        // First and further arrivals of each request for the service, in chronological order.
        let mut arrived = BTreeSet::new();
        let mut further_attempts = Vec::new();
        let mut first_attempts = Vec::new();
        for arrival in history.arrivals.iter().filter(|a| &*a.service == service) {
            if arrived.insert(&arrival.request) {
                first_attempts.push(arrival.at_ms);
            } else {
                further_attempts.push(arrival.at_ms);
            }
        }
        for (index, &window_start) in further_attempts.iter().enumerate() {
            let window_end = window_start + layout::RETRY_BUDGET_WINDOW_MS;
            let count = further_attempts[index..]
                .iter()
                .filter(|&&at_ms| at_ms < window_end)
                .count();
            let from_ms = window_start.saturating_sub(layout::RETRY_BUDGET_WINDOW_MS);
            let first = first_attempts
                .iter()
                .filter(|&&at_ms| at_ms >= from_ms && at_ms < window_end)
                .count();
            let allowed =
                first as f64 * layout::RETRY_BUDGET_RATIO + layout::RETRY_BUDGET_SLACK as f64;
            if count as f64 > allowed {
                violations.push(format!(
                    "{service} received {count} further attempts from {window_start} to {window_end}, but {allowed:.0} are allowed"
                ));
                break;
            }
        }
    }
    violations
}

fn accepted_changes(history: &History) -> Vec<String> {
    let mut violations = Vec::new();
    let mut newest: BTreeMap<&str, &Change> = BTreeMap::new();
    for change in history
        .changes
        .iter()
        .filter(|c| c.acknowledged_at_ms.is_some())
    {
        let current = newest.entry(&change.route).or_insert(change);
        if current.version == change.version && current.content != change.content {
            // Once a higher version is stored, a lower one has no effect and is acknowledged.
            let at_ms = current.acknowledged_at_ms.max(change.acknowledged_at_ms);
            let mut others = history.changes.iter().filter(|c| c.route == change.route);
            if !others.any(|c| c.version > change.version && Some(c.sent_at_ms) < at_ms) {
                violations.push(format!(
                    "two different contents of {} were acknowledged as version {}",
                    change.route, change.version
                ));
            }
        }
        if current.version < change.version {
            *current = change;
        }
    }
    for (process, routes) in &history.final_routes {
        for (route, acknowledged) in &newest {
            let in_force = routes.get(*route);
            let later_changes = history.changes.iter().filter(|c| &*c.route == *route);
            let mut later_changes = later_changes.filter(|c| c.version >= acknowledged.version);
            let matches_change = later_changes.any(|c| match (&c.content, in_force) {
                (Some(services), Some((version, current))) => {
                    c.version == *version && services == current
                }
                (None, None) => true,
                _ => false,
            });
            // Once one content of a version is acknowledged, no other content of that version may be in force.
            let is_acknowledged_content = in_force.is_none_or(|(version, current)| {
                *version != acknowledged.version || Some(current) == acknowledged.content.as_ref()
            });
            if !matches_change || !is_acknowledged_content {
                violations.push(format!(
                    "{} has {route} in force as {in_force:?}, but version {} with {:?} was acknowledged",
                    layout::name(*process),
                    acknowledged.version,
                    acknowledged.content
                ));
            }
        }
    }
    violations
}
