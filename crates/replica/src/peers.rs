//! The other control processes and what waits to be sent to them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use log::debug;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::Notify;
use tokio::sync::oneshot;

use crate::claims;
use crate::log as log_message;
use shallotrill_claim::message::Message as ClaimMessage;
use shallotrill_claim::message::Reply as ClaimReply;
use shallotrill_consensus::message::Message as LogMessage;
use shallotrill_locks::Mutex;
use shallotrill_locks::Rank;
use shallotrill_model::zone;
use shallotrill_rpc::link;
use shallotrill_rpc::link::Failure;
use shallotrill_rpc::link::Link;

/// Longest wait for the acknowledgement of log messages.
const LOG_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest wait for the replies to claim messages.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(1);

/// Most log messages that wait for one process; older ones are dropped, as a network would.
const LOG_WAITING_MAX: usize = 4_096;

/// Most claim messages in one question.
const CLAIM_BATCH_MAX: usize = 512;

/// Questions with claim messages in flight to one process, so that one slow sync does not hold all others back.
const CLAIM_QUESTIONS: usize = 4;

/// A control process in the settings of another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Its number.
    pub id: u64,
    /// Address of its RPC listener.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: zone::Name,
}

#[derive(Debug)]
struct Waiting {
    message: ClaimMessage,
    reply: oneshot::Sender<ClaimReply>,
}

/// One other control process.
#[derive(Debug)]
pub struct Peer {
    endpoint: Endpoint,
    link: Link,
    log: Mutex<Vec<LogMessage>>,
    log_ready: Notify,
    claims: Mutex<Vec<Waiting>>,
    claims_ready: Notify,
}

/// The other control processes, sorted by number.
#[derive(Debug)]
pub struct Peers {
    peers: Vec<Arc<Peer>>,
}

impl Peers {
    /// Makes the table. Nothing is sent before [`Peers::start`].
    pub fn new(endpoints: &[Endpoint], config: link::Config) -> Self {
        let mut peers: Vec<Arc<Peer>> = endpoints
            .iter()
            .map(|endpoint| Arc::new(Peer::new(endpoint.clone(), config)))
            .collect();
        peers.sort_by_key(|peer| peer.endpoint.id);
        Self { peers }
    }

    /// Starts to send what waits. The tasks end with the runtime.
    pub fn start(&self) {
        for peer in &self.peers {
            tokio::spawn(send_log(Arc::clone(peer)));
            for _ in 0..CLAIM_QUESTIONS {
                tokio::spawn(send_claims(Arc::clone(peer)));
            }
        }
    }

    /// All of them.
    pub fn all(&self) -> &[Arc<Peer>] {
        &self.peers
    }

    /// The process of a number.
    pub fn get(&self, id: u64) -> Option<&Arc<Peer>> {
        let index = self
            .peers
            .binary_search_by_key(&id, |peer| peer.endpoint.id)
            .ok()?;
        self.peers.get(index)
    }
}

impl Peer {
    fn new(endpoint: Endpoint, config: link::Config) -> Self {
        Self {
            link: Link::new(endpoint.address, config),
            endpoint,
            log: Mutex::new(Rank::Pool, Vec::new()),
            log_ready: Notify::new(),
            claims: Mutex::new(Rank::Pool, Vec::new()),
            claims_ready: Notify::new(),
        }
    }

    /// Its number.
    pub const fn id(&self) -> u64 {
        self.endpoint.id
    }

    /// Its availability zone.
    pub const fn zone(&self) -> &zone::Name {
        &self.endpoint.zone
    }

    /// Asks a question and waits for the answer.
    ///
    /// # Errors
    ///
    /// Returns a [`Failure`] that says whether the question can have arrived.
    pub async fn ask<Q, A>(&self, method: &str, question: &Q, limit: Duration) -> Result<A, Failure>
    where
        Q: Serialize,
        A: DeserializeOwned,
    {
        self.link.call(method, question, limit).await
    }

    /// Puts a log message in line. It may be lost.
    pub fn send_log(&self, message: LogMessage) {
        let mut log = self.log.lock();
        if log.len() >= LOG_WAITING_MAX {
            log.remove(0);
        }
        log.push(message);
        drop(log);
        self.log_ready.notify_one();
    }

    /// Puts a claim message in line. The receiver yields nothing when no reply came.
    pub fn send_claim(&self, message: ClaimMessage) -> oneshot::Receiver<ClaimReply> {
        let (reply, receiver) = oneshot::channel();
        self.claims.lock().push(Waiting { message, reply });
        self.claims_ready.notify_one();
        receiver
    }
}

async fn send_log(peer: Arc<Peer>) {
    loop {
        let messages = std::mem::take(&mut *peer.log.lock());
        if messages.is_empty() {
            peer.log_ready.notified().await;
            continue;
        }
        let ask = log_message::Ask { messages };
        let sent: Result<(), Failure> =
            peer.link.call(log_message::METHOD, &ask, LOG_TIMEOUT).await;
        if let Err(failure) = sent {
            debug!(event = "log-messages-lost", peer = peer.id(); "{failure}");
        }
    }
}

async fn send_claims(peer: Arc<Peer>) {
    loop {
        let batch: Vec<Waiting> = {
            let mut claims = peer.claims.lock();
            // What a lost connection held up is of no use to a proposer that has given up.
            claims.retain(|waiting| !waiting.reply.is_closed());
            let count = claims.len().min(CLAIM_BATCH_MAX);
            claims.drain(..count).collect()
        };
        if batch.is_empty() {
            peer.claims_ready.notified().await;
            continue;
        }
        let (messages, replies): (Vec<_>, Vec<_>) = batch
            .into_iter()
            .map(|waiting| (waiting.message, waiting.reply))
            .unzip();
        let ask = claims::Ask { messages };
        let answer: Result<claims::Answer, Failure> =
            peer.link.call(claims::METHOD, &ask, CLAIM_TIMEOUT).await;
        match answer {
            Ok(answer) => deliver(replies, answer.replies),
            Err(failure) => debug!(event = "claim-messages-lost", peer = peer.id(); "{failure}"),
        }
    }
}

fn deliver(waiting: Vec<oneshot::Sender<ClaimReply>>, replies: Vec<Option<ClaimReply>>) {
    for (sender, reply) in waiting.into_iter().zip(replies) {
        if let Some(reply) = reply {
            // The proposer may have had enough replies and be gone.
            let _gone = sender.send(reply);
        }
    }
}
