//! Settings of a node.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use super::check::Check;
use super::check::NumberRange;
use super::error::Kind;
use super::raw;
use shallotrill_model::zone;

/// Settings of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Address that callers connect to.
    pub caller_listen: SocketAddr,
    /// Address that this node listens on for other nodes.
    pub peer_listen: SocketAddr,
    /// Address that other nodes connect to, where it differs from `peer_listen`.
    pub peer_advertise: Option<SocketAddr>,
    /// Address for the backend server's announcements.
    pub announce_listen: SocketAddr,
    /// RPC addresses of control processes.
    pub control: Vec<Control>,
    /// Folder that stores the last configuration; `None` disables the cache.
    pub cache_folder: Option<PathBuf>,
    /// Maximum duration of a graceful stop.
    pub drain_timeout: Duration,
    /// How targets are selected.
    pub routing_policy: Policy,
    /// Number of worker threads of the runtime.
    pub workers: usize,
    /// Maximum size of the headers of a request.
    pub header_limit_bytes: usize,
    /// Maximum size of a buffered body.
    pub body_limit_bytes: usize,
    /// Maximum time until the headers of a request are complete.
    pub header_timeout: Duration,
    /// Maximum number of connections from callers.
    pub call_connections_max: usize,
}

/// How a node selects targets. All but the first are for comparison only.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The best score of a few random candidates.
    Scored,
    /// A random target.
    Random,
    /// Targets in round-robin order.
    RoundRobin,
    /// The target with the fewest requests of this node in flight.
    LeastInFlight,
}

impl Policy {
    /// Parses the value of the setting; `None` when it is unknown.
    pub fn parse(text: &str) -> Option<Self> {
        match text {
            "scored" => Some(Self::Scored),
            "random" => Some(Self::Random),
            "round-robin" => Some(Self::RoundRobin),
            "least-in-flight" => Some(Self::LeastInFlight),
            _ => None,
        }
    }
}

/// A control process that the node connects to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Control {
    /// Its RPC address.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: zone::Name,
}

const DRAIN_TIMEOUT_MS: NumberRange = NumberRange::new(30_000, 100, 3_600_000);
pub(super) const WORKERS: NumberRange = NumberRange::new(2, 1, 256);
const HEADER_LIMIT_BYTES: NumberRange = NumberRange::new(16_384, 1_024, 1 << 20);
const BODY_LIMIT_BYTES: NumberRange = NumberRange::new(1 << 20, 1, 64 << 20);
const HEADER_TIMEOUT_MS: NumberRange = NumberRange::new(10_000, 10, 600_000);
const CALL_CONNECTIONS_MAX: NumberRange = NumberRange::new(10_000, 1, 1_000_000);

pub(super) fn build(raw: &raw::Node, check: &mut Check<'_>) -> Option<Settings> {
    let caller_listen = check.listen("node.caller_listen", &raw.caller_listen);
    let peer_listen = check.listen("node.peer_listen", &raw.peer_listen);
    let announce_listen = check.listen("node.announce_listen", &raw.announce_listen);
    let advertise = raw.peer_advertise.as_ref();
    let peer_advertise = advertise.map(|value| check.connect("node.peer_advertise", value));
    if advertise.is_none() && peer_listen.is_some_and(|address| address.ip().is_unspecified()) {
        check.report(
            "node.peer_listen",
            raw.peer_listen.span(),
            Kind::AdvertiseMissing,
        );
    }
    let control = control(raw, check);
    let drain_ms = check.number(
        "node.drain_limit_ms",
        raw.drain_limit_ms.as_ref(),
        DRAIN_TIMEOUT_MS,
    );
    let policy = check.policy("node.routing_policy", raw.routing_policy.as_ref());
    let workers = check.number("node.workers", raw.workers.as_ref(), WORKERS);
    let header_bytes = check.number(
        "node.header_limit_bytes",
        raw.header_limit_bytes.as_ref(),
        HEADER_LIMIT_BYTES,
    );
    let body_bytes = check.number(
        "node.body_limit_bytes",
        raw.body_limit_bytes.as_ref(),
        BODY_LIMIT_BYTES,
    );
    let header_ms = check.number(
        "node.header_timeout_ms",
        raw.header_timeout_ms.as_ref(),
        HEADER_TIMEOUT_MS,
    );
    let connections = check.number(
        "node.call_connections_max",
        raw.call_connections_max.as_ref(),
        CALL_CONNECTIONS_MAX,
    );
    Some(Settings {
        caller_listen: caller_listen?,
        peer_listen: peer_listen?,
        peer_advertise: peer_advertise.flatten(),
        announce_listen: announce_listen?,
        control,
        cache_folder: raw.cache_folder.clone(),
        drain_timeout: Duration::from_millis(drain_ms),
        routing_policy: policy?,
        workers: workers as usize,
        header_limit_bytes: header_bytes as usize,
        body_limit_bytes: body_bytes as usize,
        header_timeout: Duration::from_millis(header_ms),
        call_connections_max: connections as usize,
    })
}

fn control(raw: &raw::Node, check: &mut Check<'_>) -> Vec<Control> {
    check.not_empty("node.control", &raw.control);
    let mut list: Vec<Control> = Vec::new();
    for entry in raw.control.get_ref() {
        let address = check.connect("node.control.address", &entry.address);
        let zone = check.name("node.control.zone", &entry.zone, zone::Name::new);
        if let (Some(address), Some(zone)) = (address, zone) {
            if list.iter().any(|other| other.address == address) {
                let kind = Kind::DuplicateAddress { address };
                check.report("node.control.address", entry.address.span(), kind);
            }
            list.push(Control { address, zone });
        }
    }
    list
}
