//! Whether the local backend server is cold, from its announcements and its health responses.
//!
//! The gate keeps the pace of a cold backend server. It becomes cold at any moment, so its health path
//! is asked regularly; a statement tells how long it stays cold, and no further one is needed at the end.

use std::time::Duration;

use log::info;

use crate::backend::ServerState;
use crate::state::State;
use shallotrill_items::route::WarmUp;
use shallotrill_items::table::Table;
use shallotrill_model::rate::Rate;
use shallotrill_model::time::Instant;

/// Time for which a health response takes precedence over announcements that state that the backend server is warm:
/// an announcement may have been written before the response.
const RESPONSE_PRECEDENCE: Duration = Duration::from_secs(1);

/// Longest remaining time that is believed. Warm-ups take seconds; an absurd number must not limit a backend server
/// until its next statement.
const REMAINING_MAX: Duration = Duration::from_mins(10);

/// Interval of the health checks that ask whether a backend server with a warm-up has become cold. At 30 requests per
/// second, six of them arrive before it is known.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// What the configuration states about cold targets of the local service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Rule {
    /// This router has no items yet.
    #[default]
    Unknown,
    /// The service states no rate.
    Absent,
    /// The service states what a cold target accepts.
    Stated(WarmUp),
}

impl Rule {
    /// The rule in `items` for a service.
    pub fn read(items: &Table, service: &shallotrill_model::service::Name) -> Self {
        if items.is_empty() {
            return Self::Unknown;
        }
        let warm_up = items.service(service).and_then(|service| service.warm_up);
        warm_up.map_or(Self::Absent, Self::Stated)
    }

    /// The rate of a cold target. Nothing is admitted to one while its rate is not known.
    pub const fn rate(self) -> Option<Rate> {
        match self {
            Self::Unknown => Some(Rate::from_millihertz(0)),
            Self::Absent => None,
            Self::Stated(warm_up) => Some(warm_up.rate),
        }
    }
}

/// Statements of one incarnation about its warm-up.
#[derive(Clone, Copy, Debug)]
pub struct Statements {
    /// Until when it is cold; `None` before the first statement.
    until: Option<Instant>,
    known_since: Instant,
    last_response: Option<Instant>,
}

impl Statements {
    /// Nothing is stated yet.
    pub const fn new(now: Instant) -> Self {
        Self {
            until: None,
            known_since: now,
            last_response: None,
        }
    }

    /// Applies an announcement; `None` when it states nothing.
    pub fn announce(&mut self, remaining: Option<Duration>, now: Instant) {
        let Some(remaining) = remaining else {
            return;
        };
        let until = now + remaining.min(REMAINING_MAX);
        let has_recent_response = self
            .last_response
            .is_some_and(|at| now.since(at) < RESPONSE_PRECEDENCE);
        self.until = match self.until {
            Some(known) if !remaining.is_zero() || has_recent_response => Some(known.max(until)),
            _ => Some(until),
        };
    }

    /// Applies a health response.
    pub fn respond(&mut self, remaining: Duration, now: Instant) {
        self.until = Some(now + remaining.min(REMAINING_MAX));
        self.last_response = Some(now);
    }

    /// Whether the backend server is cold. Without a statement it counts as cold for the period of its warm-up,
    /// because this router may have been restarted.
    pub fn is_cold(&self, rule: Rule, now: Instant) -> bool {
        match (self.until, rule) {
            (Some(until), _) => now < until,
            (None, Rule::Stated(warm_up)) => now.since(self.known_since) < warm_up.period,
            (None, _) => false,
        }
    }

    /// Whether a health check is due that asks whether the backend server has become cold. `last_sent` is the last
    /// one, whose response may have stated nothing.
    pub fn is_check_due(&self, rule: Rule, last_sent: Option<Instant>, now: Instant) -> bool {
        let last = self.last_response.max(last_sent);
        let is_recent = last.is_some_and(|at| now.since(at) < CHECK_INTERVAL);
        matches!(rule, Rule::Stated(_)) && !is_recent
    }
}

/// Applies the present time to the local backend server, and publishes and logs when it becomes cold or warm.
pub fn refresh(state: &State) {
    let now = state.now();
    let (is_cold, rate, instance) = {
        let mut backend = state.backend.lock();
        let Some(server) = &mut backend.current else {
            return;
        };
        if !server.refresh_cold(now) {
            return;
        }
        let rate = server.cold_rate();
        (server.is_cold(), rate, server.announcement.instance.clone())
    };
    state.pace_changed.notify_one();
    report(state, instance.as_str(), is_cold, rate);
    state.publish();
}

/// Reports a change in the log and in the metrics.
pub(crate) fn report(state: &State, instance: &str, is_cold: bool, rate: Option<Rate>) {
    state.metrics.backend_cold.set(i64::from(is_cold));
    let event = if is_cold {
        "backend-cold"
    } else {
        "backend-warm"
    };
    let rate = rate.map_or_else(|| "none".to_owned(), |rate| rate.to_string());
    info!(event = event, instance = instance, rate = rate.as_str(); "the local backend server has become cold or warm");
}

impl ServerState {
    /// Applies the rule of the configuration.
    pub(crate) fn set_rule(&mut self, rule: Rule, now: Instant) {
        self.cold_rule = rule;
        self.apply_cold(now);
    }

    /// Applies the present time and the statements. Returns whether the backend server has become cold or warm.
    pub(crate) fn refresh_cold(&mut self, now: Instant) -> bool {
        let is_cold = self.cold.is_cold(self.cold_rule, now);
        if self.is_cold == is_cold {
            return false;
        }
        self.apply_cold(now);
        true
    }

    fn apply_cold(&mut self, now: Instant) {
        self.is_cold = self.cold.is_cold(self.cold_rule, now);
        let rate = self.cold_rule.rate();
        let effect = self.gate.set_warm_up(rate, self.is_cold, now);
        self.notify_waiting(effect);
    }

    /// Whether the backend server is cold, as of the last call that applied the time.
    pub const fn is_cold(&self) -> bool {
        self.is_cold
    }

    /// The rate that the gate keeps because the backend server is cold.
    pub fn cold_rate(&self) -> Option<Rate> {
        self.cold_rule.rate().filter(|_| self.is_cold)
    }
}
