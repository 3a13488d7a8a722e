//! Connections to the other control processes, with queues of log and claim messages.

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

/// Timeout of a request with log messages.
const LOG_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout of a request with claim messages.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of queued log messages for one process; the oldest are dropped, which the replicated log tolerates.
const LOG_QUEUE_MAX: usize = 4_096;

/// Maximum number of claim messages in one request.
const CLAIM_BATCH_MAX: usize = 512;

/// Number of concurrent claim requests to one process, so that one slow disk sync does not delay all others.
const CLAIM_REQUESTS: usize = 4;

/// Number and address of a control process, as listed in the settings of another control process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Number of the control process.
    pub id: u64,
    /// Address of its RPC listener.
    pub address: SocketAddr,
    /// Availability zone of the control process.
    pub zone: zone::Name,
}

#[derive(Debug)]
struct QueuedClaim {
    message: ClaimMessage,
    reply: oneshot::Sender<ClaimReply>,
}

/// Connection and message queues of one other control process.
#[derive(Debug)]
pub struct PeerConnection {
    endpoint: Endpoint,
    link: Link,
    log: Mutex<Vec<LogMessage>>,
    log_ready: Notify,
    claims: Mutex<Vec<QueuedClaim>>,
    claims_ready: Notify,
}

/// The other control processes, sorted by number.
#[derive(Debug)]
pub struct Peers {
    peers: Vec<Arc<PeerConnection>>,
}

impl Peers {
    /// Creates the table. Queued messages are sent only after [`Peers::start`].
    pub fn new(endpoints: &[Endpoint], config: link::Config) -> Self {
        let mut peers: Vec<Arc<PeerConnection>> = endpoints
            .iter()
            .map(|endpoint| Arc::new(PeerConnection::new(endpoint.clone(), config)))
            .collect();
        peers.sort_by_key(|peer| peer.endpoint.id);
        Self { peers }
    }

    /// Starts the tasks that send queued messages. They end with the runtime.
    pub fn start(&self) {
        for peer in &self.peers {
            tokio::spawn(send_log(Arc::clone(peer)));
            for _ in 0..CLAIM_REQUESTS {
                tokio::spawn(send_claims(Arc::clone(peer)));
            }
        }
    }

    /// All other control processes, sorted by number.
    pub fn all(&self) -> &[Arc<PeerConnection>] {
        &self.peers
    }

    /// The control process with this number.
    pub fn get(&self, id: u64) -> Option<&Arc<PeerConnection>> {
        let index = self
            .peers
            .binary_search_by_key(&id, |peer| peer.endpoint.id)
            .ok()?;
        self.peers.get(index)
    }
}

impl PeerConnection {
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

    /// Number of the control process.
    pub const fn id(&self) -> u64 {
        self.endpoint.id
    }

    /// Availability zone of the control process.
    pub const fn zone(&self) -> &zone::Name {
        &self.endpoint.zone
    }

    /// Sends a request and waits for the response.
    ///
    /// # Errors
    ///
    /// Returns a [`Failure`] that states whether the request can have arrived.
    pub async fn call<Q, A>(
        &self,
        method: &str,
        request: &Q,
        timeout: Duration,
    ) -> Result<A, Failure>
    where
        Q: Serialize,
        A: DeserializeOwned,
    {
        self.link.call(method, request, timeout).await
    }

    /// Queues a log message. It may be lost.
    pub fn send_log(&self, message: LogMessage) {
        let mut log = self.log.lock();
        if log.len() >= LOG_QUEUE_MAX {
            log.remove(0);
        }
        log.push(message);
        drop(log);
        self.log_ready.notify_one();
    }

    /// Queues a claim message. The receiver yields an error if no reply arrives.
    pub fn send_claim(&self, message: ClaimMessage) -> oneshot::Receiver<ClaimReply> {
        let (reply, receiver) = oneshot::channel();
        self.claims.lock().push(QueuedClaim { message, reply });
        self.claims_ready.notify_one();
        receiver
    }
}

async fn send_log(peer: Arc<PeerConnection>) {
    loop {
        let messages = std::mem::take(&mut *peer.log.lock());
        if messages.is_empty() {
            peer.log_ready.notified().await;
            continue;
        }
        let request = log_message::Request { messages };
        let sent: Result<(), Failure> = peer
            .link
            .call(log_message::METHOD, &request, LOG_TIMEOUT)
            .await;
        if let Err(failure) = sent {
            debug!(event = "log-messages-lost", peer = peer.id(); "sending log messages failed: {failure}");
        }
    }
}

async fn send_claims(peer: Arc<PeerConnection>) {
    loop {
        let batch: Vec<QueuedClaim> = {
            let mut claims = peer.claims.lock();
            // Messages of proposers that gave up, as after a lost connection, are dropped.
            claims.retain(|queued| !queued.reply.is_closed());
            let count = claims.len().min(CLAIM_BATCH_MAX);
            claims.drain(..count).collect()
        };
        if batch.is_empty() {
            peer.claims_ready.notified().await;
            continue;
        }
        let (messages, replies): (Vec<_>, Vec<_>) = batch
            .into_iter()
            .map(|queued| (queued.message, queued.reply))
            .unzip();
        let request = claims::Request { messages };
        let response: Result<claims::Response, Failure> = peer
            .link
            .call(claims::METHOD, &request, CLAIM_TIMEOUT)
            .await;
        match response {
            Ok(response) => deliver(replies, response.replies),
            Err(failure) => {
                debug!(event = "claim-messages-lost", peer = peer.id(); "sending claim messages failed: {failure}");
            }
        }
    }
}

fn deliver(queued: Vec<oneshot::Sender<ClaimReply>>, replies: Vec<Option<ClaimReply>>) {
    for (sender, reply) in queued.into_iter().zip(replies) {
        if let Some(reply) = reply {
            // The proposer may already have enough replies and have dropped the receiver.
            let _dropped = sender.send(reply);
        }
    }
}
