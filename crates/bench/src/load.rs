//! Load with arrivals that do not wait for answers.
//!
//! Arrivals are fixed by a seed before the run. Latency counts from the time at
//! which a request was to be sent, so a slow answer cannot delay the requests
//! behind it out of the measurement.

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

use crate::http::Ask;
use crate::http::Connection;
use crate::noise;

/// When requests arrive, and what a caller does about failures.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Mean arrivals in a second.
    pub rate: f64,
    /// Time at the start whose requests are not counted.
    pub warm_up: Duration,
    /// Time whose requests are counted.
    pub time: Duration,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Time after which the person behind a request gives up.
    pub patience: Duration,
    /// Most times that the caller sends a request: again at once after each failure.
    pub tries: u32,
    /// Time after which the caller drops a request and sends it again at once.
    pub drop_after: Option<Duration>,
    /// Time after which the caller sends one more copy beside those that are not answered.
    pub copy_after: Option<Duration>,
}

/// Where requests of one variant go.
#[derive(Debug)]
pub struct Variant {
    /// Callers spread over these addresses in turn.
    pub addresses: Vec<SocketAddr>,
    /// Makes the request of a number.
    pub ask: fn(u64) -> Ask,
    idle: Mutex<Vec<(usize, VecDeque<Connection>)>>,
}

/// What became of the requests of one variant.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Latencies of requests that succeeded in time, in microseconds.
    pub latency: Histogram<u64>,
    /// Requests that people asked for, those of the warm-up included.
    pub total: u64,
    /// Requests that people asked for and that are counted below.
    pub asked: u64,
    /// Requests without a success in time.
    pub failed: u64,
    /// Requests that were sent, copies included.
    pub sent: u64,
    /// Attempts that failed, by code of the error, sorted.
    pub codes: Vec<(String, u64)>,
}

impl Default for Outcome {
    fn default() -> Self {
        // 60 s at three digits.
        let latency = Histogram::new_with_max(60_000_000, 3).expect("the bounds are valid");
        Self {
            latency,
            total: 0,
            asked: 0,
            failed: 0,
            sent: 0,
            codes: Vec::new(),
        }
    }
}

impl Outcome {
    /// Adds the outcome of another run.
    ///
    /// # Panics
    ///
    /// Never: all histograms have the same bounds.
    pub fn add(&mut self, other: &Self) {
        self.latency
            .add(&other.latency)
            .expect("both histograms have the same bounds");
        self.total += other.total;
        self.asked += other.asked;
        self.failed += other.failed;
        self.sent += other.sent;
        for (code, count) in &other.codes {
            self.count(code, *count);
        }
    }

    fn count(&mut self, code: &str, count: u64) {
        match self
            .codes
            .binary_search_by(|(known, _)| known.as_str().cmp(code))
        {
            Ok(at) => self.codes[at].1 += count,
            Err(at) => self.codes.insert(at, (code.to_owned(), count)),
        }
    }

    /// Latency at a quantile, in milliseconds.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / 1_000.0
    }
}

impl Variant {
    /// A variant without connections.
    pub fn new(addresses: Vec<SocketAddr>, ask: fn(u64) -> Ask) -> Self {
        let idle = (0..addresses.len()).map(|at| (at, VecDeque::new()));
        Self {
            idle: Mutex::new(idle.collect()),
            addresses,
            ask,
        }
    }

    /// Sends once; the connection is kept when the answer came whole.
    async fn send(&self, ask: &Ask, at: usize, limit: Duration) -> Result<(), String> {
        let sent = time::timeout(limit, self.send_unlimited(ask, at)).await;
        sent.unwrap_or_else(|_| Err("dropped".to_owned()))
    }

    async fn send_unlimited(&self, ask: &Ask, at: usize) -> Result<(), String> {
        let kept = self.lock()[at].1.pop_front();
        let mut connection = match kept {
            Some(connection) => connection,
            None => match Connection::open(self.addresses[at]).await {
                Ok(connection) => connection,
                Err(_) => return Err("connect".to_owned()),
            },
        };
        match connection.send(ask).await {
            Ok(answer) => {
                self.lock()[at].1.push_back(connection);
                if answer.status.is_success() {
                    return Ok(());
                }
                Err(match answer.header("shallotrill-error") {
                    "" => answer.status.as_str().to_owned(),
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

/// One request of a person.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    at: Instant,
    number: u64,
    variant: usize,
    counted: bool,
}

/// Runs a plan; the requests go to the variants in turn.
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
            at: start + offset,
            number,
            variant: number as usize % variants.len(),
            counted: offset >= plan.warm_up,
        };
        wait_until(arrival.at);
        let (variants, outcomes) = (Arc::clone(variants), Arc::clone(outcomes));
        tasks.spawn_on(one(plan, arrival, variants, outcomes), handle);
        while tasks.try_join_next().is_some() {}
    }
    tasks
}

/// The timer of the system is late by about 60 µs, which counts as latency of every variant alike.
fn wait_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

async fn one(
    plan: Plan,
    arrival: Arrival,
    variants: Arc<Vec<Variant>>,
    outcomes: Arc<Mutex<Vec<Outcome>>>,
) {
    let variant = &variants[arrival.variant];
    let left = (arrival.at + plan.patience).saturating_duration_since(Instant::now());
    let mut sent = Vec::new();
    let done = time::timeout(left, insist(plan, arrival, variant, &mut sent)).await;
    let latency = arrival.at.elapsed().as_micros() as u64;
    let mut outcomes = outcomes.lock().unwrap_or_else(PoisonError::into_inner);
    let outcome = &mut outcomes[arrival.variant];
    outcome.total += 1;
    if !arrival.counted {
        return;
    }
    outcome.asked += 1;
    outcome.sent += sent.len() as u64;
    for code in sent.iter().flatten() {
        outcome.count(code, 1);
    }
    if done == Ok(true) {
        outcome.latency.saturating_record(latency);
    } else {
        outcome.failed += 1;
    }
}

/// Sends a request again at once after each failure, and copies of it while it is not answered.
///
/// `sent` gets an element for each copy, with the code of its error if it failed.
async fn insist(
    plan: Plan,
    arrival: Arrival,
    variant: &Variant,
    sent: &mut Vec<Option<String>>,
) -> bool {
    let mut ask = (variant.ask)(arrival.number);
    let patience = plan.patience.as_millis().to_string();
    ask.headers.push(("shallotrill-deadline-ms", patience));
    let mut at = arrival.number as usize / 4 % variant.addresses.len();
    let limit = plan.drop_after.unwrap_or(plan.patience);
    let mut copies = FuturesUnordered::new();
    copies.push(variant.send(&ask, at, limit));
    sent.push(None);
    loop {
        let pause = plan.copy_after.unwrap_or(plan.patience);
        let answered = tokio::select! {
            answered = copies.next() => answered,
            () = time::sleep(pause) => None,
        };
        let failed = match answered {
            Some(Ok(())) => return true,
            Some(Err(code)) => {
                let open = sent.iter_mut().find(|code| code.is_none());
                open.map(|open| *open = Some(code)).is_some()
            }
            None => false,
        };
        if sent.len() < plan.tries as usize {
            // A caller that was refused by one node goes to the next; a copy of a slow request stays.
            if failed && plan.drop_after.is_none() {
                at = (at + 1) % variant.addresses.len();
            }
            copies.push(variant.send(&ask, at, limit));
            sent.push(None);
        } else if failed && copies.is_empty() {
            return false;
        }
    }
}
