//! Background callers that send requests while a case runs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use tokio::task::JoinHandle;

use super::fixture::Fixture;
use super::fixture::SERVICE;
use super::fixture::WAIT_TIMEOUT;
use super::fixture::deposit;
use shallotrill_bench::http;
use shallotrill_bench::http::Request;

/// Running callers, each of which sends one request at a time until `finish`.
pub(crate) struct Load {
    callers: Vec<JoinHandle<(usize, Vec<String>)>>,
    stop: Arc<AtomicBool>,
}

impl Load {
    /// Starts three callers for each of these nodes.
    pub(crate) fn start(fixture: &Fixture, nodes: &[usize]) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let caller = |node: usize| {
            let address = fixture.cluster.instances[node].caller;
            fixture
                .runtime
                .spawn(send_requests(address, Arc::clone(&stop)))
        };
        let nodes = nodes.iter().flat_map(|node| [*node; 3]);
        Self {
            callers: nodes.map(caller).collect(),
            stop,
        }
    }

    /// Stops the callers; returns the number of responses with status 200 and the text of all others.
    pub(crate) fn finish(self, fixture: &Fixture) -> (usize, Vec<String>) {
        self.stop.store(true, Ordering::Relaxed);
        let (mut answered, mut failures) = (0, Vec::new());
        for caller in self.callers {
            let (successes, failed) = fixture
                .runtime
                .block_on(caller)
                .expect("callers do not panic");
            answered += successes;
            failures.extend(failed);
        }
        (answered, failures)
    }
}

/// Sends deposits and look-ups in turn, one at a time.
async fn send_requests(address: SocketAddr, stop: Arc<AtomicBool>) -> (usize, Vec<String>) {
    let (mut answered, mut failures) = (0, Vec::new());
    while !stop.load(Ordering::Relaxed) {
        let key = http::new_idempotency_key();
        let look_up = Request::get(SERVICE, &format!("/birds/{key}"));
        for request in [deposit(&key, "load"), look_up] {
            match http::send(address, &request, WAIT_TIMEOUT).await {
                Ok(response) if response.status == 200 => answered += 1,
                Ok(response) => failures.push(format!("{} {}", request.method, response.text())),
                Err(failure) => failures.push(format!("{} {failure}", request.method)),
            }
        }
    }
    (answered, failures)
}
