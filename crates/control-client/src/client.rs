//! Asks the nearest control process that answers.

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

/// Longest wait for the answer to a heartbeat.
const LEASE_TIMEOUT: Duration = Duration::from_millis(900);

/// Longest wait for the answer to a pull beyond the wait that it asks for.
const FEED_MARGIN: Duration = Duration::from_secs(2);

/// The longest wait for a first answer to a claim before another control process is asked.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(400);

/// A control process in the settings of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Address of its RPC listener.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: zone::Name,
}

/// No control process answered.
#[derive(Debug)]
pub enum Error {
    /// The settings name no control process.
    NoEndpoint,
    /// The last one that was asked did not answer.
    Failed(Failure),
    /// The time was up before any answered.
    Timeout(Duration),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoEndpoint => f.write_str("the settings name no control process"),
            Self::Failed(failure) => failure.fmt(f),
            Self::Timeout(limit) => write!(f, "no control process answered within {limit:?}"),
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

/// The control processes of a node.
#[derive(Debug)]
pub struct Client {
    links: Vec<Link>,
    current: AtomicUsize,
}

impl Client {
    /// Makes a client that asks the control processes of `zone` first.
    ///
    /// `spread` is a number that differs between nodes: it decides where the
    /// nodes of a zone without a control process start, so that they do not
    /// all ask the same one.
    pub fn new(
        endpoints: &[Endpoint],
        zone: &zone::Name,
        spread: u64,
        config: link::Config,
    ) -> Self {
        let (near, far): (Vec<&Endpoint>, Vec<&Endpoint>) = endpoints
            .iter()
            .partition(|endpoint| endpoint.zone == *zone);
        let links = rotated(near, spread)
            .into_iter()
            .chain(rotated(far, spread))
            .map(|endpoint| Link::new(endpoint.address, config))
            .collect();
        Self {
            links,
            current: AtomicUsize::new(0),
        }
    }

    /// Address of the control process that is asked at present.
    pub fn current(&self) -> Option<SocketAddr> {
        let index = self.current.load(Ordering::Relaxed);
        self.links.get(index).map(Link::address)
    }

    /// Renews the lease.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] when the present control process does not answer; the next call asks the next one.
    pub async fn lease(&self, ask: &lease::Ask) -> Result<lease::Reply, Error> {
        self.ask_current(lease::METHOD, ask, LEASE_TIMEOUT).await
    }

    /// Pulls what changed.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] when the present control process does not answer; the next call asks the next one.
    pub async fn feed(&self, ask: &feed::Ask) -> Result<feed::Reply, Error> {
        let limit = Duration::from_millis(ask.wait_ms) + FEED_MARGIN;
        self.ask_current(feed::METHOD, ask, limit).await
    }

    /// Asks about a claim, at one control process after another until one decides or the time is up.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] when none answered in time. The question may then still be decided.
    pub async fn claim(&self, ask: &claim::Ask, limit: Duration) -> Result<claim::Reply, Error> {
        let asking = self.claim_unlimited(ask);
        time::timeout(limit, asking)
            .await
            .unwrap_or(Err(Error::Timeout(limit)))
    }

    async fn claim_unlimited(&self, ask: &claim::Ask) -> Result<claim::Reply, Error> {
        let first = self.current.load(Ordering::Relaxed);
        let mut last = Err(Error::NoEndpoint);
        for offset in 0..self.links.len() {
            let link = &self.links[(first + offset) % self.links.len()];
            last = match link.call(claim::METHOD, ask, CLAIM_TIMEOUT).await {
                Ok(reply) => Ok(reply),
                Err(failure) => Err(Error::Failed(failure)),
            };
            if matches!(&last, Ok(reply) if is_final(reply)) {
                return last;
            }
        }
        last
    }

    async fn ask_current<Q, A>(&self, method: &str, ask: &Q, limit: Duration) -> Result<A, Error>
    where
        Q: Serialize,
        A: DeserializeOwned,
    {
        let index = self.current.load(Ordering::Relaxed);
        let link = self.links.get(index).ok_or(Error::NoEndpoint)?;
        match link.call(method, ask, limit).await {
            Ok(answer) => Ok(answer),
            Err(failure) => {
                self.move_on(index, &failure);
                Err(Error::Failed(failure))
            }
        }
    }

    /// Leaves the present control process, which answers but is of no use, for the next one.
    pub fn leave(&self, control: &instance::Name) {
        if self.links.is_empty() {
            return;
        }
        let reason = format!("{control} is behind");
        self.move_on(self.current.load(Ordering::Relaxed), &reason);
    }

    fn move_on(&self, from: usize, reason: &impl fmt::Display) {
        let next = (from + 1) % self.links.len();
        let moved = self
            .current
            .compare_exchange(from, next, Ordering::Relaxed, Ordering::Relaxed);
        if moved.is_ok() && next != from {
            let next = self.links[next].address().to_string();
            info!(event = "control-switched", next = next.as_str(); "{reason}");
        }
    }
}

/// Whether asking another control process cannot give another answer.
fn is_final(reply: &claim::Reply) -> bool {
    match reply {
        Ok(_)
        | Err(claim::Refusal::Claim(
            proposer::Failure::Refused(_) | proposer::Failure::Expired(_),
        )) => true,
        Err(_) => false,
    }
}

fn rotated(mut endpoints: Vec<&Endpoint>, spread: u64) -> Vec<&Endpoint> {
    if !endpoints.is_empty() {
        let start = (spread % endpoints.len() as u64) as usize;
        endpoints.rotate_left(start);
    }
    endpoints
}
