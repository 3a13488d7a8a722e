//! A stand-in for a backend server, in the process of the soak.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::Mutex;
use tokio::sync::Semaphore;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;
use tokio::time;

use crate::layout;
use crate::ledger;
use crate::ledger::Arrival;
use crate::plan::Process;
use crate::run::Scene;
use shallotrill_bench::http as client;
use shallotrill_bench::http::Request as HttpRequest;

/// Requests that it runs at once.
const SLOTS: usize = 6;

/// Requests that wait for a slot.
const QUEUE: usize = 4;

/// Interval of announcements.
const BEAT: Duration = Duration::from_millis(500);

/// Longest wait for the acknowledgement of an announcement.
const BEAT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for one request at the usual speed.
const WORK_MS: std::ops::Range<u64> = 5..60;

/// It serves on for this time after its departure was acknowledged.
const STAY: Duration = Duration::from_secs(3);

/// It leaves without an acknowledgement after this time.
const LEAVE_LIMIT: Duration = Duration::from_secs(8);

/// Time between the end of one life and the start of the next.
const AWAY: Duration = Duration::from_millis(800);

/// Longest body of an answer, beyond which only the number of reads grows.
const BODY_BYTES: std::ops::Range<usize> = 1..6_000;

/// One life of a backend server.
#[derive(Debug)]
struct Life {
    identity: Arc<str>,
    service: Arc<str>,
    born_ms: u64,
    sequence: AtomicU64,
    slots: Semaphore,
    waiting: AtomicU32,
}

/// A life and its tasks.
#[derive(Debug)]
struct Running {
    life: Arc<Life>,
    serving: JoinHandle<()>,
    beating: JoinHandle<()>,
}

/// The backend server beside one router.
#[derive(Debug)]
pub struct Target {
    router: Process,
    /// Factor on the time for a request.
    slowness: AtomicU32,
    lives: AtomicU64,
    /// The present life and its tasks.
    running: Mutex<Option<Running>>,
    /// Held while one life ends and the next begins, so that faults of a series follow each other.
    changing: Mutex<()>,
}

impl Target {
    /// Prepares the stand-in beside a router.
    pub fn new(router: Process) -> Self {
        Self {
            router,
            slowness: AtomicU32::new(1),
            lives: AtomicU64::new(0),
            running: Mutex::new(None),
            changing: Mutex::new(()),
        }
    }

    /// Changes how much longer it works on a request.
    pub fn slow(&self, factor: u32) {
        self.slowness.store(factor, Ordering::Relaxed);
    }

    /// Begins a new life.
    ///
    /// # Errors
    ///
    /// Returns the error of the system when the address is taken.
    pub async fn start(self: &Arc<Self>, scene: &Arc<Scene>) -> std::io::Result<()> {
        let number = self.lives.fetch_add(1, Ordering::Relaxed);
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let life = Arc::new(Life {
            identity: Arc::from(format!("target-{}-{number}", self.router)),
            service: layout::service(self.router),
            born_ms: since_epoch.map_or(0, |since| since.as_millis() as u64),
            sequence: AtomicU64::new(0),
            slots: Semaphore::new(SLOTS),
            waiting: AtomicU32::new(0),
        });
        let address = scene.layout.at(self.router, layout::BACKEND);
        let listener = TcpListener::bind(address).await?;
        let serving = tokio::spawn(serve(
            listener,
            Arc::clone(self),
            Arc::clone(&life),
            Arc::clone(scene),
        ));
        let beating = tokio::spawn(beat(Arc::clone(self), Arc::clone(&life), Arc::clone(scene)));
        *self.running.lock().await = Some(Running {
            life,
            serving,
            beating,
        });
        Ok(())
    }

    async fn end(&self) {
        if let Some(running) = self.running.lock().await.take() {
            running.beating.abort();
            running.serving.abort();
            // The address is free once the task has ended.
            drop(running.serving.await);
        }
    }

    /// Crashes and comes back as another.
    ///
    /// # Errors
    ///
    /// Returns the error of the system when the address is taken.
    pub async fn crash(self: &Arc<Self>, scene: &Arc<Scene>) -> std::io::Result<()> {
        let _changing = self.changing.lock().await;
        self.end().await;
        time::sleep(AWAY).await;
        self.start(scene).await
    }

    /// Leaves as an operator shuts it down, and comes back as another.
    ///
    /// # Errors
    ///
    /// Returns the error of the system when the address is taken.
    pub async fn leave(self: &Arc<Self>, scene: &Arc<Scene>, notice: bool) -> std::io::Result<()> {
        let _changing = self.changing.lock().await;
        let life = {
            let running = self.running.lock().await;
            let Some(running) = running.as_ref() else {
                return Ok(());
            };
            running.beating.abort();
            Arc::clone(&running.life)
        };
        let end = time::Instant::now() + LEAVE_LIMIT;
        loop {
            let told = if notice {
                self.announce(&life, scene, "draining").await
            } else {
                self.depart(&life, scene).await
            };
            if told {
                let at = scene.now();
                let mut ledger = scene.ledger.lock();
                ledger
                    .drains
                    .push((Arc::clone(&life.identity), at, self.router));
                break;
            }
            if time::Instant::now() >= end {
                break;
            }
            time::sleep(BEAT).await;
        }
        time::sleep(STAY).await;
        if notice {
            self.depart(&life, scene).await;
        }
        self.end().await;
        time::sleep(AWAY).await;
        self.start(scene).await
    }

    async fn call(&self, scene: &Scene, path: &str, body: String) -> bool {
        let address = scene.layout.at(self.router, layout::ADMIN);
        let mut ask = HttpRequest::post("admin", path, "", &body);
        ask.headers = vec![("content-type", "application/json".to_owned())];
        let answer = client::send(address, &ask, BEAT_TIMEOUT).await;
        answer.is_ok_and(|answer| answer.status.is_success())
    }

    async fn announce(&self, life: &Life, scene: &Scene, state: &str) -> bool {
        let sequence = life.sequence.fetch_add(1, Ordering::Relaxed);
        let body = json!({
            "address": scene.layout.at(self.router, layout::BACKEND).to_string(),
            "born": life.born_ms,
            "info": {"service": &*life.service, "version": "v1", "zone": "zone", "slots": SLOTS},
            "status": {"state": state, "sequence": sequence, "coldRemainingS": 0},
        });
        let path = format!("/api/Instances.Heartbeat/{}", life.identity);
        self.call(scene, &path, body.to_string()).await
    }

    async fn depart(&self, life: &Life, scene: &Scene) -> bool {
        let path = format!("/api/Instances.Deregister/{}", life.identity);
        let body = json!({"born": life.born_ms}).to_string();
        self.call(scene, &path, body).await
    }
}

async fn beat(target: Arc<Target>, life: Arc<Life>, scene: Arc<Scene>) {
    loop {
        target.announce(&life, &scene, "ready").await;
        time::sleep(BEAT).await;
    }
}

/// Serves until it is aborted, which ends all connections too.
async fn serve(listener: TcpListener, target: Arc<Target>, life: Arc<Life>, scene: Arc<Scene>) {
    let mut connections = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        while connections.try_join_next().is_some() {}
        let (target, life, scene) = (Arc::clone(&target), Arc::clone(&life), Arc::clone(&scene));
        connections.spawn(async move {
            drop(stream.set_nodelay(true));
            let service = service_fn(move |request| {
                let (target, life, scene) =
                    (Arc::clone(&target), Arc::clone(&life), Arc::clone(&scene));
                async move { Ok::<_, Infallible>(answer(&target, &life, &scene, request).await) }
            });
            // A router that closes its connection ends it with an error.
            drop(
                http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await,
            );
        });
    }
}

async fn answer(
    target: &Target,
    life: &Life,
    scene: &Scene,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let header = |name: &str| {
        let value = request.headers().get(name);
        let text = value.and_then(|value| value.to_str().ok());
        text.unwrap_or_default().to_owned()
    };
    let identity = Arc::<str>::from(header("shallotrill-attempt-id"));
    let expected = header("shallotrill-expected-instance");
    let caller = Arc::<str>::from(header("shallotrill-caller-service"));
    let limit = header("shallotrill-deadline-ms").parse::<u64>().ok();
    let path = request.uri().path().to_owned();
    if path == "/healthz" {
        let mut response = reply(life, StatusCode::OK, Bytes::new());
        insert(&mut response, "shallotrill-instance-id", &life.identity);
        return response;
    }
    let method = request.method().clone();
    let Ok(body) = request.into_body().collect().await else {
        return refuse(life, StatusCode::BAD_REQUEST);
    };
    let body = String::from_utf8_lossy(&body.to_bytes()).into_owned();
    let permit = life.slots.try_acquire();
    let full = permit.is_err() && life.waiting.load(Ordering::Relaxed) as usize >= QUEUE;
    let foreign = !expected.is_empty() && expected != *life.identity;
    let run = !foreign && !full && !identity.is_empty();
    let place = {
        let mut ledger = scene.ledger.lock();
        ledger.arrivals.push(Arrival {
            request: Arc::clone(&identity),
            target: Arc::clone(&life.identity),
            service: Arc::clone(&life.service),
            caller,
            content: Arc::from(format!("{method} {path} {body}")),
            at: scene.now(),
            limit,
            run,
            answer: None,
        });
        ledger.arrivals.len() - 1
    };
    if !run {
        return refuse(
            life,
            if foreign {
                StatusCode::MISDIRECTED_REQUEST
            } else {
                StatusCode::SERVICE_UNAVAILABLE
            },
        );
    }
    let _permit = if let Ok(permit) = permit {
        permit
    } else {
        life.waiting.fetch_add(1, Ordering::Relaxed);
        let permit = life.slots.acquire().await;
        life.waiting.fetch_sub(1, Ordering::Relaxed);
        match permit {
            Ok(permit) => permit,
            Err(_) => return refuse(life, StatusCode::SERVICE_UNAVAILABLE),
        }
    };
    let factor = u64::from(target.slowness.load(Ordering::Relaxed));
    let work = Duration::from_millis(rand::random_range(WORK_MS) * factor);
    let limit = Duration::from_millis(limit.unwrap_or(u64::MAX));
    time::sleep(work.min(limit)).await;
    let (status, size) = if work > limit {
        (StatusCode::GATEWAY_TIMEOUT, 1)
    } else {
        (StatusCode::OK, rand::random_range(BODY_BYTES))
    };
    let body = Bytes::from(vec![b'a' + rand::random_range(0..26); size]);
    let seal = ledger::seal(&identity, status.as_u16(), &body);
    scene.ledger.lock().arrivals[place].answer = Some((status.as_u16(), Arc::clone(&seal)));
    let mut response = reply(life, status, body);
    insert(&mut response, "shallotrill-attempt-id", &identity);
    insert(&mut response, "shallotrill-response-seal", &seal);
    response
}

fn reply(life: &Life, status: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    let running = SLOTS - life.slots.available_permits();
    let waiting = life.waiting.load(Ordering::Relaxed);
    let load = format!("{running},{waiting},{SLOTS},100");
    insert(&mut response, "shallotrill-server-load", &load);
    response
}

fn refuse(life: &Life, status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = reply(life, status, Bytes::new());
    insert(&mut response, "shallotrill-not-executed", "1");
    response
}

fn insert(response: &mut Response<Full<Bytes>>, name: &'static str, value: &str) {
    if let Ok(value) = value.parse() {
        response.headers_mut().insert(name, value);
    }
}
