//! Real node processes, for their processor time and memory.

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

/// First port of the listeners of nodes; each takes three.
const PORT: u16 = 20_000;

/// Real nodes without backend servers.
#[derive(Debug)]
pub struct Places {
    children: Vec<Child>,
}

impl Places {
    /// Starts `count` nodes that ask one control process.
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

    /// Processor time of all nodes.
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

    /// Resident memory of the largest node.
    ///
    /// # Errors
    ///
    /// Returns the error of the system when one of them is gone.
    pub fn resident_bytes(&self) -> io::Result<u64> {
        let mut largest = 0;
        for child in &self.children {
            largest = largest.max(process::resident_bytes(child.id())?);
        }
        Ok(largest)
    }
}

impl Drop for Places {
    fn drop(&mut self) {
        for child in &mut self.children {
            // A process that has ended by itself needs no signal.
            drop(child.kill());
            drop(child.wait());
        }
    }
}

fn settings(ip: Ipv4Addr, control: SocketAddr, index: u16) -> String {
    let port = PORT + 3 * index;
    format!(
        "[process]\ninstance = \"node-{index}\"\nzone = \"z1\"\nregion = \"r\"\n\n\
         [log]\nlevel = \"warn\"\n\n[node]\ncaller_listen = \"{ip}:{port}\"\n\
         peer_listen = \"{ip}:{}\"\nannounce_listen = \"{ip}:{}\"\n\
         control = [{{ address = \"{control}\", zone = \"z1\" }}]\n",
        port + 1,
        port + 2,
    )
}
