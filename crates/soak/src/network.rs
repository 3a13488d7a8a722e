//! Forwarders that inject network faults.

use std::io;
use std::time::Duration;

use shallotrill_bench::forward::Forward;

use crate::layout;
use crate::layout::Layout;
use crate::plan::LinkFault;
use crate::plan::ProcessIndex;

/// The forwarders in front of each process.
#[derive(Debug)]
pub struct Network {
    /// For connections from other processes, by process index.
    peers: Vec<Forward>,
    /// For connections of a router to its backend server; `None` for registry processes.
    backends: Vec<Option<Forward>>,
}

impl Network {
    /// Starts the forwarders.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system when an address is in use.
    pub async fn start(layout: Layout, processes: usize) -> io::Result<Self> {
        let start_forwarder = async |process, port| {
            let listen = layout.forwarder_address(process, port);
            Forward::start(listen, layout.address(process, port), Duration::ZERO).await
        };
        let mut peers = Vec::new();
        let mut backends = Vec::new();
        for process in 0..processes {
            if layout::is_registry(process) {
                peers.push(start_forwarder(process, layout::PEER_PORT).await?);
                backends.push(None);
            } else {
                peers.push(start_forwarder(process, layout::INBOUND_PORT).await?);
                backends.push(Some(start_forwarder(process, layout::BACKEND_PORT).await?));
            }
        }
        Ok(Self { peers, backends })
    }

    /// Forwarder for connections from other processes to this process.
    pub fn peer_forwarder(&self, process: ProcessIndex) -> &Forward {
        &self.peers[process]
    }

    /// Forwarder for connections of a router to its backend server; `None` for a registry process.
    pub fn backend_forwarder(&self, process: ProcessIndex) -> Option<&Forward> {
        self.backends[process].as_ref()
    }

    /// Clears the faults of all forwarders.
    pub fn clear_faults(&self) {
        for forward in self.peers.iter().chain(self.backends.iter().flatten()) {
            clear_fault(forward);
        }
    }
}

/// Applies a fault to the connections of a forwarder.
pub fn apply_fault(forward: &Forward, link_fault: LinkFault) {
    match link_fault {
        LinkFault::CutIn => forward.cut(true, false),
        LinkFault::CutOut => forward.cut(false, true),
        LinkFault::Silence => forward.cut(true, true),
        LinkFault::Slow(delay_ms) => forward.slow(Duration::from_millis(delay_ms)),
        LinkFault::Reset => forward.reset(),
    }
}

/// Clears any fault of a forwarder. Connections whose bytes were dropped stay unresponsive; new ones work.
pub fn clear_fault(forward: &Forward) {
    forward.cut(false, false);
    forward.slow(Duration::ZERO);
}
