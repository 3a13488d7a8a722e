//! Open-loop load generator: arrivals do not wait for responses.
//!
//! A seed determines all arrival times. Latency counts from the scheduled
//! arrival of a request, so that a slow response cannot hide the delay of later
//! requests from the measurement (coordinated omission).

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use hdrhistogram::Histogram;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use tokio::runtime::Handle;
use tokio::task::JoinSet;
use tokio::time;

use crate::http::Connection;
use crate::http::Request;
use crate::noise;

/// Arrival rate of requests, and how a caller retries.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Mean arrivals per second.
    pub rate: f64,
    /// Period at the start whose requests are not counted.
    pub warm_up: Duration,
    /// Period after the warm-up whose requests are counted.
    pub time: Duration,
    /// Seed of the arrival times.
    pub seed: u64,
    /// Time limit for a request with all its attempts; also its deadline.
    pub total_timeout: Duration,
    /// Maximum number of attempts for each request; a failed one is retried at once.
    pub attempts_max: u32,
    /// Time after which the caller aborts an attempt and retries at once; `None` means never.
    pub attempt_timeout: Option<Duration>,
    /// Time after which the caller sends a duplicate request while earlier ones are open; `None` means never.
    pub duplicate_after: Option<Duration>,
}

/// Destination and contents of the requests of one variant.
#[derive(Debug)]
pub struct Variant {
    /// Addresses that requests are spread over in turn.
    pub addresses: Vec<SocketAddr>,
    /// Creates the request with a sequence number.
    pub request: fn(u64) -> Request,
    idle: Mutex<Vec<(usize, VecDeque<Connection>)>>,
}

/// Results of the requests of one variant.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Latencies of requests that succeeded in time, in microseconds.
    pub latency: Histogram<u64>,
    /// Arrivals, including those of the warm-up, without retries and duplicates.
    pub total: u64,
    /// Arrivals after the warm-up; all fields except `total` count only these.
    pub counted_total: u64,
    /// Arrivals without a success in time.
    pub failed: u64,
    /// Requests that were sent, including retries and duplicates.
    pub sent: u64,
    /// Failed attempts by error code, sorted by code.
    pub error_codes: Vec<(String, u64)>,
}

impl Default for Outcome {
    fn default() -> Self {
        // Up to 60 s with three significant digits.
        let latency = Histogram::new_with_max(60_000_000, 3).expect("the bounds are valid");
        Self {
            latency,
            total: 0,
            counted_total: 0,
            failed: 0,
            sent: 0,
            error_codes: Vec::new(),
        }
    }
}

impl Outcome {
    /// Adds the counts and latencies of another run.
    ///
    /// # Panics
    ///
    /// Never: all histograms have the same bounds.
    pub fn add(&mut self, other: &Self) {
        self.latency
            .add(&other.latency)
            .expect("both histograms have the same bounds");
        self.total += other.total;
        self.counted_total += other.counted_total;
        self.failed += other.failed;
        self.sent += other.sent;
        for (code, count) in &other.error_codes {
            self.count(code, *count);
        }
    }

    fn count(&mut self, code: &str, count: u64) {
        match self
            .error_codes
            .binary_search_by(|(known, _)| known.as_str().cmp(code))
        {
            Ok(index) => self.error_codes[index].1 += count,
            Err(index) => self.error_codes.insert(index, (code.to_owned(), count)),
        }
    }

    /// Returns the latency at a quantile between 0 and 1, in milliseconds.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / 1_000.0
    }
}

impl Variant {
    /// Creates a variant without open connections.
    pub fn new(addresses: Vec<SocketAddr>, request: fn(u64) -> Request) -> Self {
        let idle = (0..addresses.len()).map(|index| (index, VecDeque::new()));
        Self {
            idle: Mutex::new(idle.collect()),
            addresses,
            request,
        }
    }

    /// Sends one attempt; its connection is reused when the response is complete.
    async fn send(&self, request: &Request, index: usize, timeout: Duration) -> Result<(), String> {
        let sent = time::timeout(timeout, self.send_unlimited(request, index)).await;
        sent.unwrap_or_else(|_| Err("dropped".to_owned()))
    }

    async fn send_unlimited(&self, request: &Request, index: usize) -> Result<(), String> {
        let idle = self.lock()[index].1.pop_front();
        let mut connection = match idle {
            Some(connection) => connection,
            None => match Connection::open(self.addresses[index]).await {
                Ok(connection) => connection,
                Err(_) => return Err("connect".to_owned()),
            },
        };
        match connection.send(request).await {
            Ok(response) => {
                self.lock()[index].1.push_back(connection);
                if response.status.is_success() {
                    return Ok(());
                }
                Err(match response.header("shallotrill-error") {
                    "" => response.status.as_str().to_owned(),
                    code => code.to_owned(),
                })
            }
            Err(_) => Err("lost".to_owned()),
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<(usize, VecDeque<Connection>)>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// One request, before retries and duplicates.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    due: Instant,
    number: u64,
    variant: usize,
    counted: bool,
}

/// Runs a plan and returns the outcome of each variant; requests go to the variants in turn.
pub async fn run(plan: Plan, variants: &Arc<Vec<Variant>>) -> Vec<Outcome> {
    let outcomes = Arc::new(Mutex::new(vec![Outcome::default(); variants.len()]));
    let handle = Handle::current();
    let sender = {
        let (variants, outcomes) = (Arc::clone(variants), Arc::clone(&outcomes));
        thread::spawn(move || send_all(plan, &variants, &outcomes, &handle))
    };
    let joined = tokio::task::spawn_blocking(move || sender.join()).await;
    if let Ok(Ok(mut tasks)) = joined {
        while tasks.join_next().await.is_some() {}
    }
    let outcomes = outcomes.lock().unwrap_or_else(PoisonError::into_inner);
    outcomes.clone()
}

fn send_all(
    plan: Plan,
    variants: &Arc<Vec<Variant>>,
    outcomes: &Arc<Mutex<Vec<Outcome>>>,
    handle: &Handle,
) -> JoinSet<()> {
    let mut tasks = JoinSet::new();
    let mut random = Pcg64::seed_from_u64(plan.seed);
    let start = Instant::now();
    let mut offset = Duration::ZERO;
    for number in 0_u64.. {
        offset += noise::exponential(1_000.0 / plan.rate, &mut random);
        if offset >= plan.warm_up + plan.time {
            break;
        }
        let arrival = Arrival {
            due: start + offset,
            number,
            variant: number as usize % variants.len(),
            counted: offset >= plan.warm_up,
        };
        wait_until(arrival.due);
        let (variants, outcomes) = (Arc::clone(variants), Arc::clone(outcomes));
        tasks.spawn_on(send_arrival(plan, arrival, variants, outcomes), handle);
        while tasks.try_join_next().is_some() {}
    }
    tasks
}

/// Sleeps until an arrival; the system timer is late by about 60 µs, which adds the same latency to every variant.
fn wait_until(due: Instant) {
    thread::sleep(due.saturating_duration_since(Instant::now()));
}

async fn send_arrival(
    plan: Plan,
    arrival: Arrival,
    variants: Arc<Vec<Variant>>,
    outcomes: Arc<Mutex<Vec<Outcome>>>,
) {
    let variant = &variants[arrival.variant];
    let remaining = (arrival.due + plan.total_timeout).saturating_duration_since(Instant::now());
    let mut sent = Vec::new();
    let result = time::timeout(
        remaining,
        send_with_retries(plan, arrival, variant, &mut sent),
    )
    .await;
    let latency = arrival.due.elapsed().as_micros() as u64;
    let mut outcomes = outcomes.lock().unwrap_or_else(PoisonError::into_inner);
    let outcome = &mut outcomes[arrival.variant];
    outcome.total += 1;
    if !arrival.counted {
        return;
    }
    outcome.counted_total += 1;
    outcome.sent += sent.len() as u64;
    for code in sent.iter().flatten() {
        outcome.count(code, 1);
    }
    if result == Ok(true) {
        outcome.latency.saturating_record(latency);
    } else {
        outcome.failed += 1;
    }
}

/// Sends a request, retries it at once after each failure, and sends duplicates while it is open.
///
/// Each attempt adds an element to `sent`, which gets the error code if the attempt fails.
async fn send_with_retries(
    plan: Plan,
    arrival: Arrival,
    variant: &Variant,
    sent: &mut Vec<Option<String>>,
) -> bool {
    let mut request = (variant.request)(arrival.number);
    let total_timeout = plan.total_timeout.as_millis().to_string();
    request
        .headers
        .push(("shallotrill-deadline-ms", total_timeout));
    let mut index = arrival.number as usize / 4 % variant.addresses.len();
    let timeout = plan.attempt_timeout.unwrap_or(plan.total_timeout);
    let mut attempts = FuturesUnordered::new();
    attempts.push(variant.send(&request, index, timeout));
    sent.push(None);
    loop {
        let duplicate_delay = plan.duplicate_after.unwrap_or(plan.total_timeout);
        let completed = tokio::select! {
            completed = attempts.next() => completed,
            () = time::sleep(duplicate_delay) => None,
        };
        let failed = match completed {
            Some(Ok(())) => return true,
            Some(Err(code)) => {
                let pending = sent.iter_mut().find(|code| code.is_none());
                pending.map(|pending| *pending = Some(code)).is_some()
            }
            None => false,
        };
        if sent.len() < plan.attempts_max as usize {
            // A retry after a failure goes to the next node; a duplicate of a slow request goes to the same node.
            if failed && plan.attempt_timeout.is_none() {
                index = (index + 1) % variant.addresses.len();
            }
            attempts.push(variant.send(&request, index, timeout));
            sent.push(None);
        } else if failed && attempts.is_empty() {
            return false;
        }
    }
}
