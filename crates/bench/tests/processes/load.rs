//! Callers that send requests while a case goes on.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use tokio::task::JoinHandle;

use super::scene::LIMIT;
use super::scene::SERVICE;
use super::scene::Scene;
use super::scene::deposit;
use shallotrill_bench::http;
use shallotrill_bench::http::Ask;

/// Callers that send until they are told to stop.
pub(crate) struct Load {
    callers: Vec<JoinHandle<(usize, Vec<String>)>>,
    stop: Arc<AtomicBool>,
}

impl Load {
    /// Starts callers that send one deposit and one look-up after another to these nodes.
    pub(crate) fn start(scene: &Scene, nodes: &[usize]) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let caller = |node: usize| {
            let address = scene.cluster.places[node].caller;
            scene.runtime.spawn(call(address, Arc::clone(&stop)))
        };
        let nodes = nodes.iter().flat_map(|node| [*node; 3]);
        Self {
            callers: nodes.map(caller).collect(),
            stop,
        }
    }

    /// Stops the callers; returns the number of good answers and the other ones.
    pub(crate) fn finish(self, scene: &Scene) -> (usize, Vec<String>) {
        self.stop.store(true, Ordering::Relaxed);
        let (mut answered, mut failures) = (0, Vec::new());
        for caller in self.callers {
            let (good, bad) = scene
                .runtime
                .block_on(caller)
                .expect("callers do not panic");
            answered += good;
            failures.extend(bad);
        }
        (answered, failures)
    }
}

/// Sends deposits and look-ups in turn.
async fn call(address: SocketAddr, stop: Arc<AtomicBool>) -> (usize, Vec<String>) {
    let (mut answered, mut failures) = (0, Vec::new());
    while !stop.load(Ordering::Relaxed) {
        let key = http::key();
        let look_up = Ask::get(SERVICE, &format!("/birds/{key}"));
        for ask in [deposit(&key, "load"), look_up] {
            match http::send(address, &ask, LIMIT).await {
                Ok(answer) if answer.status == 200 => answered += 1,
                Ok(answer) => failures.push(format!("{} {}", ask.method, answer.text())),
                Err(failure) => failures.push(format!("{} {failure}", ask.method)),
            }
        }
    }
    (answered, failures)
}
