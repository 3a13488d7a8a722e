//! Settings of a control process.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use super::check::Check;
use super::check::NumberRange;
use super::error::Kind;
use super::node::WORKERS;
use super::raw;
use shallotrill_model::zone;

/// Settings of a control process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Id of this control process, unique among all control processes.
    pub id: u64,
    /// Address for nodes and other control processes.
    pub rpc_listen: SocketAddr,
    /// Address for operators.
    pub operator_listen: SocketAddr,
    /// Folder that stores the durable state.
    pub data_folder: PathBuf,
    /// The other control processes, sorted by id.
    pub peers: Vec<Peer>,
    /// Ids of the initial voters, sorted.
    pub voters: Vec<u64>,
    /// How long records of non-idempotent requests are kept.
    pub claim_retention: Duration,
    /// Maximum size of these records on disk.
    pub claim_bytes_max: u64,
    /// Number of worker threads of the runtime.
    pub workers: usize,
}

/// Another control process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its id.
    pub id: u64,
    /// Its RPC address.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: zone::Name,
}

const CLAIM_RETENTION_H: NumberRange = NumberRange::new(72, 1, 24 * 365);
const CLAIM_BYTES_MAX: NumberRange = NumberRange::new(1 << 30, 1 << 20, 1 << 44);

pub(super) fn build(raw: &raw::Control, check: &mut Check<'_>) -> Option<Settings> {
    let rpc_listen = check.listen("control.rpc_listen", &raw.rpc_listen);
    let operator_listen = check.listen("control.operator_listen", &raw.operator_listen);
    let peers = peers(raw, check);
    let voters = voters(raw, check);
    let retention_h = check.number(
        "control.claim_retention_h",
        raw.claim_retention_h.as_ref(),
        CLAIM_RETENTION_H,
    );
    let bytes = raw.claim_bytes_max.as_ref();
    let claim_bytes_max = check.number("control.claim_bytes_max", bytes, CLAIM_BYTES_MAX);
    let workers = check.number("control.workers", raw.workers.as_ref(), WORKERS);
    Some(Settings {
        id: raw.id,
        rpc_listen: rpc_listen?,
        operator_listen: operator_listen?,
        data_folder: raw.data_folder.clone(),
        peers,
        voters,
        claim_retention: Duration::from_secs(retention_h * 3_600),
        claim_bytes_max,
        workers: workers as usize,
    })
}

fn peers(raw: &raw::Control, check: &mut Check<'_>) -> Vec<Peer> {
    const KEY: &str = "control.peers.id";
    let mut list: Vec<Peer> = Vec::new();
    for entry in &raw.peers {
        let id = *entry.id.get_ref();
        let address = check.connect("control.peers.address", &entry.address);
        let zone = check.name("control.peers.zone", &entry.zone, zone::Name::new);
        let position = list.binary_search_by_key(&id, |peer| peer.id);
        if id == raw.id {
            check.report(KEY, entry.id.span(), Kind::OwnId { id });
        }
        match (position, address, zone) {
            (Ok(_), ..) => check.report(KEY, entry.id.span(), Kind::DuplicateId { id }),
            (Err(index), Some(address), Some(zone)) => {
                list.insert(index, Peer { id, address, zone });
            }
            (Err(_), ..) => {}
        }
    }
    list
}

fn voters(raw: &raw::Control, check: &mut Check<'_>) -> Vec<u64> {
    const KEY: &str = "control.voters";
    check.not_empty(KEY, &raw.voters);
    let mut list = Vec::new();
    for voter in raw.voters.get_ref() {
        let id = *voter.get_ref();
        if id != raw.id && raw.peers.iter().all(|peer| *peer.id.get_ref() != id) {
            check.report(KEY, voter.span(), Kind::UnknownId { id });
        }
        match list.binary_search(&id) {
            Ok(_) => check.report(KEY, voter.span(), Kind::DuplicateId { id }),
            Err(index) => list.insert(index, id),
        }
    }
    list
}
