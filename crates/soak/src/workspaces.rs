//! Workspaces of a run: their keys, a key that is taken away and given back, and the invariants about them.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64;
use serde_json::Value;
use serde_json::json;
use tokio::time;

use crate::check::DISTURBANCE_EFFECT_MS;
use crate::check::SLACK_MS;
use crate::history::Arrival;
use crate::history::History;
use crate::history::KeyChange;
use crate::operator;
use crate::run::RunContext;

/// A workspace of the test configuration.
#[derive(Debug)]
pub struct Workspace {
    /// Its name.
    pub name: &'static str,
    /// Its keys at the start.
    pub keys: &'static [&'static str],
    /// Requests per second; zero without a limit.
    pub rate: u32,
    /// Requests that it may send at once.
    pub burst: u32,
}

/// All workspaces.
pub const WORKSPACES: &[Workspace] = &[
    Workspace {
        name: "north",
        keys: &[CONSTANT_KEY],
        rate: 0,
        burst: 0,
    },
    Workspace {
        name: "south",
        keys: &["key-of-south", CHANGING_KEY],
        rate: 0,
        burst: 0,
    },
    Workspace {
        name: "limited",
        keys: &["key-of-limited"],
        rate: 10,
        burst: 5,
    },
];

/// Key that is always valid, of a workspace without a limit.
pub const CONSTANT_KEY: &str = "key-of-north";

/// Key that is taken away from its workspace and given back during a run.
pub const CHANGING_KEY: &str = "second-key-of-south";

/// Index of the workspace whose keys change.
const CHANGING_WORKSPACE: usize = 1;

/// Key that no workspace ever holds.
pub const UNKNOWN_KEY: &str = "key-of-nobody";

/// Share of requests with the unknown key.
const UNKNOWN_SHARE: f64 = 0.02;

/// Time between two changes of the keys.
const CHANGE_INTERVAL: Duration = Duration::from_millis(2_500);

/// Time within which an acknowledged change is in force at all routers, in milliseconds.
const APPLY_TIMEOUT_MS: u64 = 2_000;

/// Length of the window of an allotment, in milliseconds.
const WINDOW_MS: u64 = 5_000;

/// Requests beyond the allotment that are tolerated in a window, as a share of it and in addition to that.
const OVERAGE: f64 = 0.1;
const SLACK_REQUESTS: f64 = 20.0;

/// Key of a random request.
pub fn random_key(random: &mut Pcg64) -> &'static str {
    if random.random_bool(UNKNOWN_SHARE) {
        return UNKNOWN_KEY;
    }
    let keys = WORKSPACES.iter().flat_map(|w| w.keys);
    let keys: Vec<&str> = keys.copied().collect();
    keys[random.random_range(0..keys.len())]
}

/// Name of the workspace to which a key may belong; empty for an unknown key.
fn holder(key: &str) -> &'static str {
    let mut workspaces = WORKSPACES.iter();
    let found = workspaces.find(|workspace| workspace.keys.contains(&key));
    found.map_or("", |workspace| workspace.name)
}

fn resource(workspace: &Workspace, keys: &[&str], version: u64) -> Value {
    json!({
        "type": "tenants",
        "metadata": {"name": workspace.name, "version": version},
        "spec": {
            "apiKeys": keys,
            "priority": 1,
            "ratePerS": workspace.rate,
            "burst": workspace.burst,
        },
    })
}

/// The workspaces in the initial configuration.
pub fn initial_resources() -> impl Iterator<Item = Value> {
    WORKSPACES.iter().map(|w| resource(w, w.keys, 1))
}

/// Takes a key away and gives it back in turn until the callers stop.
pub async fn change_keys(run_context: Arc<RunContext>) {
    let workspace = &WORKSPACES[CHANGING_WORKSPACE];
    let mut stopped = run_context.callers_stopped.clone();
    let mut valid = true;
    let mut version = 1;
    loop {
        tokio::select! {
            _ = stopped.wait_for(|stopped| *stopped) => return,
            () = time::sleep(CHANGE_INTERVAL) => {}
        }
        valid = !valid;
        version += 1;
        let keys = if valid {
            workspace.keys
        } else {
            &workspace.keys[..1]
        };
        let body = json!({"upsert": {"resources": [resource(workspace, keys, version)]}});
        let index = {
            let mut history = run_context.history.lock();
            history.key_changes.push(KeyChange {
                valid,
                sent_at_ms: run_context.now(),
                acknowledged_at_ms: None,
            });
            history.key_changes.len() - 1
        };
        let accepted = operator::send_with_retries(&run_context, 0, &body).await;
        match accepted {
            Some(true) => {
                let now = run_context.now();
                run_context.history.lock().key_changes[index].acknowledged_at_ms = Some(now);
            }
            Some(false) => {
                run_context.record_failure("valid-changes", "a change of keys was refused");
            }
            None => {}
        }
    }
}

/// A request runs for the workspace that holds its key, or not at all.
pub fn own_workspace(history: &History) -> Vec<String> {
    let violations = history.arrivals.iter().filter_map(|arrival| {
        if arrival.has_key {
            return Some(format!("{} arrived with its key", arrival.request));
        }
        let sent = history.requests.get(&arrival.request)?;
        let expected = if sent.public { "" } else { holder(sent.key) };
        if *arrival.workspace != *expected {
            return Some(format!(
                "{} was sent by '{expected}' and arrived as of '{}'",
                arrival.request, arrival.workspace
            ));
        }
        let unknown = !sent.public && sent.key == UNKNOWN_KEY;
        unknown.then(|| format!("{} arrived with a key that nobody holds", arrival.request))
    });
    violations.collect()
}

/// A key that was taken away is not accepted once the change has had time to take effect.
pub fn revoked_keys(history: &History) -> Vec<String> {
    let violations = history.arrivals.iter().filter_map(|arrival| {
        let sent = history.requests.get(&arrival.request)?;
        if sent.public || sent.key != CHANGING_KEY {
            return None;
        }
        let mut changes = history.key_changes.iter();
        let last = changes.rfind(|change| change.sent_at_ms <= sent.at_ms)?;
        let acknowledged_at_ms = last.acknowledged_at_ms.filter(|_| !last.valid)?;
        let in_force_at_ms = acknowledged_at_ms + APPLY_TIMEOUT_MS + SLACK_MS;
        let from_ms = acknowledged_at_ms.saturating_sub(DISTURBANCE_EFFECT_MS);
        let violated =
            sent.at_ms > in_force_at_ms && history.is_undisturbed(from_ms, arrival.at_ms);
        violated.then(|| {
            format!(
                "{} arrived with a key that was taken away at {acknowledged_at_ms}",
                arrival.request
            )
        })
    });
    violations.collect()
}

/// A workspace gets no more requests than its allotment allows in any window.
pub fn allotments(history: &History) -> Vec<String> {
    let mut violations = Vec::new();
    for workspace in WORKSPACES.iter().filter(|workspace| workspace.rate > 0) {
        let allowed = f64::from(workspace.rate) * WINDOW_MS as f64 / 1_000.0;
        let allowed = (allowed + f64::from(workspace.burst)) * (1.0 + OVERAGE) + SLACK_REQUESTS;
        let executed: Vec<(u64, &Arrival)> = history
            .arrivals
            .iter()
            .filter(|a| a.executed && *a.workspace == *workspace.name)
            .filter_map(|a| Some((history.requests.get(&a.request)?.at_ms, a)))
            .collect();
        for (from_ms, _) in &executed {
            let until_ms = from_ms + WINDOW_MS;
            let inside = |(sent_ms, arrival): &&(u64, &Arrival)| {
                sent_ms >= from_ms && arrival.at_ms < until_ms
            };
            let count = executed.iter().filter(inside).count();
            if count as f64 > allowed {
                violations.push(format!(
                    "{} got {count} requests from {from_ms} to {until_ms}, but {allowed:.0} are allowed",
                    workspace.name
                ));
                break;
            }
        }
    }
    violations
}
