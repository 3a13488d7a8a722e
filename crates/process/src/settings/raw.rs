//! Structure of a settings file, as deserialized before its values are validated.

use std::path::PathBuf;

use serde::Deserialize;
use toml::Spanned;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct File {
    pub(super) process: Process,
    pub(super) log: Option<Log>,
    pub(super) node: Option<Node>,
    pub(super) control: Option<Control>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Process {
    pub(super) instance: Spanned<String>,
    pub(super) zone: Spanned<String>,
    pub(super) region: Spanned<String>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Log {
    pub(super) level: Option<Spanned<String>>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Node {
    pub(super) caller_listen: Spanned<String>,
    pub(super) peer_listen: Spanned<String>,
    pub(super) peer_advertise: Option<Spanned<String>>,
    pub(super) announce_listen: Spanned<String>,
    pub(super) control: Spanned<Vec<Address>>,
    pub(super) cache_folder: Option<PathBuf>,
    pub(super) drain_limit_ms: Option<Spanned<u64>>,
    pub(super) routing_policy: Option<Spanned<String>>,
    pub(super) workers: Option<Spanned<u64>>,
    pub(super) header_limit_bytes: Option<Spanned<u64>>,
    pub(super) body_limit_bytes: Option<Spanned<u64>>,
    pub(super) header_timeout_ms: Option<Spanned<u64>>,
    pub(super) call_connections_max: Option<Spanned<u64>>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Address {
    pub(super) address: Spanned<String>,
    pub(super) zone: Spanned<String>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Control {
    pub(super) id: u64,
    pub(super) rpc_listen: Spanned<String>,
    pub(super) operator_listen: Spanned<String>,
    pub(super) data_folder: PathBuf,
    pub(super) peers: Vec<Peer>,
    pub(super) voters: Spanned<Vec<Spanned<u64>>>,
    pub(super) claim_retention_h: Option<Spanned<u64>>,
    pub(super) claim_bytes_max: Option<Spanned<u64>>,
    pub(super) workers: Option<Spanned<u64>>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Peer {
    pub(super) id: Spanned<u64>,
    pub(super) address: Spanned<String>,
    pub(super) zone: Spanned<String>,
}
