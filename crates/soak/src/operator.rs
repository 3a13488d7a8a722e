//! Operators: what they change, and what the registry processes tell them at the end.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64;
use serde_json::Value;
use serde_json::json;
use tokio::time;

use crate::layout;
use crate::layout::SERVICES;
use crate::ledger::Change;
use crate::ledger::Content;
use crate::ledger::Kind;
use crate::ledger::Routes;
use crate::plan::Process;
use crate::plan::REGISTRIES;
use crate::run::Scene;
use shallotrill_bench::http as client;
use shallotrill_bench::http::Request;

/// Longest wait for the answer of one registry process.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause before the next registry process is asked.
const PAUSE: Duration = Duration::from_millis(100);

/// An operator gives a change up after this time; it may be in force or not.
const GIVE_UP: Duration = Duration::from_secs(4);

/// Targets that one request may be sent to.
const ATTEMPTS: u32 = 3;

/// A route of the runs.
#[derive(Clone, Copy, Debug)]
pub struct Route {
    /// Its name.
    pub name: &'static str,
    /// Host of its requests.
    pub host: &'static str,
    /// Begin of their paths.
    pub prefix: &'static str,
    /// What may happen to them.
    pub kind: Kind,
    /// Services at the start, as indices; more than one is a split with equal weights.
    pub services: &'static [usize],
}

/// All routes. The first three stay; the others are changed during a run.
pub const ROUTES: &[Route] = &[
    Route {
        name: "look-up",
        host: "shop.example",
        prefix: "/look-up/",
        kind: Kind::Idempotent,
        services: &[0],
    },
    Route {
        name: "reserve",
        host: "shop.example",
        prefix: "/reserve/",
        kind: Kind::NonIdempotent,
        services: &[1],
    },
    Route {
        name: "pay",
        host: "pay.example",
        prefix: "/pay/",
        kind: Kind::NonIdempotent,
        services: &[2],
    },
    Route {
        name: "moving",
        host: "shop.example",
        prefix: "/moving/",
        kind: Kind::NonIdempotent,
        services: &[0],
    },
    Route {
        name: "split",
        host: "pay.example",
        prefix: "/split/",
        kind: Kind::Idempotent,
        services: &[0, 1],
    },
];

/// Routes that are never changed.
const STAYING: usize = 3;

fn route(route: &Route, version: u64, services: &[Arc<str>]) -> Value {
    let kind = match route.kind {
        Kind::Idempotent => "safe",
        Kind::NonIdempotent => "unsafe",
    };
    let mut spec = json!({
        "host": route.host,
        "prefix": route.prefix,
        "kind": kind,
        "timeoutS": 2.5,
        "targetLatencyS": 0.5,
        "priority": 1,
        "maxAttempts": ATTEMPTS,
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

fn named(indices: &[usize]) -> Vec<Arc<str>> {
    let names = indices.iter().map(|&index| Arc::from(SERVICES[index]));
    names.collect()
}

/// What an operator sends for one change.
fn patch(place: usize, version: u64, content: &Content) -> Value {
    match content {
        Some(services) => {
            let resource = route(&ROUTES[place], version, services);
            json!({"upsert": {"resources": [resource]}, "remove": {"routes": []}})
        }
        None => json!({
            "upsert": {"resources": []},
            "remove": {"routes": [{"name": ROUTES[place].name, "version": version}]},
        }),
    }
}

/// Sends the first configuration until it is accepted.
pub async fn first(scene: &Scene) -> bool {
    let mut resources: Vec<Value> = ROUTES
        .iter()
        .map(|r| route(r, 1, &named(r.services)))
        .collect();
    resources.extend(SERVICES.iter().map(|name| {
        json!({
            "type": "services",
            "metadata": {"name": name, "version": 1},
            "spec": {"healthPath": "/healthz", "maxConnections": 240, "protocol": "h1", "tls": false},
        })
    }));
    resources.push(json!({
        "type": "limits",
        "metadata": {"version": 1},
        "spec": {"maxHeaderBytes": 16_384, "maxBodyBytes": 1_048_576, "headerTimeoutS": 3, "idleTimeoutS": 15},
    }));
    for (place, route) in ROUTES.iter().enumerate() {
        note(scene, place, 1, Some(named(route.services)));
    }
    let body = json!({"upsert": {"resources": resources}, "remove": {"routes": []}});
    let accepted = insist(scene, 0, &body).await == Some(true);
    if accepted {
        let at = scene.now();
        let mut ledger = scene.ledger.lock();
        ledger
            .changes
            .iter_mut()
            .for_each(|change| change.acknowledged = Some(at));
    }
    accepted
}

/// Notes a change as sent and returns its place in the ledger.
fn note(scene: &Scene, place: usize, version: u64, content: Content) -> usize {
    let mut ledger = scene.ledger.lock();
    ledger.changes.push(Change {
        route: Arc::from(ROUTES[place].name),
        prefix: Arc::from(ROUTES[place].prefix),
        version,
        content,
        sent: scene.now(),
        acknowledged: None,
    });
    ledger.changes.len() - 1
}

/// Sends a change to one registry process after another until a clear answer comes.
async fn insist(scene: &Scene, first: Process, body: &Value) -> Option<bool> {
    let mut ask = Request::post("control", "/api/Config.Patch", "", &body.to_string());
    ask.headers = vec![("content-type", "application/json".to_owned())];
    let end = time::Instant::now() + GIVE_UP;
    let mut at = first;
    while time::Instant::now() < end {
        let address = scene.layout.at(at % REGISTRIES, layout::ADMIN);
        match client::send(address, &ask, ANSWER_TIMEOUT).await {
            Ok(answer) if answer.status.is_success() => return Some(true),
            Ok(answer) if answer.status.is_client_error() => return Some(false),
            Ok(_) | Err(_) => {}
        }
        at += 1;
        time::sleep(PAUSE).await;
    }
    None
}

/// Sends one change and returns the clear answer, if one came.
async fn change(
    scene: &Scene,
    place: usize,
    version: u64,
    content: Content,
    registry: Process,
) -> Option<bool> {
    let index = note(scene, place, version, content.clone());
    let body = patch(place, version, &content);
    let answered = insist(scene, registry, &body).await;
    if answered == Some(true) {
        scene.ledger.lock().changes[index].acknowledged = Some(scene.now());
    }
    answered
}

fn drawn(random: &mut Pcg64, place: usize) -> Content {
    if random.random_bool(0.2) {
        return None;
    }
    let first = random.random_range(0..SERVICES.len());
    if place == ROUTES.len() - 1 {
        Some(named(&[first, (first + 1) % SERVICES.len()]))
    } else {
        Some(named(&[first]))
    }
}

/// The next version of all items, in uneven steps.
fn next(scene: &Scene, random: &mut Pcg64) -> u64 {
    let mut version = scene.version.lock();
    *version += random.random_range(1..5);
    *version
}

/// Sends changes one after another.
pub async fn changes(scene: &Scene, random: &mut Pcg64, count: u32) {
    for _ in 0..count {
        let place = random.random_range(STAYING..ROUTES.len());
        let content = drawn(random, place);
        let version = next(scene, random);
        let registry = random.random_range(0..REGISTRIES);
        if change(scene, place, version, content, registry).await == Some(false) {
            let what = format!("version {version} of {} was refused", ROUTES[place].name);
            scene.fail("valid-changes", &what);
        }
    }
}

/// Two operators send different content under one version to two registry processes.
pub async fn race(scene: &Scene, random: &mut Pcg64) {
    let place = random.random_range(STAYING..ROUTES.len());
    let version = next(scene, random);
    let registry = random.random_range(0..REGISTRIES);
    let (first, second) = (drawn(random, place), drawn(random, place));
    if first == second {
        return;
    }
    tokio::join!(
        change(scene, place, version, first, registry),
        change(scene, place, version, second, registry + 1),
    );
}

/// The routes in force, as one registry process tells them; nothing when it does not.
pub async fn read_back(scene: &Scene, registry: Process) -> Option<Routes> {
    let ask = Request::get("control", "/api/Config.Get");
    let address = scene.layout.at(registry, layout::ADMIN);
    let answer = client::send(address, &ask, ANSWER_TIMEOUT).await.ok()?;
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
