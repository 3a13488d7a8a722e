//! Reads what the local backend server states about itself in the headers of its responses.

use std::time::Duration;

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use log::info;
use log::warn;

use crate::backend::RateChange;
use crate::cold;
use crate::names::Names;
use crate::state::State;
use shallotrill_model::incarnation::Incarnation;
use shallotrill_model::instance;
use shallotrill_model::rate::Rate;

/// Statements of one response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Notice {
    /// How long requests take on its machine at the moment, in percent of the usual duration.
    pub slowness: Option<u32>,
    /// Requests that it accepts from all routers together.
    pub limit: Limit,
    /// Remaining time for which it is cold; `None` when that is not stated.
    pub cold: Option<Duration>,
    /// Whether it is leaving and takes no further requests.
    pub leaving: bool,
}

/// The limit that a response states.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Limit {
    /// No limit: an earlier one is withdrawn.
    Absent,
    /// This rate, until a response without a limit.
    Stated(Rate),
    /// Text that is not a rate; an earlier limit stays.
    Unreadable(String),
}

impl Notice {
    /// Reads the statements from the headers of a response.
    pub fn read(names: &Names, headers: &HeaderMap) -> Self {
        let load = text(headers, &names.load);
        let slowness = load.and_then(|text| text.split(',').nth(3)?.trim().parse().ok());
        Self {
            slowness,
            limit: headers.get(&names.limit).map_or(Limit::Absent, limit),
            cold: text(headers, &names.cold_ms)
                .and_then(|text| text.trim().parse().ok())
                .map(Duration::from_millis),
            leaving: is_leaving(names, headers),
        }
    }
}

/// Whether the response states that its backend server is leaving.
pub fn is_leaving(names: &Names, headers: &HeaderMap) -> bool {
    text(headers, &names.leaving).is_some_and(|text| text.trim() == "1")
}

fn text<'headers>(headers: &'headers HeaderMap, name: &HeaderName) -> Option<&'headers str> {
    headers.get(name)?.to_str().ok()
}

fn limit(value: &HeaderValue) -> Limit {
    let number = value.to_str().ok().and_then(|t| t.trim().parse().ok());
    let rate = number.and_then(Rate::from_per_second);
    rate.map_or_else(
        || Limit::Unreadable(String::from_utf8_lossy(value.as_bytes()).into_owned()),
        Limit::Stated,
    )
}

/// Applies the statements of a response of an incarnation, unless another one has taken its place.
pub(crate) fn record(
    state: &State,
    instance: &instance::Name,
    incarnation: Incarnation,
    headers: &HeaderMap,
) {
    let notice = Notice::read(&state.settings.names, headers);
    let now = state.now();
    let (change, left) = {
        let mut backend = state.backend.lock();
        let Some(server) = backend.matching(instance, incarnation) else {
            return;
        };
        if let Some(slowness) = notice.slowness {
            server.record_slowness(slowness, now);
        }
        if let Some(remaining) = notice.cold {
            server.cold.respond(remaining, now);
        }
        let change = match &notice.limit {
            Limit::Absent => server.set_rate_limit(None, now),
            Limit::Stated(rate) => server.set_rate_limit(Some(*rate), now),
            Limit::Unreadable(_) => None,
        };
        if change.is_some() {
            state.pace_changed.notify_one();
        }
        (change, notice.leaving && server.leave())
    };
    if notice.cold.is_some() {
        cold::refresh(state);
    }
    if left {
        info!(event = "backend-leaving", instance = instance.as_str(); "the backend server states that it is leaving");
        state.publish();
    }
    // A backend server may state something else in each response, so repeated lines are limited.
    if let Limit::Unreadable(text) = &notice.limit
        && state.routine_log_quota.allows(now)
    {
        warn!(event = "backend-limit-unreadable", instance = instance.as_str(); "the limit that the backend server states is not a number of requests per second: {text:?}");
    }
    if let Some(change) = change {
        state.metrics.set_backend_limit(change.to);
        let begins_or_ends = change.from.is_none() || change.to.is_none();
        if begins_or_ends || state.routine_log_quota.allows(now) {
            log_change(instance, &change);
        }
    }
}

fn log_change(instance: &instance::Name, change: &RateChange) {
    let describe = |rate: Option<Rate>| rate.map_or_else(|| "none".to_owned(), |r| r.to_string());
    info!(
        event = "backend-limit-changed",
        instance = instance.as_str(),
        from = describe(change.from).as_str(),
        to = describe(change.to).as_str(),
        held_ms = change.held.as_millis() as u64,
        requests = change.requests;
        "the backend server states another limit of requests per second"
    );
}
