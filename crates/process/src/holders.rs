//! Metrics of what a process keeps for others: memory by kind of holder, and connections by listener.

use std::sync::Arc;

use crate::metrics;
use crate::metrics::Error;
use crate::metrics::Gauges;
use crate::metrics::LabelSet;
use crate::metrics::Registry;
use shallotrill_limits::memory::Kind;
use shallotrill_wire::budget::Budget;
use shallotrill_wire::listen::Limit;

/// The metrics of a process's budget.
#[derive(Debug)]
pub struct Holders {
    held: Gauges,
    refusals: Gauges,
    connections: Gauges,
    closed: Gauges,
}

impl Holders {
    /// Registers the metrics. `role` is part of their names.
    ///
    /// # Errors
    ///
    /// Returns an error when a name is not valid.
    pub fn new(registry: &Registry, role: &str) -> Result<Self, Error> {
        let name = |suffix: &str| format!("shallotrill_{role}_{suffix}");
        Ok(Self {
            held: registry.gauges(
                &name("held_bytes"),
                "Memory that is kept for others, by kind of holder.",
                LabelSet::new("kind", Kind::ALL.len()),
            )?,
            refusals: registry.gauges(
                &name("memory_refusals"),
                "Times that a kind of holder had no room in memory since the start.",
                LabelSet::new("kind", Kind::ALL.len()),
            )?,
            connections: registry.gauges(
                &name("connections"),
                "Open connections, by listener.",
                LabelSet::new("listener", 4),
            )?,
            closed: registry.gauges(
                &name("connections_closed"),
                "Idle connections that were closed for new ones since the start, by listener.",
                LabelSet::new("listener", 4),
            )?,
        })
    }

    /// Sets the metrics to the present use.
    pub fn set(&self, budget: &Budget, listeners: &[&Arc<Limit>]) {
        for kind in Kind::ALL {
            let name = kind.as_str();
            self.held.of(name).set(metrics::count(budget.used(kind)));
            let refusals = metrics::count(budget.refusals(kind));
            self.refusals.of(name).set(refusals);
        }
        for limit in listeners {
            let open = metrics::count(limit.open());
            self.connections.of(limit.name()).set(open);
            self.closed
                .of(limit.name())
                .set(metrics::count(limit.closed()));
        }
    }
}
