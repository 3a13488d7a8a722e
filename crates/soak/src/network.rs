//! Forwarders that inject network faults.

use std::io;
use std::time::Duration;

use shallotrill_bench::fault_proxy::FaultProxy;

use crate::layout;
use crate::layout::Layout;
use crate::plan::LinkFault;
use crate::plan::ProcessIndex;

/// The forwarders in front of each process.
#[derive(Debug)]
pub struct Network {
    /// For connections from other processes, by process index.
    peers: Vec<FaultProxy>,
    /// For connections of a router to its backend server; `None` for registry processes.
    backends: Vec<Option<FaultProxy>>,
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
            FaultProxy::start(listen, layout.address(process, port), Duration::ZERO).await
        };
        let mut peers = Vec::new();
        let mut backends = Vec::new();
        for process in 0..processes {
            if layout::is_registry(process) {
                peers.push(start_forwarder(process, layout::PEER_PORT).await?);
                backends.push(None);
            } else {
                peers.push(start_forwarder(process, layout::ROUTER_PORT).await?);
                backends.push(Some(start_forwarder(process, layout::BACKEND_PORT).await?));
            }
        }
        Ok(Self { peers, backends })
    }

    /// Forwarder for connections from other processes to this process.
    pub fn peer_forwarder(&self, process: ProcessIndex) -> &FaultProxy {
        &self.peers[process]
    }

    /// Forwarder for connections of a router to its backend server; `None` for a registry process.
    pub fn backend_forwarder(&self, process: ProcessIndex) -> Option<&FaultProxy> {
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
pub fn apply_fault(forward: &FaultProxy, link_fault: LinkFault) {
    match link_fault {
        LinkFault::CutIn => forward.block(true, false),
        LinkFault::CutOut => forward.block(false, true),
        LinkFault::Silence => forward.block(true, true),
        LinkFault::Slow(delay_ms) => forward.set_extra_delay(Duration::from_millis(delay_ms)),
        LinkFault::Reset => forward.reset(),
    }
}

/// Clears any fault of a forwarder. Connections whose bytes were dropped stay unresponsive; new ones work.
pub fn clear_fault(forward: &FaultProxy) {
    forward.block(false, false);
    forward.set_extra_delay(Duration::ZERO);
}
