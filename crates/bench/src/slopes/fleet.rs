//! Starts control processes, each behind a relay for nodes and a relay for other control processes.

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
const NODE_RELAY_PORT: u16 = 7400;
/// First port of the relays for other control processes.
const PEER_RELAY_PORT: u16 = 7600;

/// Running control processes of one installation with their relays.
#[derive(Debug)]
pub struct Fleet {
    children: Vec<Child>,
    /// Relays from nodes, by control process.
    pub node_relays: Vec<Relay>,
    /// Relays from the other control processes, by control process.
    pub peer_relays: Vec<Relay>,
    /// Operator addresses, by control process.
    pub operators: Vec<SocketAddr>,
}

impl Fleet {
    /// Starts `control_count` control processes; the first `voters` of them are voters.
    ///
    /// # Errors
    ///
    /// Returns the error of the system.
    pub async fn start(
        program: &Path,
        folder: &Path,
        ip: Ipv4Addr,
        control_count: u16,
        voters: u16,
    ) -> io::Result<Self> {
        let address = |port: u16, index: u16| SocketAddr::new(IpAddr::V4(ip), port + index);
        let mut fleet = Self {
            children: Vec::new(),
            node_relays: Vec::new(),
            peer_relays: Vec::new(),
            operators: Vec::new(),
        };
        for index in 1..=control_count {
            let rpc = address(RPC_PORT, index);
            let node_relay = Relay::start(address(NODE_RELAY_PORT, index), rpc).await?;
            let peer_relay = Relay::start(address(PEER_RELAY_PORT, index), rpc).await?;
            fleet.node_relays.push(node_relay);
            fleet.peer_relays.push(peer_relay);
            fleet.operators.push(address(OPERATOR_PORT, index));
        }
        for index in 1..=control_count {
            let path = settings(folder, ip, index, control_count, voters)?;
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

    /// Sum of the processor time of all control processes.
    ///
    /// # Errors
    ///
    /// Returns the error of the system when one of them has exited.
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
    /// Returns the error of the system when it has exited.
    pub fn resident_bytes(&self) -> io::Result<u64> {
        process::resident_bytes(self.children[0].id())
    }

    /// Payload bytes between the control processes.
    pub fn peer_bytes(&self) -> u64 {
        self.peer_relays
            .iter()
            .map(|relay| relay.byte_counts.total())
            .sum()
    }

    /// Payload bytes between nodes and control processes.
    pub fn node_bytes(&self) -> u64 {
        self.node_relays
            .iter()
            .map(|relay| relay.byte_counts.total())
            .sum()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in &mut self.children {
            // The signal fails for a process that has already exited.
            drop(child.kill());
            drop(child.wait());
        }
    }
}

fn settings(
    folder: &Path,
    ip: Ipv4Addr,
    index: u16,
    control_count: u16,
    voters: u16,
) -> io::Result<PathBuf> {
    let peers: Vec<String> = (1..=control_count)
        .filter(|other| *other != index)
        .map(|other| {
            let port = PEER_RELAY_PORT + other;
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
