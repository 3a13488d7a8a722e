//! Operators: they change routes during a run and read the routes in force at its end.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64;
use serde_json::Value;
use serde_json::json;
use tokio::time;

use crate::history::Change;
use crate::history::Content;
use crate::history::Idempotency;
use crate::history::Routes;
use crate::layout;
use crate::layout::SERVICES;
use crate::plan::ProcessIndex;
use crate::plan::REGISTRIES;
use crate::run::RunContext;
use crate::workspaces;
use shallotrill_bench::http as client;
use shallotrill_bench::http::Request;

/// Maximum time to wait for the response of one registry process.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Time before the request is sent to the next registry process.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Time after which an operator abandons a change, whose outcome is then unknown.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(4);

/// Maximum number of attempts for one request.
const ATTEMPTS_MAX: u32 = 3;

/// A route of the test configuration.
#[derive(Clone, Copy, Debug)]
pub struct Route {
    /// Its name.
    pub name: &'static str,
    /// Host of matching requests.
    pub host: &'static str,
    /// Path prefix of matching requests.
    pub prefix: &'static str,
    /// Whether matching requests may be executed more than once.
    pub idempotency: Idempotency,
    /// Whether matching requests need no key of a workspace.
    pub public: bool,
    /// Initial services, as indices of [`SERVICES`]; several are a traffic split with equal weights.
    pub services: &'static [usize],
}

/// All routes. The first three are constant; the others are changed during a run.
pub const ROUTES: &[Route] = &[
    Route {
        name: "look-up",
        host: "shop.example",
        prefix: "/look-up/",
        idempotency: Idempotency::Idempotent,
        public: false,
        services: &[0],
    },
    Route {
        name: "reserve",
        host: "shop.example",
        prefix: "/reserve/",
        idempotency: Idempotency::NonIdempotent,
        public: false,
        services: &[1],
    },
    Route {
        name: "pay",
        host: "pay.example",
        prefix: "/pay/",
        idempotency: Idempotency::NonIdempotent,
        public: false,
        services: &[2],
    },
    Route {
        name: "moving",
        host: "shop.example",
        prefix: "/moving/",
        idempotency: Idempotency::NonIdempotent,
        public: false,
        services: &[0],
    },
    Route {
        name: "split",
        host: "pay.example",
        prefix: "/split/",
        idempotency: Idempotency::Idempotent,
        public: true,
        services: &[0, 1],
    },
];

/// Number of routes at the start of [`ROUTES`] that are never changed.
const CONSTANT_ROUTES: usize = 3;

fn route_resource(route: &Route, version: u64, services: &[Arc<str>]) -> Value {
    let kind = match route.idempotency {
        Idempotency::Idempotent => "safe",
        Idempotency::NonIdempotent => "unsafe",
    };
    let mut spec = json!({
        "host": route.host,
        "prefix": route.prefix,
        "kind": kind,
        "timeoutS": 2.5,
        "targetLatencyS": 0.5,
        "priority": 1,
        "maxAttempts": ATTEMPTS_MAX,
        "public": route.public,
    });
    if let [service] = services {
        spec["service"] = json!(&**service);
    } else {
        let parts = services
            .iter()
            .map(|s| json!({"service": &**s, "weight": 1}));
        spec["trafficSplit"] = parts.collect();
    }
    json!({"type": "routes", "metadata": {"name": route.name, "version": version}, "spec": spec})
}

fn service_names(indices: &[usize]) -> Vec<Arc<str>> {
    let names = indices.iter().map(|&index| Arc::from(SERVICES[index]));
    names.collect()
}

/// Body of the request for one change.
fn patch(route_index: usize, version: u64, content: &Content) -> Value {
    match content {
        Some(services) => {
            let resource = route_resource(&ROUTES[route_index], version, services);
            json!({"upsert": {"resources": [resource]}, "remove": {"routes": []}})
        }
        None => json!({
            "upsert": {"resources": []},
            "remove": {"routes": [{"name": ROUTES[route_index].name, "version": version}]},
        }),
    }
}

/// Sends the initial configuration; returns whether a registry process accepted it.
pub async fn send_initial_configuration(run_context: &RunContext) -> bool {
    let mut resources: Vec<Value> = ROUTES
        .iter()
        .map(|r| route_resource(r, 1, &service_names(r.services)))
        .collect();
    resources.extend(SERVICES.iter().map(|name| {
        json!({
            "type": "services",
            "metadata": {"name": name, "version": 1},
            "spec": {"healthPath": "/healthz", "maxConnections": 240, "protocol": "h1", "tls": false},
        })
    }));
    resources.extend(workspaces::initial_resources());
    resources.push(json!({
        "type": "limits",
        "metadata": {"version": 1},
        "spec": {"maxHeaderBytes": 16_384, "maxBodyBytes": 1_048_576, "headerTimeoutS": 3, "idleTimeoutS": 15},
    }));
    for (route_index, route) in ROUTES.iter().enumerate() {
        record_change(
            run_context,
            route_index,
            1,
            Some(service_names(route.services)),
        );
    }
    let body = json!({"upsert": {"resources": resources}, "remove": {"routes": []}});
    let accepted = send_with_retries(run_context, 0, &body).await == Some(true);
    if accepted {
        let acknowledged_at_ms = run_context.now();
        let mut history = run_context.history.lock();
        history
            .changes
            .iter_mut()
            .for_each(|change| change.acknowledged_at_ms = Some(acknowledged_at_ms));
    }
    accepted
}

/// Records a change as sent and returns its index in the history.
fn record_change(
    run_context: &RunContext,
    route_index: usize,
    version: u64,
    content: Content,
) -> usize {
    let mut history = run_context.history.lock();
    history.changes.push(Change {
        route: Arc::from(ROUTES[route_index].name),
        prefix: Arc::from(ROUTES[route_index].prefix),
        version,
        content,
        sent_at_ms: run_context.now(),
        acknowledged_at_ms: None,
    });
    history.changes.len() - 1
}

/// Sends a change to the registry processes in turn until one accepts or refuses it; `None` when none does in time.
pub(crate) async fn send_with_retries(
    run_context: &RunContext,
    first: ProcessIndex,
    body: &Value,
) -> Option<bool> {
    let mut request = Request::post("control", "/api/Config.Patch", "", &body.to_string());
    request.headers = vec![("content-type", "application/json".to_owned())];
    let deadline = time::Instant::now() + CHANGE_TIMEOUT;
    let mut registry = first;
    while time::Instant::now() < deadline {
        let address = run_context
            .layout
            .address(registry % REGISTRIES, layout::ADMIN_PORT);
        match client::send(address, &request, RESPONSE_TIMEOUT).await {
            Ok(answer) if answer.status.is_success() => return Some(true),
            Ok(answer) if answer.status.is_client_error() => return Some(false),
            Ok(_) | Err(_) => {}
        }
        registry += 1;
        time::sleep(RETRY_INTERVAL).await;
    }
    None
}

/// Sends and records one change; returns whether it was accepted, or `None` when the outcome is unknown.
async fn send_change(
    run_context: &RunContext,
    route_index: usize,
    version: u64,
    content: Content,
    registry: ProcessIndex,
) -> Option<bool> {
    let index = record_change(run_context, route_index, version, content.clone());
    let body = patch(route_index, version, &content);
    let accepted = send_with_retries(run_context, registry, &body).await;
    if accepted == Some(true) {
        run_context.history.lock().changes[index].acknowledged_at_ms = Some(run_context.now());
    }
    accepted
}

fn random_content(random: &mut Pcg64, route_index: usize) -> Content {
    if random.random_bool(0.2) {
        return None;
    }
    let first = random.random_range(0..SERVICES.len());
    if route_index == ROUTES.len() - 1 {
        Some(service_names(&[first, (first + 1) % SERVICES.len()]))
    } else {
        Some(service_names(&[first]))
    }
}

/// Increments the version that all items share by a random step and returns it.
fn next_version(run_context: &RunContext, random: &mut Pcg64) -> u64 {
    let mut version = run_context.version.lock();
    *version += random.random_range(1..5);
    *version
}

/// Sends random changes one after another.
pub async fn send_changes(run_context: &RunContext, random: &mut Pcg64, count: u32) {
    for _ in 0..count {
        let route_index = random.random_range(CONSTANT_ROUTES..ROUTES.len());
        let content = random_content(random, route_index);
        let version = next_version(run_context, random);
        let registry = random.random_range(0..REGISTRIES);
        if send_change(run_context, route_index, version, content, registry).await == Some(false) {
            let what = format!(
                "version {version} of {} was refused",
                ROUTES[route_index].name
            );
            run_context.record_failure("valid-changes", &what);
        }
    }
}

/// Two operators send different content under one version to two registry processes.
pub async fn send_conflict(run_context: &RunContext, random: &mut Pcg64) {
    let route_index = random.random_range(CONSTANT_ROUTES..ROUTES.len());
    let version = next_version(run_context, random);
    let registry = random.random_range(0..REGISTRIES);
    let (first, second) = (
        random_content(random, route_index),
        random_content(random, route_index),
    );
    if first == second {
        return;
    }
    tokio::join!(
        send_change(run_context, route_index, version, first, registry),
        send_change(run_context, route_index, version, second, registry + 1),
    );
}

/// Reads the routes in force from one registry process; `None` when it does not report them.
pub async fn read_routes(run_context: &RunContext, registry: ProcessIndex) -> Option<Routes> {
    let request = Request::get("control", "/api/Config.Get");
    let address = run_context.layout.address(registry, layout::ADMIN_PORT);
    let answer = client::send(address, &request, RESPONSE_TIMEOUT)
        .await
        .ok()?;
    if !answer.status.is_success() {
        return None;
    }
    let value: Value = serde_json::from_slice(&answer.body).ok()?;
    let mut routes = Routes::new();
    for resource in value["resources"].as_array()? {
        if resource["type"] != "routes" {
            continue;
        }
        let name = Arc::from(resource["metadata"]["name"].as_str()?);
        let version = resource["metadata"]["version"].as_u64()?;
        let spec = &resource["spec"];
        let services = if let Some(service) = spec["service"].as_str() {
            vec![Arc::from(service)]
        } else {
            let parts = spec["trafficSplit"].as_array()?.iter();
            let names = parts.filter_map(|part| part["service"].as_str());
            names.map(Arc::from).collect()
        };
        routes.insert(name, (version, services));
    }
    Some(routes)
}
