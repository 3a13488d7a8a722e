//! The promises, and what breaks them in a ledger.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use crate::layout;
use crate::ledger::Arrival;
use crate::ledger::Change;
use crate::ledger::End;
use crate::ledger::Kind;
use crate::ledger::Ledger;
use crate::ledger::Manner;
use crate::ledger::Sent;

/// Time for bytes under way and for a busy machine, on top of each bound.
pub const SLACK_MS: u64 = 1_000;

/// A disturbance counts for so long after it ended.
pub const STABILITY_MS: u64 = 3_000;

/// Later arrivals of requests whose callers left.
const LEFT_MS: u64 = 500;

/// So many requests may arrive later than that: a close and a request cross on the way.
const LEFT_MAX: usize = 3;

/// Window of the budget for copies.
const BUDGET_WINDOW_MS: u64 = 10_000;

/// A promise.
#[derive(Clone, Copy, Debug)]
pub struct Promise {
    /// Short name, used in reports.
    pub name: &'static str,
    /// What is promised.
    pub text: &'static str,
    /// Finds what breaks it.
    pub find: fn(&Ledger) -> Vec<String>,
}

/// All promises.
pub const PROMISES: &[Promise] = &[
    Promise {
        name: "at-most-once",
        text: "a non-idempotent request runs once at most",
        find: at_most_once,
    },
    Promise {
        name: "true-refusals",
        text: "a request that was refused with 408, 421, 429 or 503 has not run and never will, unless it is idempotent",
        find: true_refusals,
    },
    Promise {
        name: "own-answers",
        text: "an answer is whole, the backend server's own, and belongs to the request",
        find: own_answers,
    },
    Promise {
        name: "as-sent",
        text: "a backend server gets only requests that a caller sent, unchanged and with the caller's service",
        find: as_sent,
    },
    Promise {
        name: "allowed-service",
        text: "a request runs at a service to which some configuration sends it",
        find: allowed_service,
    },
    Promise {
        name: "drains",
        text: "a backend server gets no request once its departure has had time to bind",
        find: drains,
    },
    Promise {
        name: "graceful-stops",
        text: "a router that is asked to stop answers what it has passed on",
        find: graceful_stops,
    },
    Promise {
        name: "callers-that-left",
        text: "a request whose caller has left is not passed on",
        find: callers_that_left,
    },
    Promise {
        name: "time-left",
        text: "a backend server is told no more time than the caller has left",
        find: time_left,
    },
    Promise {
        name: "copies",
        text: "copies of requests stay within the budget of their service",
        find: copies,
    },
    Promise {
        name: "accepted-changes",
        text: "an acknowledged change is in force at the end, unless a higher version is",
        find: accepted_changes,
    },
];

/// All broken promises: the name and what happened.
pub fn broken(ledger: &Ledger) -> Vec<(&'static str, String)> {
    let found = PROMISES.iter().flat_map(|promise| {
        let broken = (promise.find)(ledger);
        broken.into_iter().map(|text| (promise.name, text))
    });
    ledger.failures.iter().cloned().chain(found).collect()
}

fn runs(ledger: &Ledger) -> BTreeMap<&str, Vec<&Arrival>> {
    let mut runs: BTreeMap<&str, Vec<&Arrival>> = BTreeMap::new();
    for arrival in ledger.arrivals.iter().filter(|arrival| arrival.run) {
        runs.entry(&arrival.request).or_default().push(arrival);
    }
    runs
}

fn non_idempotent(ledger: &Ledger) -> impl Iterator<Item = (&Arc<str>, &Sent)> {
    let sent = ledger.sent.iter();
    sent.filter(|(_, sent)| sent.kind == Kind::NonIdempotent)
}

fn at_most_once(ledger: &Ledger) -> Vec<String> {
    let runs = runs(ledger);
    let twice = non_idempotent(ledger).filter_map(|(request, _)| {
        let runs = runs.get(&**request).filter(|runs| runs.len() > 1)?;
        let at: Vec<String> = runs
            .iter()
            .map(|r| format!("{}@{}", r.target, r.at))
            .collect();
        Some(format!("{request} ran at {}", at.join(", ")))
    });
    twice.collect()
}

fn true_refusals(ledger: &Ledger) -> Vec<String> {
    let runs = runs(ledger);
    let untrue = non_idempotent(ledger).filter_map(|(request, sent)| {
        let Some((
            at,
            End::Answer {
                status: status @ (408 | 421 | 429 | 503),
                ..
            },
        )) = &sent.end
        else {
            return None;
        };
        let run = runs.get(&**request)?.first()?;
        Some(format!(
            "{request} was refused with {status} at {at} and ran at {} at {}",
            run.target, run.at
        ))
    });
    untrue.collect()
}

fn own_answers(ledger: &Ledger) -> Vec<String> {
    let runs = runs(ledger);
    let foreign = ledger.sent.iter().filter_map(|(request, sent)| {
        let Some((
            at,
            End::Answer {
                status,
                seal,
                expected,
            },
        )) = &sent.end
        else {
            return None;
        };
        let given = |seal: &Arc<str>| {
            let runs = runs.get(&**request).into_iter().flatten();
            let mut answers = runs.filter_map(|run| run.answer.as_ref());
            answers.any(|(answered, own)| answered == status && own == seal)
        };
        let reason = match seal {
            Some(seal) if !given(seal) => "bears a seal that no backend server gave it",
            Some(seal) if seal != expected => "has another body than the backend server sent",
            None if (200..300).contains(status) => "is a success without a seal",
            _ => return None,
        };
        Some(format!("the answer {status} to {request} at {at} {reason}"))
    });
    foreign.collect()
}

fn as_sent(ledger: &Ledger) -> Vec<String> {
    let changed = ledger.arrivals.iter().filter_map(|arrival| {
        let request = &arrival.request;
        let Some(sent) = ledger.sent.get(request) else {
            return Some(format!(
                "{} got {request}, which nobody sent",
                arrival.target
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
                "{request} came from {caller} and arrived as from '{}'",
                arrival.caller
            )
        })
    });
    changed.collect()
}

fn allowed_service(ledger: &Ledger) -> Vec<String> {
    let astray = ledger.arrivals.iter().filter(|arrival| arrival.run);
    let astray = astray.filter_map(|arrival| {
        let path = arrival.content.split(' ').nth(1).unwrap_or_default();
        let mut changes = ledger
            .changes
            .iter()
            .filter(|c| path.starts_with(&*c.prefix));
        let allowed = changes.any(|change| {
            let services = change.content.iter().flatten();
            change.sent <= arrival.at && services.into_iter().any(|s| *s == arrival.service)
        });
        (!allowed).then(|| format!("{} for {path} ran at {}", arrival.request, arrival.service))
    });
    astray.collect()
}

fn drains(ledger: &Ledger) -> Vec<String> {
    let late = ledger.drains.iter().flat_map(|(target, at, router)| {
        let bound = at + layout::DRAIN_MS + SLACK_MS;
        let runs = ledger
            .arrivals
            .iter()
            .filter(move |a| a.run && a.target == *target);
        // What a suspended process held back was sent in time.
        let runs = runs.filter(move |a| {
            let from = a.at.saturating_sub(STABILITY_MS);
            a.at > bound && !ledger.is_disturbed(*router, Manner::Pause, from, a.at)
        });
        runs.map(move |a| {
            format!(
                "{} ran at {target} at {}, whose departure was acknowledged at {at}",
                a.request, a.at
            )
        })
    });
    late.collect()
}

fn graceful_stops(ledger: &Ledger) -> Vec<String> {
    let runs = runs(ledger);
    let lost = ledger.sent.iter().filter_map(|(request, sent)| {
        let Some((at, End::Lost)) = &sent.end else {
            return None;
        };
        // With another disturbance around, it is not the stop that lost it.
        let calm = ledger.is_calm(sent.at.saturating_sub(STABILITY_MS), *at);
        let stopping = ledger.is_disturbed(sent.router, Manner::Stop, sent.at, *at);
        let in_time = *at < sent.at + sent.limit;
        let run = runs.get(&**request)?.first()?;
        (calm && stopping && in_time).then(|| {
            format!(
                "{request} was lost at {at} after it began to run at {}",
                run.at
            )
        })
    });
    lost.collect()
}

fn callers_that_left(ledger: &Ledger) -> Vec<String> {
    let late = ledger.arrivals.iter().filter_map(|arrival| {
        let sent = ledger.sent.get(&arrival.request)?;
        let Some((left, End::Left)) = sent.end else {
            return None;
        };
        let from = left.saturating_sub(STABILITY_MS);
        let late = arrival.at > left + LEFT_MS && ledger.is_calm(from, arrival.at);
        late.then(|| {
            format!(
                "{} arrived at {}, its caller left at {left}",
                arrival.request, arrival.at
            )
        })
    });
    let late: Vec<String> = late.collect();
    if late.len() > LEFT_MAX {
        late
    } else {
        Vec::new()
    }
}

fn time_left(ledger: &Ledger) -> Vec<String> {
    let long = ledger.arrivals.iter().filter_map(|arrival| {
        let sent = ledger.sent.get(&arrival.request)?;
        let Some(limit) = arrival.limit else {
            return Some(format!("{} arrived without its time", arrival.request));
        };
        (limit > sent.limit).then(|| {
            format!(
                "{} arrived with {limit} ms, its caller gave {}",
                arrival.request, sent.limit
            )
        })
    });
    long.collect()
}

fn copies(ledger: &Ledger) -> Vec<String> {
    let mut broken = Vec::new();
    for service in layout::SERVICES {
        // Arrivals beyond the first of each request, and requests for the service, in their order.
        let mut seen = BTreeSet::new();
        let mut copies = Vec::new();
        let mut firsts = Vec::new();
        for arrival in ledger.arrivals.iter().filter(|a| &*a.service == service) {
            if seen.insert(&arrival.request) {
                firsts.push(arrival.at);
            } else {
                copies.push(arrival.at);
            }
        }
        for (index, &begin) in copies.iter().enumerate() {
            let end = begin + BUDGET_WINDOW_MS;
            let count = copies[index..].iter().filter(|&&at| at < end).count();
            let from = begin.saturating_sub(BUDGET_WINDOW_MS);
            let first = firsts.iter().filter(|&&at| at >= from && at < end).count();
            let allowed = first as f64 * layout::RETRY_RATIO + layout::RETRY_SLACK as f64;
            if count as f64 > allowed {
                broken.push(format!(
                    "{service} got {count} copies from {begin} to {end}, {allowed:.0} are allowed"
                ));
                break;
            }
        }
    }
    broken
}

fn accepted_changes(ledger: &Ledger) -> Vec<String> {
    let mut broken = Vec::new();
    let mut newest: BTreeMap<&str, &Change> = BTreeMap::new();
    for change in ledger.changes.iter().filter(|c| c.acknowledged.is_some()) {
        let held = newest.entry(&change.route).or_insert(change);
        if held.version == change.version && held.content != change.content {
            // Once a higher version is held, a lower one changes nothing and is acknowledged.
            let at = held.acknowledged.max(change.acknowledged);
            let mut others = ledger.changes.iter().filter(|c| c.route == change.route);
            if !others.any(|c| c.version > change.version && Some(c.sent) < at) {
                broken.push(format!(
                    "two contents of {} were acknowledged as version {}",
                    change.route, change.version
                ));
            }
        }
        if held.version < change.version {
            *held = change;
        }
    }
    for (process, routes) in &ledger.read_back {
        for (route, acknowledged) in &newest {
            let found = routes.get(*route);
            let later = ledger.changes.iter().filter(|c| &*c.route == *route);
            let mut later = later.filter(|c| c.version >= acknowledged.version);
            let fits = later.any(|c| match (&c.content, found) {
                (Some(services), Some((version, held))) => {
                    c.version == *version && services == held
                }
                (None, None) => true,
                _ => false,
            });
            // The acknowledged content of a version excludes the others that were sent with it.
            let same = found.is_none_or(|(version, held)| {
                *version != acknowledged.version || Some(held) == acknowledged.content.as_ref()
            });
            if !fits || !same {
                broken.push(format!(
                    "{} holds {route} as {found:?}; version {} with {:?} was acknowledged",
                    layout::name(*process),
                    acknowledged.version,
                    acknowledged.content
                ));
            }
        }
    }
    broken
}
