//! State dump of a control process as JSON, for operators.

use serde_json::Value;
use serde_json::json;

use crate::state::State;
use shallotrill_consensus::status::Status;

/// Summary of each shared table.
pub(crate) fn state(state: &State) -> Value {
    json!({
        "process": process(state),
        "identity": {
            "instance": state.identity.instance,
            "zone": state.identity.zone,
            "region": state.identity.region,
            "member": state.identity.peer.id,
            "disk": format!("{:032x}", state.identity.peer.disk.0),
        },
        "log": log(state),
        "configuration": configuration(state),
        "claims": claims(state),
        "members": members(state),
    })
}

fn process(state: &State) -> Value {
    match state.process.info() {
        Ok(info) => json!(info),
        Err(error) => json!({ "error": error.to_string() }),
    }
}

fn log(state: &State) -> Value {
    let now = state.now();
    let log = state.log.lock();
    json!({
        "status": log.replica.as_ref().map(|replica| status(&replica.status(now))),
        "waiting": log.waiting,
        "readers": log.readers.len(),
        "behind_ms": state.time_since_current().map(|age| age.as_millis() as u64),
    })
}

fn status(status: &Status) -> Value {
    let members: Vec<Value> = status
        .members
        .iter()
        .map(|progress| {
            json!({
                "id": progress.member.peer.id.0,
                // As text, because JSON numbers do not represent 128 bits.
                "disk": format!("{:032x}", progress.member.peer.disk.0),
                "role": format!("{:?}", progress.member.role).to_lowercase(),
                "matched": progress.matched.map(|index| index.0),
                "heard_ms": progress.last_contact.map(|elapsed| elapsed.as_millis() as u64),
            })
        })
        .collect();
    json!({
        "role": format!("{:?}", status.role).to_lowercase(),
        "term": status.term.0,
        "leader": status.leader.map(|leader| leader.id.0),
        "applied": status.applied.0,
        "members": members,
    })
}

fn configuration(state: &State) -> Value {
    let catalog = state.catalog.lock();
    let usage = catalog.usage();
    json!({
        "revision": catalog.revision(),
        "index": catalog.index(),
        "services": catalog.services().len(),
        "drains": catalog.drains().len(),
        "history": catalog.history().len(),
        "bytes": {
            "services": usage.services_bytes,
            "entries": usage.entries_bytes,
            "removals": usage.removals_bytes,
            "history": usage.history_bytes,
            "sent": usage.reply_cache_bytes,
        },
    })
}

fn claims(state: &State) -> Value {
    let counters = state.claims_journal.counters();
    let failure = state
        .claims_journal
        .failure()
        .map(|failure| failure.to_string());
    let claims = state.claims.lock();
    json!({
        "group": claims.acceptor.group(),
        "registers": claims.acceptor.table().len(),
        "bytes": claims.acceptor.table().bytes(),
        "horizon_ms": claims.acceptor.horizon(),
        "journal": {
            "appends": counters.appends,
            "syncs": counters.syncs,
            "sync_us": counters.sync_us,
            "bytes": counters.bytes,
            "failure": failure,
        },
    })
}

fn members(state: &State) -> Value {
    let now = state.now();
    let members = state.members.lock();
    let live = members.table.rows().filter(|row| row.is_live()).count();
    json!({
        "live": live,
        "direct": members.table.direct_lease_count(),
        "version": members.table.version(),
        "status": format!("{:?}", members.table.status()),
        "nodes": members.nodes.all().len(),
        "control_processes_heard": members.reachable_count(now),
        "crash_facts": members.crashes.len(),
    })
}
