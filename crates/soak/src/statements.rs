//! Checks that routers follow what backend servers state in their responses.
//!
//! A router is told by the first response with the statement that it passes on
//! to a caller. What it does afterwards is checked until its process is disturbed.

use crate::check::SLACK_MS;
use crate::history::Arrival;
use crate::history::DisturbanceKind;
use crate::history::History;
use crate::history::Limit;
use crate::history::Outcome;
use crate::history::SentRequest;
use crate::history::Statement;
use crate::layout;

/// Time after the first statement of a limit from which it must be kept.
const LIMIT_STABILITY_MS: u64 = 3_000;

/// Time after a router passed on the statement of a limit from which its requests count.
const LIMIT_TOLD_MS: u64 = 500;

/// Length of the windows in which requests are counted.
const LIMIT_WINDOW_MS: u64 = 4_000;

/// Requests that are allowed in a window: this multiple of the limit and a constant.
const LIMIT_RATIO: f64 = 1.5;
const LIMIT_EXTRA: f64 = 5.0;

/// Kinds of disturbances after which a router need not know what it was told.
const EXCUSES: [DisturbanceKind; 3] = [
    DisturbanceKind::Stop,
    DisturbanceKind::Pause,
    DisturbanceKind::Other,
];

/// A response that a router passed on.
struct Passed<'history> {
    arrival: &'history Arrival,
    sent: &'history SentRequest,
    at_ms: u64,
}

fn passed(history: &History, states: fn(&Statement) -> bool) -> Vec<Passed<'_>> {
    let stating = history.arrivals.iter().filter(|a| states(&a.statement));
    let passed = stating.filter_map(|arrival| {
        let sent = history.requests.get(&arrival.request)?;
        let (at_ms, Outcome::Response { seal, .. }) = sent.outcome.as_ref()? else {
            return None;
        };
        let (_, created) = arrival.response.as_ref()?;
        (seal.as_ref() == Some(created)).then_some(Passed {
            arrival,
            sent,
            at_ms: *at_ms,
        })
    });
    passed.collect()
}

fn is_excused(history: &History, router: usize, from_ms: u64, until_ms: u64) -> bool {
    let mut kinds = EXCUSES.into_iter();
    kinds.any(|kind| history.is_disturbed(router, kind, from_ms, until_ms))
}

/// Finds requests that a router sent to a backend server long after it passed on that this one is leaving.
pub fn leaving(history: &History) -> Vec<String> {
    let told = passed(history, |statement| statement.leaving);
    let violations = history.arrivals.iter().filter_map(|arrival| {
        let sent = history.requests.get(&arrival.request)?;
        let told = told.iter().find(|told| {
            told.arrival.instance == arrival.instance
                && told.sent.router == sent.router
                && sent.at_ms > told.at_ms + layout::DRAIN_TIMEOUT_MS + SLACK_MS
                && !is_excused(history, sent.router, told.at_ms, arrival.at_ms)
        })?;
        Some(format!(
            "{} of {} reached {} at {}, which had stated by {} that it was leaving",
            arrival.request,
            layout::name(sent.router),
            arrival.instance,
            arrival.at_ms,
            told.at_ms
        ))
    });
    violations.collect()
}

/// Finds backend servers that received more requests than the limit that they stated.
pub fn limits(history: &History) -> Vec<String> {
    let told = passed(history, |statement| statement.limit_millihertz.is_some());
    let limits = history.limits.iter();
    limits
        .filter_map(|limit| exceeded(history, &told, limit))
        .collect()
}

fn exceeded(history: &History, told: &[Passed<'_>], limit: &Limit) -> Option<String> {
    let is_counted = |arrival: &&Arrival| {
        let Some(sent) = history.requests.get(&arrival.request) else {
            return false;
        };
        let stated = limit.from_ms + LIMIT_STABILITY_MS..limit.until_ms;
        arrival.instance == limit.instance
            && stated.contains(&arrival.at_ms)
            && told.iter().any(|told| {
                told.arrival.instance == arrival.instance
                    && told.sent.router == sent.router
                    && told.at_ms >= limit.from_ms
                    && told.at_ms + LIMIT_TOLD_MS <= arrival.at_ms
                    && !is_excused(history, sent.router, told.at_ms, arrival.at_ms)
            })
    };
    let counted: Vec<u64> = history
        .arrivals
        .iter()
        .filter(is_counted)
        .map(|arrival| arrival.at_ms)
        .collect();
    let per_second = f64::from(limit.millihertz) / 1_000.0;
    let window_s = LIMIT_WINDOW_MS as f64 / 1_000.0;
    let allowed = LIMIT_RATIO * per_second * window_s + LIMIT_EXTRA;
    counted.iter().enumerate().find_map(|(index, from_ms)| {
        let in_window = |at_ms: &&u64| **at_ms < from_ms + LIMIT_WINDOW_MS;
        let count = counted[index..].iter().take_while(in_window).count();
        (count as f64 > allowed).then(|| {
            format!(
                "{} states {per_second} requests a second and received {count} from {from_ms} to {}, but {allowed:.0} are allowed",
                limit.instance,
                from_ms + LIMIT_WINDOW_MS
            )
        })
    })
}
