//! Control processes with a relay for nodes and one for each other in front of each.

use std::fs;
use std::fs::File;
use std::io;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;

use super::process;
use super::relay::Relay;

/// First port of the RPC listeners.
const RPC_PORT: u16 = 7000;
/// First port of the operator listeners.
const OPERATOR_PORT: u16 = 7200;
/// First port of the relays for nodes.
const NODES_PORT: u16 = 7400;
/// First port of the relays for other control processes.
const PEERS_PORT: u16 = 7600;

/// Control processes of one group.
#[derive(Debug)]
pub struct Fleet {
    children: Vec<Child>,
    /// Relays between nodes and each control process.
    pub nodes: Vec<Relay>,
    /// Relays between the other control processes and each.
    pub peers: Vec<Relay>,
    /// Addresses for operators.
    pub operators: Vec<SocketAddr>,
}

impl Fleet {
    /// Starts `count` control processes of which the first `voters` vote.
    ///
    /// # Errors
    ///
    /// Returns the error of the system.
    pub async fn start(
        program: &Path,
        folder: &Path,
        ip: Ipv4Addr,
        count: u16,
        voters: u16,
    ) -> io::Result<Self> {
        let address = |port: u16, index: u16| SocketAddr::new(IpAddr::V4(ip), port + index);
        let mut fleet = Self {
            children: Vec::new(),
            nodes: Vec::new(),
            peers: Vec::new(),
            operators: Vec::new(),
        };
        for index in 1..=count {
            let rpc = address(RPC_PORT, index);
            let nodes = Relay::start(address(NODES_PORT, index), rpc).await?;
            let peers = Relay::start(address(PEERS_PORT, index), rpc).await?;
            fleet.nodes.push(nodes);
            fleet.peers.push(peers);
            fleet.operators.push(address(OPERATOR_PORT, index));
        }
        for index in 1..=count {
            let path = settings(folder, ip, index, count, voters)?;
            let log = File::create(folder.join(format!("control-{index}.log")))?;
            let child = Command::new(program)
                .args(["run", "--settings"])
                .arg(path)
                .stdin(Stdio::null())
                .stdout(log.try_clone()?)
                .stderr(log)
                .spawn()?;
            fleet.children.push(child);
        }
        Ok(fleet)
    }

    /// Processor time of all control processes.
    ///
    /// # Errors
    ///
    /// Returns the error of the system when one of them is gone.
    pub fn processor_time(&self) -> io::Result<Duration> {
        let times = self.children.iter();
        times
            .map(|child| process::processor_time(child.id()))
            .sum::<io::Result<Duration>>()
    }

    /// Resident memory of the first control process.
    ///
    /// # Errors
    ///
    /// Returns the error of the system when it is gone.
    pub fn resident_bytes(&self) -> io::Result<u64> {
        process::resident_bytes(self.children[0].id())
    }

    /// Bytes between the control processes.
    pub fn peer_bytes(&self) -> u64 {
        self.peers.iter().map(|relay| relay.count.total()).sum()
    }

    /// Bytes between nodes and control processes.
    pub fn node_bytes(&self) -> u64 {
        self.nodes.iter().map(|relay| relay.count.total()).sum()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in &mut self.children {
            // A process that has ended by itself needs no signal.
            drop(child.kill());
            drop(child.wait());
        }
    }
}

fn settings(
    folder: &Path,
    ip: Ipv4Addr,
    index: u16,
    count: u16,
    voters: u16,
) -> io::Result<PathBuf> {
    let peers: Vec<String> = (1..=count)
        .filter(|other| *other != index)
        .map(|other| {
            let port = PEERS_PORT + other;
            format!("    {{ id = {other}, address = \"{ip}:{port}\", zone = \"z{other}\" }},")
        })
        .collect();
    let listed: Vec<String> = (1..=voters).map(|id| id.to_string()).collect();
    let text = format!(
        "[process]\ninstance = \"control-{index}\"\nzone = \"z{index}\"\nregion = \"r\"\n\n\
         [log]\nlevel = \"warn\"\n\n[control]\nid = {index}\nrpc_listen = \"{ip}:{}\"\n\
         operator_listen = \"{ip}:{}\"\ndata_folder = \"{}\"\npeers = [\n{}\n]\nvoters = [{}]\n",
        RPC_PORT + index,
        OPERATOR_PORT + index,
        folder.join(format!("data-{index}")).display(),
        peers.join("\n"),
        listed.join(", "),
    );
    let path = folder.join(format!("control-{index}.toml"));
    fs::write(&path, text)?;
    Ok(path)
}
