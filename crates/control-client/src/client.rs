//! Client that sends requests of a node to the nearest control process that answers.

use std::error;
use std::fmt;
use std::net::SocketAddr;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use log::info;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time;

use crate::claim;
use crate::feed;
use crate::lease;
use shallotrill_claim::proposer;
use shallotrill_model::instance;
use shallotrill_model::zone;
use shallotrill_rpc::link;
use shallotrill_rpc::link::Failure;
use shallotrill_rpc::link::Link;

/// Timeout of a heartbeat.
const LEASE_TIMEOUT: Duration = Duration::from_millis(900);

/// Time beyond the wait of a pull after which the pull times out.
const FEED_MARGIN: Duration = Duration::from_secs(2);

/// Timeout of a claim request at one control process, after which the next one is tried.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(400);

/// Address of a control process, as listed in the settings of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Address of its RPC listener.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: zone::Name,
}

/// Why no control process answered a request.
#[derive(Debug)]
pub enum Error {
    /// The settings list no control process.
    NoEndpoint,
    /// The last control process that was tried did not answer.
    Failed(Failure),
    /// No control process answered within this time.
    Timeout(Duration),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoEndpoint => f.write_str("the settings name no control process"),
            Self::Failed(failure) => failure.fmt(f),
            Self::Timeout(timeout) => write!(f, "no control process answered within {timeout:?}"),
        }
    }
}

impl error::Error for Error {
    fn source(&self) -> Option<&(dyn error::Error + 'static)> {
        match self {
            Self::Failed(failure) => Some(failure),
            Self::NoEndpoint | Self::Timeout(_) => None,
        }
    }
}

/// Client of a node for its control processes.
#[derive(Debug)]
pub struct Client {
    links: Vec<Link>,
    current: AtomicUsize,
}

impl Client {
    /// Creates a client that prefers the control processes of `zone`.
    ///
    /// `spread` is a random number that selects the first control process, so
    /// that the nodes of a zone do not all send their requests to the same one.
    pub fn new(
        endpoints: &[Endpoint],
        zone: &zone::Name,
        spread: u64,
        config: link::Config,
    ) -> Self {
        let (near, far): (Vec<&Endpoint>, Vec<&Endpoint>) = endpoints
            .iter()
            .partition(|endpoint| endpoint.zone == *zone);
        let links = rotate(near, spread)
            .into_iter()
            .chain(rotate(far, spread))
            .map(|endpoint| Link::new(endpoint.address, config))
            .collect();
        Self {
            links,
            current: AtomicUsize::new(0),
        }
    }

    /// Address of the control process in use; `None` without control processes.
    pub fn current(&self) -> Option<SocketAddr> {
        let index = self.current.load(Ordering::Relaxed);
        self.links.get(index).map(Link::address)
    }

    /// Renews the lease of the node's target.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] when the current control process does not answer; the next call uses the next one.
    pub async fn lease(&self, request: &lease::Request) -> Result<lease::Reply, Error> {
        self.call_current(lease::METHOD, request, LEASE_TIMEOUT)
            .await
    }

    /// Pulls changes of configuration, targets and crash records.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] when the current control process does not answer; the next call uses the next one.
    pub async fn feed(&self, request: &feed::Request) -> Result<feed::Reply, Error> {
        let timeout = Duration::from_millis(request.wait_ms) + FEED_MARGIN;
        self.call_current(feed::METHOD, request, timeout).await
    }

    /// Sends a claim task to one control process after another until one decides or the timeout passes.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] when none answered in time. The task may then still be decided.
    pub async fn claim(
        &self,
        request: &claim::Request,
        timeout: Duration,
    ) -> Result<claim::Reply, Error> {
        let attempts = self.try_claim(request);
        time::timeout(timeout, attempts)
            .await
            .unwrap_or(Err(Error::Timeout(timeout)))
    }

    async fn try_claim(&self, request: &claim::Request) -> Result<claim::Reply, Error> {
        let first = self.current.load(Ordering::Relaxed);
        let mut last = Err(Error::NoEndpoint);
        for offset in 0..self.links.len() {
            let link = &self.links[(first + offset) % self.links.len()];
            last = match link.call(claim::METHOD, request, CLAIM_TIMEOUT).await {
                Ok(reply) => Ok(reply),
                Err(failure) => Err(Error::Failed(failure)),
            };
            if matches!(&last, Ok(reply) if is_decided(reply)) {
                return last;
            }
        }
        last
    }

    async fn call_current<Q, A>(
        &self,
        method: &str,
        request: &Q,
        timeout: Duration,
    ) -> Result<A, Error>
    where
        Q: Serialize,
        A: DeserializeOwned,
    {
        let index = self.current.load(Ordering::Relaxed);
        let link = self.links.get(index).ok_or(Error::NoEndpoint)?;
        match link.call(method, request, timeout).await {
            Ok(reply) => Ok(reply),
            Err(failure) => {
                self.switch_from(index, &failure);
                Err(Error::Failed(failure))
            }
        }
    }

    /// Switches from the current control process `control`, whose configuration lags, to the next one.
    pub fn switch_from_lagging(&self, control: &instance::Name) {
        if self.links.is_empty() {
            return;
        }
        let reason = format!("the configuration of {control} lags");
        self.switch_from(self.current.load(Ordering::Relaxed), &reason);
    }

    fn switch_from(&self, from: usize, reason: &impl fmt::Display) {
        let next = (from + 1) % self.links.len();
        let switched =
            self.current
                .compare_exchange(from, next, Ordering::Relaxed, Ordering::Relaxed);
        if switched.is_ok() && next != from {
            let next = self.links[next].address().to_string();
            info!(event = "control-switched", next = next.as_str(); "switched to the next control process: {reason}");
        }
    }
}

/// Whether another control process would give the same reply.
fn is_decided(reply: &claim::Reply) -> bool {
    match reply {
        Ok(_)
        | Err(claim::Refusal::Claim(
            proposer::Failure::Refused(_) | proposer::Failure::Expired(_),
        )) => true,
        Err(_) => false,
    }
}

fn rotate(mut endpoints: Vec<&Endpoint>, spread: u64) -> Vec<&Endpoint> {
    if !endpoints.is_empty() {
        let start = (spread % endpoints.len() as u64) as usize;
        endpoints.rotate_left(start);
    }
    endpoints
}
