//! The state dump of a node, which operators read as JSON.

use serde_json::Value;
use serde_json::json;

use crate::cache;
use crate::state::State;
use crate::sync;

/// State of all tables of this process.
pub(crate) fn state(state: &State) -> Value {
    json!({
        "process": process(state),
        "identity": {
            "instance": state.identity.instance,
            "zone": state.identity.zone,
            "region": state.identity.region,
            "peer_address": state.identity.address,
            "stopping": state.is_stopping(),
        },
        "configuration": configuration(state),
        "control": control(state),
        "target": target(state),
        "targets": targets(state),
        "services": services(state),
        "joined": coalesced(state),
        "connections": connections(state),
    })
}

fn process(state: &State) -> Value {
    match state.process.info() {
        Ok(info) => json!(info),
        Err(error) => json!({ "error": error.to_string() }),
    }
}

fn configuration(state: &State) -> Value {
    let cached = state.cache.as_deref().and_then(cache::age);
    let catalog = state.catalog.lock();
    json!({
        "cache_age_ms": cached.map(|age| age.as_millis() as u64),
        "revision": catalog.revision,
        "services": catalog.services.len(),
        "drains": catalog.drains,
    })
}

fn control(state: &State) -> Value {
    let control_sync = state.sync.lock();
    json!({
        "address": state.control.current(),
        "last_answer_age_ms": state.contact_age().map(|age| age.as_millis() as u64),
        "control_behind_ms": control_sync.control_staleness.map(|age| age.as_millis() as u64),
        "registered": control_sync.registered,
        "crashes_to_report": control_sync.crashes.len(),
    })
}

fn target(state: &State) -> Value {
    let now = state.now();
    let incarnation = sync::incarnation(state);
    let mut local = state.local.lock();
    let draining = local.is_draining(now);
    let drained = local.drained;
    let Some(server) = &mut local.server else {
        return Value::Null;
    };
    let budget = server.probe_budget.totals();
    json!({
        "service": server.service,
        "incarnation": incarnation,
        "address": server.address,
        "slots": server.slots,
        "announced": server.announced_state,
        "announced_age_ms": now.since(server.last_announcement).as_millis() as u64,
        "up_ms": now.since(server.first_announcement).as_millis() as u64,
        "draining": draining,
        "drained_by_operator": drained,
        "crashed": server.crashed,
        "load": server.report(now),
        "probe_budget": budget,
    })
}

fn targets(state: &State) -> Value {
    let now = state.now();
    let targets = state.targets.lock();
    let view = &targets.view;
    json!({
        "known": view.rows().len(),
        "version": view.version(),
        "age_ms": view.age(now).map(|age| age.as_millis() as u64),
        "source_suspects_itself": view.suspect(),
        "unconfirmed": view.unconfirmed_count(),
        "interest": targets.interest.iter().map(|interest| &interest.service).collect::<Vec<_>>(),
    })
}

fn services(state: &State) -> Value {
    let now = state.now();
    let mut tables = state.services.lock();
    let services = tables.services.iter_mut().map(|(name, service)| {
        let suspects = service.containment.suspects();
        json!({
            "service": name,
            "retry_tokens": service.retry_budget.remaining(),
            "retries_spent": service.retry_budget.spent(),
            "retries_refused": service.retry_budget.refused(),
            "latency_p95_us": service.latency.p95(now).map(|p95| p95.as_micros() as u64),
            "suspects": suspects.iter().map(|suspect| json!({
                "digest": suspect.digest,
                "crashes": suspect.crashes,
                "weight_permille": suspect.weight_permille,
                "quarantined_for_ms": suspect.quarantined
                    .map(|until| until.since(now).as_millis() as u64),
                "facts": suspect.records,
            })).collect::<Vec<_>>(),
        })
    });
    Value::Array(services.collect())
}

fn coalesced(state: &State) -> Value {
    let now = state.now();
    let coalesced = state.coalesced.lock();
    let entries = coalesced.table.entries().iter().map(|entry| {
        json!({
            "leader": entry.leader,
            "followers": entry.followers.len(),
            "age_ms": now.since(entry.since).as_millis() as u64,
        })
    });
    Value::Array(entries.collect())
}

fn connections(state: &State) -> Value {
    let backend = state.backend.counts();
    let peers = state.peers.counts();
    json!({
        "backend": {
            "open": backend.open,
            "idle": backend.idle,
            "limit": backend.limit,
            "opened": backend.opened,
            "waited_for": backend.waited,
            "closed_in_use": backend.closed_in_use,
            "silent": backend.silent,
        },
        "peers": {
            "nodes": peers.nodes,
            "opened": peers.opened,
            "replaced": peers.replaced,
        },
    })
}
