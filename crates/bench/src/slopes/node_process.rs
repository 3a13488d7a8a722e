//! Starts real node processes to measure their processor time and memory.

use std::fs;
use std::fs::File;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;

use super::process;

/// First port of the listeners of nodes; each node uses three ports.
const FIRST_PORT: u16 = 20_000;

/// Running node processes without backend servers.
#[derive(Debug)]
pub struct NodeProcesses {
    children: Vec<Child>,
}

impl NodeProcesses {
    /// Starts `count` nodes that connect to one control process.
    ///
    /// # Errors
    ///
    /// Returns the error of the system.
    pub fn start(
        program: &Path,
        folder: &Path,
        ip: Ipv4Addr,
        control: SocketAddr,
        count: u16,
    ) -> io::Result<Self> {
        let mut children = Vec::new();
        for index in 0..count {
            let path = folder.join(format!("node-{index}.toml"));
            fs::write(&path, settings(ip, control, index))?;
            let log = File::create(folder.join(format!("node-{index}.log")))?;
            let child = Command::new(program)
                .args(["run", "--settings"])
                .arg(path)
                .stdin(Stdio::null())
                .stdout(log.try_clone()?)
                .stderr(log)
                .spawn()?;
            children.push(child);
        }
        Ok(Self { children })
    }

    /// Sum of the processor time of all nodes.
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

    /// Resident memory of the largest node.
    ///
    /// # Errors
    ///
    /// Returns the error of the system when one of them has exited.
    pub fn resident_bytes(&self) -> io::Result<u64> {
        let mut largest = 0;
        for child in &self.children {
            largest = largest.max(process::resident_bytes(child.id())?);
        }
        Ok(largest)
    }
}

impl Drop for NodeProcesses {
    fn drop(&mut self) {
        for child in &mut self.children {
            // The signal fails for a process that has already exited.
            drop(child.kill());
            drop(child.wait());
        }
    }
}

fn settings(ip: Ipv4Addr, control: SocketAddr, index: u16) -> String {
    let port = FIRST_PORT + 3 * index;
    format!(
        "[process]\ninstance = \"node-{index}\"\nzone = \"z1\"\nregion = \"r\"\n\n\
         [log]\nlevel = \"warn\"\n\n[node]\ncaller_listen = \"{ip}:{port}\"\n\
         peer_listen = \"{ip}:{}\"\nannounce_listen = \"{ip}:{}\"\n\
         control = [{{ address = \"{control}\", zone = \"z1\" }}]\n",
        port + 1,
        port + 2,
    )
}
