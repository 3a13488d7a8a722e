//! The effect of items in force on the gate and the routing table: warm-ups of services and evacuated zones.

use std::sync::Arc;

use log::info;
use log::warn;

use crate::backend::Backend;
use crate::backend::ServerState;
use crate::cold;
use crate::cold::Rule;
use crate::state::State;
use shallotrill_items::item::Content;
use shallotrill_items::item::Item;
use shallotrill_items::item::Kind;
use shallotrill_items::table::Table;
use shallotrill_limits::pace;
use shallotrill_model::instance;
use shallotrill_model::rate::Rate;
use shallotrill_model::service;
use shallotrill_model::time::Instant;
use shallotrill_model::zone;
use shallotrill_process::metrics;
use shallotrill_routing::choice::Refusal;

/// Applies the table to the gate and to the choice of targets after `changed` items came into force. The lock of the
/// items is held, so that an older table is not applied later.
pub(crate) fn apply(state: &State, table: &Table, changed: &[Arc<Item>]) {
    let concerns = |kind| changed.iter().any(|item| item.key.kind == kind);
    let now = state.now();
    let zones = table.evacuated_zones();
    {
        let mut routing = state.routing.lock();
        if concerns(Kind::Service) {
            routing.set_warm_up_rates(warm_up_rates(table), now);
        }
        routing.set_evacuated_zones(zones, now);
    }
    let is_evacuated = zones.binary_search(&state.settings.zone).is_ok();
    let (became_cold, (has_changed, refused)) = {
        let mut backend = state.backend.lock();
        let rule = Rule::read(table, &state.settings.service);
        (
            backend.set_rule(rule, now),
            backend.set_evacuated(is_evacuated),
        )
    };
    if let Some((instance, is_cold, rate)) = became_cold {
        state.pace_changed.notify_one();
        cold::report(state, instance.as_str(), is_cold, rate);
        state.publish();
    }
    if concerns(Kind::Evacuation) {
        state
            .metrics
            .evacuation
            .zones
            .set(metrics::count(zones.len()));
        log_zones(zones);
    }
    if has_changed {
        state.metrics.evacuation.here.set(i64::from(is_evacuated));
        let event = if is_evacuated {
            "gate-evacuated"
        } else {
            "gate-reopened"
        };
        info!(event = event, zone = state.settings.zone.as_str(), refused = refused; "the evacuation of this zone has started or ended");
    }
}

fn log_zones(zones: &[zone::Name]) {
    let names: Vec<&str> = zones.iter().map(zone::Name::as_str).collect();
    info!(event = "evacuations-changed", zones = names.join(",").as_str(); "targets of these zones take no requests");
}

/// Rates of all services with a warm-up, sorted by service.
fn warm_up_rates(table: &Table) -> Vec<(service::Name, Rate)> {
    let rates = table.items().iter().filter_map(|item| {
        let Content::Service(service) = &item.content else {
            return None;
        };
        let name = service::Name::new(&item.key.name).ok()?;
        Some((name, pace::cold_rate(service.warm_up?.rate)))
    });
    rates.collect()
}

/// Reports a request without a target if the reason is an evacuation: the rule has no exception, and the operator
/// decides whether to end the evacuation.
pub(crate) fn report(state: &State, service: &service::Name, refusal: &Refusal) {
    if let Refusal::AllEvacuated { evacuated, .. } = refusal {
        state.metrics.evacuation.refusals.inc();
        if state.routine_log_quota.allows(state.now()) {
            warn!(event = "service-evacuated", service = service.as_str(), targets = evacuated; "requests are refused because all targets of the service are in evacuated zones");
        }
    }
}

impl Backend {
    /// Applies the rule for cold targets to this and later incarnations. Returns the current one, whether it is cold
    /// and its rate, if it becomes cold or warm by that.
    pub fn set_rule(
        &mut self,
        rule: Rule,
        now: Instant,
    ) -> Option<(instance::Name, bool, Option<Rate>)> {
        if self.cold_rule == rule {
            return None;
        }
        self.cold_rule = rule;
        let current = self.current.as_mut()?;
        let was_cold = current.is_cold();
        current.set_rule(rule, now);
        let is_cold = current.is_cold();
        let instance = || current.announcement.instance.clone();
        (is_cold != was_cold).then(|| (instance(), is_cold, current.cold_rate()))
    }

    /// Sets whether the zone of this router is evacuated, for this and later incarnations. Waiting requests are refused
    /// and running ones finish. Returns whether that is new and how many requests were refused.
    pub fn set_evacuated(&mut self, evacuated: bool) -> (bool, usize) {
        if self.evacuated == evacuated {
            return (false, 0);
        }
        self.evacuated = evacuated;
        let current = self.current.as_mut();
        (true, current.map_or(0, |c| c.set_evacuated(evacuated)))
    }
}

impl ServerState {
    pub(crate) fn set_evacuated(&mut self, evacuated: bool) -> usize {
        self.evacuated = evacuated;
        if evacuated {
            let effect = self.gate.drain();
            let refused = effect.refused.len();
            self.notify_waiting(effect);
            return refused;
        }
        if !self.is_draining() {
            self.gate.undrain();
        }
        0
    }

    /// Whether the backend server takes no requests now: it is leaving, or its zone is evacuated.
    pub const fn is_withheld(&self) -> bool {
        self.is_draining() || self.evacuated
    }
}
